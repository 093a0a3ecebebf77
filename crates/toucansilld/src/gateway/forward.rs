//! Forwards one request: places it, sends it, and retries until there is a response to pass on.

use super::{
    guard::GrantGuard,
    paths::{PathError, PathResponse, SendState, UpstreamMessage},
    placer::Placer,
    record::{PlacementSummary, RequestRecord},
    relay::RelayedKind,
    tickets::HelperReservations,
    watchlist::RequestFingerprint,
};
use bytes::Bytes;
use control::RequestHash;
use grant::{PlacementRequest, RefusalReason, RequestOutcome};
use http::{StatusCode, request, response};
use kernel::SharedClock;
use platform::head::{
    CallerHead, UpstreamHead, read_response_head, stream_event_timeout, upstream_headers,
};
use proxy::{
    AttemptFailure, AttemptHistory, BodyPermit, ExchangeError, NextStep, ResponseBody, next_step,
    read_response_body,
};
use routing::{RetryPolicy, Route};
use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::watch, time::timeout};
use wire::{DaemonId, OrganisationId, ServiceId, UpstreamId};

/// Timeout for a connection: hundreds of round trips within a region. It does not cover the loss
/// of a SYN packet, which TCP resends only after 1 s.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest response, in bytes, that is read whole before the caller gets any of it, so that the
/// request can be retried if the response breaks off. A longer one counts as broken.
const BUFFERED_BYTES_MAX: usize = 4 << 20;
/// Shortest timeout for a response, or the next event, of a request that may be retried.
const RESPONSE_TIMEOUT_MIN: Duration = Duration::from_millis(1_600);
/// Multiple of the expected time that a response, or the next event, may take before the request
/// is retried elsewhere.
const RESPONSE_TIMEOUT_FACTOR: u32 = 4;
/// `Retry-After` for a caller whose request no upstream ran.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` for a caller that is refused because this daemon is about to stop: another
/// daemon can take the request at once.
const STOPPING_RETRY: Duration = Duration::ZERO;
/// Target for the pause between events if the route states none: so long that it affects no
/// decision.
const DEFAULT_PAUSE_TARGET: Duration = Duration::from_secs(10);

/// Request of a caller, with what decides how it is placed and retried.
pub(crate) struct ForwardableRequest {
    pub(crate) head: CallerHead,
    pub(crate) parts: request::Parts,
    pub(crate) body: Bytes,
    /// Share of the memory for request bodies, held while the request lives.
    pub(crate) _body_permit: BodyPermit,
    pub(crate) organisation: Option<OrganisationId>,
    pub(crate) priority: u8,
    pub(crate) route: Route,
    pub(crate) service: ServiceId,
    /// Whether the leader places it, as its service runs on engines.
    pub(crate) is_leader_placed: bool,
    /// What it is recognised by.
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) arrived: Instant,
    /// When the caller's deadline or the route's timeout expires.
    pub(crate) deadline: Instant,
}

/// Parts of the daemon that forwarding uses.
pub(crate) struct ForwardContext {
    pub(crate) placer: Arc<Placer>,
    pub(crate) clock: SharedClock,
    /// Turns true when this daemon stops so soon that a request not yet sent to an upstream is
    /// refused, so that the caller takes it to another daemon.
    pub(crate) is_stopping_soon: watch::Receiver<bool>,
}

impl ForwardContext {
    /// Returns once [`is_stopping_soon`](Self::is_stopping_soon) is true.
    async fn wait_for_stop(&self) {
        let mut is_stopping_soon = self.is_stopping_soon.clone();
        // An error means that the sender is gone, thus that the daemon has stopped.
        let _ = is_stopping_soon.wait_for(|is_soon| *is_soon).await;
    }
}

/// Response that the gateway itself gives to the caller instead of an upstream's.
#[derive(Clone, Debug)]
pub(crate) struct RequestError {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Option<Duration>,
}

impl RequestError {
    /// The request is not allowed or malformed.
    pub(crate) fn refused(status: StatusCode, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None }
    }

    /// No upstream has run the request, and none will. The caller may retry it after that time.
    pub(crate) fn not_run(reason: &'static str, retry_after: Duration) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, reason, retry_after: Some(retry_after) }
    }

    /// An upstream may have run the request.
    fn failed(reason: &'static str) -> Self {
        Self { status: StatusCode::BAD_GATEWAY, reason, retry_after: None }
    }
}

/// Response of an upstream to pass on to the caller.
pub(crate) struct UpstreamResponse {
    pub(crate) head: response::Parts,
    /// Body, if it was read whole.
    pub(crate) complete_body: Option<Bytes>,
    /// Stream that delivers the body otherwise.
    pub(crate) streaming: Option<StreamingResponse>,
    /// Daemon through which it came; `None` on an own connection.
    pub(crate) relay: Option<DaemonId>,
}

/// Response whose body is still being received.
pub(crate) struct StreamingResponse {
    pub(crate) body: ResponseBody,
    pub(crate) guard: GrantGuard,
    /// Memory reserved on helpers, held until the stream ends.
    pub(crate) reservations: HelperReservations,
    /// When the attempt began, just after its placement.
    pub(crate) started: Instant,
}

/// How an attempt ended, for the log.
#[derive(Clone, Debug)]
pub(crate) enum LoggedAttemptOutcome {
    /// With a response to pass on.
    Answered(StatusCode),
    /// Without one, for this reason.
    Failed(AttemptFailure, String),
}

impl fmt::Display for LoggedAttemptOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(status) => write!(f, "{status}"),
            Self::Failed(failure, reason) => write!(f, "{failure:?} ({reason})"),
        }
    }
}

/// Attempt that gave no response to pass on.
struct AttemptError {
    failure: AttemptFailure,
    /// What the failure means for the load and health of the upstream.
    outcome: RequestOutcome,
    reason: String,
    /// Daemon through which it was made; `None` on an own connection.
    relay: Option<DaemonId>,
    /// Error response of the upstream, which the caller gets if no retry does better.
    response: Option<(response::Parts, Bytes)>,
}

impl AttemptError {
    fn new(failure: AttemptFailure, reason: impl fmt::Display) -> Self {
        let outcome = outcome_of(failure);
        Self { failure, outcome, reason: reason.to_string(), relay: None, response: None }
    }
}

impl From<PathError> for AttemptError {
    fn from(PathError { err, has_no_path, relay }: PathError) -> Self {
        let failure = match err.may_have_run() {
            true => broken_failure(&err),
            false => AttemptFailure::Unreachable,
        };
        let failed = Self { relay, ..Self::new(failure, err) };
        match has_no_path {
            // It says nothing about the upstream.
            true => Self { outcome: RequestOutcome::NotRun, ..failed },
            false => failed,
        }
    }
}

/// Request that is being forwarded, with the attempts made so far.
pub(crate) struct ForwardedRequest {
    cx: ForwardContext,
    request: ForwardableRequest,
    history: AttemptHistory,
    /// Whether the attempt that is under way may have been sent.
    sent: SendState,
    tried: Vec<UpstreamId>,
    /// Id of the last event sent to the caller.
    last_event_id: Option<u64>,
    /// When the last event was sent to the caller.
    last_event_at: Option<Instant>,
}

impl ForwardedRequest {
    pub(crate) fn new(cx: ForwardContext, request: ForwardableRequest) -> Self {
        let last_event_id = request.head.last_event;
        Self {
            cx,
            request,
            history: AttemptHistory::default(),
            sent: SendState::default(),
            tried: Vec::new(),
            last_event_id,
            last_event_at: None,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.cx.clock.now()
    }

    /// Time remaining until the deadline.
    pub(crate) fn time_remaining(&self) -> Duration {
        self.request.deadline.saturating_duration_since(self.now())
    }

    /// Whether a successful response is a stream of server-sent events.
    pub(crate) fn is_stream(&self) -> bool {
        self.request.route.retry_policy.is_stream()
    }

    /// Records that events were sent to the caller; `event` is the last id among them, if any.
    pub(crate) fn event_forwarded(&mut self, event: Option<u64>) {
        self.last_event_id = event.or(self.last_event_id);
        self.last_event_at = Some(self.now());
    }

    /// Longest pause between two events before the stream is resumed elsewhere. `None` if it
    /// can't be.
    pub(crate) fn event_timeout(&self) -> Option<Duration> {
        let pause = self.request.route.pause_target.unwrap_or(DEFAULT_PAUSE_TARGET);
        self.may_resume().then_some((pause * RESPONSE_TIMEOUT_FACTOR).max(RESPONSE_TIMEOUT_MIN))
    }

    /// Longest wait for the first event before the stream is resumed elsewhere. `None` if it
    /// can't be.
    pub(crate) fn first_event_timeout(&self, guard: &GrantGuard) -> Option<Duration> {
        self.may_resume().then(|| self.response_timeout(guard))
    }

    /// Whether a stream that breaks off may be resumed at another upstream.
    pub(crate) fn may_resume(&self) -> bool {
        let route = &self.request.route;
        route.retry_policy == RetryPolicy::StreamResumable && self.history.sent < route.max_attempts
    }

    /// Error for a request whose deadline has passed. If it was never sent, it says so.
    pub(crate) fn timed_out(&self) -> RequestError {
        if !self.history.may_have_run && !self.sent.may_be_sent() {
            return RequestError::not_run("time is over, not sent", NOT_RUN_RETRY_AFTER);
        }
        RequestError {
            status: StatusCode::GATEWAY_TIMEOUT,
            reason: "time is over",
            retry_after: None,
        }
    }

    /// Records that a stream broke off after a part of it was passed on.
    pub(crate) fn stream_broke_off(&mut self, failure: AttemptFailure) {
        // The attempt was counted when the head of its response was passed on.
        let sent = self.history.sent;
        self.history.record(failure);
        self.history.sent = sent;
    }

    /// Places and sends the request until an upstream gives a response to pass on, or no more
    /// attempt is allowed.
    pub(crate) async fn next_response(
        &mut self,
        record: &mut RequestRecord,
    ) -> Result<UpstreamResponse, RequestError> {
        loop {
            let requested_at = self.now();
            let request = self.placement_request();
            let placement = tokio::select! {
                placement = self.cx.placer.place(
                    request,
                    &self.request.fingerprint,
                    self.request.is_leader_placed,
                ) => placement,
                () = self.cx.wait_for_stop() => Err((RefusalReason::Stopping, STOPPING_RETRY)),
            };
            let guard =
                placement.map_err(|(refusal, after)| self.placement_error(refusal, after))?;
            let started = self.now();
            let placement =
                PlacementSummary::new(&guard, started.saturating_duration_since(requested_at));
            self.tried.push(guard.upstream().clone());
            self.sent.reset();
            let result = self.attempt(guard, started).await;
            let ms = self.now().saturating_duration_since(started).as_millis();
            let ms = u64::try_from(ms).unwrap_or(u64::MAX);
            let failed = match result {
                Ok(response) => {
                    self.history.sent += 1;
                    self.history.may_have_run = true;
                    let outcome = LoggedAttemptOutcome::Answered(response.head.status);
                    record.add_attempt(&placement, response.relay.as_ref(), ms, &outcome);
                    return Ok(response);
                }
                Err(failed) => failed,
            };
            let outcome = LoggedAttemptOutcome::Failed(failed.failure, failed.reason);
            record.add_attempt(&placement, failed.relay.as_ref(), ms, &outcome);
            self.history.record(failed.failure);
            self.sent.reset();
            let route = &self.request.route;
            match next_step(route.retry_policy, route.max_attempts, self.history, failed.failure) {
                NextStep::Retry => {}
                NextStep::RefuseNotRun => {
                    let wait = self.cx.placer.wait_if_all_excluded(&self.request.service);
                    let retry_after = wait.unwrap_or(NOT_RUN_RETRY_AFTER);
                    return Err(RequestError::not_run("no upstream ran it", retry_after));
                }
                NextStep::Fail => {
                    return Err(RequestError::failed("the upstream gave no whole answer"));
                }
                NextStep::ForwardFailure => return upstream_failure(failed.response),
            }
        }
    }

    /// Describes the request as it is now, for placement.
    fn placement_request(&self) -> PlacementRequest {
        let route = &self.request.route;
        let (prompt, output) = self.request.head.tokens.unwrap_or((0, 0));
        let pause_target = route.pause_target.unwrap_or(DEFAULT_PAUSE_TARGET);
        // The target of a resumed stream is its next event, that of a new one its first.
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
            first_event_target_remaining: target.saturating_sub(passed),
            pause_target,
            first_event_deadline_remaining: self.time_remaining().min(wait_limit),
            response_time_remaining: self.time_remaining(),
            tried: self.tried.clone(),
            is_retry: self.history.sent > 0,
            request_hash: short_hash(&self.request.fingerprint.request),
        }
    }

    /// Error for a request that was not placed. It says "not run" only if no earlier attempt may
    /// have run the request.
    fn placement_error(&self, refusal: RefusalReason, after: Duration) -> RequestError {
        let reason = match refusal {
            RefusalReason::NoUpstream => "no upstream takes work",
            RefusalReason::TooLarge => "no upstream has the memory",
            RefusalReason::DeadlineUnmeetable => "no time is left to run it",
            RefusalReason::RetryBudget => "too many repeats",
            RefusalReason::Quarantined => "it has crashed upstreams",
            RefusalReason::Stopping => "this daemon stops",
        };
        match self.history.may_have_run {
            true => RequestError::failed(reason),
            false => RequestError::not_run(reason, after),
        }
    }

    /// Reserves memory on helpers and sends the request to the granted upstream. Ends the grant
    /// unless the response is a stream.
    async fn attempt(
        &self,
        mut guard: GrantGuard,
        started: Instant,
    ) -> Result<UpstreamResponse, AttemptError> {
        let name = guard.reservation_name();
        let reservations = match HelperReservations::reserve(
            name,
            &guard.grant,
            &self.cx.placer.paths,
            &self.cx.clock,
        )
        .await
        {
            Ok(reservations) => reservations,
            Err(reason) => {
                guard.end(RequestOutcome::NotRun);
                return Err(AttemptError::new(AttemptFailure::Unreachable, reason));
            }
        };
        let result = self.exchange_with(&mut guard, &reservations, started).await;
        let relay = guard.relay.clone();
        match result {
            Ok((head, ReceivedBody::Streaming(body))) => {
                let streaming = Some(StreamingResponse { body, guard, reservations, started });
                Ok(UpstreamResponse { head, complete_body: None, streaming, relay })
            }
            Ok((head, ReceivedBody::Complete(bytes))) => {
                guard.end(RequestOutcome::Completed);
                Ok(UpstreamResponse { head, complete_body: Some(bytes), streaming: None, relay })
            }
            Err(failed) => {
                guard.end(failed.outcome);
                Err(AttemptError { relay, ..failed })
            }
        }
    }

    /// Sends the request and receives the response: only the head of a stream, the whole body of
    /// any other.
    async fn exchange_with(
        &self,
        guard: &mut GrantGuard,
        reservations: &HelperReservations,
        started: Instant,
    ) -> Result<(response::Parts, ReceivedBody), AttemptError> {
        let request = self.upstream_request(guard, reservations);
        let message = UpstreamMessage {
            kind: RelayedKind::Request,
            target: guard.target(),
            head: request,
            body: self.request.body.clone(),
        };
        let response = self.cx.placer.paths.exchange(message, CONNECT_TIMEOUT, &self.sent);
        let limit = self.response_timeout(guard);
        let response = match timeout(limit, response).await {
            Ok(Ok(PathResponse { response, relay })) => {
                guard.relay = relay;
                response
            }
            Ok(Err(failed)) => {
                guard.relay = failed.relay.clone();
                return Err(failed.into());
            }
            Err(_) if !self.sent.may_be_sent() => {
                let failed =
                    AttemptError::new(AttemptFailure::Unreachable, "no connection in time");
                // The time was too short to tell anything about the upstream.
                return Err(AttemptError { outcome: RequestOutcome::NotRun, ..failed });
            }
            Err(_) => {
                return Err(AttemptError::new(
                    AttemptFailure::Silent,
                    "no head of an answer in time",
                ));
            }
        };
        let (head, mut body) = (response.head, response.body);
        let decoded_head = read_response_head(head.status, &head.headers);
        if decoded_head.request != self.request.head.request {
            return Err(AttemptError::new(AttemptFailure::Broken, "the answer to another request"));
        }
        guard.response_received(&decoded_head);
        if decoded_head.is_not_run {
            return Err(AttemptError::new(AttemptFailure::NotRun, head.status));
        }
        if head.status.is_success() {
            if !decoded_head.is_signed || decoded_head.is_encoded {
                return Err(AttemptError::new(
                    AttemptFailure::Broken,
                    "not the upstream's own body",
                ));
            }
            if self.is_stream() {
                return Ok((head, ReceivedBody::Streaming(body)));
            }
        }
        let remaining = limit.saturating_sub(self.now().saturating_duration_since(started));
        let complete_body =
            match timeout(remaining, read_response_body(&mut body, BUFFERED_BYTES_MAX)).await {
                Ok(Ok(complete_body)) => complete_body,
                Ok(Err(err)) => return Err(AttemptError::new(broken_failure(&err), err)),
                Err(_) => {
                    return Err(AttemptError::new(
                        AttemptFailure::Silent,
                        "no complete response in time",
                    ));
                }
            };
        if head.status.is_server_error() || implies_not_run(head.status) {
            let failed = AttemptError::new(AttemptFailure::Failed, head.status);
            return Err(AttemptError { response: Some((head, complete_body)), ..failed });
        }
        Ok((head, ReceivedBody::Complete(complete_body)))
    }

    /// Head of the request to the upstream.
    fn upstream_request(
        &self,
        guard: &GrantGuard,
        reservations: &HelperReservations,
    ) -> request::Parts {
        let mut parts = self.request.parts.clone();
        let target = UpstreamHead {
            upstream: &guard.grant.upstream,
            remaining: self.time_remaining(),
            organisation: self.request.organisation.as_ref(),
            helpers: guard.grant.helpers.iter().map(|h| reservations.name(h)).collect(),
            resume_after: self.last_event_id.filter(|e| Some(*e) != self.request.head.last_event),
        };
        parts.headers = upstream_headers(&parts.headers, &target);
        parts.version = http::Version::HTTP_11;
        parts
    }

    /// Longest wait for a response, or for the head of a stream. It is shorter than the remaining
    /// time only if the request may be retried elsewhere. Otherwise silence alone is no reason to
    /// give up.
    fn response_timeout(&self, guard: &GrantGuard) -> Duration {
        let route = &self.request.route;
        let remaining = self.time_remaining();
        let is_last = self.history.sent + 1 >= route.max_attempts;
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

/// First 8 bytes of a request's hash, by which the leader recognises the request, and which logs
/// show.
pub(crate) fn short_hash(hash: &RequestHash) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = *hash;
    u64::from_be_bytes([a, b, c, d, e, f, g, h])
}

/// Body of a response, read whole or still being received.
enum ReceivedBody {
    Complete(Bytes),
    Streaming(ResponseBody),
}

/// Passes on the error response of an upstream, if its status may be told to the caller.
fn upstream_failure(
    response: Option<(response::Parts, Bytes)>,
) -> Result<UpstreamResponse, RequestError> {
    match response {
        Some((head, complete_body)) if !implies_not_run(head.status) => {
            let complete_body = Some(complete_body);
            Ok(UpstreamResponse { head, complete_body, streaming: None, relay: None })
        }
        // The upstream ran the request, but its status would tell the caller that none did.
        _ => Err(RequestError::failed("the upstream failed")),
    }
}

/// Whether callers take a status as a promise that the request has not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Failure that a broken connection counts as.
pub(crate) fn broken_failure(err: &ExchangeError) -> AttemptFailure {
    match err.is_unresponsive() {
        true => AttemptFailure::Silent,
        false => AttemptFailure::Broken,
    }
}

/// Outcome that the failure of an attempt counts as for the load and health of its upstream.
pub(crate) fn outcome_of(failure: AttemptFailure) -> RequestOutcome {
    match failure {
        AttemptFailure::Unreachable => RequestOutcome::Unreachable,
        AttemptFailure::NotRun => RequestOutcome::NotRun,
        AttemptFailure::Broken => RequestOutcome::Broken,
        AttemptFailure::Silent => RequestOutcome::Silent,
        AttemptFailure::Failed => RequestOutcome::Failed,
    }
}
