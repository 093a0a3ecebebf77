//! Members that leave as planned while a voter whose disk is lost is set aside.

mod driver;
mod sim;

use driver::{CATCH_UP_ROUNDS, Driver, Losses, VM_COUNT};

/// Time for which a process asks to leave before it stops without an answer, in rounds of 50 ms.
const MAX_LEAVE_ROUNDS: usize = 160;
/// Time within which a group commits after a loss.
const COMMIT_ROUNDS: usize = 240;
/// Rounds after the start of the VM without a disk at which another member asks to leave.
const LEAVE_AT: [usize; 3] = [0, 10, 40];

/// What keeps the node of the VM without a disk from its vote.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stall {
    Nothing,
    /// The path to the leader is silent.
    SilentPath,
    /// No Raft message reaches it.
    Deaf,
    /// The VM doesn't start.
    Down,
}

/// Position of the VM that loses its disk: the first one that doesn't lead.
fn wiped_vm(driver: &Driver) -> usize {
    let leader = driver.sim.leader();
    driver.vms.iter().position(|vm| Some(vm.node) != leader).expect("a follower")
}

/// A group in which one VM has lost its disk, after this many rounds.
fn start(stall: Stall, rounds: usize) -> (Driver, usize) {
    let mut driver = Driver::new(Losses::Vms, u64::MAX);
    driver.propose(1);
    driver.rounds(5);
    let wiped = wiped_vm(&driver);
    let address = driver.vms[wiped].address.clone();
    match stall {
        Stall::Nothing | Stall::Down => {}
        Stall::SilentPath => {
            let leader = driver.sim.leader().expect("a leader");
            let leader = driver.vms.iter().find(|vm| vm.node == leader).expect("one of the VMs");
            driver.silent_paths.insert((address, leader.address.clone()));
        }
        Stall::Deaf => {
            driver.stalled.insert(address);
        }
    }
    driver.rejoin_under_new_id(wiped);
    if stall == Stall::Down {
        driver.sim.crash(driver.vms[wiped].node);
    }
    driver.update_cut();
    driver.rounds(rounds);
    (driver, wiped)
}

/// Has a VM leave, and ends its process. Returns the rounds until it had an answer.
fn leave(driver: &mut Driver, at: usize) -> Option<usize> {
    driver.stopping = Some(driver.vms[at].address.clone());
    let answered = (1..=MAX_LEAVE_ROUNDS).find(|_| {
        driver.rounds(1);
        driver.stopping.is_none()
    });
    driver.stopping = None;
    driver.sim.crash(driver.vms[at].node);
    answered
}

/// Whether the group commits a new command.
fn commits(driver: &mut Driver) -> bool {
    let before = driver.sim.history.keys().last().copied().unwrap_or(0);
    (0..COMMIT_ROUNDS).any(|_| {
        driver.propose(1);
        driver.rounds(1);
        let leader = driver.working_leader();
        leader.is_some_and(|id| driver.sim.raft(id).commit() > before + 1)
    })
}

/// Calls `f` for each member that leaves at each time, with the group right after its process has ended and
/// the positions of both VMs.
fn for_each_leave(stall: Stall, mut f: impl FnMut(&dyn Fn() -> Driver, usize, usize, usize)) {
    for rounds in LEAVE_AT {
        let wiped = start(stall, 0).1;
        for leaving in (0..VM_COUNT).filter(|at| *at != wiped) {
            let ended = || {
                let mut driver = start(stall, rounds).0;
                leave(&mut driver, leaving);
                driver
            };
            f(&ended, wiped, leaving, rounds);
        }
    }
}

/// A member whose leave was answered left a group that stopped, or that didn't bear the loss of one
/// more disk although the VM without a disk had been back for long enough.
#[test]
fn a_group_bears_a_further_loss_after_a_leave_beside_a_voter_that_was_set_aside() {
    for stall in [Stall::Nothing, Stall::SilentPath] {
        for_each_leave(stall, |ended, wiped, leaving, rounds| {
            for lost in (0..VM_COUNT).filter(|at| ![wiped, leaving].contains(at)) {
                let mut driver = ended();
                // The path is passed by after a while, as a leader that can't be heard is.
                driver.silent_paths.clear();
                driver.update_cut();
                driver.rounds(CATCH_UP_ROUNDS as usize);
                driver.rejoin_under_new_id(lost);
                driver.sim.crash(driver.vms[lost].node);
                let case =
                    format!("{stall:?}, {leaving} leaves after {rounds} rounds, {lost} lost");
                assert!(commits(&mut driver), "{case}");
                [leaving, lost].into_iter().for_each(|at| {
                    driver.sim.restart(driver.vms[at].node);
                });
                driver.recover();
            }
        });
    }
}

/// The same while the VM without a disk gets no vote: the group goes on, and bears one more loss
/// once the member that has left is back, or its successor is.
#[test]
fn a_group_goes_on_after_a_leave_beside_a_voter_without_a_successor() {
    for stall in [Stall::Deaf, Stall::Down] {
        for_each_leave(stall, |ended, wiped, leaving, rounds| {
            for is_replaced in [false, true] {
                for lost in (0..VM_COUNT).filter(|at| ![wiped, leaving].contains(at)) {
                    let mut driver = ended();
                    let case = format!(
                        "{stall:?}, {leaving} leaves after {rounds} rounds, replaced {is_replaced}, {lost} lost"
                    );
                    assert!(commits(&mut driver), "{case}: before the loss");
                    if is_replaced {
                        driver.vms[leaving].address = String::from("address of the successor");
                        driver.rejoin_under_new_id(leaving);
                    } else {
                        driver.sim.restart(driver.vms[leaving].node);
                    }
                    driver.rounds(CATCH_UP_ROUNDS as usize);
                    driver.rejoin_under_new_id(lost);
                    driver.sim.crash(driver.vms[lost].node);
                    assert!(commits(&mut driver), "{case}");
                    driver.stalled.clear();
                    driver.update_cut();
                    [wiped, lost].into_iter().for_each(|at| {
                        driver.sim.restart(driver.vms[at].node);
                    });
                    driver.recover();
                }
            }
        });
    }
}

/// The answers to a member that leaves: it stays for as long as a successor of the lost voter is on
/// its way to a vote, and needn't wait if there is none.
#[test]
fn a_leave_beside_a_voter_that_was_set_aside_is_answered() {
    for (stall, longest) in
        [(Stall::Nothing, 40), (Stall::SilentPath, 60), (Stall::Deaf, 60), (Stall::Down, 60)]
    {
        for rounds in LEAVE_AT {
            let wiped = start(stall, 0).1;
            for leaving in (0..VM_COUNT).filter(|at| *at != wiped) {
                let mut driver = start(stall, rounds).0;
                let answered = leave(&mut driver, leaving);
                assert!(
                    answered.is_some_and(|n| n <= longest),
                    "{stall:?}, {leaving} after {rounds} rounds: {answered:?}"
                );
            }
        }
    }
}
