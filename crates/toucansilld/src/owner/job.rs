//! One job on an owner: placement, stream and moves to other upstreams.

use super::{Owner, OwnerMsg, Placed, PlacedResult, chooser::Chooser, gang};
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

/// Takes a job's frames; false once the other end is gone.
pub(crate) type FrameSink<'a> = dyn FnMut(JobFrame) -> bool + 'a;

/// Time between two looks whether the entry daemon still waits.
const PRESENCE_CHECK: Duration = Duration::from_millis(500);
/// Longest wait for the answer to an acquittal.
const ACQUIT_TIMEOUT: Duration = Duration::from_secs(2);
/// When a caller may come back to an owner that has stopped.
const STOPPED_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Status of a refusal because of load or missing upstreams.
const STATUS_UNAVAILABLE: u16 = 503;
/// Status of a failure of an upstream.
const STATUS_BAD_GATEWAY: u16 = 502;
/// Status of a request whose deadline has passed.
const STATUS_TIMEOUT: u16 = 504;

/// Runs a job and hands its frames to `sink`.
pub(crate) fn run(owner: &Owner, job: &JobRequest, sink: &mut FrameSink<'_>) {
    let deadline = owner.cx.clock.now() + Duration::from_millis(job.deadline_ms);
    let placed = match wait(&submit(owner, job, deadline), sink) {
        Waited::Placed(placed) => placed,
        Waited::Refused(refusal) => {
            sink(JobFrame::Failed(refused(&refusal)));
            return;
        }
        Waited::Gone => return owner.cancelled(&job.request),
    };
    match &placed.placement {
        Placement::Single(_) => stream(owner, job, deadline, placed, sink),
        Placement::Gang(segments) => {
            gang::run(owner, job, deadline, segments, &placed.targets, sink);
        }
    }
}

/// How the wait for a placement ended.
enum Waited {
    /// There is an upstream.
    Placed(Placed),
    /// The final answer is that there is none.
    Refused(Refusal),
    /// The other end no longer waits.
    Gone,
}

/// Submits the first attempt of a job on this owner.
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

/// Waits for the placement, and looks now and then whether the other end is there.
fn wait(rx: &flume::Receiver<PlacedResult>, sink: &mut FrameSink<'_>) -> Waited {
    loop {
        match rx.recv_timeout(PRESENCE_CHECK) {
            Ok(Ok(placed)) => return Waited::Placed(placed),
            Ok(Err(refusal)) => return Waited::Refused(refusal),
            Err(flume::RecvTimeoutError::Timeout) => {
                if !sink(JobFrame::Waiting) {
                    return Waited::Gone;
                }
            }
            Err(flume::RecvTimeoutError::Disconnected) => {
                return Waited::Refused(Refusal {
                    reason: route::RefusalReason::NoUpstream,
                    retry_after: STOPPED_RETRY_AFTER,
                });
            }
        }
    }
}

/// Streams from one upstream, and from others if it fails.
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
    let chooser = Arc::new(Chooser::new(owner, job, deadline, placed));
    let chooses = Arc::clone(&chooser);
    let events = owner.client.stream(req, move |failed| chooses.choose(failed));
    forward(owner, job, events, Some(&chooser), sink);
}

/// Priority for the engine, lower first: it prefills shorter prompts before longer
/// ones that were queued, and urgent ones first within a length class.
fn engine_priority(job: &JobRequest) -> usize {
    let class = LengthClass::of(job.prompt_tokens).index();
    2 * class + usize::from(!job.is_urgent)
}

/// Hands the events of a stream on as frames.
pub(crate) fn forward(
    owner: &Owner,
    job: &JobRequest,
    mut events: TokenStream,
    chooser: Option<&Chooser>,
    sink: &mut FrameSink<'_>,
) {
    let mut is_first = true;
    while let Some(event) = events.recv() {
        let is_there = match event {
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
                owner.cancelled(&job.request);
                owner.record(EventKind::RequestFailed, &job.request, "", error.to_string());
                let refusal = chooser.and_then(|chooser| chooser.end(&error));
                let failure = refusal.unwrap_or_else(|| failure(&error, retry_after));
                sink(JobFrame::Failed(failure))
            }
        };
        if !is_there {
            owner.cancelled(&job.request);
            return;
        }
    }
}

/// Tells the control group that a suspect ran to its end.
fn acquit(owner: &Owner, job: &JobRequest) {
    if !job.is_suspect {
        return;
    }
    let acquit = Command::Acquit { fingerprint: job.fingerprint, at_ms: 0 };
    if let Err(err) = owner.cx.control.propose(acquit, ACQUIT_TIMEOUT) {
        log::warn!("an acquittal was not recorded: {err}");
    }
}

/// A refusal by placement as the entry daemon gets it.
pub(crate) fn refused(refusal: &Refusal) -> RequestFailure {
    RequestFailure {
        status: STATUS_UNAVAILABLE,
        code: String::from(code(refusal.reason)),
        reason: refusal.to_string(),
        verdict: refusal.verdict(),
        retry_after_ms: Some(millis(refusal.retry_after)),
        may_try_another_owner: refusal.may_be_placed_elsewhere(),
    }
}

/// A failure of an upstream as the entry daemon gets it.
pub(crate) fn failure(err: &upstream::Error, retry_after: Duration) -> RequestFailure {
    let status = match err.reason() {
        ErrorReason::Deadline => STATUS_TIMEOUT,
        ErrorReason::Refused(status) => status,
        _ => STATUS_BAD_GATEWAY,
    };
    RequestFailure {
        status,
        code: String::from(if err.is_deadline() { "deadline" } else { "upstream_failed" }),
        reason: err.to_string(),
        verdict: err.verdict(),
        retry_after_ms: Some(millis(retry_after)),
        may_try_another_owner: false,
    }
}

fn code(reason: route::RefusalReason) -> &'static str {
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

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Owner {
    /// Id of an attempt, distinct from other attempts of the same request.
    pub(crate) fn attempt_id(request: &RequestId, attempt: u32) -> RequestId {
        if attempt == 0 { request.clone() } else { format!("{request}+{attempt}") }
    }
}
