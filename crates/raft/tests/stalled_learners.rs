//! Groups in which the node of a VM that has lost its disk doesn't catch up for as long as a VM with an
//! empty disk counts as lost, and two further disks are lost then.

mod driver;
mod sim;

use driver::{CATCH_UP_ROUNDS, Driver, Losses, TOLERATED_LOSSES, VM_COUNT, Vm};

/// Rounds for which a path is silent or a node stalls after the last losses.
const STALL_ROUNDS: usize = 60;

/// How the nodes of VMs with empty disks stall.
#[derive(Clone, Copy, Debug)]
enum Stall {
    /// The path to the leader is silent.
    SilentPath,
    /// No Raft message reaches them, or they take too long for each.
    Deaf,
}

/// A group of five that has applied a command, with the positions of the leader's VM and the others.
/// Hosts of VMs that are gone don't respond.
fn start_group() -> (Driver, usize, Vec<usize>) {
    let mut driver = Driver::new(Losses::DisksWithoutSuccessor, u64::MAX);
    driver.propose(1);
    driver.rounds(5);
    let leader = driver.sim.leader().expect("a leader");
    let is_leader = |vm: &Vm| vm.node == leader;
    let at = driver.vms.iter().position(is_leader).expect("one of the VMs");
    (driver, at, (0..VM_COUNT).filter(|other| *other != at).collect())
}

/// Has the node of a VM stall.
fn stall(driver: &mut Driver, at: usize, leader: usize, stall: Stall) {
    let address = driver.vms[at].address.clone();
    match stall {
        Stall::SilentPath => {
            let path = (address, driver.vms[leader].address.clone());
            driver.silent_paths.insert(path);
        }
        Stall::Deaf => {
            driver.stalled.insert(address);
        }
    }
    driver.update_cut();
}

fn end_stalls(driver: &mut Driver) {
    driver.silent_paths.clear();
    driver.stalled.clear();
    driver.update_cut();
}

/// Whether the group commits something new within this number of rounds.
fn commits_within(driver: &mut Driver, rounds: usize) -> bool {
    let before = driver.sim.history.keys().last().copied().unwrap_or(0);
    (0..rounds).any(|_| {
        driver.rounds(1);
        let leader = driver.working_leader();
        leader.is_some_and(|id| driver.sim.raft(id).commit() > before)
    })
}

/// All pairs of these VMs.
fn pairs(vms: &[usize]) -> impl Iterator<Item = [usize; TOLERATED_LOSSES]> {
    let pairs = vms.iter().flat_map(|a| vms.iter().map(move |b| [*a, *b]));
    pairs.filter(|[a, b]| a < b)
}

/// The VMs that are neither of these.
fn without(vms: &[usize]) -> Vec<usize> {
    (0..VM_COUNT).filter(|at| !vms.contains(at)).collect()
}

/// One VM loses its disk, and starts at once; its node stalls. `is_replaced` says whether it starts at
/// another address.
fn lose_one(kind: Stall, is_replaced: bool) -> (Driver, usize) {
    let (mut driver, leader, others) = start_group();
    let wiped = others[0];
    if is_replaced {
        driver.vms[wiped].address = String::from("address of the successor");
    }
    stall(&mut driver, wiped, leader, kind);
    driver.lose_disk(wiped);
    driver.rounds(CATCH_UP_ROUNDS as usize + 10);
    (driver, wiped)
}

/// A lost disk went on counting until its successor had caught up: with two further ones lost, two of
/// five votes were left.
#[test]
fn two_further_disks_may_be_lost_while_a_node_without_a_disk_stalls() {
    for (kind, is_replaced) in [
        (Stall::SilentPath, false),
        (Stall::Deaf, false),
        (Stall::SilentPath, true),
        (Stall::Deaf, true),
    ] {
        for lost in pairs(&without(&[lose_one(kind, is_replaced).1])) {
            let (mut driver, _) = lose_one(kind, is_replaced);
            lost.into_iter().for_each(|at| driver.rejoin_under_new_id(at));
            let commits = commits_within(&mut driver, 100);
            assert!(commits, "{kind:?}, replaced {is_replaced}, without the disks {lost:?}");
            driver.rounds(STALL_ROUNDS);
            end_stalls(&mut driver);
            driver.recover();
        }
    }
}

/// Two VMs lose their disks at once; the nodes of the first `stalled` ones stall.
fn lose_two(kind: Stall, stalled: usize) -> (Driver, [usize; 2]) {
    let (mut driver, leader, others) = start_group();
    let wiped = [others[0], others[1]];
    wiped[..stalled].iter().for_each(|at| stall(&mut driver, *at, leader, kind));
    wiped.into_iter().for_each(|at| driver.lose_disk(at));
    driver.rounds(CATCH_UP_ROUNDS as usize + 10);
    (driver, wiped)
}

/// Of two disks that were lost at once, one went on counting while the node of its VM stalled, and so
/// did the other one: the leader may not even have learnt of its loss.
#[test]
fn two_further_disks_may_be_lost_while_one_of_two_nodes_without_disks_stalls() {
    for kind in [Stall::SilentPath, Stall::Deaf] {
        for lost in pairs(&without(&lose_two(kind, 1).1)) {
            let (mut driver, _) = lose_two(kind, 1);
            lost.into_iter().for_each(|at| driver.rejoin_under_new_id(at));
            assert!(commits_within(&mut driver, 100), "{kind:?}, without the disks {lost:?}");
            driver.rounds(STALL_ROUNDS);
            end_stalls(&mut driver);
            driver.recover();
        }
    }
}

/// With the nodes of both stalling, two further lost disks left one vote of four or five, for good.
#[test]
fn a_group_recovers_once_two_nodes_without_disks_stall_no_longer() {
    for kind in [Stall::SilentPath, Stall::Deaf] {
        for lost in pairs(&without(&lose_two(kind, 2).1)) {
            let (mut driver, _) = lose_two(kind, 2);
            lost.into_iter().for_each(|at| driver.rejoin_under_new_id(at));
            driver.rounds(STALL_ROUNDS);
            end_stalls(&mut driver);
            driver.recover();
        }
    }
}
