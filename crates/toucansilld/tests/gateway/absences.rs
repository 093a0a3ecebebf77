//! Tests of groups in which one member is gone for good while another one is down with its disk.
//! Hosts of both refuse connections, so that nothing tells them apart. Two further disks may be
//! lost once the successor of the first has caught up.

use crate::{
    Region,
    exchanges::{
        CATCH_UP_TIME, LOSS_INTERVAL, RECOVERY_TIME, REMOVAL_TIME, SILENCE_LASTS, SUCCESSOR,
        SUCCESSOR_DELAY, membership_lines, start_five,
    },
    region::{POLL_INTERVAL, eventually},
    version,
};
use platform::stand_in::{DOCUMENT_PATH, document};
use std::{
    fs,
    os::unix::fs::symlink,
    thread,
    time::{Duration, Instant},
};

/// Index of a second successor.
const SECOND_SUCCESSOR: usize = SUCCESSOR + 1;
/// Number of disks that a group of five has to be able to lose at once.
const TOLERATED_LOSSES: usize = 2;

/// The members of a group of five, with their successor.
struct Group {
    /// Ends, and is back later with its disk.
    down: usize,
    /// Ends for good.
    gone: usize,
    /// Takes the place of the latter.
    successor: usize,
    /// The others; the leader comes first, unless it is one of the above.
    others: [usize; 3],
}

impl Group {
    fn new(leader: usize, down: usize, gone: usize) -> Self {
        Self::of_members(&[0, 1, 2, 3, 4], leader, down, gone, SUCCESSOR)
    }

    fn of_members(
        members: &[usize],
        leader: usize,
        down: usize,
        gone: usize,
        successor: usize,
    ) -> Self {
        let mut others: Vec<usize> =
            members.iter().copied().filter(|i| ![down, gone].contains(i)).collect();
        others.sort_by_key(|i| *i != leader);
        let others = others.try_into().expect("three others");
        Self { down, gone, successor, others }
    }

    /// The members at the end.
    fn remaining(&self) -> [usize; 5] {
        let [first, second, third] = self.others;
        [first, second, third, self.successor, self.down]
    }
}

/// What happens to the members that keep their disks while others lose theirs.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Survivors {
    /// They run on.
    Run,
    /// Their processes end as well, and start again.
    LosePower,
}

/// Starts a group of five with a document. Returns the indexes of its leader, and of the others in
/// the order of their ids.
fn start_group(successors: usize) -> (Region, usize, [usize; 4]) {
    let mut region = Region::new(5 + successors);
    region.set_tolerated_losses(TOLERATED_LOSSES);
    let leader = start_five(&mut region);
    let mut followers: Vec<usize> = (0..5).filter(|i| *i != leader).collect();
    followers.sort_by_key(|i| region.member_id(*i).trim().parse::<u64>().expect("an id"));
    (region, leader, followers.try_into().expect("four followers"))
}

/// Starts daemon `i` with these members as its seeds.
fn start_with_seeds(region: &mut Region, i: usize, members: &[usize]) {
    let seeds = members.iter().map(|i| region.control_address(*i).parse().expect("an address"));
    region.set_seeds(i, seeds.collect());
    region.start(i, false);
}

/// Kills one member after the other, and starts the successor.
fn kill_and_replace(region: &mut Region, group: &Group, order: [usize; 2]) {
    let [first, second] = order;
    region.kill(first);
    thread::sleep(LOSS_INTERVAL);
    region.kill(second);
    thread::sleep(SUCCESSOR_DELAY);
    start_with_seeds(region, group.successor, &group.others);
}

/// Two members lose their disks right after an acknowledgement, and start again.
fn lose_disks(region: &mut Region, group: &Group, lost: [usize; 2], survivors: Survivors) {
    region.control_request_until_ok(
        group.others[0],
        "PUT",
        DOCUMENT_PATH,
        &document(7, "/x/", "s1"),
    );
    let up: Vec<usize> = group.remaining().into_iter().filter(|i| region.is_running(*i)).collect();
    let is_ended = |i: &&usize| lost.contains(*i) || survivors == Survivors::LosePower;
    let ended: Vec<usize> = up.iter().filter(is_ended).copied().collect();
    ended.iter().for_each(|i| region.kill(*i));
    lost.iter().for_each(|i| region.lose_disk(*i));
    ended.iter().for_each(|i| start_with_seeds(region, *i, &group.remaining()));
}

/// The document must be read from one of these members.
fn check_document_is_read(region: &mut Region, group: &Group, members: &[usize]) {
    let ended = Instant::now();
    let body = loop {
        region.restart_ended_of(members);
        let mut responses =
            members.iter().filter_map(|i| region.control_request(*i, "GET", DOCUMENT_PATH, ""));
        if let Some((_, body)) = responses.find(|(status, _)| *status == 200) {
            break body;
        }
        assert!(
            ended.elapsed() < RECOVERY_TIME,
            "no document; down {}, gone {}, others {:?}{}{}",
            group.down,
            group.gone,
            group.others,
            membership_lines(region),
            lines_without_leader(region, members)
        );
        thread::sleep(POLL_INTERVAL);
    };
    assert_eq!(version(&body), 7);
}

/// The last line of each daemon that says why it knows no leader.
pub(crate) fn lines_without_leader(region: &Region, daemons: &[usize]) -> String {
    let last_line = |i: &usize| {
        let log = region.log(*i);
        let line = log.lines().rfind(|line| line.contains(r#""text":"no leader "#))?;
        Some(format!("\n{i}: {line}"))
    };
    daemons.iter().filter_map(last_line).collect()
}

/// Two disks are lost, then the member that is down starts again: the document must be read.
fn check_lost_disks(region: &mut Region, group: &Group, lost: [usize; 2], survivors: Survivors) {
    lose_disks(region, group, lost, survivors);
    thread::sleep(SILENCE_LASTS);
    if !region.is_running(group.down) {
        region.start(group.down, false);
    }
    check_document_is_read(region, group, &group.remaining());
}

/// [`check_lost_disks`] once the successor of the one that is gone has caught up.
fn check_down_and_gone(
    region: &mut Region,
    group: &Group,
    order: [usize; 2],
    lost: [usize; 2],
    survivors: Survivors,
) {
    kill_and_replace(region, group, order);
    thread::sleep(CATCH_UP_TIME);
    check_lost_disks(region, group, lost, survivors);
}

/// The successor took the vote of a member that was killed before the one that was gone, as it had
/// been silent for longer.
#[test]
fn a_member_that_is_down_before_another_is_gone_keeps_its_vote() {
    let (mut region, leader, [down, .., gone]) = start_group(1);
    let group = Group::new(leader, down, gone);
    let [_, second, third] = group.others;
    check_down_and_gone(&mut region, &group, [down, gone], [second, third], Survivors::Run);
}

/// The same with a higher id, and the leader among those that lose their disks.
#[test]
fn a_member_that_is_down_keeps_its_vote_also_if_the_leader_loses_its_disk() {
    let (mut region, leader, [gone, .., down]) = start_group(1);
    let group = Group::new(leader, down, gone);
    let [first, second, _] = group.others;
    check_down_and_gone(&mut region, &group, [down, gone], [first, second], Survivors::Run);
}

/// The same where the successor loses its disk.
#[test]
fn a_member_that_is_down_keeps_its_vote_also_if_the_successor_loses_its_disk() {
    let (mut region, leader, [down, .., gone]) = start_group(1);
    let group = Group::new(leader, down, gone);
    let lost = [group.others[2], group.successor];
    check_down_and_gone(&mut region, &group, [down, gone], lost, Survivors::Run);
}

/// The same where all others lose power at the same moment.
#[test]
fn a_member_that_is_down_keeps_its_vote_also_if_all_others_lose_power() {
    let (mut region, leader, [gone, .., down]) = start_group(1);
    let group = Group::new(leader, down, gone);
    let [_, second, third] = group.others;
    check_down_and_gone(&mut region, &group, [down, gone], [second, third], Survivors::LosePower);
}

/// Guards against a successor that takes the vote of the member that was killed last.
#[test]
fn a_member_that_is_down_after_another_is_gone_keeps_its_vote() {
    let (mut region, leader, [down, .., gone]) = start_group(1);
    let group = Group::new(leader, down, gone);
    let [_, second, third] = group.others;
    check_down_and_gone(&mut region, &group, [gone, down], [second, third], Survivors::Run);
}

/// The same with a higher id, and where all others lose power at the same moment.
#[test]
fn a_member_with_a_higher_id_that_is_down_after_another_is_gone_keeps_its_vote() {
    let (mut region, leader, [gone, .., down]) = start_group(1);
    let group = Group::new(leader, down, gone);
    let [_, second, third] = group.others;
    check_down_and_gone(&mut region, &group, [gone, down], [second, third], Survivors::LosePower);
}

/// Starts a group of five. Returns its members in the order of their ids, and the place among these
/// of the leader, which isn't `excluded`.
fn start_group_led_by_others(excluded: usize) -> (Region, [usize; 5], usize) {
    let mut region = Region::new(6);
    let mut leader = start_five(&mut region);
    let mut members = [0, 1, 2, 3, 4];
    members.sort_by_key(|i| region.member_id(*i).trim().parse::<u64>().expect("an id"));
    while members[excluded] == leader {
        region.kill(leader);
        region.start(leader, false);
        region.await_members(5);
        leader = region.await_leader(5);
    }
    let place = members.iter().position(|i| *i == leader).expect("a member");
    (region, members, place)
}

/// A new leader counted silence anew, so that the one with the higher id was replaced of two that
/// were killed.
#[test]
fn a_member_that_is_down_after_a_leader_is_gone_keeps_its_vote() {
    let (mut region, members, place) = start_group_led_by_others(4);
    let group = Group::new(members[place], members[4], members[place]);
    let [_, second, third] = group.others;
    let order = [group.gone, group.down];
    check_down_and_gone(&mut region, &group, order, [second, third], Survivors::Run);
}

/// The same where the former leader is the one that is down.
#[test]
fn a_leader_that_is_down_before_another_is_gone_keeps_its_vote() {
    let (mut region, members, place) = start_group_led_by_others(0);
    let group = Group::new(members[place], members[place], members[0]);
    let [_, second, third] = group.others;
    let order = [group.down, group.gone];
    check_down_and_gone(&mut region, &group, order, [second, third], Survivors::Run);
}

/// The successor of a member that had stopped as planned took the vote of one that was killed
/// before.
#[test]
fn a_member_that_stops_before_its_successor_starts_leaves_one_that_is_down_its_vote() {
    let (mut region, leader, [down, .., gone]) = start_group(1);
    let group = Group::new(leader, down, gone);
    region.kill(down);
    thread::sleep(LOSS_INTERVAL);
    region.stop(gone);
    thread::sleep(SUCCESSOR_DELAY);
    start_with_seeds(&mut region, group.successor, &group.others);
    thread::sleep(CATCH_UP_TIME);
    let [_, second, third] = group.others;
    check_lost_disks(&mut region, &group, [second, third], Survivors::Run);
}

/// The successor of a leader that stops as planned took the vote of a member that was down.
#[test]
fn a_planned_replacement_of_the_leader_leaves_a_member_that_is_down_its_vote() {
    let (mut region, leader, [.., down]) = start_group(1);
    let group = Group::new(leader, down, leader);
    region.kill(down);
    thread::sleep(LOSS_INTERVAL);
    start_with_seeds(&mut region, group.successor, &group.others);
    thread::sleep(CATCH_UP_TIME);
    region.stop(leader);
    let [_, second, third] = group.others;
    check_lost_disks(&mut region, &group, [second, third], Survivors::Run);
}

/// A group that waited for a member to leave as planned removed one that was down, so that the
/// member that left found no successor and kept its vote.
#[test]
fn a_planned_replacement_after_its_successor_has_joined_leaves_a_member_that_is_down_its_vote() {
    let (mut region, leader, [down, .., gone]) = start_group(1);
    let group = Group::new(leader, down, gone);
    start_with_seeds(&mut region, group.successor, &group.others);
    region.await_members(6);
    region.kill(down);
    thread::sleep(REMOVAL_TIME);
    region.stop(gone);
    let [_, second, third] = group.others;
    check_lost_disks(&mut region, &group, [second, third], Survivors::Run);
}

/// A group with a voter too many removed one that was down, as that had been silent for longer than
/// the one that was gone.
#[test]
fn a_surplus_member_that_is_gone_is_removed_and_not_one_that_is_down() {
    let (mut region, leader, [down, .., gone]) = start_group(1);
    let group = Group::new(leader, down, gone);
    start_with_seeds(&mut region, group.successor, &group.others);
    region.await_members(6);
    region.kill(down);
    thread::sleep(LOSS_INTERVAL);
    region.kill(gone);
    thread::sleep(REMOVAL_TIME);
    let [_, second, third] = group.others;
    check_lost_disks(&mut region, &group, [second, third], Survivors::Run);
}

/// The member that was down is back this long before two disks are lost.
fn check_back_before_the_loss(time_before: Duration) {
    let (mut region, leader, [down, .., gone]) = start_group(1);
    let group = Group::new(leader, down, gone);
    kill_and_replace(&mut region, &group, [down, gone]);
    thread::sleep(CATCH_UP_TIME - time_before);
    region.start(down, false);
    let back = Instant::now();
    while back.elapsed() < time_before {
        region.restart_ended_of(&[down]);
        thread::sleep(POLL_INTERVAL);
    }
    let [_, second, third] = group.others;
    check_lost_disks(&mut region, &group, [second, third], Survivors::Run);
}

/// The member that was down was told that its id was retired, and discarded its disk just before
/// two others were lost.
#[test]
fn a_member_that_was_down_and_is_back_just_before_the_losses_keeps_its_vote() {
    check_back_before_the_loss(Duration::from_millis(300));
}

/// Guards against a member that has no vote for long once it is back.
#[test]
fn a_member_that_was_down_and_is_back_before_the_losses_has_a_vote() {
    check_back_before_the_loss(Duration::from_millis(1_500));
}

/// Guards against a successor that replaces a member that comes back while it waits.
#[test]
fn a_member_that_was_down_and_is_back_long_before_the_losses_has_a_vote() {
    check_back_before_the_loss(Duration::from_millis(4_000));
}

/// The first of two rounds broke as above. Guards as well against a group that has fewer than five
/// voters once it has recovered.
#[test]
fn a_group_bears_the_same_losses_again_once_it_has_recovered() {
    let (mut region, leader, [down, .., gone]) = start_group(2);
    let group = Group::new(leader, down, gone);
    let [_, second, third] = group.others;
    check_down_and_gone(&mut region, &group, [down, gone], [second, third], Survivors::Run);
    let members = group.remaining();
    eventually("five voters", || {
        region.restart_ended_of(&members);
        region.is_group_by(&members, 5, 5).then_some(())
    });
    thread::sleep(CATCH_UP_TIME);

    let leader = region.await_leader(5);
    let mut followers = members.into_iter().filter(|i| *i != leader);
    let [down, gone] = [(); 2].map(|()| followers.next().expect("four followers"));
    let group = Group::of_members(&members, leader, down, gone, SECOND_SUCCESSOR);
    let [_, second, third] = group.others;
    check_down_and_gone(&mut region, &group, [down, gone], [second, third], Survivors::LosePower);
}

/// Two members are down, and both are back, before or after two others lose their disks. A spare
/// has joined meanwhile.
fn check_two_down_beside_a_spare(are_back_before: bool) {
    let (mut region, leader, [first, .., second]) = start_group(1);
    let group = Group::new(leader, first, second);
    kill_and_replace(&mut region, &group, [first, second]);
    let members = [group.remaining().as_slice(), &[second]].concat();
    thread::sleep(CATCH_UP_TIME);
    if are_back_before {
        [first, second].iter().for_each(|i| region.start(*i, false));
        let back = Instant::now();
        while back.elapsed() < CATCH_UP_TIME {
            region.restart_ended_of(&[first, second]);
            thread::sleep(POLL_INTERVAL);
        }
    }
    let [_, third, fourth] = group.others;
    lose_disks(&mut region, &group, [third, fourth], Survivors::Run);
    thread::sleep(SILENCE_LASTS);
    check_document_is_read(&mut region, &group, &members);
}

/// Guards against a spare that costs a group the votes of two members that were down.
#[test]
fn two_members_that_are_down_beside_a_spare_bring_the_document_back() {
    check_two_down_beside_a_spare(false);
}

/// The same where both are back before the disks are lost.
#[test]
fn two_members_that_were_down_beside_a_spare_have_their_votes_back() {
    check_two_down_beside_a_spare(true);
}

/// Guards against a group without a spare that gives the votes of two members away that are down.
#[test]
fn two_members_that_are_down_without_a_spare_bring_the_document_back() {
    let (mut region, leader, [first, .., second]) = start_group(1);
    let group = Group::new(leader, first, second);
    region.kill(first);
    thread::sleep(LOSS_INTERVAL);
    region.kill(second);
    thread::sleep(CATCH_UP_TIME);
    let [kept, third, fourth] = group.others;
    let members = [kept, third, fourth, first, second];
    let body = document(7, "/x/", "s1");
    region.control_request_until_ok(kept, "PUT", DOCUMENT_PATH, &body);
    for i in [third, fourth] {
        region.kill(i);
        region.lose_disk(i);
        start_with_seeds(&mut region, i, &members);
    }
    thread::sleep(SILENCE_LASTS);
    check_document_is_read(&mut region, &group, &members);
}

/// Two of the members that answer lose their disks once a successor has caught up, some of them
/// together with their VMs. The document must be read, from the member that is down as well if it
/// comes back.
fn check_losses_of_vms(are_gone: [bool; 2], is_back: bool) {
    let (mut region, leader, [down, .., gone]) = start_group(2);
    let group = Group::new(leader, down, gone);
    kill_and_replace(&mut region, &group, [down, gone]);
    thread::sleep(CATCH_UP_TIME);
    let [first, second, third] = group.others;
    let body = document(7, "/x/", "s1");
    region.control_request_until_ok(first, "PUT", DOCUMENT_PATH, &body);
    [second, third].iter().for_each(|i| region.kill(*i));
    let mut members = vec![first, group.successor, SECOND_SUCCESSOR];
    for (i, is_gone) in [second, third].into_iter().zip(are_gone) {
        region.lose_disk(i);
        if !is_gone {
            members.push(i);
            start_with_seeds(&mut region, i, &[first, group.successor, i]);
        }
    }
    thread::sleep(SUCCESSOR_DELAY);
    start_with_seeds(&mut region, SECOND_SUCCESSOR, &members);
    thread::sleep(SILENCE_LASTS);
    if is_back {
        members.push(down);
        region.start(down, false);
    }
    check_document_is_read(&mut region, &group, &members);
}

/// Of the two disks one was lost with its VM, whose successor has another address, and the vote of
/// a member that was down had been taken before.
#[test]
fn a_member_that_is_down_keeps_its_vote_also_if_one_of_two_disks_is_lost_with_its_vm() {
    check_losses_of_vms([false, true], true);
}

/// A member that was down didn't come back at all, and the two others that had the document weren't
/// enough.
#[test]
fn two_disks_are_enough_while_a_member_that_is_down_stays_away() {
    check_losses_of_vms([false, false], false);
}

/// Both disks are lost with their VMs, so that nothing tells of their loss.
#[test]
fn a_member_that_is_down_brings_the_document_back_if_two_disks_are_lost_with_their_vms() {
    check_losses_of_vms([true, true], true);
}

/// Guards against a group in which the successors of both members that are silent cost the one that
/// is down its disk without a gain.
#[test]
fn a_group_with_successors_of_both_silent_members_survives_two_lost_disks() {
    let (mut region, leader, [down, .., gone]) = start_group(2);
    let group = Group::new(leader, down, gone);
    kill_and_replace(&mut region, &group, [down, gone]);
    start_with_seeds(&mut region, SECOND_SUCCESSOR, &group.others);
    thread::sleep(CATCH_UP_TIME);
    let [_, second, third] = group.others;
    check_lost_disks(&mut region, &group, [second, third], Survivors::LosePower);
}

/// Guards against a member whose disk is full while a successor joins, and that doesn't find the
/// successor after a loss of power.
#[test]
fn a_member_that_could_not_save_the_address_of_a_successor_finds_it_after_losses() {
    let (mut region, leader, [down, .., gone]) = start_group(1);
    let group = Group::new(leader, down, gone);
    let [first, second, third] = group.others;
    let partial = region.data_folder(first).join("voters.json.partial");
    symlink("/dev/full", &partial).expect("a link");
    kill_and_replace(&mut region, &group, [gone, down]);
    thread::sleep(CATCH_UP_TIME);
    lose_disks(&mut region, &group, [second, third], Survivors::LosePower);
    thread::sleep(SILENCE_LASTS);
    fs::remove_file(&partial).expect("removed");
    region.start(down, false);
    check_document_is_read(&mut region, &group, &group.remaining());
}
