//! Relays that send the renewals of one data centre in one message.
//!
//! With more than [`MAX_DIRECT_MEMBERS`] members, the daemons of a data centre send
//! their renewals to one of them, the relay, which forwards them to the leader
//! together and returns the replies. A relay decides nothing: each daemon's
//! lease is still measured from just before its own renewal is sent, so a slow relay
//! only costs time. A daemon whose relay does not reply renews with the leader
//! directly.

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

/// Largest number of members with which every daemon sends its renewals to the
/// leader directly.
pub const MAX_DIRECT_MEMBERS: usize = 32;

/// Path of a daemon's renewals.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RenewalPath {
    /// The daemon sends them to the leader.
    Direct,
    /// The daemon sends them to the relay of its data centre.
    ViaRelay(DaemonId),
    /// The daemon is the relay. It collects the renewals of its data centre and sends
    /// them to the leader together.
    Relay,
}

/// Returns the path of a daemon's renewals under a roster.
///
/// The relay is the member of the data centre with the highest hash, so all daemons
/// with the same roster choose the same one.
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

/// Renewals sent in one message, at most one for each daemon.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct RenewalBatch {
    /// The renewals.
    pub renewals: Vec<Renewal>,
}

/// Replies sent in one message. A set of changes that several replies share is
/// included once.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct ReplyBatch {
    /// Sets of changes, to which replies refer by position.
    changes: Vec<ChangeSet>,
    replies: Vec<AddressedReply>,
}

/// A reply and the daemon that it is for.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
struct AddressedReply {
    daemon: DaemonId,
    reply: SharedReply,
}

/// A [`RenewalReply`] that refers to its changes by their position in the batch.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
enum SharedReply {
    Granted { sequence: u64, committed: u64, lease_ms: u64, settled: u64, changes: usize },
    NotMember { sequence: u64, last_incarnation: Option<Incarnation> },
    Behind { sequence: u64 },
}

/// Collects renewals at the relay, and keeps only the latest of each daemon.
#[derive(Clone, Debug, Default)]
pub struct RenewalCollector {
    latest: BTreeMap<DaemonId, Renewal>,
}

impl RenewalCollector {
    /// Adds a renewal, unless a later one of the same daemon is held. The collector is
    /// bounded by the number of members if the caller passes renewals of members only.
    pub fn push(&mut self, renewal: Renewal) {
        let order = |renewal: &Renewal| (renewal.holder.incarnation, renewal.sequence);
        let known = self.latest.get(&renewal.holder.daemon);
        if known.is_none_or(|known| order(known) < order(&renewal)) {
            self.latest.insert(renewal.holder.daemon.clone(), renewal);
        }
    }

    /// Removes and returns the collected renewals.
    pub fn take(&mut self) -> RenewalBatch {
        RenewalBatch { renewals: std::mem::take(&mut self.latest).into_values().collect() }
    }
}

/// Renews the leases of all daemons in a batch. The state must meet the conditions
/// of [`Leases::renew`].
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
    /// Returns the replies, each with the daemon that it is for. A reply that refers to
    /// changes which the batch does not contain is left out.
    pub fn split(&self) -> Vec<(DaemonId, RenewalReply)> {
        self.replies
            .iter()
            .filter_map(|addressed| {
                Some((addressed.daemon.clone(), self.expand(&addressed.reply)?))
            })
            .collect()
    }

    /// Adds a reply to a daemon.
    fn push(&mut self, daemon: DaemonId, reply: RenewalReply) {
        let reply = match reply {
            RenewalReply::Granted(grant) => self.share(grant),
            RenewalReply::NotMember { sequence, last_incarnation } => {
                SharedReply::NotMember { sequence, last_incarnation }
            }
            RenewalReply::Behind { sequence } => SharedReply::Behind { sequence },
        };
        self.replies.push(AddressedReply { daemon, reply });
    }

    /// Replaces the changes of a grant by their position, and adds them to the batch
    /// unless a set with the same indexes is there.
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

    /// Restores a reply, or returns `None` if its changes are missing.
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
