//! Requests that wait for the group.

use crate::{
    error::{Error, Result},
    request::{AppliedCommand, ConfirmedLeadership, Goal, Reply},
};
use raft::{Index, LogPosition, Raft, ReadState, Term};
use std::{collections::BTreeMap, time::Instant};

/// Requests that wait for the group.
#[derive(Default)]
pub(crate) struct Waiting {
    /// Commands in the log, by index and term.
    commands: BTreeMap<(Index, Term), Command>,
    /// Confirmations under way, by the context given to the consensus.
    reads: BTreeMap<u64, Read>,
    next_read: u64,
    goals: Vec<Awaited>,
}

struct Command {
    deadline: Instant,
    reply: Answer,
}

/// Where the outcome of an entry goes.
pub(crate) enum Answer {
    /// The machine's answer to a command.
    Output(Reply<AppliedCommand>),
    /// The index of a membership change.
    Index(Reply<Index>),
}

struct Read {
    deadline: Instant,
    reply: Reply<ConfirmedLeadership>,
}

struct Awaited {
    goal: Goal,
    deadline: Instant,
    reply: Reply<Index>,
}

impl Answer {
    fn fail(&self, e: Error) {
        // The caller may have given up.
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

impl Waiting {
    /// Remembers who waits for an entry.
    pub(crate) fn add_command(&mut self, at: LogPosition, deadline: Instant, reply: Answer) {
        self.commands.insert((at.index, at.term), Command { deadline, reply });
    }

    /// Answers for an entry that was applied, and for those that it has displaced.
    pub(crate) fn applied(&mut self, at: LogPosition, output: Vec<u8>) {
        let mut output = Some(output);
        for (term, command) in self.take_commands(at.index) {
            match output.take_if(|_| term == at.term) {
                Some(output) => command.reply.succeed(at.index, output),
                None => command.reply.fail(Error::replaced()),
            }
        }
    }

    fn take_commands(&mut self, index: Index) -> Vec<(Term, Command)> {
        let mut taken = Vec::new();
        while let Some(first) = self.commands.first_entry() {
            if first.key().0 > index {
                break;
            }
            let (key, command) = first.remove_entry();
            taken.push((key.1, command));
        }
        taken
    }

    /// Entries up to an index were applied elsewhere: a snapshot brought their effects.
    pub(crate) fn skipped_to(&mut self, index: Index) {
        for (_, command) in self.take_commands(index) {
            command.reply.fail(Error::unknown("a snapshot took the command's place"));
        }
    }

    /// Remembers who waits for a confirmation. Returns the context to ask with.
    pub(crate) fn add_read(&mut self, deadline: Instant, reply: Reply<ConfirmedLeadership>) -> u64 {
        self.next_read += 1;
        self.reads.insert(self.next_read, Read { deadline, reply });
        self.next_read
    }

    pub(crate) fn confirmed(&mut self, read: ReadState) {
        let confirmed = ConfirmedLeadership { index: read.index, term: read.term };
        self.answer_read(read.context, Ok(confirmed));
    }

    pub(crate) fn answer_read(&mut self, context: u64, result: Result<ConfirmedLeadership>) {
        if let Some(read) = self.reads.remove(&context) {
            drop(read.reply.try_send(result));
        }
    }

    /// Fails all confirmations, as the voter no longer leads.
    pub(crate) fn fail_reads(&mut self, e: &Error) {
        for (_, read) in std::mem::take(&mut self.reads) {
            drop(read.reply.try_send(Err(e.clone())));
        }
    }

    pub(crate) fn add_goal(&mut self, goal: Goal, deadline: Instant, reply: Reply<Index>) {
        self.goals.push(Awaited { goal, deadline, reply });
    }

    /// Tries each goal again.
    pub(crate) fn try_goals(&mut self, raft: &mut Raft) {
        for Awaited { goal, deadline, reply } in std::mem::take(&mut self.goals) {
            match attempt(raft, goal) {
                Attempt::Later => self.goals.push(Awaited { goal, deadline, reply }),
                Attempt::Done(result) => drop(reply.try_send(result)),
                Attempt::Proposed(at) => self.add_command(at, deadline, Answer::Index(reply)),
            }
        }
    }

    /// Drops requests whose callers have given up.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.commands.retain(|_, c| c.deadline > now);
        self.reads.retain(|_, r| r.deadline > now);
        self.goals.retain(|g| g.deadline > now);
    }
}

enum Attempt {
    Later,
    Done(Result<Index>),
    Proposed(LogPosition),
}

fn attempt(raft: &mut Raft, goal: Goal) -> Attempt {
    match goal {
        Goal::Leader if raft.leader().is_some() => Attempt::Done(Ok(raft.commit())),
        Goal::NotLeading if !raft.is_leader() => Attempt::Done(Ok(raft.commit())),
        Goal::Leader | Goal::NotLeading => Attempt::Later,
        Goal::Matched { node, index }
            if node == raft.id() || raft.matched(node).is_some_and(|m| m >= index) =>
        {
            Attempt::Done(Ok(index))
        }
        Goal::Matched { node, .. } if raft.is_leader() && raft.membership().contains(node) => {
            Attempt::Later
        }
        Goal::Matched { .. } => Attempt::Done(Err(Error::unknown("the leader has changed"))),
        Goal::MembershipChange(change) => match raft.propose_change(change) {
            Ok(at) => Attempt::Proposed(at),
            Err(e) if e.is_busy() || e.is_behind() => Attempt::Later,
            Err(e) => Attempt::Done(Err(Error::refused(e))),
        },
    }
}
