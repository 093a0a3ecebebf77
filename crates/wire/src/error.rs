//! Errors of messages, links and secrets.

use crate::Verdict;
use std::{fmt, io};

/// Result of this crate's operations.
pub type Result<T> = std::result::Result<T, Error>;

/// What went wrong, with the operation that failed.
///
/// [`verdict`](Self::verdict) says whether the other daemon may have acted.
#[derive(Debug)]
pub struct Error {
    context: String,
    kind: Kind,
    source: Option<io::Error>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// A setting or file is wrong.
    Config,
    /// No connection came about.
    Unreachable,
    /// The other end does not prove the region secret, or we don't to it.
    AuthenticationFailed,
    /// No protocol version in common.
    VersionMismatch,
    /// The other daemon refused the message before it acted on it.
    Refused,
    /// The connection was lost with the message under way.
    Lost,
    /// No answer in time.
    Timeout,
    /// Bytes that are no message.
    Malformed,
    /// More bytes than the limit.
    TooLarge,
    /// A queue is full, or too many streams are open.
    Overloaded,
    /// The other end cancelled the stream.
    Cancelled,
    /// The links were stopped.
    Stopped,
}

impl Error {
    pub(crate) fn new(kind: Kind, context: impl Into<String>) -> Self {
        Self { context: context.into(), kind, source: None }
    }

    pub(crate) fn io(kind: Kind, context: impl Into<String>, source: io::Error) -> Self {
        Self { context: context.into(), kind, source: Some(source) }
    }

    pub(crate) fn kind(&self) -> Kind {
        self.kind
    }

    /// Whether the other daemon may have acted on the message.
    pub fn verdict(&self) -> Verdict {
        match self.kind {
            Kind::Lost | Kind::Timeout | Kind::Malformed | Kind::Cancelled => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    /// Whether a setting or a file that it names is wrong.
    pub fn is_config(&self) -> bool {
        self.kind == Kind::Config
    }

    /// Whether no connection came about, after the configured attempts.
    pub fn is_unreachable(&self) -> bool {
        self.kind == Kind::Unreachable
    }

    /// Whether one end could not prove the region secret to the other.
    pub fn is_authentication_failure(&self) -> bool {
        self.kind == Kind::AuthenticationFailed
    }

    /// Whether the two ends have no protocol version in common.
    pub fn is_version_mismatch(&self) -> bool {
        self.kind == Kind::VersionMismatch
    }

    /// Whether the other daemon refused the message before it acted on it.
    pub fn is_refused(&self) -> bool {
        self.kind == Kind::Refused
    }

    /// Whether the connection was lost with the message under way.
    pub fn is_lost(&self) -> bool {
        self.kind == Kind::Lost
    }

    /// Whether no answer came in time.
    pub fn is_timeout(&self) -> bool {
        self.kind == Kind::Timeout
    }

    /// Whether bytes were no message.
    pub fn is_malformed(&self) -> bool {
        self.kind == Kind::Malformed
    }

    /// Whether something was larger than its limit.
    pub fn is_too_large(&self) -> bool {
        self.kind == Kind::TooLarge
    }

    /// Whether a queue was full or too many streams were open.
    pub fn is_overloaded(&self) -> bool {
        self.kind == Kind::Overloaded
    }

    /// Whether the other end cancelled the stream.
    pub fn is_cancelled(&self) -> bool {
        self.kind == Kind::Cancelled
    }

    /// Whether the links were stopped.
    pub fn is_stopped(&self) -> bool {
        self.kind == Kind::Stopped
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.source {
            Some(source) => write!(f, "{}: {source}", self.context),
            None => f.write_str(&self.context),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.source.as_ref().map(|e| e as _)
    }
}
