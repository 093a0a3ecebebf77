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
            silent_ticks: 0,
        }
    }

    /// Notes that the node holds the log up to `matched`.
    pub(crate) fn acknowledge(&mut self, matched: Index) {
        self.matched = self.matched.max(matched);
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
