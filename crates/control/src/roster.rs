//! The daemons of a region and which of them owns an upstream.

use crate::hash::stable_hash;
use bincode::{Decode, Encode};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use wire::{DaemonId, DataCentreId, Incarnation};

/// Most members of one region.
pub(crate) const MAX_MEMBERS: usize = 1024;

/// Most departed daemons whose last incarnation is remembered.
const MAX_DEPARTED: usize = 4096;

/// One run of a daemon: what holds a lease, a claim or an upstream.
#[derive(Clone, Debug, Decode, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DaemonInstance {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Number of the run, higher at each start and at each new join.
    pub incarnation: Incarnation,
}

/// A daemon that the control group counts.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Member {
    /// Number of the daemon's run.
    pub incarnation: Incarnation,
    /// Where other daemons reach it, as `ip:port`.
    pub address: String,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Log index of its join.
    pub joined: u64,
}

/// All members of a region.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct Roster {
    epoch: u64,
    members: BTreeMap<DaemonId, Arc<Member>>,
}

impl Roster {
    /// Log index of the last change of the roster, 0 before the first.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Members by name.
    pub fn members(&self) -> impl Iterator<Item = (&DaemonId, &Member)> {
        self.members.iter().map(|(daemon, member)| (daemon, member.as_ref()))
    }

    /// One member.
    pub fn member(&self, daemon: &str) -> Option<&Member> {
        self.members.get(daemon).map(Arc::as_ref)
    }

    /// Whether this very run of a daemon is a member.
    pub fn contains(&self, holder: &DaemonInstance) -> bool {
        self.member(&holder.daemon).is_some_and(|member| member.incarnation == holder.incarnation)
    }

    /// All members, each with the number of its run.
    pub fn instances(&self) -> impl Iterator<Item = DaemonInstance> {
        self.members().map(|(daemon, member)| DaemonInstance {
            daemon: daemon.clone(),
            incarnation: member.incarnation,
        })
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// A roster that lost all members at this log index.
    pub(crate) fn emptied(index: u64) -> Self {
        Self { epoch: index, members: BTreeMap::new() }
    }

    pub(crate) fn insert(&mut self, index: u64, daemon: DaemonId, member: Arc<Member>) {
        self.epoch = index;
        self.members.insert(daemon, member);
    }

    pub(crate) fn remove(&mut self, index: u64, daemon: &str) {
        self.epoch = index;
        self.members.remove(daemon);
    }
}

/// The daemon that owns an upstream: the member of the upstream's data centre
/// with the highest hash over both names.
///
/// When a member comes or goes, only the upstreams that it gains or loses get
/// another owner.
///
/// ```
/// use control::{Roster, owner_of};
///
/// assert_eq!(owner_of("engine-1", "bandung", &Roster::default()), None);
/// ```
pub fn owner_of(upstream: &str, data_centre: &str, roster: &Roster) -> Option<DaemonId> {
    roster
        .members()
        .filter(|(_, member)| member.data_centre == data_centre)
        .map(|(daemon, _)| (stable_hash(&[upstream, daemon]), daemon))
        .max()
        .map(|(_, daemon)| daemon.clone())
}

/// Last incarnations of daemons that are no longer members, so that a late
/// command of a former run finds out that it is late.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub(crate) struct Departed {
    last: BTreeMap<DaemonId, (Incarnation, u64)>,
    by_index: BTreeSet<(u64, DaemonId)>,
}

impl Departed {
    pub(crate) fn last(&self, daemon: &str) -> Option<Incarnation> {
        self.last.get(daemon).map(|(incarnation, _)| *incarnation)
    }

    pub(crate) fn record(&mut self, index: u64, daemon: &str, incarnation: Incarnation) {
        self.forget(daemon);
        self.last.insert(daemon.to_string(), (incarnation, index));
        self.by_index.insert((index, daemon.to_string()));
        if self.last.len() > MAX_DEPARTED
            && let Some((_, oldest)) = self.by_index.pop_first()
        {
            self.last.remove(&oldest);
        }
    }

    pub(crate) fn forget(&mut self, daemon: &str) {
        if let Some((_, index)) = self.last.remove(daemon) {
            self.by_index.remove(&(index, daemon.to_string()));
        }
    }
}
