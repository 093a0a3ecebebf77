//! Which losses of disks leave a quorum while lost voters are set aside, or exchanged for successors
//! with empty logs.

mod model;

use model::{Config, Nodes, Rule};

const THREE: Nodes = Nodes::first(3);
const FOUR: Nodes = Nodes::first(4);
const FIVE: Nodes = Nodes::first(5);
/// Voters that are known to be lost.
const FOURTH: Nodes = Nodes::of(&[3]);
const FIFTH: Nodes = Nodes::of(&[4]);
/// A successor with an empty log, which decides once it is a voter.
const SUCCESSOR: Nodes = Nodes::of(&[5]);
const WITH_SUCCESSOR: Nodes = THREE.or(SUCCESSOR);

/// A set of voters, or a joint step between two.
fn step(current: Nodes, next: Nodes) -> Config {
    Config { current, next }
}

/// Losses of nodes that are known to be lost, and of others that just don't answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Losses {
    known: Nodes,
    silent: Nodes,
}

/// All losses of these nodes, in the given numbers.
fn losses(of: Nodes, known: u32, silent: u32) -> impl Iterator<Item = Losses> {
    let all = of.subsets().filter(move |k| k.len() == known);
    let pairs = all.flat_map(move |k| of.without(k).subsets().map(move |s| (k, s)));
    pairs.filter(move |(_, s)| s.len() == silent).map(|(known, silent)| Losses { known, silent })
}

/// Whether the others are a quorum. `gone` was lost and known before.
fn survives(cfg: Config, gone: Nodes, losses: Losses) -> bool {
    let known = gone.or(losses.known);
    let left = cfg.current.or(cfg.next).without(known).without(losses.silent);
    cfg.has_quorum(Rule::Design, left, known)
}

/// Those of the losses of any other nodes that leave no quorum.
fn stuck(cfg: Config, gone: Nodes, known: u32, silent: u32) -> Vec<Losses> {
    let others = cfg.current.or(cfg.next).without(gone);
    losses(others, known, silent).filter(|l| !survives(cfg, gone, *l)).collect()
}

/// How many of the losses of two nodes leave no quorum, and of how many: both known, one of them,
/// none.
fn stuck_pairs(cfg: Config, gone: Nodes) -> [(usize, usize); 3] {
    let others = cfg.current.or(cfg.next).without(gone);
    [(2, 0), (1, 1), (0, 2)].map(|(known, silent)| {
        (stuck(cfg, gone, known, silent).len(), losses(others, known, silent).count())
    })
}

/// Guards against a claim of a group of five that goes on counting a lost disk: any two more stop it.
#[test]
fn five_voters_with_a_known_lost_one_survive_one_more_loss_and_no_two() {
    let cfg = step(FIVE, FIVE);
    assert_eq!(stuck(cfg, FIFTH, 1, 0), []);
    assert_eq!(stuck(cfg, FIFTH, 0, 1), []);
    assert_eq!(stuck_pairs(cfg, FIFTH), [(6, 6), (12, 12), (6, 6)]);
}

/// Guards against a joint step that is taken for bearing more than the five voters before it.
#[test]
fn while_a_lost_voter_is_set_aside_one_more_loss_is_survived_and_no_two() {
    let cfg = step(FIVE, FOUR);
    assert_eq!(stuck(cfg, FIFTH, 1, 0), []);
    assert_eq!(stuck(cfg, FIFTH, 0, 1), []);
    assert_eq!(stuck_pairs(cfg, FIFTH), [(6, 6), (12, 12), (6, 6)]);
}

/// Guards against a lost voter that is set aside in vain: two more losses must leave a quorum if
/// one of them is known.
#[test]
fn four_voters_survive_two_losses_unless_both_are_silent() {
    assert_eq!(stuck_pairs(step(FOUR, FOUR), Nodes::NONE), [(0, 6), (0, 12), (6, 6)]);
}

/// Guards against four voters that go on counting a second lost disk: any two more stop them.
#[test]
fn four_voters_with_a_known_lost_one_survive_one_more_loss_and_no_two() {
    let cfg = step(FOUR, FOUR);
    assert_eq!(stuck(cfg, FOURTH, 1, 0), []);
    assert_eq!(stuck(cfg, FOURTH, 0, 1), []);
    assert_eq!(stuck_pairs(cfg, FOURTH), [(3, 3), (6, 6), (3, 3)]);
}

/// Guards against a belief that the joint step bears what the successor will: two of the three
/// voters stop it, and one of them beside the successor does if both are silent.
#[test]
fn while_a_lost_voter_of_four_is_exchanged_one_voter_and_the_successor_may_be_lost() {
    let cfg = step(FOUR, WITH_SUCCESSOR);
    assert_eq!(stuck(cfg, FOURTH, 1, 0), []);
    assert_eq!(stuck(cfg, FOURTH, 0, 1), []);
    assert_eq!(stuck_pairs(cfg, FOURTH), [(3, 6), (6, 12), (6, 6)]);
    let with_successor = |l: &Losses| l.known.or(l.silent).has(5);
    let mut both_known_or_one =
        stuck(cfg, FOURTH, 2, 0).into_iter().chain(stuck(cfg, FOURTH, 1, 1));
    assert!(!both_known_or_one.any(|l| with_successor(&l)));
    assert_eq!(stuck(cfg, FOURTH, 0, 2).iter().filter(|l| with_successor(l)).count(), 3);
}

/// Guards against a successor whose vote is missing after two more losses of which one is known.
#[test]
fn four_voters_with_an_empty_successor_survive_two_losses_unless_both_are_silent() {
    let cfg = step(WITH_SUCCESSOR, WITH_SUCCESSOR);
    assert_eq!(stuck_pairs(cfg, Nodes::NONE), [(0, 6), (0, 12), (6, 6)]);
}

/// Guards against an empty successor that is left with a voter that lacks what was committed: each
/// pair that is left after two losses holds it, as what committed it had one of them.
#[test]
fn two_voters_that_are_left_beside_an_empty_successor_hold_what_was_committed() {
    for losses in losses(WITH_SUCCESSOR, 2, 0).chain(losses(WITH_SUCCESSOR, 1, 1)) {
        let left = WITH_SUCCESSOR.without(losses.known).without(losses.silent);
        // Each set of known losses up to those of now, as of the time of the commit.
        for known in losses.known.subsets() {
            let mut quorums = WITH_SUCCESSOR
                .subsets()
                .filter(|q| Rule::Design.decides(WITH_SUCCESSOR, *q, known));
            assert!(quorums.all(|q| !q.without(known).and(left).is_empty()), "{losses:?}");
        }
    }
}

/// The steps of the design with the voters that were lost before: each has the sets before it,
/// during it and after it.
fn steps() -> [(Nodes, [Config; 3]); 4] {
    let change = |from, to| [step(from, from), step(from, to), step(to, to)];
    [
        (FIFTH, change(FIVE, FOUR)),
        (FOURTH, change(FOUR, WITH_SUCCESSOR)),
        (FOURTH.or(FIFTH), change(FIVE, FOUR)),
        (FOURTH.or(FIFTH), change(FIVE, WITH_SUCCESSOR)),
    ]
}

/// Guards against a step that costs what the set before it bears, as long as the successor is there.
#[test]
fn no_step_bears_less_than_the_voters_before_it() {
    for (gone, [before, joint, after]) in steps() {
        let voters = before.current.without(gone);
        for (known, silent) in (0..=3).flat_map(|k| (0..=3).map(move |s| (k, s))) {
            for losses in losses(voters, known, silent) {
                let [first, then, last] =
                    [before, joint, after].map(|cfg| survives(cfg, gone, losses));
                assert!(!first || then, "{losses:?} of {joint:?}");
                assert!(!then || last, "{losses:?} of {after:?}");
            }
        }
    }
}

/// Guards against a successor that is taken for free: beside a voter that just doesn't answer, the
/// exchange stops if the successor doesn't either, and the voters before it would not have.
#[test]
fn only_a_silent_successor_beside_a_silent_voter_costs_what_the_voters_before_it_bear() {
    let (before, joint, after) =
        (step(FOUR, FOUR), step(FOUR, WITH_SUCCESSOR), step(WITH_SUCCESSOR, WITH_SUCCESSOR));
    for (known, silent) in [(0, 0), (1, 0), (0, 1)] {
        for of_voters in losses(THREE, known, silent) {
            assert!(survives(before, FOURTH, of_voters), "{of_voters:?}");
            let successor_known = Losses { known: of_voters.known.or(SUCCESSOR), ..of_voters };
            let successor_silent = Losses { silent: of_voters.silent.or(SUCCESSOR), ..of_voters };
            for cfg in [joint, after] {
                assert!(survives(cfg, FOURTH, successor_known), "{cfg:?} {of_voters:?}");
                let is_stuck = !survives(cfg, FOURTH, successor_silent);
                assert_eq!(is_stuck, silent == 1, "{cfg:?} {of_voters:?}");
            }
        }
    }
}

/// Guards against two losses at once of five voters that are taken for bearing one more: all three
/// others are needed until one is set aside, also if both are exchanged for one successor.
#[test]
fn five_voters_with_two_known_lost_ones_need_all_others_until_the_change_is_complete() {
    let gone = FOURTH.or(FIFTH);
    for cfg in [step(FIVE, FIVE), step(FIVE, FOUR), step(FIVE, WITH_SUCCESSOR)] {
        assert_eq!(stuck(cfg, gone, 0, 0), [], "{cfg:?}");
        assert!(losses(THREE, 1, 0).chain(losses(THREE, 0, 1)).all(|l| !survives(cfg, gone, l)));
    }
}
