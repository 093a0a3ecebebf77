//! Tests of members that empty their data folders and start anew.

use super::{Region, eventually, version};
use platform::stand_in::{DOCUMENT_PATH, document};
use std::{thread, time::Duration};

/// Time after which a silent member may surely be replaced.
const REPLACEABLE_AFTER: Duration = Duration::from_millis(1_500);

/// Starts a group of five and ends one member that doesn't lead. Returns its index.
fn group_with_ended_member() -> (Region, usize) {
    let mut region = Region::new(5);
    (0..5).for_each(|i| region.start(i, true));
    region.await_members(5);
    let member = (region.await_leader(5) + 1) % 5;
    region.kill(member);
    region.await_group(5, 4);
    (region, member)
}

/// Starts the member, which must get a vote again, and without ending first.
fn check_joins_again(region: &mut Region, member: usize) {
    region.start(member, false);
    region.await_members(5);
    assert!(region.is_running(member), "the process ended by itself");
}

/// Starts the member, which must get a vote again under another id than it has stored, and without ending first.
fn check_rejoins(region: &mut Region, member: usize) {
    let former = region.stored_id(member);
    region.start(member, false);
    eventually("members", || {
        (region.is_group(5, 5) && region.stored_id(member) != former).then_some(())
    });
    assert!(region.is_running(member), "the process ended by itself");
}

/// A member was killed after it had removed its id and before it had removed its log. Each start then failed,
/// as the log belongs to another id than the new one, so that the group was short of a member for good.
#[test]
fn a_member_that_has_lost_its_id_and_not_its_log_joins_again() {
    let (mut region, member) = group_with_ended_member();
    let id = region.member_id(member);
    region.remove_stored(member, "member-id");
    check_joins_again(&mut region, member);
    assert_eq!(region.member_id(member), id);
}

/// The same with the rest of the log removed as well.
#[test]
fn a_member_that_has_lost_its_id_and_half_its_log_joins_again() {
    let (mut region, member) = group_with_ended_member();
    region.remove_stored(member, "member-id");
    region.remove_stored(member, "group/log-0000000000000001");
    check_rejoins(&mut region, member);
}

/// An earlier build has started in such a folder, and left a new id beside the log.
#[test]
fn a_member_with_another_id_than_its_log_joins_again() {
    let (mut region, member) = group_with_ended_member();
    let id = region.member_id(member);
    region.store(member, "member-id", &(1_u64 << 50).to_string());
    check_joins_again(&mut region, member);
    assert_eq!(region.member_id(member), id);
}

/// A file of the id that can't be read made each start fail, although the log has the id as well.
#[test]
fn a_member_with_an_unreadable_id_joins_again() {
    let (mut region, member) = group_with_ended_member();
    let id = region.member_id(member);
    region.store(member, "member-id", "");
    check_joins_again(&mut region, member);
    assert_eq!(region.member_id(member), id);
}

/// A file of addresses that can't be read made each start fail, although the others send the addresses anyway.
#[test]
fn a_member_with_unreadable_addresses_joins_again() {
    let (mut region, member) = group_with_ended_member();
    region.store(member, "voters.json", "{\"1");
    check_joins_again(&mut region, member);
}

/// A member that is killed while it empties its data folder must join again, whether its id was removed already
/// or not.
#[test]
fn a_member_that_is_killed_while_it_empties_its_data_folder_joins_again() {
    let (mut region, member) = group_with_ended_member();
    region.rename_stored(member, "group", "group.discarded");
    check_rejoins(&mut region, member);
    region.kill(member);
    region.await_group(5, 4);
    region.rename_stored(member, "group", "group.discarded");
    region.remove_stored(member, "member-id");
    check_rejoins(&mut region, member);
}

/// The names of the ids' files weren't durable. When all members had lost power, some found no id beside their logs
/// and failed at each start, and too few were left: the acknowledged document was gone.
#[test]
fn a_document_survives_a_loss_of_power_that_takes_the_files_with_the_ids() {
    let mut region = Region::new(5);
    (0..5).for_each(|i| region.start(i, true));
    region.await_members(5);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &document(7, "/x/", "s1"));
    region.kill_all();
    for i in 0..5 {
        region.rename_stored(i, "member-id", "member-id.partial");
        region.start(i, false);
    }
    for i in 0..5 {
        let body = region.control_request_until_ok(i, "GET", DOCUMENT_PATH, "");
        assert_eq!(version(&body), 7);
    }
}

/// A member that had been replaced ended its process to start anew, as did one whose log was lost. How long the
/// group then lacked a member was up to whatever starts processes again. One that comes back with its disk keeps its id.
#[test]
fn a_replaced_member_joins_again_without_ending_its_process() {
    let mut region = Region::new(6);
    (0..5).for_each(|i| region.start(i, true));
    region.await_members(5);
    let frozen = (region.await_leader(5) + 1) % 5;
    let former = region.member_id(frozen);
    region.signal(frozen, "-STOP");
    thread::sleep(REPLACEABLE_AFTER);
    region.start(5, false);
    region.await_group(5, 5);
    region.signal(frozen, "-CONT");
    eventually("the sixth member", || region.is_group(6, 6).then_some(()));
    assert!(region.is_running(frozen), "the process ended by itself");
    assert_eq!(region.member_id(frozen), former);
}

/// The same for a member that has kept its id and lost its log.
#[test]
fn a_member_without_its_log_joins_again_without_ending_its_process() {
    let (mut region, member) = group_with_ended_member();
    let former = region.member_id(member);
    region.remove_stored(member, "group/node");
    region.remove_stored(member, "group/log-0000000000000001");
    check_joins_again(&mut region, member);
    assert_ne!(region.member_id(member), former);
}

/// A signal that came while a member started anew was lost with the former tasks.
#[test]
fn a_member_that_starts_anew_still_stops_when_it_is_told() {
    let (mut region, member) = group_with_ended_member();
    region.remove_stored(member, "group/node");
    region.remove_stored(member, "group/log-0000000000000001");
    check_joins_again(&mut region, member);
    region.stop(member);
    region.await_group(5, 4);
}
