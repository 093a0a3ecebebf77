//! Reads that are confirmed by a majority instead of a log entry.

use crate::{
    error::{Error, Result},
    message::MessageBody,
    node::Raft,
    types::{Index, Term},
};
use std::collections::VecDeque;

/// A confirmed read: the node was the leader after the read was asked for.
///
/// State that is applied up to `index` holds everything committed before that time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadState {
    /// What the caller passed to [`Raft::read_index`].
    pub context: u64,
    /// Commit index at the time of the request or later.
    pub index: Index,
    /// Term in which the node led from the request to the confirmation.
    pub term: Term,
}

/// Reads that wait for their confirmation round.
#[derive(Debug, Default)]
pub(crate) struct Reads {
    /// Last round that was sent.
    round: u64,
    /// Whether a new round is to be sent.
    is_requested: bool,
    waiting: VecDeque<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    context: u64,
    round: u64,
}

impl Reads {
    pub(crate) fn request_round(&mut self) {
        self.is_requested = true;
    }

    /// Last round that was sent.
    pub(crate) fn round(&self) -> u64 {
        self.round
    }

    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
        self.is_requested = false;
    }
}

impl Raft {
    /// Asks for proof that this node still leads. All reads asked for between two calls
    /// of [`Raft::ready`] share one round of heartbeats.
    ///
    /// # Errors
    ///
    /// [`Error::is_not_leader`]; [`Error::is_busy`] when too many reads wait. Reads of a
    /// leader that loses its office are dropped without a [`ReadState`].
    pub fn read_index(&mut self, context: u64) -> Result<()> {
        if !self.is_leader() {
            return Err(Error::not_leader(self.leader));
        }
        if self.reads.waiting.len() >= self.cfg.max_pending_reads {
            return Err(Error::busy("too many pending reads"));
        }
        let round = self.reads.round + 1;
        self.reads.waiting.push_back(Waiting { context, round });
        self.reads.is_requested = true;
        Ok(())
    }

    /// Queues the heartbeats of a new round if one is asked for.
    pub(crate) fn flush_round(&mut self) {
        if !self.is_leader() || !self.reads.is_requested {
            return;
        }
        self.reads.is_requested = false;
        self.reads.round += 1;
        self.heartbeat_elapsed = 0;
        let round = self.reads.round;
        let beats: Vec<_> = self
            .progress
            .iter()
            .map(|(id, p)| {
                let voter = self.membership().is_voter(*id);
                (*id, MessageBody::Heartbeat { commit: self.commit.min(p.matched), round, voter })
            })
            .collect();
        for (id, body) in beats {
            self.send_early(id, body);
        }
        self.confirm_reads();
    }

    /// Hands out the reads whose round a majority of voters has answered.
    pub(crate) fn confirm_reads(&mut self) {
        // Only an entry of its own term tells a leader how far its predecessors committed.
        if !self.is_leader() || !self.has_committed_in_term() {
            return;
        }
        let confirmed = self.confirmed_round();
        let (index, term) = (self.commit, self.hard_state.term);
        let mut states = Vec::new();
        while let Some(read) = self.reads.waiting.front() {
            if read.round > confirmed {
                break;
            }
            states.push(ReadState { context: read.context, index, term });
            self.reads.waiting.pop_front();
        }
        self.outbox.reads.extend(states);
    }

    fn confirmed_round(&self) -> u64 {
        let members = self.membership();
        let mut rounds: Vec<u64> = members
            .voters
            .iter()
            .map(|id| match *id == self.cfg.id {
                true => self.reads.round,
                false => self.progress.get(id).map_or(0, |p| p.round),
            })
            .collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        rounds[members.quorum() - 1]
    }
}
