//! Errors of the store.

use std::{
    error, fmt, io,
    path::{Path, PathBuf},
    result,
};

/// Result of an operation on the store.
pub type Result<T> = result::Result<T, Error>;

/// An error of the store, with the file or folder that it concerns.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
    path: PathBuf,
}

#[derive(Debug)]
enum Kind {
    /// An operation of the file system failed.
    Io { operation: &'static str, cause: io::Error },
    /// A file differs from what was synced to it, from this byte on.
    Corrupt { offset: u64, problem: &'static str },
    /// Another process holds the lock of the folder.
    Locked,
    /// An earlier write or sync failed, so the content of the disk is unknown.
    Poisoned,
    /// The folder belongs to the node `found`, but was opened for `expected`.
    OtherNode { found: u64, expected: u64 },
}

impl Error {
    pub(crate) fn io(path: &Path, operation: &'static str, cause: io::Error) -> Self {
        Self { kind: Kind::Io { operation, cause }, path: path.to_owned() }
    }

    pub(crate) fn corrupt(path: &Path, offset: u64, problem: &'static str) -> Self {
        Self { kind: Kind::Corrupt { offset, problem }, path: path.to_owned() }
    }

    pub(crate) fn locked(path: &Path) -> Self {
        Self { kind: Kind::Locked, path: path.to_owned() }
    }

    pub(crate) fn poisoned(path: &Path) -> Self {
        Self { kind: Kind::Poisoned, path: path.to_owned() }
    }

    pub(crate) fn other_node(path: &Path, found: u64, expected: u64) -> Self {
        Self { kind: Kind::OtherNode { found, expected }, path: path.to_owned() }
    }

    /// Whether a file differs from what was synced to it. The voter must then be replaced.
    pub fn is_corrupt(&self) -> bool {
        matches!(self.kind, Kind::Corrupt { .. })
    }

    /// Whether another process has the folder open.
    pub fn is_locked(&self) -> bool {
        matches!(self.kind, Kind::Locked)
    }

    /// Whether an earlier write or sync failed. Every later call of the store then fails, until
    /// the folder is opened again.
    pub fn is_poisoned(&self) -> bool {
        matches!(self.kind, Kind::Poisoned)
    }

    /// Whether the disk is full or its quota is used up.
    pub fn is_full(&self) -> bool {
        matches!(&self.kind, Kind::Io { cause, .. } if is_full(cause))
    }

    /// Whether the disk can't be used now, as it is full, read-only or faulty. The same operation may succeed later.
    pub fn is_unusable(&self) -> bool {
        matches!(&self.kind, Kind::Io { cause, .. } if is_unusable(cause))
    }

    /// Whether the folder belongs to another node.
    pub fn is_other_node(&self) -> bool {
        matches!(self.kind, Kind::OtherNode { .. })
    }
}

/// Whether an operation failed because the disk is full or its quota is used up.
fn is_full(err: &io::Error) -> bool {
    matches!(err.kind(), io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded)
}

/// Whether an operation failed because the disk is full, read-only or faulty.
pub fn is_unusable(err: &io::Error) -> bool {
    /// Error number of Linux for a failed input or output operation.
    const EIO: i32 = 5;
    is_full(err)
        || err.kind() == io::ErrorKind::ReadOnlyFilesystem
        || err.raw_os_error() == Some(EIO)
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = self.path.display();
        match &self.kind {
            Kind::Io { operation, cause } => write!(f, "{path}: {operation}: {cause}"),
            Kind::Corrupt { offset, problem } => {
                write!(f, "{path}: corrupt at byte {offset}: {problem}; replace this voter")
            }
            Kind::Locked => write!(f, "{path}: in use by another process"),
            Kind::Poisoned => write!(f, "{path}: an earlier write or sync failed"),
            Kind::OtherNode { found, expected } => {
                write!(f, "{path}: belongs to node {found}, not to node {expected}")
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
