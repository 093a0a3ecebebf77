//! Successors of lost voters that get a vote before they have any entry, and whose processes start again.

mod common;

use common::{Cluster, TIMEOUT};
use group::{MembershipChange, NodeId, StartMode};
use std::fs;

/// The successor of the first voter.
const SUCCESSOR: NodeId = 4;
/// Rounds within which a node that may vote would have done so.
const WATCHED_ROUNDS: usize = 200;

/// Three voters, the first of which was exchanged for a successor that has started once, and has no entry.
fn exchanged(has_new_id: bool) -> Cluster {
    let mut cluster = Cluster::bootstrap(3, |_| ());
    let leader = cluster.elect();
    cluster.propose("a").unwrap();
    cluster.start_with(SUCCESSOR, StartMode::Join, |cfg| cfg.raft.has_new_id = has_new_id).unwrap();
    cluster.cut.insert(SUCCESSOR);
    let lost = if leader == 1 { 2 } else { 1 };
    cluster.stop(lost);
    cluster.nodes[&leader].handle.note_lost_disk(lost);
    let exchange = MembershipChange::Exchange { old: lost, new: SUCCESSOR };
    for change in [MembershipChange::AddLearner(SUCCESSOR), exchange] {
        cluster.run(leader, |handle| handle.change_membership(change, TIMEOUT)).unwrap();
    }
    cluster.until("the exchange", |cluster| {
        let mut voters = cluster.nodes.iter().filter(|(id, _)| **id != SUCCESSOR);
        voters.all(|(_, node)| {
            let members = node.handle.status().membership;
            members.is_voter(SUCCESSOR) && !members.is_voter(lost)
        })
    });
    cluster.stop(SUCCESSOR);
    cluster
}

/// Starts the successor again, and stops the other two voters but for one, which stays.
fn lose_one_more(cluster: &mut Cluster) -> NodeId {
    let leader = cluster.leader().unwrap();
    cluster.stop(leader);
    cluster.start(SUCCESSOR, StartMode::Join).unwrap();
    cluster.cut.clear();
    *cluster.nodes.keys().find(|id| **id != SUCCESSOR).unwrap()
}

fn is_ever_led(cluster: &mut Cluster) -> bool {
    (0..WATCHED_ROUNDS).any(|_| {
        cluster.round();
        cluster.leader().is_some()
    })
}

/// Guards against a group that waits for good for a successor whose process started again before it had any entry.
#[test]
fn a_successor_without_entries_votes_after_a_restart() {
    let mut cluster = exchanged(true);
    let last = lose_one_more(&mut cluster);
    assert!(is_ever_led(&mut cluster));
    assert_eq!(cluster.leader(), Some(last));
    cluster.propose("b").unwrap();
    cluster.converge(2);
    assert!(!cluster.dir(SUCCESSOR).join("new").exists());
}

/// Guards against a second vote in the same term by a successor whose log is lost, and its folder isn't.
#[test]
fn a_successor_whose_log_is_lost_does_not_vote() {
    let mut cluster = exchanged(true);
    fs::remove_file(cluster.dir(SUCCESSOR).join("log-0000000000000001")).unwrap();
    lose_one_more(&mut cluster);
    assert!(!is_ever_led(&mut cluster));
}

/// Guards against a vote of a node with a configured id and an empty disk, which may have voted before.
#[test]
fn a_successor_with_a_configured_id_does_not_vote() {
    let mut cluster = exchanged(false);
    assert!(!cluster.dir(SUCCESSOR).join("new").exists());
    lose_one_more(&mut cluster);
    assert!(!is_ever_led(&mut cluster));
}
