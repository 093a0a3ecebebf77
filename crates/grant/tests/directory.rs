//! Statements that come late, crossed, or from runs that are over.

use grant::{Directory, Registration, RegistrationOutcome};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

fn said(id: &str, port: u16, started_at_ms: u64, sequence: u64) -> Registration {
    let address = format!("10.0.0.1:{port}").parse().expect("an address");
    Registration { started_at_ms, sequence, ..Registration::new(id, "s", address) }
}

fn open(directory: &Directory) -> Vec<String> {
    directory.available("s").map(|entry| entry.registration.id.clone()).collect()
}

#[test]
fn a_late_statement_changes_nothing() {
    let now = Instant::now();
    let mut directory = Directory::new();
    let draining = Registration { is_draining: true, ..said("u", 1, 5, 3) };
    assert_eq!(directory.register(now, said("u", 1, 5, 2)), RegistrationOutcome::Started);
    assert_eq!(directory.register(now, draining), RegistrationOutcome::Changed);
    assert_eq!(directory.register(now, said("u", 1, 5, 2)), RegistrationOutcome::Stale);
    assert!(open(&directory).is_empty(), "it drains");
}

#[test]
fn one_that_has_left_comes_back_only_as_a_later_run() {
    let now = Instant::now();
    let mut directory = Directory::new();
    directory.register(now, said("u", 1, 5, 2));
    assert!(directory.deregister(now, "u"));
    assert!(!directory.deregister(now, "u"), "no news");
    assert_eq!(directory.register(now, said("u", 1, 5, 3)), RegistrationOutcome::Stale);
    assert_eq!(directory.register(now, said("u", 1, 6, 1)), RegistrationOutcome::Started);
    assert_eq!(open(&directory), ["u"]);
}

#[test]
fn an_address_has_one_holder_and_the_dead_do_not_get_it_back() {
    let now = Instant::now();
    let mut directory = Directory::new();
    directory.register(now, said("old", 1, 5, 9));
    assert_eq!(directory.register(now, said("new", 1, 8, 1)), RegistrationOutcome::Started);
    assert_eq!(open(&directory), ["new"]);
    assert_eq!(directory.register(now, said("old", 1, 5, 10)), RegistrationOutcome::Stale);
    assert_eq!(open(&directory), ["new"]);
}

#[test]
fn a_closed_data_centre_has_no_open_upstream() {
    let now = Instant::now();
    let mut directory = Directory::new();
    let away = Registration { data_centre: "dc-2".to_owned(), ..said("away", 2, 1, 1) };
    directory.register(now, said("here", 1, 1, 1));
    directory.register(now, away);
    directory.set_out_of_service(BTreeSet::from(["dc-2".to_owned()]));
    assert_eq!(open(&directory), ["here"]);
}

#[test]
fn a_copy_that_takes_over_changes_equals_the_original() {
    let now = Instant::now();
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut original, mut copy) = (Directory::new(), Directory::new());
    for step in 0..2_000u64 {
        let id = format!("u{}", rng.u8(0..8));
        match rng.u8(0..10) {
            0 => drop(original.deregister(now, &id)),
            1 => original.purge_departed(now + Duration::from_secs(step)),
            _ => {
                let mut said = said(&id, u16::from(rng.u8(0..8)), rng.u64(0..20), rng.u64(0..9));
                said.is_draining = rng.u8(0..4) == 0;
                original.register(now, said);
            }
        }
        if rng.u8(0..3) == 0 {
            let is_whole = !original.has_history_since(copy.revision());
            let since = if is_whole { 0 } else { copy.revision() };
            let changes = original.changes_since(now, since);
            copy.adopt_entries(now, is_whole, original.revision(), changes);
            assert_eq!(open(&original), open(&copy), "step {step}");
        }
    }
}
