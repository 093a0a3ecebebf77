//! Property tests: random faults of network, disks and clocks and random operator requests
//! never violate the safety properties that `sim` checks, and the group recovers afterwards.

mod sim;

use bolero::{TypeGenerator, generator::*};
use raft::{MembershipChange, Message, NodeId};
use sim::{CrashPoint, Sim};

#[derive(Clone, Debug, TypeGenerator)]
enum Op {
    Rounds(u8),
    /// Rounds in which only the nodes in the mask tick.
    UnevenRounds(u8, u8),
    Tick(u8),
    Deliver(u8),
    Lose(u8),
    LoseMasked(u8),
    Duplicate(u8),
    Propose(u8),
    ProposeAll,
    Read(u8),
    Crash(u8, u8),
    Restart(u8),
    Partition(u8),
    IsolateLeader,
    CutOneWay(u8, u8),
    Heal,
    Compact(u8, u8),
    AddLearner(u8),
    Promote(u8, u8),
    Remove(u8, u8),
    Transfer(u8, u8),
    Exchange(u8, u8, u8),
    Demote(u8, u8),
}

const MAX_ROUNDS: u8 = 40;
const MAX_NODES: u64 = 12;
/// Maximum random bytes from which one test case is generated.
const MAX_INPUT_BYTES: usize = 4_096;

struct Driver {
    sim: Sim,
    commands: u32,
}

impl Driver {
    fn node(&self, choice: u8) -> NodeId {
        let ids: Vec<_> = self.sim.nodes.keys().copied().collect();
        ids[usize::from(choice) % ids.len()]
    }

    /// The leader for every other choice, so that many requests reach one; otherwise any node.
    fn leader_or_any(&self, choice: u8) -> NodeId {
        match self.sim.leader().filter(|_| choice.is_multiple_of(2)) {
            Some(leader) => leader,
            None => self.node(choice / 2),
        }
    }

    fn message_index(&self, choice: u8) -> Option<usize> {
        let count = self.sim.network.len();
        (count > 0).then(|| usize::from(choice) % count)
    }

    fn propose(&mut self, id: NodeId) {
        self.commands += 1;
        self.sim.propose(id, &self.commands.to_le_bytes());
    }

    fn run(&mut self, op: &Op) {
        match *op {
            Op::Rounds(count) => self.sim.rounds((count % MAX_ROUNDS).into()),
            Op::UnevenRounds(count, mask) => {
                for _ in 0..count % MAX_ROUNDS {
                    self.sim.round_with_ticks(|id| (mask >> (id % 8)) & 1 == 1);
                }
            }
            Op::Tick(n) => self.sim.tick(self.node(n)),
            Op::Deliver(n) => {
                if let Some(index) = self.message_index(n) {
                    let message = self.sim.network.swap_remove(index);
                    self.sim.deliver(message);
                }
            }
            Op::Lose(n) => {
                self.message_index(n).map(|index| self.sim.network.swap_remove(index));
            }
            Op::LoseMasked(mask) => {
                let mut index = 0;
                self.sim.network.retain(|_| {
                    index += 1;
                    (mask >> (index % 8)) & 1 == 1
                });
            }
            Op::Duplicate(n) => {
                if let Some(index) = self.message_index(n) {
                    self.sim.deliver(self.sim.network[index].clone());
                }
            }
            Op::Propose(n) => self.propose(self.leader_or_any(n)),
            Op::ProposeAll => self.sim.alive().into_iter().for_each(|id| self.propose(id)),
            Op::Read(n) => self.sim.read(self.leader_or_any(n)),
            Op::Crash(n, point) => self.crash(self.node(n), point),
            Op::Restart(n) => self.restart(self.node(n)),
            Op::Partition(mask) => self.partition(mask),
            Op::IsolateLeader => self.isolate_leader(),
            Op::CutOneWay(a, b) => {
                self.sim.cut.insert((self.node(a), self.node(b)));
            }
            Op::Heal => self.sim.cut.clear(),
            Op::Compact(n, keep) => self.sim.compact(self.node(n), u64::from(keep % 4)),
            Op::AddLearner(n) => self.add_learner(self.leader_or_any(n)),
            Op::Promote(n, id) => self.change(n, MembershipChange::Promote(self.node(id))),
            Op::Remove(n, id) => self.change(n, MembershipChange::Remove(self.node(id))),
            Op::Demote(n, id) => self.change(n, MembershipChange::Demote(self.node(id))),
            Op::Exchange(n, old, new) => {
                let (old, new) = (self.node(old), self.node(new));
                self.change(n, MembershipChange::Exchange { old, new });
            }
            Op::Transfer(n, to) => {
                let to = self.node(to);
                self.sim.with(self.leader_or_any(n), |raft| raft.transfer_leadership(to).is_ok());
            }
        }
    }

    fn crash(&mut self, id: NodeId, point: u8) {
        match point % 4 {
            0 => self.sim.crash(id),
            1 => self.sim.crash_at(id, CrashPoint::BeforeSync),
            2 => self.sim.crash_at(id, CrashPoint::AfterSync),
            _ => self.sim.crash_at(id, CrashPoint::AfterMessages),
        }
    }

    /// Restarts a node, unless its disk is lost: such a node comes back under a new id only.
    fn restart(&mut self, id: NodeId) {
        if !self.sim.lost.contains(&id) {
            self.sim.restart(id);
        }
    }

    fn partition(&mut self, mask: u8) {
        let side = |id: NodeId| (mask >> (id % 8)) & 1;
        let ids: Vec<_> = self.sim.nodes.keys().copied().collect();
        let pairs = ids.iter().flat_map(|a| ids.iter().map(move |b| (*a, *b)));
        self.sim.cut = pairs.filter(|(a, b)| side(*a) != side(*b)).collect();
    }

    fn isolate_leader(&mut self) {
        let Some(leader) = self.sim.leader() else { return };
        let ids: Vec<_> = self.sim.nodes.keys().copied().collect();
        self.sim.cut.extend(ids.iter().flat_map(|id| [(leader, *id), (*id, leader)]));
    }

    fn add_learner(&mut self, leader: NodeId) {
        let id = self.sim.nodes.len() as u64 + 1;
        if id <= MAX_NODES && self.sim.change(leader, MembershipChange::AddLearner(id)) {
            self.sim.add(id, raft::PersistedState::default());
        }
    }

    fn change(&mut self, leader: u8, change: MembershipChange) {
        self.sim.change(self.leader_or_any(leader), change);
    }

    /// Ends all faults and checks that the group elects a stable leader, that all members apply
    /// everything, and that a read is confirmed.
    fn recover(&mut self) {
        self.sim.cut.clear();
        let ids: Vec<_> = self.sim.nodes.keys().copied().collect();
        ids.iter().for_each(|id| self.sim.restart(*id));
        // Lets a pending change that removes the leader finish, so that the next leader stays.
        self.sim.rounds(100);
        let leader = self.sim.elect();
        assert!(self.sim.propose(leader, b"last"));
        let end = self.sim.raft(leader).last_index();
        self.sim.until("all members have applied the whole log", |sim| {
            let members = sim.raft(leader).membership();
            members.nodes().all(|id| sim.nodes[&id].applied >= end)
        });
        assert_eq!(self.sim.leader(), Some(leader), "a healthy leader was replaced");
        let before = self.sim.confirmed_reads;
        self.sim.read(leader);
        self.sim.rounds(2);
        assert_eq!(self.sim.confirmed_reads, before + 1);
    }
}

fn check_group(voters: u64, ops: &[Op]) {
    let mut driver = Driver { sim: Sim::new(voters, |_| ()), commands: 0 };
    driver.sim.elect();
    ops.iter().for_each(|op| driver.run(op));
    driver.recover();
}

#[test]
fn three_nodes_stay_safe_under_faults_and_recover() {
    seeded::check()
        .with_max_len(MAX_INPUT_BYTES)
        .with_generator(produce::<Vec<Op>>().with().len(0..=250usize))
        .for_each(|ops| check_group(3, ops));
}

#[test]
fn five_nodes_stay_safe_under_faults_and_recover() {
    seeded::check()
        .with_max_len(MAX_INPUT_BYTES)
        .with_generator(produce::<Vec<Op>>().with().len(0..=250usize))
        .for_each(|ops| check_group(5, ops));
}

/// Steps of a group whose nodes lose their disks for good.
#[derive(Clone, Debug, TypeGenerator)]
enum LossOp {
    Others([Op; 6]),
    Settle(u8),
    LoseDisk(u8),
    LoseDiskOfLeader,
    /// A node learns that a disk is lost.
    Note(u8, u8),
    /// The nodes in the mask learn of all lost disks.
    NoteAll(u8),
    /// Some of the messages in flight, as those of nodes that are lost by then, arrive late.
    Hold(u8),
    Release(u8),
    ReleaseAll,
    /// A voter is set aside, or gets its vote back.
    Demote(u8),
    Promote(u8),
    Exchange(u8, u8),
}

struct LossDriver {
    driver: Driver,
    held: Vec<Message>,
}

impl LossDriver {
    fn run(&mut self, op: &LossOp) {
        let driver = &mut self.driver;
        match op {
            LossOp::Others(ops) => ops.iter().for_each(|op| driver.run(op)),
            LossOp::Settle(count) => {
                driver.sim.cut.clear();
                driver.sim.rounds((count % MAX_ROUNDS).into());
                if let Some(leader) = driver.sim.leader() {
                    driver.propose(leader);
                }
            }
            LossOp::LoseDisk(n) => {
                let id = driver.node(*n);
                driver.lose_disk(id);
            }
            LossOp::LoseDiskOfLeader => {
                if let Some(leader) = driver.sim.leader() {
                    driver.lose_disk(leader);
                }
            }
            LossOp::Note(n, lost) => {
                let ids: Vec<NodeId> = driver.sim.lost.iter().copied().collect();
                if !ids.is_empty() {
                    let (id, lost) = (driver.node(*n), ids[usize::from(*lost) % ids.len()]);
                    driver.sim.with(id, |raft| raft.note_lost_disk(lost));
                }
            }
            LossOp::NoteAll(mask) => {
                let lost = driver.sim.lost.clone();
                let told = driver.sim.alive().into_iter().filter(|id| (mask >> (id % 8)) & 1 == 1);
                for id in told.collect::<Vec<_>>() {
                    driver.sim.with(id, |raft| lost.iter().for_each(|l| raft.note_lost_disk(*l)));
                }
            }
            LossOp::Hold(mask) => {
                let messages = std::mem::take(&mut driver.sim.network);
                let is_held = |m: &Message| (mask >> (m.from % 8)) & 1 == 1;
                let (held, network) = messages.into_iter().partition::<Vec<_>, _>(is_held);
                driver.sim.network = network;
                self.held.extend(held);
            }
            LossOp::Release(n) => {
                if !self.held.is_empty() {
                    let message = self.held.swap_remove(usize::from(*n) % self.held.len());
                    driver.sim.deliver(message);
                }
            }
            LossOp::ReleaseAll => {
                self.held.drain(..).for_each(|message| driver.sim.deliver(message));
            }
            LossOp::Demote(id) => driver.change(0, MembershipChange::Demote(driver.node(*id))),
            LossOp::Promote(id) => driver.change(0, MembershipChange::Promote(driver.node(*id))),
            LossOp::Exchange(old, new) => {
                let (old, new) = (driver.node(*old), driver.node(*new));
                driver.change(0, MembershipChange::Exchange { old, new });
            }
        }
    }
}

impl Driver {
    /// Takes the disk of a node for good, as long as the voters that are left could be a quorum.
    fn lose_disk(&mut self, id: NodeId) {
        let mut lost = self.sim.lost.clone();
        if !lost.insert(id) {
            return;
        }
        let nodes = self.sim.alive().into_iter().filter(|other| *other != id);
        let is_left = |id: NodeId| !lost.contains(&id);
        let may_decide =
            |other| self.sim.raft(other).membership().has_quorum_without(&lost, is_left);
        if nodes.into_iter().all(may_decide) {
            self.sim.crash(id);
            self.sim.lose_disk(id);
        }
    }
}

/// Guards against two leaders, or a committed entry that is lost, where half of the voters decide: of two halves that leave
/// out different voters, one had counted what a voter did before its disk was lost.
#[test]
fn groups_that_lose_disks_for_good_stay_safe() {
    let ops = produce::<Vec<LossOp>>().with().len(0..=150usize);
    seeded::check().with_max_len(4 * MAX_INPUT_BYTES).with_generator((3..=6u64, ops)).for_each(
        |(voters, ops)| {
            let driver = Driver { sim: Sim::new(*voters, |_| ()), commands: 0 };
            let mut losses = LossDriver { driver, held: Vec::new() };
            losses.driver.sim.may_lose_disks = true;
            losses.driver.sim.elect();
            ops.iter().for_each(|op| losses.run(op));
        },
    );
}
