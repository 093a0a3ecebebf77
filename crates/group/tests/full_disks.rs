//! Groups whose disks fill up, one after another, for some seconds each, and whose processes start again
//! until there is room. Further machines take the place of those that are silent meanwhile. At the end the
//! power of all fails in half of the runs.
//!
//! The group must then lead, commit, hold everything that was acknowledged, and get back to its size.
//!
//! `PROPERTY_SEED` and `PROPERTY_ITERATIONS` choose the runs.

#[path = "../../disk/tests/common/mod.rs"]
mod disks;

mod common;

use common::{Cluster, TIMEOUT};
use disks::FakeDisk;
use group::{
    AppliedCommand, Config, NodeId, StartMode, Status,
    joining::{GroupView, Presence, SilenceLimits, next_join_step, next_upkeep_step},
};
use std::{
    collections::BTreeMap,
    fs,
    thread::{self, JoinHandle},
    time::Duration,
};

/// Voters that the group should have.
const VOTERS: usize = 5;
/// Ticks of silence after which voters may be replaced.
const LIMITS: SilenceLimits =
    SilenceLimits { lost: 6, absent: 20, listening: 600, forgotten: 6_000 };
/// Rounds between two requests to join, and between two commands.
const JOIN_ROUNDS: usize = 4;
const PROPOSE_ROUNDS: usize = 3;
/// Commands whose outcomes are awaited at the same time.
const MAX_PROPOSED: usize = 16;
/// Longest time for which a disk is full, until the next one is, and for which a process is not started
/// again, in rounds of 50 ms.
const FULL_ROUNDS: usize = 120;
const PAUSE_ROUNDS: usize = 60;
const RESTART_ROUNDS: usize = 200;
/// Bytes that are left on a disk that fills up: some writes succeed, and the last one in part.
const LEFT_BYTES: usize = 2_000;
/// Length of a large command in bytes.
const LARGE_BYTES: usize = 3_000;
/// Rounds within which the group must have recovered after the last fault.
const RECOVERY_ROUNDS: usize = 600;
/// Time for which a call that changes the members waits. It is made again if it takes longer.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(5);

/// A machine with its disk, whose process runs or starts again at some round.
struct Machine {
    node: NodeId,
    disk: FakeDisk,
    starts_at: Option<usize>,
}

struct Driver {
    cluster: Cluster,
    machines: Vec<Machine>,
    rng: fastrand::Rng,
    round: usize,
    next_id: NodeId,
    next_command: u64,
    /// Commands with the threads that wait for their outcomes.
    proposed: Vec<(String, JoinHandle<group::Result<AppliedCommand>>)>,
    acknowledged: Vec<String>,
    /// Longest time until a process is started again, in rounds.
    restart_rounds: usize,
    /// Number of nodes that have failed as their disks were full.
    failures: usize,
}

fn configure(cfg: &mut Config) {
    cfg.snapshot_interval_entries = 30;
    cfg.keep_entries = 5;
    cfg.raft.snapshot_chunk_bytes = 4_000;
}

impl Driver {
    fn new(seed: u64, spares: usize) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let cluster = Cluster::new(configure);
        let restart_rounds = [2, 30, RESTART_ROUNDS][rng.usize(..3)];
        let mut driver = Self {
            cluster,
            machines: Vec::new(),
            rng,
            round: 0,
            next_id: 1,
            next_command: 0,
            proposed: Vec::new(),
            acknowledged: Vec::new(),
            restart_rounds,
            failures: 0,
        };
        let members = group::Membership::initial(1, 1..=VOTERS as NodeId);
        for i in 0..VOTERS + spares {
            driver.machines.push(Machine {
                node: driver.next_id,
                disk: FakeDisk::default(),
                starts_at: None,
            });
            driver.next_id += 1;
            let mode = match i < VOTERS {
                true => StartMode::Bootstrap(members.clone()),
                false => StartMode::Join,
            };
            assert!(driver.start(i, mode), "the disk has room");
        }
        driver.cluster.elect();
        driver
    }

    /// Starts the process of a machine. Returns whether it runs.
    fn start(&mut self, at: usize, mode: StartMode) -> bool {
        let Machine { node, disk, .. } = &self.machines[at];
        let store = disk.options(4_000);
        let started = self.cluster.start_with(*node, mode, |cfg| cfg.store = store);
        if let Err(e) = &started {
            assert!(e.is_disk(), "{e}");
            let is_full = disk.0.lock().unwrap().room_bytes.is_some();
            assert!(is_full, "machine {at} does not start although its disk has room: {e}");
        }
        started.is_ok()
    }

    /// Passes one tick.
    fn step(&mut self) {
        self.round += 1;
        self.start_ended();
        self.cluster.round();
        if self.round.is_multiple_of(PROPOSE_ROUNDS) {
            self.propose();
        }
        self.collect();
        if self.round.is_multiple_of(JOIN_ROUNDS) {
            self.rejoin_retired();
            self.change_members();
        }
    }

    fn steps(&mut self, rounds: usize) {
        (0..rounds).for_each(|_| self.step());
    }

    /// Ends the processes of nodes that have failed, and starts those that are due.
    fn start_ended(&mut self) {
        for at in 0..self.machines.len() {
            let node = self.machines[at].node;
            let status = self.cluster.nodes.get(&node).map(|node| node.handle.status());
            if let Some(failure) = status.and_then(|status| status.failure) {
                assert!(failure.contains("no storage space"), "machine {at} failed: {failure}");
                self.failures += 1;
                self.end(at);
            }
            if self.machines[at].starts_at.is_some_and(|round| round <= self.round) {
                self.machines[at].starts_at = None;
                if !self.start(at, StartMode::Join) {
                    self.end(at);
                }
            }
        }
    }

    /// Ends the process of a machine, which starts again later.
    fn end(&mut self, at: usize) {
        self.cluster.stop(self.machines[at].node);
        let after = self.rng.usize(1..=self.restart_rounds);
        self.machines[at].starts_at = Some(self.round + after);
    }

    fn propose(&mut self) {
        let Some(leader) = self.cluster.leader().filter(|_| self.proposed.len() < MAX_PROPOSED)
        else {
            return;
        };
        self.next_command += 1;
        let mut command = format!("command {}", self.next_command);
        if self.rng.u8(..20) == 0 {
            command.push_str(&" x".repeat(LARGE_BYTES / 2));
        }
        let handle = &self.cluster.nodes[&leader].handle;
        if let Ok(pending) = handle.submit(command.clone().into_bytes(), TIMEOUT) {
            self.proposed.push((command, thread::spawn(move || pending.wait())));
        }
    }

    /// Notes which commands are acknowledged.
    fn collect(&mut self) {
        let proposed = self.proposed.drain(..);
        let (ended, waiting): (Vec<_>, Vec<_>) = proposed.partition(|(_, t)| t.is_finished());
        self.proposed = waiting;
        for (command, thread) in ended {
            if thread.join().unwrap().is_ok() {
                self.acknowledged.push(command);
            }
        }
    }

    fn status_of_leader(&self) -> Option<Status> {
        let leader = self.cluster.leader()?;
        Some(self.cluster.nodes[&leader].handle.status())
    }

    /// Lets the nodes that were removed while they were away join under new ids, with empty disks.
    fn rejoin_retired(&mut self) {
        let Some(status) = self.status_of_leader() else { return };
        if !status.is_membership_committed {
            return;
        }
        for at in 0..self.machines.len() {
            let node = self.machines[at].node;
            let Some(own) = self.cluster.nodes.get(&node).map(|node| node.handle.status()) else {
                continue;
            };
            if status.membership.is_retired(node) || own.lost_disk {
                assert!(!own.lost_disk, "machine {at} was found to have lost its disk");
                self.cluster.stop(node);
                fs::remove_dir_all(self.cluster.dir(node)).unwrap();
                self.machines[at].node = self.next_id;
                self.next_id += 1;
                self.machines[at].starts_at = Some(self.round + 1);
            }
        }
    }

    /// Has the leader make the next change: for a machine that isn't a voter yet, or the removal of a
    /// surplus voter.
    fn change_members(&mut self) {
        let Some(status) = self.status_of_leader() else { return };
        let addresses = self.machines.iter().enumerate();
        let addresses: BTreeMap<NodeId, String> =
            addresses.map(|(at, machine)| (machine.node, at.to_string())).collect();
        let presence = |id: &NodeId| match self.cluster.nodes.contains_key(id) {
            true => Presence::Listening,
            false => Presence::Refused,
        };
        let presence = status.membership.voters.iter().map(|id| (*id, presence(id))).collect();
        let view = GroupView {
            members: &status.membership,
            silent_ticks: &status.silent_ticks,
            reachable: &status.reachable,
            caught_up: &status.caught_up,
            confirmed: &status.confirmed,
            addresses: &addresses,
            target_voters: VOTERS,
            presence: &presence,
            known_lost: &status.known_lost,
            limits: LIMITS,
        };
        let mut running = self.machines.iter().filter(|m| self.cluster.nodes.contains_key(&m.node));
        let change = running
            .find_map(|m| next_join_step(view, m.node, &addresses[&m.node]))
            .or_else(|| next_upkeep_step(view));
        if let Some(change) = change {
            // A failure, or more often the short time, is no matter: the next step makes it again.
            let _ = self.cluster.nodes[&status.id].handle.change_membership(change, CHANGE_TIMEOUT);
        }
    }

    /// Fills the disk of each machine for a while, one after another.
    fn fill_disks(&mut self) {
        let mut order: Vec<usize> = (0..self.machines.len()).collect();
        self.rng.shuffle(&mut order);
        for at in order {
            let left = self.rng.usize(..LEFT_BYTES);
            self.set_room(at, Some(left));
            let rounds = self.rng.usize(5..FULL_ROUNDS);
            self.steps(rounds);
            self.set_room(at, None);
            let rounds = self.rng.usize(..PAUSE_ROUNDS);
            self.steps(rounds);
        }
    }

    fn set_room(&self, at: usize, bytes: Option<usize>) {
        self.machines[at].disk.0.lock().unwrap().room_bytes = bytes;
    }

    /// Ends all processes. What wasn't synced is lost.
    fn lose_power(&mut self) {
        for at in 0..self.machines.len() {
            self.end(at);
            let dir = self.cluster.dir(self.machines[at].node);
            let torn = self.rng.u64(..100);
            if dir.is_dir() {
                self.machines[at].disk.crash(&dir, torn);
            }
        }
    }

    /// Whether the group has its size, hears all its voters, and has applied a command that was proposed after
    /// this number of acknowledgements.
    fn has_recovered(&self, acknowledged: usize) -> bool {
        let Some(status) = self.status_of_leader() else { return false };
        let voters = &status.membership.voters;
        voters.len() >= VOTERS
            && voters.iter().all(|id| status.reachable.contains(id))
            && !status.membership.is_joint()
            && self.acknowledged.len() > acknowledged
    }

    fn check_recovery(&mut self) {
        let acknowledged = self.acknowledged.len();
        for _ in 0..RECOVERY_ROUNDS + 2 * self.restart_rounds {
            self.step();
            if self.has_recovered(acknowledged) {
                break;
            }
        }
        let describe = |status: Status| format!("{status:?}\n");
        let nodes = self.cluster.nodes.values().map(|node| describe(node.handle.status()));
        assert!(
            self.has_recovered(acknowledged),
            "the group has not recovered:\n{}",
            nodes.collect::<String>()
        );
        let leader = self.cluster.elect();
        let confirmed = self.cluster.run(leader, |h| h.confirm_leadership(TIMEOUT));
        confirmed.expect("it leads, and has applied what was acknowledged before");
        let state = self.cluster.state(leader);
        let missing: Vec<&String> =
            self.acknowledged.iter().filter(|command| !state.contains(command)).collect();
        assert!(missing.is_empty(), "acknowledged and gone: {missing:?}");
    }
}

/// Guards against a group that is stopped for good by disks that were full one after another, or that loses
/// what it acknowledged.
#[test]
fn a_group_recovers_from_disks_that_are_full_one_after_another() {
    seeded::check().with_type::<u64>().with_iterations(16).for_each(|seed| {
        let mut driver = Driver::new(*seed, (*seed % 3) as usize);
        driver.steps(20);
        driver.fill_disks();
        assert!(driver.failures > 0, "no disk was full when it was written to");
        if seed % 2 == 0 {
            let rounds = driver.rng.usize(..20);
            driver.steps(rounds);
            driver.lose_power();
        }
        driver.check_recovery();
    });
}
