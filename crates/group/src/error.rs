//! Errors of requests to a node, and whether the request may have been applied.

use raft::NodeId;
use std::{error, fmt, result, sync::Arc};

/// Result of a request.
pub type Result<T> = result::Result<T, Error>;

/// Why a request failed. Either it is certain that the request hasn't been applied and never will
/// be ([`Error::is_not_applied`]), or its outcome is unknown ([`Error::is_unknown`]).
#[derive(Clone, Debug)]
pub struct Error {
    kind: Kind,
}

#[derive(Clone, Debug)]
enum Kind {
    /// The Raft node refused the request.
    Refused(raft::Error),
    /// Leadership was lost before a read was confirmed.
    NotLeader(Option<NodeId>),
    /// The request queue is full.
    Busy,
    /// The deadline passed before the command was appended to the log.
    Expired,
    /// Another entry was committed at the command's log index.
    Replaced,
    /// The outcome can't be known, for this reason.
    Unknown(&'static str),
    /// The node has stopped or its disk has failed.
    Stopped(String),
    /// The data folder can't be used.
    Disk(Arc<disk::Error>),
    /// The back-up can't be restored as requested.
    Backup(&'static str),
    /// The state machine can't restore or provide a snapshot.
    StateMachine(String),
}

impl Error {
    pub(crate) fn refused(e: raft::Error) -> Self {
        Self { kind: Kind::Refused(e) }
    }

    /// An error for a node that doesn't lead, with the leader if known.
    pub fn not_leader(leader: Option<NodeId>) -> Self {
        Self { kind: Kind::NotLeader(leader) }
    }

    pub(crate) fn busy() -> Self {
        Self { kind: Kind::Busy }
    }

    pub(crate) fn expired() -> Self {
        Self { kind: Kind::Expired }
    }

    pub(crate) fn replaced() -> Self {
        Self { kind: Kind::Replaced }
    }

    pub(crate) fn unknown(reason: &'static str) -> Self {
        Self { kind: Kind::Unknown(reason) }
    }

    pub(crate) fn stopped(reason: impl Into<String>) -> Self {
        Self { kind: Kind::Stopped(reason.into()) }
    }

    pub(crate) fn disk(e: disk::Error) -> Self {
        Self { kind: Kind::Disk(Arc::new(e)) }
    }

    pub(crate) fn backup(reason: &'static str) -> Self {
        Self { kind: Kind::Backup(reason) }
    }

    pub(crate) fn state_machine(reason: impl fmt::Display) -> Self {
        Self { kind: Kind::StateMachine(reason.to_string()) }
    }

    /// Whether the request certainly hasn't been applied and never will be.
    pub fn is_not_applied(&self) -> bool {
        !self.is_unknown()
    }

    /// Whether the request may have been applied or may still be.
    pub fn is_unknown(&self) -> bool {
        matches!(self.kind, Kind::Unknown(_))
    }

    /// Whether this node isn't the leader, or lost leadership before a read was confirmed.
    pub fn is_not_leader(&self) -> bool {
        match &self.kind {
            Kind::Refused(e) => e.is_not_leader(),
            Kind::NotLeader(_) => true,
            _ => false,
        }
    }

    /// Whether a limit was reached, another operation is in progress, or the deadline passed before
    /// the command was proposed; the same request may succeed later.
    pub fn is_busy(&self) -> bool {
        match &self.kind {
            Kind::Refused(e) => e.is_busy(),
            Kind::Busy | Kind::Expired => true,
            _ => false,
        }
    }

    /// Whether a membership change or transfer is invalid, or would leave the group without a
    /// reachable majority.
    pub fn is_refused_change(&self) -> bool {
        matches!(&self.kind, Kind::Refused(e) if e.is_refused_change())
    }

    /// Whether this node has stopped, on request or after a failure of its disk or state machine, or a
    /// panic.
    pub fn is_stopped(&self) -> bool {
        matches!(self.kind, Kind::Stopped(_))
    }

    /// Whether the data folder can't be used; the error's source has the cause.
    pub fn is_disk(&self) -> bool {
        matches!(self.kind, Kind::Disk(_))
    }

    /// Whether a back-up can't be restored as requested.
    pub fn is_refused_backup(&self) -> bool {
        matches!(self.kind, Kind::Backup(_))
    }

    /// The leader to send the request to instead, if known.
    pub fn leader_hint(&self) -> Option<NodeId> {
        match &self.kind {
            Kind::Refused(e) => e.leader(),
            Kind::NotLeader(leader) => *leader,
            _ => None,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            Kind::Refused(e) => write!(f, "{e}"),
            Kind::NotLeader(_) => write!(f, "leadership was lost before the read was confirmed"),
            Kind::Busy => write!(f, "too many requests are waiting"),
            Kind::Expired => write!(f, "the deadline passed before the request was taken up"),
            Kind::Replaced => write!(f, "another command was committed in its place"),
            Kind::Unknown(reason) => write!(f, "the outcome is unknown: {reason}"),
            Kind::Stopped(reason) => write!(f, "this voter has stopped: {reason}"),
            Kind::Disk(e) => write!(f, "the data folder can't be used: {e}"),
            Kind::Backup(reason) => write!(f, "the back-up can't be restored: {reason}"),
            Kind::StateMachine(reason) => {
                write!(f, "the state machine failed: {reason}")
            }
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match &self.kind {
            Kind::Refused(e) => Some(e),
            Kind::Disk(e) => Some(e.as_ref()),
            _ => None,
        }
    }
}
