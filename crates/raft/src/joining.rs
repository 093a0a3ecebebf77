//! Chooses the membership changes that keep a group at its size, and able to commit, while nodes are
//! replaced.
//!
//! A node that lost its disk must join again under a new id, as it may have voted under the old one.
//! Nodes are also replaced as planned: a successor joins first, then its predecessor leaves. The leader
//! calls these functions each time that a node asks to join or to leave, and proposes the change that
//! they return. They are pure functions of what a leader knows, so a new leader goes on where the last
//! one ended.
//!
//! The changes keep the voters whose disks are whole a quorum at every step, wherever the tolerated number of
//! disks is lost:
//!
//! - A voter that doesn't answer is exchanged for another node. It may be gone for good, or come back with its
//!   disk. In the joint membership both cases leave a quorum, also if the new node is lost as well; see
//!   [`Membership`].
//! - Of several voters that don't answer, the one that is gone is exchanged. A voter that keeps its vote although its
//!   disk is gone costs as much as a lost disk, and so does a whole disk without a vote. What tells them
//!   apart is their [`Presence`]: a process that is there has its disk. Where that doesn't tell, the exchange
//!   waits a while, as some of them may come back.
//! - A voter that answers is removed after another node has been promoted, as each of the two steps
//!   then tolerates as many losses as a group of its usual size.
//! - A group with more voters than it should have first removes one that doesn't answer.
//! - A group that has all of its voters grows only if every one of them has answered since the new node was
//!   added. So a node whose predecessor has just been lost waits until the leader notices.
//!
//! [`Raft::propose_change`](crate::Raft::propose_change) refuses any change after which the voters that
//! answer would be no majority without the new one.

use crate::{Membership, MembershipChange, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// What is known of a voter that doesn't answer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Presence {
    /// Its process is there, and may be suspended.
    Listening,
    /// Its host is there, and its process isn't: it may be about to start again.
    Refused,
    /// Its host doesn't respond: it is down, cut off or gone.
    Unreachable,
}

/// Ticks of silence after which voters are replaced.
#[derive(Clone, Copy, Debug)]
pub struct ReplaceAfter {
    /// If it is the only one that may be gone.
    pub alone: u32,
    /// If several may be gone: time for those that aren't to come back.
    pub among_several: u32,
    /// If its process is there all the time.
    pub listening: u32,
}

/// A leader's knowledge of its group.
#[derive(Clone, Copy, Debug)]
pub struct GroupView<'a> {
    /// The current members.
    pub members: &'a Membership,
    /// Ticks since the last message from each other member; see
    /// [`Raft::silent_ticks`](crate::Raft::silent_ticks).
    pub silent_ticks: &'a BTreeMap<NodeId, u32>,
    /// Members that answer, the leader included; see
    /// [`Raft::is_reachable`](crate::Raft::is_reachable).
    pub reachable: &'a BTreeSet<NodeId>,
    /// Learners that can be promoted; see [`Raft::is_caught_up`](crate::Raft::is_caught_up).
    pub caught_up: &'a BTreeSet<NodeId>,
    /// Learners since whose addition every reachable voter has answered; see
    /// [`Raft::is_confirmed_by_reachable`](crate::Raft::is_confirmed_by_reachable).
    pub confirmed: &'a BTreeSet<NodeId>,
    /// Last known address of each node.
    pub addresses: &'a BTreeMap<NodeId, String>,
    /// Number of voters that the group should have.
    pub target_voters: usize,
    /// What is known of the voters that don't answer. As long as it lacks one of them, none is
    /// replaced, except by a node at its own address.
    pub presence: &'a BTreeMap<NodeId, Presence>,
    /// Ticks of silence after which a voter may be replaced.
    pub replace_after: ReplaceAfter,
}

/// Returns the next change on the way of a node to a vote, or `None` if there is none to make now: the
/// node is a voter or retired, has to catch up first, or has to wait for other voters or for an
/// exchange. It asks again then.
///
/// The node takes the place of members that were last known at the same address: their disks are lost.
/// Otherwise, if the group has at least `target_voters` voters, it takes the place of the silent voter that is most
/// likely gone, once that has been silent for long enough; see [`ReplaceAfter`]. If all voters answer, it
/// becomes an additional one, whose predecessor is expected to leave; see [`next_leave_step`].
pub fn next_join_step(view: GroupView<'_>, id: NodeId, address: &str) -> Option<MembershipChange> {
    let members = view.members;
    if members.is_voter(id) || members.retired.contains(&id) || members.is_joint() {
        return None;
    }
    if let Some(former) = former_node(view, &members.learners, id, address) {
        return Some(MembershipChange::Remove(former));
    }
    if !members.contains(id) {
        return Some(MembershipChange::AddLearner(id));
    }
    if !view.caught_up.contains(&id) {
        return None;
    }
    if let Some(former) = former_node(view, &members.voters, id, address) {
        return Some(replace(view, former, id));
    }
    let reachable = members.voters.intersection(view.reachable).count();
    let is_confirmed = view.confirmed.contains(&id);
    let may_grow = match members.voters.len() < view.target_voters {
        true => reachable >= members.voters_needed_to_grow(),
        false => is_confirmed && reachable == members.voters.len(),
    };
    if may_grow {
        return Some(MembershipChange::Promote(id));
    }
    // The node's predecessor may still count as reachable.
    replaceable_voter(view).filter(|_| is_confirmed).map(|former| replace(view, former, id))
}

/// The change by which a learner takes the place of a voter that doesn't answer. The voter is only removed
/// if the group is larger than it should be.
fn replace(view: GroupView<'_>, old: NodeId, new: NodeId) -> MembershipChange {
    match view.members.voters.len() > view.target_voters {
        true => MembershipChange::Remove(old),
        false => MembershipChange::Exchange { old, new },
    }
}

/// What a leader does for a node whose process is about to end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaveStep {
    /// Makes this change; the process asks again once it is committed.
    Change(MembershipChange),
    /// Keeps the node as a member; the process may end.
    Keep,
    /// Keeps the node for now: another one is joining, a voter is being exchanged, the voters that answer are
    /// no majority without it, or its removal isn't known to be committed. The process should ask again.
    Wait,
}

/// Plans how a node leaves the group before its process ends.
///
/// A voter is removed only if the group has more than `target_voters` voters, that is, if its successor
/// has joined; a learner that could succeed it is promoted first. Otherwise the process may just restart,
/// and the node keeps its vote. For a learner, the voter that it was to replace is removed as well.
pub fn next_leave_step(view: GroupView<'_>, id: NodeId, address: &str) -> LeaveStep {
    let members = view.members;
    if members.is_joint() {
        return LeaveStep::Wait;
    }
    // A node that is no member may be a former one, whose request comes late, of a machine that has joined
    // again.
    if members.learners.contains(&id)
        && let Some(former) = former_node(view, &members.voters, id, address)
    {
        return LeaveStep::Change(MembershipChange::Remove(former));
    }
    if members.learners.contains(&id) {
        return LeaveStep::Change(MembershipChange::Remove(id));
    }
    if members.retired.contains(&id) {
        return LeaveStep::Wait;
    }
    if !members.is_voter(id) {
        return LeaveStep::Keep;
    }
    let voters = members.voters.len();
    if voters > view.target_voters {
        return LeaveStep::Change(MembershipChange::Remove(id));
    }
    let reachable = members.voters.intersection(view.reachable).count();
    let is_silent = |id: &NodeId| {
        view.silent_ticks.get(id).is_some_and(|ticks| *ticks >= view.replace_after.alone)
    };
    let mut joining = members.learners.iter().filter(|learner| !is_silent(learner)).peekable();
    let has_joining = joining.peek().is_some();
    if let Some(successor) = joining.find(|learner| view.caught_up.contains(learner))
        && reachable >= members.voters_needed_to_grow()
    {
        return LeaveStep::Change(MembershipChange::Promote(*successor));
    }
    let others = reachable - usize::from(view.reachable.contains(&id));
    let is_spared = others > voters / 2 || voters == 1;
    match is_spared && !has_joining {
        true => LeaveStep::Keep,
        false => LeaveStep::Wait,
    }
}

/// Returns a silent voter to remove if the group has more than `target_voters` voters.
///
/// Such a voter is left over if it ended without leaving after its successor had joined. It raises
/// the number of voters that a majority needs, so its removal never makes the group less tolerant.
pub fn surplus_voter(view: GroupView<'_>) -> Option<NodeId> {
    let has_surplus = view.members.voters.len() > view.target_voters && !view.members.is_joint();
    replaceable_voter(view).filter(|_| has_surplus)
}

/// Another node among `ids` with the address of node `id`: one whose disk was lost before.
fn former_node(
    view: GroupView<'_>,
    ids: &BTreeSet<NodeId>,
    id: NodeId,
    address: &str,
) -> Option<NodeId> {
    let mut others = ids.iter().filter(|other| **other != id);
    others.find(|other| view.addresses.get(other).is_some_and(|a| a == address)).copied()
}

/// The silent voter whose place another node may take, or that may be removed, if it can be told by now.
fn replaceable_voter(view: GroupView<'_>) -> Option<NodeId> {
    let silence = |id: NodeId| view.silent_ticks.get(&id).copied().unwrap_or(0);
    let silent = view.members.voters.difference(view.reachable).copied();
    let silent: Option<Vec<(Presence, u32, NodeId)>> =
        silent.map(|id| Some((*view.presence.get(&id)?, silence(id), id))).collect();
    let (listening, absent): (Vec<_>, Vec<_>) =
        silent?.into_iter().partition(|(presence, ..)| *presence == Presence::Listening);
    let after = view.replace_after;
    let (candidates, after_ticks) = match absent.len() {
        0 => (listening, after.listening),
        1 => (absent, after.alone),
        _ if absent.iter().all(|(_, ticks, _)| *ticks >= after.among_several) => {
            (absent, after.among_several)
        }
        _ => return None,
    };
    let due = candidates.into_iter().filter(|(_, ticks, _)| *ticks >= after_ticks);
    due.max().map(|(.., id)| id)
}
