//! Error of starting a daemon.

use std::{error::Error as _, fmt, io};

/// Result of this crate's functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Failure to start a daemon: invalid settings, or a service that did not start.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
    context: String,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ErrorKind {
    Settings,
    Start,
    Disk,
}

impl Error {
    /// Error of the setting `key` in `file`.
    pub(crate) fn settings(file: &str, key: &str, reason: &str) -> Self {
        Self { kind: ErrorKind::Settings, context: format!("{file}: {key}: {reason}") }
    }

    /// Error of a service, file or setting that prevents the start.
    pub(crate) fn start(name: &str, reason: impl fmt::Display) -> Self {
        Self { kind: ErrorKind::Start, context: format!("{name}: {reason}") }
    }

    /// Error of an operation on a data folder, which the setting `name` states.
    pub(crate) fn file(name: &str, err: &io::Error) -> Self {
        Self::of_disk(name, err, disk::is_unusable(err))
    }

    /// Error of a store in a data folder.
    pub(crate) fn store(name: &str, err: &disk::Error) -> Self {
        Self::of_disk(name, err, err.is_unusable())
    }

    /// Error of starting the voter `name`.
    pub(crate) fn voter(name: &str, err: &group::Error) -> Self {
        let cause = err.source().and_then(|cause| cause.downcast_ref::<disk::Error>());
        Self::of_disk(name, err, cause.is_some_and(disk::Error::is_unusable))
    }

    fn of_disk(name: &str, reason: impl fmt::Display, is_unusable: bool) -> Self {
        let kind = if is_unusable { ErrorKind::Disk } else { ErrorKind::Start };
        Self { kind, context: format!("{name}: {reason}") }
    }

    /// Whether the disk of a data folder can't be used now. The same start may succeed later.
    pub fn is_disk(&self) -> bool {
        self.kind == ErrorKind::Disk
    }

    /// Whether the settings are invalid.
    pub fn is_settings(&self) -> bool {
        self.kind == ErrorKind::Settings
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.context)
    }
}

impl std::error::Error for Error {}
