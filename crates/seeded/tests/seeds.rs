//! Inputs and failures of property tests.

use std::{cell::RefCell, panic};

/// All inputs of one run.
fn inputs() -> Vec<Vec<u8>> {
    let inputs = RefCell::new(Vec::new());
    seeded::check()
        .with_type::<Vec<u8>>()
        .for_each(|input| inputs.borrow_mut().push(input.clone()));
    inputs.into_inner()
}

/// Each run must have the same inputs: with others, a property would fail in one run and pass in
/// the next.
#[test]
fn two_runs_get_the_same_inputs() {
    let first = inputs();
    assert_eq!(first, inputs());
    let distinct: std::collections::BTreeSet<_> = first.iter().collect();
    assert!(distinct.len() > first.len() / 2, "most inputs of a run must differ");
}

/// A panic must fail the test: a runner that ignores panics would let every property pass.
#[test]
fn a_failure_of_one_input_fails_the_test() {
    let result = panic::catch_unwind(|| {
        seeded::check().with_type::<u8>().for_each(|n| assert!(*n < 200));
    });
    assert!(result.is_err());
}
