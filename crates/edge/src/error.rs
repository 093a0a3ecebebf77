//! Errors of starting a server and of writing to a caller.

use std::{fmt, io};

/// Result of this crate's operations.
pub type Result<T> = std::result::Result<T, Error>;

/// What went wrong, with the operation that failed.
#[derive(Debug)]
pub struct Error {
    context: String,
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    CallerDisconnected(Option<io::Error>),
    Config(Option<io::Error>),
    Io(io::Error),
}

impl Error {
    pub(crate) fn caller_disconnected(context: &str, source: Option<io::Error>) -> Self {
        Self { context: context.to_owned(), kind: Kind::CallerDisconnected(source) }
    }

    pub(crate) fn config(context: String, source: Option<io::Error>) -> Self {
        Self { context, kind: Kind::Config(source) }
    }

    pub(crate) fn io(context: String, source: io::Error) -> Self {
        Self { context, kind: Kind::Io(source) }
    }

    /// Whether the caller went away before it had the whole answer.
    pub fn is_caller_disconnected(&self) -> bool {
        matches!(self.kind, Kind::CallerDisconnected(_))
    }

    /// Whether a setting or a file that it names is wrong.
    pub fn is_config(&self) -> bool {
        matches!(self.kind, Kind::Config(_))
    }

    fn cause(&self) -> Option<&io::Error> {
        match &self.kind {
            Kind::CallerDisconnected(source) | Kind::Config(source) => source.as_ref(),
            Kind::Io(source) => Some(source),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.cause() {
            Some(source) => write!(f, "{}: {source}", self.context),
            None => f.write_str(&self.context),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.cause().map(|e| e as _)
    }
}
