//! Errors of requests to a node.

use crate::types::NodeId;
use std::{error, fmt, result};

/// Result of an operation on a node.
pub type Result<T> = result::Result<T, Error>;

/// Why a node refused a request. A refused request was not appended to the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: Kind,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Kind {
    NotLeader(Option<NodeId>),
    Busy(&'static str),
    TooLarge { bytes: usize, limit_bytes: usize },
    RefusedChange(&'static str),
    LearnerBehind,
}

impl Error {
    pub(crate) fn not_leader(leader: Option<NodeId>) -> Self {
        Self { kind: Kind::NotLeader(leader) }
    }

    pub(crate) fn busy(reason: &'static str) -> Self {
        Self { kind: Kind::Busy(reason) }
    }

    pub(crate) fn too_large(bytes: usize, limit_bytes: usize) -> Self {
        Self { kind: Kind::TooLarge { bytes, limit_bytes } }
    }

    pub(crate) fn refused_change(reason: &'static str) -> Self {
        Self { kind: Kind::RefusedChange(reason) }
    }

    pub(crate) fn learner_behind() -> Self {
        Self { kind: Kind::LearnerBehind }
    }

    /// Whether a learner hasn't caught up yet; the same request may succeed later.
    pub fn is_behind(&self) -> bool {
        matches!(self.kind, Kind::LearnerBehind)
    }

    /// Whether this node isn't the leader.
    pub fn is_not_leader(&self) -> bool {
        matches!(self.kind, Kind::NotLeader(_))
    }

    /// Whether a limit was reached or another operation is in progress; the same request may
    /// succeed later.
    pub fn is_busy(&self) -> bool {
        matches!(self.kind, Kind::Busy(_))
    }

    /// Whether a command exceeds the size limit.
    pub fn is_too_large(&self) -> bool {
        matches!(self.kind, Kind::TooLarge { .. })
    }

    /// Whether a membership change or leadership transfer is invalid for the current members, or
    /// the reachable voters couldn't commit it.
    pub fn is_refused_change(&self) -> bool {
        matches!(self.kind, Kind::RefusedChange(_))
    }

    /// For [`Error::is_not_leader`]: the current leader, if known.
    pub fn leader(&self) -> Option<NodeId> {
        match self.kind {
            Kind::NotLeader(leader) => leader,
            _ => None,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            Kind::NotLeader(Some(id)) => write!(f, "not the leader; node {id} is"),
            Kind::NotLeader(None) => write!(f, "not the leader; none is known"),
            Kind::Busy(reason) => write!(f, "busy: {reason}"),
            Kind::TooLarge { bytes, limit_bytes } => {
                write!(f, "command of {bytes} bytes exceeds the limit of {limit_bytes} bytes")
            }
            Kind::LearnerBehind => write!(f, "the learner hasn't caught up"),
            Kind::RefusedChange(reason) => write!(f, "membership change refused: {reason}"),
        }
    }
}

impl error::Error for Error {}
