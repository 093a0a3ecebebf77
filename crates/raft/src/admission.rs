//! Which changes of the members keep a group at its size while disks are lost.
//!
//! A node that lost its disk comes back under a new id, as it may have voted under the old
//! one. The leader decides with these functions whom it replaces; they change nothing
//! themselves.

use crate::{Membership, NodeId};
use std::collections::BTreeMap;

/// What a leader knows of its group.
#[derive(Clone, Copy, Debug)]
pub struct GroupView<'a> {
    /// The members.
    pub members: &'a Membership,
    /// Ticks since each other member was last heard of.
    pub silent_ticks: &'a BTreeMap<NodeId, u32>,
    /// Where each node was last reached.
    pub addresses: &'a BTreeMap<NodeId, String>,
    /// Voters that the group needs.
    pub target_voters: usize,
    /// Ticks of silence after which a member may be replaced: longer than an election.
    pub replace_after_ticks: u32,
}

/// How a node becomes a voter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JoinAction {
    /// Beside the others.
    Add,
    /// In place of one that is removed once the new one has a vote.
    Replace(NodeId),
}

/// How to admit a node; `None` if it is a voter.
///
/// It replaces a former node at the same address, whose disk is lost. If the group has all
/// voters that it needs, it replaces the one that has been silent the longest, or is added
/// if none was silent for long. Otherwise it is added.
pub fn plan_join(view: GroupView<'_>, id: NodeId, address: &str) -> Option<JoinAction> {
    if view.members.is_voter(id) {
        return None;
    }
    let is_former = |n: &NodeId| *n != id && view.addresses.get(n).is_some_and(|a| a == address);
    let former = view.members.nodes().find(is_former);
    let replaced =
        former.or_else(|| silent(view).filter(|_| view.members.voters.len() >= view.target_voters));
    Some(replaced.map_or(JoinAction::Add, JoinAction::Replace))
}

/// A voter that is to be removed: one that was replaced while the leader changed, so that
/// nobody removed it. It would count for the majority, and never answer.
pub fn surplus_voter(view: GroupView<'_>) -> Option<NodeId> {
    silent(view).filter(|_| view.members.voters.len() > view.target_voters)
}

/// The voter that has been silent the longest, if that is long enough.
fn silent(view: GroupView<'_>) -> Option<NodeId> {
    let silent = view.silent_ticks.iter().filter(|(_, ticks)| **ticks >= view.replace_after_ticks);
    let silent = silent.filter(|(id, _)| view.members.is_voter(**id));
    silent.max_by_key(|(_, ticks)| **ticks).map(|(id, _)| *id)
}
