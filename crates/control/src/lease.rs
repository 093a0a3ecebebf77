//! The leader's table of session leases, and the messages of the lease protocol.
//!
//! A daemon renews its lease every [`RENEWAL_INTERVAL`] and acknowledges with the
//! renewal the changes that it has applied. It accepts new work only while its lease
//! is valid, so a change is in force everywhere as soon as every daemon has either
//! acknowledged it or let its lease expire.

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

/// Duration of a lease at the daemon, measured from just before the renewal is sent.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);

/// Time between two renewals of a daemon. Two renewals in a row may be lost before
/// the lease expires.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two renewals while a daemon has changes to acknowledge.
pub const ACKNOWLEDGE_INTERVAL: Duration = Duration::from_millis(100);

/// Assumed bound on how much faster one monotonic clock runs than another, in
/// thousandths. If two clocks differ by more, a lease may expire at the leader before
/// it expires at the daemon.
pub const MAX_DRIFT_PER_MILLE: u32 = 10;

/// Duration of a lease at the leader, measured from the moment it grants the lease.
/// It exceeds [`LEASE_DURATION`] by the bound on drift, so that the lease has expired
/// at the daemon before it expires here.
const LEADER_LEASE_DURATION: Duration = Duration::from_micros(
    LEASE_DURATION.as_micros() as u64 * (1000 + MAX_DRIFT_PER_MILLE as u64) / 1000,
);

/// A daemon's request to renew its lease.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Renewal {
    /// The daemon and its incarnation.
    pub holder: DaemonInstance,
    /// Sequence number of the renewal, which the reply returns.
    pub sequence: u64,
    /// State index that the daemon's view has reached, which acknowledges every change up
    /// to it.
    pub applied: u64,
}

/// The leader's reply to a renewal.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum RenewalReply {
    /// The lease is renewed.
    Granted(LeaseGrant),
    /// This instance of the daemon is not a roster member. The daemon has to join the
    /// region again with a higher incarnation.
    NotMember {
        /// Sequence number of the renewal.
        sequence: u64,
        /// Highest incarnation of the daemon that was a member, if one is remembered.
        last_incarnation: Option<Incarnation>,
    },
    /// The leader is behind the daemon: it has applied less than the renewal acknowledges.
    /// The daemon has to renew again.
    Behind {
        /// Sequence number of the renewal.
        sequence: u64,
    },
}

/// A renewed lease.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct LeaseGrant {
    /// Sequence number of the renewal.
    pub sequence: u64,
    /// Committed state index. The lease is valid only once the view has reached it.
    pub committed: u64,
    /// Duration of the lease in milliseconds, measured from just before the renewal is
    /// sent.
    pub lease_ms: u64,
    /// Index that every other daemon with a lease has reached. The receiver isn't counted,
    /// as it has reached `committed` before this lease is valid.
    pub settled: u64,
    /// Changes after the index that the daemon acknowledged.
    pub changes: ChangeSet,
}

impl RenewalReply {
    /// Returns the sequence number of the renewal that this replies to.
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
    /// No daemon can accept new work under an older state.
    Yes,
    /// Some daemon may still accept new work under an older state.
    No {
        /// Daemons that have a lease and have not acknowledged the change.
        lagging: Vec<LaggingDaemon>,
        /// Whether leases of a former leader that this one does not know of may still
        /// be valid.
        is_leader_new: bool,
    },
}

/// A daemon that has not acknowledged a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LaggingDaemon {
    /// The daemon and its incarnation.
    pub instance: DaemonInstance,
    /// Index that it has acknowledged.
    pub acknowledged: u64,
    /// Time until its lease has expired at the leader.
    pub expires_in: Duration,
}

/// Lease of one daemon instance, as the leader sees it.
#[derive(Clone, Debug)]
struct Lease {
    /// Time at which the lease has certainly expired at the daemon.
    expires_at: Instant,
    /// Lowest index under which the daemon may act, or `None` if it got no lease.
    min_index: Option<u64>,
    /// Whether this leader has declared the lease expired, after which it grants the
    /// instance no further lease.
    is_declared_expired: bool,
}

impl Lease {
    /// Returns the lowest index under which the daemon may act at `now`, or `None` if
    /// it has no valid lease.
    fn min_index_at(&self, now: Instant) -> Option<u64> {
        self.min_index.filter(|_| self.expires_at > now)
    }
}

/// The leader's table of session leases, which is lost when the leader changes.
///
/// A new leader does not know which leases the former one granted, so it waits for
/// the duration of a lease before it declares any of them expired or any index
/// settled. An index is settled once every daemon with a lease has reached it. A change
/// is in force everywhere once its index is settled.
#[derive(Clone, Debug)]
pub struct Leases {
    table: BTreeMap<DaemonInstance, Lease>,
    /// Time from which the table holds all valid leases, or `None` if it always did.
    complete_from: Option<Instant>,
}

impl Leases {
    /// Creates the table of a leader elected at `now`.
    ///
    /// The roster must be that of a state which has applied everything committed in
    /// earlier terms, that is, up to the first entry of the leader's own term.
    pub fn new(now: Instant, roster: &Roster) -> Self {
        let expires_at = now + LEADER_LEASE_DURATION;
        let lease = Lease { expires_at, min_index: Some(0), is_declared_expired: false };
        let table = roster.instances().map(|instance| (instance, lease.clone())).collect();
        let complete_from = (roster.epoch() > 0).then_some(expires_at);
        Self { table, complete_from }
    }

    /// Renews a lease.
    ///
    /// After the renewal has arrived, the caller must let the group confirm a read
    /// index, and must pass a state that has applied at least that index. Otherwise a
    /// leader that was replaced without noticing could grant a lease under an old
    /// state.
    ///
    /// The state must not have applied an entry of a later term than the leader's
    /// either: this table does not know the leases that a later leader granted, and
    /// would consider entries settled that are not. The caller therefore checks, while
    /// it holds the lock on the state, that the voter's term is still the one in which
    /// the table was created. The same holds for [`in_force`](Self::in_force) and
    /// [`expired`](Self::expired).
    pub fn renew(&mut self, now: Instant, renewal: &Renewal, state: &State) -> RenewalReply {
        let sequence = renewal.sequence;
        let committed = state.applied();
        if renewal.applied > committed {
            return RenewalReply::Behind { sequence };
        }
        if !state.roster().contains(&renewal.holder) || self.is_declared_expired(&renewal.holder) {
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

    /// Forgets the lease of a daemon whose [`Leave`](crate::Command::Leave) is
    /// committed. The daemon ended its session before it sent the command.
    pub fn release(&mut self, instance: &DaemonInstance) {
        self.table.remove(instance);
    }

    /// Returns the members whose lease has expired, for which the caller proposes
    /// [`Expire`](crate::Command::Expire). They get no further lease, and are returned
    /// again until they are no longer in the roster. A member that has never
    /// renewed with this leader is given the duration of a lease to do so.
    pub fn expired(&mut self, now: Instant, roster: &Roster) -> Vec<DaemonInstance> {
        self.table.retain(|instance, lease| lease.expires_at > now || roster.contains(instance));
        for instance in roster.instances() {
            let first = Lease {
                expires_at: now + LEADER_LEASE_DURATION,
                min_index: None,
                is_declared_expired: false,
            };
            self.table.entry(instance).or_insert(first);
        }
        self.table
            .iter_mut()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(instance, lease)| {
                lease.is_declared_expired = true;
                instance.clone()
            })
            .collect()
    }

    /// Returns the settled index, which every daemon with a lease has reached, at most
    /// `committed`. It is 0 while a former leader's leases may still be valid.
    pub fn settled(&self, now: Instant, committed: u64) -> u64 {
        self.settled_for(None, now, committed)
    }

    /// Returns the settled index without the acknowledgement of one daemon.
    fn settled_for(&self, excluded: Option<&DaemonInstance>, now: Instant, committed: u64) -> u64 {
        if self.is_leader_new(now) {
            return 0;
        }
        let others = self.table.iter().filter(|(instance, _)| Some(*instance) != excluded);
        let min_indexes = others.filter_map(|(_, lease)| lease.min_index_at(now));
        min_indexes.min().unwrap_or(committed).min(committed)
    }

    /// Returns whether no daemon can act under a state older than `index`, which must
    /// be committed.
    pub fn in_force(&self, index: u64, now: Instant) -> InForceStatus {
        if self.settled(now, index) >= index {
            return InForceStatus::Yes;
        }
        let lagging = self
            .table
            .iter()
            .filter_map(|(instance, lease)| Some((instance, lease, lease.min_index_at(now)?)))
            .filter(|(_, _, min_index)| *min_index < index)
            .map(|(instance, lease, min_index)| LaggingDaemon {
                instance: instance.clone(),
                acknowledged: min_index,
                expires_in: lease.expires_at.saturating_duration_since(now),
            })
            .collect();
        InForceStatus::No { lagging, is_leader_new: self.is_leader_new(now) }
    }

    /// Returns whether leases of a former leader may still be valid.
    fn is_leader_new(&self, now: Instant) -> bool {
        self.complete_from.is_some_and(|complete_from| now < complete_from)
    }

    /// Returns whether this leader has declared the lease of an instance expired.
    fn is_declared_expired(&self, instance: &DaemonInstance) -> bool {
        self.table.get(instance).is_some_and(|lease| lease.is_declared_expired)
    }

    /// Records a granted lease. A daemon without a valid lease cannot act before it
    /// has reached the committed index that the grant names. One with a valid lease may
    /// act under the index that it has acknowledged.
    fn extend(&mut self, now: Instant, renewal: &Renewal, committed: u64) {
        let current = self.table.get(&renewal.holder);
        let former_min_index = current.and_then(|lease| lease.min_index_at(now));
        let min_index =
            former_min_index.map_or(committed, |min_index| min_index.max(renewal.applied));
        let lease = Lease {
            expires_at: now + LEADER_LEASE_DURATION,
            min_index: Some(min_index),
            is_declared_expired: false,
        };
        self.table.insert(renewal.holder.clone(), lease);
    }
}
