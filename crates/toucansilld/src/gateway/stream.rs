//! Passes a stream of events on to the caller, and resumes it at another upstream if it breaks
//! off.

use super::{
    attempt::{LoggedAttemptOutcome, broken_failure, outcome_of},
    forward::{ForwardedRequest, Placement, StreamingResponse, UpstreamResponse},
    guard::GrantGuard,
    record::{PlacementSummary, RequestRecord},
};
use grant::RequestOutcome;
use http::StatusCode;
use proxy::{
    AttemptFailure, BodyBudget, BodySender, EventChunk, EventSplitter, MAX_EVENT_BYTES,
    ResponseBody, SHORT_BODY_BYTES,
};
use std::{fmt, sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};

/// How the part of a stream that one upstream sent has ended.
enum PartEnd {
    /// The stream is complete.
    Complete,
    /// The caller has disconnected.
    CallerDisconnected,
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// The connection broke, or no event came in time.
    Failed(Box<FailedPart>),
}

/// Part of a stream that is not whole, and why.
struct FailedPart {
    failure: AttemptFailure,
    reason: String,
    /// Upstream that is to resume the stream, if it has been found already.
    replacement: Option<Placement>,
}

impl PartEnd {
    fn failed(failure: AttemptFailure, reason: impl fmt::Display) -> Self {
        let reason = reason.to_string();
        Self::Failed(Box::new(FailedPart { failure, reason, replacement: None }))
    }
}

/// Passes events on until the stream is complete, the caller disconnects, the deadline passes, or
/// the stream can't be resumed. Unless it is complete, `tx` is dropped without a regular end of
/// the body, by which the caller sees that a part is missing.
pub(crate) async fn forward_stream(
    mut request: ForwardedRequest,
    response: UpstreamResponse,
    tx: BodySender,
    mut record: RequestRecord,
) {
    let mut response = response;
    let (status, reason) = loop {
        let Some(streaming) = response.streaming.take() else {
            break (StatusCode::BAD_GATEWAY, "broken off: the response is not a stream");
        };
        let StreamingResponse { mut body, mut guard, reservations, started } = streaming;
        let end = forward_part(&mut request, &mut body, &mut guard, &tx, &mut record).await;
        drop(body);
        drop(reservations);
        let ms = request.now().saturating_duration_since(started).as_millis() as u64;
        let FailedPart { failure, reason, replacement } = match end {
            PartEnd::Complete => {
                guard.end(RequestOutcome::Completed);
                tx.finish().await;
                return record.finish(StatusCode::OK, "stream complete");
            }
            PartEnd::CallerDisconnected => break (StatusCode::OK, "the caller left"),
            PartEnd::DeadlinePassed => {
                break (StatusCode::GATEWAY_TIMEOUT, "broken off: time is over");
            }
            PartEnd::Failed(failed) => *failed,
        };
        let end = LoggedAttemptOutcome::Failed(failure, reason);
        let placement = PlacementSummary::new(&guard, Duration::ZERO);
        record.add_attempt(&placement, guard.relay.as_ref(), ms, &end);
        guard.end(outcome_of(failure));
        request.stream_broke_off(failure);
        if !request.may_resume() {
            break (StatusCode::BAD_GATEWAY, "broken off by the upstream");
        }
        let remaining = request.time_remaining();
        let next = tokio::select! {
            next = timeout(remaining, request.next_response(&mut record, replacement)) => next,
            () = tx.closed() => break (StatusCode::OK, "the caller left"),
        };
        response = match next {
            Ok(Ok(next)) if next.head.status == StatusCode::OK => next,
            Ok(Ok(_)) => break (StatusCode::BAD_GATEWAY, "broken off: not resumed"),
            Ok(Err(failure)) => break (failure.status, failure.reason),
            Err(_) => break (StatusCode::GATEWAY_TIMEOUT, "broken off: time is over"),
        };
    };
    record.finish(status, reason);
}

/// Passes on the events of one upstream, only whole ones, so that another can resume after the
/// last of them.
async fn forward_part(
    request: &mut ForwardedRequest,
    body: &mut ResponseBody,
    guard: &mut GrantGuard,
    tx: &BodySender,
    record: &mut RequestRecord,
) -> PartEnd {
    let mut events = EventSplitter::new();
    let mut limit = request.first_event_timeout(guard);
    let budget = Arc::clone(&request.cx.response_budget);
    loop {
        let chunk = tokio::select! {
            biased;
            chunk = next_events(body, &mut events, &budget) => chunk,
            () = tx.closed() => return PartEnd::CallerDisconnected,
            () = sleep(request.time_remaining()) => return PartEnd::DeadlinePassed,
            replacement = request.replacement(limit) => {
                let reason = format!("no event in {:?}", limit.unwrap_or_default());
                let failure = AttemptFailure::Silent;
                return PartEnd::Failed(Box::new(FailedPart { failure, reason, replacement }));
            }
        };
        let chunk = match chunk {
            Ok(chunk) => chunk,
            Err(end) => return end,
        };
        guard.first_event_received();
        record.first_event_received();
        let received = request.now();
        if let Some(pause) = request.time_since_last_event(received) {
            record.upstream_paused(pause);
        }
        let sent = tokio::select! {
            sent = tx.send(chunk.bytes) => sent,
            () = sleep(request.time_remaining()) => return PartEnd::DeadlinePassed,
        };
        if !sent {
            return PartEnd::CallerDisconnected;
        }
        request.event_forwarded(chunk.last_id);
        record.caller_paused(request.now().saturating_duration_since(received));
        limit = request.event_timeout();
    }
}

/// Receives bytes until events are whole. The memory for an event that isn't short comes from `budget`.
async fn next_events(
    body: &mut ResponseBody,
    events: &mut EventSplitter,
    budget: &BodyBudget,
) -> Result<EventChunk, PartEnd> {
    let mut permit = None;
    loop {
        if permit.is_none() && events.incomplete().len() > SHORT_BODY_BYTES {
            permit = Some(budget.acquire(MAX_EVENT_BYTES as u64).await);
        }
        match body.next().await {
            Ok(Some(bytes)) => events.push(&bytes),
            Ok(None) if events.incomplete().is_empty() => return Err(PartEnd::Complete),
            Ok(None) => {
                let reason = "the stream ended within an event";
                return Err(PartEnd::failed(AttemptFailure::Broken, reason));
            }
            Err(err) => return Err(PartEnd::failed(broken_failure(&err), err)),
        }
        if let Some(chunk) = events.next_chunk() {
            return Ok(chunk);
        }
        if events.has_foreign_head() {
            let reason = "the head of another response within the stream";
            return Err(PartEnd::failed(AttemptFailure::Broken, reason));
        }
        if events.is_event_too_long() {
            return Err(PartEnd::failed(AttemptFailure::Broken, "an event is too long"));
        }
    }
}
