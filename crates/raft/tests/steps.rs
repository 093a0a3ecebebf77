//! Single steps in an order that rarely occurs on a simulated network.

use raft::{
    Config, EntryPayload, HardState, LogEntry, LogPosition, Membership, Message, MessageBody,
    PersistedState, Raft,
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
