//! The error type of this crate, which carries the verdict on the failed request.

use std::fmt;
use wire::Verdict;

/// Result of an operation on an upstream.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a request, an order or an announcement failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ErrorReason {
    /// The announcement or request is malformed.
    Invalid,
    /// The announcement or order is outdated: a newer incarnation or fencing token is known.
    Stale,
    /// A table, a queue or the thread pool has reached its capacity.
    Full,
    /// No connection to the upstream could be opened.
    Unreachable,
    /// The upstream responded with this HTTP error status; the verdict tells whether the request
    /// ran.
    ErrorStatus(u16),
    /// The connection broke before the response was complete. A failure to reach the
    /// management API of an engine counts as this too, because `minreq` doesn't tell whether
    /// a connection was open.
    Incomplete,
    /// The upstream sent nothing for the I/O timeout, or the time limit of the exchange
    /// passed.
    TimedOut,
    /// The response belongs to another request.
    MismatchedResponse,
    /// The response is malformed or exceeds the size limit.
    InvalidResponse,
    /// The deadline has passed.
    Deadline,
    /// The request was cancelled.
    Cancelled,
    /// No upstream can serve the request.
    NoUpstream,
}

/// A failure, with the verdict that tells whether the request may have run.
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
    /// Creates an error with a message for callers and operators.
    pub fn new(reason: ErrorReason, verdict: Verdict, message: impl Into<String>) -> Self {
        Self { reason, verdict, message: message.into() }
    }

    /// Reason for the failure.
    pub fn reason(&self) -> ErrorReason {
        self.reason
    }

    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// The message without the verdict.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Replaces the verdict, for example by the worse one of an earlier attempt.
    pub fn with_verdict(self, verdict: Verdict) -> Self {
        Self { verdict, ..self }
    }

    /// Whether the request is proven not to have run.
    pub fn is_not_run(&self) -> bool {
        self.verdict == Verdict::NotRun
    }

    /// Whether no connection to the upstream could be opened.
    pub fn is_unreachable(&self) -> bool {
        self.reason == ErrorReason::Unreachable
    }

    /// Whether the upstream responded with an HTTP error status.
    pub fn is_error_status(&self) -> bool {
        matches!(self.reason, ErrorReason::ErrorStatus(_))
    }

    /// Whether the same request would be refused by every upstream.
    ///
    /// Timeout (408), conflict (409), size (413) and rate (429) depend on the
    /// upstream and the moment, so they are not the caller's fault.
    pub fn is_caller_fault(&self) -> bool {
        match self.reason {
            ErrorReason::ErrorStatus(408 | 409 | 413 | 429) => false,
            ErrorReason::ErrorStatus(400..=499) | ErrorReason::Invalid => true,
            _ => false,
        }
    }

    /// Whether the I/O timeout of an open connection, or the time limit of the exchange, has
    /// passed.
    pub fn is_timed_out(&self) -> bool {
        self.reason == ErrorReason::TimedOut
    }

    /// Whether the deadline has passed.
    pub fn is_deadline(&self) -> bool {
        self.reason == ErrorReason::Deadline
    }

    /// Whether the announcement or order is outdated.
    pub fn is_stale(&self) -> bool {
        self.reason == ErrorReason::Stale
    }

    /// The HTTP status with which this error is reported to a caller or an upstream.
    pub fn status(&self) -> u16 {
        match self.reason {
            ErrorReason::Invalid => 400,
            ErrorReason::Stale => 409,
            ErrorReason::ErrorStatus(status) => status,
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
