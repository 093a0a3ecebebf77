//! Back-up and restore of the control group, with daemon processes.

mod common;

use common::{Fleet, wait_until};
use control::State;
use group::Membership;
use std::{fs, path::Path};
use toucansilld::local::{OPERATOR_TOKEN, sheet};

/// Number of daemons with a voter.
const VOTERS: usize = 3;
/// Number of daemons; the last one has no voter.
const DAEMONS: usize = 4;
/// Epoch of the restored group, which must be higher than that of the first group, 1.
const RESTORED_EPOCH: u64 = 2;

/// Writes a back-up from daemon 0 to `file`.
fn back_up(fleet: &Fleet, file: &Path) {
    let res = minreq::get(format!("http://{}/backup", fleet.operators(0)))
        .with_header("Authorization", format!("Bearer {OPERATOR_TOKEN}"))
        .with_timeout(30)
        .send()
        .expect("a response");
    assert_eq!(res.status_code, 200);
    fs::write(file, res.as_bytes()).expect("a file");
}

/// Kills all daemons with a voter, and starts them again on folders restored from the back-up.
fn restore_all(fleet: &mut Fleet, file: &Path) {
    (0..VOTERS).for_each(|i| fleet.kill(i));
    let snapshot = disk::read_backup(file).expect("a back-up");
    for id in 1..=VOTERS {
        let folder = fleet.dir.path().join(format!("daemon-{id}"));
        fs::remove_dir_all(&folder).expect("the voter's folder");
        let state = State::restore(&snapshot.data).expect("a state");
        let renewed = state.for_new_group(RESTORED_EPOCH).expect("a higher epoch").snapshot();
        let members = Membership::initial(RESTORED_EPOCH, 1..=VOTERS as u64);
        group::restore_backup(folder.join("group"), id as u64, &snapshot, members, |_, _| renewed)
            .expect("an empty folder");
    }
    (0..VOTERS).for_each(|i| fleet.spawn(i));
}

/// Fleet with sheet 2 in force, which takes dc-2 out of service, and a back-up of it in `file`.
fn fleet_with_sheet_2(file: &Path) -> Fleet {
    let fleet = Fleet::start(DAEMONS);
    fleet.apply(0, &sheet(&fleet.cfg, 1, &["small"], &[]));
    fleet.apply(0, &sheet(&fleet.cfg, 2, &["small"], &["dc-2"]));
    let last = DAEMONS - 1;
    wait_until("the sheet is known", || fleet.status(last)["sheet"] == 2);
    back_up(&fleet, file);
    fleet
}

// A restored group starts a new log. Daemons, also one without a voter, must accept its higher
// epoch and the sheet of the back-up, and later sheets must still take effect.
#[test]
fn daemons_follow_a_restored_group_with_the_sheet_of_its_backup() {
    let dir = tempfile::tempdir().expect("a temporary folder");
    let file = dir.path().join("backup");
    let mut fleet = fleet_with_sheet_2(&file);
    restore_all(&mut fleet, &file);
    for i in 0..DAEMONS {
        wait_until("the daemon follows the new group", || {
            let index = fleet.status(i)["index"].as_u64();
            index.is_some_and(|index| index > RESTORED_EPOCH << 40)
        });
        fleet.await_ready(i);
        let status = fleet.status(i);
        assert_eq!(status["sheet"], 2);
        assert_eq!(status["data_centres"]["dc-2"], false);
    }
    let index = fleet.apply(3, &sheet(&fleet.cfg, 3, &["small"], &[]));
    wait_until("a further sheet is in force", || {
        let (_, force) = fleet.operator_request(3, "GET", &format!("/in-force?index={index}"), "");
        force["in_force"] == true
    });
}

// A group restored from an old back-up has lost the last sheet. A daemon that had already applied
// that sheet must not serve requests under the older one, until operators apply the later sheet
// again.
#[test]
fn a_daemon_with_a_later_sheet_takes_no_requests_under_a_restored_older_one() {
    let dir = tempfile::tempdir().expect("a temporary folder");
    let file = dir.path().join("backup");
    let mut fleet = fleet_with_sheet_2(&file);
    let last = DAEMONS - 1;
    let later = sheet(&fleet.cfg, 3, &["small"], &["dc-3"]);
    fleet.apply(0, &later);
    wait_until("the sheet is known", || fleet.status(last)["sheet"] == 3);
    restore_all(&mut fleet, &file);
    (0..VOTERS).for_each(|i| fleet.await_ready(i));
    wait_until("the surviving daemon has refused the older sheet", || {
        let log = fleet.dir.path().join(format!("daemon-{DAEMONS}.log"));
        fs::read_to_string(log).is_ok_and(|log| log.contains("the control group has sheet 2"))
    });
    assert_eq!(fleet.status(last)["sheet"], 3);
    wait_until("the former lease has expired", || fleet.ready_status(last) == 503);

    fleet.apply(0, &later);
    fleet.await_ready(last);
    assert_eq!(fleet.status(last)["sheet"], 3);
    assert_eq!(fleet.status(last)["data_centres"]["dc-3"], false);
}
