//! One request on its way to an answer.

use super::{
    placer::{GrantGuard, Placer},
    record::{PlacementSummary, RequestRecord},
    tickets::HelperReservations,
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
const BUFFERED_BYTES_MAX: usize = 4 << 20;
/// Least time for an answer that may be asked for again.
const RESPONSE_TIMEOUT_MIN: Duration = Duration::from_millis(1_600);
/// How many times the expected time an answer may take before it is asked for elsewhere.
const RESPONSE_TIMEOUT_FACTOR: u32 = 4;
/// Time after which a caller may try again whose request no upstream ran.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time after which a caller may try again that a daemon about to stop sends away: another
/// daemon can take the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::ZERO;
/// Pause target of a stream whose route states none: so long that it decides nothing.
const DEFAULT_PAUSE_TARGET: Duration = Duration::from_secs(10);

/// A caller's request, with all that decides its way.
pub(crate) struct CallerRequest {
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
pub(crate) struct ForwardContext {
    pub(crate) placer: Arc<Placer>,
    pub(crate) clock: SharedClock,
    /// Turns true when this daemon stops so soon that a request which is not sent yet had
    /// better go to another.
    pub(crate) is_stopping_soon: watch::Receiver<bool>,
}

impl ForwardContext {
    async fn wait_for_stop(&self) {
        let mut is_stopping_soon = self.is_stopping_soon.clone();
        // The sender is gone only when the daemon has ended.
        let _ = is_stopping_soon.wait_for(|is_soon| *is_soon).await;
    }
}

/// An answer of this system's own, which ends a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestError {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Option<Duration>,
}

impl RequestError {
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
pub(crate) struct UpstreamResponse {
    pub(crate) head: response::Parts,
    /// The body of an answer that was read whole.
    pub(crate) complete_body: Option<Bytes>,
    /// The rest of one that was not.
    pub(crate) streaming: Option<StreamingResponse>,
}

/// An answer that goes on.
pub(crate) struct StreamingResponse {
    pub(crate) body: AnswerBody,
    pub(crate) guard: GrantGuard,
    /// Memory that the request uses elsewhere.
    pub(crate) reservations: HelperReservations,
    pub(crate) started: Instant,
}

/// How a send ended, for the log.
#[derive(Clone, Debug)]
pub(crate) enum AttemptOutcome {
    /// With an answer to pass on.
    Answered(StatusCode),
    /// Without one.
    Fault(Fault, String),
}

impl fmt::Display for AttemptOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(status) => write!(f, "{status}"),
            Self::Fault(fault, reason) => write!(f, "{fault:?} ({reason})"),
        }
    }
}

/// A send that brought no answer to pass on.
struct FailedAttempt {
    fault: Fault,
    reason: String,
    /// The upstream's own failure, whole, for the caller if nobody answers better.
    response: Option<(response::Parts, Bytes)>,
}

impl FailedAttempt {
    fn new(fault: Fault, reason: impl fmt::Display) -> Self {
        Self { fault, reason: reason.to_string(), response: None }
    }
}

/// One request on its way.
pub(crate) struct ForwardedRequest {
    cx: ForwardContext,
    request: CallerRequest,
    sent: Sent,
    tried: Vec<UpstreamId>,
    /// Last event that the caller was sent.
    last_event_id: Option<u64>,
    /// When the caller was last sent an event.
    last_event_at: Option<Instant>,
}

impl ForwardedRequest {
    pub(crate) fn new(cx: ForwardContext, request: CallerRequest) -> Self {
        let last_event_id = request.head.last_event;
        let (sent, tried) = (Sent::default(), Vec::new());
        Self { cx, request, sent, tried, last_event_id, last_event_at: None }
    }

    pub(crate) fn now(&self) -> Instant {
        self.cx.clock.now()
    }

    /// Time until the caller or the route gives up.
    pub(crate) fn time_remaining(&self) -> Duration {
        self.request.deadline.saturating_duration_since(self.now())
    }

    /// Whether the answer is a stream of events.
    pub(crate) fn is_stream(&self) -> bool {
        self.request.route.retry_policy.is_stream()
    }

    /// Notes the last event that the caller was sent.
    pub(crate) fn event_forwarded(&mut self, event: Option<u64>) {
        self.last_event_id = event.or(self.last_event_id);
        self.last_event_at = Some(self.now());
    }

    /// Longest pause between two events before the rest is asked for elsewhere, if it may.
    pub(crate) fn event_timeout(&self) -> Option<Duration> {
        let pause = self.request.route.pause_target.unwrap_or(DEFAULT_PAUSE_TARGET);
        self.may_resume().then_some((pause * RESPONSE_TIMEOUT_FACTOR).max(RESPONSE_TIMEOUT_MIN))
    }

    /// Longest wait for the first event before it is asked for elsewhere, if it may be.
    pub(crate) fn first_event_timeout(&self, guard: &GrantGuard) -> Option<Duration> {
        self.may_resume().then(|| self.response_timeout(guard))
    }

    /// Whether the rest of a stream may be asked for elsewhere.
    pub(crate) fn may_resume(&self) -> bool {
        let route = &self.request.route;
        route.retry_policy == RetryPolicy::StreamResumable && self.sent.sends < route.max_attempts
    }

    /// The answer when time is over.
    pub(crate) fn timed_out(&self) -> RequestError {
        RequestError {
            status: StatusCode::GATEWAY_TIMEOUT,
            reason: "time is over",
            retry_after: None,
        }
    }

    /// Takes in that an answer that was passed on in part broke off.
    pub(crate) fn stream_broke_off(&mut self, fault: Fault) {
        // Its send was counted when its head was passed on.
        let sends = self.sent.sends;
        self.sent.record(fault);
        self.sent.sends = sends;
    }

    /// Sends the request until there is an answer to pass on.
    pub(crate) async fn next_response(
        &mut self,
        record: &mut RequestRecord,
    ) -> Result<UpstreamResponse, RequestError> {
        loop {
            let requested_at = self.now();
            let placement_request = self.placement_request();
            let placement = tokio::select! {
                placement = self.cx.placer.place(placement_request, self.request.is_dispatched) => placement,
                () = self.cx.wait_for_stop() => Err((RefusalReason::Stopping, STOPPING_RETRY_AFTER)),
            };
            let guard =
                placement.map_err(|(refusal, after)| self.placement_error(refusal, after))?;
            let started = self.now();
            let placement =
                PlacementSummary::new(&guard, started.saturating_duration_since(requested_at));
            self.tried.push(guard.upstream().clone());
            let result = self.attempt(guard, started).await;
            let ms = self.now().saturating_duration_since(started).as_millis();
            let ms = u64::try_from(ms).unwrap_or(u64::MAX);
            let failed = match result {
                Ok(response) => {
                    self.sent.sends += 1;
                    self.sent.may_have_run = true;
                    let outcome = AttemptOutcome::Answered(response.head.status);
                    record.add_attempt(&placement, ms, &outcome);
                    return Ok(response);
                }
                Err(failed) => failed,
            };
            let outcome = AttemptOutcome::Fault(failed.fault, failed.reason);
            record.add_attempt(&placement, ms, &outcome);
            self.sent.record(failed.fault);
            let route = &self.request.route;
            match next_step(route.retry_policy, route.max_attempts, self.sent, failed.fault) {
                Step::Again => {}
                Step::RefuseNotRun => {
                    return Err(RequestError::not_run("no upstream ran it", NOT_RUN_RETRY_AFTER));
                }
                Step::Fail => {
                    return Err(RequestError::failed("the upstream gave no whole answer"));
                }
                Step::PassOn => return upstream_failure(failed.response),
            }
        }
    }

    fn placement_request(&self) -> PlacementRequest {
        let route = &self.request.route;
        let (prompt, output) = self.request.head.tokens.unwrap_or((0, 0));
        let pause_target = route.pause_target.unwrap_or(DEFAULT_PAUSE_TARGET);
        // A resumed stream is due its next event, a new one its first.
        let (since, target) = match self.last_event_at {
            Some(last_event_at) => (last_event_at, pause_target),
            None => (self.request.arrived, route.latency_target),
        };
        let passed = self.now().saturating_duration_since(since);
        let wait_limit = match self.is_stream() {
            true => stream_event_timeout(route.latency_target, pause_target).saturating_sub(passed),
            false => self.time_remaining(),
        };
        PlacementRequest {
            id: self.cx.placer.next_id(),
            service: self.request.service.clone(),
            prompt_tokens: prompt,
            max_output_tokens: output,
            priority: self.request.priority,
            target_remaining: target.saturating_sub(passed),
            pause_target,
            deadline_remaining: self.time_remaining().min(wait_limit),
            time_remaining: self.time_remaining(),
            tried: self.tried.clone(),
            is_retry: self.sent.sends > 0,
            fingerprint: self.request.fingerprint,
        }
    }

    /// A refusal says "not run" only if no upstream may have run the request before.
    fn placement_error(&self, refusal: RefusalReason, after: Duration) -> RequestError {
        let reason = match refusal {
            RefusalReason::NoUpstream => "no upstream takes work",
            RefusalReason::TooLarge => "no upstream has the memory",
            RefusalReason::DeadlineUnmeetable => "no time is left to run it",
            RefusalReason::RetryBudget => "too many repeats",
            RefusalReason::Quarantined => "it has crashed upstreams",
            RefusalReason::Stopping => "this daemon stops",
        };
        match self.sent.may_have_run {
            true => RequestError::failed(reason),
            false => RequestError::not_run(reason, after),
        }
    }

    async fn attempt(
        &self,
        mut guard: GrantGuard,
        started: Instant,
    ) -> Result<UpstreamResponse, FailedAttempt> {
        let reservations =
            match HelperReservations::reserve(guard.reservation_name(), &guard.grant.helpers).await
            {
                Ok(reservations) => reservations,
                Err(reason) => {
                    guard.end(RequestOutcome::NotRun);
                    return Err(FailedAttempt::new(Fault::Unreachable, reason));
                }
            };
        let result = self.exchange_with(&mut guard, &reservations, started).await;
        match result {
            Ok((head, ResponseBody::Streaming(body))) => {
                let streaming = StreamingResponse { body, guard, reservations, started };
                Ok(UpstreamResponse { head, complete_body: None, streaming: Some(streaming) })
            }
            Ok((head, ResponseBody::Complete(bytes))) => {
                guard.end(RequestOutcome::Completed);
                Ok(UpstreamResponse { head, complete_body: Some(bytes), streaming: None })
            }
            Err(failed) => {
                guard.end(outcome_of(failed.fault));
                Err(failed)
            }
        }
    }

    async fn exchange_with(
        &self,
        guard: &mut GrantGuard,
        reservations: &HelperReservations,
        started: Instant,
    ) -> Result<(response::Parts, ResponseBody), FailedAttempt> {
        let grant = &guard.grant;
        let request = self.upstream_request(guard, reservations);
        let response = exchange(grant.address, CONNECT_TIMEOUT, request, self.request.body.clone());
        let limit = self.response_timeout(guard);
        let response = match timeout(limit, response).await {
            Ok(Ok(response)) => response,
            Ok(Err(err)) if err.is_sent() => return Err(FailedAttempt::new(Fault::Broken, err)),
            Ok(Err(err)) => return Err(FailedAttempt::new(Fault::Unreachable, err)),
            Err(_) => {
                return Err(FailedAttempt::new(Fault::Silent, "no head of an answer in time"));
            }
        };
        let (head, mut body) = (response.head, response.body);
        let facts = read_response_head(head.status, &head.headers);
        if facts.request != self.request.head.request {
            return Err(FailedAttempt::new(Fault::Broken, "the answer to another request"));
        }
        if facts.is_not_run {
            return Err(FailedAttempt::new(Fault::NotRun, head.status));
        }
        if head.status.is_success() {
            if !facts.is_signed || facts.is_encoded {
                return Err(FailedAttempt::new(Fault::Broken, "not the upstream's own body"));
            }
            if self.is_stream() {
                return Ok((head, ResponseBody::Streaming(body)));
            }
        }
        let remaining = limit.saturating_sub(self.now().saturating_duration_since(started));
        let complete_body = match timeout(remaining, gather(&mut body, BUFFERED_BYTES_MAX)).await {
            Ok(Ok(complete_body)) => complete_body,
            Ok(Err(err)) => return Err(FailedAttempt::new(Fault::Broken, err)),
            Err(_) => return Err(FailedAttempt::new(Fault::Silent, "no whole answer in time")),
        };
        if head.status.is_server_error() || implies_not_run(head.status) {
            let failed = FailedAttempt::new(Fault::Failed, head.status);
            return Err(FailedAttempt { response: Some((head, complete_body)), ..failed });
        }
        Ok((head, ResponseBody::Complete(complete_body)))
    }

    fn upstream_request(
        &self,
        guard: &GrantGuard,
        reservations: &HelperReservations,
    ) -> request::Parts {
        let mut parts = self.request.parts.clone();
        let target = UpstreamHead {
            upstream: &guard.grant.upstream,
            deadline: self.time_remaining(),
            organisation: self.request.organisation.as_ref(),
            helpers: guard.grant.helpers.iter().map(|h| reservations.name(h)).collect(),
            resume_after: self.last_event_id.filter(|e| Some(*e) != self.request.head.last_event),
        };
        parts.headers = upstream_headers(&parts.headers, &target);
        parts.version = http::Version::HTTP_11;
        parts
    }

    /// How long to wait for an answer, or the head of a stream, that may be asked for
    /// elsewhere. Any other is awaited to the end: its silence proves nothing.
    fn response_timeout(&self, guard: &GrantGuard) -> Duration {
        let route = &self.request.route;
        let remaining = self.time_remaining();
        let is_last = self.sent.sends + 1 >= route.max_attempts;
        if is_last || !route.retry_policy.allows_retry() {
            return remaining;
        }
        let expected = match route.retry_policy.is_stream() {
            true => guard.grant.expected_first_event.max(route.latency_target),
            false => route.latency_target,
        };
        (expected * RESPONSE_TIMEOUT_FACTOR).max(RESPONSE_TIMEOUT_MIN).min(remaining)
    }
}

enum ResponseBody {
    Complete(Bytes),
    Streaming(AnswerBody),
}

fn upstream_failure(
    response: Option<(response::Parts, Bytes)>,
) -> Result<UpstreamResponse, RequestError> {
    match response {
        Some((head, complete_body)) if !implies_not_run(head.status) => {
            Ok(UpstreamResponse { head, complete_body: Some(complete_body), streaming: None })
        }
        // The upstream ran the request, and its status would say that nobody did.
        _ => Err(RequestError::failed("the upstream failed")),
    }
}

/// Whether callers read a status as the promise that the request has not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// What the end of a send means to the load and health of its upstream.
pub(crate) fn outcome_of(fault: Fault) -> RequestOutcome {
    match fault {
        Fault::Unreachable => RequestOutcome::Unreachable,
        Fault::NotRun => RequestOutcome::NotRun,
        Fault::Broken => RequestOutcome::Broken,
        Fault::Silent => RequestOutcome::Silent,
        Fault::Failed => RequestOutcome::Failed,
    }
}
