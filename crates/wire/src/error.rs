//! Errors of messages, links and secret files.

use crate::Verdict;
use bincode::{Decode, Encode};
use std::{fmt, io};

/// Result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Cause of a failure, with the operation that failed.
///
/// [`verdict`](Self::verdict) states whether the other daemon may have acted.
#[derive(Debug)]
pub struct Error {
    context: String,
    kind: Kind,
    source: Option<io::Error>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// A setting, or a file that it names, is invalid.
    Config,
    /// No connection could be made.
    Unreachable,
    /// One end could not prove knowledge of the region secret to the other.
    AuthenticationFailed,
    /// The two ends have no common protocol version.
    VersionMismatch,
    /// The other daemon refused the message before acting on it.
    Refused,
    /// The connection was lost while the message was in flight.
    Lost,
    /// No reply arrived in time.
    Timeout,
    /// The bytes are not a valid message.
    Malformed,
    /// A message, frame or value exceeds its size limit.
    TooLarge,
    /// The other daemon handles too many messages, or too many streams are open.
    Overloaded,
    /// The other end cancelled the stream.
    Cancelled,
    /// The links were stopped.
    Stopped,
}

/// Why a message that was passed on got no reply.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum PassFailure {
    /// It wasn't sent to its receiver, or not handled there.
    NotSent,
    /// Its receiver refused it before acting on it.
    Refused,
    /// Its receiver may have acted on it.
    Unanswered,
}

impl Error {
    pub(crate) fn new(kind: Kind, context: impl Into<String>) -> Self {
        Self { context: context.into(), kind, source: None }
    }

    pub(crate) fn io(kind: Kind, context: impl Into<String>, source: io::Error) -> Self {
        Self { context: context.into(), kind, source: Some(source) }
    }

    /// Failure of a message that another daemon was to pass on, as that one reports it.
    pub fn passed_on(failure: PassFailure, context: impl Into<String>) -> Self {
        let kind = match failure {
            PassFailure::NotSent => Kind::Unreachable,
            PassFailure::Refused => Kind::Refused,
            PassFailure::Unanswered => Kind::Lost,
        };
        Self::new(kind, context)
    }

    /// What this failure is to a daemon for which the message was passed on.
    pub fn pass_failure(&self) -> PassFailure {
        match (self.kind, self.verdict()) {
            (Kind::Refused, _) => PassFailure::Refused,
            (_, Verdict::NotRun) => PassFailure::NotSent,
            (_, Verdict::Ran | Verdict::MayHaveRun) => PassFailure::Unanswered,
        }
    }

    pub(crate) fn kind(&self) -> Kind {
        self.kind
    }

    /// Kind of the error of the operating system that caused this one, if one did.
    pub(crate) fn io_kind(&self) -> Option<io::ErrorKind> {
        self.source.as_ref().map(io::Error::kind)
    }

    /// Whether the other daemon may have acted on the message.
    pub fn verdict(&self) -> Verdict {
        match self.kind {
            Kind::Lost | Kind::Timeout | Kind::Malformed | Kind::Cancelled => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    /// Whether a setting, or a file that it names, is invalid.
    pub fn is_config(&self) -> bool {
        self.kind == Kind::Config
    }

    /// Whether no connection could be made within the configured attempts.
    pub fn is_unreachable(&self) -> bool {
        self.kind == Kind::Unreachable
    }

    /// Whether one end could not prove knowledge of the region secret to the other.
    pub fn is_authentication_failure(&self) -> bool {
        self.kind == Kind::AuthenticationFailed
    }

    /// Whether the two ends have no common protocol version.
    pub fn is_version_mismatch(&self) -> bool {
        self.kind == Kind::VersionMismatch
    }

    /// Whether the other daemon refused the message before acting on it.
    pub fn is_refused(&self) -> bool {
        self.kind == Kind::Refused
    }

    /// Whether the connection was lost while the message was in flight.
    pub fn is_lost(&self) -> bool {
        self.kind == Kind::Lost
    }

    /// Whether no reply arrived in time.
    pub fn is_timeout(&self) -> bool {
        self.kind == Kind::Timeout
    }

    /// Whether received bytes were not a valid message.
    pub fn is_malformed(&self) -> bool {
        self.kind == Kind::Malformed
    }

    /// Whether a message, frame or value exceeded its size limit.
    pub fn is_too_large(&self) -> bool {
        self.kind == Kind::TooLarge
    }

    /// Whether the other daemon handled too many messages, or too many streams were open.
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
