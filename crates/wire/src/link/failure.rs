//! Failures to connect to a peer.

use crate::Error;
use kernel::{Repeated, Repeats};
use std::{
    collections::BTreeMap,
    io,
    time::{Duration, Instant},
};

/// Interval in which a peer that stays unreachable for the same reason is logged once.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Why no connection to a peer was made.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LinkFailureKind {
    /// The peer's host refused the connection: nothing listens there.
    Refused,
    /// No connection was open in time.
    Timeout,
    /// The connection was open, and the peer didn't complete the handshake in time.
    NoHandshake,
    /// Any other reason, such as a network that can't be reached or a failed authentication.
    Other,
}

/// The last failure to connect to a peer that hasn't been reached since.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkFailure {
    /// Why it failed.
    pub kind: LinkFailureKind,
    /// When it failed.
    pub at: Instant,
}

impl LinkFailureKind {
    /// Kind of an error of the attempt itself; timeouts are told apart by who sets them.
    pub(crate) fn of(e: &Error) -> Self {
        match e.io_kind() {
            Some(io::ErrorKind::ConnectionRefused) => Self::Refused,
            Some(io::ErrorKind::TimedOut) => Self::Timeout,
            _ => Self::Other,
        }
    }
}

/// Failures to connect to one peer.
#[derive(Debug, Default)]
pub(crate) struct LinkFailures {
    last: Option<LinkFailure>,
    repeats: BTreeMap<LinkFailureKind, Repeats>,
}

impl LinkFailures {
    /// The last one since the peer was reached.
    pub(crate) fn last(&self) -> Option<LinkFailure> {
        self.last
    }

    /// Records that the peer was reached.
    pub(crate) fn end(&mut self) {
        self.last = None;
    }

    /// Records one. Returns what to log, if a line is due.
    pub(crate) fn add(&mut self, kind: LinkFailureKind, now: Instant) -> Option<Repeated> {
        self.last = Some(LinkFailure { kind, at: now });
        self.repeats.entry(kind).or_insert_with(|| Repeats::new(LOG_INTERVAL)).add(now)
    }
}
