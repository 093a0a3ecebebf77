//! Passes a stream of events on, and goes on with it at another upstream if it breaks off.

use super::{
    flight::{Answered, Flight, Running, end_of},
    record::{Placed, Record},
};
use grant::RequestOutcome;
use http::StatusCode;
use proxy::{BodySender, Events, Fault};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How an upstream's part of a stream ended.
enum PartEnd {
    /// The stream is whole.
    Whole,
    /// The caller has left.
    CallerLeft,
    /// The time of the request is over.
    TimeOver,
    /// It broke off, or went silent.
    Fault(Fault, String),
}

/// Passes events on until the stream is whole. A body that is dropped before its end tells
/// the caller that it is not.
pub(crate) async fn pump(
    mut flight: Flight,
    answered: Answered,
    tx: BodySender,
    mut record: Record,
) {
    let mut answered = answered;
    let (status, reason) = loop {
        let Some(running) = answered.running.take() else {
            break (StatusCode::BAD_GATEWAY, "broken off: the rest is no stream");
        };
        let Running { mut body, mut hold, tickets, sent } = running;
        let end = pass_part(&mut flight, &mut body, &mut hold, &tx, &mut record).await;
        drop(body);
        drop(tickets);
        let ms = flight.now().saturating_duration_since(sent).as_millis() as u64;
        let (fault, reason) = match end {
            PartEnd::Whole => {
                hold.end(RequestOutcome::Completed);
                tx.finish().await;
                return record.finish(StatusCode::OK, "stream whole");
            }
            PartEnd::CallerLeft => break (StatusCode::OK, "the caller left"),
            PartEnd::TimeOver => break (StatusCode::GATEWAY_TIMEOUT, "broken off: time is over"),
            PartEnd::Fault(fault, reason) => (fault, reason),
        };
        let end = super::flight::SendEnd::Fault(fault, reason);
        record.sent(&Placed::new(&hold, Duration::ZERO), ms, &end);
        hold.end(end_of(fault));
        flight.broke_off(fault);
        if !flight.may_resume() {
            break (StatusCode::BAD_GATEWAY, "broken off by the upstream");
        }
        let left = flight.time_left();
        let next = tokio::select! {
            next = timeout(left, flight.next_answer(&mut record)) => next,
            () = tx.left() => break (StatusCode::OK, "the caller left"),
        };
        answered = match next {
            Ok(Ok(next)) if next.head.status == StatusCode::OK => next,
            Ok(Ok(_)) => break (StatusCode::BAD_GATEWAY, "broken off: not resumed"),
            Ok(Err(failure)) => break (failure.status, failure.reason),
            Err(_) => break (StatusCode::GATEWAY_TIMEOUT, "broken off: time is over"),
        };
    };
    record.finish(status, reason);
}

async fn pass_part(
    flight: &mut Flight,
    body: &mut proxy::AnswerBody,
    hold: &mut super::placer::Hold,
    tx: &BodySender,
    record: &mut Record,
) -> PartEnd {
    let mut events = Events::new();
    let mut has_begun = false;
    loop {
        let time_left = flight.time_left();
        let limit = match has_begun {
            true => flight.pause_limit(),
            false => flight.first_limit(hold),
        };
        let limit = limit.unwrap_or(Duration::MAX);
        let next = tokio::select! {
            next = timeout(limit.min(time_left), body.next()) => next,
            () = tx.left() => return PartEnd::CallerLeft,
        };
        let bytes = match next {
            Ok(Ok(Some(bytes))) => bytes,
            Ok(Ok(None)) if events.rest().is_empty() => return PartEnd::Whole,
            Ok(Ok(None)) => {
                return PartEnd::Fault(Fault::Broken, String::from("it ends within an event"));
            }
            Ok(Err(err)) => return PartEnd::Fault(Fault::Broken, err.to_string()),
            Err(_) if flight.time_left().is_zero() => return PartEnd::TimeOver,
            Err(_) => return PartEnd::Fault(Fault::Silent, format!("no event in {limit:?}")),
        };
        events.push(&bytes);
        let Some(piece) = events.next_piece() else { continue };
        has_begun = true;
        hold.began();
        record.first_event();
        let sent = tokio::select! {
            sent = tx.send(piece.bytes) => sent,
            () = sleep(flight.time_left()) => return PartEnd::TimeOver,
        };
        if !sent {
            return PartEnd::CallerLeft;
        }
        flight.passed_on(piece.id);
    }
}
