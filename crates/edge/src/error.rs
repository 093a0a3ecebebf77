//! Errors of starting a server and of writing a response.

use std::{fmt, io};

/// Result of this crate's operations.
pub type Result<T> = std::result::Result<T, Error>;

/// Failed operation, with its kind and cause.
///
/// A request that is refused is an [`ApiError`](crate::ApiError) instead.
#[derive(Debug)]
pub struct Error {
    context: String,
    kind: ErrorKind,
}

#[derive(Debug)]
enum ErrorKind {
    /// The caller closed the connection or its response had already been sent.
    CallerDisconnected(Option<io::Error>),
    Config(Option<io::Error>),
    Io(io::Error),
}

impl Error {
    pub(crate) fn caller_disconnected(context: &str, source: Option<io::Error>) -> Self {
        Self { context: context.to_owned(), kind: ErrorKind::CallerDisconnected(source) }
    }

    pub(crate) fn config(context: String, source: Option<io::Error>) -> Self {
        Self { context, kind: ErrorKind::Config(source) }
    }

    pub(crate) fn io(context: String, source: io::Error) -> Self {
        Self { context, kind: ErrorKind::Io(source) }
    }

    /// Whether the caller closed the connection before the response was complete.
    ///
    /// Also true if the response had already been sent, in whole or as a stream.
    pub fn is_caller_disconnected(&self) -> bool {
        matches!(self.kind, ErrorKind::CallerDisconnected(_))
    }

    /// Whether a setting, a file that a setting names, or the value of a response header is invalid.
    pub fn is_config(&self) -> bool {
        matches!(self.kind, ErrorKind::Config(_))
    }

    fn cause(&self) -> Option<&io::Error> {
        match &self.kind {
            ErrorKind::CallerDisconnected(source) | ErrorKind::Config(source) => source.as_ref(),
            ErrorKind::Io(source) => Some(source),
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
