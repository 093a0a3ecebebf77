//! Times to return that refused callers were told, and that are kept.
//!
//! A long prompt is refused at once when the prompts ahead of it take too long, and its caller is
//! told when to return. Refused again then, by the same rule, it would have waited for nothing. So it
//! has a place in the queue if it returns in time. One that returns sooner than told has none.

use route::RequestHash;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Part of the time to return that has to have passed: callers' clocks and connections differ.
const EARLIEST_RETURN_SHARE: f64 = 0.9;
/// Time for which a promise is kept after the time to return: a connection that is established anew
/// and a packet that is lost on the way.
const GRACE: Duration = Duration::from_secs(1);
/// Maximum number of promises that are kept; the ones that end first are dropped.
const MAX_PROMISES: usize = 10_000;

/// When a refused request may return.
#[derive(Clone, Copy, Debug)]
struct Promise {
    from: Instant,
    until: Instant,
}

/// Promises to callers that were refused, by the hash of their request.
#[derive(Debug, Default)]
pub(crate) struct Promises {
    promises: BTreeMap<RequestHash, Promise>,
    by_end: BTreeSet<(Instant, RequestHash)>,
}

impl Promises {
    /// Promises a place to a request that is refused, once `retry_after` has passed. One that has a
    /// promise already, and has come too early, keeps it. Requests without a hash can't be
    /// recognised.
    pub(crate) fn promise(&mut self, now: Instant, request: RequestHash, retry_after: Duration) {
        self.remove_ended(now);
        if request == 0 || self.promises.contains_key(&request) {
            return;
        }
        let from = now + retry_after.mul_f64(EARLIEST_RETURN_SHARE);
        let until = now + retry_after + GRACE;
        self.promises.insert(request, Promise { from, until });
        self.by_end.insert((until, request));
        if self.by_end.len() > MAX_PROMISES
            && let Some((_, dropped)) = self.by_end.pop_first()
        {
            self.promises.remove(&dropped);
        }
    }

    /// Redeems the promise to a request that returns; false if it has none, or comes too early or
    /// too late.
    pub(crate) fn redeem(&mut self, now: Instant, request: RequestHash) -> bool {
        self.remove_ended(now);
        let Some(promise) = self.promises.get(&request).filter(|p| p.from <= now).copied() else {
            return false;
        };
        self.promises.remove(&request);
        self.by_end.remove(&(promise.until, request));
        true
    }

    /// Number of promises that are open at `now`.
    pub(crate) fn open(&self, now: Instant) -> usize {
        self.by_end.range((now, RequestHash::MIN)..).count()
    }

    fn remove_ended(&mut self, now: Instant) {
        while let Some((until, request)) = self.by_end.first().copied()
            && until <= now
        {
            self.by_end.pop_first();
            self.promises.remove(&request);
        }
    }
}
