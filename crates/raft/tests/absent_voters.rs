//! Groups in which voters were set aside, or whose disks are known to be lost.

use raft::{
    Config, Membership, MembershipChange, Message, MessageBody, NodeId, PersistedState, Raft,
    joining::{GroupView, Presence, SilenceLimits, next_join_step, next_upkeep_step},
};
use std::collections::{BTreeMap, BTreeSet};

const LIMITS: SilenceLimits =
    SilenceLimits { lost: 6, absent: 20, listening: 600, forgotten: 6_000 };

/// What a leader knows of its group. Members that aren't silent answer.
struct Known {
    members: Membership,
    silent: BTreeMap<NodeId, (u32, Presence)>,
    addresses: BTreeMap<NodeId, String>,
    target_voters: usize,
}

impl Known {
    fn new(members: Membership, target_voters: usize) -> Self {
        let addresses = members.nodes().map(|id| (id, format!("10.0.0.{id}:1"))).collect();
        Self { members, silent: BTreeMap::new(), addresses, target_voters }
    }

    fn with_view<T>(&self, f: impl FnOnce(GroupView<'_>) -> T) -> T {
        let is_silent = |id: &NodeId| self.silent.contains_key(id);
        let reachable: BTreeSet<NodeId> =
            self.members.nodes().filter(|id| !is_silent(id)).collect();
        let learners = &self.members.learners;
        let answering: BTreeSet<NodeId> = learners.intersection(&reachable).copied().collect();
        f(GroupView {
            members: &self.members,
            silent_ticks: &self.silent.iter().map(|(id, (ticks, _))| (*id, *ticks)).collect(),
            reachable: &reachable,
            caught_up: &answering,
            confirmed: &answering,
            addresses: &self.addresses,
            target_voters: self.target_voters,
            presence: &self.silent.iter().map(|(id, (_, p))| (*id, *p)).collect(),
            known_lost: &BTreeSet::new(),
            limits: LIMITS,
        })
    }
}

/// Members after these changes, each of which is complete.
fn members(voters: NodeId, changes: &[MembershipChange]) -> Membership {
    changes.iter().fold(Membership::initial(1, 1..=voters), |members, change| {
        let next = members.after(*change).expect("a valid change");
        if next.is_joint() { next.after_joint() } else { next }
    })
}

/// A member that has joined again with an empty disk, and is catching up, was removed as one whose
/// disk is lost: it has the address of the voter that it replaces.
#[test]
fn a_learner_that_replaces_a_lost_disk_at_its_address_is_not_removed() {
    let mut known = Known::new(members(5, &[MembershipChange::AddLearner(6)]), 5);
    known.addresses.insert(6, known.addresses[&5].clone());
    known.silent.insert(5, (30, Presence::Listening));
    assert_eq!(known.with_view(next_upkeep_step), None);
}

/// Hands a message of the group to a node.
fn deliver(raft: &mut Raft, from: NodeId, term: u64, body: MessageBody) {
    let group = raft.membership().group;
    raft.step(Message { group, from, to: raft.id(), term, body });
}

/// Processes all output of a node, as if its disk were synced.
fn settle(raft: &mut Raft) {
    while raft.ready().is_some() {
        raft.persisted();
    }
}

/// Node 1 leads by the votes of a half of `voters`, among which 2 is known to be lost. The other
/// ones of these are silent. Node 9, at the address of 2, has caught up.
fn check_lost_voter_is_replaced(voters: NodeId, half: &[NodeId], target_voters: usize) {
    let disk = PersistedState::bootstrap(Membership::initial(1, 1..=voters));
    let mut raft = Raft::new(Config::new(1), disk);
    raft.note_lost_disk(2);
    while !raft.is_leader() {
        raft.tick();
        for id in half {
            let term = raft.term();
            deliver(&mut raft, *id, term + 1, MessageBody::PreVoteResponse { granted: true });
            let term = raft.term();
            deliver(&mut raft, *id, term, MessageBody::VoteResponse { granted: true });
        }
        settle(&mut raft);
    }
    let hear_from = |raft: &mut Raft, ids: &[NodeId]| {
        let (term, matched) = (raft.term(), raft.last_index());
        for id in ids {
            deliver(raft, *id, term, MessageBody::AppendAccepted { matched });
        }
        settle(raft);
    };
    hear_from(&mut raft, half);
    raft.propose_change(MembershipChange::AddLearner(9)).expect("a change");
    settle(&mut raft);
    hear_from(&mut raft, &[half, &[9]].concat());
    assert!(raft.is_caught_up(9) && raft.is_reachable(9));

    let mut known = Known::new(raft.membership().clone(), target_voters);
    known.addresses.insert(9, known.addresses[&2].clone());
    known.silent.insert(2, (30, Presence::Listening));
    let others = (3..=voters).filter(|id| !half.contains(id));
    known.silent.extend(others.map(|id| (id, (30, Presence::Refused))));
    let step = known.with_view(|view| next_join_step(view, 9, &known.addresses[&9]));
    let change = step.expect("a change");
    raft.propose_change(change).unwrap_or_else(|err| panic!("{change:?}: {err}"));
}

/// A group of two voters, of which one had lost its disk, was led by the other one and never gave
/// the vote to the node that joined at the same address, or to any other. All that it acknowledged
/// was on a single disk.
#[test]
fn a_leader_by_one_of_two_voters_replaces_the_lost_one() {
    check_lost_voter_is_replaced(2, &[], 3);
}

/// The node that joined in place of a lost one of four voters got no vote while another one was
/// down, so that what the group acknowledged meanwhile depended on two disks for longer than the
/// loss of the first one counts.
#[test]
fn a_leader_by_two_of_four_voters_replaces_the_lost_one_while_another_is_down() {
    check_lost_voter_is_replaced(4, &[3], 5);
}
