//! Ids, log entries, snapshots and membership.

use crate::error::{Error, Result};
use bincode::{Decode, Encode};
use std::{collections::BTreeSet, sync::Arc};

/// Id of one node of a group. An id is never reused.
pub type NodeId = u64;
/// Position in the log. The first entry has index 1.
pub type Index = u64;
/// Election term. Each campaign starts a new one, and a term has at most one leader.
pub type Term = u64;
/// Id of a group, which differs for each epoch and each set of initial voters: a hash of both, see
/// [`Membership::initial`].
pub type GroupId = u64;

/// Content of a log entry.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum EntryPayload {
    /// Appended by a new leader: only with an entry of its own term can it commit the entries of
    /// earlier terms.
    Empty,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The members as of this entry.
    Membership(Membership),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct LogEntry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that appended it.
    pub term: Term,
    /// The content.
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

/// Election state that must be on disk before the node sends any vote.
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct HardState {
    /// Latest term that the node knows of.
    pub term: Term,
    /// Candidate that this node voted for in that term.
    pub vote: Option<NodeId>,
}

/// Position and membership of a snapshot, which replaces the log up to that position.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct SnapshotMeta {
    /// Index of the last entry that the snapshot includes.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Members as of that entry.
    pub membership: Membership,
}

/// The state of the state machine after the entry at one index.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Position and membership.
    pub meta: SnapshotMeta,
    /// The state, encoded by the state machine.
    pub data: Arc<Vec<u8>>,
}

/// Membership change of one node. A group makes one such change at a time.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum MembershipChange {
    /// Adds a node that receives the log but has no vote.
    AddLearner(NodeId),
    /// Turns a learner that has caught up into a voter.
    Promote(NodeId),
    /// Removes a voter or learner and retires its id.
    Remove(NodeId),
}

/// The members of a group.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct Membership {
    /// Id of the group. A node drops messages of any other group.
    pub group: GroupId,
    /// Epoch of the group. A restore from a back-up starts a new group with a higher one.
    pub epoch: u64,
    /// Nodes whose votes count.
    pub voters: BTreeSet<NodeId>,
    /// Nodes that receive the log but have no vote.
    pub learners: BTreeSet<NodeId>,
    /// Ids of removed nodes, which can't be added again.
    pub retired: BTreeSet<NodeId>,
}

impl Membership {
    /// The initial members of a group. Every initial voter must be started with the same list.
    ///
    /// ```
    /// let a = raft::Membership::initial(1, [1, 2, 3]);
    /// let b = raft::Membership::initial(2, [1, 2, 3]);
    /// assert_eq!(a.quorum(), 2);
    /// assert_ne!(a.group, b.group);
    /// ```
    pub fn initial(epoch: u64, voters: impl IntoIterator<Item = NodeId>) -> Self {
        let voters: BTreeSet<_> = voters.into_iter().collect();
        let group = voters.iter().fold(mix_hash(0, epoch), |hash, id| mix_hash(hash, *id));
        Self { group, epoch, voters, ..Self::default() }
    }

    /// Number of voters in the smallest majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Number of the current voters that must answer before another one is added. With one vote more
    /// they are a majority by themselves, so the group doesn't depend on the new voter. The only
    /// voter of a group can't be, and is enough.
    pub fn voters_needed_to_grow(&self) -> usize {
        let voters = self.voters.len();
        (voters.div_ceil(2) + 1).min(voters)
    }

    /// Whether the node is a voter.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.voters.contains(&id)
    }

    /// Whether the node is a voter or a learner.
    pub fn contains(&self, id: NodeId) -> bool {
        self.is_voter(id) || self.learners.contains(&id)
    }

    /// Ids of all voters, then of all learners.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Whether there are no voters, as on a node that hasn't joined a group yet.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Returns the members after a change.
    ///
    /// # Errors
    ///
    /// [`Error::is_refused_change`] if the change is invalid for these members: the node to add is
    /// a member or retired, the node to promote is no learner, the node to remove is no member or
    /// the last voter.
    pub fn after(&self, change: MembershipChange) -> Result<Self> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner(id) if self.contains(id) => {
                return Err(Error::refused_change("already a member"));
            }
            MembershipChange::AddLearner(id) if self.retired.contains(&id) => {
                return Err(Error::refused_change("this id is retired; join under a new one"));
            }
            MembershipChange::AddLearner(id) => {
                next.learners.insert(id);
            }
            MembershipChange::Promote(id) if !self.learners.contains(&id) => {
                return Err(Error::refused_change("not a learner"));
            }
            MembershipChange::Promote(id) => {
                next.learners.remove(&id);
                next.voters.insert(id);
            }
            MembershipChange::Remove(id) if !self.contains(id) => {
                return Err(Error::refused_change("not a member"));
            }
            MembershipChange::Remove(id) => {
                next.voters.remove(&id);
                next.learners.remove(&id);
                next.retired.insert(id);
            }
        }
        if next.voters.is_empty() {
            return Err(Error::refused_change("the last voter can't be removed"));
        }
        Ok(next)
    }
}

/// One round of a 64-bit mixing function with a good avalanche effect.
fn mix_hash(hash: u64, value: u64) -> u64 {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let x = (hash ^ value).wrapping_add(1).wrapping_mul(MULTIPLIER);
    x ^ (x >> 29)
}
