//! Requests that handles send to the node's thread.

use crate::error::{Error, Result};
use flume::Sender;
use raft::{Index, MembershipChange, NodeId, Snapshot, Term};
use std::time::Instant;

/// A command that was committed and applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppliedCommand {
    /// Its log index.
    pub index: Index,
    /// Output of the state machine.
    pub output: Vec<u8>,
}

/// Confirmation that a node was still the leader at some time after the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfirmedLeadership {
    /// Log index that includes everything committed before the request; the state machine has
    /// applied it.
    pub index: Index,
    /// Term in which the node was the leader from the request to the confirmation.
    pub term: Term,
}

/// Channel for the reply to one request. It has capacity for one, so that sending never blocks.
pub(crate) type Reply<T> = Sender<Result<T>>;

/// A request to the node's thread.
pub(crate) enum Request {
    Propose { command: Vec<u8>, deadline: Instant, reply: Reply<AppliedCommand> },
    Confirm { deadline: Instant, reply: Reply<ConfirmedLeadership> },
    Await { goal: Goal, deadline: Instant, reply: Reply<Index> },
    Transfer { to: NodeId, reply: Reply<()> },
    NoteLostDisk(NodeId),
    Backup { reply: Reply<Snapshot> },
    Tick { reply: Reply<()> },
    Stop,
}

/// A condition that a request waits for, or a change that it waits to make.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Goal {
    /// The membership change can be proposed; the reply follows when it is committed.
    MembershipChange(MembershipChange),
    /// A node holds the log on disk up to an index.
    Matched { node: NodeId, index: Index },
    /// The last membership change is committed, and no voter is being exchanged.
    Settled,
    /// A leader is known.
    Leader,
    /// This node isn't the leader.
    NotLeader,
}

impl Request {
    /// Replies with an error to a request that was never handled.
    pub(crate) fn fail(self, e: &Error) {
        let e = e.clone();
        // Sending fails if the caller no longer waits.
        match self {
            Self::Propose { reply, .. } => drop(reply.try_send(Err(e))),
            Self::Confirm { reply, .. } => drop(reply.try_send(Err(e))),
            Self::Await { reply, .. } => drop(reply.try_send(Err(e))),
            Self::Transfer { reply, .. } | Self::Tick { reply } => drop(reply.try_send(Err(e))),
            Self::Backup { reply } => drop(reply.try_send(Err(e))),
            Self::NoteLostDisk(_) | Self::Stop => (),
        }
    }
}
