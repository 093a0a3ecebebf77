//! One attempt to get a response to a request from the upstream that it was placed on.

use super::{
    forward::{
        DEFAULT_PAUSE_TARGET, ForwardedRequest, Placement, StreamingResponse, UpstreamResponse,
    },
    guard::GrantGuard,
    paths::{CONNECT_TIMEOUT, PathError, PathResponse, UpstreamMessage},
    relay::RelayedKind,
    tickets::HelperReservations,
};
use bytes::Bytes;
use grant::RequestOutcome;
use http::{StatusCode, request, response};
use platform::head::{UpstreamHead, read_response_head, upstream_headers};
use proxy::{AttemptFailure, ExchangeError, ResponseBody, read_budgeted_body};
use std::{
    fmt,
    time::{Duration, Instant},
};
use wire::DaemonId;

/// Longest response, in bytes, that is read whole before the caller gets any of it, so that the
/// request can be retried if the response breaks off. A longer one counts as broken.
pub(super) const BUFFERED_BYTES_MAX: usize = 4 << 20;
/// Shortest time without a response, or without an event, after which another upstream is asked for.
const RESPONSE_TIMEOUT_MIN: Duration = Duration::from_millis(1_600);
/// Multiple of the expected time that a response, or the next event, may take before another
/// upstream is asked for.
const RESPONSE_TIMEOUT_FACTOR: u32 = 4;

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
pub(super) struct AttemptError {
    pub(super) failure: AttemptFailure,
    /// What the failure means for the load and health of the upstream.
    pub(super) outcome: RequestOutcome,
    pub(super) reason: String,
    /// Daemon through which it was made; `None` on an own connection.
    pub(super) relay: Option<DaemonId>,
    /// Error response of the upstream, which the caller gets if no retry does better.
    pub(super) response: Option<(response::Parts, Bytes)>,
    /// Upstream for the next attempt, if it has been found already.
    pub(super) replacement: Option<Placement>,
}

impl AttemptError {
    fn new(failure: AttemptFailure, reason: impl fmt::Display) -> Self {
        let outcome = outcome_of(failure);
        let reason = reason.to_string();
        Self { failure, outcome, reason, relay: None, response: None, replacement: None }
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

impl ForwardedRequest {
    /// Longest pause between two events before another upstream is asked to resume the stream.
    /// `None` if none can.
    pub(crate) fn event_timeout(&self) -> Option<Duration> {
        let pause = self.request.route.pause_target.unwrap_or(DEFAULT_PAUSE_TARGET);
        self.may_resume().then_some((pause * RESPONSE_TIMEOUT_FACTOR).max(RESPONSE_TIMEOUT_MIN))
    }

    /// Longest wait for the first event before another upstream is asked to resume the stream.
    /// `None` if none can.
    pub(crate) fn first_event_timeout(&self, guard: &GrantGuard) -> Option<Duration> {
        self.response_timeout(guard).filter(|_| self.may_resume())
    }

    /// Reserves memory on helpers and sends the request to the granted upstream. Ends the grant
    /// unless the response is a stream.
    pub(super) async fn attempt(
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
        let limit = self.response_timeout(&guard);
        let result = tokio::select! {
            biased;
            result = self.exchange_with(&mut guard, &reservations) => result,
            replacement = self.replacement(limit) => Err(self.given_up(replacement)),
        };
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

    /// Error of an attempt that is given up, without a response, for another upstream.
    fn given_up(&self, replacement: Option<Placement>) -> AttemptError {
        let failed = match self.sent.may_be_sent() {
            true => AttemptError::new(AttemptFailure::Silent, "no response in time"),
            false => {
                let failed =
                    AttemptError::new(AttemptFailure::Unreachable, "no connection in time");
                // The time was too short to tell anything about the upstream.
                AttemptError { outcome: RequestOutcome::NotRun, ..failed }
            }
        };
        AttemptError { replacement, ..failed }
    }

    /// Sends the request and receives the response: only the head of a stream, the whole body of
    /// any other.
    async fn exchange_with(
        &self,
        guard: &mut GrantGuard,
        reservations: &HelperReservations,
    ) -> Result<(response::Parts, ReceivedBody), AttemptError> {
        let request = self.upstream_request(guard, reservations);
        let message = UpstreamMessage {
            kind: RelayedKind::Request,
            target: guard.target(),
            head: request,
            body: self.request.body.clone(),
        };
        let response = self.cx.placer.paths.exchange(message, CONNECT_TIMEOUT, &self.sent);
        let response = match response.await {
            Ok(PathResponse { response, relay }) => {
                guard.relay = relay;
                response
            }
            Err(failed) => {
                guard.relay = failed.relay.clone();
                return Err(failed.into());
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
        let budget = &self.cx.response_budget;
        let complete_body = read_budgeted_body(&mut body, BUFFERED_BYTES_MAX, budget).await;
        let complete_body =
            complete_body.map_err(|err| AttemptError::new(broken_failure(&err), err))?;
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

    /// Longest wait for a response, or for the head of a stream, before another upstream is asked for.
    /// `None` if the request may not be sent again: silence alone is no reason to give up.
    fn response_timeout(&self, guard: &GrantGuard) -> Option<Duration> {
        let route = &self.request.route;
        let is_last = self.history.sent + 1 >= route.max_attempts;
        if is_last || !route.retry_policy.allows_retry() {
            return None;
        }
        let expected = match route.retry_policy.is_stream() {
            true => guard.grant.expected_first_event.max(route.latency_target),
            false => route.latency_target,
        };
        Some((expected * RESPONSE_TIMEOUT_FACTOR).max(RESPONSE_TIMEOUT_MIN))
    }
}

/// Body of a response, read whole or still being received.
enum ReceivedBody {
    Complete(Bytes),
    Streaming(ResponseBody),
}

/// Whether callers take a status as a promise that the request has not run.
pub(super) fn implies_not_run(status: StatusCode) -> bool {
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
