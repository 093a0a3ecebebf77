//! Back-up and restore of the control group, with real daemon processes.

mod common;

use common::{Fleet, await_that};
use control::State;
use group::Membership;
use std::{fs, path::Path};
use toucansilld::local::{OPERATOR_TOKEN, sheet};

/// Daemons with a voter; one more has none.
const VOTERS: usize = 3;
const DAEMONS: usize = 4;
/// Epoch of the restored group; the first one's is 1.
const EPOCH: u64 = 2;

fn back_up(fleet: &Fleet, file: &Path) {
    let res = minreq::get(format!("http://{}/backup", fleet.operators(0)))
        .with_header("Authorization", format!("Bearer {OPERATOR_TOKEN}"))
        .with_timeout(30)
        .send()
        .expect("an answer");
    assert_eq!(res.status_code, 200);
    fs::write(file, res.as_bytes()).expect("a file");
}

/// Ends all voters and starts them again on fresh folders made from the back-up.
fn restore_all(fleet: &mut Fleet, file: &Path) {
    (0..VOTERS).for_each(|i| fleet.kill(i));
    let snapshot = disk::read_backup(file).expect("a back-up");
    for id in 1..=VOTERS {
        let folder = fleet.dir.path().join(format!("daemon-{id}"));
        fs::remove_dir_all(&folder).expect("the voter's folder");
        let state = State::restore(&snapshot.data).expect("a state");
        let renewed = state.for_new_group(EPOCH).expect("a higher epoch").snapshot();
        let members = Membership::initial(EPOCH, 1..=VOTERS as u64);
        group::restore_backup(folder.join("group"), id as u64, &snapshot, members, |_, _| renewed)
            .expect("an empty folder");
    }
    (0..VOTERS).for_each(|i| fleet.spawn(i));
}

fn fleet_with_sheet_2(file: &Path) -> Fleet {
    let fleet = Fleet::start(DAEMONS);
    fleet.apply(0, &sheet(&fleet.cfg, 1, &["small"], &[]));
    fleet.apply(0, &sheet(&fleet.cfg, 2, &["small"], &["dc-2"]));
    let last = DAEMONS - 1;
    await_that("the sheet is known", || fleet.status(last)["sheet"] == 2);
    back_up(&fleet, file);
    fleet
}

#[test]
fn all_daemons_come_back_with_the_sheet_of_the_backup() {
    let dir = tempfile::tempdir().expect("a temporary folder");
    let file = dir.path().join("backup");
    let mut fleet = fleet_with_sheet_2(&file);
    restore_all(&mut fleet, &file);
    for i in 0..DAEMONS {
        await_that("the daemon follows the new group", || {
            let index = fleet.status(i)["index"].as_u64();
            index.is_some_and(|index| index > EPOCH << 40)
        });
        fleet.await_ready(i);
        let status = fleet.status(i);
        assert_eq!(status["sheet"], 2);
        assert_eq!(status["data_centres"]["dc-2"], false);
    }
    let index = fleet.apply(3, &sheet(&fleet.cfg, 3, &["small"], &[]));
    await_that("a further sheet is in force", || {
        let (_, force) = fleet.operate(3, "GET", &format!("/in-force?index={index}"), "");
        force["in_force"] == true
    });
}

#[test]
fn a_daemon_that_knows_a_later_sheet_takes_no_work_under_an_older_one() {
    let dir = tempfile::tempdir().expect("a temporary folder");
    let file = dir.path().join("backup");
    let mut fleet = fleet_with_sheet_2(&file);
    let last = DAEMONS - 1;
    let later = sheet(&fleet.cfg, 3, &["small"], &["dc-3"]);
    fleet.apply(0, &later);
    await_that("the sheet is known", || fleet.status(last)["sheet"] == 3);
    restore_all(&mut fleet, &file);
    (0..VOTERS).for_each(|i| fleet.await_ready(i));
    await_that("the survivor is refused", || {
        let log = fleet.dir.path().join(format!("daemon-{DAEMONS}.log"));
        fs::read_to_string(log).is_ok_and(|log| log.contains("the control group has sheet 2"))
    });
    assert_eq!(fleet.status(last)["sheet"], 3);
    await_that("the former lease has run out", || fleet.ready_status(last) == 503);

    fleet.apply(0, &later);
    fleet.await_ready(last);
    assert_eq!(fleet.status(last)["sheet"], 3);
    assert_eq!(fleet.status(last)["data_centres"]["dc-3"], false);
}
