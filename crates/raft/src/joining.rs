//! Selects the membership changes that keep a group at its size when nodes lose their disks.
//!
//! A node that lost its disk must rejoin under a new id, as it may have voted under the old one.
//! The leader calls these functions to choose which member the new node replaces. They are pure
//! functions: the caller proposes the resulting changes.

use crate::{Membership, NodeId};
use std::collections::BTreeMap;

/// A leader's knowledge of its group.
#[derive(Clone, Copy, Debug)]
pub struct GroupView<'a> {
    /// The current members.
    pub members: &'a Membership,
    /// Ticks since the last message from each other member; see
    /// [`Raft::silent_ticks`](crate::Raft::silent_ticks).
    pub silent_ticks: &'a BTreeMap<NodeId, u32>,
    /// Last known address of each node.
    pub addresses: &'a BTreeMap<NodeId, String>,
    /// Number of voters that the group should have.
    pub target_voters: usize,
    /// Ticks of silence after which a member may be replaced; must exceed the duration of an
    /// election.
    pub replace_after_ticks: u32,
}

/// How a node that wants to join becomes a voter.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JoinAction {
    /// As an additional voter.
    Add,
    /// In place of this member, which is removed once the new node is a voter.
    Replace(NodeId),
}

/// Plans how to admit a node; `None` if it is a voter already.
///
/// The node replaces the member that was last known at the same address: that one's disk is
/// lost. Otherwise, if the group has at least `target_voters` voters, it replaces the voter that
/// has been silent the longest, provided that it reached `replace_after_ticks`. In all other
/// cases it is added.
pub fn plan_join(view: GroupView<'_>, id: NodeId, address: &str) -> Option<JoinAction> {
    if view.members.is_voter(id) {
        return None;
    }
    let is_former_node_at_address =
        |n: &NodeId| *n != id && view.addresses.get(n).is_some_and(|a| a == address);
    let former = view.members.nodes().find(is_former_node_at_address);
    let replaced = former.or_else(|| {
        longest_silent_voter(view).filter(|_| view.members.voters.len() >= view.target_voters)
    });
    Some(replaced.map_or(JoinAction::Add, JoinAction::Replace))
}

/// Returns a silent voter to remove if the group has more than `target_voters` voters.
///
/// Such a voter is left over if leadership changed after its replacement was promoted and before
/// it was removed itself. It never responds, yet it raises the quorum.
pub fn surplus_voter(view: GroupView<'_>) -> Option<NodeId> {
    longest_silent_voter(view).filter(|_| view.members.voters.len() > view.target_voters)
}

/// The voter that has been silent the longest, if for at least `replace_after_ticks`.
fn longest_silent_voter(view: GroupView<'_>) -> Option<NodeId> {
    let silent = view.silent_ticks.iter().filter(|(_, ticks)| **ticks >= view.replace_after_ticks);
    let silent_voters = silent.filter(|(id, _)| view.members.is_voter(**id));
    silent_voters.max_by_key(|(_, ticks)| **ticks).map(|(id, _)| *id)
}
