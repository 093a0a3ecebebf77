//! A group whose nodes lose their disks stays whole and keeps what it has applied.

mod sim;

use bolero::{TypeGenerator, generator::*};
use raft::{
    MembershipChange, NodeId, PersistedState,
    admission::{GroupView, JoinAction, plan_join, surplus_voter},
};
use sim::Sim;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, TypeGenerator)]
enum Op {
    Rounds(u8),
    Propose(u8),
    Cut(u8),
    CutTwo(u8, u8),
    Heal,
    Crash(u8),
    Restart(u8),
    CrashLeader,
    /// The machine loses its disk and comes back under a new id.
    Wipe(u8),
    WipeLeader,
    /// As [`Op::Wipe`], and it comes back at another address.
    Replace(u8),
    Compact(u8),
}

/// Machines, and voters that the group needs to survive the loss of two disks at once.
const MACHINES: usize = 5;
/// Disks that may be lost at once.
const TOLERATED: usize = 2;
const MAX_ROUNDS: u8 = 60;
/// Elections take 10 to 20 ticks.
const REPLACE_AFTER: u32 = 50;
/// Rounds after which a change that makes no progress is given up.
const PATIENCE: u32 = 40;

/// Changes that a leader is making.
struct Work {
    leader: NodeId,
    term: u64,
    changes: Vec<MembershipChange>,
    rounds_left: u32,
}

struct Driver {
    sim: Sim,
    /// Node and address of each machine.
    machines: Vec<(NodeId, String)>,
    cut: BTreeSet<usize>,
    addresses: BTreeMap<NodeId, String>,
    work: Option<Work>,
    next_id: NodeId,
    commands: u32,
    /// Disks lost since the group was last whole.
    lost: usize,
}

impl Driver {
    fn new() -> Self {
        let mut sim = Sim::new(MACHINES as u64, |_| ());
        sim.may_lose_disks = true;
        let machines: Vec<_> =
            (1..=MACHINES).map(|n| (n as NodeId, format!("address {n}"))).collect();
        let addresses = machines.iter().cloned().collect();
        sim.elect();
        Self {
            sim,
            machines,
            cut: BTreeSet::new(),
            addresses,
            work: None,
            next_id: MACHINES as NodeId + 1,
            commands: 0,
            lost: 0,
        }
    }

    fn run(&mut self, op: &Op) {
        let place = |n: u8| usize::from(n) % MACHINES;
        match *op {
            Op::Rounds(count) => self.rounds((count % MAX_ROUNDS).into()),
            Op::Propose(n) => self.propose(self.machines[place(n)].0),
            Op::Cut(n) => self.set_cut([place(n)].into()),
            Op::CutTwo(a, b) => self.set_cut([place(a), place(b)].into()),
            Op::Heal => self.set_cut(BTreeSet::new()),
            Op::Crash(n) => self.sim.crash(self.machines[place(n)].0),
            Op::Restart(n) => self.sim.restart(self.machines[place(n)].0),
            Op::CrashLeader => {
                if let Some(leader) = self.sim.leader() {
                    self.sim.crash(leader);
                }
            }
            Op::Wipe(n) => self.wipe(place(n)),
            Op::WipeLeader => {
                let leader = self.sim.leader();
                if let Some(at) = self.machines.iter().position(|(id, _)| Some(*id) == leader) {
                    self.wipe(at);
                }
            }
            Op::Replace(n) => {
                if self.lost < TOLERATED {
                    self.machines[place(n)].1 = format!("address of node {}", self.next_id);
                    self.wipe(place(n));
                }
            }
            Op::Compact(n) => self.sim.compact(self.machines[place(n)].0, 2),
        }
    }

    fn propose(&mut self, id: NodeId) {
        let id = self.sim.leader().unwrap_or(id);
        self.commands += 1;
        self.sim.propose(id, &self.commands.to_le_bytes());
    }

    fn set_cut(&mut self, cut: BTreeSet<usize>) {
        self.cut = cut;
        let is_cut = |id: &NodeId| self.cut.iter().any(|at| self.machines[*at].0 == *id);
        let ids: Vec<_> = self.sim.nodes.keys().copied().collect();
        let pairs = ids.iter().flat_map(|a| ids.iter().map(move |b| (*a, *b)));
        self.sim.cut = pairs.filter(|(a, b)| is_cut(a) || is_cut(b)).collect();
    }

    fn wipe(&mut self, at: usize) {
        if self.lost < TOLERATED {
            self.lost += 1;
            self.start_anew(at);
        }
    }

    fn start_anew(&mut self, at: usize) {
        let old = self.machines[at].0;
        self.sim.crash(old);
        self.sim.nodes.get_mut(&old).expect("a node").disk = PersistedState::default();
        let id = self.next_id;
        self.next_id += 1;
        self.machines[at].0 = id;
        self.addresses.insert(id, self.machines[at].1.clone());
        self.sim.add(id, PersistedState::default());
        self.set_cut(self.cut.clone());
    }

    fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.sim.round();
            self.forget_retired();
            self.admit();
            if self.is_whole() {
                self.lost = 0;
            }
        }
    }

    /// Nodes that were removed while they were away ask the leader, and start anew.
    fn forget_retired(&mut self) {
        let Some(leader) = self.sim.leader() else { return };
        let raft = self.sim.raft(leader);
        if raft.commit() < raft.last_index() {
            return;
        }
        let retired = &raft.membership().retired;
        let at = self.machines.iter().position(|(id, _)| {
            self.sim.nodes[id].raft.is_some()
                && !self.sim.cut.contains(&(*id, leader))
                && retired.contains(id)
        });
        if let Some(at) = at {
            self.start_anew(at);
        }
    }

    /// What the leader does for machines that ask to join, and for those nobody removed.
    fn admit(&mut self) {
        let Some(leader) = self.sim.leader() else { return };
        let term = self.sim.raft(leader).term();
        if let Some(work) = self.work.take().filter(|w| (w.leader, w.term) == (leader, term)) {
            self.go_on(work);
            return;
        }
        let raft = self.sim.raft(leader);
        let members = raft.membership().clone();
        let silent_ticks: BTreeMap<NodeId, u32> = raft.silent_ticks().collect();
        let view = GroupView {
            members: &members,
            silent_ticks: &silent_ticks,
            addresses: &self.addresses,
            target_voters: MACHINES,
            replace_after_ticks: REPLACE_AFTER,
        };
        let reaches = |id: NodeId| {
            self.sim.nodes[&id].raft.is_some() && !self.sim.cut.contains(&(id, leader))
        };
        let asking = self.machines.iter().filter(|(id, _)| reaches(*id));
        let admitted = asking.filter_map(|(id, address)| {
            let mut changes = Vec::new();
            let how = plan_join(view, *id, address)?;
            if !members.contains(*id) {
                changes.push(MembershipChange::AddLearner(*id));
            }
            changes.push(MembershipChange::Promote(*id));
            if let JoinAction::Replace(old) = how {
                changes.push(MembershipChange::Remove(old));
            }
            Some(changes)
        });
        let removed = || surplus_voter(view).map(|id| vec![MembershipChange::Remove(id)]);
        let changes = admitted.into_iter().next().or_else(removed);
        self.work = changes.map(|changes| Work { leader, term, changes, rounds_left: PATIENCE });
    }

    fn go_on(&mut self, mut work: Work) {
        if self.sim.change(work.leader, work.changes[0]) {
            work.changes.remove(0);
            work.rounds_left = PATIENCE;
        }
        work.rounds_left = work.rounds_left.saturating_sub(1);
        if !work.changes.is_empty() && work.rounds_left > 0 {
            self.work = Some(work);
        }
    }

    /// Whether the machines are the members, and each holds all that was ever applied.
    fn is_whole(&self) -> bool {
        let Some(leader) = self.sim.leader() else { return false };
        let raft = self.sim.raft(leader);
        let nodes: BTreeSet<NodeId> = self.machines.iter().map(|(id, _)| *id).collect();
        let newest = self.sim.history.keys().last().copied().unwrap_or(0);
        let holds = |id: &NodeId| {
            let disk = &self.sim.nodes[id].disk;
            let last = disk.entries.last().map_or(0, |e| e.index);
            last.max(disk.snapshot.meta.index) >= newest
        };
        let voters: BTreeSet<NodeId> = raft.membership().voters.iter().copied().collect();
        voters == nodes && raft.commit() == raft.last_index() && nodes.iter().all(holds)
    }

    fn recover(&mut self) {
        self.set_cut(BTreeSet::new());
        for (id, _) in self.machines.clone() {
            self.sim.restart(id);
        }
        for _ in 0..40 {
            self.rounds(50);
            if self.is_whole() {
                return;
            }
        }
        let nodes: Vec<_> = self.sim.alive().into_iter().map(|id| self.sim.describe(id)).collect();
        panic!("not whole again:\n{}", nodes.join("\n"));
    }

    /// Any two machines may fail now.
    fn lose_two(&mut self, seed: usize) {
        let (a, b) = (seed % MACHINES, (seed + 1 + seed / MACHINES % 4) % MACHINES);
        for at in [a, b] {
            self.sim.crash(self.machines[at].0);
        }
        self.sim.elect();
        let leader = self.sim.leader().expect("elected");
        let before = self.sim.raft(leader).commit();
        self.propose(leader);
        self.sim.until("a command is committed by three", |sim| {
            sim.leader().is_some_and(|id| sim.raft(id).commit() > before)
        });
    }
}

#[test]
fn lost_disks_are_replaced_and_nothing_is_lost() {
    let ops = produce::<Vec<Op>>().with().len(0..=120usize);
    seeded::check().with_generator((ops, produce::<u8>())).for_each(|(ops, choice)| {
        let mut driver = Driver::new();
        ops.iter().for_each(|op| driver.run(op));
        driver.recover();
        driver.lose_two(usize::from(*choice));
    });
}
