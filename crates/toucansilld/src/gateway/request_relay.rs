//! Requests to the leader that a member passes on, as their sender doesn't reach the leader itself.
//!
//! Otherwise a daemon whose path to the leader has fallen silent couldn't follow it, pass changes and reads of
//! the configuration on to it, or leave, while all others do.

use super::{
    bus::{DaemonLinks, KnownMembers},
    control::ControlMember,
    messages::{LeaderReply, LeaderRequest},
    raft_relay::{FAILED_PAUSE, REFUSED_PAUSE, RelayTable, relayed_receiver},
};
use crate::sync::lock;
use kernel::{Repeated, Repeats, SharedClock};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::Semaphore;
use wire::PassFailure;

/// Number of members that are asked to pass one request on, one after the other.
const ATTEMPTS: usize = 2;
/// Interval at which it is logged that requests to a daemon are passed on, or not.
const LOG_INTERVAL: Duration = Duration::from_secs(30);
/// Longest time for which a member waits for the reply to a request that it passes on.
const MAX_PASS_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of the requests that a member passes on at a time, in KiB.
const MAX_PASSED_KIB: usize = 16 * 1_024;
/// Size that a request counts as at least: its reply may be a whole directory.
const MIN_REQUEST_KIB: usize = 64;

/// Members that pass requests of this daemon on.
pub(super) struct RequestRelays {
    known_members: KnownMembers,
    clock: SharedClock,
    table: Mutex<RelayTable>,
    /// Requests that were passed on, and failures of relays, by receiver.
    passed: Mutex<BTreeMap<SocketAddr, Repeats>>,
    failed: Mutex<BTreeMap<SocketAddr, Repeats>>,
}

impl RequestRelays {
    pub(super) fn new(known_members: KnownMembers, clock: SharedClock) -> Self {
        let (passed, failed) = Default::default();
        Self { known_members, clock, table: Mutex::default(), passed, failed }
    }

    /// Logs now and then that requests to a receiver are passed on.
    fn log_passed(&self, receiver: SocketAddr, relay: SocketAddr) {
        let mut passed = lock(&self.passed);
        let repeats = passed.entry(receiver).or_insert_with(|| Repeats::new(LOG_INTERVAL));
        match repeats.add(self.clock.now()) {
            Some(Repeated { count: 1, .. }) => {
                log::info!("{receiver}: request passed on by {relay}");
            }
            Some(Repeated { count, since_last, .. }) => log::info!(
                "{receiver}: {count} requests passed on in {:.1} s, the last one by {relay}",
                since_last.as_secs_f64()
            ),
            None => {}
        }
    }

    /// Passes nothing to a relay that has failed for a time, and logs why.
    fn relay_failed(&self, receiver: SocketAddr, relay: SocketAddr, pause: Duration, reason: &str) {
        let now = self.clock.now();
        lock(&self.table).pause(receiver, relay, now + pause);
        let mut failed = lock(&self.failed);
        let repeats = failed.entry(receiver).or_insert_with(|| Repeats::new(LOG_INTERVAL));
        if let Some(Repeated { count, .. }) = repeats.add(now) {
            log::warn!(count; "{receiver}: request not passed on by {relay}: {reason}");
        }
    }
}

/// What came of a request to pass a request on.
enum Attempt {
    /// The receiver has replied, or may have acted on the request.
    Ended(wire::Result<LeaderReply>),
    /// The receiver has not got the request: the relay doesn't reach it, or passes no requests on. It is paused
    /// for that time.
    NotSent { pause: Duration, reason: String },
}

impl DaemonLinks {
    /// As [`request`](Self::request), by way of another member if this daemon doesn't reach the leader. If no member
    /// passes the request on, it is sent directly.
    pub(crate) async fn request_leader(
        &self,
        leader: SocketAddr,
        request: &LeaderRequest,
        timeout: Duration,
    ) -> wire::Result<LeaderReply> {
        if !self.is_cut_off_from(leader) {
            return self.request(leader, request, timeout).await;
        }
        self.reconnect(leader);
        let deadline = self.relays().clock.now() + timeout;
        let request = wire::encode(request)?;
        for _ in 0..ATTEMPTS {
            let Some(relay) = self.next_relay(leader) else { break };
            let remaining = deadline.saturating_duration_since(self.relays().clock.now());
            match self.request_by(relay, leader, request.clone(), remaining).await? {
                Attempt::Ended(reply) => {
                    if reply.is_ok() {
                        self.relays().log_passed(leader, relay);
                    }
                    return reply;
                }
                Attempt::NotSent { pause, reason } => {
                    self.relays().relay_failed(leader, relay, pause, &reason);
                }
            }
        }
        let remaining = deadline.saturating_duration_since(self.relays().clock.now());
        wire::decode(&self.request_encoded(leader, request, remaining).await?)
    }

    /// Member to pass a request to `receiver` on, by turns, without those that failed a moment ago.
    fn next_relay(&self, receiver: SocketAddr) -> Option<SocketAddr> {
        let known = (self.relays().known_members)();
        let is_reached = |other: &SocketAddr| *other != self.address() && self.reaches(*other);
        let candidates: Vec<SocketAddr> = known.into_iter().filter(is_reached).collect();
        let mut table = lock(&self.relays().table);
        table.choose(receiver, &candidates, 1, self.relays().clock.now()).first().copied()
    }

    /// Has `relay` pass an encoded request on to `receiver`.
    async fn request_by(
        &self,
        relay: SocketAddr,
        receiver: SocketAddr,
        request: Vec<u8>,
        timeout: Duration,
    ) -> wire::Result<Attempt> {
        let pass = LeaderRequest::PassRequest { address: receiver.to_string(), timeout, request };
        let pass = wire::encode(&pass)?;
        let reply = self.request_encoded(relay, pass, timeout).await;
        Ok(match reply.and_then(|reply| wire::decode(&reply)) {
            Ok(LeaderReply::Passed(reply)) => Attempt::Ended(wire::decode(&reply)),
            Ok(LeaderReply::NotPassed { failure: PassFailure::NotSent, reason }) => {
                Attempt::NotSent { pause: FAILED_PAUSE, reason }
            }
            Ok(LeaderReply::NotPassed { failure, reason }) => {
                let context = format!("by way of {relay}: {reason}");
                Attempt::Ended(Err(wire::Error::passed_on(failure, context)))
            }
            // Its voter doesn't run yet, or it is no member.
            Ok(_) => Attempt::NotSent {
                pause: FAILED_PAUSE,
                reason: String::from("it passes no requests on"),
            },
            Err(err) => match err.pass_failure() {
                // It is of an earlier build.
                PassFailure::Refused => {
                    Attempt::NotSent { pause: REFUSED_PAUSE, reason: err.to_string() }
                }
                PassFailure::NotSent => {
                    Attempt::NotSent { pause: FAILED_PAUSE, reason: err.to_string() }
                }
                PassFailure::Unanswered => {
                    self.relays().relay_failed(receiver, relay, FAILED_PAUSE, &err.to_string());
                    Attempt::Ended(Err(err))
                }
            },
        })
    }
}

/// Requests of other daemons that a member passes on at a time.
pub(super) struct PassedRequests(Arc<Semaphore>);

impl Default for PassedRequests {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_PASSED_KIB)))
    }
}

impl ControlMember {
    /// Handles a request for another member that its sender doesn't reach. It is sent directly, not by way of a
    /// further member.
    pub(super) async fn pass_request(
        &self,
        address: &str,
        timeout: Duration,
        request: Vec<u8>,
    ) -> LeaderReply {
        let not_sent = |reason: String| {
            log::debug!("{address}: request not passed on: {reason}");
            LeaderReply::NotPassed { failure: PassFailure::NotSent, reason }
        };
        let known: Vec<SocketAddr> = self.known_voters().collect();
        let Some(receiver) = relayed_receiver(self.links().address(), &known, address) else {
            return not_sent(String::from("this is no known voter"));
        };
        match wire::decode::<LeaderRequest>(&request) {
            Ok(decoded) if decoded.passes_on() => {
                return not_sent(String::from("it is to be passed on further"));
            }
            Ok(_) => {}
            Err(err) => return not_sent(err.to_string()),
        }
        if self.links().is_cut_off_from(receiver) {
            self.links().reconnect(receiver);
            return not_sent(format!("{receiver} isn't reached from here either"));
        }
        let kib = (request.len() / 1_024 + 1).clamp(MIN_REQUEST_KIB, MAX_PASSED_KIB) as u32;
        let Ok(_permit) = Arc::clone(&self.passed_requests().0).try_acquire_many_owned(kib) else {
            return not_sent(String::from("too many requests are being passed on"));
        };
        let timeout = timeout.min(MAX_PASS_TIMEOUT);
        match self.links().request_encoded(receiver, request, timeout).await {
            Ok(reply) => LeaderReply::Passed(reply),
            Err(err) => {
                log::debug!("{receiver}: request passed on, without a reply: {err}");
                let failure = err.pass_failure();
                LeaderReply::NotPassed { failure, reason: err.to_string() }
            }
        }
    }
}
