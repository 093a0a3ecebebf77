//! Passes a stream of events on to the caller, and resumes it at another upstream if it breaks
//! off.

use super::{
    attempt::{LoggedAttemptOutcome, broken_failure, outcome_of},
    forward::{ForwardedRequest, StreamingResponse, UpstreamResponse},
    record::{PlacementSummary, RequestRecord},
};
use grant::RequestOutcome;
use http::StatusCode;
use proxy::{AttemptFailure, BodySender, EventSplitter};
use std::time::Duration;
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
    Failed(AttemptFailure, String),
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
        let (failure, reason) = match end {
            PartEnd::Complete => {
                guard.end(RequestOutcome::Completed);
                tx.finish().await;
                return record.finish(StatusCode::OK, "stream complete");
            }
            PartEnd::CallerDisconnected => break (StatusCode::OK, "the caller left"),
            PartEnd::DeadlinePassed => {
                break (StatusCode::GATEWAY_TIMEOUT, "broken off: time is over");
            }
            PartEnd::Failed(failure, reason) => (failure, reason),
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
            next = timeout(remaining, request.next_response(&mut record)) => next,
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
    body: &mut proxy::ResponseBody,
    guard: &mut super::guard::GrantGuard,
    tx: &BodySender,
    record: &mut RequestRecord,
) -> PartEnd {
    let mut events = EventSplitter::new();
    let mut has_first_event = false;
    // Bytes that end no event don't extend the wait.
    let mut waiting_since = request.now();
    loop {
        let time_remaining = request.time_remaining();
        let limit = match has_first_event {
            true => request.event_timeout(),
            false => request.first_event_timeout(guard),
        };
        let limit = limit.unwrap_or(Duration::MAX);
        let waited = request.now().saturating_duration_since(waiting_since);
        let wait = limit.saturating_sub(waited).min(time_remaining);
        let next = tokio::select! {
            next = timeout(wait, body.next()) => next,
            () = tx.closed() => return PartEnd::CallerDisconnected,
        };
        let bytes = match next {
            Ok(Ok(Some(bytes))) => bytes,
            Ok(Ok(None)) if events.incomplete().is_empty() => return PartEnd::Complete,
            Ok(Ok(None)) => {
                return PartEnd::Failed(
                    AttemptFailure::Broken,
                    String::from("the stream ended within an event"),
                );
            }
            Ok(Err(err)) => return PartEnd::Failed(broken_failure(&err), err.to_string()),
            Err(_) if request.time_remaining().is_zero() => return PartEnd::DeadlinePassed,
            Err(_) => {
                return PartEnd::Failed(AttemptFailure::Silent, format!("no event in {limit:?}"));
            }
        };
        events.push(&bytes);
        let Some(chunk) = events.next_chunk() else {
            if events.is_event_too_long() {
                let reason = String::from("an event is too long");
                return PartEnd::Failed(AttemptFailure::Broken, reason);
            }
            continue;
        };
        has_first_event = true;
        guard.first_event_received();
        record.first_event_received();
        let sent = tokio::select! {
            sent = tx.send(chunk.bytes) => sent,
            () = sleep(request.time_remaining()) => return PartEnd::DeadlinePassed,
        };
        if !sent {
            return PartEnd::CallerDisconnected;
        }
        request.event_forwarded(chunk.last_id);
        waiting_since = request.now();
    }
}
