//! One job on an owner: placement, stream and moves to other upstreams.

use super::{Owner, OwnerMsg, Placed, PlacedResult, gang};
use crate::{
    messages::{Failure, Job, JobFrame},
    sync::lock,
};
use control::{Charge, Command, Outcome, Standing};
use route::{Placement, Prefix, Refusal, TokenUsage};
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use upstream::{Failed, Reason, Stream, StreamEvent, StreamRequest, Target};
use wire::{RequestId, UpstreamId, Verdict};

/// Takes a job's frames; false once the other end is gone.
pub(crate) type FrameSink<'a> = dyn FnMut(JobFrame) -> bool + 'a;

/// Time between two looks whether the entry daemon still waits.
const PRESENCE_CHECK: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a charge.
const CHARGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Status of a refusal because of load or missing upstreams.
const STATUS_UNAVAILABLE: u16 = 503;
/// Status of a failure of an upstream.
const STATUS_BAD_GATEWAY: u16 = 502;
/// Status of a request whose deadline has passed.
const STATUS_TIMEOUT: u16 = 504;

/// Runs a job and hands its frames to `sink`.
pub(crate) fn run(owner: &Owner, job: &Job, sink: &mut FrameSink<'_>) {
    let deadline = owner.cx.clock.now() + Duration::from_millis(job.deadline_ms);
    let placed = match wait(owner, submit(owner, job, deadline, Vec::new(), job.is_suspect), sink) {
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

enum Waited {
    Placed(Placed),
    Refused(Refusal),
    Gone,
}

fn submit(
    owner: &Owner,
    job: &Job,
    deadline: Instant,
    avoid: Vec<UpstreamId>,
    is_suspect: bool,
) -> flume::Receiver<PlacedResult> {
    let priority = if job.urgent { route::Priority::Urgent } else { route::Priority::Ordinary };
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
        avoid,
        is_suspect,
    })
}

/// Waits for the placement, and looks now and then whether the other end is there.
fn wait(owner: &Owner, rx: flume::Receiver<PlacedResult>, sink: &mut FrameSink<'_>) -> Waited {
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
                let retry_after = owner.client_retry_after();
                return Waited::Refused(Refusal { reason: route::Reason::NoUpstream, retry_after });
            }
        }
    }
}

/// Streams from one upstream, and from others if it fails.
fn stream(owner: &Owner, job: &Job, deadline: Instant, placed: Placed, sink: &mut FrameSink<'_>) {
    let mut req =
        StreamRequest::new(job.request.clone(), job.path.clone(), job.body.clone(), deadline);
    req.first = job.first;
    req.headers.push((
        String::from("toucansill-priority"),
        String::from(if job.urgent { "urgent" } else { "ordinary" }),
    ));
    let chooser = Chooser::new(owner, job, deadline, placed);
    let refusal = Arc::clone(&chooser.refusal);
    let events = owner.client.stream(req, move |failed| chooser.choose(failed));
    forward(owner, job, events, &refusal, sink);
}

/// Hands the events of a stream on as frames.
pub(crate) fn forward(
    owner: &Owner,
    job: &Job,
    mut events: Stream,
    refusal: &Mutex<Option<Failure>>,
    sink: &mut FrameSink<'_>,
) {
    let mut is_first = true;
    while let Some(event) = events.recv() {
        let is_there = match event {
            StreamEvent::Sent(_) | StreamEvent::Progress => sink(JobFrame::Waiting),
            StreamEvent::Token(token) => {
                if std::mem::take(&mut is_first) {
                    owner.send(OwnerMsg::FirstToken { request: job.request.clone() });
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
                let refusal = lock(refusal).take();
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

/// Chooses the next upstream after a failure.
struct Chooser {
    tx: flume::Sender<OwnerMsg>,
    control: Arc<crate::control_client::ControlClient>,
    job: Job,
    deadline: Instant,
    next: Mutex<ChooserState>,
    refusal: Arc<Mutex<Option<Failure>>>,
}

struct ChooserState {
    placed: Option<Placed>,
    avoid: Vec<UpstreamId>,
    current: Option<Placed>,
    is_suspect: bool,
}

impl Chooser {
    fn new(owner: &Owner, job: &Job, deadline: Instant, placed: Placed) -> Self {
        let state = ChooserState {
            placed: Some(placed),
            avoid: Vec::new(),
            current: None,
            is_suspect: job.is_suspect,
        };
        Self {
            tx: owner.tx.clone(),
            control: Arc::clone(&owner.cx.control),
            job: job.clone(),
            deadline,
            next: Mutex::new(state),
            refusal: Arc::default(),
        }
    }

    fn choose(&self, failed: Option<&Failed>) -> Option<Target> {
        let mut state = lock(&self.next);
        if let Some(placed) = state.placed.take() {
            let target = placed.targets.first().cloned();
            state.current = Some(placed);
            return target;
        }
        let failed = failed?;
        self.tell(OwnerMsg::Failed {
            request: self.job.request.clone(),
            failure: blame(&failed.error),
        });
        if blame(&failed.error) == route::Failure::Request {
            return None;
        }
        if is_death(&failed.error) && !self.charge(&mut state, failed) {
            return None;
        }
        state.avoid.push(failed.target.upstream.clone());
        self.place_again(&mut state)
    }

    /// Charges the death of an upstream to this request. False if the request is
    /// refused everywhere from now on.
    fn charge(&self, state: &mut ChooserState, failed: &Failed) -> bool {
        let current = state.current.as_ref();
        let grant = current.and_then(|placed| placed.placement.grants().first().copied().cloned());
        let charge = Charge {
            fingerprint: self.job.fingerprint,
            upstream: failed.target.upstream.clone(),
            incarnation: grant.map_or(0, |grant| grant.incarnation),
            alone: current.is_some_and(|placed| placed.in_flight <= 1),
            at_ms: 0,
        };
        match self.control.propose(Command::Charge(charge), CHARGE_TIMEOUT) {
            Ok(Outcome::Standing(Standing::Quarantined { .. })) => {
                *lock(&self.refusal) = Some(quarantined());
                false
            }
            Ok(Outcome::Standing(Standing::Suspect)) => {
                state.is_suspect = true;
                true
            }
            Ok(_) => true,
            Err(err) => {
                log::warn!("a charge was not recorded: {err}");
                state.is_suspect = true;
                true
            }
        }
    }

    fn place_again(&self, state: &mut ChooserState) -> Option<Target> {
        let (reply, placed) = flume::bounded(1);
        let job = route::Job {
            request: self.job.request.clone(),
            model: self.job.model.clone(),
            priority: route::Priority::Urgent,
            prompt_tokens: self.job.prompt_tokens,
            max_output_tokens: self.job.max_output_tokens,
            prefixes: Vec::new(),
            deadline: self.deadline,
            avoid: state.avoid.clone(),
            is_suspect: state.is_suspect,
        };
        self.tell(OwnerMsg::Submit { job: Box::new(job), reply });
        match placed.recv_deadline(self.deadline) {
            Ok(Ok(placed)) if placed.targets.len() > 1 => {
                // What was sent to one engine can't go on over several.
                self.tell(OwnerMsg::Cancelled { request: self.job.request.clone() });
                None
            }
            Ok(Ok(placed)) => {
                let target = placed.targets.first().cloned();
                state.current = Some(placed);
                target
            }
            Ok(Err(refusal)) => {
                let mut failure = refused(&refusal);
                failure.verdict = Verdict::MayHaveRun;
                *lock(&self.refusal) = Some(failure);
                None
            }
            Err(_) => None,
        }
    }

    fn tell(&self, msg: OwnerMsg) {
        if self.tx.send(msg).is_err() {
            log::error!("the owner's thread has ended");
        }
    }
}

/// Whether the failure is the fault of the request itself.
fn blame(err: &upstream::Error) -> route::Failure {
    if err.is_caller_fault() { route::Failure::Request } else { route::Failure::Upstream }
}

/// Whether the upstream may have died with the request in flight.
fn is_death(err: &upstream::Error) -> bool {
    let is_lost = matches!(err.reason(), Reason::Broken | Reason::Unreachable);
    is_lost && err.verdict() != Verdict::NotRun
}

/// Tells the control group that a suspect ran to its end.
fn acquit(owner: &Owner, job: &Job) {
    if !job.is_suspect {
        return;
    }
    let acquit = Command::Acquit { fingerprint: job.fingerprint, at_ms: 0 };
    if let Err(err) = owner.cx.control.propose(acquit, CHARGE_TIMEOUT) {
        log::warn!("an acquittal was not recorded: {err}");
    }
}

fn quarantined() -> Failure {
    Failure {
        status: 422,
        code: String::from("quarantined"),
        reason: String::from("upstreams died with this request in flight"),
        verdict: Verdict::MayHaveRun,
        retry_after_ms: None,
        is_local: false,
    }
}

/// A refusal by placement as the entry daemon gets it.
pub(crate) fn refused(refusal: &Refusal) -> Failure {
    Failure {
        status: STATUS_UNAVAILABLE,
        code: String::from(code(refusal.reason)),
        reason: refusal.to_string(),
        verdict: refusal.verdict(),
        retry_after_ms: Some(millis(refusal.retry_after)),
        is_local: refusal.is_local(),
    }
}

/// A failure of an upstream as the entry daemon gets it.
pub(crate) fn failure(err: &upstream::Error, retry_after: Duration) -> Failure {
    let status = match err.reason() {
        Reason::Deadline => STATUS_TIMEOUT,
        Reason::Refused(status) => status,
        _ => STATUS_BAD_GATEWAY,
    };
    Failure {
        status,
        code: String::from(if err.is_deadline() { "deadline" } else { "upstream_failed" }),
        reason: err.to_string(),
        verdict: err.verdict(),
        retry_after_ms: Some(millis(retry_after)),
        is_local: false,
    }
}

fn code(reason: route::Reason) -> &'static str {
    match reason {
        route::Reason::NoUpstream => "no_upstream",
        route::Reason::DataCentreOut => "data_centre_out",
        route::Reason::TooLong => "prompt_too_long",
        route::Reason::DeadlineTooShort => "deadline_too_short",
        route::Reason::DeadlineUnmeetable => "deadline_unmeetable",
        route::Reason::QueueFull => "queue_full",
        route::Reason::Duplicate => "duplicate",
        route::Reason::Quarantined => "quarantined",
        route::Reason::RetryBudget => "retry_budget",
    }
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl Owner {
    fn client_retry_after(&self) -> Duration {
        super::ANSWER_TIMEOUT
    }

    /// Id of an attempt, distinct from other attempts of the same request.
    pub(crate) fn attempt_id(request: &RequestId, attempt: u32) -> RequestId {
        if attempt == 0 { request.clone() } else { format!("{request}+{attempt}") }
    }
}
