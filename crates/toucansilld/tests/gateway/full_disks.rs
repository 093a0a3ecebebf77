//! Tests of daemons whose disks refuse writes for a while.
//!
//! A temporary file that is a link to `/dev/full` stands for a full disk: a write to it fails as on one. One that is a
//! named pipe stands for a disk that hangs: it can't be opened until somebody reads from it.

use super::{Region, Upstream, eventually, version};
use platform::stand_in::{DOCUMENT_PATH, document, upstream_path};
use std::{fs, os::unix::fs::symlink, process::Command, thread, time::Duration};

/// Time for which a daemon tries to start on a full disk: several attempts.
const DISK_IS_FULL: Duration = Duration::from_secs(1);

/// Guards against a member that learns the address of another one while its disk is full, and never saves it
/// although there is room again: after a loss of power of all, it can't reach that one.
#[test]
fn an_address_that_was_not_saved_is_saved_once_there_is_room() {
    let mut region = Region::new(6);
    (0..5).for_each(|i| region.start(i, true));
    region.await_members(5);
    let follower = (region.await_leader(5) + 1) % 5;
    let folder = region.data_folder(follower);
    let partial = folder.join("voters.json.partial");
    symlink("/dev/full", &partial).expect("a link");
    region.start(5, false);
    region.await_members(6);
    let is_saved = || {
        let text = fs::read_to_string(folder.join("voters.json")).expect("the addresses");
        text.contains(&region.ip(5))
    };
    assert!(!is_saved(), "the disk is full");
    fs::remove_file(&partial).expect("removed");
    eventually("the address is saved", || is_saved().then_some(()));
}

/// Guards against a member whose process ends at each start while its disk is full: a supervisor that waits longer after
/// each failure, or gives up, keeps it away long after there is room again.
#[test]
fn a_member_whose_disk_is_full_at_its_start_joins_once_there_is_room() {
    let mut region = Region::new(5);
    (0..5).for_each(|i| region.start(i, true));
    region.await_members(5);
    let member = (region.await_leader(5) + 1) % 5;
    region.kill(member);
    region.lose_disk(member);
    region.await_group(5, 4);
    fs::create_dir(region.data_folder(member)).expect("a folder");
    let partial = region.data_folder(member).join("member-id.partial");
    symlink("/dev/full", &partial).expect("a link");
    region.start(member, false);
    thread::sleep(DISK_IS_FULL);
    assert!(region.is_running(member), "the process ended by itself");
    fs::remove_file(&partial).expect("removed");
    region.await_members(5);
    assert!(region.is_running(member), "the process ended by itself");
}

/// A daemon that waits for room on its disk must stop when it is told to.
#[test]
fn a_member_that_waits_for_room_on_its_disk_stops_when_it_is_told() {
    let mut region = Region::new(1);
    fs::create_dir(region.data_folder(0)).expect("a folder");
    symlink("/dev/full", region.data_folder(0).join("member-id.partial")).expect("a link");
    region.start(0, true);
    eventually("an attempt", || region.log(0).contains("not started").then_some(()));
    region.stop(0);
    assert!(region.log(0).contains("\"text\":\"stopped\""));
}

/// A daemon that found no room at the first start of its region has to found the group once there is some.
#[test]
fn a_founder_whose_disk_is_full_founds_the_group_once_there_is_room() {
    let mut region = Region::new(1);
    fs::create_dir(region.data_folder(0)).expect("a folder");
    let partial = region.data_folder(0).join("member-id.partial");
    symlink("/dev/full", &partial).expect("a link");
    region.start(0, true);
    eventually("an attempt", || region.log(0).contains("not started").then_some(()));
    fs::remove_file(&partial).expect("removed");
    region.await_members(1);
}

/// Guards against a member that does nothing while its disk hangs at the address of another one: neither calls nor pings
/// of links were answered, and it sent no messages.
#[test]
fn a_member_whose_disk_hangs_at_an_address_goes_on() {
    let mut region = Region::new(6);
    (0..5).for_each(|i| region.start(i, true));
    region.await_members(5);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &document(7, "/x/", "s1"));
    let follower = (region.await_leader(5) + 1) % 5;
    let folder = region.data_folder(follower);
    let partial = folder.join("voters.json.partial");
    let made = Command::new("mkfifo").arg(&partial).status().expect("a named pipe");
    assert!(made.success(), "mkfifo");
    region.start(5, false);
    region.await_members(6);
    let body = region.control_request_until_ok(follower, "GET", DOCUMENT_PATH, "");
    assert_eq!(version(&body), 7);
    // A reader lets the attempt go on, which fails as a pipe can't be synced.
    let reader = fs::File::options().read(true).write(true).open(&partial).expect("the pipe");
    fs::remove_file(&partial).expect("removed");
    eventually("the address is saved", || {
        let text = fs::read_to_string(folder.join("voters.json")).expect("the addresses");
        text.contains(&region.ip(5)).then_some(())
    });
    drop(reader);
}

/// Has the disk of a daemon hang at its next snapshot.
fn let_disk_hang(region: &Region, i: usize) {
    let folder = region.data_folder(i).join("group");
    let partial_snapshots = (1..200).map(|i| folder.join(format!("snapshot-{i:020}.partial")));
    let made = Command::new("mkfifo").args(partial_snapshots).status().expect("named pipes");
    assert!(made.success(), "mkfifo");
}

/// A member whose disk hung passed calls on to the leader that it had known before, which was gone, and answered each of
/// them with 503.
#[test]
fn a_member_whose_disk_hangs_passes_calls_on_to_the_next_leader() {
    const CHANGES: u64 = 30;
    let mut region = Region::new(5);
    region.set_snapshot_entries(20);
    (0..5).for_each(|i| region.start(i, true));
    region.await_members(5);
    let leader = region.await_leader(5);
    let [hanging, other] = [1, 2].map(|n| (leader + n) % 5);
    let_disk_hang(&region, hanging);
    for version in 1..CHANGES {
        let body = document(version, "/x/", "s1");
        region.control_request_until_ok(other, "PUT", DOCUMENT_PATH, &body);
    }
    region.kill(leader);
    let body = document(CHANGES, "/x/", "s1");
    region.control_request_until_ok(other, "PUT", DOCUMENT_PATH, &body);
    let read = region.control_request_until_ok(hanging, "GET", DOCUMENT_PATH, "");
    assert_eq!(version(&read), CHANGES);
}

/// Guards against an entry that follows a leader whose disk hangs, and so doesn't get the changes that its successor
/// acknowledges.
#[test]
fn an_entry_leaves_a_leader_whose_disk_hangs() {
    const CHANGES: u64 = 60;
    let mut region = Region::new(5);
    region.set_snapshot_entries(20);
    region.start_all(true);
    region.await_members(5);
    let upstreams = [("s1", Upstream::start("first")), ("s2", Upstream::start("second"))];
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &document(1, "/x/", "s1"));
    for (service, upstream) in &upstreams {
        let registration = upstream.registration(service, 1, "ready");
        let path = upstream_path(service);
        region.control_request_until_ok(0, "PUT", &path, &registration);
    }
    let is_served_by = |region: &Region, name: &str| {
        region.request("/x/1").is_some_and(|(status, body)| status == 200 && body.starts_with(name))
    };
    eventually("the document is in force", || is_served_by(&region, "first").then_some(()));
    let leader = region.await_leader(5);
    let_disk_hang(&region, leader);
    let other = (leader + 1) % 5;
    for version in 2..CHANGES {
        let (service, name) = [("s1", "first"), ("s2", "second")][(version % 2) as usize];
        let body = document(version, "/x/", service);
        region.control_request_until_ok(other, "PUT", DOCUMENT_PATH, &body);
        eventually("the document is in force", || is_served_by(&region, name).then_some(()));
    }
    assert!(!region.leads(leader), "its disk hangs");
}
