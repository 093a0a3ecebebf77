//! Why a request was refused.

use std::{error, fmt, time::Duration};
use wire::Verdict;

/// The error of this crate: every failure is a refusal.
pub type Error = Refusal;

/// Result of a decision of this crate.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The organisation is not in the shares in force.
    UnknownOrganisation,
    /// The request could not end before its deadline even on an idle fleet.
    DeadlineTooShort,
    /// The wait would leave too little time before the deadline.
    DeadlineUnmeetable,
    /// The organisation has used up its quota and the deadline comes first.
    QuotaExceeded,
    /// As many requests wait as may, none of them less important.
    QueueFull,
    /// Removed from the queue to make room for a more important request.
    Shed,
}

/// A refusal: the request has not run, and the caller is told when to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Cause of the refusal.
    pub reason: RefusalReason,
    /// When the caller should ask again.
    pub retry_after: Duration,
}

impl Refusal {
    /// The verdict of a refusal is always [`Verdict::NotRun`].
    pub fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }

    /// Whether the fleet's load is the cause, so that a later try may succeed.
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
