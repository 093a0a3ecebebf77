//! Forwards one request: places it, sends it, and retries until there is a response to pass on.

use super::{
    attempt::{LoggedAttemptOutcome, implies_not_run},
    guard::GrantGuard,
    paths::SendState,
    placer::Placer,
    record::{PlacementSummary, RequestRecord},
    tickets::HelperReservations,
    watchlist::RequestFingerprint,
};
use bytes::Bytes;
use control::RequestHash;
use grant::{PlacementRequest, RefusalReason, RequestOutcome};
use http::{StatusCode, request, response};
use kernel::SharedClock;
use platform::head::{CallerHead, stream_event_timeout};
use proxy::{
    AttemptFailure, AttemptHistory, BodyBudget, BodyPermit, NextStep, ResponseBody, next_step,
};
use routing::{RetryPolicy, Route};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::watch, time::sleep};
use wire::{DaemonId, OrganisationId, ServiceId, UpstreamId};

/// `Retry-After` for a caller whose request no upstream ran.
const NOT_RUN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` for a caller that is refused because this daemon is about to stop: another
/// daemon can take the request at once.
pub(super) const STOPPING_RETRY: Duration = Duration::ZERO;
/// Target for the pause between events if the route states none: so long that it affects no
/// decision.
pub(super) const DEFAULT_PAUSE_TARGET: Duration = Duration::from_secs(10);

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
    /// Memory for bodies of responses that are being received.
    pub(crate) response_budget: Arc<BodyBudget>,
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

/// Upstream found for a request.
pub(crate) struct Placement {
    pub(super) guard: GrantGuard,
    pub(super) summary: PlacementSummary,
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

/// Request that is being forwarded, with the attempts made so far.
pub(crate) struct ForwardedRequest {
    pub(super) cx: ForwardContext,
    pub(super) request: ForwardableRequest,
    pub(super) history: AttemptHistory,
    /// Whether the attempt that is under way may have been sent.
    pub(super) sent: SendState,
    tried: Vec<UpstreamId>,
    /// Id of the last event sent to the caller.
    pub(super) last_event_id: Option<u64>,
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

    /// Time from the last events that were sent to the caller to `now`; `None` before the first.
    pub(crate) fn time_since_last_event(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.last_event_at?))
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
    /// attempt is allowed. The first attempt is made as `placement` says, if it is given.
    pub(crate) async fn next_response(
        &mut self,
        record: &mut RequestRecord,
        placement: Option<Placement>,
    ) -> Result<UpstreamResponse, RequestError> {
        let mut next = placement;
        loop {
            let placed = match next.take() {
                Some(placement) => Ok(placement),
                None => self.place(self.history.sent > 0).await,
            };
            let Placement { guard, summary: placement } =
                placed.map_err(|(refusal, after)| self.placement_error(refusal, after))?;
            let started = self.now();
            self.tried.push(guard.upstream().clone());
            self.sent.reset();
            record.start_attempt(&placement);
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
            next = failed.replacement;
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

    /// Finds an upstream for the request. A retry counts against the budget of its service.
    async fn place(&self, is_retry: bool) -> Result<Placement, (RefusalReason, Duration)> {
        let requested_at = self.now();
        let request = self.placement_request(is_retry);
        let (fingerprint, is_leader_placed) =
            (&self.request.fingerprint, self.request.is_leader_placed);
        let guard = tokio::select! {
            placed = self.cx.placer.place(request, fingerprint, is_leader_placed) => placed?,
            () = self.cx.wait_for_stop() => {
                return Err((RefusalReason::Stopping, STOPPING_RETRY));
            }
        };
        let waited = self.now().saturating_duration_since(requested_at);
        Ok(Placement { summary: PlacementSummary::new(&guard, waited), guard })
    }

    /// Finds another upstream for the request that is under way at one, once `limit` has passed; never
    /// ends without a limit. The one that has the request may only be slow, so it is given up for
    /// another one that is granted, not for the hope of one. Returns `None` if the request has crashed
    /// upstreams and is to be given up.
    pub(super) async fn replacement(&self, limit: Option<Duration>) -> Option<Placement> {
        let Some(limit) = limit else { return std::future::pending().await };
        loop {
            sleep(limit).await;
            match self.place(true).await {
                // The leader knows no other.
                Ok(same) if self.tried.last() == Some(same.guard.upstream()) => {
                    same.guard.end(RequestOutcome::NotRun);
                }
                Ok(placement) => return Some(placement),
                Err((RefusalReason::Quarantined, _)) => return None,
                Err((refusal, _)) => {
                    log::debug!(
                        request = self.request.head.request.as_deref().unwrap_or_default();
                        "silent for {limit:?}, and no other upstream: {refusal:?}"
                    );
                }
            }
        }
    }

    /// Describes the request as it is now, for placement.
    fn placement_request(&self, is_retry: bool) -> PlacementRequest {
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
            is_retry,
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
}

/// First 8 bytes of a request's hash, by which the leader recognises the request, and which logs
/// show.
pub(crate) fn short_hash(hash: &RequestHash) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = *hash;
    u64::from_be_bytes([a, b, c, d, e, f, g, h])
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
