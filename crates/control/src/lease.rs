//! The leader's table of session leases.

use crate::{
    changes::ChangeSet,
    clock::millis,
    roster::{DaemonInstance, Roster},
    state::State,
};
use bincode::{Decode, Encode};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use wire::Incarnation;

/// Time for which a daemon may go on after the moment it sent a renewal.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);

/// Time between two renewals of a daemon, so that two may be lost in a lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a daemon renews again to acknowledge changes that it got.
pub const ACKNOWLEDGE_INTERVAL: Duration = Duration::from_millis(100);

/// Bound on how much faster one monotonic clock may run than another, in
/// thousandths. Beyond it a lease may end at the leader before it ends at the
/// daemon.
pub const MAX_DRIFT_PER_MILLE: u32 = 10;

/// Time after which the leader may call a lease run out.
const LEADER_LEASE: Duration = Duration::from_micros(
    LEASE_DURATION.as_micros() as u64 * (1000 + MAX_DRIFT_PER_MILLE as u64) / 1000,
);

/// A daemon's request for a longer lease.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Renewal {
    /// The daemon and its run.
    pub holder: DaemonInstance,
    /// Number of the renewal, which the reply repeats.
    pub sequence: u64,
    /// Log index that the daemon's view has reached. This acknowledges every
    /// change up to it.
    pub applied: u64,
}

/// The leader's answer to a renewal.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum RenewalReply {
    /// The lease is renewed.
    Granted(LeaseGrant),
    /// This run of the daemon is no member; it joins again with a higher number.
    NotMember {
        /// Number of the renewal.
        sequence: u64,
        /// Highest run that was a member, if any is remembered.
        last_incarnation: Option<Incarnation>,
    },
    /// The leader has applied less than the daemon: the daemon asks again.
    Behind {
        /// Number of the renewal.
        sequence: u64,
    },
}

/// A renewed lease.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct LeaseGrant {
    /// Number of the renewal.
    pub sequence: u64,
    /// Committed index. The lease counts only once the view has reached it.
    pub committed: u64,
    /// Time of the lease from the moment the renewal was sent, in milliseconds.
    pub lease_ms: u64,
    /// Index that every other daemon with a lease has reached. The daemon itself
    /// has reached the committed index once this lease counts.
    pub settled: u64,
    /// What the daemon lacks.
    pub changes: ChangeSet,
}

impl RenewalReply {
    /// Number of the renewal that this answers.
    pub fn sequence(&self) -> u64 {
        match self {
            Self::Granted(grant) => grant.sequence,
            Self::NotMember { sequence, .. } | Self::Behind { sequence } => *sequence,
        }
    }
}

/// Whether a change is in force everywhere.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum InForceStatus {
    /// No daemon can take work under an older state any more.
    Yes,
    /// Not yet.
    No {
        /// Daemons that have a lease and have not acknowledged the change.
        lagging: Vec<LaggingDaemon>,
        /// Whether leases of a former leader may still run that this one does
        /// not know of.
        is_leader_new: bool,
    },
}

/// A daemon that has not acknowledged a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LaggingDaemon {
    /// The daemon and its run.
    pub holder: DaemonInstance,
    /// Index that it has acknowledged.
    pub acknowledged: u64,
    /// Time until its lease has run out.
    pub expires_in: Duration,
}

#[derive(Clone, Debug)]
struct Lease {
    /// When the lease has surely run out at the daemon.
    expires: Instant,
    /// Lowest index at which the daemon may act, or `None` if it got no lease.
    floor: Option<u64>,
    /// Whether this leader has called the lease run out; it grants no other.
    is_condemned: bool,
}

impl Lease {
    fn live_floor(&self, now: Instant) -> Option<u64> {
        self.floor.filter(|_| self.expires > now)
    }
}

/// Session leases as the leader sees them. The table dies with the leader.
///
/// A new leader does not know which leases the former one granted, so it waits a
/// full lease before it calls any of them run out or any change settled.
#[derive(Clone, Debug)]
pub struct Leases {
    table: BTreeMap<DaemonInstance, Lease>,
    known_from: Option<Instant>,
}

impl Leases {
    /// The table of a leader elected at `now`.
    ///
    /// The roster is that of a state which has applied everything committed in
    /// earlier terms, that is, up to the first entry of the leader's own term.
    pub fn new(now: Instant, roster: &Roster) -> Self {
        let expires = now + LEADER_LEASE;
        let lease = Lease { expires, floor: Some(0), is_condemned: false };
        let table = roster.instances().map(|holder| (holder, lease.clone())).collect();
        let known_from = (roster.epoch() > 0).then_some(expires);
        Self { table, known_from }
    }

    /// Renews a lease.
    ///
    /// The caller must, after the renewal arrived, have had the group confirm a
    /// read index, and must pass a state that has applied at least that index.
    /// Otherwise a leader that was replaced without noticing could grant a lease
    /// under an old state.
    ///
    /// The state must hold no entry of a later term than the leader's either:
    /// this table does not know the leases that a later leader granted, and would
    /// call its entries settled. So the caller checks, with the state locked, that
    /// the voter's term is still the one in which the table was made. The same
    /// holds for [`in_force`](Self::in_force) and [`expired`](Self::expired).
    pub fn renew(&mut self, now: Instant, renewal: &Renewal, state: &State) -> RenewalReply {
        let sequence = renewal.sequence;
        let committed = state.applied();
        if renewal.applied > committed {
            return RenewalReply::Behind { sequence };
        }
        if !state.roster().contains(&renewal.holder) || self.is_condemned(&renewal.holder) {
            let last_incarnation = state.last_incarnation(&renewal.holder.daemon);
            return RenewalReply::NotMember { sequence, last_incarnation };
        }
        self.extend(now, renewal, committed);
        RenewalReply::Granted(LeaseGrant {
            sequence,
            committed,
            lease_ms: millis(LEASE_DURATION),
            settled: self.settled_for(Some(&renewal.holder), now, committed),
            changes: state.changes_since(renewal.applied),
        })
    }

    /// Forgets the lease of a daemon whose [`Leave`](crate::Command::Leave) has
    /// committed: it ended its session before it asked to leave.
    pub fn release(&mut self, holder: &DaemonInstance) {
        self.table.remove(holder);
    }

    /// Members whose lease has run out, to be proposed as
    /// [`Expire`](crate::Command::Expire). They get no further lease, and are
    /// listed again until they are no longer in the roster.
    pub fn expired(&mut self, now: Instant, roster: &Roster) -> Vec<DaemonInstance> {
        self.table.retain(|holder, lease| lease.expires > now || roster.contains(holder));
        for holder in roster.instances() {
            let first = Lease { expires: now + LEADER_LEASE, floor: None, is_condemned: false };
            self.table.entry(holder).or_insert(first);
        }
        self.table
            .iter_mut()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(holder, lease)| {
                lease.is_condemned = true;
                holder.clone()
            })
            .collect()
    }

    /// Index that every daemon with a lease has reached, at most `committed`.
    pub fn settled(&self, now: Instant, committed: u64) -> u64 {
        self.settled_for(None, now, committed)
    }

    /// The same, but for one daemon's own acknowledgement.
    fn settled_for(&self, own: Option<&DaemonInstance>, now: Instant, committed: u64) -> u64 {
        if self.is_new(now) {
            return 0;
        }
        let others = self.table.iter().filter(|(holder, _)| Some(*holder) != own);
        let floors = others.filter_map(|(_, lease)| lease.live_floor(now));
        floors.min().unwrap_or(committed).min(committed)
    }

    /// Whether no daemon acts under a state older than `index` any more. The
    /// index must be committed.
    pub fn in_force(&self, index: u64, now: Instant) -> InForceStatus {
        if self.settled(now, index) >= index {
            return InForceStatus::Yes;
        }
        let lagging = self
            .table
            .iter()
            .filter_map(|(holder, lease)| Some((holder, lease, lease.live_floor(now)?)))
            .filter(|(_, _, floor)| *floor < index)
            .map(|(holder, lease, floor)| LaggingDaemon {
                holder: holder.clone(),
                acknowledged: floor,
                expires_in: lease.expires.saturating_duration_since(now),
            })
            .collect();
        InForceStatus::No { lagging, is_leader_new: self.is_new(now) }
    }

    fn is_new(&self, now: Instant) -> bool {
        self.known_from.is_some_and(|known_from| now < known_from)
    }

    fn is_condemned(&self, holder: &DaemonInstance) -> bool {
        self.table.get(holder).is_some_and(|lease| lease.is_condemned)
    }

    /// A daemon without a running lease cannot act before it has reached the
    /// index that this lease names; one with a running lease acts at the index
    /// that it has acknowledged.
    fn extend(&mut self, now: Instant, renewal: &Renewal, committed: u64) {
        let known = self.table.get(&renewal.holder);
        let running = known.and_then(|lease| lease.live_floor(now));
        let floor = running.map_or(committed, |floor| floor.max(renewal.applied));
        let lease = Lease { expires: now + LEADER_LEASE, floor: Some(floor), is_condemned: false };
        self.table.insert(renewal.holder.clone(), lease);
    }
}
