//! Renewals of one data centre in one message.
//!
//! Above a bound on members, the daemons of a data centre send their renewals to
//! one of them, the relay, which hands them to the leader together and hands the
//! replies back. A relay decides nothing: each daemon still measures its lease
//! from the moment before it sent its own renewal, so a slow relay only costs
//! time. A daemon whose relay does not answer asks the leader itself.

use crate::{
    changes::ChangeSet,
    hash::stable_hash,
    lease::{LeaseGrant, Leases, Renewal, RenewalReply},
    roster::Roster,
    state::State,
};
use bincode::{Decode, Encode};
use std::{collections::BTreeMap, time::Instant};
use wire::{DaemonId, Incarnation};

/// Members up to which every daemon asks the leader itself.
pub const MAX_DIRECT_MEMBERS: usize = 32;

/// How a daemon sends its renewals.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RenewalPath {
    /// To the leader.
    Direct,
    /// To the relay of its data centre.
    ViaRelay(DaemonId),
    /// It is the relay: it gathers the others' and sends all to the leader.
    Relay,
}

/// How a daemon sends its renewals under a roster.
///
/// ```
/// use control::{Roster, relay};
///
/// assert_eq!(relay::renewal_path("entry-1", &Roster::default()), relay::RenewalPath::Direct);
/// ```
pub fn renewal_path(daemon: &str, roster: &Roster) -> RenewalPath {
    let Some(own) = roster.member(daemon) else { return RenewalPath::Direct };
    if roster.len() <= MAX_DIRECT_MEMBERS {
        return RenewalPath::Direct;
    }
    let relay = roster
        .members()
        .filter(|(_, member)| member.data_centre == own.data_centre)
        .map(|(name, _)| (stable_hash(&["relay", &own.data_centre, name]), name))
        .max();
    match relay {
        Some((_, relay)) if relay == daemon => RenewalPath::Relay,
        Some((_, relay)) => RenewalPath::ViaRelay(relay.clone()),
        None => RenewalPath::Direct,
    }
}

/// Renewals that travel together, one for each daemon.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct RenewalBatch {
    /// The renewals.
    pub renewals: Vec<Renewal>,
}

/// Replies that travel together. Changes that several daemons lack stand once.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct ReplyBatch {
    changes: Vec<ChangeSet>,
    replies: Vec<Addressed>,
}

#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
struct Addressed {
    daemon: DaemonId,
    reply: SharedReply,
}

#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
enum SharedReply {
    Granted { sequence: u64, committed: u64, lease_ms: u64, settled: u64, changes: usize },
    NotMember { sequence: u64, last_incarnation: Option<Incarnation> },
    Behind { sequence: u64 },
}

/// Gathers renewals at the relay: of each daemon only the latest.
#[derive(Clone, Debug, Default)]
pub struct RenewalCollector {
    latest: BTreeMap<DaemonId, Renewal>,
}

impl RenewalCollector {
    /// Adds a renewal. The number of daemons bounds the table, as the relay
    /// takes renewals of members only.
    pub fn push(&mut self, renewal: Renewal) {
        let order = |renewal: &Renewal| (renewal.holder.incarnation, renewal.sequence);
        let known = self.latest.get(&renewal.holder.daemon);
        if known.is_none_or(|known| order(known) < order(&renewal)) {
            self.latest.insert(renewal.holder.daemon.clone(), renewal);
        }
    }

    /// Takes all that has gathered.
    pub fn take(&mut self) -> RenewalBatch {
        RenewalBatch { renewals: std::mem::take(&mut self.latest).into_values().collect() }
    }
}

/// Renews the leases of all; for the state the rule of [`Leases::renew`] holds.
pub fn renew_all(
    leases: &mut Leases,
    now: Instant,
    renewals: &RenewalBatch,
    state: &State,
) -> ReplyBatch {
    let mut replies = ReplyBatch::default();
    for renewal in &renewals.renewals {
        let reply = leases.renew(now, renewal, state);
        replies.push(renewal.holder.daemon.clone(), reply);
    }
    replies
}

impl ReplyBatch {
    /// The replies, each with its daemon. A reply that names changes which the
    /// message does not hold is left out.
    pub fn split(&self) -> Vec<(DaemonId, RenewalReply)> {
        self.replies
            .iter()
            .filter_map(|addressed| {
                Some((addressed.daemon.clone(), self.expand(&addressed.reply)?))
            })
            .collect()
    }

    fn push(&mut self, daemon: DaemonId, reply: RenewalReply) {
        let reply = match reply {
            RenewalReply::Granted(grant) => self.share(grant),
            RenewalReply::NotMember { sequence, last_incarnation } => {
                SharedReply::NotMember { sequence, last_incarnation }
            }
            RenewalReply::Behind { sequence } => SharedReply::Behind { sequence },
        };
        self.replies.push(Addressed { daemon, reply });
    }

    fn share(&mut self, grant: LeaseGrant) -> SharedReply {
        let known = self.changes.iter().position(|changes| {
            (changes.from, changes.to) == (grant.changes.from, grant.changes.to)
        });
        let changes = known.unwrap_or(self.changes.len());
        if known.is_none() {
            self.changes.push(grant.changes);
        }
        SharedReply::Granted {
            sequence: grant.sequence,
            committed: grant.committed,
            lease_ms: grant.lease_ms,
            settled: grant.settled,
            changes,
        }
    }

    fn expand(&self, reply: &SharedReply) -> Option<RenewalReply> {
        Some(match reply {
            SharedReply::Granted { sequence, committed, lease_ms, settled, changes } => {
                RenewalReply::Granted(LeaseGrant {
                    sequence: *sequence,
                    committed: *committed,
                    lease_ms: *lease_ms,
                    settled: *settled,
                    changes: self.changes.get(*changes)?.clone(),
                })
            }
            SharedReply::NotMember { sequence, last_incarnation } => {
                RenewalReply::NotMember { sequence: *sequence, last_incarnation: *last_incarnation }
            }
            SharedReply::Behind { sequence } => RenewalReply::Behind { sequence: *sequence },
        })
    }
}
