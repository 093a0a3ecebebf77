//! Why the leader turned something away.

use crate::types::NodeId;
use std::{error, fmt, result};

/// Result of an operation on a node.
pub type Result<T> = result::Result<T, Error>;

/// Why a request was refused. A refused request has left no trace in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: Kind,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Kind {
    NotLeader(Option<NodeId>),
    Busy(&'static str),
    TooLarge { bytes: usize, limit_bytes: usize },
    Change(&'static str),
    Behind,
}

impl Error {
    pub(crate) fn not_leader(leader: Option<NodeId>) -> Self {
        Self { kind: Kind::NotLeader(leader) }
    }

    pub(crate) fn busy(what: &'static str) -> Self {
        Self { kind: Kind::Busy(what) }
    }

    pub(crate) fn too_large(bytes: usize, limit_bytes: usize) -> Self {
        Self { kind: Kind::TooLarge { bytes, limit_bytes } }
    }

    pub(crate) fn refused(why: &'static str) -> Self {
        Self { kind: Kind::Change(why) }
    }

    pub(crate) fn behind() -> Self {
        Self { kind: Kind::Behind }
    }

    /// Whether a learner has yet to catch up; the same request may succeed later.
    pub fn is_behind(&self) -> bool {
        matches!(self.kind, Kind::Behind)
    }

    /// Whether another node leads, or none does.
    pub fn is_not_leader(&self) -> bool {
        matches!(self.kind, Kind::NotLeader(_))
    }

    /// Whether a bound was reached; the same request may succeed later.
    pub fn is_busy(&self) -> bool {
        matches!(self.kind, Kind::Busy(_))
    }

    /// Whether a command exceeds the size limit.
    pub fn is_too_large(&self) -> bool {
        matches!(self.kind, Kind::TooLarge { .. })
    }

    /// Whether a membership change or transfer was refused.
    pub fn is_refused_change(&self) -> bool {
        matches!(self.kind, Kind::Change(_))
    }

    /// The leader that this node knows of.
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
            Kind::Busy(what) => write!(f, "busy: {what}"),
            Kind::TooLarge { bytes, limit_bytes } => {
                write!(f, "command of {bytes} bytes exceeds the limit of {limit_bytes} bytes")
            }
            Kind::Behind => write!(f, "the learner hasn't caught up"),
            Kind::Change(why) => write!(f, "membership change refused: {why}"),
        }
    }
}

impl error::Error for Error {}
