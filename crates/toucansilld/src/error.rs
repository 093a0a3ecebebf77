//! The daemon's error.

use std::fmt;

/// Result of this crate's functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A failure to start or to run a daemon.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
    context: String,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Settings,
    Start,
}

impl Error {
    pub(crate) fn settings(file: &str, key: &str, reason: &str) -> Self {
        Self { kind: Kind::Settings, context: format!("{file}: {key}: {reason}") }
    }

    pub(crate) fn start(what: &str, reason: impl fmt::Display) -> Self {
        Self { kind: Kind::Start, context: format!("{what}: {reason}") }
    }

    /// Whether the settings are at fault.
    pub fn is_settings(&self) -> bool {
        self.kind == Kind::Settings
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.context)
    }
}

impl std::error::Error for Error {}
