//! The daemons of a region, and the choice of the one that owns an upstream.

use crate::hash::stable_hash;
use bincode::{Decode, Encode};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};
use wire::{DaemonId, DataCentreId, Incarnation};

/// Maximum number of members of a region.
pub(crate) const MAX_MEMBERS: usize = 1024;

/// Maximum number of departed daemons whose last incarnation is remembered. The
/// one removed first is forgotten first.
const MAX_DEPARTED: usize = 4096;

/// A started process of a daemon, which holds a lease, claims and upstreams.
#[derive(Clone, Debug, Decode, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct DaemonInstance {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Number of the instance. It is higher after each start and after each new join.
    pub incarnation: Incarnation,
}

/// A daemon in the roster.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Member {
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Address at which other daemons reach it, as `ip:port`.
    pub address: String,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// State index at which it joined.
    pub joined: u64,
}

/// All members of a region.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct Roster {
    epoch: u64,
    members: BTreeMap<DaemonId, Arc<Member>>,
}

impl Roster {
    /// Returns the roster epoch: the state index of the last change of the roster, 0 before
    /// the first.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the members, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = (&DaemonId, &Member)> {
        self.members.iter().map(|(daemon, member)| (daemon, member.as_ref()))
    }

    /// Returns a member by name.
    pub fn member(&self, daemon: &str) -> Option<&Member> {
        self.members.get(daemon).map(Arc::as_ref)
    }

    /// Returns whether this instance of a daemon is a member.
    pub fn contains(&self, instance: &DaemonInstance) -> bool {
        self.member(&instance.daemon)
            .is_some_and(|member| member.incarnation == instance.incarnation)
    }

    /// Returns the instances of all members, ordered by name.
    pub fn instances(&self) -> impl Iterator<Item = DaemonInstance> {
        self.members().map(|(daemon, member)| DaemonInstance {
            daemon: daemon.clone(),
            incarnation: member.incarnation,
        })
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Creates a roster from which all members were removed at this index.
    pub(crate) fn emptied(index: u64) -> Self {
        Self { epoch: index, members: BTreeMap::new() }
    }

    /// Adds a member, or replaces the former instance, at this index.
    pub(crate) fn insert(&mut self, index: u64, daemon: DaemonId, member: Arc<Member>) {
        self.epoch = index;
        self.members.insert(daemon, member);
    }

    /// Removes a member at this index.
    pub(crate) fn remove(&mut self, index: u64, daemon: &str) {
        self.epoch = index;
        self.members.remove(daemon);
    }
}

/// Returns the daemon that owns an upstream: the member of the upstream's data
/// centre with the highest hash over both names (rendezvous hashing). Returns
/// `None` if the data centre has no member.
///
/// When a member joins or is removed, only the upstreams that it gains or loses
/// change their owner.
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

/// Last incarnations of daemons that are no longer members, so that a delayed join
/// of a former instance is refused.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub(crate) struct Departed {
    /// Last incarnation of each daemon and the index of its removal.
    incarnations: BTreeMap<DaemonId, (Incarnation, u64)>,
    /// The same daemons, ordered by the index of their removal.
    by_removal: BTreeSet<(u64, DaemonId)>,
}

impl Departed {
    pub(crate) fn last_incarnation(&self, daemon: &str) -> Option<Incarnation> {
        self.incarnations.get(daemon).map(|(incarnation, _)| *incarnation)
    }

    /// Records a daemon that was removed at this index.
    pub(crate) fn record(&mut self, index: u64, daemon: &str, incarnation: Incarnation) {
        self.forget(daemon);
        self.incarnations.insert(daemon.to_string(), (incarnation, index));
        self.by_removal.insert((index, daemon.to_string()));
        if self.incarnations.len() > MAX_DEPARTED
            && let Some((_, oldest)) = self.by_removal.pop_first()
        {
            self.incarnations.remove(&oldest);
        }
    }

    /// Forgets a daemon, as when it joins again.
    pub(crate) fn forget(&mut self, daemon: &str) {
        if let Some((_, index)) = self.incarnations.remove(daemon) {
            self.by_removal.remove(&(index, daemon.to_string()));
        }
    }
}
