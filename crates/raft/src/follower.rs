//! Handling of the leader's messages: entries, heartbeats and snapshots.

use crate::{
    message::{LogPosition, MessageBody},
    node::{Raft, Role},
    types::{EntryPayload, Index, LogEntry, NodeId, Snapshot, SnapshotMeta},
};
use std::sync::Arc;

/// A partially received snapshot.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    meta: SnapshotMeta,
    /// Length of the whole snapshot in bytes.
    total: u64,
    /// Bytes received so far.
    data: Vec<u8>,
}

impl Raft {
    /// Accepts the sender as the leader of this term.
    ///
    /// Returns false, and marks the disk as lost, if the leader counts this node as a voter
    /// although its log is empty and its id [isn't new](crate::Config::has_new_id).
    pub(crate) fn accept_leader(&mut self, from: NodeId, voter: bool) -> bool {
        if voter && self.log.last_index() == 0 && !self.cfg.has_new_id {
            self.lost_disk = true;
            return false;
        }
        if self.role != Role::Follower {
            self.become_follower(self.hard_state.term, Some(from));
        }
        self.leader = Some(from);
        self.candidate_logs.clear();
        self.election_elapsed = 0;
        self.failed_campaigns = 0;
        true
    }

    /// Appends the leader's entries if the log contains `prev`, and rejects them otherwise. An
    /// outdated append, from before the commit index, is only acknowledged.
    pub(crate) fn handle_append(
        &mut self,
        from: NodeId,
        prev: LogPosition,
        entries: Vec<LogEntry>,
        commit: Index,
    ) {
        if prev.index < self.commit {
            let matched = self.commit;
            self.send(from, MessageBody::AppendAccepted { matched });
            return;
        }
        if !self.log.contains(prev) {
            let hint = self.log.last_not_after(prev);
            self.send(from, MessageBody::AppendRejected { rejected: prev.index, hint });
            return;
        }
        let matched = entries.last().map_or(prev.index, |e| e.index);
        self.append_entries(entries);
        self.advance_commit(commit.min(matched));
        self.send(from, MessageBody::AppendAccepted { matched });
    }

    /// Appends entries. Replaces the log from the first entry on whose term differs.
    fn append_entries(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate(entry.index),
                None => (),
            }
            self.push_entry(entry);
        }
    }

    /// Removes the entry at `index` and all later ones, with the membership changes among them.
    fn truncate(&mut self, index: Index) {
        assert!(index > self.commit, "the leader's append would overwrite committed entry {index}");
        self.log.truncate(index);
        self.memberships.retain(|(at, _)| *at < index);
    }

    /// Appends one entry. A membership change takes effect immediately.
    pub(crate) fn push_entry(&mut self, entry: LogEntry) {
        if let EntryPayload::Membership(members) = &entry.payload {
            self.memberships.push((entry.index, members.clone()));
        }
        self.log.push(entry);
    }

    pub(crate) fn advance_commit(&mut self, commit: Index) {
        self.commit = self.commit.max(commit.min(self.log.last_index()));
    }

    pub(crate) fn handle_heartbeat(&mut self, from: NodeId, commit: Index, round: u64) {
        self.advance_commit(commit);
        let last = self.log.last_index();
        self.send(from, MessageBody::HeartbeatResponse { round, last });
    }

    /// Collects the chunks of a snapshot in order, and installs the snapshot when it is complete.
    /// A snapshot longer than `max_snapshot_bytes` is ignored.
    pub(crate) fn handle_snapshot_chunk(
        &mut self,
        from: NodeId,
        meta: SnapshotMeta,
        offset: u64,
        total: u64,
        data: &[u8],
    ) {
        if self.acknowledge_known_snapshot(from, &meta) || total > self.cfg.max_snapshot_bytes {
            return;
        }
        let is_known =
            self.incoming_snapshot.as_ref().is_some_and(|i| i.meta == meta && i.total == total);
        if !is_known {
            self.incoming_snapshot =
                Some(IncomingSnapshot { meta: meta.clone(), total, data: Vec::new() });
        }
        let Some(incoming_snapshot) = &mut self.incoming_snapshot else { return };
        if offset == incoming_snapshot.data.len() as u64 {
            incoming_snapshot.data.extend_from_slice(data);
        }
        let received = incoming_snapshot.data.len() as u64;
        if received < total {
            self.send(from, MessageBody::SnapshotProgress { index: meta.index, offset: received });
            return;
        }
        self.install_snapshot(from);
    }

    /// Acknowledges the snapshot without receiving it if the log already contains its last entry.
    /// Returns whether that was so.
    fn acknowledge_known_snapshot(&mut self, from: NodeId, meta: &SnapshotMeta) -> bool {
        let position = LogPosition { index: meta.index, term: meta.term };
        if meta.index > self.commit && self.log.contains(position) {
            self.advance_commit(meta.index);
        }
        if meta.index > self.commit {
            return false;
        }
        let matched = self.commit;
        self.incoming_snapshot = None;
        self.send(from, MessageBody::AppendAccepted { matched });
        true
    }

    /// Replaces the whole log with a completely received snapshot.
    fn install_snapshot(&mut self, from: NodeId) {
        let Some(IncomingSnapshot { meta, data, .. }) = self.incoming_snapshot.take() else {
            return;
        };
        let matched = meta.index;
        self.log.reset(LogPosition { index: meta.index, term: meta.term });
        self.commit = meta.index;
        self.applied = meta.index;
        self.memberships = vec![(meta.index, meta.membership.clone())];
        self.snapshot = Snapshot { meta, data: Arc::new(data) };
        self.outbox.has_new_snapshot = true;
        self.send(from, MessageBody::AppendAccepted { matched });
    }
}
