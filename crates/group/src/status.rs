//! What a voter says of itself.

use raft::{Index, Membership, NodeId, Raft, Role, Term};
use std::collections::{BTreeMap, BTreeSet};

/// What a voter knows of itself and its group. It may be outdated; only
/// [`Handle::confirm_leadership`](crate::Handle::confirm_leadership) proves leadership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Status {
    /// This voter.
    pub id: NodeId,
    /// Its role in this term.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// The leader that it knows of.
    pub leader: Option<NodeId>,
    /// Last index known to be committed.
    pub commit: Index,
    /// Last index that the machine has applied.
    pub applied: Index,
    /// First index of the log that isn't compacted.
    pub first_index: Index,
    /// Last index of the log.
    pub last_index: Index,
    /// The members and the epoch of the group.
    pub membership: Membership,
    /// On a leader: up to where each other member holds the log.
    pub matched: BTreeMap<NodeId, Index>,
    /// On a leader: ticks since each other member was last heard of.
    pub silent_ticks: BTreeMap<NodeId, u32>,
    /// On a leader: members that lack entries which they had acknowledged. Replace them.
    pub lost_logs: BTreeSet<NodeId>,
    /// Why the voter takes part in nothing any more, if so.
    pub failure: Option<String>,
    /// Whether the voter's disk was lost; it must join again under a new id.
    pub lost_disk: bool,
    /// Messages dropped because a queue towards another voter was full.
    pub dropped_messages: u64,
}

impl Status {
    pub(crate) fn of(raft: &Raft) -> Self {
        let membership = raft.membership().clone();
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
            matched,
            silent_ticks: raft.silent_ticks().collect(),
            lost_logs: raft.lost_logs().collect(),
            failure: None,
            lost_disk: raft.has_lost_disk(),
            dropped_messages: 0,
        }
    }

    /// Whether the voter leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader && self.failure.is_none()
    }
}
