//! Linearizable reads without a log entry.
//!
//! A read is confirmed when a majority of voters has responded to a heartbeat round that was sent
//! after the read was requested: the node was then still the leader.

use crate::{
    error::{Error, Result},
    message::MessageBody,
    node::Raft,
    types::{Index, Term},
};
use std::collections::VecDeque;

/// A confirmed read: the node was still the leader after the read was requested.
///
/// A state machine that has applied the log up to `index` reflects every entry that was committed
/// before the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadState {
    /// Value that the caller passed to [`Raft::read_index`].
    pub context: u64,
    /// Commit index at the time of the request or later.
    pub index: Index,
    /// Term in which the node was the leader from the request to the confirmation.
    pub term: Term,
}

/// Heartbeat rounds, and the reads that wait for one to be confirmed.
#[derive(Debug, Default)]
pub(crate) struct Reads {
    /// Number of the last heartbeat round that was sent.
    round: u64,
    /// Whether the next call of [`Raft::ready`] sends a new heartbeat round.
    is_requested: bool,
    pending: VecDeque<PendingRead>,
}

#[derive(Debug)]
struct PendingRead {
    context: u64,
    round: u64,
}

impl Reads {
    /// Requests that the next call of [`Raft::ready`] sends a heartbeat round.
    pub(crate) fn request_round(&mut self) {
        self.is_requested = true;
    }

    /// Number of the last heartbeat round that was sent.
    pub(crate) fn round(&self) -> u64 {
        self.round
    }

    pub(crate) fn clear(&mut self) {
        self.pending.clear();
        self.is_requested = false;
    }
}

impl Raft {
    /// Requests a [`ReadState`] with this `context`, which proves that the node is still the
    /// leader. All reads requested between two calls of [`Raft::ready`] share one heartbeat
    /// round. If the node loses leadership, its pending reads are dropped without a
    /// [`ReadState`].
    ///
    /// # Errors
    ///
    /// [`Error::is_not_leader`]; [`Error::is_busy`] if too many reads are pending.
    pub fn read_index(&mut self, context: u64) -> Result<()> {
        if !self.is_leader() {
            return Err(Error::not_leader(self.leader));
        }
        if self.reads.pending.len() >= self.cfg.max_pending_reads {
            return Err(Error::busy("too many pending reads"));
        }
        let round = self.reads.round + 1;
        self.reads.pending.push_back(PendingRead { context, round });
        self.reads.is_requested = true;
        Ok(())
    }

    /// Queues the heartbeats of a new heartbeat round if one is requested.
    pub(crate) fn send_heartbeat_round(&mut self) {
        if !self.is_leader() || !self.reads.is_requested {
            return;
        }
        self.reads.is_requested = false;
        self.reads.round += 1;
        self.heartbeat_elapsed = 0;
        let round = self.reads.round;
        let heartbeats: Vec<_> = self
            .progress
            .iter()
            .map(|(id, p)| {
                let voter = self.membership().is_voter(*id);
                (*id, MessageBody::Heartbeat { commit: self.commit.min(p.matched), round, voter })
            })
            .collect();
        for (id, body) in heartbeats {
            self.send_early(id, body);
        }
        self.confirm_reads();
    }

    /// Confirms the reads whose heartbeat round a majority of voters has responded to.
    pub(crate) fn confirm_reads(&mut self) {
        // A leader knows how far its predecessors committed only once it has committed an entry of
        // its own term.
        if !self.is_leader() || !self.has_committed_in_term() {
            return;
        }
        let confirmed = self.confirmed_round();
        let (index, term) = (self.commit, self.hard_state.term);
        let mut states = Vec::new();
        while let Some(read) = self.reads.pending.front() {
            if read.round > confirmed {
                break;
            }
            states.push(ReadState { context: read.context, index, term });
            self.reads.pending.pop_front();
        }
        self.outbox.reads.extend(states);
    }

    /// Last heartbeat round that a quorum of voters has responded to.
    fn confirmed_round(&self) -> u64 {
        self.quorum_value(|id| match id == self.cfg.id {
            true => self.reads.round,
            false => self.progress.get(&id).map_or(0, |p| p.round),
        })
    }
}
