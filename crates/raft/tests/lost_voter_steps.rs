//! Steps for voters whose disks are known to be lost, and for nodes that have yet to catch up.

use raft::{
    Membership, MembershipChange, NodeId,
    joining::{
        GroupView, LeaveStep, Presence, SilenceLimits, next_join_step, next_leave_step,
        next_upkeep_step,
    },
};
use std::collections::{BTreeMap, BTreeSet};

const LIMITS: SilenceLimits =
    SilenceLimits { lost: 6, absent: 20, listening: 600, forgotten: 6_000 };
const TARGET: usize = 5;

/// What a leader knows. Members that have been silent for no tick answer.
#[derive(Clone, Default)]
struct Known {
    members: Membership,
    silent: BTreeMap<NodeId, u32>,
    known_lost: BTreeSet<NodeId>,
    caught_up: BTreeSet<NodeId>,
    unconfirmed: BTreeSet<NodeId>,
    presence: BTreeMap<NodeId, Presence>,
}

impl Known {
    /// Voters from 1 on, and learners.
    fn new(voters: NodeId, learners: &[NodeId]) -> Self {
        let add = |members: Membership, id: &NodeId| {
            members.after(MembershipChange::AddLearner(*id)).expect("a valid change")
        };
        let members = learners.iter().fold(Membership::initial(1, 1..=voters), add);
        Self { members, ..Self::default() }
    }

    fn silent(mut self, silent: &[(NodeId, u32)]) -> Self {
        self.silent = silent.iter().copied().collect();
        self
    }

    fn lost(mut self, lost: NodeId) -> Self {
        self.known_lost.insert(lost);
        self
    }

    fn with_view<T>(&self, f: impl FnOnce(GroupView<'_>) -> T) -> T {
        let members = &self.members;
        let reachable = members.nodes().filter(|id| !self.silent.contains_key(id)).collect();
        f(GroupView {
            members,
            silent_ticks: &self.silent,
            reachable: &reachable,
            caught_up: &self.caught_up,
            confirmed: &members.learners.difference(&self.unconfirmed).copied().collect(),
            addresses: &members.nodes().map(|id| (id, address(id))).collect(),
            target_voters: TARGET,
            presence: &self.presence,
            known_lost: &self.known_lost,
            limits: LIMITS,
        })
    }

    fn join(&self, id: NodeId) -> Option<MembershipChange> {
        self.with_view(|view| next_join_step(view, id, &address(id)))
    }

    fn upkeep(&self) -> Option<MembershipChange> {
        self.with_view(next_upkeep_step)
    }
}

/// Address of a node. Nodes 15 and 25 have that of node 5, node 14 has that of node 4.
fn address(id: NodeId) -> String {
    format!("10.0.0.{}:1", id % 10)
}

/// A lost disk counted until its VM asked to join.
#[test]
fn a_voter_that_is_known_to_be_lost_is_set_aside_without_a_request() {
    let known = |ticks| Known::new(5, &[]).silent(&[(5, ticks)]).lost(5);
    assert_eq!(known(LIMITS.lost).upkeep(), Some(MembershipChange::Demote(5)));
    assert_eq!(known(LIMITS.lost - 1).upkeep(), None);
    let of_four = Known::new(4, &[]).silent(&[(4, LIMITS.absent)]).lost(4);
    assert_eq!(of_four.upkeep(), None);
}

/// A lost disk counted until its VM had caught up.
#[test]
fn a_voter_is_set_aside_once_another_node_asks_from_its_address() {
    let known = |ticks| Known::new(5, &[]).silent(&[(5, ticks)]);
    assert_eq!(known(LIMITS.lost).join(15), Some(MembershipChange::Demote(5)));
    assert_eq!(known(LIMITS.lost - 1).join(15), Some(MembershipChange::AddLearner(15)));
    assert_eq!(known(LIMITS.lost).join(16), Some(MembershipChange::AddLearner(16)));
}

/// The request of a former node, held up in the network, set aside the voter that has its address.
#[test]
fn a_late_request_of_a_former_learner_sets_no_voter_aside() {
    let known = Known::new(5, &[15]).silent(&[(5, LIMITS.absent), (15, 100)]);
    assert_eq!(known.join(15), None);
}

/// A voter that was about to start again lost its vote while another node caught up.
#[test]
fn the_only_absent_voter_is_set_aside_if_its_host_does_not_respond() {
    let known = |presence, ticks| {
        let known = Known::new(5, &[6]).silent(&[(4, ticks)]);
        Known { presence: [(4, presence)].into(), ..known }
    };
    let unreachable = known(Presence::Unreachable, LIMITS.absent);
    assert_eq!(unreachable.join(6), Some(MembershipChange::Demote(4)));
    assert_eq!(known(Presence::Refused, LIMITS.absent).join(6), None);
    assert_eq!(known(Presence::Unreachable, LIMITS.absent - 1).join(6), None);
    // A voter that has been lost just before may still count as reachable.
    assert_eq!(Known { unconfirmed: [6].into(), ..unreachable }.join(6), None);
}

/// Two lost disks of five counted until one of their nodes had caught up.
#[test]
fn a_node_without_a_log_takes_the_vote_of_a_lost_voter_that_cannot_be_set_aside() {
    let exchange = Some(MembershipChange::Exchange { old: 4, new: 14 });
    let known = |ticks| Known::new(4, &[14]).silent(&[(4, ticks)]).lost(4);
    assert_eq!(known(LIMITS.absent).join(14), exchange);
    assert_eq!(known(LIMITS.absent - 1).join(14), None);
}

/// A node that the leader didn't hear got the vote, although it heard another one.
#[test]
fn a_node_that_is_heard_or_caught_up_gets_the_vote_of_a_lost_voter_first() {
    let heard = Known::new(4, &[14, 15]).silent(&[(4, LIMITS.absent), (14, LIMITS.absent)]).lost(4);
    assert_eq!(heard.join(14), None);
    assert_eq!(heard.join(15), Some(MembershipChange::Exchange { old: 4, new: 15 }));
    let caught_up = Known { caught_up: [15].into(), ..Known::new(4, &[14, 15]) };
    let caught_up = caught_up.silent(&[(4, LIMITS.absent)]).lost(4);
    assert_eq!(caught_up.join(14), None);
    // One that is down again doesn't keep the others waiting.
    let down = caught_up.silent(&[(4, LIMITS.absent), (15, LIMITS.absent)]);
    assert_eq!(down.join(14), Some(MembershipChange::Exchange { old: 4, new: 14 }));
}

/// One late request made a node that was gone a voter.
#[test]
fn a_node_that_is_not_heard_has_to_ask_for_a_while_to_get_the_vote_of_a_lost_voter() {
    let known = |ticks| Known::new(4, &[14]).silent(&[(4, 40), (14, ticks)]).lost(4);
    assert_eq!(known(LIMITS.absent - 1).join(14), None);
    assert_eq!(known(LIMITS.absent).join(14), Some(MembershipChange::Exchange { old: 4, new: 14 }));
}

/// A voter that stopped as planned lost its vote beside a learner that was known not to come back.
#[test]
fn a_learner_that_is_known_to_be_lost_is_not_expected_back() {
    let leave = |known: &Known| known.with_view(|view| next_leave_step(view, 3, &address(3)));
    let absent = Known::new(5, &[6]).silent(&[(6, LIMITS.absent)]);
    assert_eq!(leave(&absent), LeaveStep::Change(MembershipChange::Demote(3)));
    assert_eq!(leave(&absent.lost(6)), LeaveStep::Keep);
}
