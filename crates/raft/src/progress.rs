//! What a leader knows of one other node.

use crate::types::{Index, Snapshot};
use std::collections::VecDeque;

/// How the leader sends to a node.
#[derive(Clone, Debug)]
pub(crate) enum Pace {
    /// One message at a time until the logs are known to meet.
    Probe { waiting: bool },
    /// Several messages at once.
    Replicate,
    /// The entries that the node lacks are compacted: it receives a snapshot, piece by piece.
    Snapshot { snapshot: Snapshot, offset: u64, waiting: bool },
}

/// What a leader knows of one other node.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// The node's log equals the leader's up to here.
    pub(crate) matched: Index,
    /// Next entry to send.
    pub(crate) next: Index,
    pub(crate) pace: Pace,
    /// Last index of each append message under way.
    pub(crate) in_flight: VecDeque<Index>,
    /// Commit index that was last sent.
    pub(crate) sent_commit: Index,
    /// Latest confirmation round that the node answered.
    pub(crate) round: u64,
    /// Latest round that was sent when `matched` last rose.
    pub(crate) matched_round: u64,
    /// Whether the node was found to lack entries that it had acknowledged.
    pub(crate) has_lost_log: bool,
    /// Ticks since the node was last heard of.
    pub(crate) silent_ticks: u32,
}

impl Progress {
    pub(crate) fn new(next: Index) -> Self {
        Self {
            matched: 0,
            next,
            pace: Pace::Probe { waiting: false },
            in_flight: VecDeque::new(),
            sent_commit: 0,
            round: 0,
            matched_round: 0,
            has_lost_log: false,
            silent_ticks: 0,
        }
    }

    /// Notes that the node holds the log up to `matched`. `round` is the latest one sent.
    pub(crate) fn acknowledge(&mut self, matched: Index, round: u64) {
        if matched > self.matched {
            self.matched = matched;
            self.matched_round = round;
        }
        self.next = self.next.max(matched + 1);
        while self.in_flight.front().is_some_and(|last| *last <= matched) {
            self.in_flight.pop_front();
        }
        match &self.pace {
            Pace::Snapshot { snapshot, .. } if self.matched < snapshot.meta.index => (),
            Pace::Replicate => (),
            _ => self.pace = Pace::Replicate,
        }
    }

    /// Checks what a node says of its log in answer to a heartbeat. One that was sent
    /// after the node had acknowledged more proves that the node has lost entries.
    pub(crate) fn check_log(&mut self, round: u64, last: Index) {
        if round > self.matched_round && last < self.matched {
            self.has_lost_log = true;
            self.matched = 0;
        }
    }

    /// Goes back to one message at a time, from `next` on.
    pub(crate) fn probe(&mut self, next: Index) {
        self.next = next.max(self.matched + 1);
        self.in_flight.clear();
        self.pace = Pace::Probe { waiting: false };
    }

    /// Sends a snapshot from its first byte.
    pub(crate) fn start_snapshot(&mut self, snapshot: Snapshot) {
        self.in_flight.clear();
        self.pace = Pace::Snapshot { snapshot, offset: 0, waiting: false };
    }

    /// Lets a message that may have been lost be sent again.
    pub(crate) fn resume(&mut self) {
        match &mut self.pace {
            Pace::Probe { waiting } | Pace::Snapshot { waiting, .. } => *waiting = false,
            Pace::Replicate => (),
        }
    }

    /// Whether the node was heard of within `ticks`.
    pub(crate) fn is_active(&self, ticks: u32) -> bool {
        self.silent_ticks < ticks
    }
}
