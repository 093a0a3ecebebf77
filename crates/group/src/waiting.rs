//! Requests that wait for the group to commit, confirm or reach something.

use crate::{
    error::{Error, Result},
    request::{AppliedCommand, ConfirmedLeadership, Goal, Reply},
};
use raft::{Index, LogPosition, Raft, ReadState, Term};
use std::{collections::BTreeMap, time::Instant};

/// Requests whose replies are pending.
#[derive(Default)]
pub(crate) struct PendingRequests {
    /// Proposed entries, by index and term.
    entries: BTreeMap<(Index, Term), PendingEntry>,
    /// Unconfirmed reads, by the context given to [`Raft::read_index`].
    reads: BTreeMap<u64, PendingRead>,
    next_read: u64,
    goals: Vec<PendingGoal>,
}

struct PendingEntry {
    deadline: Instant,
    reply: EntryReply,
}

/// Channel for the outcome of a proposed entry.
pub(crate) enum EntryReply {
    /// For a command: the output of the state machine.
    Output(Reply<AppliedCommand>),
    /// For a membership change: its log index.
    Index(Reply<Index>),
}

struct PendingRead {
    deadline: Instant,
    reply: Reply<ConfirmedLeadership>,
}

struct PendingGoal {
    goal: Goal,
    deadline: Instant,
    reply: Reply<Index>,
}

impl EntryReply {
    fn fail(&self, e: Error) {
        // Sending fails if the caller no longer waits.
        match self {
            Self::Output(reply) => drop(reply.try_send(Err(e))),
            Self::Index(reply) => drop(reply.try_send(Err(e))),
        }
    }

    fn succeed(&self, index: Index, output: Vec<u8>) {
        match self {
            Self::Output(reply) => drop(reply.try_send(Ok(AppliedCommand { index, output }))),
            Self::Index(reply) => drop(reply.try_send(Ok(index))),
        }
    }
}

impl PendingRequests {
    /// Registers the reply for a proposed entry.
    pub(crate) fn add_entry(&mut self, at: LogPosition, deadline: Instant, reply: EntryReply) {
        self.entries.insert((at.index, at.term), PendingEntry { deadline, reply });
    }

    /// Replies for an entry that was applied. Other entries proposed up to its index were
    /// replaced, and fail.
    pub(crate) fn complete_applied(&mut self, at: LogPosition, output: Vec<u8>) {
        let mut output = Some(output);
        for (term, entry) in self.take_entries(at.index) {
            match output.take_if(|_| term == at.term) {
                Some(output) => entry.reply.succeed(at.index, output),
                None => entry.reply.fail(Error::replaced()),
            }
        }
    }

    /// Removes and returns the entries up to an index, with their terms.
    fn take_entries(&mut self, index: Index) -> Vec<(Term, PendingEntry)> {
        let mut removed = Vec::new();
        while let Some(lowest) = self.entries.first_entry() {
            if lowest.key().0 > index {
                break;
            }
            let (key, entry) = lowest.remove_entry();
            removed.push((key.1, entry));
        }
        removed
    }

    /// Fails entries up to the index of an installed snapshot. Their outcomes are unknown, as the
    /// snapshot may include their effects.
    pub(crate) fn fail_skipped(&mut self, index: Index) {
        for (_, entry) in self.take_entries(index) {
            entry.reply.fail(Error::unknown("a snapshot took the command's place"));
        }
    }

    /// Registers the reply for a read. Returns the context to pass to [`Raft::read_index`].
    pub(crate) fn add_read(&mut self, deadline: Instant, reply: Reply<ConfirmedLeadership>) -> u64 {
        self.next_read += 1;
        self.reads.insert(self.next_read, PendingRead { deadline, reply });
        self.next_read
    }

    pub(crate) fn confirm_read(&mut self, read: ReadState) {
        let confirmed = ConfirmedLeadership { index: read.index, term: read.term };
        self.complete_read(read.context, Ok(confirmed));
    }

    pub(crate) fn complete_read(&mut self, context: u64, result: Result<ConfirmedLeadership>) {
        if let Some(read) = self.reads.remove(&context) {
            drop(read.reply.try_send(result));
        }
    }

    /// Fails all unconfirmed reads, as the node no longer leads.
    pub(crate) fn fail_reads(&mut self, e: &Error) {
        for (_, read) in std::mem::take(&mut self.reads) {
            drop(read.reply.try_send(Err(e.clone())));
        }
    }

    pub(crate) fn add_goal(&mut self, goal: Goal, deadline: Instant, reply: Reply<Index>) {
        self.goals.push(PendingGoal { goal, deadline, reply });
    }

    /// Checks each goal again, and replies to those that are reached or have failed.
    pub(crate) fn check_goals(&mut self, raft: &mut Raft) {
        for PendingGoal { goal, deadline, reply } in std::mem::take(&mut self.goals) {
            match check_goal(raft, goal) {
                GoalProgress::Later => self.goals.push(PendingGoal { goal, deadline, reply }),
                GoalProgress::Done(result) => drop(reply.try_send(result)),
                GoalProgress::Proposed(at) => {
                    self.add_entry(at, deadline, EntryReply::Index(reply))
                }
            }
        }
    }

    /// Drops requests past their deadlines. A caller that still waits gets an
    /// [`Error::is_unknown`].
    pub(crate) fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, e| e.deadline > now);
        self.reads.retain(|_, r| r.deadline > now);
        self.goals.retain(|g| g.deadline > now);
    }
}

/// Result of checking a goal.
enum GoalProgress {
    /// Not reached yet; check again later.
    Later,
    /// Reached or failed.
    Done(Result<Index>),
    /// Proposed at this position; the reply follows when the entry is applied.
    Proposed(LogPosition),
}

/// Checks whether a goal is reached; proposes the change of a membership goal.
fn check_goal(raft: &mut Raft, goal: Goal) -> GoalProgress {
    match goal {
        Goal::Leader if raft.leader().is_some() => GoalProgress::Done(Ok(raft.commit())),
        Goal::NotLeader if !raft.is_leader() => GoalProgress::Done(Ok(raft.commit())),
        Goal::Leader | Goal::NotLeader => GoalProgress::Later,
        Goal::Settled if !raft.is_leader() => {
            GoalProgress::Done(Err(Error::not_leader(raft.leader())))
        }
        Goal::Settled if raft.is_membership_committed() && !raft.membership().is_joint() => {
            GoalProgress::Done(Ok(raft.commit()))
        }
        Goal::Settled => GoalProgress::Later,
        Goal::Matched { node, index }
            if node == raft.id() || raft.matched(node).is_some_and(|m| m >= index) =>
        {
            GoalProgress::Done(Ok(index))
        }
        Goal::Matched { node, .. } if raft.is_leader() && raft.membership().contains(node) => {
            GoalProgress::Later
        }
        Goal::Matched { .. } => GoalProgress::Done(Err(Error::unknown("the leader has changed"))),
        Goal::MembershipChange(change) => match raft.propose_change(change) {
            Ok(at) => GoalProgress::Proposed(at),
            Err(e) if e.is_busy() || e.is_behind() => GoalProgress::Later,
            Err(e) => GoalProgress::Done(Err(Error::refused(e))),
        },
    }
}
