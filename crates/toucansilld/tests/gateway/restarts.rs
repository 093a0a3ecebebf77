//! Tests of members that empty their data folders and start anew.

use super::Region;

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

/// Starts the member, which must get a vote under another id, and without ending first.
fn check_joins_again(region: &mut Region, member: usize) {
    region.start(member, false);
    region.await_members(5);
    assert!(region.is_running(member), "the process ended by itself");
}

/// A member was killed after it had removed its id and before it had removed its log. Each start then failed,
/// as the log belongs to another id than the new one, so that the group was short of a member for good.
#[test]
fn a_member_that_is_killed_while_it_empties_its_data_folder_joins_again() {
    let (mut region, member) = group_with_ended_member();
    let former = region.member_id(member);
    region.remove_stored(member, "member-id");
    check_joins_again(&mut region, member);
    assert_ne!(region.member_id(member), former);
}

/// The same with part of the log removed.
#[test]
fn a_member_that_is_killed_with_half_its_log_removed_joins_again() {
    let (mut region, member) = group_with_ended_member();
    region.remove_stored(member, "member-id");
    region.remove_stored(member, "group/log-0000000000000001");
    check_joins_again(&mut region, member);
}

/// An earlier build has started in such a folder, and left a new id beside the former log.
#[test]
fn a_member_with_the_log_of_its_former_id_joins_again() {
    let (mut region, member) = group_with_ended_member();
    region.store_member_id(member, 1 << 50);
    check_joins_again(&mut region, member);
}
