//! One owner attempt: a run of a request at one owner, on this daemon or behind a link.

use super::Entry;
use crate::messages::{JobFrame, JobRequest, OwnerRequest, RequestFailure, message_service};
use std::time::Instant;
use wire::Verdict;

/// How an owner attempt ended.
pub(crate) enum AttemptOutcome {
    /// The answer is complete.
    Finished,
    /// The owner gave the request up.
    Failed(RequestFailure),
    /// The caller has disconnected.
    CallerDisconnected,
    /// The owner could not be reached, or the link to it was lost before the end.
    LinkLost {
        /// Whether the request may have reached the owner.
        may_have_run: bool,
        /// Cause in one sentence.
        reason: String,
    },
}

/// Receives the frames of an owner attempt. Returns false once the caller has disconnected.
pub(crate) type FrameRefSink<'a> = dyn FnMut(&JobFrame) -> bool + 'a;

/// Runs a job at `owner` until it ends.
pub(crate) fn run(
    entry: &Entry,
    owner: &str,
    job: &JobRequest,
    deadline: Instant,
    sink: &mut FrameRefSink<'_>,
) -> AttemptOutcome {
    if owner == entry.cx.session.instance().daemon {
        return run_local(entry, job, sink);
    }
    match entry.cx.session.address_of(owner) {
        Some(address) => run_remote(entry, &address, job, deadline, sink),
        None => AttemptOutcome::LinkLost {
            may_have_run: false,
            reason: format!("{owner} left the roster"),
        },
    }
}

/// Runs a job at this daemon's owner.
fn run_local(entry: &Entry, job: &JobRequest, sink: &mut FrameRefSink<'_>) -> AttemptOutcome {
    let mut last = None;
    let mut forward_frame = |frame: JobFrame| {
        let (is_connected, outcome) = forward(frame, sink);
        last = outcome;
        is_connected
    };
    entry.cx.owner.run_job(job, &mut forward_frame);
    last.unwrap_or(AttemptOutcome::CallerDisconnected)
}

/// Runs a job at the owner with this link address.
fn run_remote(
    entry: &Entry,
    address: &str,
    job: &JobRequest,
    deadline: Instant,
    sink: &mut FrameRefSink<'_>,
) -> AttemptOutcome {
    let body = match wire::encode(&OwnerRequest::Job(job.clone())) {
        Ok(body) => body,
        Err(err) => {
            return AttemptOutcome::LinkLost { may_have_run: false, reason: err.to_string() };
        }
    };
    let timeout = deadline.saturating_duration_since(entry.cx.clock.now());
    let mut frames = match entry.cx.net.open_stream(address, message_service::OWNER, body, timeout)
    {
        Ok(frames) => frames,
        Err(err) => {
            return AttemptOutcome::LinkLost {
                may_have_run: err.may_have_run(),
                reason: err.to_string(),
            };
        }
    };
    loop {
        let frame = match frames.recv(entry.cx.clock.now(), deadline) {
            Ok(Some(buf)) => wire::decode::<JobFrame>(&buf),
            Ok(None) => {
                return link_lost("the owner ended without an answer");
            }
            Err(err) => {
                return AttemptOutcome::LinkLost {
                    may_have_run: err.may_have_run(),
                    reason: err.to_string(),
                };
            }
        };
        let frame = match frame {
            Ok(frame) => frame,
            Err(err) => return link_lost(&err.to_string()),
        };
        let (is_connected, outcome) = forward(frame, sink);
        if let Some(outcome) = outcome {
            return outcome;
        }
        if !is_connected {
            return AttemptOutcome::CallerDisconnected;
        }
    }
}

/// Passes a frame to `sink`. Returns whether the caller is connected and, after the last frame, the
/// outcome of the attempt.
fn forward(frame: JobFrame, sink: &mut FrameRefSink<'_>) -> (bool, Option<AttemptOutcome>) {
    match frame {
        JobFrame::Failed(failure) => (true, Some(AttemptOutcome::Failed(failure))),
        JobFrame::Finished { .. } => {
            let is_connected = sink(&frame);
            (is_connected, Some(AttemptOutcome::Finished))
        }
        frame => (sink(&frame), None),
    }
}

/// Outcome of an attempt that was lost after its request was sent.
fn link_lost(reason: &str) -> AttemptOutcome {
    AttemptOutcome::LinkLost { may_have_run: true, reason: String::from(reason) }
}

/// Verdict of a request whose link was lost: it may have run if it may have reached the owner.
pub(crate) fn link_verdict(may_have_run: bool) -> Verdict {
    if may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun }
}

/// Encodes a frame for a link.
pub(crate) fn encode_frame(frame: &JobFrame) -> Vec<u8> {
    wire::encode(frame).unwrap_or_default()
}
