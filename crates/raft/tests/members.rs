//! Property test: while nodes lose their disks and rejoin under new ids, a group that follows
//! `raft::joining` gets back to its full size, loses no applied entry, and then survives the
//! failure of any two VMs.

mod sim;

use bolero::{TypeGenerator, generator::*};
use raft::{
    MembershipChange, NodeId, PersistedState,
    joining::{GroupView, JoinAction, plan_join, surplus_voter},
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
    /// The VM loses its disk and its node rejoins under a new id.
    LoseDisk(u8),
    LoseDiskOfLeader,
    /// As [`Op::LoseDisk`], and the node rejoins at another address.
    Replace(u8),
    Compact(u8),
}

/// Number of VMs and of voters: the smallest group that survives the loss of two disks at once.
const VM_COUNT: usize = 5;
/// Number of disks that may be lost at once.
const TOLERATED_LOSSES: usize = 2;
const MAX_ROUNDS: u8 = 60;
/// Ticks of silence after which a voter may be replaced; elections take 10 to 20 ticks.
const REPLACE_AFTER_TICKS: u32 = 50;
/// Rounds without progress after which a leader abandons its changes and plans new ones.
const MAX_IDLE_ROUNDS: u32 = 40;

/// Membership changes that a leader is making, in order.
struct PendingChanges {
    leader: NodeId,
    term: u64,
    changes: Vec<MembershipChange>,
    remaining_rounds: u32,
}

struct Driver {
    sim: Sim,
    /// Node id and address of each VM.
    vms: Vec<(NodeId, String)>,
    /// Indexes in `vms` of those that are cut off from the network.
    cut: BTreeSet<usize>,
    addresses: BTreeMap<NodeId, String>,
    pending: Option<PendingChanges>,
    next_id: NodeId,
    commands: u32,
    /// Number of disks lost since the group was last at full size.
    lost_disks: usize,
}

impl Driver {
    fn new() -> Self {
        let mut sim = Sim::new(VM_COUNT as u64, |_| ());
        sim.may_lose_disks = true;
        let vms: Vec<_> = (1..=VM_COUNT).map(|n| (n as NodeId, format!("address {n}"))).collect();
        let addresses = vms.iter().cloned().collect();
        sim.elect();
        Self {
            sim,
            vms,
            cut: BTreeSet::new(),
            addresses,
            pending: None,
            next_id: VM_COUNT as NodeId + 1,
            commands: 0,
            lost_disks: 0,
        }
    }

    fn run(&mut self, op: &Op) {
        let vm_index = |n: u8| usize::from(n) % VM_COUNT;
        match *op {
            Op::Rounds(count) => self.rounds((count % MAX_ROUNDS).into()),
            Op::Propose(n) => self.propose(self.vms[vm_index(n)].0),
            Op::Cut(n) => self.set_cut([vm_index(n)].into()),
            Op::CutTwo(a, b) => self.set_cut([vm_index(a), vm_index(b)].into()),
            Op::Heal => self.set_cut(BTreeSet::new()),
            Op::Crash(n) => self.sim.crash(self.vms[vm_index(n)].0),
            Op::Restart(n) => self.sim.restart(self.vms[vm_index(n)].0),
            Op::CrashLeader => {
                if let Some(leader) = self.sim.leader() {
                    self.sim.crash(leader);
                }
            }
            Op::LoseDisk(n) => self.lose_disk(vm_index(n)),
            Op::LoseDiskOfLeader => {
                let leader = self.sim.leader();
                if let Some(at) = self.vms.iter().position(|(id, _)| Some(*id) == leader) {
                    self.lose_disk(at);
                }
            }
            Op::Replace(n) => {
                if self.lost_disks < TOLERATED_LOSSES {
                    self.vms[vm_index(n)].1 = format!("address of node {}", self.next_id);
                    self.lose_disk(vm_index(n));
                }
            }
            Op::Compact(n) => self.sim.compact(self.vms[vm_index(n)].0, 2),
        }
    }

    fn propose(&mut self, id: NodeId) {
        let id = self.sim.leader().unwrap_or(id);
        self.commands += 1;
        self.sim.propose(id, &self.commands.to_le_bytes());
    }

    fn set_cut(&mut self, cut: BTreeSet<usize>) {
        self.cut = cut;
        let is_cut = |id: &NodeId| self.cut.iter().any(|at| self.vms[*at].0 == *id);
        let ids: Vec<_> = self.sim.nodes.keys().copied().collect();
        let pairs = ids.iter().flat_map(|a| ids.iter().map(move |b| (*a, *b)));
        self.sim.cut = pairs.filter(|(a, b)| is_cut(a) || is_cut(b)).collect();
    }

    fn lose_disk(&mut self, at: usize) {
        if self.lost_disks < TOLERATED_LOSSES {
            self.lost_disks += 1;
            self.rejoin_under_new_id(at);
        }
    }

    fn rejoin_under_new_id(&mut self, at: usize) {
        let old = self.vms[at].0;
        self.sim.crash(old);
        self.sim.nodes.get_mut(&old).expect("the node exists").disk = PersistedState::default();
        let id = self.next_id;
        self.next_id += 1;
        self.vms[at].0 = id;
        self.addresses.insert(id, self.vms[at].1.clone());
        self.sim.add(id, PersistedState::default());
        self.set_cut(self.cut.clone());
    }

    fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.sim.round();
            self.rejoin_retired();
            self.plan_changes();
            if self.is_complete() {
                self.lost_disks = 0;
            }
        }
    }

    /// Lets one running node that was removed from the group, and can learn this from the leader,
    /// rejoin under a new id with an empty disk.
    fn rejoin_retired(&mut self) {
        let Some(leader) = self.sim.leader() else { return };
        let raft = self.sim.raft(leader);
        if raft.commit() < raft.last_index() {
            return;
        }
        let retired = &raft.membership().retired;
        let at = self.vms.iter().position(|(id, _)| {
            self.sim.nodes[id].raft.is_some()
                && !self.sim.cut.contains(&(*id, leader))
                && retired.contains(id)
        });
        if let Some(at) = at {
            self.rejoin_under_new_id(at);
        }
    }

    /// Continues the changes that the leader is making, or plans new ones: the admission of a VM
    /// whose node isn't a voter, or else the removal of a surplus voter.
    fn plan_changes(&mut self) {
        let Some(leader) = self.sim.leader() else { return };
        let term = self.sim.raft(leader).term();
        if let Some(pending) = self.pending.take().filter(|p| (p.leader, p.term) == (leader, term))
        {
            self.continue_changes(pending);
            return;
        }
        let raft = self.sim.raft(leader);
        let members = raft.membership().clone();
        let silent_ticks: BTreeMap<NodeId, u32> = raft.silent_ticks().collect();
        let view = GroupView {
            members: &members,
            silent_ticks: &silent_ticks,
            addresses: &self.addresses,
            target_voters: VM_COUNT,
            replace_after_ticks: REPLACE_AFTER_TICKS,
        };
        let can_reach = |id: NodeId| {
            self.sim.nodes[&id].raft.is_some() && !self.sim.cut.contains(&(id, leader))
        };
        let joining = self.vms.iter().filter(|(id, _)| can_reach(*id));
        let admitted = joining.filter_map(|(id, address)| {
            let mut changes = Vec::new();
            let action = plan_join(view, *id, address)?;
            if !members.contains(*id) {
                changes.push(MembershipChange::AddLearner(*id));
            }
            changes.push(MembershipChange::Promote(*id));
            if let JoinAction::Replace(old) = action {
                changes.push(MembershipChange::Remove(old));
            }
            Some(changes)
        });
        let removed = || surplus_voter(view).map(|id| vec![MembershipChange::Remove(id)]);
        let changes = admitted.into_iter().next().or_else(removed);
        self.pending = changes.map(|changes| PendingChanges {
            leader,
            term,
            changes,
            remaining_rounds: MAX_IDLE_ROUNDS,
        });
    }

    fn continue_changes(&mut self, mut pending: PendingChanges) {
        if self.sim.change(pending.leader, pending.changes[0]) {
            pending.changes.remove(0);
            pending.remaining_rounds = MAX_IDLE_ROUNDS;
        }
        pending.remaining_rounds = pending.remaining_rounds.saturating_sub(1);
        if !pending.changes.is_empty() && pending.remaining_rounds > 0 {
            self.pending = Some(pending);
        }
    }

    /// Whether the nodes of the VMs are exactly the voters, all entries are committed, and each
    /// node's disk holds everything that was ever applied.
    fn is_complete(&self) -> bool {
        let Some(leader) = self.sim.leader() else { return false };
        let raft = self.sim.raft(leader);
        let nodes: BTreeSet<NodeId> = self.vms.iter().map(|(id, _)| *id).collect();
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
        for (id, _) in self.vms.clone() {
            self.sim.restart(id);
        }
        for _ in 0..40 {
            self.rounds(50);
            if self.is_complete() {
                return;
            }
        }
        let nodes: Vec<_> = self.sim.alive().into_iter().map(|id| self.sim.describe(id)).collect();
        panic!("the group isn't back at full size:\n{}", nodes.join("\n"));
    }

    /// Checks that the group still commits after the failure of any two VMs.
    fn check_survives_two_failures(&mut self, seed: usize) {
        let (a, b) = (seed % VM_COUNT, (seed + 1 + seed / VM_COUNT % 4) % VM_COUNT);
        for at in [a, b] {
            self.sim.crash(self.vms[at].0);
        }
        self.sim.elect();
        let leader = self.sim.leader().expect("elected");
        let before = self.sim.raft(leader).commit();
        self.propose(leader);
        self.sim.until("the remaining three voters commit a command", |sim| {
            sim.leader().is_some_and(|id| sim.raft(id).commit() > before)
        });
    }
}

#[test]
fn a_group_that_loses_disks_recovers_its_size_and_all_applied_entries() {
    let ops = produce::<Vec<Op>>().with().len(0..=120usize);
    seeded::check().with_generator((ops, produce::<u8>())).for_each(|(ops, choice)| {
        let mut driver = Driver::new();
        ops.iter().for_each(|op| driver.run(op));
        driver.recover();
        driver.check_survives_two_failures(usize::from(*choice));
    });
}
