//! Requests of followers that wait for a change.

use crate::position::ViewPosition;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time over which changes are collected before the followers get them.
const COLLECTION_TIME: Duration = Duration::from_millis(2);
/// Time between two rounds of replies, for each held request: several times the processor time that
/// a reply takes.
const ROUND_TIME_PER_REQUEST: Duration = Duration::from_micros(300);

/// Request of a follower, with `T` to send the reply with.
#[derive(Debug)]
pub struct HeldRequest<T> {
    /// Position of the follower's view.
    pub position: ViewPosition,
    /// What the reply is sent with.
    pub responder: T,
    received: Instant,
}

/// Requests of followers, held until there is something to reply.
#[derive(Debug)]
pub struct HeldRequests<T> {
    requests: VecDeque<HeldRequest<T>>,
    /// Longest time that a request is held.
    max_wait: Duration,
    /// When the changes that were made meanwhile are sent; `None` if there are none.
    next_round: Option<Instant>,
    /// Time before which no other round begins.
    round_after: Option<Instant>,
}

impl<T> HeldRequests<T> {
    /// Creates an empty set. Each request is held for `max_wait` at most.
    pub fn new(max_wait: Duration) -> Self {
        Self { requests: VecDeque::new(), max_wait, next_round: None, round_after: None }
    }

    /// Holds a request of a follower whose view is at `position`. Returns whether
    /// [`next_due`](Self::next_due) is sooner than it was, or was `None`.
    pub fn hold(&mut self, now: Instant, position: ViewPosition, responder: T) -> bool {
        self.requests.push_back(HeldRequest { position, responder, received: now });
        self.requests.len() == 1
    }

    /// Number of held requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Records that the followers lack a change. Returns whether [`next_due`](Self::next_due) is
    /// sooner than it was.
    pub fn changed(&mut self, now: Instant) -> bool {
        if self.next_round.is_some() {
            return false;
        }
        let due = now + COLLECTION_TIME;
        self.next_round = Some(self.round_after.map_or(due, |after| after.max(due)));
        true
    }

    /// Time at which [`take_due`](Self::take_due) has to be called next; `None` while there is no
    /// request.
    pub fn next_due(&self) -> Option<Instant> {
        let oldest = self.requests.front()?.received + self.max_wait;
        Some(self.next_round.map_or(oldest, |round| round.min(oldest)))
    }

    /// Takes the requests that have to be replied to: in a round, those whose followers are not at
    /// `position`, that of the leader; besides, those that have been held for the longest time.
    pub fn take_due(&mut self, now: Instant, position: ViewPosition) -> Vec<HeldRequest<T>> {
        let mut due = Vec::new();
        if self.next_round.is_some_and(|at| at <= now) {
            self.next_round = None;
            let count = u32::try_from(self.requests.len()).unwrap_or(u32::MAX);
            self.round_after = Some(now + ROUND_TIME_PER_REQUEST * count);
            let is_behind = |request: &HeldRequest<T>| request.position != position;
            let (behind, current): (Vec<_>, Vec<_>) = self.requests.drain(..).partition(is_behind);
            due = behind;
            self.requests = current.into();
        }
        let is_old = |request: &HeldRequest<T>| {
            now.saturating_duration_since(request.received) >= self.max_wait
        };
        while self.requests.front().is_some_and(is_old) {
            due.extend(self.requests.pop_front());
        }
        due
    }

    /// Takes all requests.
    pub fn take_all(&mut self) -> Vec<HeldRequest<T>> {
        self.next_round = None;
        self.requests.drain(..).collect()
    }
}
