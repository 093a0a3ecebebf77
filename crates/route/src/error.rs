//! Why a request was not placed.

use std::{error, fmt, time::Duration};
use wire::Verdict;

/// The error of this crate: every failure is a refusal.
pub type Error = Refusal;

/// Result of a decision of this crate.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No upstream in reach serves the model.
    NoUpstream,
    /// Operators have taken the data centre out of service.
    DataCentreOut,
    /// The prompt needs more memory than all upstreams in reach have.
    PromptTooLong,
    /// The request could not end before its deadline even on idle upstreams.
    DeadlineTooShort,
    /// The wait would leave, or has left, too little time before the deadline.
    DeadlineUnmeetable,
    /// As many requests wait as may.
    QueueFull,
    /// A request with this id is already known.
    Duplicate,
    /// The request is suspected of crashing upstreams.
    Quarantined,
    /// The retry budget is used up.
    RetryBudgetExhausted,
}

/// A refusal: this attempt has not run, and the caller is told when to come
/// back.
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

    /// Whether load is the cause, so that a later try may succeed.
    pub fn is_overload(&self) -> bool {
        matches!(
            self.reason,
            RefusalReason::DeadlineUnmeetable
                | RefusalReason::QueueFull
                | RefusalReason::RetryBudgetExhausted
        )
    }

    /// Whether another owner may be able to place the request.
    pub fn may_be_placed_elsewhere(&self) -> bool {
        matches!(
            self.reason,
            RefusalReason::NoUpstream | RefusalReason::DataCentreOut | RefusalReason::PromptTooLong
        ) || self.is_overload()
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cause = match self.reason {
            RefusalReason::NoUpstream => "no upstream in reach serves the model",
            RefusalReason::DataCentreOut => "the data centre is out of service",
            RefusalReason::PromptTooLong => {
                "the prompt needs more memory than the upstreams in reach have"
            }
            RefusalReason::DeadlineTooShort => {
                "the deadline is too short for a request of this length"
            }
            RefusalReason::DeadlineUnmeetable => "the request could not finish before its deadline",
            RefusalReason::QueueFull => "too many requests wait",
            RefusalReason::Duplicate => "a request with this id is already known",
            RefusalReason::Quarantined => "the request is suspected of crashing upstreams",
            RefusalReason::RetryBudgetExhausted => "the retry budget is used up",
        };
        write!(f, "{cause}; not run; retry after {} ms", self.retry_after.as_millis())
    }
}

impl error::Error for Refusal {}
