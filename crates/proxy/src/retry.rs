//! What follows a send that brought no answer to pass on.

use routing::RetryPolicy;

/// How a send to an upstream failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// No connection was made, so nothing was sent.
    Unreachable,
    /// The upstream proved that it did not run the request.
    NotRun,
    /// The connection broke, or bytes came that are no answer to this request.
    Broken,
    /// Nothing came for too long.
    Silent,
    /// The upstream ran the request and answered with a failure.
    Failed,
}

/// What was sent for one request so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptHistory {
    /// Upstreams that got the request.
    pub attempts: u32,
    /// Upstreams that could not be reached.
    pub unreachable: u32,
    /// Whether one of them may have run it.
    pub may_have_run: bool,
}

impl AttemptHistory {
    /// Takes in how a send ended.
    pub fn record(&mut self, failure: AttemptFailure) {
        match failure {
            AttemptFailure::Unreachable => self.unreachable += 1,
            _ => self.attempts += 1,
        }
        if !matches!(failure, AttemptFailure::Unreachable | AttemptFailure::NotRun) {
            self.may_have_run = true;
        }
    }
}

/// Upstreams that may turn out to be out of reach before a request is given up: after so
/// many the directory, not one upstream, is out of date.
const UNREACHABLE_MAX: u32 = 4;

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send it to another upstream.
    Retry,
    /// Tell the caller that it was not run and when to come back.
    RefuseNotRun,
    /// Pass on the upstream's failure.
    ForwardFailure,
    /// Tell the caller that it may have run.
    Fail,
}

/// Decides what follows a failure. `history` includes the send that failed.
///
/// A request that may have run is sent again only on a route that allows it. Once one
/// upstream may have run it, no answer says "not run" any more.
///
/// ```
/// use proxy::{AttemptFailure, AttemptHistory, NextStep, next_step};
/// use routing::RetryPolicy;
///
/// let mut history = AttemptHistory::default();
/// history.record(AttemptFailure::Broken);
/// assert_eq!(next_step(RetryPolicy::Idempotent, 2, history, AttemptFailure::Broken), NextStep::Retry);
/// assert_eq!(next_step(RetryPolicy::Once, 2, history, AttemptFailure::Broken), NextStep::Fail);
/// ```
pub fn next_step(
    retry_policy: RetryPolicy,
    max_attempts: u32,
    history: AttemptHistory,
    failure: AttemptFailure,
) -> NextStep {
    let may_send = history.attempts < max_attempts
        && history.unreachable < UNREACHABLE_MAX
        && (!history.may_have_run || retry_policy.allows_retry());
    match failure {
        _ if may_send => NextStep::Retry,
        AttemptFailure::Failed => NextStep::ForwardFailure,
        _ if history.may_have_run => NextStep::Fail,
        _ => NextStep::RefuseNotRun,
    }
}
