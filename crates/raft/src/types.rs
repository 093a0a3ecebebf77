//! Ids, log entries and membership.

use crate::error::{Error, Result};
use bincode::{Decode, Encode};
use std::{collections::BTreeSet, sync::Arc};

/// Identity of one node of a group. An id is never used twice.
pub type NodeId = u64;
/// Position in the log. The first entry has index 1.
pub type Index = u64;
/// Number of an election round.
pub type Term = u64;
/// Identity of a group: differs for each epoch and each set of first voters.
pub type GroupId = u64;

/// What an entry of the log holds.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum EntryPayload {
    /// Written by a new leader so that it can commit what came before it.
    Empty,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The members from this entry on.
    Membership(Membership),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct LogEntry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that wrote it.
    pub term: Term,
    /// What it holds.
    pub payload: EntryPayload,
}

impl LogEntry {
    /// Approximate size in bytes, used by the limits on batches.
    pub fn size_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 24;
        const BYTES_PER_MEMBER: usize = 8;
        FIXED_BYTES
            + match &self.payload {
                EntryPayload::Empty => 0,
                EntryPayload::Command(data) => data.len(),
                EntryPayload::Membership(members) => BYTES_PER_MEMBER * members.nodes().count(),
            }
    }
}

/// What a node must remember of elections; synced before any vote leaves it.
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Candidate that received this node's vote in that term.
    pub vote: Option<NodeId>,
}

/// Which part of the log a snapshot replaces.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct SnapshotMeta {
    /// Last entry that the snapshot contains.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Members as of that entry.
    pub membership: Membership,
}

/// State of the machine at one index.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Which part of the log it replaces.
    pub meta: SnapshotMeta,
    /// The machine's own encoding of its state.
    pub data: Arc<Vec<u8>>,
}

/// One step of a membership change. The group makes one at a time.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum MembershipChange {
    /// Adds a node that receives the log and has no vote.
    AddLearner(NodeId),
    /// Gives a learner that has caught up a vote.
    Promote(NodeId),
    /// Removes a voter or a learner and retires its id.
    Remove(NodeId),
}

/// The nodes of a group.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct Membership {
    /// Which group this is. Messages of another group are dropped.
    pub group: GroupId,
    /// Raised by each restore from a back-up.
    pub epoch: u64,
    /// Nodes whose votes count.
    pub voters: BTreeSet<NodeId>,
    /// Nodes that only receive the log.
    pub learners: BTreeSet<NodeId>,
    /// Ids that may never come back.
    pub retired: BTreeSet<NodeId>,
}

impl Membership {
    /// The first members of a group. Every first voter is started with the same list.
    ///
    /// ```
    /// let a = raft::Membership::initial(1, [1, 2, 3]);
    /// let b = raft::Membership::initial(2, [1, 2, 3]);
    /// assert_eq!(a.quorum(), 2);
    /// assert_ne!(a.group, b.group);
    /// ```
    pub fn initial(epoch: u64, voters: impl IntoIterator<Item = NodeId>) -> Self {
        let voters: BTreeSet<_> = voters.into_iter().collect();
        let group = voters.iter().fold(mix(0, epoch), |hash, id| mix(hash, *id));
        Self { group, epoch, voters, ..Self::default() }
    }

    /// Smallest number of voters that is a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the node's vote counts.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.voters.contains(&id)
    }

    /// Whether the node receives the log.
    pub fn contains(&self, id: NodeId) -> bool {
        self.is_voter(id) || self.learners.contains(&id)
    }

    /// All nodes that receive the log.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Whether there are no members, as on a node that has yet to join.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// The members after a change.
    ///
    /// # Errors
    ///
    /// [`Error::is_refused_change`] when the change makes no sense for these members.
    pub fn after(&self, change: MembershipChange) -> Result<Self> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(id) if self.contains(id) => {
                return Err(Error::refused("already a member"));
            }
            MembershipChange::AddLearner(id) if self.retired.contains(&id) => {
                return Err(Error::refused("this id is retired; join under a new one"));
            }
            MembershipChange::AddLearner(id) => {
                next.learners.insert(id);
            }
            MembershipChange::Promote(id) if !self.learners.contains(&id) => {
                return Err(Error::refused("not a learner"));
            }
            MembershipChange::Promote(id) => {
                next.learners.remove(&id);
                next.voters.insert(id);
            }
            MembershipChange::Remove(id) if !self.contains(id) => {
                return Err(Error::refused("not a member"));
            }
            MembershipChange::Remove(id) => {
                next.voters.remove(&id);
                next.learners.remove(&id);
                next.retired.insert(id);
            }
        }
        if next.voters.is_empty() {
            return Err(Error::refused("the last voter can't be removed"));
        }
        Ok(next)
    }
}

/// One round of a 64-bit mixing function with good avalanche behaviour.
fn mix(hash: u64, value: u64) -> u64 {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let x = (hash ^ value).wrapping_add(1).wrapping_mul(MULTIPLIER);
    x ^ (x >> 29)
}
