//! Single steps in an order that rarely occurs on a simulated network.

use raft::{
    Config, EntryPayload, HardState, LogEntry, LogPosition, Membership, MembershipChange, Message,
    MessageBody, PersistedState, Raft,
};

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry { index, term, payload: EntryPayload::Command(vec![index as u8, term as u8]) }
}

fn message(from: u64, to: u64, term: u64, body: MessageBody) -> Message {
    Message { group: Membership::initial(1, [1, 2, 3]).group, from, to, term, body }
}

/// Node 1 of three voters, as leader of term 2. The empty entry of its term has index 2.
fn leader() -> Raft {
    let persisted_state = PersistedState::bootstrap(Membership::initial(1, [1, 2, 3]));
    let mut raft = Raft::new(Config::new(1), persisted_state);
    (0..20).for_each(|_| raft.tick());
    raft.step(message(2, 1, 2, MessageBody::PreVoteResponse { granted: true }));
    raft.step(message(2, 1, 2, MessageBody::VoteResponse { granted: true }));
    assert!(raft.is_leader());
    raft
}

#[test]
fn a_leader_counts_its_own_copy_only_once_it_is_synced() {
    let mut raft = leader();
    raft.ready().unwrap();
    raft.step(message(2, 1, 2, MessageBody::AppendAccepted { matched: 2 }));
    assert_eq!(raft.commit(), 0, "only node 2 holds the entry on disk");
    raft.persisted();
    assert_eq!(raft.commit(), 2);
}

#[test]
fn a_follower_commits_only_entries_known_to_match_the_leaders_log() {
    let mut persisted_state = PersistedState::bootstrap(Membership::initial(1, [1, 2, 3]));
    persisted_state.entries.extend([entry(2, 2), entry(3, 2)]);
    persisted_state.hard_state = HardState { term: 2, vote: None };
    let mut raft = Raft::new(Config::new(1), persisted_state);
    let prev = LogPosition { index: 2, term: 2 };
    let body = MessageBody::Append { prev, entries: vec![], commit: 3, voter: true };
    raft.step(message(2, 1, 3, body));
    assert_eq!(raft.commit(), 2, "entry 3 may differ from the leader's");
}

#[test]
fn messages_of_another_group_are_dropped() {
    let mut raft = leader();
    let mut other = message(2, 1, 9, MessageBody::VoteResponse { granted: false });
    other.group = Membership::initial(2, [1, 2, 3]).group;
    raft.step(other);
    assert_eq!(raft.term(), 2);
}

#[test]
fn requests_beyond_a_limit_are_refused_without_a_log_entry() {
    let persisted_state = PersistedState::bootstrap(Membership::initial(1, [1]));
    let mut cfg = Config::new(1);
    cfg.max_command_bytes = 10;
    cfg.max_uncommitted_bytes = 60;
    cfg.max_pending_reads = 1;
    let mut raft = Raft::new(cfg, persisted_state);
    (0..20).for_each(|_| raft.tick());
    let last = raft.last_index();
    assert!(raft.propose(vec![0; 11]).unwrap_err().is_too_large());
    assert_eq!(raft.last_index(), last);
    raft.propose(vec![0; 10]).unwrap();
    assert!(raft.propose(vec![0; 10]).unwrap_err().is_busy());
    raft.read_index(1).unwrap();
    assert!(raft.read_index(2).unwrap_err().is_busy());
    raft.ready().unwrap();
    raft.persisted();
    assert!(raft.propose(vec![0; 10]).is_ok(), "the limit counts only uncommitted bytes");
}

#[test]
fn appends_in_flight_to_a_silent_follower_are_bounded() {
    let persisted_state = PersistedState::bootstrap(Membership::initial(1, [1, 2, 3]));
    let mut raft = Raft::new(
        Config { max_in_flight: 4, max_batch_bytes: 1, ..Config::new(1) },
        persisted_state,
    );
    (0..20).for_each(|_| raft.tick());
    raft.step(message(2, 1, 2, MessageBody::PreVoteResponse { granted: true }));
    raft.step(message(2, 1, 2, MessageBody::VoteResponse { granted: true }));
    raft.ready().unwrap();
    raft.persisted();
    raft.step(message(2, 1, 2, MessageBody::AppendAccepted { matched: 2 }));
    (0..100).for_each(|n| assert!(raft.propose(vec![n]).is_ok()));
    let ready = raft.ready().unwrap();
    let appends = ready.early_messages.iter().filter(|m| {
        m.to == 2 && matches!(&m.body, MessageBody::Append { entries, .. } if !entries.is_empty())
    });
    assert_eq!(appends.count(), 4);
}

#[test]
fn a_sole_voter_leads_at_its_first_tick() {
    let persisted_state = PersistedState::bootstrap(Membership::initial(1, [1]));
    let mut raft = Raft::new(Config::new(1), persisted_state);
    raft.tick();
    assert!(raft.is_leader());
}

#[test]
fn a_node_that_lost_entries_no_longer_counts_towards_a_majority() {
    let mut raft = leader();
    raft.ready().unwrap();
    raft.persisted();
    raft.step(message(2, 1, 2, MessageBody::AppendAccepted { matched: 2 }));
    raft.propose(b"x".to_vec()).unwrap();
    raft.ready().unwrap();
    raft.step(message(3, 1, 2, MessageBody::AppendAccepted { matched: 3 }));
    raft.step(message(3, 1, 2, MessageBody::HeartbeatResponse { round: 2, last: 1 }));
    assert_eq!(raft.lost_logs().collect::<Vec<_>>(), [3]);
    raft.persisted();
    assert_eq!(raft.commit(), 2, "the copy on node 3 is lost and doesn't count");
    raft.step(message(3, 1, 2, MessageBody::AppendAccepted { matched: 3 }));
    assert_eq!(
        raft.commit(),
        2,
        "an acknowledgement of node 3 doesn't count, as it may lose the entry again"
    );
    raft.step(message(2, 1, 2, MessageBody::AppendAccepted { matched: 3 }));
    assert_eq!(raft.commit(), 3);
}

/// Node 4 in a group of three voters, whose log ends with this membership at index 1.
fn node_without_vote(members: Membership) -> Raft {
    Raft::new(Config::new(4), PersistedState::bootstrap(members))
}

/// Nodes with the id 4 that may not campaign: a learner, one without a membership, and a removed voter.
fn nodes_without_vote() -> [(&'static str, Raft); 3] {
    let three = Membership::initial(1, [1, 2, 3]);
    let learner = three.after(MembershipChange::AddLearner(4)).unwrap();
    let removed = learner.after(MembershipChange::Remove(4)).unwrap();
    [
        ("learner", node_without_vote(learner)),
        ("new", Raft::new(Config::new(4), PersistedState::default())),
        ("removed", node_without_vote(removed)),
    ]
}

/// Node 1 leads term 2.
fn heartbeat() -> Message {
    message(1, 4, 2, MessageBody::Heartbeat { commit: 1, round: 1, voter: false })
}

/// A node without a vote never forgot its leader, so its daemon forwarded calls to one that led no more, and
/// never logged that it had none.
#[test]
fn a_node_without_a_vote_forgets_a_silent_leader() {
    for (name, mut raft) in nodes_without_vote() {
        let ticks = Config::new(4).election_ticks;
        raft.step(heartbeat());
        (1..ticks).for_each(|_| raft.tick());
        assert_eq!(raft.leader(), Some(1), "{name}: the leader may still be live");
        (0..=ticks).for_each(|_| raft.tick());
        assert_eq!(raft.leader(), None, "{name}");
        raft.step(heartbeat());
        assert_eq!(raft.leader(), Some(1), "{name}: the leader is back");
    }
}

/// A node without a vote took a silent leader for a live one again after each election timeout, and refused
/// its vote for most of the time to candidates that know it as a voter already.
#[test]
fn a_node_without_a_vote_grants_pre_votes_while_the_leader_is_silent() {
    let three = Membership::initial(1, [1, 2, 3]);
    let learner = three.after(MembershipChange::AddLearner(4)).unwrap();
    let mut persisted_state = PersistedState::bootstrap(learner);
    persisted_state.entries.push(entry(2, 2));
    let mut raft = Raft::new(Config::new(4), persisted_state);
    let election_ticks = Config::new(4).election_ticks;
    raft.step(heartbeat());
    while raft.ready().is_some() {
        raft.persisted();
    }
    (0..election_ticks).for_each(|_| raft.tick());
    for tick in election_ticks..5 * election_ticks {
        let last = LogPosition { index: 2, term: 2 };
        raft.step(message(2, 4, 3, MessageBody::PreVote { last }));
        let ready = raft.ready().unwrap();
        raft.persisted();
        let bodies: Vec<_> = ready.messages.into_iter().map(|m| m.body).collect();
        assert_eq!(bodies, [MessageBody::PreVoteResponse { granted: true }], "at tick {tick}");
        raft.tick();
    }
}

/// A vote that is refused says nothing of the reason. The logs of other candidates do, until there is a leader.
#[test]
fn a_candidate_knows_the_logs_of_other_candidates_until_it_hears_a_leader() {
    let persisted_state = PersistedState::bootstrap(Membership::initial(1, [1, 2, 3]));
    let mut raft = Raft::new(Config::new(1), persisted_state);
    let last = |index| LogPosition { index, term: 1 };
    raft.step(message(2, 1, 2, MessageBody::PreVote { last: last(5) }));
    raft.step(message(3, 1, 2, MessageBody::Vote { last: last(4), transfer: false }));
    raft.step(message(9, 1, 2, MessageBody::PreVote { last: last(7) }));
    let logs: Vec<_> = raft.candidate_logs().iter().map(|(id, index)| (*id, *index)).collect();
    assert_eq!(logs, [(2, 5), (3, 4)], "node 9 is no member");
    raft.step(message(3, 1, 2, MessageBody::Heartbeat { commit: 0, round: 1, voter: true }));
    assert!(raft.candidate_logs().is_empty());
}
