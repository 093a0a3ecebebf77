//! What a node hands to its caller to write, send and apply.

use crate::{
    message::{LogPosition, Message},
    node::Raft,
    read::ReadState,
    types::{HardState, Index, LogEntry, Snapshot, SnapshotMeta},
};
use std::mem;

/// Work for the caller, in the order given in the [crate] documentation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ready {
    /// Term and vote to write, if they have changed.
    pub hard_state: Option<HardState>,
    /// Snapshot that replaces the whole log and the state machine's state.
    pub snapshot: Option<Snapshot>,
    /// Entries to write. The first one replaces any entry with its index and all after it.
    pub entries: Vec<LogEntry>,
    /// Messages that may go out before anything is synced.
    pub early_messages: Vec<Message>,
    /// Messages that may go out only after everything above is synced.
    pub messages: Vec<Message>,
    /// Entries to apply, in order, after everything above is synced.
    pub committed: Vec<LogEntry>,
    /// Reads that are confirmed.
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
    /// Whether a received snapshot waits to be written.
    pub(crate) install: bool,
    /// End of the log that the caller is writing.
    writing: Option<LogPosition>,
}

impl Raft {
    /// What there is to do, or nothing. Call [`Raft::persisted`] before the next call;
    /// until then there is nothing more.
    pub fn ready(&mut self) -> Option<Ready> {
        if self.outbox.writing.is_some() {
            return None;
        }
        self.flush_round();
        self.replicate();
        let is_changed = self.hard_state != self.saved_hard_state;
        let install = mem::take(&mut self.outbox.install);
        let ready = Ready {
            hard_state: is_changed.then_some(self.hard_state),
            snapshot: install.then(|| self.snapshot.clone()),
            entries: self.log.unstable(),
            early_messages: mem::take(&mut self.outbox.early_messages),
            messages: mem::take(&mut self.outbox.messages),
            committed: self.log.slice(self.applied + 1, self.commit, self.cfg.max_batch_bytes),
            reads: mem::take(&mut self.outbox.reads),
        };
        if ready.is_empty() {
            return None;
        }
        self.saved_hard_state = self.hard_state;
        self.applied = ready.committed.last().map_or(self.applied, |e| e.index);
        self.outbox.writing = Some(self.log.last());
        Some(ready)
    }

    /// Tells the node that everything in the last [`Ready`] is written and synced.
    pub fn persisted(&mut self) {
        if let Some(end) = self.outbox.writing.take() {
            self.log.mark_stable(end);
            self.commit_by_majority();
        }
    }

    /// What a snapshot of the state at an applied index replaces, if the log still knows.
    pub fn snapshot_meta(&self, index: Index) -> Option<SnapshotMeta> {
        if index > self.applied {
            return None;
        }
        let term = self.log.term(index)?;
        let (_, membership) = self.memberships.iter().rev().find(|(at, _)| *at <= index)?;
        Some(SnapshotMeta { index, term, membership: membership.clone() })
    }

    /// Takes over a snapshot that is on disk and forgets the entries that it replaces,
    /// but for the last ones, at most `keep` of them and `keep_bytes` bytes: a slow
    /// follower then needs no snapshot.
    pub fn compact(&mut self, snapshot: Snapshot, keep: u64, keep_bytes: usize) {
        let index = snapshot.meta.index;
        if index > self.applied || index <= self.snapshot.meta.index {
            return;
        }
        let base = (index, snapshot.meta.membership.clone());
        self.memberships.retain(|(at, _)| *at > index);
        self.memberships.insert(0, base);
        self.snapshot = snapshot;
        let keep = keep.min(self.log.count_within(index, keep_bytes));
        let until = index.saturating_sub(keep);
        if until >= self.log.first_index() {
            self.log.compact(until);
        }
    }
}
