//! Why a request was not placed.

use std::{error, fmt, time::Duration};
use wire::Verdict;

/// Error of this crate: every failure is a refusal.
pub type Error = Refusal;

/// Result of a decision of this crate.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No available upstream serves the model.
    NoUpstream,
    /// Operators have taken the data centre out of service.
    DataCentreOut,
    /// The prompt needs more memory than one upstream or the largest gang has.
    PromptTooLong,
    /// The request could not finish before its deadline even on idle upstreams.
    DeadlineTooShort,
    /// The time in the queue would leave, or has left, too little time before the deadline.
    DeadlineUnmeetable,
    /// The queue is full, or as many upstreams as allowed are known.
    QueueFull,
    /// A request with this id is already queued or in flight.
    Duplicate,
    /// The request is suspected of crashing upstreams.
    Quarantined,
    /// The retry budget is used up.
    RetryBudgetExhausted,
}

/// Refusal of a request: this attempt has not run, and the caller is told when to retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Cause of the refusal.
    pub reason: RefusalReason,
    /// Delay after which the caller should retry.
    pub retry_after: Duration,
}

impl Refusal {
    /// Verdict for the caller; always [`Verdict::NotRun`] for a refusal.
    pub fn verdict(&self) -> Verdict {
        Verdict::NotRun
    }

    /// Whether load is the cause, so that a later attempt may succeed.
    pub fn is_overload(&self) -> bool {
        matches!(
            self.reason,
            RefusalReason::DeadlineUnmeetable
                | RefusalReason::QueueFull
                | RefusalReason::RetryBudgetExhausted
        )
    }

    /// Whether another owner may be able to place the request now.
    pub fn may_be_placed_by_another_owner(&self) -> bool {
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
