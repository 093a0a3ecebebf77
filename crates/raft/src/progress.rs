//! Replication progress of one member, as tracked by the leader.

use crate::types::{Index, Snapshot};
use std::collections::VecDeque;

/// How the leader currently replicates to a node.
#[derive(Clone, Debug)]
pub(crate) enum ReplicationMode {
    /// The last index shared with the node is unknown: the leader sends one append at a time.
    /// `awaiting_response` is set until the node responds.
    Probe { awaiting_response: bool },
    /// The logs match up to `matched`: the leader sends several appends without waiting.
    Replicate,
    /// The entries that the node lacks are compacted: the leader sends a snapshot in chunks.
    /// `offset` is the first byte of the next chunk; `awaiting_response` is set until the node
    /// responds.
    Snapshot { snapshot: Snapshot, offset: u64, awaiting_response: bool },
}

/// Replication progress of one member.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// Last index up to which the node's log on disk is known to equal the leader's.
    pub(crate) matched: Index,
    /// Index of the next entry to send.
    pub(crate) next: Index,
    pub(crate) mode: ReplicationMode,
    /// Last index of each append message in flight.
    pub(crate) in_flight: VecDeque<Index>,
    /// Commit index in the last append sent.
    pub(crate) sent_commit: Index,
    /// Last heartbeat round that the node responded to.
    pub(crate) round: u64,
    /// Last heartbeat round that had been sent when `matched` last rose.
    pub(crate) matched_round: u64,
    /// Whether the node lacks entries that it had acknowledged.
    pub(crate) has_lost_log: bool,
    /// Ticks since the last message from the node or, without one, since this record was created.
    pub(crate) silent_ticks: u32,
    /// Ticks since this record was created.
    pub(crate) age_ticks: u32,
    /// Whether the node has sent this leader a message.
    pub(crate) has_heard: bool,
}

impl Progress {
    pub(crate) fn new(next: Index) -> Self {
        Self {
            matched: 0,
            next,
            mode: ReplicationMode::Probe { awaiting_response: false },
            in_flight: VecDeque::new(),
            sent_commit: 0,
            round: 0,
            matched_round: 0,
            has_lost_log: false,
            silent_ticks: 0,
            age_ticks: 0,
            has_heard: false,
        }
    }

    /// Records that the node has the log on disk up to `matched`. `round` is the last heartbeat
    /// round sent.
    pub(crate) fn acknowledge(&mut self, matched: Index, round: u64) {
        if matched > self.matched {
            self.matched = matched;
            self.matched_round = round;
        }
        self.next = self.next.max(matched + 1);
        while self.in_flight.front().is_some_and(|last| *last <= matched) {
            self.in_flight.pop_front();
        }
        match &self.mode {
            ReplicationMode::Snapshot { snapshot, .. } if self.matched < snapshot.meta.index => (),
            ReplicationMode::Replicate => (),
            _ => self.mode = ReplicationMode::Replicate,
        }
    }

    /// Compares the log end in a heartbeat response with what the node had acknowledged. If the
    /// heartbeat was sent after the acknowledgement arrived and the log is shorter now, the node
    /// has lost entries.
    pub(crate) fn detect_lost_log(&mut self, round: u64, last: Index) {
        if round > self.matched_round && last < self.matched {
            self.has_lost_log = true;
            self.matched = 0;
        }
    }

    /// Switches to probing, from `next` on.
    pub(crate) fn start_probe(&mut self, next: Index) {
        self.next = next.max(self.matched + 1);
        self.in_flight.clear();
        self.mode = ReplicationMode::Probe { awaiting_response: false };
    }

    /// Switches to sending a snapshot, from its first byte.
    pub(crate) fn start_snapshot(&mut self, snapshot: Snapshot) {
        self.in_flight.clear();
        self.mode = ReplicationMode::Snapshot { snapshot, offset: 0, awaiting_response: false };
    }

    /// Allows the next probe or snapshot chunk without a response to the last one, which may have
    /// been lost.
    pub(crate) fn allow_resend(&mut self) {
        match &mut self.mode {
            ReplicationMode::Probe { awaiting_response }
            | ReplicationMode::Snapshot { awaiting_response, .. } => *awaiting_response = false,
            ReplicationMode::Replicate => (),
        }
    }

    /// Records that a tick has passed.
    pub(crate) fn tick(&mut self) {
        self.silent_ticks = self.silent_ticks.saturating_add(1);
        self.age_ticks = self.age_ticks.saturating_add(1);
    }

    /// Records a message from the node.
    pub(crate) fn hear(&mut self) {
        self.silent_ticks = 0;
        self.has_heard = true;
    }

    /// Whether the node was heard from within `ticks`, or this record is younger than that.
    pub(crate) fn is_active(&self, ticks: u32) -> bool {
        self.silent_ticks < ticks
    }
}
