//! The output of a node: what its caller must write, send and apply.

use crate::{
    message::{LogPosition, Message},
    node::Raft,
    read::ReadState,
    types::{HardState, Index, LogEntry, Snapshot, SnapshotMeta},
};
use std::mem;

/// Output for the caller to process in the order given in the [crate] documentation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ready {
    /// Term and vote to write, if they changed.
    pub hard_state: Option<HardState>,
    /// Snapshot from the leader that replaces the whole log and the state of the state machine.
    pub snapshot: Option<Snapshot>,
    /// Entries to write. The first one replaces any existing entry at its index and all later ones.
    pub entries: Vec<LogEntry>,
    /// Messages that may be sent before anything is synced.
    pub early_messages: Vec<Message>,
    /// Messages that may be sent only after the hard state, the snapshot and the entries are
    /// synced.
    pub messages: Vec<Message>,
    /// Entries to apply, in order, after the hard state, the snapshot and the entries are synced.
    pub committed: Vec<LogEntry>,
    /// Reads that were confirmed.
    pub reads: Vec<ReadState>,
}

impl Ready {
    /// Whether there is anything to write and sync.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }

    fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Output that is collected until the next [`Ready`].
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) early_messages: Vec<Message>,
    pub(crate) messages: Vec<Message>,
    pub(crate) reads: Vec<ReadState>,
    /// Whether a received snapshot is to be written.
    pub(crate) has_new_snapshot: bool,
    /// End of the log in the last [`Ready`] until [`Raft::persisted`] is called.
    unsynced_end: Option<LogPosition>,
}

impl Raft {
    /// Returns the pending output, or `None` if there is none. Once the state in a [`Ready`] is
    /// synced, call [`Raft::persisted`]; until then this returns `None`.
    pub fn ready(&mut self) -> Option<Ready> {
        if self.outbox.unsynced_end.is_some() {
            return None;
        }
        self.end_joint();
        self.send_heartbeat_round();
        self.replicate();
        let is_changed = self.hard_state != self.emitted_hard_state;
        let has_new_snapshot = mem::take(&mut self.outbox.has_new_snapshot);
        let ready = Ready {
            hard_state: is_changed.then_some(self.hard_state),
            snapshot: has_new_snapshot.then(|| self.snapshot.clone()),
            entries: self.log.unstable(),
            early_messages: mem::take(&mut self.outbox.early_messages),
            messages: mem::take(&mut self.outbox.messages),
            committed: self.log.slice(self.applied + 1, self.commit, self.cfg.max_batch_bytes),
            reads: mem::take(&mut self.outbox.reads),
        };
        if ready.is_empty() {
            return None;
        }
        self.emitted_hard_state = self.hard_state;
        self.applied = ready.committed.last().map_or(self.applied, |e| e.index);
        self.outbox.unsynced_end = Some(self.log.last());
        Some(ready)
    }

    /// Confirms that the hard state, snapshot and entries of the last [`Ready`] are written and
    /// synced.
    pub fn persisted(&mut self) {
        if let Some(end) = self.outbox.unsynced_end.take() {
            self.log.mark_stable(end);
            self.commit_by_majority();
        }
    }

    /// Metadata for a snapshot of the state at `index`; `None` if that index isn't applied yet or
    /// is compacted.
    pub fn snapshot_meta(&self, index: Index) -> Option<SnapshotMeta> {
        if index > self.applied {
            return None;
        }
        let term = self.log.term(index)?;
        let (_, membership) = self.memberships.iter().rev().find(|(at, _)| *at <= index)?;
        Some(SnapshotMeta { index, term, membership: membership.clone() })
    }

    /// Replaces the log up to a snapshot that is already on disk.
    ///
    /// Of the replaced entries, the last ones stay in memory, at most `keep_entries` of them and
    /// `keep_bytes` bytes, so that a follower that lags a little needs no snapshot. Does nothing if
    /// the snapshot is beyond the applied index or no newer than the current one.
    pub fn compact(&mut self, snapshot: Snapshot, keep_entries: u64, keep_bytes: usize) {
        let index = snapshot.meta.index;
        if index > self.applied || index <= self.snapshot.meta.index {
            return;
        }
        let base = (index, snapshot.meta.membership.clone());
        self.memberships.retain(|(at, _)| *at > index);
        self.memberships.insert(0, base);
        self.snapshot = snapshot;
        let keep = keep_entries.min(self.log.count_within(index, keep_bytes));
        let until = index.saturating_sub(keep);
        if until >= self.log.first_index() {
            self.log.compact(until);
        }
    }
}
