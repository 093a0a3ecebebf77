//! One attempt of a request at one owner, here or behind a link.

use super::Entry;
use crate::messages::{JobFrame, JobRequest, OwnerRequest, RequestFailure, service};
use std::time::Instant;
use wire::Verdict;

/// How an attempt ended.
pub(crate) enum End {
    /// The answer is whole.
    Finished,
    /// The owner gave up.
    Failed(RequestFailure),
    /// The caller is gone.
    Gone,
    /// The link to the owner broke or its daemon died.
    LinkLost {
        /// Whether the request may have reached the owner.
        is_sent: bool,
        /// What happened.
        reason: String,
    },
}

/// Takes tokens and signs of life; false once the caller is gone.
pub(crate) type Sink<'a> = dyn FnMut(&JobFrame) -> bool + 'a;

/// Runs a job at `owner` until it ends.
pub(crate) fn run(
    entry: &Entry,
    owner: &str,
    job: &JobRequest,
    deadline: Instant,
    sink: &mut Sink<'_>,
) -> End {
    if owner == entry.cx.session.holder().daemon {
        return run_here(entry, job, sink);
    }
    match entry.cx.session.address_of(owner) {
        Some(address) => run_there(entry, &address, job, deadline, sink),
        None => End::LinkLost { is_sent: false, reason: format!("{owner} left the roster") },
    }
}

fn run_here(entry: &Entry, job: &JobRequest, sink: &mut Sink<'_>) -> End {
    let mut end = None;
    let mut forward = |frame: JobFrame| {
        let (is_there, ended) = take(frame, sink);
        end = ended;
        is_there
    };
    entry.cx.owner.run_job(job, &mut forward);
    end.unwrap_or(End::Gone)
}

fn run_there(
    entry: &Entry,
    address: &str,
    job: &JobRequest,
    deadline: Instant,
    sink: &mut Sink<'_>,
) -> End {
    let body = match wire::encode(&OwnerRequest::Job(job.clone())) {
        Ok(body) => body,
        Err(err) => return End::LinkLost { is_sent: false, reason: err.to_string() },
    };
    let timeout = deadline.saturating_duration_since(entry.cx.clock.now());
    let mut frames = match entry.cx.net.open(address, service::OWNER, body, timeout) {
        Ok(frames) => frames,
        Err(err) => return End::LinkLost { is_sent: err.is_sent(), reason: err.to_string() },
    };
    loop {
        let frame = match frames.recv(entry.cx.clock.now(), deadline) {
            Ok(Some(buf)) => wire::decode::<JobFrame>(&buf),
            Ok(None) => return lost("the owner ended without an answer"),
            Err(err) => {
                return End::LinkLost { is_sent: err.is_sent(), reason: err.to_string() };
            }
        };
        let frame = match frame {
            Ok(frame) => frame,
            Err(err) => return lost(&err.to_string()),
        };
        let (is_there, end) = take(frame, sink);
        if let Some(end) = end {
            return end;
        }
        if !is_there {
            return End::Gone;
        }
    }
}

/// Hands a frame on. The second part is set after the last frame.
fn take(frame: JobFrame, sink: &mut Sink<'_>) -> (bool, Option<End>) {
    match frame {
        JobFrame::Failed(failure) => (true, Some(End::Failed(failure))),
        JobFrame::Finished { .. } => {
            let is_there = sink(&frame);
            (is_there, Some(End::Finished))
        }
        frame => (sink(&frame), None),
    }
}

fn lost(reason: &str) -> End {
    End::LinkLost { is_sent: true, reason: String::from(reason) }
}

/// The verdict after an attempt that ended with its link.
pub(crate) fn link_verdict(is_sent: bool) -> Verdict {
    if is_sent { Verdict::MayHaveRun } else { Verdict::NotRun }
}

/// A frame as it travels over a link.
pub(crate) fn encode_frame(frame: &JobFrame) -> Vec<u8> {
    wire::encode(frame).unwrap_or_default()
}
