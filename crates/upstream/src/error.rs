//! The error of this crate, with the verdict on the request that failed.

use std::fmt;
use wire::Verdict;

/// Result of an operation towards an upstream.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a request, an order or an announcement failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ErrorReason {
    /// An announcement or a request that can't be understood.
    Invalid,
    /// An announcement or an order that a newer one has overtaken.
    Stale,
    /// A table or queue is full.
    Full,
    /// The upstream could not be connected to.
    Unreachable,
    /// The upstream refused with this HTTP status.
    Refused(u16),
    /// The connection broke before the answer was whole.
    Incomplete,
    /// No byte came for the I/O timeout.
    TimedOut,
    /// The answer belonged to another request.
    MismatchedResponse,
    /// The answer is larger than the limit, or no valid answer.
    InvalidResponse,
    /// The deadline has passed.
    Deadline,
    /// The request was cancelled.
    Cancelled,
    /// No upstream is left to try.
    NoUpstream,
}

/// A failure with its verdict: whether the request may have run.
///
/// ```
/// use upstream::{Error, ErrorReason};
/// use wire::Verdict;
///
/// let e = Error::new(ErrorReason::Unreachable, Verdict::NotRun, "connection refused");
/// assert!(e.is_not_run() && e.is_unreachable());
/// assert_eq!(e.to_string(), "connection refused (not-run)");
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    reason: ErrorReason,
    verdict: Verdict,
    message: String,
}

impl Error {
    /// An error with the text that its reader gets.
    pub fn new(reason: ErrorReason, verdict: Verdict, message: impl Into<String>) -> Self {
        Self { reason, verdict, message: message.into() }
    }

    /// Why it failed.
    pub fn reason(&self) -> ErrorReason {
        self.reason
    }

    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// The text without the verdict.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// The same failure with a worse verdict, from an earlier attempt.
    pub fn with_verdict(self, verdict: Verdict) -> Self {
        Self { verdict, ..self }
    }

    /// Whether the request is proven not to have run.
    pub fn is_not_run(&self) -> bool {
        self.verdict == Verdict::NotRun
    }

    /// Whether the upstream could not be connected to.
    pub fn is_unreachable(&self) -> bool {
        self.reason == ErrorReason::Unreachable
    }

    /// Whether the upstream itself refused.
    pub fn is_refused(&self) -> bool {
        matches!(self.reason, ErrorReason::Refused(_))
    }

    /// Whether the same request would be refused by every upstream.
    ///
    /// Timeout (408), conflict (409), size (413) and rate (429) depend on the
    /// upstream and the moment, so they are not the caller's fault.
    pub fn is_caller_fault(&self) -> bool {
        match self.reason {
            ErrorReason::Refused(408 | 409 | 413 | 429) => false,
            ErrorReason::Refused(400..=499) | ErrorReason::Invalid => true,
            _ => false,
        }
    }

    /// Whether an open connection has gone silent.
    pub fn is_timed_out(&self) -> bool {
        self.reason == ErrorReason::TimedOut
    }

    /// Whether the deadline has passed.
    pub fn is_deadline(&self) -> bool {
        self.reason == ErrorReason::Deadline
    }

    /// Whether a newer announcement or order has overtaken this one.
    pub fn is_stale(&self) -> bool {
        self.reason == ErrorReason::Stale
    }

    /// The HTTP status that tells a caller or an upstream of this error.
    pub fn status(&self) -> u16 {
        match self.reason {
            ErrorReason::Invalid => 400,
            ErrorReason::Stale => 409,
            ErrorReason::Refused(status) => status,
            ErrorReason::Cancelled => 499,
            ErrorReason::Full | ErrorReason::NoUpstream | ErrorReason::Unreachable => 503,
            ErrorReason::Incomplete
            | ErrorReason::TimedOut
            | ErrorReason::MismatchedResponse
            | ErrorReason::InvalidResponse => 502,
            ErrorReason::Deadline => 504,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.message, self.verdict)
    }
}

impl std::error::Error for Error {}
