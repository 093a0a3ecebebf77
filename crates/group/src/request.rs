//! Requests from handles to the voter's thread.

use crate::error::{Error, Result};
use flume::Sender;
use raft::{Index, MembershipChange, NodeId, Snapshot, Term};
use std::time::Instant;

/// A command that was committed and applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppliedCommand {
    /// Its place in the log.
    pub index: Index,
    /// What the machine answered.
    pub output: Vec<u8>,
}

/// Proof that a voter led at some time after it was asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfirmedLeadership {
    /// Holds everything committed before the call; the machine has applied it.
    pub index: Index,
    /// Term in which the voter has led from the call to the proof.
    pub term: Term,
}

/// Where an answer goes. It has room for one, so sending never blocks.
pub(crate) type Reply<T> = Sender<Result<T>>;

/// One request to the voter's thread.
pub(crate) enum Request {
    Propose { command: Vec<u8>, deadline: Instant, reply: Reply<AppliedCommand> },
    Confirm { deadline: Instant, reply: Reply<ConfirmedLeadership> },
    Await { goal: Goal, deadline: Instant, reply: Reply<Index> },
    Transfer { to: NodeId, reply: Reply<()> },
    Backup { reply: Reply<Snapshot> },
    Tick { reply: Reply<()> },
    Stop,
}

/// Something that becomes possible or true after a while.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Goal {
    /// A membership change is accepted.
    MembershipChange(MembershipChange),
    /// Another node holds the log up to an index.
    Matched { node: NodeId, index: Index },
    /// Some node leads.
    Leader,
    /// This node doesn't lead.
    NotLeading,
}

impl Request {
    /// Answers a request that was never taken up.
    pub(crate) fn refuse(self, e: &Error) {
        let e = e.clone();
        // The caller may have given up.
        match self {
            Self::Propose { reply, .. } => drop(reply.try_send(Err(e))),
            Self::Confirm { reply, .. } => drop(reply.try_send(Err(e))),
            Self::Await { reply, .. } => drop(reply.try_send(Err(e))),
            Self::Transfer { reply, .. } | Self::Tick { reply } => drop(reply.try_send(Err(e))),
            Self::Backup { reply } => drop(reply.try_send(Err(e))),
            Self::Stop => (),
        }
    }
}
