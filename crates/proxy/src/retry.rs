//! Decides what follows an attempt that gave no response to pass on to the caller.

use routing::RetryPolicy;

/// How an attempt failed. The gateway logs the names of the variants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// No connection could be made, so nothing was sent.
    Unreachable,
    /// The response proves that the upstream did not run the request.
    NotRun,
    /// The connection broke, or brought bytes that are no valid response to this request.
    Broken,
    /// No response, or no further part of it, came in time.
    Silent,
    /// The upstream ran the request and responded with an error.
    Failed,
}

/// Attempts made so far for one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptHistory {
    /// Number of attempts in which the request was sent; `max_attempts` limits them.
    pub sent: u32,
    /// Number of attempts without a connection, limited separately.
    pub unreachable: u32,
    /// Whether an upstream may have run the request.
    pub may_have_run: bool,
}

impl AttemptHistory {
    /// Adds an attempt that failed.
    pub fn record(&mut self, failure: AttemptFailure) {
        match failure {
            AttemptFailure::Unreachable => self.unreachable += 1,
            _ => self.sent += 1,
        }
        if !matches!(failure, AttemptFailure::Unreachable | AttemptFailure::NotRun) {
            self.may_have_run = true;
        }
    }
}

/// Number of unreachable upstreams at which a request is given up: so many show that the directory
/// of upstreams is out of date, and not just its entry for one of them.
const MAX_UNREACHABLE: u32 = 4;

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send the request to another upstream.
    Retry,
    /// Tell the caller that no upstream ran the request, and when to retry it.
    RefuseNotRun,
    /// Pass the upstream's error response on to the caller.
    ForwardFailure,
    /// Tell the caller that the request failed and may have run.
    Fail,
}

/// Decides what follows a failed attempt. `history` includes that attempt.
///
/// The request is retried until it was sent to `max_attempts` upstreams or too many were
/// unreachable. Once an upstream may have run it, it is retried only if `retry_policy` allows
/// that, and the caller is never told that it did not run.
///
/// ```
/// use proxy::{AttemptFailure, AttemptHistory, NextStep, next_step};
/// use routing::RetryPolicy;
///
/// let mut history = AttemptHistory::default();
/// history.record(AttemptFailure::Broken);
/// let step = |policy| next_step(policy, 2, history, AttemptFailure::Broken);
/// assert_eq!(step(RetryPolicy::Idempotent), NextStep::Retry);
/// assert_eq!(step(RetryPolicy::Once), NextStep::Fail);
/// ```
pub fn next_step(
    retry_policy: RetryPolicy,
    max_attempts: u32,
    history: AttemptHistory,
    failure: AttemptFailure,
) -> NextStep {
    let may_send = history.sent < max_attempts
        && history.unreachable < MAX_UNREACHABLE
        && (!history.may_have_run || retry_policy.allows_retry());
    match failure {
        _ if may_send => NextStep::Retry,
        AttemptFailure::Failed => NextStep::ForwardFailure,
        _ if history.may_have_run => NextStep::Fail,
        _ => NextStep::RefuseNotRun,
    }
}
