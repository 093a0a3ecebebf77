//! Why a request failed, and whether it may have been applied.

use raft::NodeId;
use std::{error, fmt, result, sync::Arc};

/// Result of a request.
pub type Result<T> = result::Result<T, Error>;

/// Why a request failed. Either it is proven not to have been applied, now or later
/// ([`Error::is_not_applied`]), or nothing is known ([`Error::is_unknown`]).
#[derive(Clone, Debug)]
pub struct Error {
    kind: Kind,
}

#[derive(Clone, Debug)]
enum Kind {
    /// Turned away by the consensus.
    Refused(raft::Error),
    /// Leadership was lost before a read was confirmed.
    NotLeader(Option<NodeId>),
    /// The queue of requests is full.
    Busy,
    /// The deadline passed before the request reached the log.
    Expired,
    /// Another command was committed in the request's place.
    Replaced,
    /// No answer came in time.
    Unknown(&'static str),
    /// The voter has stopped or its disk has failed.
    Stopped(String),
    /// The data folder can't be used.
    Disk(Arc<disk::Error>),
    /// A back-up can't become the group that was asked for.
    Backup(&'static str),
    /// The machine can't read its own snapshot.
    Machine(String),
}

impl Error {
    pub(crate) fn refused(e: raft::Error) -> Self {
        Self { kind: Kind::Refused(e) }
    }

    pub(crate) fn not_leader(leader: Option<NodeId>) -> Self {
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

    pub(crate) fn unknown(why: &'static str) -> Self {
        Self { kind: Kind::Unknown(why) }
    }

    pub(crate) fn stopped(why: impl Into<String>) -> Self {
        Self { kind: Kind::Stopped(why.into()) }
    }

    pub(crate) fn disk(e: disk::Error) -> Self {
        Self { kind: Kind::Disk(Arc::new(e)) }
    }

    pub(crate) fn backup(why: &'static str) -> Self {
        Self { kind: Kind::Backup(why) }
    }

    pub(crate) fn machine(why: impl fmt::Display) -> Self {
        Self { kind: Kind::Machine(why.to_string()) }
    }

    /// Whether the request has not been applied and never will be.
    pub fn is_not_applied(&self) -> bool {
        !self.is_unknown()
    }

    /// Whether the request may have been applied, or may yet be.
    pub fn is_unknown(&self) -> bool {
        matches!(self.kind, Kind::Unknown(_))
    }

    /// Whether another voter leads, or none is known to.
    pub fn is_not_leader(&self) -> bool {
        match &self.kind {
            Kind::Refused(e) => e.is_not_leader(),
            Kind::NotLeader(_) => true,
            _ => false,
        }
    }

    /// Whether a bound was reached; the same request may succeed later.
    pub fn is_busy(&self) -> bool {
        match &self.kind {
            Kind::Refused(e) => e.is_busy(),
            Kind::Busy | Kind::Expired => true,
            _ => false,
        }
    }

    /// Whether a membership change makes no sense or would stop the group.
    pub fn is_refused_change(&self) -> bool {
        matches!(&self.kind, Kind::Refused(e) if e.is_refused_change())
    }

    /// Whether this voter has stopped for good, by order or because its disk failed.
    pub fn is_stopped(&self) -> bool {
        matches!(self.kind, Kind::Stopped(_))
    }

    /// Whether the data folder can't be used; the source says why.
    pub fn is_disk(&self) -> bool {
        matches!(self.kind, Kind::Disk(_))
    }

    /// Whether a back-up can't become the group that was asked for.
    pub fn is_refused_backup(&self) -> bool {
        matches!(self.kind, Kind::Backup(_))
    }

    /// The leader to ask instead, if one is known.
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
            Kind::Unknown(why) => write!(f, "the outcome is unknown: {why}"),
            Kind::Stopped(why) => write!(f, "this voter has stopped: {why}"),
            Kind::Disk(e) => write!(f, "the data folder can't be used: {e}"),
            Kind::Backup(why) => write!(f, "the back-up can't be restored: {why}"),
            Kind::Machine(why) => write!(f, "the state machine refused a snapshot: {why}"),
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
