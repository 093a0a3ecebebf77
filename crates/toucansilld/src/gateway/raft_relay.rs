//! Raft messages that another member passes on, as their sender doesn't reach their receiver itself.
//!
//! A path that has fallen silent between two daemons would otherwise keep a member, or a learner that is
//! to replace one, from hearing its leader, while all others do.

use super::{
    control::ControlMember,
    messages::{LeaderReply, LeaderRequest},
};
use crate::{control_messages::RaftEnvelope, sync::lock};
use kernel::{Repeated, Repeats};
use raft::{LogEntry, MessageBody};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::sync::Semaphore;

/// Number of members that a small message is passed to. One of them may not know yet that it doesn't
/// reach the receiver either.
const RELAYS: usize = 2;
/// Size of a message above which only one member gets it, in bytes of entries or of a snapshot.
const SMALL_BYTES: usize = 4 * 1_024;
/// Timeout for the reply of a relay.
const RELAY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a relay that didn't reach the receiver, or didn't reply, gets no message for it.
pub(super) const FAILED_PAUSE: Duration = Duration::from_millis(500);
/// Time for which a relay gets no message once it has refused one, as one of an earlier build does.
pub(super) const REFUSED_PAUSE: Duration = Duration::from_secs(30);
/// Interval at which it is logged that messages to a receiver are passed to relays.
const LOG_INTERVAL: Duration = Duration::from_secs(30);
/// Maximum size of the messages that relays haven't replied to yet, in KiB; each counts at least
/// one. Raft sends again what is dropped.
const MAX_UNANSWERED_KIB: usize = 4 * 1_024;

/// Which members pass messages on to which receivers.
#[derive(Debug, Default)]
pub struct RelayTable {
    turn: usize,
    /// Until when a relay gets no message, by receiver and relay.
    paused: BTreeMap<(SocketAddr, SocketAddr), Instant>,
}

impl RelayTable {
    /// Chooses at most `count` of the candidates, in turn, without those that are paused: a relay that isn't
    /// known to fail isn't the only one for long.
    pub fn choose(
        &mut self,
        receiver: SocketAddr,
        candidates: &[SocketAddr],
        count: usize,
        now: Instant,
    ) -> Vec<SocketAddr> {
        self.paused.retain(|_, until| *until > now);
        let is_usable = |relay: &&SocketAddr| {
            **relay != receiver && !self.paused.contains_key(&(receiver, **relay))
        };
        let usable: Vec<SocketAddr> = candidates.iter().filter(is_usable).copied().collect();
        self.turn = self.turn.wrapping_add(1);
        let first = self.turn % usable.len().max(1);
        usable.iter().cycle().skip(first).take(count.min(usable.len())).copied().collect()
    }

    /// Passes nothing to a relay for this receiver until `until`.
    pub fn pause(&mut self, receiver: SocketAddr, relay: SocketAddr, until: Instant) {
        self.paused.insert((receiver, relay), until);
    }
}

/// Whether a member that reaches `reached` members, itself included, and not `silent` others may lead by
/// way of relays. If it reaches fewer than the others, one of these had better lead.
pub fn may_lead_by_relays(reached: usize, silent: usize) -> bool {
    reached >= silent
}

/// The receiver of a message to be relayed by the daemon at `own`; `None` if the address is no one of the known
/// voters, or not for links. All daemons use the same port for links.
pub fn relayed_receiver(
    own: SocketAddr,
    known: &[SocketAddr],
    address: &str,
) -> Option<SocketAddr> {
    let receiver: SocketAddr = address.parse().ok()?;
    let is_other = receiver != own && receiver.port() == own.port();
    (is_other && known.contains(&receiver)).then_some(receiver)
}

/// Passes Raft messages to relays.
pub(super) struct RaftRelays {
    control: Arc<ControlMember>,
    table: Arc<Mutex<RelayTable>>,
    unanswered: Arc<Semaphore>,
    /// Messages passed to relays, by receiver.
    passed: Mutex<BTreeMap<SocketAddr, Repeats>>,
}

impl RaftRelays {
    pub(super) fn new(control: Arc<ControlMember>) -> Self {
        let unanswered = Arc::new(Semaphore::new(MAX_UNANSWERED_KIB));
        Self { control, table: Arc::default(), unanswered, passed: Mutex::default() }
    }

    /// Has a message passed on to `receiver` if this daemon doesn't reach it.
    pub(super) fn send(&self, receiver: SocketAddr, envelope: RaftEnvelope) {
        if !self.control.links().is_cut_off_from(receiver) {
            return;
        }
        let body = &envelope.message.body;
        if !is_response(body) && !self.control.may_lead_by_relays() {
            return;
        }
        let bytes = size_bytes(body);
        let count = if bytes <= SMALL_BYTES { RELAYS } else { 1 };
        let candidates = self.control.relay_candidates();
        let now = self.control.now();
        let relays = lock(&self.table).choose(receiver, &candidates, count, now);
        if !relays.is_empty() {
            self.log_passed(receiver, now);
        }
        let request = Arc::new(LeaderRequest::RelayRaft {
            address: receiver.to_string(),
            envelope: Box::new(envelope),
        });
        let pass = |relay| self.pass(receiver, relay, Arc::clone(&request), bytes);
        relays.into_iter().for_each(pass);
    }

    /// Logs now and then that messages to a receiver are passed to relays.
    fn log_passed(&self, receiver: SocketAddr, now: Instant) {
        let mut passed = lock(&self.passed);
        let repeats = passed.entry(receiver).or_insert_with(|| Repeats::new(LOG_INTERVAL));
        match repeats.add(now) {
            Some(Repeated { count: 1, .. }) => {
                log::info!("{receiver}: Raft message passed to relays");
            }
            Some(Repeated { count, since_last, .. }) => log::info!(
                "{receiver}: {count} Raft messages passed to relays in {:.1} s",
                since_last.as_secs_f64()
            ),
            None => {}
        }
    }

    /// Sends the request to a relay, on a task of its own.
    fn pass(
        &self,
        receiver: SocketAddr,
        relay: SocketAddr,
        request: Arc<LeaderRequest>,
        bytes: usize,
    ) {
        let kib = (bytes / 1_024 + 1).min(MAX_UNANSWERED_KIB) as u32;
        let Ok(permit) = Arc::clone(&self.unanswered).try_acquire_many_owned(kib) else {
            return log::debug!("{receiver}: Raft message dropped, as the relays are slow");
        };
        let (control, table) = (Arc::clone(&self.control), Arc::clone(&self.table));
        tokio::spawn(async move {
            let pause = match control.links().request(relay, &request, RELAY_TIMEOUT).await {
                Ok(LeaderReply::RaftRelayed { is_reached: true }) => None,
                Ok(_) => Some(FAILED_PAUSE),
                Err(err) => {
                    log::debug!("{relay}: no relay to {receiver}: {err}");
                    Some(if err.is_refused() { REFUSED_PAUSE } else { FAILED_PAUSE })
                }
            };
            if let Some(pause) = pause {
                lock(&table).pause(receiver, relay, control.now() + pause);
            }
            drop(permit);
        });
    }
}

/// Whether a message answers one of a leader or a candidate.
fn is_response(body: &MessageBody) -> bool {
    match body {
        MessageBody::PreVoteResponse { .. }
        | MessageBody::VoteResponse { .. }
        | MessageBody::AppendAccepted { .. }
        | MessageBody::AppendRejected { .. }
        | MessageBody::HeartbeatResponse { .. }
        | MessageBody::SnapshotProgress { .. }
        | MessageBody::StaleTerm => true,
        MessageBody::PreVote { .. }
        | MessageBody::Vote { .. }
        | MessageBody::Append { .. }
        | MessageBody::Heartbeat { .. }
        | MessageBody::SnapshotChunk { .. }
        | MessageBody::TimeoutNow => false,
    }
}

/// Approximate size of a message: that of its entries, or of its part of a snapshot.
fn size_bytes(body: &MessageBody) -> usize {
    match body {
        MessageBody::Append { entries, .. } => entries.iter().map(LogEntry::size_bytes).sum(),
        MessageBody::SnapshotChunk { data, .. } => data.len(),
        _ => 0,
    }
}

impl ControlMember {
    /// Whether this member reaches enough of the others to lead by way of relays.
    fn may_lead_by_relays(&self) -> bool {
        let own = self.links().address();
        let members = self.voter().status().membership;
        let others: BTreeSet<SocketAddr> =
            members.nodes().filter_map(|id| self.link_address_of(id)).collect();
        let silent = others.iter().filter(|other| self.links().is_cut_off_from(**other)).count();
        let reached = others.iter().filter(|other| self.links().reaches(**other)).count();
        let reached = reached + usize::from(!others.contains(&own));
        may_lead_by_relays(reached, silent)
    }

    /// Other members that this one reaches. A learner may know no members yet, but their addresses.
    pub(super) fn relay_candidates(&self) -> Vec<SocketAddr> {
        let own = self.links().address();
        let known: BTreeSet<SocketAddr> = self.known_voters().collect();
        let is_reached = |other: &SocketAddr| *other != own && self.links().reaches(*other);
        known.into_iter().filter(is_reached).collect()
    }

    /// Link addresses of all voters that this daemon knows.
    pub(super) fn known_voters(&self) -> impl Iterator<Item = SocketAddr> {
        let known = self.voter().known_addresses();
        known.into_iter().filter_map(|address| address.parse().ok())
    }

    /// Sends a Raft message of another member to its receiver. It isn't passed to a further relay.
    pub(super) fn relay_raft(&self, address: &str, envelope: &RaftEnvelope) -> LeaderReply {
        let known: Vec<SocketAddr> = self.known_voters().collect();
        let Some(receiver) = relayed_receiver(self.links().address(), &known, address) else {
            log::debug!("{address}: Raft message not relayed, as this is no known voter");
            return LeaderReply::RaftRelayed { is_reached: false };
        };
        self.links().send_raft(receiver, envelope);
        let is_reached = self.links().reaches(receiver);
        LeaderReply::RaftRelayed { is_reached }
    }
}
