//! Guards against a resent or late sheet that replaces a newer one, and against a lost race that
//! looks like a success.

use control::{Command, Configuration, DataCentre, Outcome, ProposedSheet, SheetOutcome, State};

fn sheet(number: u64, digest: u8, operator: &str) -> Command {
    let mut configuration = Configuration::new("cl-centro");
    let name = format!("dc-{digest}");
    configuration.data_centres.insert(name, DataCentre { in_service: true });
    Command::ApplySheet(ProposedSheet {
        number,
        digest: [digest; 32],
        configuration,
        operator: operator.to_string(),
    })
}

fn apply(state: &mut State, index: u64, cmd: &Command) -> SheetOutcome {
    match state.apply(index, cmd) {
        Outcome::Sheet(outcome) => outcome,
        other => panic!("not the outcome of a sheet: {other:?}"),
    }
}

#[test]
fn a_resend_gets_the_first_outcome_even_after_later_sheets() {
    let mut state = State::new();
    let first = apply(&mut state, 3, &sheet(10, 1, "ana"));
    apply(&mut state, 4, &sheet(11, 2, "ana"));
    assert_eq!(apply(&mut state, 5, &sheet(10, 1, "ana")), first);
    assert!(state.configuration().data_centres.contains_key("dc-2"));
}

#[test]
fn the_loser_of_a_race_learns_which_sheet_was_accepted() {
    let mut state = State::new();
    apply(&mut state, 3, &sheet(10, 1, "ana"));
    let lost = apply(&mut state, 4, &sheet(10, 2, "luis"));
    let expected =
        SheetOutcome::Conflict { digest: [1; 32], operator: "ana".to_string(), index: 3 };
    assert_eq!(lost, expected);
}

#[test]
fn a_lower_number_is_stale() {
    let mut state = State::new();
    apply(&mut state, 3, &sheet(10, 1, "ana"));
    assert_eq!(apply(&mut state, 4, &sheet(9, 2, "ana")), SheetOutcome::Stale { number: 10 });
}

#[test]
fn another_regions_sheet_is_refused() {
    let mut state = State::new();
    apply(&mut state, 3, &sheet(10, 1, "ana"));
    let other = ProposedSheet {
        number: 11,
        digest: [2; 32],
        configuration: Configuration::new("west-java"),
        operator: "ana".to_string(),
    };
    let outcome = apply(&mut state, 4, &Command::ApplySheet(other));
    assert_eq!(outcome, SheetOutcome::WrongRegion { region: "cl-centro".to_string() });
}

#[test]
fn an_index_is_applied_once() {
    let mut state = State::new();
    apply(&mut state, 3, &sheet(10, 1, "ana"));
    assert_eq!(state.apply(3, &sheet(11, 2, "ana")), Outcome::Skipped);
}
