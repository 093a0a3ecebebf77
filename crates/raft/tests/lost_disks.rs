//! Single steps of a node to which the loss of a voter's disk is known.

mod sim;

use raft::{
    Config, Membership, MembershipChange, Message, MessageBody, NodeId, PersistedState, Raft, Role,
};
use sim::Sim;
use std::collections::BTreeSet;

/// Node 1 of these voters.
fn node(voters: NodeId) -> Raft {
    Raft::new(Config::new(1), PersistedState::bootstrap(Membership::initial(1, 1..=voters)))
}

fn message(raft: &Raft, from: NodeId, body: MessageBody) -> Message {
    Message { group: raft.membership().group, from, to: 1, term: raft.term(), body }
}

fn step(raft: &mut Raft, from: NodeId, body: MessageBody) {
    let message = message(raft, from, body);
    raft.step(message);
}

fn grant_pre_vote(raft: &mut Raft, from: NodeId) {
    let mut message = message(raft, from, MessageBody::PreVoteResponse { granted: true });
    message.term += 1;
    raft.step(message);
}

fn grant_vote(raft: &mut Raft, from: NodeId) {
    step(raft, from, MessageBody::VoteResponse { granted: true });
}

fn tick_until(raft: &mut Raft, role: Role) {
    /// More than the longest election timeout.
    const TICKS: usize = 200;
    for _ in 0..TICKS {
        if raft.role() == role {
            return;
        }
        raft.tick();
    }
    panic!("{:?} in place of {role:?}", raft.role());
}

fn sync(raft: &mut Raft) {
    while raft.ready().is_some() {
        raft.persisted();
    }
}

fn accept(raft: &mut Raft, from: NodeId, matched: u64) {
    step(raft, from, MessageBody::AppendAccepted { matched });
}

/// Node 1 of four voters, which leads with the vote of node 2 alone, as the disk of node 4 is known
/// to be lost.
fn leader_without_4() -> Raft {
    let mut raft = node(4);
    raft.note_lost_disk(4);
    tick_until(&mut raft, Role::PreCandidate);
    grant_pre_vote(&mut raft, 2);
    grant_vote(&mut raft, 2);
    sync(&mut raft);
    raft
}

#[test]
fn half_of_four_voters_elect_a_leader_only_with_a_known_loss() {
    assert!(leader_without_4().is_leader());
    let mut raft = node(4);
    tick_until(&mut raft, Role::PreCandidate);
    grant_pre_vote(&mut raft, 2);
    assert_eq!(raft.role(), Role::PreCandidate);
    // Of five, a loss changes nothing.
    let mut raft = node(5);
    raft.note_lost_disk(5);
    tick_until(&mut raft, Role::PreCandidate);
    grant_pre_vote(&mut raft, 2);
    assert_eq!(raft.role(), Role::PreCandidate);
    grant_pre_vote(&mut raft, 3);
    assert_eq!(raft.role(), Role::Candidate);
}

#[test]
fn only_the_disks_of_other_voters_are_noted_as_lost() {
    let members = Membership::initial(1, 1..=4);
    let members = members.after(MembershipChange::AddLearner(5)).expect("a new node");
    let mut raft = Raft::new(Config::new(1), PersistedState::bootstrap(members));
    for id in [1, 5, 9] {
        raft.note_lost_disk(id);
        assert!(raft.known_lost().is_empty(), "{id}");
    }
    raft.note_lost_disk(4);
    raft.note_lost_disk(4);
    assert_eq!(raft.known_lost(), &BTreeSet::from([4]));
}

/// A vote that was cast before the loss was known may be one of two halves that leave out a voter
/// each.
#[test]
fn a_loss_that_becomes_known_during_a_campaign_counts_from_the_next_one_on() {
    let mut raft = node(4);
    raft.note_lost_disk(3);
    tick_until(&mut raft, Role::PreCandidate);
    grant_pre_vote(&mut raft, 2);
    assert_eq!(raft.role(), Role::Candidate);

    let mut raft = node(4);
    tick_until(&mut raft, Role::PreCandidate);
    grant_pre_vote(&mut raft, 2);
    grant_pre_vote(&mut raft, 3);
    assert_eq!(raft.role(), Role::Candidate);
    grant_vote(&mut raft, 2);
    raft.note_lost_disk(4);
    grant_vote(&mut raft, 2);
    assert_eq!(raft.role(), Role::Candidate, "the vote came before");
    tick_until(&mut raft, Role::PreCandidate);
    grant_pre_vote(&mut raft, 2);
    grant_vote(&mut raft, 2);
    assert!(raft.is_leader());
}

/// The same for a loss that becomes known during the pre-vote: of its answers nothing depends, and
/// the vote begins later.
#[test]
fn a_loss_that_becomes_known_during_a_pre_vote_counts_in_the_vote() {
    let mut raft = node(4);
    tick_until(&mut raft, Role::PreCandidate);
    grant_pre_vote(&mut raft, 2);
    raft.note_lost_disk(4);
    grant_pre_vote(&mut raft, 2);
    assert_eq!(raft.role(), Role::PreCandidate);
    grant_pre_vote(&mut raft, 3);
    grant_vote(&mut raft, 2);
    assert!(raft.is_leader());
}

#[test]
fn a_leader_commits_confirms_reads_and_stays_with_half_of_the_voters() {
    let mut raft = leader_without_4();
    let last = raft.last_index();
    assert!(raft.commit() < last);
    accept(&mut raft, 2, last);
    assert_eq!(raft.commit(), last);
    raft.read_index(1).expect("a leader");
    let mut confirmed = 0;
    for _ in 0..100 {
        raft.tick();
        let mut answers = Vec::new();
        while let Some(ready) = raft.ready() {
            raft.persisted();
            confirmed += ready.reads.len();
            answers.extend(ready.early_messages.into_iter().chain(ready.messages).filter_map(
                |m| match m.body {
                    MessageBody::Heartbeat { round, .. } if m.to == 2 => Some(round),
                    _ => None,
                },
            ));
        }
        for round in answers {
            step(&mut raft, 2, MessageBody::HeartbeatResponse { round, last });
        }
    }
    confirmed += raft.ready().map_or(0, |ready| ready.reads.len());
    assert_eq!((confirmed, raft.is_leader()), (1, true));
    (0..100).for_each(|_| raft.tick());
    assert!(!raft.is_leader(), "node 2 is silent too");
}

/// A leader whose campaign began before the loss was known has acknowledgements from before it.
#[test]
fn a_leader_that_learns_of_a_loss_still_needs_a_majority() {
    let mut raft = node(4);
    tick_until(&mut raft, Role::PreCandidate);
    [2, 3].into_iter().for_each(|id| grant_pre_vote(&mut raft, id));
    [2, 3].into_iter().for_each(|id| grant_vote(&mut raft, id));
    assert!(raft.is_leader());
    sync(&mut raft);
    raft.note_lost_disk(4);
    let last = raft.last_index();
    accept(&mut raft, 2, last);
    assert!(raft.commit() < last);
    accept(&mut raft, 3, last);
    assert_eq!(raft.commit(), last);
}

/// The disk of a voter that sends a message isn't lost, so it may be in a quorum against this one.
#[test]
fn a_message_of_a_voter_that_was_taken_for_lost_ends_the_campaign_or_the_leadership() {
    let mut leader = leader_without_4();
    let last = leader.last_index();
    accept(&mut leader, 4, last);
    assert_eq!((leader.role(), leader.known_lost().len()), (Role::Follower, 0));
    assert!(leader.commit() < last);

    let mut candidate = node(4);
    candidate.note_lost_disk(4);
    tick_until(&mut candidate, Role::PreCandidate);
    grant_pre_vote(&mut candidate, 2);
    assert_eq!(candidate.role(), Role::Candidate);
    grant_vote(&mut candidate, 4);
    assert_eq!((candidate.role(), candidate.known_lost().len()), (Role::Follower, 0));
    grant_vote(&mut candidate, 2);
    assert_eq!(candidate.role(), Role::Follower);

    // A leader that counts it has no reason to.
    let mut raft = node(4);
    tick_until(&mut raft, Role::PreCandidate);
    [2, 3].into_iter().for_each(|id| grant_pre_vote(&mut raft, id));
    [2, 3].into_iter().for_each(|id| grant_vote(&mut raft, id));
    raft.note_lost_disk(4);
    let last = raft.last_index();
    accept(&mut raft, 4, last);
    assert_eq!((raft.role(), raft.known_lost().len()), (Role::Leader, 0));
}

/// The lost voter could not be replaced, as its vote was needed for that.
#[test]
fn half_of_four_voters_demote_the_lost_one_but_none_of_them_that_answers() {
    let mut raft = leader_without_4();
    let last = raft.last_index();
    accept(&mut raft, 2, last);
    let refused = raft.propose_change(MembershipChange::Demote(2)).expect_err("of {1, 3, 4}");
    assert!(refused.is_refused_change(), "{refused}");
    raft.propose_change(MembershipChange::Demote(4)).expect("1 and 2 are a majority of three");
    sync(&mut raft);
    accept(&mut raft, 2, last + 1);
    sync(&mut raft);
    accept(&mut raft, 2, last + 2);
    assert_eq!(raft.membership().voters, [1, 2, 3].into());
    assert_eq!(raft.membership().learners, [4].into());
    assert_eq!(raft.commit(), last + 2);
}

/// Delivers the messages on these links, and those that result on them, which `is_wanted`.
fn exchange(sim: &mut Sim, links: &[(NodeId, NodeId)], is_wanted: impl Fn(&MessageBody) -> bool) {
    let is_next = |m: &Message| links.contains(&(m.from, m.to)) && is_wanted(&m.body);
    while let Some(at) = sim.network.iter().position(is_next) {
        let message = sim.network.remove(at);
        sim.deliver(message);
    }
}

/// Guards against a leader that lacks a committed entry: of two halves, each left out a voter that
/// the other one counted for what it did before its disk was lost.
#[test]
fn two_halves_that_leave_out_different_voters_do_not_both_decide() {
    let mut sim = Sim::new(4, |_| ());
    sim.may_lose_disks = true;
    let leader = sim.elect();
    sim.rounds(10);
    sim.network.clear();
    let others: Vec<NodeId> = (1..=4).filter(|id| *id != leader).collect();
    let [candidate, voted, accepted] = others[..] else { panic!("four voters") };
    // The others don't hear the leader, and one of them campaigns with the vote of another one,
    // which is late.
    let longest = 2 * sim.config(candidate).election_ticks;
    for _ in 0..longest {
        [voted, accepted].into_iter().for_each(|id| sim.tick(id));
    }
    sim.network.clear();
    let links: Vec<_> =
        [voted, accepted].into_iter().flat_map(|id| [(candidate, id), (id, candidate)]).collect();
    while sim.raft(candidate).role() != Role::Candidate {
        sim.tick(candidate);
        exchange(&mut sim, &links, |body| {
            matches!(body, MessageBody::PreVote { .. } | MessageBody::PreVoteResponse { .. })
        });
    }
    exchange(&mut sim, &[(candidate, voted)], |_| true);
    sim.crash(voted);
    sim.lose_disk(voted);
    // The leader learns of this, and the third one acknowledges an entry, before its disk is lost,
    // too.
    sim.with(leader, |raft| raft.note_lost_disk(voted));
    assert!(sim.propose(leader, b"a"));
    sim.with(leader, |_| ());
    exchange(&mut sim, &[(leader, accepted), (accepted, leader)], |_| true);
    let last = sim.raft(leader).last_index();
    assert_eq!(sim.raft(leader).matched(accepted), Some(last), "it has acknowledged the entry");
    assert!(sim.raft(leader).commit() < last);
    sim.crash(accepted);
    sim.lose_disk(accepted);
    sim.with(candidate, |raft| raft.note_lost_disk(accepted));
    exchange(&mut sim, &[(voted, candidate)], |_| true);
    assert_eq!(sim.raft(candidate).votes().get(&voted), Some(&true), "the late vote has come");
    assert_eq!(sim.raft(candidate).role(), Role::Candidate);
    // Together the two that are left may go on.
    for (id, lost) in [(leader, accepted), (candidate, voted)] {
        sim.with(id, |raft| raft.note_lost_disk(lost));
    }
    sim.until("a leader that has committed the entry", |sim| {
        sim.leader().is_some_and(|id| sim.raft(id).commit() >= last)
    });
}
