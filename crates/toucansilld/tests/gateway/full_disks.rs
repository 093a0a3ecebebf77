//! Tests of daemons whose disks refuse writes for a while.
//!
//! A temporary file that is a link to `/dev/full` stands for a full disk: a write to it fails as on one.

use super::{Region, eventually};
use std::{fs, os::unix::fs::symlink};

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
