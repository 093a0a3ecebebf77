//! Searches whose result is asserted, with bounds that variables of the environment replace.

use super::{
    Scenario,
    search::{Outcome, explore},
    state::Violation,
};
use std::{env, time::Instant};

/// The value of a variable of the environment that replaces a bound.
pub(crate) fn bound(name: &str, default: u8) -> u8 {
    env::var(name).map_or(default, |value| value.parse().expect("a bound is a small number"))
}

fn search(scenario: &Scenario) -> Outcome {
    let scenario = Scenario {
        terms: bound("MODEL_TERMS", scenario.terms),
        entries: bound("MODEL_ENTRIES", scenario.entries),
        losses: bound("MODEL_LOSSES", scenario.losses),
        ..scenario.clone()
    };
    let start = Instant::now();
    let outcome = explore(&scenario);
    println!("{} states in {:.1?} of {scenario:?}", outcome.states, start.elapsed());
    outcome
}

#[track_caller]
pub(crate) fn assert_safe(scenario: &Scenario) {
    let outcome = search(scenario);
    assert!(outcome.violation.is_none(), "{:#?}", outcome.violation);
}

/// Asserts that a faulty rule has a violation, as the search says nothing if it can't find one.
#[track_caller]
pub(crate) fn assert_unsafe(scenario: &Scenario, expected: &[Violation]) {
    let (violation, steps) = explore(scenario).violation.expect("the fault is found");
    println!("{violation:?} after {steps:#?}");
    assert!(expected.contains(&violation), "{violation:?} after {steps:#?}");
}
