//! Breadth-first search of all states of a scenario.

use super::{
    Scenario,
    state::{State, Step, Violation},
};
use std::{
    collections::HashSet,
    hash::{BuildHasherDefault, Hasher},
};

/// What a search found.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) states: usize,
    /// A violation with the fewest steps, and these.
    pub(crate) violation: Option<(Violation, Vec<Step>)>,
}

/// Faster than the default for states, which are many small fields.
#[derive(Default)]
struct StateHasher(u64);

impl Hasher for StateHasher {
    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.write_u64(u64::from(*byte)));
    }

    fn write_u8(&mut self, value: u8) {
        self.write_u64(u64::from(value));
    }

    fn write_u64(&mut self, value: u64) {
        const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
        self.0 = (self.0.rotate_left(7) ^ value).wrapping_mul(MULTIPLIER);
    }

    fn write_usize(&mut self, value: usize) {
        self.write_u64(value as u64);
    }

    fn write_isize(&mut self, value: isize) {
        self.write_u64(value as u64);
    }

    fn finish(&self) -> u64 {
        self.0 ^ self.0 >> 32
    }
}

/// Visits every state of the scenario, up to renamed nodes, or stops at the first violation.
pub(crate) fn explore(scenario: &Scenario) -> Outcome {
    let symmetries = scenario.symmetries();
    let mut visited: HashSet<State, BuildHasherDefault<StateHasher>> = HashSet::default();
    visited.insert(State::default());
    // Each state that was reached, how, and the position of the one before.
    let mut reached: Vec<(Step, usize)> = vec![(Step::Lead(0), 0)];
    let mut frontier = vec![(0, State::default())];
    let mut steps = Vec::new();
    while !frontier.is_empty() {
        let mut next = Vec::new();
        for (position, state) in frontier {
            steps.clear();
            state.steps(scenario, &mut steps);
            for step in &steps {
                let mut after = state;
                if let Err(violation) = after.take(scenario, *step) {
                    let trace = trace(&reached, position, *step);
                    let states = visited.len();
                    return Outcome { states, violation: Some((violation, trace)) };
                }
                if visited.insert(after.representative(&symmetries)) {
                    reached.push((*step, position));
                    next.push((reached.len() - 1, after));
                }
            }
        }
        frontier = next;
    }
    Outcome { states: visited.len(), violation: None }
}

fn trace(reached: &[(Step, usize)], mut position: usize, last: Step) -> Vec<Step> {
    let mut steps = vec![last];
    while position > 0 {
        let (step, before) = reached[position];
        steps.push(step);
        position = before;
    }
    steps.reverse();
    steps
}
