//! Errors that are not outcomes of commands.

use std::fmt;

/// Result with the [`Error`] of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// A message, snapshot, set of changes, reply or epoch that cannot be used.
///
/// ```
/// use control::State;
///
/// let err = State::restore(&[9, 0, 0, 0]).unwrap_err();
/// assert!(err.is_unknown_version());
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    kind: Kind,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Kind {
    Malformed(String),
    UnknownVersion { found: u32, newest: u32 },
    Gap { view: u64, from: u64 },
    UnknownReply { sequence: u64 },
    NotMember { last_incarnation: Option<u64> },
    OlderSheet { view: u64, found: u64 },
    InvalidEpoch { epoch: u64, applied: u64 },
}

impl Error {
    pub(crate) fn malformed(reason: impl fmt::Display) -> Self {
        Self { kind: Kind::Malformed(reason.to_string()) }
    }

    pub(crate) fn unknown_version(found: u32, newest: u32) -> Self {
        Self { kind: Kind::UnknownVersion { found, newest } }
    }

    pub(crate) fn gap(view: u64, from: u64) -> Self {
        Self { kind: Kind::Gap { view, from } }
    }

    pub(crate) fn unknown_reply(sequence: u64) -> Self {
        Self { kind: Kind::UnknownReply { sequence } }
    }

    pub(crate) fn not_member(last_incarnation: Option<u64>) -> Self {
        Self { kind: Kind::NotMember { last_incarnation } }
    }

    pub(crate) fn older_sheet(view: u64, found: u64) -> Self {
        Self { kind: Kind::OlderSheet { view, found } }
    }

    pub(crate) fn invalid_epoch(epoch: u64, applied: u64) -> Self {
        Self { kind: Kind::InvalidEpoch { epoch, applied } }
    }

    /// Returns whether bytes could not be decoded.
    pub fn is_malformed(&self) -> bool {
        matches!(self.kind, Kind::Malformed(_))
    }

    /// Returns whether a snapshot has a format that this build does not read.
    pub fn is_unknown_version(&self) -> bool {
        matches!(self.kind, Kind::UnknownVersion { .. })
    }

    /// Returns whether changes start after the index that the view has reached.
    pub fn is_gap(&self) -> bool {
        matches!(self.kind, Kind::Gap { .. })
    }

    /// Returns whether a reply belongs to no outstanding renewal.
    pub fn is_unknown_reply(&self) -> bool {
        matches!(self.kind, Kind::UnknownReply { .. })
    }

    /// Returns whether this instance of the daemon is not a member, so that the
    /// daemon has to join again with a higher incarnation.
    pub fn is_not_member(&self) -> bool {
        matches!(self.kind, Kind::NotMember { .. })
    }

    /// Returns whether changes would replace the view's sheet with an older one. A group
    /// restored from an old back-up sends such changes until a sheet with at least the
    /// view's number is applied again.
    pub fn is_older_sheet(&self) -> bool {
        matches!(self.kind, Kind::OlderSheet { .. })
    }

    /// Returns whether the group epoch for a restore is too low for the state of its
    /// back-up, or above the limit.
    pub fn is_invalid_epoch(&self) -> bool {
        matches!(self.kind, Kind::InvalidEpoch { .. })
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            Kind::Malformed(reason) => write!(f, "malformed bytes: {reason}"),
            Kind::UnknownVersion { found, newest } => write!(
                f,
                "snapshot format {found} is not readable by this build, which reads up to {newest}"
            ),
            Kind::Gap { view, from } => {
                write!(f, "changes start at index {from}, the view is at {view}")
            }
            Kind::UnknownReply { sequence } => {
                write!(f, "reply to renewal {sequence}, which is not outstanding")
            }
            Kind::NotMember { last_incarnation: Some(last) } => {
                write!(f, "not a member; join with an incarnation above {last}")
            }
            Kind::OlderSheet { view, found } => {
                write!(f, "the control group has sheet {found}, the view has sheet {view}")
            }
            Kind::InvalidEpoch { epoch, applied } => {
                write!(f, "epoch {epoch} does not fit a state at index {applied}")
            }
            Kind::NotMember { last_incarnation: None } => write!(f, "not a member; join first"),
        }
    }
}

impl std::error::Error for Error {}
