//! One request on its way to an answer.

use super::{
    placer::{Hold, Placer},
    record::{Placed, Record},
    tickets::Tickets,
};
use bytes::Bytes;
use grant::{PlacementRequest, RefusalReason, RequestOutcome};
use http::{StatusCode, request, response};
use kernel::SharedClock;
use platform::head::{
    CallerHead, UpstreamHead, read_response_head, stream_event_timeout, upstream_headers,
};
use proxy::{AnswerBody, BodyRoom, Fault, Sent, Step, exchange, gather, next_step};
use routing::{RetryPolicy, Route};
use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::watch, time::timeout};
use wire::{OrganisationId, ServiceId, UpstreamId};

/// Longest wait for a connection: hundreds of round trips within a region. A lost opening
/// packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest answer of a plain service that is read whole before the caller gets any of it,
/// so that a broken one can be asked for again.
const WHOLE_BYTES_MAX: usize = 4 << 20;
/// Least time for an answer that may be asked for again.
const PATIENCE_MIN: Duration = Duration::from_millis(1_600);
/// How many times the expected time an answer may take before it is asked for elsewhere.
const PATIENCE_FACTOR: u32 = 4;
/// Time after which a caller may try again whose request no upstream ran.
const NOT_RUN_RETRY: Duration = Duration::from_millis(300);
/// Time after which a caller may try again that a daemon about to stop sends away: another
/// daemon can take the request at once.
const STOPPING_RETRY: Duration = Duration::ZERO;
/// Pause target of a stream whose route states none: so long that it decides nothing.
const NO_PAUSE_TARGET: Duration = Duration::from_secs(10);

/// A caller's request, with all that decides its way.
pub(crate) struct Order {
    pub(crate) head: CallerHead,
    pub(crate) parts: request::Parts,
    pub(crate) body: Bytes,
    /// Memory of the body.
    pub(crate) _room: BodyRoom,
    pub(crate) organisation: Option<OrganisationId>,
    pub(crate) priority: u8,
    pub(crate) route: Route,
    pub(crate) service: ServiceId,
    /// Whether the leader places it.
    pub(crate) is_dispatched: bool,
    pub(crate) fingerprint: u64,
    pub(crate) arrived: Instant,
    /// When the caller or the route gives up.
    pub(crate) deadline: Instant,
}

/// What a flight needs of its daemon.
pub(crate) struct FlightContext {
    pub(crate) placer: Arc<Placer>,
    pub(crate) clock: SharedClock,
    /// Turns true when this daemon stops so soon that a request which is not sent yet had
    /// better go to another.
    pub(crate) ends_soon: watch::Receiver<bool>,
}

impl FlightContext {
    async fn ends_soon(&self) {
        let mut ends_soon = self.ends_soon.clone();
        // The sender is gone only when the daemon has ended.
        let _ = ends_soon.wait_for(|ends_soon| *ends_soon).await;
    }
}

/// An answer of this system's own, which ends a request.
#[derive(Clone, Debug)]
pub(crate) struct Final {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Option<Duration>,
}

impl Final {
    /// Not allowed, or not well formed.
    pub(crate) fn refused(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// Not run, and never will be.
    pub(crate) fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, reason, retry_after: Some(retry_after) }
    }

    /// It may have run.
    fn failed(reason: &'static str) -> Self {
        Self { status: StatusCode::BAD_GATEWAY, reason, retry_after: None }
    }
}

/// An answer to pass on.
pub(crate) struct Answered {
    pub(crate) head: response::Parts,
    /// The body of an answer that was read whole.
    pub(crate) whole: Option<Bytes>,
    /// The rest of one that was not.
    pub(crate) running: Option<Running>,
}

/// An answer that goes on.
pub(crate) struct Running {
    pub(crate) body: AnswerBody,
    pub(crate) hold: Hold,
    /// Memory that the request uses elsewhere.
    pub(crate) tickets: Tickets,
    pub(crate) sent: Instant,
}

/// How a send ended, for the log.
#[derive(Clone, Debug)]
pub(crate) enum SendEnd {
    /// With an answer to pass on.
    Answered(StatusCode),
    /// Without one.
    Fault(Fault, String),
}

impl fmt::Display for SendEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(status) => write!(f, "{status}"),
            Self::Fault(fault, reason) => write!(f, "{fault:?} ({reason})"),
        }
    }
}

/// A send that brought no answer to pass on.
struct Failed {
    fault: Fault,
    reason: String,
    /// The upstream's own failure, whole, for the caller if nobody answers better.
    answer: Option<(response::Parts, Bytes)>,
}

impl Failed {
    fn new(fault: Fault, reason: impl fmt::Display) -> Self {
        Self { fault, reason: reason.to_string(), answer: None }
    }
}

/// One request on its way.
pub(crate) struct Flight {
    cx: FlightContext,
    order: Order,
    sent: Sent,
    tried: Vec<UpstreamId>,
    /// Last event that the caller was sent.
    last_event: Option<u64>,
    /// When the caller was last sent an event.
    progressed: Option<Instant>,
}

impl Flight {
    pub(crate) fn new(cx: FlightContext, order: Order) -> Self {
        let last_event = order.head.last_event;
        let (sent, tried) = (Sent::default(), Vec::new());
        Self { cx, order, sent, tried, last_event, progressed: None }
    }

    pub(crate) fn now(&self) -> Instant {
        self.cx.clock.now()
    }

    /// Time until the caller or the route gives up.
    pub(crate) fn time_left(&self) -> Duration {
        self.order.deadline.saturating_duration_since(self.now())
    }

    /// Whether the answer is a stream of events.
    pub(crate) fn is_stream(&self) -> bool {
        self.order.route.retry_policy.is_stream()
    }

    /// Notes the last event that the caller was sent.
    pub(crate) fn passed_on(&mut self, event: Option<u64>) {
        self.last_event = event.or(self.last_event);
        self.progressed = Some(self.now());
    }

    /// Longest pause between two events before the rest is asked for elsewhere, if it may.
    pub(crate) fn pause_limit(&self) -> Option<Duration> {
        let pause = self.order.route.pause_target.unwrap_or(NO_PAUSE_TARGET);
        self.may_resume().then_some((pause * PATIENCE_FACTOR).max(PATIENCE_MIN))
    }

    /// Longest wait for the first event before it is asked for elsewhere, if it may be.
    pub(crate) fn first_limit(&self, hold: &Hold) -> Option<Duration> {
        self.may_resume().then(|| self.patience(hold))
    }

    /// Whether the rest of a stream may be asked for elsewhere.
    pub(crate) fn may_resume(&self) -> bool {
        let route = &self.order.route;
        route.retry_policy == RetryPolicy::StreamResumable && self.sent.sends < route.max_attempts
    }

    /// The answer when time is over.
    pub(crate) fn timed_out(&self) -> Final {
        Final { status: StatusCode::GATEWAY_TIMEOUT, reason: "time is over", retry_after: None }
    }

    /// Takes in that an answer that was passed on in part broke off.
    pub(crate) fn broke_off(&mut self, fault: Fault) {
        // Its send was counted when its head was passed on.
        let sends = self.sent.sends;
        self.sent.record(fault);
        self.sent.sends = sends;
    }

    /// Sends the request until there is an answer to pass on.
    pub(crate) async fn next_answer(&mut self, record: &mut Record) -> Result<Answered, Final> {
        loop {
            let asked = self.now();
            let ask = self.ask();
            let placed = tokio::select! {
                placed = self.cx.placer.place(ask, self.order.is_dispatched) => placed,
                () = self.cx.ends_soon() => Err((RefusalReason::Stopping, STOPPING_RETRY)),
            };
            let hold = placed.map_err(|(refusal, after)| self.unplaced(refusal, after))?;
            let started = self.now();
            let placed = Placed::new(&hold, started.saturating_duration_since(asked));
            self.tried.push(hold.upstream().clone());
            let result = self.send(hold, started).await;
            let ms = self.now().saturating_duration_since(started).as_millis();
            let ms = u64::try_from(ms).unwrap_or(u64::MAX);
            let failed = match result {
                Ok(answered) => {
                    self.sent.sends += 1;
                    self.sent.may_have_run = true;
                    let end = SendEnd::Answered(answered.head.status);
                    record.sent(&placed, ms, &end);
                    return Ok(answered);
                }
                Err(failed) => failed,
            };
            let end = SendEnd::Fault(failed.fault, failed.reason);
            record.sent(&placed, ms, &end);
            self.sent.record(failed.fault);
            let route = &self.order.route;
            match next_step(route.retry_policy, route.max_attempts, self.sent, failed.fault) {
                Step::Again => {}
                Step::RefuseNotRun => {
                    return Err(Final::not_run("no upstream ran it", NOT_RUN_RETRY));
                }
                Step::Fail => return Err(Final::failed("the upstream gave no whole answer")),
                Step::PassOn => return pass_on(failed.answer),
            }
        }
    }

    fn ask(&self) -> PlacementRequest {
        let route = &self.order.route;
        let (prompt, output) = self.order.head.tokens.unwrap_or((0, 0));
        let pause_target = route.pause_target.unwrap_or(NO_PAUSE_TARGET);
        // A resumed stream is due its next event, a new one its first.
        let (since, target) = match self.progressed {
            Some(progressed) => (progressed, pause_target),
            None => (self.order.arrived, route.latency_target),
        };
        let passed = self.now().saturating_duration_since(since);
        let patience = match self.is_stream() {
            true => stream_event_timeout(route.latency_target, pause_target).saturating_sub(passed),
            false => self.time_left(),
        };
        PlacementRequest {
            id: self.cx.placer.next_id(),
            service: self.order.service.clone(),
            prompt_tokens: prompt,
            max_output_tokens: output,
            priority: self.order.priority,
            target_remaining: target.saturating_sub(passed),
            pause_target,
            deadline_remaining: self.time_left().min(patience),
            time_remaining: self.time_left(),
            tried: self.tried.clone(),
            is_retry: self.sent.sends > 0,
            fingerprint: self.order.fingerprint,
        }
    }

    /// A refusal says "not run" only if no upstream may have run the request before.
    fn unplaced(&self, refusal: RefusalReason, after: Duration) -> Final {
        let reason = match refusal {
            RefusalReason::NoUpstream => "no upstream takes work",
            RefusalReason::TooLarge => "no upstream has the memory",
            RefusalReason::DeadlineUnmeetable => "no time is left to run it",
            RefusalReason::RetryBudget => "too many repeats",
            RefusalReason::Quarantined => "it has crashed upstreams",
            RefusalReason::Stopping => "this daemon stops",
        };
        match self.sent.may_have_run {
            true => Final::failed(reason),
            false => Final::not_run(reason, after),
        }
    }

    async fn send(&self, mut hold: Hold, started: Instant) -> Result<Answered, Failed> {
        let tickets = match Tickets::reserve(hold.ticket_name(), &hold.grant.helpers).await {
            Ok(tickets) => tickets,
            Err(reason) => {
                hold.end(RequestOutcome::NotRun);
                return Err(Failed::new(Fault::Unreachable, reason));
            }
        };
        let result = self.converse(&mut hold, &tickets, started).await;
        match result {
            Ok((head, Body::Running(body))) => {
                let running = Running { body, hold, tickets, sent: started };
                Ok(Answered { head, whole: None, running: Some(running) })
            }
            Ok((head, Body::Whole(bytes))) => {
                hold.end(RequestOutcome::Completed);
                Ok(Answered { head, whole: Some(bytes), running: None })
            }
            Err(failed) => {
                hold.end(end_of(failed.fault));
                Err(failed)
            }
        }
    }

    async fn converse(
        &self,
        hold: &mut Hold,
        tickets: &Tickets,
        started: Instant,
    ) -> Result<(response::Parts, Body), Failed> {
        let grant = &hold.grant;
        let request = self.request_to(hold, tickets);
        let answer = exchange(grant.address, CONNECT_TIMEOUT, request, self.order.body.clone());
        let limit = self.patience(hold);
        let answer = match timeout(limit, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(err)) if err.is_sent() => return Err(Failed::new(Fault::Broken, err)),
            Ok(Err(err)) => return Err(Failed::new(Fault::Unreachable, err)),
            Err(_) => return Err(Failed::new(Fault::Silent, "no head of an answer in time")),
        };
        let (head, mut body) = (answer.head, answer.body);
        let said = read_response_head(head.status, &head.headers);
        if said.request != self.order.head.request {
            return Err(Failed::new(Fault::Broken, "the answer to another request"));
        }
        if said.is_not_run {
            return Err(Failed::new(Fault::NotRun, head.status));
        }
        if head.status.is_success() {
            if !said.is_signed || said.is_encoded {
                return Err(Failed::new(Fault::Broken, "not the upstream's own body"));
            }
            if self.is_stream() {
                return Ok((head, Body::Running(body)));
            }
        }
        let left = limit.saturating_sub(self.now().saturating_duration_since(started));
        let whole = match timeout(left, gather(&mut body, WHOLE_BYTES_MAX)).await {
            Ok(Ok(whole)) => whole,
            Ok(Err(err)) => return Err(Failed::new(Fault::Broken, err)),
            Err(_) => return Err(Failed::new(Fault::Silent, "no whole answer in time")),
        };
        if head.status.is_server_error() || promises_not_run(head.status) {
            let failed = Failed::new(Fault::Failed, head.status);
            return Err(Failed { answer: Some((head, whole)), ..failed });
        }
        Ok((head, Body::Whole(whole)))
    }

    fn request_to(&self, hold: &Hold, tickets: &Tickets) -> request::Parts {
        let mut parts = self.order.parts.clone();
        let to = UpstreamHead {
            upstream: &hold.grant.upstream,
            deadline: self.time_left(),
            organisation: self.order.organisation.as_ref(),
            helpers: hold.grant.helpers.iter().map(|h| tickets.name(h)).collect(),
            resume_after: self.last_event.filter(|e| Some(*e) != self.order.head.last_event),
        };
        parts.headers = upstream_headers(&parts.headers, &to);
        parts.version = http::Version::HTTP_11;
        parts
    }

    /// How long to wait for an answer, or the head of a stream, that may be asked for
    /// elsewhere. Any other is awaited to the end: its silence proves nothing.
    fn patience(&self, hold: &Hold) -> Duration {
        let route = &self.order.route;
        let left = self.time_left();
        let is_last = self.sent.sends + 1 >= route.max_attempts;
        if is_last || !route.retry_policy.allows_retry() {
            return left;
        }
        let expected = match route.retry_policy.is_stream() {
            true => hold.grant.expected_first_event.max(route.latency_target),
            false => route.latency_target,
        };
        (expected * PATIENCE_FACTOR).max(PATIENCE_MIN).min(left)
    }
}

enum Body {
    Whole(Bytes),
    Running(AnswerBody),
}

fn pass_on(answer: Option<(response::Parts, Bytes)>) -> Result<Answered, Final> {
    match answer {
        Some((head, whole)) if !promises_not_run(head.status) => {
            Ok(Answered { head, whole: Some(whole), running: None })
        }
        // The upstream ran the request, and its status would say that nobody did.
        _ => Err(Final::failed("the upstream failed")),
    }
}

/// Whether callers read a status as the promise that the request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// What the end of a send means to the load and health of its upstream.
pub(crate) fn end_of(fault: Fault) -> RequestOutcome {
    match fault {
        Fault::Unreachable => RequestOutcome::Unreachable,
        Fault::NotRun => RequestOutcome::NotRun,
        Fault::Broken => RequestOutcome::Broken,
        Fault::Silent => RequestOutcome::Silent,
        Fault::Failed => RequestOutcome::Failed,
    }
}
