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

/// Change of the members. A group makes one such change at a time.
///
/// A change of the voters passes through a joint membership, which the leader ends by itself; see
/// [`Membership`].
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum MembershipChange {
    /// Adds a node that receives the log but has no vote.
    AddLearner(NodeId),
    /// Turns a learner that has caught up into a voter.
    Promote(NodeId),
    /// Removes a learner and retires its id.
    Remove(NodeId),
    /// Gives the vote of a voter to a learner that has caught up. The former voter becomes a
    /// learner.
    Exchange {
        /// Voter that loses its vote.
        old: NodeId,
        /// Learner that gets it.
        new: NodeId,
    },
    /// Turns a voter into a learner. It keeps its id and its disk, and can be promoted again.
    Demote(NodeId),
    /// Gives the votes of two voters to one learner that has caught up. The former voters become
    /// learners.
    ExchangeTwo {
        /// Voters that lose their votes.
        old: [NodeId; 2],
        /// Learner that gets one.
        new: NodeId,
    },
    /// Turns two voters into learners.
    DemoteTwo([NodeId; 2]),
}

/// The members of a group.
///
/// While the voters change, the membership is *joint*: it holds the voters of before
/// ([`current_voters`](Self::current_voters)) and those of afterwards
/// ([`next_voters`](Self::next_voters)), and a [quorum](Self::has_quorum) is one of both. So at no
/// time does the group depend on fewer disks than it does without the change.
///
/// `voters` then has both sets. An incoming voter is also listed in `learners` and an outgoing one
/// also in `retired`, so that the stored form is the same with and without a change. So `retired`
/// has nodes for a moment that may get their votes back. A build without joint memberships takes
/// one for a membership with additional voters. Any majority of that has a node in common with any
/// majority of each of the two sets.
///
/// # Lost voters
///
/// Half of an even number of voters is a quorum if the disk of one of the others is known to be
/// lost ([`has_quorum_without`](Self::has_quorum_without)). Such a half meets each majority in a
/// voter that has its disk: of `2m` voters, a majority has `m` without the lost one, and there are
/// only `2m - 1` of these. So a group of four survives the loss of two disks, as one of five does.
/// Two halves that leave out different voters meet as well, provided that nothing counts which a
/// voter did before the loss was known; `docs/design/absent-voters.md` has the argument.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct Membership {
    /// Id of the group. A node drops messages of any other group.
    pub group: GroupId,
    /// Epoch of the group. A restore from a back-up starts a new group with a higher one.
    pub epoch: u64,
    /// Nodes whose votes count.
    pub voters: BTreeSet<NodeId>,
    /// Nodes that receive the log but have no vote, and the incoming voters of a joint membership.
    pub learners: BTreeSet<NodeId>,
    /// Ids of removed nodes, which can't be added again, and the outgoing voters of a joint
    /// membership.
    pub retired: BTreeSet<NodeId>,
}

impl Membership {
    /// The initial members of a group. Every initial voter must be started with the same list.
    ///
    /// ```
    /// let a = raft::Membership::initial(1, [1, 2, 3]);
    /// let b = raft::Membership::initial(2, [1, 2, 3]);
    /// assert!(a.has_quorum(|id| id != 3));
    /// assert_ne!(a.group, b.group);
    /// ```
    pub fn initial(epoch: u64, voters: impl IntoIterator<Item = NodeId>) -> Self {
        let voters: BTreeSet<_> = voters.into_iter().collect();
        let group = voters.iter().fold(mix_hash(0, epoch), |hash, id| mix_hash(hash, *id));
        Self { group, epoch, voters, ..Self::default() }
    }

    /// Voters of before the change that is under way; without one, all voters.
    pub fn current_voters(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.difference(&self.learners).copied()
    }

    /// Voters of after the change that is under way; without one, all voters.
    pub fn next_voters(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.difference(&self.retired).copied()
    }

    /// Whether the voters are being changed.
    pub fn is_joint(&self) -> bool {
        !self.voters.is_disjoint(&self.learners) || !self.voters.is_disjoint(&self.retired)
    }

    /// Whether the nodes for which `f` is true are a quorum: a majority of the voters or, while
    /// these are being changed, of the voters both before and after that.
    pub fn has_quorum(&self, f: impl Fn(NodeId) -> bool) -> bool {
        self.has_quorum_without(&BTreeSet::new(), f)
    }

    /// As [`has_quorum`](Self::has_quorum), where the disks of some voters are known to be lost:
    /// these don't count, and half of an even number of voters is enough if one of them is lost.
    ///
    /// ```
    /// let members = raft::Membership::initial(1, [1, 2, 3, 4]);
    /// assert!(!members.has_quorum(|id| id <= 2));
    /// assert!(members.has_quorum_without(&[4].into(), |id| id <= 2));
    /// ```
    pub fn has_quorum_without(&self, lost: &BTreeSet<NodeId>, f: impl Fn(NodeId) -> bool) -> bool {
        self.quorum_value_without(lost, |id| u64::from(f(id))) > 0
    }

    /// The highest value that is reached by each node of some quorum, 0 if there are no voters.
    pub fn quorum_value(&self, value: impl Fn(NodeId) -> u64) -> u64 {
        self.quorum_value_without(&BTreeSet::new(), value)
    }

    /// As [`quorum_value`](Self::quorum_value), where the disks of some voters are known to be
    /// lost.
    pub fn quorum_value_without(
        &self,
        lost: &BTreeSet<NodeId>,
        value: impl Fn(NodeId) -> u64,
    ) -> u64 {
        let of_voters = |voters: &mut dyn Iterator<Item = NodeId>| {
            let (lost, whole): (Vec<NodeId>, Vec<NodeId>) =
                voters.partition(|id| lost.contains(id));
            let count = lost.len() + whole.len();
            let needed = match count % 2 == 0 && !lost.is_empty() {
                true => count / 2,
                false => count / 2 + 1,
            };
            let mut values: Vec<u64> = whole.into_iter().map(&value).collect();
            values.sort_unstable_by(|a, b| b.cmp(a));
            values.get(needed - 1).copied().unwrap_or(0)
        };
        of_voters(&mut self.current_voters()).min(of_voters(&mut self.next_voters()))
    }

    /// Number of the current voters that must answer before another one is added. With one vote
    /// more they are a majority by themselves, so the group doesn't depend on the new voter. The
    /// only voter of a group can't be, and is enough.
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

    /// Whether the node was a member and is none any more: it has no vote, and its id can't be
    /// added again.
    pub fn is_retired(&self, id: NodeId) -> bool {
        self.retired.contains(&id) && !self.is_voter(id)
    }

    /// Ids of all voters, then of all nodes that are only learners.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().chain(self.learners.difference(&self.voters)).copied()
    }

    /// Whether there are no voters, as on a node that hasn't joined a group yet.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Returns the members after a change. If the voters change, these are joint.
    ///
    /// # Errors
    ///
    /// [`Error::is_refused_change`] if the change is invalid for these members: the node to add is
    /// a member or retired, the node to promote is no learner, the node to demote is no voter or
    /// the last one, the node to remove is no learner, the nodes to exchange are no voters and no
    /// learner, or the voters are being changed.
    pub fn after(&self, change: MembershipChange) -> Result<Self> {
        let mut next = self.clone();
        match change {
            _ if self.is_joint() => {
                return Err(Error::refused_change("the voters are being changed"));
            }
            MembershipChange::AddLearner(id) if self.contains(id) => {
                return Err(Error::refused_change("already a member"));
            }
            MembershipChange::AddLearner(id) if self.retired.contains(&id) => {
                return Err(Error::refused_change("this id is retired; join under a new one"));
            }
            MembershipChange::AddLearner(id) => {
                next.learners.insert(id);
            }
            MembershipChange::Promote(id)
            | MembershipChange::Exchange { new: id, .. }
            | MembershipChange::ExchangeTwo { new: id, .. }
                if !self.learners.contains(&id) =>
            {
                return Err(Error::refused_change("not a learner"));
            }
            MembershipChange::Demote(id) | MembershipChange::Exchange { old: id, .. }
                if !self.is_voter(id) =>
            {
                return Err(Error::refused_change("not a voter"));
            }
            MembershipChange::ExchangeTwo { old: [a, b], .. }
            | MembershipChange::DemoteTwo([a, b])
                if a == b || !self.is_voter(a) || !self.is_voter(b) =>
            {
                return Err(Error::refused_change("not two voters"));
            }
            MembershipChange::Remove(id) if self.is_voter(id) => {
                return Err(Error::refused_change("a voter; demote it first"));
            }
            MembershipChange::Remove(id) if !self.contains(id) => {
                return Err(Error::refused_change("not a member"));
            }
            MembershipChange::Remove(id) => {
                next.learners.remove(&id);
                next.retired.insert(id);
            }
            MembershipChange::Promote(id) => {
                next.voters.insert(id);
            }
            MembershipChange::Demote(id) => {
                next.retired.insert(id);
            }
            MembershipChange::Exchange { old, new } => {
                next.voters.insert(new);
                next.retired.insert(old);
            }
            MembershipChange::ExchangeTwo { old, new } => {
                next.voters.insert(new);
                next.retired.extend(old);
            }
            MembershipChange::DemoteTwo(old) => next.retired.extend(old),
        }
        if next.next_voters().next().is_none() {
            return Err(Error::refused_change("the last voter can't be demoted"));
        }
        Ok(next)
    }

    /// Returns the members after the change of the voters that is under way: outgoing voters are
    /// learners.
    pub fn after_joint(&self) -> Self {
        let voters: BTreeSet<_> = self.next_voters().collect();
        let is_outgoing = |id: &NodeId| self.voters.contains(id) && !voters.contains(id);
        let outgoing = self.retired.iter().copied().filter(is_outgoing);
        let learners = self.learners.difference(&voters).copied().chain(outgoing).collect();
        let retired = self.retired.iter().copied().filter(|id| !is_outgoing(id)).collect();
        Self { voters, learners, retired, ..self.clone() }
    }
}

/// One round of a 64-bit mixing function with a good avalanche effect.
fn mix_hash(hash: u64, value: u64) -> u64 {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let x = (hash ^ value).wrapping_add(1).wrapping_mul(MULTIPLIER);
    x ^ (x >> 29)
}
