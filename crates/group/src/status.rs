//! The status that a node publishes.

use raft::{Index, Membership, NodeId, Raft, Role, Term};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// A node's knowledge of itself and its group. It may be outdated: only
/// [`Handle::confirm_leadership`](crate::Handle::confirm_leadership) confirms leadership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// Id of this node.
    pub id: NodeId,
    /// Role in the current term.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// Leader of the current term, if known; `None` on a node that has stopped.
    pub leader: Option<NodeId>,
    /// Last index known to be committed.
    pub commit: Index,
    /// Last index that the state machine has applied or is applying.
    pub applied: Index,
    /// First log index that isn't compacted.
    pub first_index: Index,
    /// Last log index.
    pub last_index: Index,
    /// Members and epoch of the group.
    pub membership: Membership,
    /// Index of the entry that holds the members.
    pub membership_index: Index,
    /// Whether the last change of the members is known to be committed.
    pub is_membership_committed: bool,
    /// On a candidate: the voters that have answered its last request for votes, and whether each would
    /// vote for it.
    pub votes: BTreeMap<NodeId, bool>,
    /// Voters whose disks are known to be lost; see [`Raft::note_lost_disk`].
    pub known_lost: BTreeSet<NodeId>,
    /// Last index of each other member, as of its latest request for votes since a leader was known.
    pub candidate_logs: BTreeMap<NodeId, Index>,
    /// On a leader: last index up to which each other member is known to hold the log on disk.
    pub matched: BTreeMap<NodeId, Index>,
    /// On a leader: ticks since the last message from each other member.
    pub silent_ticks: BTreeMap<NodeId, u32>,
    /// On a leader: members that answer, itself included; see [`Raft::is_reachable`].
    pub reachable: BTreeSet<NodeId>,
    /// On a leader: learners that can be promoted; see [`Raft::is_caught_up`].
    pub caught_up: BTreeSet<NodeId>,
    /// On a leader: learners since whose addition every reachable voter has answered; see
    /// [`Raft::is_confirmed_by_reachable`].
    pub confirmed: BTreeSet<NodeId>,
    /// On a leader: members that lack entries which they had acknowledged. They must be replaced.
    pub lost_logs: BTreeSet<NodeId>,
    /// Why the node failed and stopped, if it did: a failure of its disk or state machine, or a panic of
    /// its thread.
    pub failure: Option<String>,
    /// Whether the node's disk was lost. The node must then join again under a new id.
    pub lost_disk: bool,
    /// When the node's thread published this; `None` on a node that has stopped.
    pub published_at: Option<Instant>,
    /// Ticks since the node started.
    pub ticks: u64,
    /// Number of outgoing messages dropped because the outbox was full or closed.
    pub dropped_messages: u64,
}

impl Status {
    pub(crate) fn of(raft: &Raft, now: Instant) -> Self {
        let membership = raft.membership().clone();
        let is_reachable = |id: &NodeId| raft.is_leader() && raft.is_reachable(*id);
        let reachable = membership.nodes().filter(is_reachable).collect();
        let learners = || membership.learners.difference(&membership.voters).copied();
        let caught_up = learners().filter(|id| raft.is_caught_up(*id)).collect();
        let confirmed = learners().filter(|id| raft.is_confirmed_by_reachable(*id)).collect();
        let matched = membership.nodes().filter_map(|id| Some((id, raft.matched(id)?))).collect();
        Self {
            id: raft.id(),
            role: raft.role(),
            term: raft.term(),
            leader: raft.leader(),
            commit: raft.commit(),
            applied: raft.applied(),
            first_index: raft.first_index(),
            last_index: raft.last_index(),
            membership,
            membership_index: raft.membership_index(),
            is_membership_committed: raft.is_membership_committed(),
            votes: raft.votes().clone(),
            known_lost: raft.known_lost().clone(),
            candidate_logs: raft.candidate_logs().clone(),
            matched,
            silent_ticks: raft.silent_ticks().collect(),
            reachable,
            caught_up,
            confirmed,
            lost_logs: raft.lost_logs().collect(),
            failure: None,
            lost_disk: raft.has_lost_disk(),
            published_at: Some(now),
            ticks: 0,
            dropped_messages: 0,
        }
    }

    /// The status at `now`. The thread of a node that has published none for `max_pause` waits for its disk: the others
    /// may have elected another leader, so the node counts as one that neither leads nor knows the leader.
    pub(crate) fn as_of(&self, now: Instant, max_pause: Option<Duration>) -> Self {
        let mut status = self.clone();
        let pause = self.published_at.map(|at| now.saturating_duration_since(at));
        if max_pause.is_none_or(|max_pause| pause < Some(max_pause)) {
            return status;
        }
        match self.is_leader() {
            true => status.end(None),
            false => status.leader = None,
        }
        status.published_at = self.published_at;
        status
    }

    /// Changes the status into that of a node that has stopped, which no longer leads and knows no leader.
    pub(crate) fn end(&mut self, failure: Option<String>) {
        self.role = Role::Follower;
        self.leader = None;
        self.votes.clear();
        self.matched.clear();
        self.silent_ticks.clear();
        self.reachable.clear();
        self.caught_up.clear();
        self.confirmed.clear();
        self.lost_logs.clear();
        self.published_at = None;
        self.failure = failure;
    }

    /// Whether the node considers itself the leader and hasn't failed.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader && self.failure.is_none()
    }
}
