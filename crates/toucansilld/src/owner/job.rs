//! Runs a model request on its owner: placement, streaming, and retries on other upstreams.

use super::{Owner, OwnerMsg, Placed, PlacedResult, chooser::UpstreamChooser, gang};
use crate::messages::{JobFrame, JobRequest, RequestFailure};
use control::Command;
use event::EventKind;
use route::{LengthClass, Placement, Prefix, Refusal, TokenUsage};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use upstream::{ErrorReason, StreamEvent, StreamRequest, TokenStream};
use wire::RequestId;

/// Receives a job's frames. Returns false once the receiver has disconnected.
pub(crate) type FrameSink<'a> = dyn FnMut(JobFrame) -> bool + 'a;

/// Time between checks whether the entry daemon is still connected.
const CONNECTED_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time to wait for an acquittal to be committed.
const ACQUIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry delay suggested to callers when the owner has stopped.
const STOPPED_RETRY_AFTER: Duration = Duration::from_secs(2);
/// HTTP status of a request that no upstream could take.
const STATUS_UNAVAILABLE: u16 = 503;
/// HTTP status of a request whose upstream failed.
const STATUS_BAD_GATEWAY: u16 = 502;
/// HTTP status of a request whose deadline has passed.
const STATUS_TIMEOUT: u16 = 504;

/// Runs a job, passing its frames to `sink` until it ends.
pub(crate) fn run(owner: &Owner, job: &JobRequest, sink: &mut FrameSink<'_>) {
    let deadline = owner.cx.clock.now() + Duration::from_millis(job.deadline_ms);
    let placed = match await_placement(&submit(owner, job, deadline), sink) {
        PlacementWait::Placed(placed) => placed,
        PlacementWait::Refused(refusal) => {
            sink(JobFrame::Failed(placement_failure(&refusal)));
            return;
        }
        PlacementWait::Disconnected => return owner.cancel(&job.request),
    };
    match &placed.placement {
        Placement::Single(_) => stream(owner, job, deadline, placed, sink),
        Placement::Gang(segments) => {
            gang::run(owner, job, deadline, segments, &placed.targets, sink);
        }
    }
}

/// Result of waiting for a placement.
enum PlacementWait {
    /// The job was placed.
    Placed(Placed),
    /// This owner refused the job.
    Refused(Refusal),
    /// The entry daemon has disconnected.
    Disconnected,
}

/// Submits the first placement of a job on this owner.
fn submit(owner: &Owner, job: &JobRequest, deadline: Instant) -> flume::Receiver<PlacedResult> {
    let priority = if job.is_urgent { route::Priority::Urgent } else { route::Priority::Ordinary };
    let prefixes = job
        .prefixes
        .iter()
        .map(|prefix| Prefix { hash: prefix.hash, tokens: prefix.tokens })
        .collect();
    owner.submit(route::Job {
        request: job.request.clone(),
        model: job.model.clone(),
        priority,
        prompt_tokens: job.prompt_tokens,
        max_output_tokens: job.max_output_tokens,
        prefixes,
        deadline,
        avoid: Vec::new(),
        is_suspect: job.is_suspect,
    })
}

/// Waits for the placement, while checking at intervals that the entry daemon is connected.
fn await_placement(rx: &flume::Receiver<PlacedResult>, sink: &mut FrameSink<'_>) -> PlacementWait {
    loop {
        match rx.recv_timeout(CONNECTED_CHECK_INTERVAL) {
            Ok(Ok(placed)) => return PlacementWait::Placed(placed),
            Ok(Err(refusal)) => return PlacementWait::Refused(refusal),
            Err(flume::RecvTimeoutError::Timeout) => {
                if !sink(JobFrame::Waiting) {
                    return PlacementWait::Disconnected;
                }
            }
            Err(flume::RecvTimeoutError::Disconnected) => {
                return PlacementWait::Refused(Refusal {
                    reason: route::RefusalReason::NoUpstream,
                    retry_after: STOPPED_RETRY_AFTER,
                });
            }
        }
    }
}

/// Streams the answer from the placed upstream, and from others after failures.
fn stream(
    owner: &Owner,
    job: &JobRequest,
    deadline: Instant,
    placed: Placed,
    sink: &mut FrameSink<'_>,
) {
    let mut req =
        StreamRequest::new(job.request.clone(), job.path.clone(), job.body.clone(), deadline);
    req.first_offset = job.first_offset;
    req.headers.push((String::from("toucansill-priority"), engine_priority(job).to_string()));
    let chooser = Arc::new(UpstreamChooser::new(owner, job, deadline, placed));
    let next_upstream = Arc::clone(&chooser);
    let events = owner.client.stream(req, move |failed| next_upstream.choose(failed));
    forward(owner, job, events, Some(&chooser), sink);
}

/// Priority for the engine, lower first: it prefills shorter prompts before longer ones queued
/// earlier, and urgent ones first within a length class.
fn engine_priority(job: &JobRequest) -> usize {
    let class = LengthClass::of(job.prompt_tokens).index();
    2 * class + usize::from(!job.is_urgent)
}

/// Passes the events of a stream on as frames, and reports progress and outcome of the request to
/// the owner's thread. The request is cancelled if the entry daemon disconnects.
pub(crate) fn forward(
    owner: &Owner,
    job: &JobRequest,
    mut events: TokenStream,
    chooser: Option<&UpstreamChooser>,
    sink: &mut FrameSink<'_>,
) {
    let mut is_first = true;
    while let Some(event) = events.recv() {
        let is_connected = match event {
            StreamEvent::Progress => sink(JobFrame::Waiting),
            StreamEvent::Sent(target) => {
                let upstream = &target.upstream;
                owner.record(EventKind::RequestSent, &job.request, upstream, job.request.clone());
                sink(JobFrame::Waiting)
            }
            StreamEvent::Token(token) => {
                if std::mem::take(&mut is_first) {
                    owner.send(OwnerMsg::FirstToken { request: job.request.clone() });
                    let offset = format!("offset {}", token.offset);
                    owner.record(EventKind::RequestFirstToken, &job.request, "", offset);
                }
                sink(JobFrame::Token { offset: token.offset, text: token.text })
            }
            StreamEvent::Finished(finish) => {
                let used = TokenUsage {
                    prompt_tokens: finish.usage.prompt_tokens,
                    cached_tokens: finish.usage.cached_tokens,
                    output_tokens: finish.usage.completion_tokens,
                };
                owner.send(OwnerMsg::Finished { request: job.request.clone(), used });
                acquit(owner, job);
                sink(JobFrame::Finished {
                    reason: finish.reason,
                    prompt_tokens: used.prompt_tokens,
                    output_tokens: used.output_tokens,
                })
            }
            StreamEvent::Failed { error, retry_after } => {
                owner.cancel(&job.request);
                owner.record(EventKind::RequestFailed, &job.request, "", error.to_string());
                let refusal = chooser.and_then(|chooser| chooser.final_failure(&error));
                let failure = refusal.unwrap_or_else(|| upstream_failure(&error, retry_after));
                sink(JobFrame::Failed(failure))
            }
        };
        if !is_connected {
            owner.cancel(&job.request);
            return;
        }
    }
}

/// Clears a suspect request of the crashes charged to it, as it has finished.
fn acquit(owner: &Owner, job: &JobRequest) {
    if !job.is_suspect {
        return;
    }
    let acquit = Command::Acquit { fingerprint: job.request_hash, at_ms: 0 };
    if let Err(err) = owner.cx.control.propose(acquit, ACQUIT_TIMEOUT) {
        log::warn!("the acquittal was not recorded: {err}");
    }
}

/// Converts a refusal by placement to the failure reported to the entry daemon.
pub(crate) fn placement_failure(refusal: &Refusal) -> RequestFailure {
    RequestFailure {
        status: STATUS_UNAVAILABLE,
        code: String::from(refusal_code(refusal.reason)),
        reason: refusal.to_string(),
        verdict: refusal.verdict(),
        retry_after_ms: Some(to_millis(refusal.retry_after)),
        may_try_another_owner: refusal.may_be_placed_by_another_owner(),
    }
}

/// Converts a failure of an upstream to the failure reported to the entry daemon.
pub(crate) fn upstream_failure(err: &upstream::Error, retry_after: Duration) -> RequestFailure {
    let status = match err.reason() {
        ErrorReason::Deadline => STATUS_TIMEOUT,
        ErrorReason::ErrorStatus(status) => status,
        _ => STATUS_BAD_GATEWAY,
    };
    RequestFailure {
        status,
        code: String::from(if err.is_deadline() { "deadline" } else { "upstream_failed" }),
        reason: err.to_string(),
        verdict: err.verdict(),
        retry_after_ms: Some(to_millis(retry_after)),
        may_try_another_owner: false,
    }
}

/// Stable error code of a refusal by placement.
fn refusal_code(reason: route::RefusalReason) -> &'static str {
    match reason {
        route::RefusalReason::NoUpstream => "no_upstream",
        route::RefusalReason::DataCentreOut => "data_centre_out",
        route::RefusalReason::PromptTooLong => "prompt_too_long",
        route::RefusalReason::DeadlineTooShort => "deadline_too_short",
        route::RefusalReason::DeadlineUnmeetable => "deadline_unmeetable",
        route::RefusalReason::QueueFull => "queue_full",
        route::RefusalReason::Duplicate => "duplicate",
        route::RefusalReason::Quarantined => "quarantined",
        route::RefusalReason::RetryBudgetExhausted => "retry_budget",
    }
}

/// Whole milliseconds of a duration, at most `u64::MAX`.
pub(crate) fn to_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Owner {
    /// Id of an owner attempt: the request's id for the first one (`attempt` is 0), with `+` and
    /// the number of the attempt for later ones.
    pub(crate) fn owner_attempt_id(request: &RequestId, attempt: u32) -> RequestId {
        if attempt == 0 { request.clone() } else { format!("{request}+{attempt}") }
    }
}
