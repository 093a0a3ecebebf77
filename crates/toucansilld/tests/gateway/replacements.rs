//! Tests of groups whose members are replaced: at each moment two disks may be lost, and what was
//! acknowledged must be read again.

use super::{Region, eventually, version};
use platform::stand_in::{DOCUMENT_PATH, document};
use std::{thread, time::Duration};

/// Time after which a silent member may surely be replaced.
const REPLACEABLE_AFTER: Duration = Duration::from_millis(1_500);
/// Time for which a frozen member stays so after the loss of disks: the leader replaces it meanwhile.
const FREEZE_LASTS: Duration = Duration::from_millis(1_500);

/// Starts a group of five, and a sixth daemon that is to take the place of one of them.
fn group_with_successor() -> Region {
    let mut region = Region::new(6);
    (0..5).for_each(|i| region.start(i, true));
    region.await_members(5);
    region.start(5, false);
    region.await_members(6);
    region
}

/// Two daemons lose their disks, and come back with empty ones.
fn lose_two_disks(region: &mut Region, lost: [usize; 2]) {
    lost.iter().for_each(|i| region.kill(*i));
    lost.iter().for_each(|i| region.lose_disk(*i));
    lost.iter().for_each(|i| region.start(*i, false));
}

/// Daemon `i` leaves as planned, and two others lose their disks as soon as its process has ended.
fn check_planned_replacement(mut region: Region, i: usize) {
    let others: Vec<usize> = (0..6).filter(|other| *other != i).collect();
    region.control_request_until_ok(others[0], "PUT", DOCUMENT_PATH, &document(7, "/x/", "s1"));
    region.stop(i);
    lose_two_disks(&mut region, [others[1], others[3]]);
    let body = region.control_request_until_ok(others[0], "GET", DOCUMENT_PATH, "");
    assert_eq!(version(&body), 7);
    eventually("all members", || {
        region.restart_ended_of(&others);
        region.is_group(5, 5).then_some(())
    });
}

/// A member that had left was still counted as a voter: of six voters three were left, which is no
/// majority.
#[test]
fn two_disks_are_lost_when_a_replaced_member_has_left() {
    let region = group_with_successor();
    let leader = region.await_leader(6);
    check_planned_replacement(region, (leader + 1) % 5);
}

/// The same for the leader, which passes on its leadership first.
#[test]
fn two_disks_are_lost_when_a_replaced_leader_has_left() {
    let region = group_with_successor();
    let leader = region.await_leader(6);
    check_planned_replacement(region, leader);
}

/// A member that stops without a successor may just restart: it must keep its id and its vote.
#[test]
fn a_member_that_restarts_stays_a_member() {
    let mut region = Region::new(3);
    region.start_all(true);
    region.await_members(3);
    let id = region.member_id(1);
    region.stop(1);
    region.start(1, false);
    region.await_members(3);
    assert_eq!(region.member_id(1), id);
}

/// A member that restarts while another one is being replaced leaves the group, as it can't tell which of
/// them is to go. It must join again at its next start, without ending once more first.
#[test]
fn a_member_that_restarts_beside_a_successor_joins_again() {
    let mut region = group_with_successor();
    let id = region.member_id(1);
    region.stop(1);
    region.await_members(5);
    region.start(1, false);
    region.await_members(6);
    assert_ne!(region.member_id(1), id);
    assert!(region.is_running(1), "the process ended by itself");
}

/// Freezes a member that doesn't lead, starts a machine that is to take its place, and takes the disks of two
/// others `pause` after that has been admitted as a learner.
fn check_replacement_of_a_frozen_member(pause: Duration) {
    let mut region = Region::new(6);
    (0..5).for_each(|i| region.start(i, true));
    region.await_members(5);
    let leader = region.await_leader(5);
    let [frozen, first, second] = [1, 2, 3].map(|n| (leader + n) % 5);
    region.control_request_until_ok(leader, "PUT", DOCUMENT_PATH, &document(7, "/x/", "s1"));
    region.signal(frozen, "-STOP");
    thread::sleep(REPLACEABLE_AFTER);
    region.start(5, false);
    eventually("the successor", || {
        let (log, ip) = (region.log(leader), region.ip(5));
        let is_admitted = |line: &str| line.contains("member admitted") && line.contains(&ip);
        log.lines().any(is_admitted).then_some(())
    });
    thread::sleep(pause);
    lose_two_disks(&mut region, [first, second]);
    thread::sleep(FREEZE_LASTS);
    region.signal(frozen, "-CONT");
    let body = eventually("the document", || {
        region.restart_ended();
        let response = region.control_request(leader, "GET", DOCUMENT_PATH, "");
        response.filter(|(status, _)| *status == 200).map(|(_, body)| body)
    });
    assert_eq!(version(&body), 7);
}

/// A sound member that was frozen lost its vote before its successor had one. With two other disks lost at
/// that moment, four voters with two disks were left, and the acknowledged document was gone.
#[test]
fn two_disks_are_lost_before_a_frozen_member_is_replaced() {
    check_replacement_of_a_frozen_member(Duration::from_millis(100));
}

/// The same once the successor has joined.
#[test]
fn two_disks_are_lost_when_a_frozen_member_has_been_replaced() {
    check_replacement_of_a_frozen_member(Duration::from_secs(1));
}

/// All seeds of two members are gone, or are themselves, when their disks are lost. They never joined the group
/// again, although its leader went on sending them messages, and answered each call with 503.
#[test]
fn members_without_disks_join_although_all_their_seeds_are_gone() {
    let mut region = Region::new(6);
    (0..5).for_each(|i| region.start(i, true));
    region.await_members(5);
    region.kill(0);
    region.lose_disk(0);
    thread::sleep(REPLACEABLE_AFTER);
    region.start(5, false);
    eventually("a successor", || region.is_group(5, 5).then_some(()));
    lose_two_disks(&mut region, [1, 2]);
    let others = [1, 2, 3, 4, 5];
    eventually("members", || {
        region.restart_ended_of(&others);
        let has_joined = |i: &usize| {
            region
                .control_request(*i, "GET", DOCUMENT_PATH, "")
                .is_some_and(|(_, body)| body.contains("no routing was published yet"))
        };
        (others.iter().all(has_joined) && region.is_group(5, 5)).then_some(())
    });
}

/// A member that was told that its id is retired forgot the addresses of the others with its log. It found nobody, as
/// its settings named only machines that are gone, and answered each call with 503.
#[test]
fn a_retired_member_joins_again_although_all_its_seeds_are_gone() {
    let mut region = Region::new(6);
    (0..5).for_each(|i| region.start(i, true));
    region.await_members(5);
    let (others, frozen) = ([0, 1, 2, 3, 5], 4);
    region.signal(frozen, "-STOP");
    thread::sleep(REPLACEABLE_AFTER);
    region.start(5, false);
    eventually("a successor", || region.is_group_by(&others, 5, 5).then_some(()));
    // Those that come back know nothing of the frozen member that isn't on their disks.
    others.iter().for_each(|i| region.kill(*i));
    others.iter().for_each(|i| region.start(*i, false));
    eventually("the group", || region.is_group_by(&others, 5, 5).then_some(()));
    region.set_seeds(frozen, region.gone_machines(3));
    region.write_settings(frozen, false);
    region.signal(frozen, "-CONT");
    eventually("the member", || {
        region.restart_ended();
        let response = region.control_request(frozen, "GET", DOCUMENT_PATH, "");
        let has_joined =
            response.is_some_and(|(_, body)| body.contains("no routing was published yet"));
        (has_joined && region.is_group(6, 6)).then_some(())
    });
}

/// Each replacement left an address for good on the disk of every member, and in each message between them.
#[test]
fn addresses_of_replaced_members_are_forgotten() {
    const REPLACEMENTS: usize = 6;
    let mut region = Region::new(3);
    (0..3).for_each(|i| region.start(i, true));
    region.await_members(3);
    for count in 1..=REPLACEMENTS {
        region.kill(2);
        region.lose_disk(2);
        region.start(2, false);
        eventually("the member", || {
            let logs = [0, 1].map(|i| region.log(i));
            let joined = logs.iter().map(|log| log.matches("member has joined").count());
            (joined.sum::<usize>() >= count).then_some(())
        });
    }
    // Those that were replaced last may still be there.
    for i in 0..3 {
        let stored = region.stored_addresses(i);
        assert!((3..=5).contains(&stored), "daemon {i} has stored {stored} addresses");
    }
}

/// A daemon waited 0.4 s for each machine that was gone or frozen, one after the other, before it asked the one that was
/// there.
#[test]
fn a_daemon_finds_the_group_among_many_silent_machines() {
    let mut region = Region::new(1);
    region.start(0, true);
    region.await_members(1);
    let (_silent, seeds) = region.silent_machines(160, 0);
    let entry = region.entry();
    region.set_seeds(entry, seeds);
    region.start(entry, false);
    eventually("a leader", || region.log(entry).contains("leader followed").then_some(()));
}

/// The leader removed a daemon with an empty disk as the former node of the voter at its address, whose vote it was to take:
/// it had to begin anew with another id, several times in a row.
#[test]
fn a_daemon_with_an_empty_disk_has_a_vote_under_its_first_id() {
    let mut region = Region::new(5);
    region.start_all(true);
    region.await_members(5);
    for i in (0..5).chain(0..5) {
        region.kill(i);
        region.lose_disk(i);
        region.start(i, false);
        eventually("a vote", || {
            let joined = format!("\"member\":{}", region.stored_id(i)?.trim());
            let has_joined = |log: String| {
                log.lines().any(|l| l.contains("member has joined") && l.contains(&joined))
            };
            (0..5).any(|i| has_joined(region.log(i))).then_some(())
        });
        let log = region.log(i);
        let removed = log.lines().find(|line| line.contains("its id was removed"));
        assert_eq!(removed, None);
        region.await_members(5);
    }
}
