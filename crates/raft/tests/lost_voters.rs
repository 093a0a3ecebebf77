//! Searches of a model for what the rules of elections, commits and changes of voters must prevent
//! when a half of an even number of voters decides after a known loss.
//!
//! `MODEL_TERMS`, `MODEL_ENTRIES`, `MODEL_LOSSES` and `MODEL_VOTERS` replace the bounds.

mod model;

use model::{
    Config, Nodes, Rule, Scenario,
    check::{assert_safe, assert_unsafe, bound},
    state::Violation,
};

/// Changes between sets of voters: one more, one fewer, one for another.
fn changes(voters: u8) -> [(u8, Nodes); 3] {
    let exchanged = Nodes::first(voters + 1).without(Nodes::of(&[voters - 1]));
    [(voters, Nodes::first(voters + 1)), (voters + 1, Nodes::first(voters)), (voters, exchanged)]
}

fn change(rule: Rule, from: u8, to: Nodes) -> Scenario {
    Scenario { losses: 1, ..Scenario::new(rule, from, &[(Nodes::first(from), to)]) }
}

/// Guards against two halves of four voters that decide without each other.
#[test]
fn a_half_of_four_voters_decides_safely_after_a_known_loss() {
    assert_safe(&Scenario { terms: 3, losses: 1, ..Scenario::new(Rule::Design, 4, &[]) });
    assert_safe(&Scenario { losses: 3, ..Scenario::new(Rule::Design, 4, &[]) });
}

/// Guards against quorums of the voters before and after a change that have no node in common.
#[test]
fn joint_changes_of_two_and_three_voters_are_safe() {
    changes(2).into_iter().for_each(|(from, to)| assert_safe(&change(Rule::Design, from, to)));
}

/// Guards against a half of four voters that misses what three voters decide.
#[test]
fn joint_changes_between_three_and_four_voters_are_safe() {
    let largest = bound("MODEL_VOTERS", 4);
    let all = (3..largest).flat_map(changes).filter(|(from, to)| *from > 3 || to.len() > 3);
    all.for_each(|(from, to)| assert_safe(&change(Rule::Design, from, to)));
}

/// Guards against two leaders that begin different changes, one of them with an old log.
#[test]
fn different_changes_of_leaders_of_different_terms_are_safe() {
    let both = [Nodes::first(3), Nodes::of(&[0, 2])].map(|to| (Nodes::first(2), to));
    assert_safe(&Scenario { losses: 1, ..Scenario::new(Rule::Design, 2, &both) });
}

/// Guards against one wrong answer that makes a group of four lose what it committed.
#[test]
fn one_voter_that_is_always_the_one_taken_for_lost_does_no_harm() {
    let x = Nodes::of(&[3]);
    let design = Scenario::new(Rule::Design, 4, &[]);
    assert_safe(&Scenario { losses: 0, mistaken: x, ..design.clone() });
    // Nor do other voters that are lost, if whoever excludes one of them excludes x, too.
    assert_safe(&Scenario { losses: 1, mistaken: x, always: x, ..design });
}

/// Guards against a model in which the exclusion of two voters that aren't lost is harmless.
#[test]
fn two_voters_wrongly_taken_for_lost_break_safety() {
    let design = Scenario::new(Rule::Design, 4, &[]);
    let wrong = Scenario { losses: 0, mistaken: Nodes::of(&[2, 3]), ..design };
    assert_unsafe(&wrong, &[Violation::TwoLeaders]);
}

/// Guards against the belief that one wrong answer stays harmless once another voter is lost.
#[test]
fn one_voter_wrongly_taken_for_lost_and_the_loss_of_another_break_safety() {
    let design = Scenario::new(Rule::Design, 4, &[]);
    let wrong = Scenario { losses: 1, mistaken: Nodes::of(&[3]), ..design };
    assert_unsafe(&wrong, &[Violation::TwoLeaders]);
}

/// Guards against a model in which it doesn't matter that a candidate fixes what it excludes.
#[test]
fn exclusions_that_grow_during_a_term_break_safety() {
    assert_unsafe(&Scenario::new(Rule::GrowingExclusions, 4, &[]), &[Violation::TwoLeaders]);
}

/// Guards against a model in which changes in a single step are harmless.
#[test]
fn changes_in_a_single_step_break_safety() {
    let expected = [Violation::TwoLeaders, Violation::LeaderLacksCommitted];
    assert_unsafe(&change(Rule::SingleStep, 2, Nodes::first(3)), &expected);
    assert_unsafe(&change(Rule::SingleStep, 3, Nodes::first(2)), &expected);
}

/// Guards against a model in which each further exclusion may lower what is needed.
#[test]
fn a_majority_of_the_voters_that_are_left_breaks_safety() {
    let expected = [Violation::TwoLeaders];
    assert_unsafe(&Scenario::new(Rule::MajorityOfRest, 5, &[]), &expected);
    let rest = Scenario::new(Rule::MajorityOfRest, 4, &[]);
    // Up to two losses of four voters, this rule is that of the design.
    assert_safe(&rest);
    assert_unsafe(&Scenario { losses: 3, ..rest }, &expected);
}

/// Guards against a model in which a half decides without any loss.
#[test]
fn a_half_without_a_known_loss_breaks_safety() {
    let half = Scenario { losses: 0, ..Scenario::new(Rule::HalfAlways, 4, &[]) };
    assert_unsafe(&half, &[Violation::TwoLeaders]);
}

/// Pairs of lost disks, and which of them is known to be lost, after which the disks that are left
/// are no quorum. `gone` is lost as well, but not known to be.
fn stuck(config: Config, all: Nodes, losses: u32, gone: Nodes) -> Vec<(Nodes, Nodes)> {
    let lost = all.without(gone).subsets().filter(move |lost| lost.len() == losses);
    let cases = lost.flat_map(|lost| lost.ids().map(move |known| (lost, Nodes::of(&[known]))));
    let is_stuck = |(lost, known): &(Nodes, Nodes)| {
        let whole = all.without(*lost).without(gone);
        !config.has_quorum(Rule::Design, whole, *known)
    };
    cases.filter(is_stuck).collect()
}

/// Guards against four voters that stop once two disks are lost, one of them known to be.
#[test]
fn four_voters_are_left_with_a_quorum_after_any_two_losses() {
    let config = Config { current: Nodes::first(4), next: Nodes::first(4) };
    assert_eq!(stuck(config, Nodes::first(4), 2, Nodes::NONE), []);
}

/// The joint steps of the groups that the design has, with two tolerated losses.
fn joint_steps() -> impl Iterator<Item = Config> {
    let steps = changes(4).into_iter().chain(changes(5));
    steps.map(|(from, next)| Config { current: Nodes::first(from), next })
}

/// Guards against a change of voters that makes a group depend on more disks than before.
#[test]
fn joint_steps_survive_two_losses_of_which_one_is_known() {
    for config in joint_steps() {
        let all = config.current.or(config.next);
        assert_eq!(stuck(config, all, 2, Nodes::NONE), [], "{config:?}");
    }
}

/// Guards against a statement about voters that are gone, and not known to be lost, that is too
/// strong: during a change such a voter counts as one of the two losses.
#[test]
fn joint_steps_survive_one_loss_beside_a_voter_that_is_gone() {
    for config in joint_steps() {
        let all = config.current.or(config.next);
        let six = [config.current, config.next].into_iter().find(|set| set.len() == 6);
        for gone in all.ids().map(|id| Nodes::of(&[id])) {
            assert_eq!(stuck(config, all, 1, gone), [], "{config:?}, gone {gone:?}");
            // Only the sixth voter's vote isn't needed, as five others have one.
            let is_sixth = six.is_some() && gone == Nodes::of(&[5]);
            assert_eq!(
                stuck(config, all, 2, gone).is_empty(),
                is_sixth,
                "{config:?}, gone {gone:?}"
            );
        }
    }
}

/// Guards against an exchange of a voter that is gone that needs more than the two sets of four do.
#[test]
fn an_exchange_of_four_voters_survives_the_loss_of_the_successor_and_a_known_one() {
    let [_, _, (_, next)] = changes(4);
    let (old, new) = (Nodes::of(&[3]), Nodes::of(&[4]));
    let config = Config { current: Nodes::first(4), next };
    let stuck = stuck(config, config.current.or(next), 2, old);
    let with_successor: Vec<_> = stuck.into_iter().filter(|(lost, _)| lost.has(4)).collect();
    let only_successor_known = Nodes::first(3).ids().map(|id| (new.or(Nodes::of(&[id])), new));
    assert_eq!(with_successor, only_successor_known.collect::<Vec<_>>());
}
