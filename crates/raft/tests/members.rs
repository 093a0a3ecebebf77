//! Property test: while nodes lose their disks, are replaced as planned or without notice, and the
//! leader changes, a group that follows `raft::joining` can commit at every step with the voters
//! that still have their disks. It gets back to its full size, loses no applied entry, and then
//! survives the failure of any two VMs.

mod driver;
mod sim;

use bolero::generator::*;
use driver::{CATCH_UP_ROUNDS, Driver, LIMITS, Losses, Op, TOLERATED_LOSSES, VM_COUNT, Vm};
use std::collections::BTreeSet;

fn check_group(losses: Losses) {
    let ops = produce::<Vec<Op>>().with().len(0..=120usize);
    let inputs = (ops, produce::<u8>(), produce::<u64>());
    seeded::check().with_generator(inputs).for_each(|(ops, choice, kinds)| {
        let mut driver = Driver::new(losses, *kinds);
        ops.iter().for_each(|op| driver.run(op));
        driver.recover();
        driver.check_survives_two_failures(usize::from(*choice));
    });
}

#[test]
fn a_group_that_loses_disks_recovers_its_size_and_all_applied_entries() {
    check_group(Losses::Vms);
}

/// The same while further VMs are down or cut off, with their disks kept: a voter that is replaced
/// meanwhile may be one of them.
#[test]
fn a_group_that_loses_disks_during_outages_recovers_its_size_and_all_applied_entries() {
    check_group(Losses::Disks);
}

/// A successor took the place of a voter that was suspended or about to start again, and the group
/// counted the disk of its predecessor for good: two further lost disks left two voters of five.
#[test]
fn a_group_that_loses_disks_while_others_are_suspended_recovers_its_size_and_all_applied_entries() {
    check_group(Losses::DisksWithoutSuccessor);
}

/// A voter that is cut off is replaced, and comes back with its disk. At any moment of that, and up
/// to the time after which the leader notices it, two others lose their disks, perhaps the leader's
/// or the successor's.
#[test]
fn whole_disks_restore_the_group_at_each_moment_at_which_a_voter_that_comes_back_is_replaced() {
    /// Rounds by which the successor is a voter, and the group has gone on.
    const ROUNDS: usize = 50;
    let vms = (0..=VM_COUNT).filter(|at| *at != REPLACED);
    let pairs: Vec<(usize, usize)> =
        vms.clone().flat_map(|a| vms.clone().map(move |b| (a, b))).collect();
    for (first, second) in pairs.into_iter().filter(|(a, b)| a < b) {
        (0..ROUNDS).for_each(|rounds| check_replacement(rounds, [first, second]));
    }
}

/// Position of the VM that is replaced.
const REPLACED: usize = 1;

/// Replaces a VM that is cut off by a further one, which starts once the other one would be found
/// silent, and takes the disks of two VMs after this many rounds.
fn check_replacement(rounds: usize, lost: [usize; TOLERATED_LOSSES]) {
    let mut driver = Driver::new(Losses::Disks, 0);
    driver.propose(1);
    driver.rounds(5);
    driver.set_cut([driver.vms[REPLACED].address.clone()].into());
    driver.rounds(LIMITS.absent as usize);
    let address = format!("address of node {}", driver.next_id);
    let vm = Vm { node: driver.next_id, address, rounds_back: 0, rounds_under_leader: 0 };
    driver.vms.push(vm);
    driver.start_new_node(VM_COUNT);
    driver.rounds(rounds);
    lost.into_iter().for_each(|at| driver.lose_disk(at));
    driver.rounds(10);
    driver.set_cut(BTreeSet::new());
    check_commits(
        &mut driver,
        &format!("after {rounds} rounds and the loss of the disks {lost:?}"),
    );
}

/// Checks that the group commits what it acknowledged, and goes on.
fn check_commits(driver: &mut Driver, what: &str) {
    let acknowledged = driver.sim.history.keys().last().copied().unwrap_or(0);
    for _ in 0..40 {
        driver.rounds(10);
        if let Some(leader) = driver.working_leader()
            && driver.sim.raft(leader).commit() > acknowledged
        {
            return;
        }
    }
    panic!("{what} nobody leads");
}

/// Position of the VM that is down, and keeps its disk.
const DOWN: usize = 1;
/// Position of the VM that is gone, and then that of its successor if this isn't planned.
const GONE: usize = 2;

/// What a connection tells of the VM that is down and of the one that is gone: one bit for each, by
/// their nodes.
fn kinds() -> impl Iterator<Item = u64> {
    let (down, gone) = (1 << (DOWN + 1), 1 << (GONE + 1));
    [0, down, gone, down | gone].into_iter()
}

/// All choices of one or two of the VMs whose disks are left, beside the one that is down.
fn further_losses(vms: usize) -> Vec<Vec<usize>> {
    let others = || (0..vms).filter(|at| *at != DOWN);
    let pairs = others().flat_map(|a| others().filter(move |b| a < *b).map(move |b| vec![a, b]));
    others().map(|at| vec![at]).chain(pairs).collect()
}

/// Takes these disks, lets the VM that is down come back and checks that the group goes on.
fn check_further_losses(mut driver: Driver, lost: &[usize], what: &str) {
    let down = driver.vms[DOWN].node;
    lost.iter().for_each(|at| driver.rejoin_under_new_id(*at));
    driver.rounds(10);
    driver.sim.restart(down);
    check_commits(&mut driver, &format!("{what}, and the loss of the disks {lost:?},"));
    driver.recover();
}

/// Half of four voters led for good without getting a further one: each change counted on one that
/// was gone, too.
#[test]
fn half_of_four_voters_restore_the_group_to_its_full_size() {
    for (kinds, lost) in
        kinds().flat_map(|kinds| further_losses(VM_COUNT).into_iter().map(move |l| (kinds, l)))
    {
        let &[known, replaced] = &lost[..] else { continue };
        for (known, replaced) in [(known, replaced), (replaced, known)] {
            for rounds in [0, 1, 10, 30] {
                let mut driver = Driver::new(Losses::Disks, kinds);
                driver.propose(1);
                driver.rounds(5);
                driver.sim.crash(driver.vms[DOWN].node);
                driver.vms[GONE].address = String::from("address of the successor");
                driver.rejoin_under_new_id(GONE);
                driver.rounds(CATCH_UP_ROUNDS as usize);
                // A new VM at the address tells that the first one of these disks is lost.
                driver.rejoin_under_new_id(known);
                driver.rounds(rounds);
                driver.vms[replaced].address = String::from("address of a further one");
                driver.rejoin_under_new_id(replaced);
                driver.recover();
            }
        }
    }
}

/// Of two VMs that didn't answer, one was gone and the other one came back with its disk. The
/// successor took the place of the latter: the group counted the disk that was gone, and two
/// further lost disks left two voters of five.
#[test]
fn whole_disks_restore_the_group_at_each_moment_at_which_one_is_down_and_another_one_is_gone() {
    const ROUNDS: usize = CATCH_UP_ROUNDS as usize + 30;
    for (kinds, rounds) in kinds().flat_map(|kinds| (0..ROUNDS).map(move |n| (kinds, n))) {
        let has_caught_up = rounds >= CATCH_UP_ROUNDS as usize;
        // The successor may be lost again until it has caught up, in place of its predecessor.
        let is_tolerated = |lost: &&Vec<usize>| {
            has_caught_up || lost.iter().filter(|at| **at != GONE).count() < TOLERATED_LOSSES
        };
        for lost in further_losses(VM_COUNT).iter().filter(is_tolerated) {
            let mut driver = Driver::new(Losses::Disks, kinds);
            driver.propose(1);
            driver.rounds(5);
            driver.sim.crash(driver.vms[DOWN].node);
            driver.vms[GONE].address = String::from("address of the successor");
            driver.rejoin_under_new_id(GONE);
            driver.rounds(rounds);
            let what = format!("{rounds} rounds after one is gone, kinds {kinds:b}");
            check_further_losses(driver, lost, &what);
        }
    }
}

/// The same where the other VM left as planned after its successor had caught up: the group kept
/// the vote of the voter that was down, whose place nobody took, or that of the one that had left.
#[test]
fn whole_disks_restore_the_group_at_each_moment_at_which_one_is_down_and_another_one_leaves() {
    const ROUNDS: usize = CATCH_UP_ROUNDS as usize + 30;
    for (kinds, rounds) in kinds().flat_map(|kinds| (0..ROUNDS).map(move |n| (kinds, n))) {
        let max_lost = if rounds < CATCH_UP_ROUNDS as usize { 1 } else { TOLERATED_LOSSES };
        let prepare = || {
            let mut driver = Driver::new(Losses::Vms, kinds);
            driver.propose(1);
            driver.rounds(5);
            driver.sim.crash(driver.vms[DOWN].node);
            driver.start_planned_replacement(GONE);
            driver.rounds(rounds);
            driver
        };
        let vms = prepare().vms.len();
        for lost in further_losses(vms).iter().filter(|lost| lost.len() <= max_lost) {
            let what = format!("{rounds} rounds after the start of a successor, kinds {kinds:b}");
            check_further_losses(prepare(), lost, &what);
        }
    }
}
