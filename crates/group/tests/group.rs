//! Guards against faults between the threads, stores and Raft nodes of a group in one process:
//! commands lost by a restart, a wrong outcome or a stale read from a leader that was replaced, a
//! node that can't join or be replaced after the log was compacted, and a leader that stops without
//! a successor.

mod common;

use common::{Cluster, PANIC_COMMAND, TIMEOUT, UNKNOWN_COMMAND};
use group::{MembershipChange, Role, StartMode};

#[test]
fn a_group_of_one_commits_and_restarts() {
    let mut cluster = Cluster::bootstrap(1, |_| ());
    cluster.elect();
    assert_eq!(cluster.propose("a").unwrap().output, b"1");
    assert_eq!(cluster.propose("b").unwrap().output, b"2");
    cluster.stop(1);

    cluster.start(1, StartMode::Join).unwrap();
    cluster.elect();
    cluster.converge(2);
    assert_eq!(cluster.state(1), ["a", "b"]);
}

#[test]
fn three_voters_agree_and_survive_the_loss_of_one() {
    let mut cluster = Cluster::bootstrap(3, |_| ());
    let first = cluster.elect();
    cluster.propose("a").unwrap();
    cluster.converge(1);
    cluster.stop(first);

    let second = cluster.elect();
    assert_ne!(first, second);
    cluster.propose("b").unwrap();
    cluster.start(first, StartMode::Join).unwrap();
    cluster.converge(2);
    assert_eq!(cluster.state(first), ["a", "b"]);
}

#[test]
fn a_follower_names_the_leader_and_confirms_no_read() {
    let mut cluster = Cluster::bootstrap(3, |_| ());
    let leader = cluster.elect();
    cluster.propose("a").unwrap();
    cluster.converge(1);
    let follower = cluster.nodes.keys().copied().find(|id| *id != leader).unwrap();
    let e = cluster.run(follower, |h| h.propose(b"b".to_vec(), TIMEOUT)).unwrap_err();
    assert!(e.is_not_applied() && e.is_not_leader());
    assert_eq!(e.leader_hint(), Some(leader));
    assert!(cluster.run(follower, |h| h.confirm_leadership(TIMEOUT)).unwrap_err().is_not_leader());
    let index = cluster.run(leader, |h| h.confirm_leadership(TIMEOUT)).unwrap();
    assert_eq!(index, cluster.nodes[&leader].handle.status().commit);
}

#[test]
fn a_cut_off_leader_confirms_no_read_and_its_command_is_replaced() {
    let mut cluster = Cluster::bootstrap(3, |_| ());
    let old = cluster.elect();
    cluster.cut.insert(old);
    let lost = cluster.submit(old, "lost");
    let e = cluster.run(old, |h| h.confirm_leadership(TIMEOUT)).unwrap_err();
    assert!(e.is_not_leader(), "{e}");
    cluster.propose("kept").unwrap();
    cluster.cut.clear();
    cluster.converge(1);
    assert_eq!(cluster.state(old), ["kept"]);
    assert!(lost.wait().unwrap_err().is_not_applied());
}

#[test]
fn leadership_is_transferred_on_request() {
    let mut cluster = Cluster::bootstrap(3, |_| ());
    let old = cluster.elect();
    cluster.propose("a").unwrap();
    let new = cluster.nodes.keys().copied().find(|id| *id != old).unwrap();
    cluster.run(old, |h| h.transfer_leadership(new)).unwrap();
    cluster.until("the other voter leads", |c| c.leader() == Some(new));
    cluster.propose("b").unwrap();
    cluster.converge(2);
}

#[test]
fn a_joining_node_catches_up_by_snapshot_and_is_promoted() {
    let mut cluster = Cluster::bootstrap(1, |cfg| {
        cfg.snapshot_interval_entries = 10;
        cfg.keep_entries = 2;
        cfg.raft.snapshot_chunk_bytes = 7;
    });
    cluster.elect();
    for n in 0..40 {
        cluster.propose(&n.to_string()).unwrap();
    }
    cluster.start(2, StartMode::Join).unwrap();
    cluster.run(1, |h| h.change_membership(MembershipChange::AddLearner(2), TIMEOUT)).unwrap();
    cluster.run(1, |h| h.change_membership(MembershipChange::Promote(2), TIMEOUT)).unwrap();
    cluster.propose("last").unwrap();
    cluster.converge(41);
    assert_eq!(cluster.state(1), cluster.state(2));
    assert_eq!(cluster.nodes[&2].handle.status().membership.voters.len(), 2);
}

#[test]
fn the_outcome_of_a_command_replaced_by_a_snapshot_is_unknown() {
    let mut cluster = Cluster::bootstrap(3, |cfg| {
        cfg.snapshot_interval_entries = 10;
        cfg.keep_entries = 2;
    });
    let old = cluster.elect();
    cluster.propose("a").unwrap();
    let proposal = cluster.submit(old, "x");
    // The followers receive the entry, but their acknowledgements are lost.
    cluster.round();
    cluster.cut.insert(old);
    for n in 0..30 {
        cluster.propose(&n.to_string()).unwrap();
    }
    cluster.cut.clear();
    cluster.converge(32);
    assert_eq!(cluster.state(old)[..2], ["a", "x"]);
    assert!(proposal.wait().unwrap_err().is_unknown());
}

#[test]
fn the_log_is_compacted_by_bytes_of_large_commands() {
    let mut cluster = Cluster::bootstrap(1, |cfg| {
        cfg.snapshot_interval_bytes = 10_000;
        cfg.keep_bytes = 3_000;
    });
    for _ in 0..40 {
        cluster.propose(&"x".repeat(1_000)).unwrap();
    }
    let status = cluster.nodes[&1].handle.status();
    let held = status.last_index + 1 - status.first_index;
    assert!(held <= 13, "the log holds {held} entries of 1 kB");
    cluster.stop(1);
    cluster.start(1, StartMode::Join).unwrap();
    cluster.elect();
    cluster.converge(40);
}

#[test]
fn a_leader_that_steps_down_before_a_stop_is_succeeded_in_the_next_term() {
    let mut cluster = Cluster::bootstrap(3, |_| ());
    let old = cluster.elect();
    cluster.propose("a").unwrap();
    let term = cluster.nodes[&old].handle.status().term;
    cluster.run(old, |h| h.step_down(TIMEOUT)).unwrap();
    assert!(!cluster.nodes[&old].handle.status().is_leader());
    cluster.stop(old);
    let new = cluster.elect();
    assert_eq!(
        cluster.nodes[&new].handle.status().term,
        term + 1,
        "the successor won the first election"
    );
    // On a follower `step_down` does nothing.
    let other = cluster.nodes.keys().copied().find(|id| *id != new).unwrap();
    cluster.run(other, |h| h.step_down(TIMEOUT)).unwrap();
    assert_eq!(cluster.leader(), Some(new));
}

/// Leadership was transferred to a voter that didn't answer, as its log matched as far as that of the others. The stop
/// of the leader then took as long as the transfer was waited for, and an election followed.
#[test]
fn a_leader_that_steps_down_passes_on_its_leadership_to_a_voter_that_answers() {
    let mut cluster = Cluster::bootstrap(5, |_| ());
    let old = cluster.elect();
    cluster.propose("a").unwrap();
    cluster.converge(1);
    let last = (1..=5).rev().find(|id| *id != old).unwrap();
    cluster.stop(last);
    cluster.until("it doesn't answer", |cluster| {
        !cluster.nodes[&old].handle.status().reachable.contains(&last)
    });
    let term = cluster.nodes[&old].handle.status().term;
    cluster.run(old, |h| h.step_down(TIMEOUT)).unwrap();
    let new = cluster.elect();
    assert_ne!(new, old);
    assert_eq!(cluster.nodes[&new].handle.status().term, term + 1, "without an election");
}

#[test]
fn the_successor_completes_a_leaders_replacement_of_itself() {
    let mut cluster = Cluster::bootstrap(3, |_| ());
    let old = cluster.elect();
    cluster.propose("a").unwrap();
    cluster.start(4, StartMode::Join).unwrap();
    let e = cluster.run(old, |h| h.replace_voter(old, 4, TIMEOUT)).unwrap_err();
    assert!(e.is_not_leader(), "{e}");
    cluster.stop(old);
    let new = cluster.elect();
    cluster.run(new, |h| h.replace_voter(old, 4, TIMEOUT)).unwrap();
    let members = cluster.nodes[&new].handle.status().membership;
    assert!(!members.contains(old) && members.is_voter(4));
    cluster.propose("b").unwrap();
    cluster.converge(2);
}

#[test]
fn a_confirmation_has_the_term_in_which_the_voter_led() {
    let mut cluster = Cluster::bootstrap(3, |_| ());
    let first = cluster.elect();
    let before = cluster.run(first, |h| h.confirm_leadership_term(TIMEOUT)).unwrap();
    cluster.run(first, |h| h.step_down(TIMEOUT)).unwrap();
    let second = cluster.elect();
    cluster.run(second, |h| h.step_down(TIMEOUT)).unwrap();
    let third = cluster.elect();
    let after = cluster.run(third, |h| h.confirm_leadership_term(TIMEOUT)).unwrap();
    assert_eq!(after.term, before.term + 2);
    assert!(after.index > before.index);
}

/// A command of a later build must not be skipped: the node would apply the following ones to a state
/// that differs from that of the others. It stops before them, says why, and its data stay.
#[test]
fn a_node_stops_at_a_command_that_it_does_not_know() {
    let mut cluster = Cluster::bootstrap(1, |_| ());
    cluster.elect();
    cluster.propose("a").unwrap();
    let pending = cluster.submit(1, UNKNOWN_COMMAND);
    let failure = |cluster: &Cluster| cluster.nodes[&1].handle.status().failure;
    cluster.until("it has stopped", |cluster| failure(cluster).is_some());
    assert!(pending.wait().is_err(), "its outcome is unknown");
    let failure_text = failure(&cluster).expect("it has stopped");
    assert!(failure_text.contains("log entry 4: the command is not known"), "{failure_text}");
    assert_eq!(cluster.state(1), ["a"]);

    // It stops again after a restart, until a build that knows the command takes its place.
    cluster.stop(1);
    cluster.start(1, StartMode::Join).unwrap();
    cluster.until("it has stopped again", |cluster| failure(cluster).is_some());
    assert_eq!(cluster.state(1), ["a"]);
}

/// A voter whose thread had panicked looked like a live one for ever: its last status stayed, so its daemon ran
/// on without a vote.
#[test]
fn a_node_whose_thread_panics_says_that_it_has_failed() {
    let mut cluster = Cluster::bootstrap(1, |_| ());
    cluster.elect();
    let command = PANIC_COMMAND.as_bytes().to_vec();
    let failed = cluster.run(1, |handle| handle.propose(command, TIMEOUT)).unwrap_err();
    assert!(failed.is_unknown(), "{failed}");
    let handle = cluster.nodes[&1].handle.clone();
    let status = handle.status();
    let failure = status.failure.clone().expect("a failure");
    assert!(failure.contains("panicked: the state machine met \"panic\""), "{failure}");
    assert!(!status.is_leader());
    assert_eq!((status.role, status.leader), (Role::Follower, None));

    let refused = handle.propose(b"a".to_vec(), TIMEOUT).unwrap_err();
    assert!(refused.is_stopped() && refused.to_string().contains(&failure), "{refused}");

    // It panics again after a restart, as the command is in its log.
    cluster.stop(1);
    cluster.start(1, StartMode::Join).unwrap();
    cluster.until("it has failed again", |cluster| {
        cluster.nodes[&1].handle.status().failure.is_some()
    });
}

/// A node that was stopped went on to name itself as the leader.
#[test]
fn a_node_that_has_stopped_names_no_leader() {
    let mut cluster = Cluster::bootstrap(1, |_| ());
    cluster.elect();
    let handle = cluster.nodes[&1].handle.clone();
    handle.stop();
    let status = handle.status();
    assert_eq!((status.role, status.leader, status.failure), (Role::Follower, None, None));
}

/// Guards against callers that go on while the group still needs the voters of before: of a promotion, its new voter
/// and a majority without it, of a removal, the voter that is gone.
#[test]
fn a_change_of_the_voters_is_complete_once_it_returns() {
    let mut cluster = Cluster::bootstrap(3, |_| ());
    let leader = cluster.elect();
    cluster.start(4, StartMode::Join).unwrap();
    let old = (1..=3).find(|id| *id != leader).unwrap();
    let members = |cluster: &Cluster| cluster.nodes[&leader].handle.status().membership;
    for change in [
        MembershipChange::AddLearner(4),
        MembershipChange::Promote(4),
        MembershipChange::Demote(old),
        MembershipChange::Exchange { old: 4, new: old },
    ] {
        cluster.run(leader, |h| h.change_membership(change, TIMEOUT)).unwrap();
        assert!(!members(&cluster).is_joint(), "{change:?}");
    }
    assert_eq!(members(&cluster).voters, [1, 2, 3].into());
    assert_eq!(members(&cluster).learners, [4].into());
}

#[test]
fn a_voter_is_demoted_before_it_is_removed() {
    let mut cluster = Cluster::bootstrap(3, |_| ());
    let leader = cluster.elect();
    let old = (1..=3).find(|id| *id != leader).unwrap();
    let change = MembershipChange::Remove(old);
    let refused = cluster.run(leader, |h| h.change_membership(change, TIMEOUT)).unwrap_err();
    assert!(refused.is_refused_change() && refused.to_string().contains("demote it first"));
    // A repeated call changes nothing.
    for _ in 0..2 {
        cluster.run(leader, |h| h.remove_member(old, TIMEOUT)).unwrap();
        let members = cluster.nodes[&leader].handle.status().membership;
        assert!(members.is_retired(old) && !members.contains(old) && !members.is_joint());
        assert_eq!(members.voters.len(), 2);
    }
}

/// Four voters without two of them had no leader although the disk of one of these was known to be lost.
#[test]
fn half_of_four_voters_go_on_once_a_lost_disk_is_known() {
    let mut cluster = Cluster::bootstrap(4, |_| ());
    cluster.elect();
    cluster.propose("a").unwrap();
    cluster.converge(1);
    [3, 4].into_iter().for_each(|id| cluster.stop(id));
    cluster.until("no leader", |cluster| cluster.leader().is_none());
    (0..200).for_each(|_| cluster.round());
    assert_eq!(cluster.leader(), None, "the two others may go on by themselves");
    for id in [1, 2] {
        cluster.nodes[&id].handle.note_lost_disk(4);
    }
    cluster.elect();
    cluster.propose("b").unwrap();
    cluster.converge(2);
    for id in [1, 2] {
        let known = cluster.nodes[&id].handle.status().known_lost;
        assert!(known.iter().eq([&4]), "{known:?}");
    }
}
