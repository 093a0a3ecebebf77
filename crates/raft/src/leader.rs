//! Duties of a leader: proposals, replication, commits and leadership transfer.

use crate::{
    error::{Error, Result},
    message::{LogPosition, MessageBody},
    node::{Raft, Role},
    progress::{Progress, ReplicationMode},
    types::{EntryPayload, Index, LogEntry, NodeId},
};

/// A leadership transfer in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    to: NodeId,
    /// Ticks since the transfer began.
    ticks: u32,
    /// Whether the target was told to campaign.
    is_target_notified: bool,
}

impl Raft {
    /// Becomes the leader of the current term and appends the empty entry with which it commits the
    /// entries of earlier terms.
    pub(crate) fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.cfg.id);
        self.failed_campaigns = 0;
        self.candidate_logs.clear();
        self.heartbeat_elapsed = 0;
        self.incoming_snapshot = None;
        self.uncommitted_bytes = 0;
        self.progress.clear();
        self.track_members();
        self.append(EntryPayload::Empty);
        self.reads.request_round();
    }

    /// Steps down if no majority was heard from lately. Otherwise ages a transfer and requests a
    /// heartbeat round if one is due.
    pub(crate) fn tick_leader(&mut self) {
        self.progress.values_mut().for_each(Progress::tick);
        if !self.has_active_quorum() {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        self.tick_transfer();
        self.heartbeat_elapsed += 1;
        if self.heartbeat_elapsed >= self.cfg.heartbeat_ticks {
            self.reads.request_round();
        }
    }

    /// Abandons a leadership transfer after the minimum election timeout.
    fn tick_transfer(&mut self) {
        let limit = self.cfg.election_ticks;
        self.transfer =
            self.transfer.map(|t| Transfer { ticks: t.ticks + 1, ..t }).filter(|t| t.ticks < limit);
    }

    /// Whether a majority of voters, this node included, was heard from within the minimum election
    /// timeout.
    fn has_active_quorum(&self) -> bool {
        let ticks = self.cfg.election_ticks;
        self.has_quorum(|id| {
            id == self.cfg.id || self.progress.get(&id).is_some_and(|p| p.is_active(ticks))
        })
    }

    /// Appends a command to the log. Returns its position.
    ///
    /// The command is committed if and only if an entry at that index and term is. If an entry
    /// of another term is committed at the index, the command never will be.
    ///
    /// # Errors
    ///
    /// [`Error::is_not_leader`]; [`Error::is_busy`] while too many bytes are uncommitted or
    /// leadership is being transferred; [`Error::is_too_large`].
    pub fn propose(&mut self, command: Vec<u8>) -> Result<LogPosition> {
        if !self.is_leader() {
            return Err(Error::not_leader(self.leader));
        }
        if self.transfer.is_some() {
            return Err(Error::busy("leadership is being transferred"));
        }
        if command.len() > self.cfg.max_command_bytes {
            return Err(Error::too_large(command.len(), self.cfg.max_command_bytes));
        }
        if self.uncommitted_bytes + command.len() > self.cfg.max_uncommitted_bytes {
            return Err(Error::busy("too many uncommitted bytes"));
        }
        Ok(self.append(EntryPayload::Command(command)))
    }

    /// Appends an entry of the current term to the leader's log.
    pub(crate) fn append(&mut self, payload: EntryPayload) -> LogPosition {
        let position = LogPosition { index: self.log.last_index() + 1, term: self.hard_state.term };
        let entry = LogEntry { index: position.index, term: position.term, payload };
        self.uncommitted_bytes += entry.size_bytes();
        self.push_entry(entry);
        position
    }

    /// Starts to transfer leadership to another voter. The transfer is abandoned after the
    /// minimum election timeout; until then no proposals are accepted.
    ///
    /// # Errors
    ///
    /// [`Error::is_not_leader`]; [`Error::is_refused_change`] if `to` isn't another voter.
    pub fn transfer_leadership(&mut self, to: NodeId) -> Result<()> {
        if !self.is_leader() {
            return Err(Error::not_leader(self.leader));
        }
        if to == self.cfg.id || !self.membership().is_voter(to) {
            return Err(Error::refused_change("not another voter"));
        }
        self.transfer = Some(Transfer { to, ticks: 0, is_target_notified: false });
        self.notify_transfer_target();
        Ok(())
    }

    /// Tells the target of a transfer to campaign once it holds the whole log.
    fn notify_transfer_target(&mut self) {
        let Some(transfer) = &mut self.transfer else { return };
        let matched = self.progress.get(&transfer.to).map(|p| p.matched);
        if transfer.is_target_notified || matched != Some(self.log.last_index()) {
            return;
        }
        transfer.is_target_notified = true;
        let to = transfer.to;
        self.send(to, MessageBody::TimeoutNow);
    }

    /// Adds and removes progress records so that each other member has one.
    pub(crate) fn track_members(&mut self) {
        let members = self.membership().clone();
        let next = self.log.last_index() + 1;
        self.progress.retain(|id, _| members.contains(*id));
        for id in members.nodes().filter(|id| *id != self.cfg.id) {
            self.progress.entry(id).or_insert_with(|| Progress::new(next));
        }
    }

    /// Handles a response to an append, heartbeat or snapshot chunk.
    pub(crate) fn handle_follower_response(&mut self, from: NodeId, body: MessageBody) {
        if !self.is_leader() {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else { return };
        if progress.has_lost_log {
            // What it acknowledges may be lost again, so it is treated as unreachable.
            return;
        }
        progress.hear();
        match body {
            MessageBody::AppendAccepted { matched } if matched <= last => {
                progress.acknowledge(matched, self.reads.round());
                self.commit_by_majority();
                self.notify_transfer_target();
            }
            MessageBody::AppendRejected { rejected, hint } => {
                self.handle_append_rejected(from, rejected, hint)
            }
            MessageBody::HeartbeatResponse { round, last } => {
                progress.detect_lost_log(round, last);
                self.handle_heartbeat_response(from, round);
            }
            MessageBody::SnapshotProgress { index, offset } => {
                if let ReplicationMode::Snapshot { snapshot, offset: sent, awaiting_response } =
                    &mut progress.mode
                    && snapshot.meta.index == index
                    && offset <= snapshot.data.len() as u64
                {
                    *sent = offset;
                    *awaiting_response = false;
                }
            }
            _ => (),
        }
    }

    /// Probes from the last position that both logs may share, unless the rejection is outdated.
    fn handle_append_rejected(&mut self, from: NodeId, rejected: Index, hint: LogPosition) {
        let shared = self.log.last_not_after(hint);
        let Some(progress) = self.progress.get_mut(&from) else { return };
        let is_stale = match progress.mode {
            ReplicationMode::Probe { .. } => rejected != progress.next - 1,
            ReplicationMode::Replicate => rejected <= progress.matched,
            ReplicationMode::Snapshot { .. } => true,
        };
        if !is_stale {
            progress.start_probe(shared.index + 1);
        }
    }

    /// Records the heartbeat round that a node responded to, resends what may have been lost and
    /// confirms reads.
    fn handle_heartbeat_response(&mut self, from: NodeId, round: u64) {
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from).filter(|p| !p.has_lost_log) else {
            return;
        };
        progress.round = progress.round.max(round);
        progress.allow_resend();
        // An empty append makes the node report its position if an earlier append was lost.
        let may_have_lost_append =
            matches!(progress.mode, ReplicationMode::Replicate) && progress.matched < last;
        if may_have_lost_append && !progress.in_flight.is_empty() {
            let next = progress.next;
            self.send_append(from, next, Vec::new());
        }
        self.confirm_reads();
    }

    /// Advances the commit index to the last entry that a quorum of voters has on disk.
    pub(crate) fn commit_by_majority(&mut self) {
        if !self.is_leader() {
            return;
        }
        let index = self.quorum_value(|id| match id == self.cfg.id {
            true => self.log.stable(),
            false => self.matched(id).unwrap_or(0),
        });
        // An entry of an older term must not be committed by counting replicas, as a later leader
        // may still overwrite it. It is committed together with an entry of the current term.
        if index <= self.commit || self.log.term(index) != Some(self.hard_state.term) {
            return;
        }
        let committed = self.log.slice(self.commit + 1, index, usize::MAX);
        let bytes: usize = committed.iter().map(LogEntry::size_bytes).sum();
        self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(bytes);
        self.commit = index;
        self.confirm_reads();
    }

    /// Queues the entries that the other members lack, within the limit on append messages in
    /// flight. A leader whose own removal is committed then tells the most up-to-date voter to
    /// campaign, and steps down.
    pub(crate) fn replicate(&mut self) {
        if !self.is_leader() {
            return;
        }
        let ids: Vec<_> = self.progress.keys().copied().collect();
        for id in ids {
            while self.replicate_to(id) {}
        }
        let (changed_at, members) = &self.memberships[self.memberships.len() - 1];
        if *changed_at <= self.commit && !members.is_voter(self.cfg.id) {
            // The removal of this leader is committed, and the new commit index has been queued
            // for the other members.
            let successor = members.voters.iter().max_by_key(|id| self.matched(**id)).copied();
            if let Some(successor) = successor {
                self.send(successor, MessageBody::TimeoutNow);
            }
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Queues at most one message for a node. Returns whether more may be due.
    fn replicate_to(&mut self, id: NodeId) -> bool {
        let last = self.log.last_index();
        let first = self.log.first_index();
        let Some(progress) = self.progress.get_mut(&id).filter(|p| !p.has_lost_log) else {
            return false;
        };
        let next = progress.next;
        match &progress.mode {
            ReplicationMode::Probe { awaiting_response: true }
            | ReplicationMode::Snapshot { awaiting_response: true, .. } => return false,
            ReplicationMode::Snapshot { .. } => return self.send_snapshot_chunk(id),
            ReplicationMode::Probe { .. } | ReplicationMode::Replicate if next < first => {
                progress.start_snapshot(self.snapshot.clone());
                return true;
            }
            ReplicationMode::Probe { .. } => {
                progress.mode = ReplicationMode::Probe { awaiting_response: true };
                let entries = self.log.slice(next, last, self.cfg.max_batch_bytes);
                self.send_append(id, next, entries);
                return false;
            }
            ReplicationMode::Replicate => (),
        }
        let has_room = progress.in_flight.len() < self.cfg.max_in_flight;
        if next <= last && has_room {
            let entries = self.log.slice(next, last, self.cfg.max_batch_bytes);
            let sent = entries.last().map_or(next, |e| e.index);
            progress.in_flight.push_back(sent);
            progress.next = sent + 1;
            self.send_append(id, next, entries);
            return true;
        }
        if progress.sent_commit < self.commit && has_room {
            self.send_append(id, next, Vec::new());
        }
        false
    }

    /// Queues an append whose first entry has the index `next`.
    fn send_append(&mut self, to: NodeId, next: Index, entries: Vec<LogEntry>) {
        let Some(term) = self.log.term(next - 1) else { return };
        let commit = self.commit;
        if let Some(progress) = self.progress.get_mut(&to) {
            progress.sent_commit = commit;
        }
        let prev = LogPosition { index: next - 1, term };
        let voter = self.membership().is_voter(to);
        self.send_early(to, MessageBody::Append { prev, entries, commit, voter });
    }

    /// Queues a message that may be sent before this node's own state is synced.
    pub(crate) fn send_early(&mut self, to: NodeId, body: MessageBody) {
        let message = self.message(to, self.hard_state.term, body);
        self.outbox.early_messages.push(message);
    }

    /// Queues the next chunk of the snapshot that a node is receiving.
    fn send_snapshot_chunk(&mut self, to: NodeId) -> bool {
        let chunk_bytes = self.cfg.snapshot_chunk_bytes;
        let voter = self.membership().is_voter(to);
        let Some(progress) = self.progress.get_mut(&to) else { return false };
        let ReplicationMode::Snapshot { snapshot, offset, awaiting_response } = &mut progress.mode
        else {
            return false;
        };
        *awaiting_response = true;
        let start = *offset as usize;
        let end = snapshot.data.len().min(start + chunk_bytes);
        let body = MessageBody::SnapshotChunk {
            meta: snapshot.meta.clone(),
            offset: *offset,
            total: snapshot.data.len() as u64,
            data: snapshot.data[start..end].to_vec(),
            voter,
        };
        self.send_early(to, body);
        false
    }
}
