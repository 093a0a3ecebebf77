//! Searches of a model for what must not happen when a successor with an empty log takes the place
//! of a lost voter at once. Its id is new, so it votes, and acknowledges only what it holds.
//!
//! `MODEL_TERMS`, `MODEL_ENTRIES` and `MODEL_LOSSES` replace the bounds. `MODEL_VOTERS` (by default
//! 2 or 3, up to 4) is the number of voters besides lost ones that are set aside.

mod model;

use model::{
    Nodes, Rule, Scenario,
    check::{assert_safe, assert_unsafe, bound},
    state::{State, Step, Violation},
};

const ALL: [Violation; 3] =
    [Violation::TwoLeaders, Violation::LeaderLacksCommitted, Violation::TwoCommitted];

/// The first `n` voters with a successor in the place of one of them.
fn exchanged(n: u8, lost: u8, successor: u8) -> Nodes {
    Nodes::first(n).without(Nodes::of(&[lost])).or(Nodes::of(&[successor]))
}

/// An exchange of the last of `n` voters for a successor.
fn exchange(rule: Rule, n: u8) -> Scenario {
    Scenario::new(rule, n, &[(Nodes::first(n), exchanged(n, n - 1, n))])
}

/// Takes steps, each of which must be possible.
#[track_caller]
fn take(state: &mut State, scenario: &Scenario, steps: impl IntoIterator<Item = Step>) {
    for step in steps {
        assert!(can(state, scenario, step), "{step:?} in {state:#?}");
        assert_eq!(state.take(scenario, step), Ok(()), "{step:?}");
    }
}

fn can(state: &State, scenario: &Scenario, step: Step) -> bool {
    let mut steps = Vec::new();
    state.steps(scenario, &mut steps);
    steps.contains(&step)
}

/// Guards against searches that say nothing of a successor with an empty log, as it can't vote, or
/// isn't counted, before it has caught up.
#[test]
fn a_successor_without_any_entry_votes_and_counts_only_what_it_holds() {
    let scenario = Scenario { entries: 5, ..exchange(Rule::Design, 4) };
    let successor = 4;
    let vote = |voter, candidate| Step::Vote { voter, candidate };
    let replicate = |leader, to| Step::Replicate { leader, to };
    let mut state = State::default();
    let lead = [vote(1, 0), vote(2, 0), Step::Lead(0)];
    let excluded = Nodes::of(&[3]);
    take(&mut state, &scenario, [Step::Campaign { node: 0, term: 1, excluded }]);
    take(&mut state, &scenario, lead);
    take(&mut state, &scenario, [replicate(0, 1), replicate(0, 2)]);
    for (_, config) in scenario.steps.clone() {
        take(&mut state, &scenario, [Step::Change { leader: 0, config }]);
        take(&mut state, &scenario, [replicate(0, 1), replicate(0, 2)]);
    }
    assert_eq!((state.committed_len(), state.log_len(successor)), (3, 0));

    // The first voter is lost as well. The second one needs one vote of two, and has that of the
    // successor.
    let excluded = Nodes::of(&[0]);
    take(&mut state, &scenario, [Step::Campaign { node: 1, term: 2, excluded }]);
    assert!(!can(&state, &scenario, Step::Lead(1)));
    take(&mut state, &scenario, [vote(successor, 1), Step::Lead(1)]);
    assert_eq!((state.log_len(1), state.log_len(successor)), (4, 0));
    for held in 1..=4 {
        assert_eq!(state.committed_len(), 3, "{held}");
        take(&mut state, &scenario, [replicate(1, successor)]);
        assert_eq!(state.log_len(successor), held);
    }
    assert_eq!(state.committed_len(), 4);
}

/// Guards against a half with the successor that decides without what the others had decided, once
/// up to three disks are lost in any order, among them perhaps that of the successor.
#[test]
fn a_lost_voter_gives_its_vote_to_an_empty_successor_safely() {
    assert_safe(&Scenario { losses: 3, ..exchange(Rule::Design, bound("MODEL_VOTERS", 3)) });
    // A half decides only for an even number of voters.
    assert_safe(&Scenario { losses: 3, terms: 3, ..exchange(Rule::Design, 2) });
}

/// Guards against a successor that leads, or elects, without what was committed while one voter
/// was set aside.
#[test]
fn a_voter_is_set_aside_and_another_exchanged_safely() {
    let n = bound("MODEL_VOTERS", 2);
    let aside = Nodes::first(n);
    let successor = exchanged(n, n - 1, n + 1);
    let changes = [(Nodes::first(n + 1), aside), (aside, successor)];
    let design = Scenario::new(Rule::Design, n + 1, &changes);
    assert_safe(&Scenario { entries: 5, ..design });
}

/// Guards against a successor that is lost in its turn and whose own successor is empty, too.
#[test]
fn a_successor_gives_its_vote_to_another_one_safely() {
    let n = bound("MODEL_VOTERS", 2);
    let [first, second] = [n, n + 1].map(|successor| exchanged(n, n - 1, successor));
    let changes = [(Nodes::first(n), first), (first, second)];
    assert_safe(&Scenario { entries: 5, ..Scenario::new(Rule::Design, n, &changes) });
}

/// Guards against a voter that is set aside at once, and a half of those that are left.
#[test]
fn a_lost_voter_of_an_odd_number_is_set_aside_safely() {
    let n = bound("MODEL_VOTERS", 2);
    let change = (Nodes::first(n + 1), Nodes::first(n));
    assert_safe(&Scenario::new(Rule::Design, n + 1, &[change]));
}

/// Guards against leaders of different terms that set different voters aside.
#[test]
fn different_voters_are_set_aside_safely() {
    let n = bound("MODEL_VOTERS", 2);
    let all = Nodes::first(n + 1);
    let changes = [n, n - 1].map(|lost| (all, all.without(Nodes::of(&[lost]))));
    assert_safe(&Scenario::new(Rule::Design, n + 1, &changes));
}

/// Guards against leaders of different terms that take different successors for one lost voter.
#[test]
fn different_successors_of_one_voter_are_safe() {
    let n = bound("MODEL_VOTERS", 2);
    let changes = [n, n + 1].map(|successor| (Nodes::first(n), exchanged(n, n - 1, successor)));
    assert_safe(&Scenario { losses: 1, ..Scenario::new(Rule::Design, n, &changes) });
}

/// Guards against leaders of different terms that exchange different voters for one successor.
#[test]
fn one_successor_of_different_voters_is_safe() {
    let n = bound("MODEL_VOTERS", 2);
    let changes = [n - 1, n - 2].map(|lost| (Nodes::first(n), exchanged(n, lost, n)));
    assert_safe(&Scenario { losses: 1, ..Scenario::new(Rule::Design, n, &changes) });
}

/// Guards against a voter that loses its disk and votes again under the id that made promises.
#[test]
fn an_empty_log_under_an_old_id_breaks_safety() {
    let odd = Scenario { losses: 1, ..Scenario::new(Rule::KeptId, 3, &[]) };
    assert_unsafe(&odd, &ALL);
    // One common voter of two majorities of four may be wiped, two may not.
    let four = Scenario::new(Rule::KeptId, 4, &[]);
    assert_safe(&Scenario { losses: 1, terms: 1, ..four.clone() });
    assert_unsafe(&Scenario { losses: 2, ..four }, &ALL);
    assert_unsafe(&Scenario { losses: 2, ..exchange(Rule::KeptId, 2) }, &ALL);
}

/// Guards against a model in which the exchange for an empty successor needs no joint step.
#[test]
fn an_empty_successor_in_a_single_step_breaks_safety() {
    for n in [2, 4] {
        assert_unsafe(&Scenario { losses: 1, ..exchange(Rule::SingleStep, n) }, &ALL);
    }
}

/// Guards against a model in which the successor's vote may add to what came before a loss.
#[test]
fn exclusions_that_grow_beside_an_empty_successor_break_safety() {
    assert_unsafe(&exchange(Rule::GrowingExclusions, 2), &ALL);
    assert_unsafe(&exchange(Rule::GrowingExclusions, 4), &ALL);
}

/// Guards against a model in which a half of four decides with the successor without a known loss.
#[test]
fn a_half_with_an_empty_successor_without_a_known_loss_breaks_safety() {
    assert_unsafe(&Scenario { losses: 0, ..exchange(Rule::HalfAlways, 4) }, &ALL);
}
