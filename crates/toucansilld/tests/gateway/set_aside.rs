//! Groups in which members were set aside or lost their disks at their own addresses.

use crate::{
    Region,
    exchanges::{CATCH_UP_TIME, REMOVAL_TIME},
    region::{POLL_INTERVAL, eventually},
    version,
};
use platform::stand_in::{DOCUMENT_PATH, document};
use std::{thread, time::Duration};

/// Number of ids that a daemon has discarded.
fn discarded_ids(region: &Region, i: usize) -> usize {
    region.log(i).lines().filter(|line| line.contains("this member starts anew")).count()
}

/// A member that joined again with an empty disk was removed while it caught up, as it has the
/// address of the voter that it replaces.
#[test]
fn a_member_that_lost_its_disk_joins_again_under_one_id() {
    let mut region = Region::new(5);
    region.set_tolerated_losses(2);
    region.start_all(true);
    region.await_members(5);
    let leader = region.await_leader(5);
    for round in 0..6 {
        let i = (leader + 1 + round % 4) % 5;
        region.kill(i);
        region.lose_disk(i);
        thread::sleep(Duration::from_millis(1_500));
        region.start(i, false);
        region.await_members(5);
    }
    let discarded: Vec<usize> = (0..5).map(|i| discarded_ids(&region, i)).collect();
    let logs: String = (0..5).map(|i| region.log(i)).collect();
    let removals: Vec<&str> =
        logs.lines().filter(|l| l.contains("former member removed")).collect();
    assert_eq!(discarded, vec![0; 5], "{removals:#?}");
}

/// A group of two voters, beside one that was set aside, was left with a single disk once one of
/// the two had lost its own: no member was given a vote again.
#[test]
fn a_group_that_tolerates_one_loss_recovers_its_voters_after_one_was_set_aside() {
    let mut region = Region::new(4);
    region.set_tolerated_losses(1);
    (0..3).for_each(|i| region.start(i, true));
    region.await_members(3);
    let leader = region.await_leader(3);
    let [down, gone] = [(leader + 1) % 3, (leader + 2) % 3];
    region.kill(gone);
    region.start(3, false);
    thread::sleep(CATCH_UP_TIME);
    region.kill(down);
    thread::sleep(CATCH_UP_TIME);
    region.control_request_until_ok(leader, "PUT", DOCUMENT_PATH, &document(7, "/x/", "s1"));
    region.kill(3);
    region.lose_disk(3);
    region.start(3, false);
    thread::sleep(CATCH_UP_TIME);
    region.start(down, false);
    let members = [leader, down, 3];
    thread::sleep(REMOVAL_TIME);
    region.control_request_until_ok(leader, "PUT", DOCUMENT_PATH, &document(7, "/x/", "s1"));
    eventually("three voters", || {
        region.restart_ended_of(&members);
        region.is_group_by(&members, 3, 3).then_some(())
    });
    thread::sleep(CATCH_UP_TIME);
    region.kill(leader);
    region.lose_disk(leader);
    region.start(leader, false);
    let body = eventually("the document", || {
        region.restart_ended_of(&members);
        thread::sleep(POLL_INTERVAL);
        let mut read =
            members.iter().filter_map(|i| region.control_request(*i, "GET", DOCUMENT_PATH, ""));
        read.find_map(|(status, body)| (status == 200).then_some(body))
    });
    assert_eq!(version(&body), 7);
}

/// A member that was down for some seconds lost its vote, as the VM of another one had been
/// replaced for good before. Two further VMs that went for good left two of four votes, although
/// three disks of the former five voters were whole.
#[test]
fn a_member_that_is_down_keeps_its_vote_beside_one_that_was_replaced_for_good() {
    let mut region = Region::new(8);
    region.set_tolerated_losses(2);
    (0..5).for_each(|i| region.start(i, true));
    region.await_members(5);
    let leader = region.await_leader(5);
    let [replaced, down, first, second] = [1, 2, 3, 4].map(|n| (leader + n) % 5);
    region.kill(replaced);
    region.start(5, false);
    thread::sleep(2 * CATCH_UP_TIME);
    region.kill(down);
    thread::sleep(Duration::from_secs(3));
    region.control_request_until_ok(leader, "PUT", DOCUMENT_PATH, &document(7, "/x/", "s1"));
    region.kill(first);
    region.kill(second);
    let members = [leader, 5, down, 6, 7];
    members[2..].iter().for_each(|i| region.start(*i, false));
    let body = eventually("the document", || {
        region.restart_ended_of(&members);
        thread::sleep(POLL_INTERVAL);
        let mut read =
            members.iter().filter_map(|i| region.control_request(*i, "GET", DOCUMENT_PATH, ""));
        read.find_map(|(status, body)| (status == 200).then_some(body))
    });
    assert_eq!(version(&body), 7);
}
