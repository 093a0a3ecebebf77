//! Error of starting a daemon.

use std::fmt;

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
