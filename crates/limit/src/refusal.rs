//! Refusals and their reasons.

use std::{error, fmt, time::Duration};
use wire::Verdict;

/// The error of this crate: every failure is a refusal.
pub type Error = Refusal;

/// Result of this crate's functions.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The organisation is not in the shares that apply.
    UnknownOrganisation,
    /// The request couldn't finish before its deadline even without load.
    DeadlineTooShort,
    /// The wait would leave too little time before the deadline.
    DeadlineUnmeetable,
    /// The organisation's quota is used up for longer than the request can wait.
    QuotaExceeded,
    /// The queue is full and no waiting request can be shed for this one.
    QueueFull,
    /// Removed from the queue for a more important request.
    Shed,
}

/// A refusal: the request did not run, and the caller is told when to retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

impl Refusal {
    /// Verdict for the caller: always [`Verdict::NotRun`].
    pub fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }

    /// Whether the load of the region is the cause, so that a later retry may succeed.
    pub fn is_overload(&self) -> bool {
        matches!(
            self.reason,
            RefusalReason::DeadlineUnmeetable | RefusalReason::QueueFull | RefusalReason::Shed
        )
    }

    /// Whether the organisation's own quota is the cause.
    pub fn is_quota(&self) -> bool {
        self.reason == RefusalReason::QuotaExceeded
    }

    /// Whether the same request would be refused at any load.
    pub fn is_permanent(&self) -> bool {
        matches!(self.reason, RefusalReason::UnknownOrganisation | RefusalReason::DeadlineTooShort)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cause = match self.reason {
            RefusalReason::UnknownOrganisation => "the organisation is not known",
            RefusalReason::DeadlineTooShort => {
                "the deadline is too short for a request of this length"
            }
            RefusalReason::DeadlineUnmeetable => "the request could not finish before its deadline",
            RefusalReason::QuotaExceeded => "the organisation's quota is used up",
            RefusalReason::QueueFull => "too many requests wait",
            RefusalReason::Shed => "gave way to a more important request",
        };
        write!(f, "{cause}; not run; retry after {} ms", self.retry_after.as_millis())
    }
}

impl error::Error for Refusal {}
