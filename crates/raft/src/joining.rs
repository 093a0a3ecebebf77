//! Chooses the membership changes that keep a group at its size, and able to commit, while nodes
//! are replaced.
//!
//! A node that lost its disk must join again under a new id, as it may have voted under the old
//! one. Nodes are also replaced as planned: a successor joins first, then its predecessor leaves.
//! The leader calls these functions each time that a node asks to join or to leave, and now and
//! then, and proposes the change that they return. They are pure functions of what a leader knows,
//! so a new leader goes on where the last one ended.
//!
//! The changes keep the voters whose disks are whole a quorum at every step, wherever the tolerated
//! number of disks is lost:
//!
//! - A voter whose disk is known to be lost is set aside at once, as long as [enough
//!   voters](GroupView::min_voters) are left. That needs a quorum, and neither a successor nor a
//!   learner that catches up in time. If too few would be left, a successor takes its vote before
//!   it has caught up: it has a new id, so it may vote with an empty log.
//! - An absent voter is exchanged for another node. It may be gone for good, or come back with its
//!   disk. In the joint membership both cases leave a quorum, also if the new node is lost as well;
//!   see [`Membership`]. If it is the only one, and its host doesn't respond, it is set aside while
//!   the node catches up.
//! - A voter that loses its vote because it is absent becomes a learner. It keeps its id and its
//!   disk, and is promoted again once it answers. Only a learner whose disk is known to be lost,
//!   which leaves as planned or which has been silent for very long is removed.
//! - Of several absent voters, one may be gone for good and another one come back with its disk,
//!   and nothing tells them apart. A group that counts the former and not the latter depends on a
//!   disk too many. So two of them become learners, as long as [enough
//!   voters](GroupView::min_voters) are left: these answer. Both are exchanged for the new node in
//!   one change, as either order of two changes counts a disk too few in between. The same holds
//!   for a voter that leaves as planned beside a learner that was set aside before.
//! - A process that accepts connections has its disk, even if it is suspended, and keeps its vote;
//!   see [`Presence`].
//! - A voter that answers and leaves as planned loses its vote after another node has been
//!   promoted, as each of the two steps then tolerates as many losses as a group of its usual size.
//! - A group that has all of its voters grows only if every one of them has answered since the new
//!   node was added. So a node whose predecessor has just been lost waits until the leader notices.
//!
//! [`Raft::propose_change`](crate::Raft::propose_change) refuses any change after which the voters
//! that answer would be no quorum without the new one.

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

/// Ticks of silence after which members are replaced or removed.
#[derive(Clone, Copy, Debug)]
pub struct SilenceLimits {
    /// After which a voter whose disk is said to be lost is believed to be: less than `absent`, and
    /// enough for a voter that answers to be heard.
    pub lost: u32,
    /// After which a voter is absent, unless its process is there.
    pub absent: u32,
    /// After which a voter is absent although its process is there all the time.
    pub listening: u32,
    /// After which a learner isn't expected to come back.
    pub forgotten: u32,
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
    /// Number of voters that the group should have, an odd number.
    pub target_voters: usize,
    /// What is known of the voters that don't answer. As long as it lacks one of them, none is
    /// replaced, except by a node at its own address.
    pub presence: &'a BTreeMap<NodeId, Presence>,
    /// Voters whose disks are known to be lost; see
    /// [`Raft::note_lost_disk`](crate::Raft::note_lost_disk).
    pub known_lost: &'a BTreeSet<NodeId>,
    /// Ticks of silence after which members are replaced or removed.
    pub limits: SilenceLimits,
}

impl GroupView<'_> {
    /// Number of voters below which no voter is set aside: twice the number of losses that
    /// [`target_voters`](Self::target_voters) tolerate. A majority of them is one more than these
    /// losses.
    pub fn min_voters(&self) -> usize {
        self.target_voters.saturating_sub(1).max(1)
    }

    fn may_set_aside(&self) -> bool {
        self.members.voters.len() > self.min_voters()
    }

    fn silence(&self, id: NodeId) -> u32 {
        self.silent_ticks.get(&id).copied().unwrap_or(0)
    }

    /// Whether the processes of all voters that don't answer are there.
    fn are_silent_voters_there(&self) -> bool {
        let mut silent = self.members.voters.difference(self.reachable);
        silent.all(|id| self.presence.get(id) == Some(&Presence::Listening))
    }

    /// The voter that has been silent for longest among those whose disks are known to be lost, or
    /// that have the address of another node.
    fn lost_voter(&self, has_other_node: impl Fn(NodeId) -> bool) -> Option<NodeId> {
        let voters = self.members.voters.difference(self.reachable).copied();
        let is_lost = |id: &NodeId| self.known_lost.contains(id) || has_other_node(*id);
        let lost = voters.filter(|id| is_lost(id) && self.silence(*id) >= self.limits.lost);
        lost.max_by_key(|id| (self.silence(*id), *id))
    }

    /// Number of voters that answer.
    fn reachable_voters(&self) -> usize {
        self.members.voters.intersection(self.reachable).count()
    }

    fn is_at(&self, id: NodeId, address: &str) -> bool {
        self.addresses.get(&id).is_some_and(|known| known == address)
    }

    /// Another node among `ids` with the address of node `id`: one whose disk was lost before.
    fn former_node(&self, ids: &BTreeSet<NodeId>, id: NodeId, address: &str) -> Option<NodeId> {
        ids.iter().copied().find(|other| *other != id && self.is_at(*other, address))
    }

    /// Whether the disk of a silent learner is lost, as a voter has its address that was heard
    /// later. A learner that has just been added may not have answered yet when the last answer of
    /// its former node arrives.
    fn is_lost_learner(&self, id: NodeId) -> bool {
        let silence = self.silence(id);
        let is_successor = |voter: &NodeId, address: &str| {
            self.is_at(*voter, address) && self.silence(*voter) < silence
        };
        let has_successor =
            |address: &String| self.members.voters.iter().any(|voter| is_successor(voter, address));
        silence >= self.limits.absent
            && !self.members.is_voter(id)
            && self.addresses.get(&id).is_some_and(has_successor)
    }

    /// Whether a learner doesn't answer that is about to come back with its disk.
    fn has_absent_learner(&self) -> bool {
        let absent = self.limits.absent..self.limits.listening;
        let is_lost = |id: NodeId| self.known_lost.contains(&id) || self.is_lost_learner(id);
        let mut learners = self.members.learners.iter().filter(|id| !is_lost(**id));
        learners.any(|id| absent.contains(&self.silence(*id)))
    }

    /// The absent voters, with the one that is most likely gone at the end; none until all of them
    /// have been silent for long enough.
    fn absent_voters(&self) -> Vec<NodeId> {
        let silent = self.members.voters.difference(self.reachable).copied();
        let known: Option<Vec<(Presence, u32, NodeId)>> =
            silent.map(|id| Some((*self.presence.get(&id)?, self.silence(id), id))).collect();
        let (mut listening, mut absent): (Vec<_>, Vec<_>) = known
            .unwrap_or_default()
            .into_iter()
            .partition(|(presence, ..)| *presence == Presence::Listening);
        if absent.is_empty() {
            listening.retain(|(_, ticks, _)| *ticks >= self.limits.listening);
            return listening.into_iter().max().map(|(.., id)| id).into_iter().collect();
        }
        if absent.iter().any(|(_, ticks, _)| *ticks < self.limits.absent) {
            return Vec::new();
        }
        absent.sort_unstable();
        absent.into_iter().map(|(.., id)| id).collect()
    }
}

/// Returns the next change on the way of a node to a vote, or `None` if there is none to make now:
/// the node is a voter or retired, has to catch up first, or has to wait for other voters or for a
/// change of the voters that is under way. It asks again then.
///
/// Members that were last known at the node's address have lost their disks. They are set aside and
/// removed first. Then the node takes the place of a voter whose disk is known to be lost, or
/// otherwise, if the group has enough voters, of an absent voter, or of two of them. If all voters
/// answer, the node becomes an additional one, whose predecessor is expected to leave; see
/// [`next_leave_step`].
pub fn next_join_step(view: GroupView<'_>, id: NodeId, address: &str) -> Option<MembershipChange> {
    let members = view.members;
    if members.is_voter(id) || members.retired.contains(&id) || members.is_joint() {
        return None;
    }
    // Otherwise the request is a late one of a former node.
    let is_former = |voter: NodeId| view.silence(voter) > view.silence(id);
    let lost = view.lost_voter(|voter| view.is_at(voter, address) && is_former(voter));
    let is_caught_up = view.caught_up.contains(&id);
    let former = view.former_node(&members.voters, id, address);
    match lost.or(former.filter(|voter| is_caught_up && is_former(*voter))) {
        Some(lost) if is_caught_up => return Some(replace(view, lost, id)),
        Some(lost) if view.may_set_aside() => return Some(MembershipChange::Demote(lost)),
        _ => {}
    }
    if let Some(former) = view.former_node(&members.learners, id, address) {
        return Some(MembershipChange::Remove(former));
    }
    if !members.contains(id) {
        return Some(MembershipChange::AddLearner(id));
    }
    if let Some(lost) = lost {
        let may_vote = may_vote_before_catching_up(view, lost, id);
        return may_vote.then_some(MembershipChange::Exchange { old: lost, new: id });
    }
    let is_confirmed = view.confirmed.contains(&id);
    if !is_caught_up {
        // The group doesn't depend on the only absent voter while the node catches up. One whose
        // host responds is about to start again.
        let is_usual = members.voters.len() == view.target_voters && view.may_set_aside();
        let absent = if is_confirmed && is_usual { view.absent_voters() } else { Vec::new() };
        return match absent[..] {
            [absent] if view.presence.get(&absent) == Some(&Presence::Unreachable) => {
                Some(MembershipChange::Demote(absent))
            }
            _ => None,
        };
    }
    if former.is_some() {
        return None;
    }
    let reachable = view.reachable_voters();
    let may_grow = match members.voters.len() < view.target_voters {
        // An absent voter may be gone. It loses its vote to the node, so that the group doesn't
        // depend on it.
        true if members.voters.len() >= view.min_voters() && !view.are_silent_voters_there() => {
            false
        }
        true => reachable >= members.voters_needed_to_grow(),
        false => is_confirmed && reachable == members.voters.len(),
    };
    if may_grow {
        return Some(MembershipChange::Promote(id));
    }
    // The node's predecessor may still count as reachable.
    let absent = if is_confirmed { view.absent_voters() } else { Vec::new() };
    match absent[..] {
        [first, second] if members.voters.len() == view.target_voters && view.may_set_aside() => {
            Some(MembershipChange::ExchangeTwo { old: [first, second], new: id })
        }
        [.., old] => Some(replace(view, old, id)),
        [] => None,
    }
}

/// Whether a node that has yet to catch up takes the vote of a lost voter that can't be set aside.
/// A node that catches up soon is better, and so is one that the leader hears. One that it doesn't
/// hear has to ask again after a while, as its first request may come late.
fn may_vote_before_catching_up(view: GroupView<'_>, lost: NodeId, id: NodeId) -> bool {
    let heard = || view.members.learners.intersection(view.reachable);
    let is_unheard = heard().next().is_none() && view.silence(id) >= view.limits.absent;
    view.silence(lost) >= view.limits.absent
        && heard().all(|learner| !view.caught_up.contains(learner))
        && (view.reachable.contains(&id) || is_unheard)
}

/// The change by which a learner takes the place of a voter. The voter is only demoted
/// if the group is larger than it should be.
fn replace(view: GroupView<'_>, old: NodeId, new: NodeId) -> MembershipChange {
    match view.members.voters.len() > view.target_voters {
        true => MembershipChange::Demote(old),
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
    /// Keeps the node for now: another one is joining, the voters are being changed, those that
    /// answer are no majority without it, or its removal isn't known to be committed. The process
    /// should ask again.
    Wait,
}

/// Plans how a node leaves the group before its process ends.
///
/// A voter is removed only if the group has more than `target_voters` voters, that is, if its
/// successor has joined; a learner that could succeed it is promoted first. Otherwise the process
/// may just restart, and the node keeps its vote, unless another member is absent that may be the
/// one which comes back: then the node stays as a learner. A learner that a whole group doesn't
/// need is removed, and so is the voter that it was to replace.
pub fn next_leave_step(view: GroupView<'_>, id: NodeId, address: &str) -> LeaveStep {
    let members = view.members;
    if members.is_joint() {
        return LeaveStep::Wait;
    }
    // A node that is no member may be a former one, whose request comes late, of a machine that has
    // joined again.
    if members.learners.contains(&id) {
        let former_voter = view.former_node(&members.voters, id, address);
        let former_learner = view.former_node(&members.learners, id, address);
        return match (former_voter, former_learner) {
            (Some(former), _) if view.silence(former) <= view.silence(id) => LeaveStep::Wait,
            (Some(former), _) if view.may_set_aside() => {
                LeaveStep::Change(MembershipChange::Demote(former))
            }
            (Some(_), _) => LeaveStep::Keep,
            (None, Some(former)) => LeaveStep::Change(MembershipChange::Remove(former)),
            (None, None) if members.voters.len() < view.target_voters => LeaveStep::Keep,
            (None, None) => LeaveStep::Change(MembershipChange::Remove(id)),
        };
    }
    if members.retired.contains(&id) {
        return LeaveStep::Wait;
    }
    if !members.is_voter(id) {
        return LeaveStep::Keep;
    }
    let voters = members.voters.len();
    if voters > view.target_voters {
        return LeaveStep::Change(MembershipChange::Demote(id));
    }
    let reachable = view.reachable_voters();
    let is_silent = |id: &NodeId| view.silence(*id) >= view.limits.absent;
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
        true if view.has_absent_learner() && view.may_set_aside() => {
            LeaveStep::Change(MembershipChange::Demote(id))
        }
        true => LeaveStep::Keep,
        false => LeaveStep::Wait,
    }
}

/// Returns a change that nobody asks for, if one is due.
///
/// - A learner is removed whose disk is lost, or which has been silent for very long while all
///   voters answer.
/// - A voter whose disk is known to be lost is demoted, if enough voters are left.
/// - An absent voter is demoted if the group has more than `target_voters` voters. It is left over
///   if it ended without leaving after its successor had joined. It raises the number of voters
///   that a majority needs, so this never makes the group less tolerant. Two of them are demoted
///   together, as either may be the one that comes back.
pub fn next_upkeep_step(view: GroupView<'_>) -> Option<MembershipChange> {
    let members = view.members;
    if members.is_joint() {
        return None;
    }
    let mut learners = members.learners.iter().copied();
    if let Some(lost) = learners.find(|id| view.is_lost_learner(*id)) {
        return Some(MembershipChange::Remove(lost));
    }
    if let Some(lost) = view.lost_voter(|_| false).filter(|_| view.may_set_aside()) {
        return Some(MembershipChange::Demote(lost));
    }
    let voters = members.voters.len();
    if voters >= view.target_voters && view.reachable_voters() == voters {
        let is_forgotten = |id: &NodeId| view.silence(*id) >= view.limits.forgotten;
        let forgotten = members.learners.iter().copied().find(is_forgotten);
        return forgotten.map(MembershipChange::Remove);
    }
    if voters <= view.target_voters {
        return None;
    }
    match view.absent_voters()[..] {
        [first, second] if voters - 2 >= view.min_voters() => {
            Some(MembershipChange::DemoteTwo([first, second]))
        }
        [.., absent] => Some(MembershipChange::Demote(absent)),
        [] => None,
    }
}

/// Whether [`next_upkeep_step`] depends on the [`Presence`] of voters that don't answer.
pub fn needs_presence(view: GroupView<'_>) -> bool {
    let voters = view.members.voters.len();
    view.reachable_voters() < voters && voters > view.target_voters
}
