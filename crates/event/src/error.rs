//! Errors of event files and of the writer thread.

use std::{fmt, io};

/// Result of this crate's operations.
pub type Result<T> = std::result::Result<T, Error>;

/// Failure to open or read an event file, or to start the writer thread.
#[derive(Debug)]
pub struct Error {
    /// Operation that failed, with the path of the file.
    context: String,
    source: io::Error,
}

impl Error {
    pub(crate) fn new(context: impl Into<String>, source: io::Error) -> Self {
        Self { context: context.into(), source }
    }

    /// Whether the operation failed because the file does not exist.
    pub fn is_not_found(&self) -> bool {
        self.source.kind() == io::ErrorKind::NotFound
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.context, self.source)
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}
