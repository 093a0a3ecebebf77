//! What follows a send that brought no answer to pass on.

use routing::RetryPolicy;

/// How a send to an upstream failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
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
pub struct Sent {
    /// Upstreams that got the request.
    pub sends: u32,
    /// Upstreams that could not be reached.
    pub unreached: u32,
    /// Whether one of them may have run it.
    pub may_have_run: bool,
}

impl Sent {
    /// Takes in how a send ended.
    pub fn record(&mut self, fault: Fault) {
        match fault {
            Fault::Unreachable => self.unreached += 1,
            _ => self.sends += 1,
        }
        if !matches!(fault, Fault::Unreachable | Fault::NotRun) {
            self.may_have_run = true;
        }
    }
}

/// Upstreams that may turn out to be out of reach before a request is given up: after so
/// many the directory, not one upstream, is out of date.
const UNREACHED_MAX: u32 = 4;

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Send it to another upstream.
    Again,
    /// Tell the caller that it was not run and when to come back.
    RefuseNotRun,
    /// Pass on the upstream's failure.
    PassOn,
    /// Tell the caller that it may have run.
    Fail,
}

/// Decides what follows a fault. `sent` includes the send that failed.
///
/// A request that may have run is sent again only on a route that allows it. Once one
/// upstream may have run it, no answer says "not run" any more.
///
/// ```
/// use proxy::{Fault, Sent, Step, next_step};
/// use routing::RetryPolicy;
///
/// let mut sent = Sent::default();
/// sent.record(Fault::Broken);
/// assert_eq!(next_step(RetryPolicy::Idempotent, 2, sent, Fault::Broken), Step::Again);
/// assert_eq!(next_step(RetryPolicy::Once, 2, sent, Fault::Broken), Step::Fail);
/// ```
pub fn next_step(repeat: RetryPolicy, max_attempts: u32, sent: Sent, fault: Fault) -> Step {
    let may_send = sent.sends < max_attempts
        && sent.unreached < UNREACHED_MAX
        && (!sent.may_have_run || repeat.allows_retry());
    match fault {
        _ if may_send => Step::Again,
        Fault::Failed => Step::PassOn,
        _ if sent.may_have_run => Step::Fail,
        _ => Step::RefuseNotRun,
    }
}
