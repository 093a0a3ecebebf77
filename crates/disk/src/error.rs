//! Why the store refused or failed.

use std::{
    error, fmt, io,
    path::{Path, PathBuf},
    result,
};

/// Result of an operation on the store.
pub type Result<T> = result::Result<T, Error>;

/// A failure of the store, with the file that it concerns.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
    path: PathBuf,
}

#[derive(Debug)]
enum Kind {
    Io { doing: &'static str, cause: io::Error },
    Corrupt { offset: u64, what: &'static str },
    Locked,
    Poisoned,
    Identity { found: u64, wanted: u64 },
}

impl Error {
    pub(crate) fn io(path: &Path, doing: &'static str, cause: io::Error) -> Self {
        Self { kind: Kind::Io { doing, cause }, path: path.to_owned() }
    }

    pub(crate) fn corrupt(path: &Path, offset: u64, what: &'static str) -> Self {
        Self { kind: Kind::Corrupt { offset, what }, path: path.to_owned() }
    }

    pub(crate) fn locked(path: &Path) -> Self {
        Self { kind: Kind::Locked, path: path.to_owned() }
    }

    pub(crate) fn poisoned(path: &Path) -> Self {
        Self { kind: Kind::Poisoned, path: path.to_owned() }
    }

    pub(crate) fn identity(path: &Path, found: u64, wanted: u64) -> Self {
        Self { kind: Kind::Identity { found, wanted }, path: path.to_owned() }
    }

    /// Whether a file holds something else than what was synced to it.
    pub fn is_corrupt(&self) -> bool {
        matches!(self.kind, Kind::Corrupt { .. })
    }

    /// Whether another process has the folder open.
    pub fn is_locked(&self) -> bool {
        matches!(self.kind, Kind::Locked)
    }

    /// Whether an earlier failure has stopped the store for good.
    pub fn is_poisoned(&self) -> bool {
        matches!(self.kind, Kind::Poisoned)
    }

    /// Whether the disk or its quota is full.
    pub fn is_full(&self) -> bool {
        matches!(&self.kind, Kind::Io { cause, .. } if matches!(
            cause.kind(),
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
        ))
    }

    /// Whether the folder belongs to another node.
    pub fn is_other_node(&self) -> bool {
        matches!(self.kind, Kind::Identity { .. })
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = self.path.display();
        match &self.kind {
            Kind::Io { doing, cause } => write!(f, "{path}: {doing}: {cause}"),
            Kind::Corrupt { offset, what } => {
                write!(f, "{path}: corrupt at byte {offset}: {what}; replace this voter")
            }
            Kind::Locked => write!(f, "{path}: in use by another process"),
            Kind::Poisoned => write!(f, "{path}: an earlier write or sync failed"),
            Kind::Identity { found, wanted } => {
                write!(f, "{path}: belongs to node {found}, not to node {wanted}")
            }
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match &self.kind {
            Kind::Io { cause, .. } => Some(cause),
            _ => None,
        }
    }
}
