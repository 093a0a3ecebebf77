//! Driver of the property test of replacements: VMs fail, lose their disks and are replaced, and
//! the leader follows `raft::joining`.

// Not every test uses every function.
#![allow(dead_code, unreachable_pub)]

use crate::sim::Sim;
use bolero::TypeGenerator;
use raft::{
    EntryPayload, Membership, MembershipChange, MessageBody, NodeId, PersistedState, Term,
    joining::{
        GroupView, LeaveStep, Presence, SilenceLimits, next_join_step, next_leave_step,
        next_upkeep_step,
    },
};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, TypeGenerator)]
pub enum Op {
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
    /// A VM whose disk was lost loses it again, with the node that has just joined.
    LoseDiskAgain,
    /// As [`Op::LoseDisk`], and the node rejoins at another address.
    Replace(u8),
    /// A further VM joins, and this one leaves once the further one has caught up.
    ReplaceAsPlanned(u8),
    /// All processes end at once, and start again.
    RestartAll,
    Compact(u8),
}

/// Number of VMs and of voters: the smallest group that survives the loss of two disks at once.
pub const VM_COUNT: usize = 5;
/// Number of disks that may be lost at once.
pub const TOLERATED_LOSSES: usize = 2;
const MAX_ROUNDS: u8 = 60;
/// Ticks of silence after which members are replaced or removed.
pub const LIMITS: SilenceLimits =
    SilenceLimits { lost: 6, absent: 20, listening: 600, forgotten: 6_000 };
/// Rounds under a leader after which a VM that has come back no longer counts as lost: 4 s of
/// ticks.
pub const CATCH_UP_ROUNDS: u32 = 80;

/// How the message of [`Driver::recover`] begins.
pub const NOT_BACK: &str = "the group isn't back at full size";

/// Rounds for which no node is admitted once a voter was told that it may end: until it would be
/// found silent.
const HOLD_OFF_ROUNDS: u32 = 12;

pub struct Vm {
    /// Node that the VM runs.
    pub node: NodeId,
    pub address: String,
    /// Rounds for which it has run and been connected under a leader, since it was lost.
    pub rounds_back: u32,
    /// Rounds for which it has run and been connected, under the same leader, since its disk was
    /// lost.
    pub rounds_under_leader: u32,
}

pub struct Driver {
    pub sim: Sim,
    pub vms: Vec<Vm>,
    /// Addresses of VMs that are cut off from the network.
    cut: BTreeSet<String>,
    /// Pairs of addresses between which no message passes, while other VMs reach both.
    pub silent_paths: BTreeSet<(String, String)>,
    /// Addresses of VMs that ask to join, and that Raft messages neither reach nor leave.
    pub stalled: BTreeSet<String>,
    addresses: BTreeMap<NodeId, String>,
    /// Rounds left in which no node is admitted, as a voter was told that it may end.
    hold_off_rounds: u32,
    /// Address of the VM that is being replaced as planned, and its successor's.
    leaving: Option<(String, String)>,
    /// Address of a VM that asks to leave before its process ends, and has no successor. `None` once
    /// the process has ended, as it may.
    pub stopping: Option<String>,
    pub next_id: NodeId,
    commands: u32,
    losses: Losses,
    /// For each node, by its bit, what a connection tells while it is down or gone. It doesn't tell
    /// these two apart.
    pub kinds: u64,
    /// Whether more disks may be lost than the group bears. It may then have no majority for a while.
    pub may_lose_majority: bool,
    /// Number of disks lost since the group was last at full size.
    lost_disks: usize,
    /// Leader of the last round, with its term.
    last_leader: Option<(NodeId, Term)>,
}

/// What counts as lost. The group tolerates [`TOLERATED_LOSSES`] of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Losses {
    /// VMs that are down or cut off, or have lost their disks, until they have been back for a
    /// while.
    Vms,
    /// Disks, until the group is back at full size.
    Disks,
    /// Disks, each until its successor has run for a while under one leader. Any number of VMs may
    /// be down or suspended meanwhile.
    DisksWithoutSuccessor,
}

impl Driver {
    pub fn new(losses: Losses, kinds: u64) -> Self {
        let mut sim = Sim::new(VM_COUNT as u64, |cfg| cfg.has_new_id = cfg.id > VM_COUNT as NodeId);
        sim.may_lose_disks = true;
        let vm = |n| Vm {
            node: n as NodeId,
            address: format!("address {n}"),
            rounds_back: CATCH_UP_ROUNDS,
            rounds_under_leader: CATCH_UP_ROUNDS,
        };
        let vms: Vec<_> = (1..=VM_COUNT).map(vm).collect();
        let addresses = vms.iter().map(|vm| (vm.node, vm.address.clone())).collect();
        sim.elect();
        Self {
            sim,
            vms,
            cut: BTreeSet::new(),
            silent_paths: BTreeSet::new(),
            stalled: BTreeSet::new(),
            addresses,
            hold_off_rounds: 0,
            leaving: None,
            stopping: None,
            next_id: VM_COUNT as NodeId + 1,
            commands: 0,
            losses,
            kinds,
            may_lose_majority: false,
            lost_disks: 0,
            last_leader: None,
        }
    }

    pub fn run(&mut self, op: &Op) {
        let at = |n: u8| usize::from(n) % self.vms.len();
        let node = |n: u8| self.vms[at(n)].node;
        let address = |n: u8| self.vms[at(n)].address.clone();
        match *op {
            Op::Rounds(count) => self.rounds((count % MAX_ROUNDS).into()),
            Op::Propose(n) => self.propose(node(n)),
            Op::Cut(n) => self.set_cut([address(n)].into()),
            Op::CutTwo(a, b) => self.set_cut([address(a), address(b)].into()),
            Op::Heal => self.set_cut(BTreeSet::new()),
            Op::Crash(n) => self.sim.crash(node(n)),
            Op::Restart(n) => self.sim.restart(node(n)),
            Op::CrashLeader => {
                if let Some(leader) = self.sim.leader() {
                    self.sim.crash(leader);
                }
            }
            Op::LoseDisk(n) => self.lose_disk(at(n)),
            Op::LoseDiskOfLeader => {
                let leader = self.sim.leader();
                if let Some(at) = self.vms.iter().position(|vm| Some(vm.node) == leader) {
                    self.lose_disk(at);
                }
            }
            Op::LoseDiskAgain => {
                if let Some(at) = self.vms.iter().position(|vm| vm.rounds_back < CATCH_UP_ROUNDS) {
                    self.lose_disk(at);
                }
            }
            Op::Replace(n) => {
                let at = at(n);
                let is_leaving = self.leaving.as_ref().is_some_and(|(predecessor, successor)| {
                    [predecessor, successor].contains(&&self.vms[at].address)
                });
                if self.may_be_lost(at) && !is_leaving && self.can_decide_without(at) {
                    self.vms[at].address = format!("address of node {}", self.next_id);
                    self.lose_disk(at);
                }
            }
            Op::ReplaceAsPlanned(n) => self.start_planned_replacement(at(n)),
            Op::RestartAll => {
                let nodes: Vec<_> = self.vms.iter().map(|vm| vm.node).collect();
                nodes.into_iter().for_each(|node| self.sim.restart(node));
            }
            Op::Compact(n) => self.sim.compact(node(n), 2),
        }
    }

    pub fn propose(&mut self, id: NodeId) {
        let id = self.sim.leader().unwrap_or(id);
        self.commands += 1;
        self.sim.propose(id, &self.commands.to_le_bytes());
    }

    pub fn set_cut(&mut self, cut: BTreeSet<String>) {
        self.cut = cut;
        let is_cut = |id: &NodeId| {
            let is_off =
                |vm: &Vm| self.cut.contains(&vm.address) || self.stalled.contains(&vm.address);
            self.vms.iter().any(|vm| vm.node == *id && is_off(vm))
        };
        let address = |id: &NodeId| self.addresses.get(id).cloned().unwrap_or_default();
        let is_silent = |a: &NodeId, b: &NodeId| {
            let path = (address(a), address(b));
            self.silent_paths.contains(&path) || self.silent_paths.contains(&(path.1, path.0))
        };
        let ids: Vec<_> = self.sim.nodes.keys().copied().collect();
        let pairs = ids.iter().flat_map(|a| ids.iter().map(move |b| (*a, *b)));
        let cut = pairs.filter(|(a, b)| is_cut(a) || is_cut(b) || is_silent(a, b)).collect();
        self.sim.cut = cut;
    }

    /// Applies changes of [`silent_paths`](Self::silent_paths) and [`stalled`](Self::stalled).
    pub fn update_cut(&mut self) {
        self.set_cut(self.cut.clone());
    }

    /// Whether a request of a VM comes to the leader, perhaps by way of another one.
    fn can_ask(&self, vm: &Vm, leader: NodeId) -> bool {
        let is_open = |a: NodeId, b: NodeId| !self.sim.cut.contains(&(a, b));
        let is_up = |id: NodeId| self.sim.nodes[&id].raft.is_some();
        let passes_on = |other: &Vm| {
            is_up(other.node) && is_open(vm.node, other.node) && is_open(other.node, leader)
        };
        let is_reached = is_open(vm.node, leader) || self.vms.iter().any(passes_on);
        is_up(vm.node) && (is_reached || self.stalled.contains(&vm.address))
    }

    /// Whether a VM may lose its disk: with it, no more VMs are lost than the group tolerates.
    fn may_be_lost(&self, at: usize) -> bool {
        if self.losses == Losses::Disks {
            return self.lost_disks < TOLERATED_LOSSES;
        }
        let is_back = |vm: &Vm| match self.losses {
            Losses::Vms => vm.rounds_back >= CATCH_UP_ROUNDS,
            _ => vm.rounds_under_leader >= CATCH_UP_ROUNDS,
        };
        let is_lost = |(i, vm): &(usize, &Vm)| *i == at || !is_back(vm);
        self.vms.iter().enumerate().filter(is_lost).count() <= TOLERATED_LOSSES
    }

    pub fn lose_disk(&mut self, at: usize) {
        if self.may_be_lost(at) {
            self.lost_disks += 1;
            self.rejoin_under_new_id(at);
        }
    }

    pub fn rejoin_under_new_id(&mut self, at: usize) {
        let old = self.vms[at].node;
        self.sim.crash(old);
        self.sim.lose_disk(old);
        self.vms[at].node = self.next_id;
        self.start_new_node(at);
    }

    /// Starts the node of a VM with an empty disk.
    pub fn start_new_node(&mut self, at: usize) {
        let id = self.next_id;
        self.next_id += 1;
        self.vms[at].rounds_back = 0;
        self.vms[at].rounds_under_leader = 0;
        self.addresses.insert(id, self.vms[at].address.clone());
        self.sim.add(id, PersistedState::default());
        self.set_cut(self.cut.clone());
    }

    pub fn start_planned_replacement(&mut self, at: usize) {
        // The successor counts as lost until it has caught up.
        let lost = self.vms.iter().filter(|vm| vm.rounds_back < CATCH_UP_ROUNDS).count();
        if self.leaving.is_some() || lost >= TOLERATED_LOSSES || self.losses != Losses::Vms {
            return;
        }
        let address = format!("address of node {}", self.next_id);
        self.leaving = Some((self.vms[at].address.clone(), address.clone()));
        self.vms.push(Vm { node: self.next_id, address, rounds_back: 0, rounds_under_leader: 0 });
        self.start_new_node(self.vms.len() - 1);
    }

    pub fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.hold_off_rounds = self.hold_off_rounds.saturating_sub(1);
            self.sim.round();
            self.tell_lost_disks();
            self.count_rounds_back();
            self.rejoin_retired();
            self.change_members();
            if !self.may_lose_majority {
                self.check_majority();
            }
            if self.is_complete() {
                self.lost_disks = 0;
            }
        }
    }

    /// Lets each node ask at the addresses of the other ones for their ids, the leader also by way of
    /// others. A VM that answers under another id has lost the disk of the node that was expected
    /// there.
    fn tell_lost_disks(&mut self) {
        let is_up = |vm: &&Vm| self.sim.nodes[&vm.node].raft.is_some();
        let answers: Vec<(NodeId, String)> =
            self.vms.iter().filter(is_up).map(|vm| (vm.node, vm.address.clone())).collect();
        let told = answers.iter().flat_map(|(node, address)| {
            let former = self.addresses.iter().filter(move |(id, a)| *id != node && *a == address);
            let is_open = |a: NodeId, b: NodeId| {
                !self.sim.cut.contains(&(a, b)) && !self.sim.cut.contains(&(b, a))
            };
            let alive = self.sim.alive();
            let asks = |id: NodeId| {
                let passes_on = |other: &NodeId| is_open(id, *other) && is_open(*other, *node);
                let is_leader = self.sim.raft(id).is_leader();
                is_open(id, *node) || (is_leader && alive.iter().any(passes_on))
            };
            let asking = alive.iter().copied().filter(|id| id != node && asks(*id));
            let asking: Vec<NodeId> = asking.collect();
            former.flat_map(move |(lost, _)| {
                asking.clone().into_iter().map(move |asking| (asking, *lost))
            })
        });
        for (asking, lost) in told.collect::<Vec<_>>() {
            self.sim.call_without_output(asking, |raft| raft.note_lost_disk(lost));
        }
    }

    /// Nodes whose disks are known to be lost, as another one runs at the address, unless that is
    /// replaced.
    fn known_lost(&self, replaced: Option<usize>) -> BTreeSet<NodeId> {
        let is_known = |(id, address): &(&NodeId, &String)| {
            let mut vms = self.vms.iter().enumerate().filter(|(at, _)| Some(*at) != replaced);
            vms.any(|(_, vm)| vm.node != **id && vm.address == **address)
        };
        self.addresses.iter().filter(is_known).map(|(id, _)| *id).collect()
    }

    fn count_rounds_back(&mut self) {
        let leader = self.working_leader().map(|id| (id, self.sim.raft(id).term()));
        let has_leader = leader.is_some();
        let is_same = has_leader && self.last_leader == leader;
        self.last_leader = leader;
        for vm in &mut self.vms {
            let is_up = self.sim.nodes[&vm.node].raft.is_some();
            vm.rounds_back = match is_up && !self.cut.contains(&vm.address) {
                true => (vm.rounds_back + u32::from(has_leader)).min(CATCH_UP_ROUNDS),
                false => 0,
            };
            if vm.rounds_under_leader < CATCH_UP_ROUNDS {
                let counts = is_same && vm.rounds_back > 0;
                vm.rounds_under_leader = if counts { vm.rounds_under_leader + 1 } else { 0 };
            }
        }
    }

    /// The leader, if it has committed an entry of its term.
    pub fn working_leader(&self) -> Option<NodeId> {
        let leader = self.sim.leader()?;
        let raft = self.sim.raft(leader);
        (raft.entry_term(raft.commit()) == Some(raft.term())).then_some(leader)
    }

    /// Lets one running node that was removed from the group, and can learn this from the leader,
    /// rejoin under a new id with an empty disk.
    fn rejoin_retired(&mut self) {
        let Some(leader) = self.sim.leader() else { return };
        let raft = self.sim.raft(leader);
        if raft.commit() < raft.last_index() {
            return;
        }
        let members = raft.membership();
        let leaving = self.leaving_vm().map(|vm| vm.node);
        let at = self.vms.iter().position(|vm| {
            self.sim.nodes[&vm.node].raft.is_some()
                && !self.sim.cut.contains(&(vm.node, leader))
                && members.is_retired(vm.node)
                && leaving != Some(vm.node)
        });
        if let Some(at) = at {
            // It is no loss of a disk: the group has removed the node and doesn't need it.
            let rounds_back = self.vms[at].rounds_back;
            self.rejoin_under_new_id(at);
            self.vms[at].rounds_back = rounds_back;
        }
    }

    /// Has the leader make the next change: for a VM that leaves, for one whose node isn't a voter
    /// yet, or else the removal of a surplus voter.
    fn change_members(&mut self) {
        let Some(leader) = self.sim.leader() else { return };
        let raft = self.sim.raft(leader);
        let members = raft.membership().clone();
        let silent_ticks: BTreeMap<NodeId, u32> = raft.silent_ticks().collect();
        let reachable = members.nodes().filter(|id| raft.is_reachable(*id)).collect();
        let caught_up = members.nodes().filter(|id| raft.is_caught_up(*id)).collect();
        let confirmed = members.nodes().filter(|id| raft.is_confirmed_by_reachable(*id)).collect();
        let presence = members.voters.iter().map(|id| (*id, self.presence(*id))).collect();
        let known_lost = raft.known_lost().clone();
        let view = GroupView {
            members: &members,
            silent_ticks: &silent_ticks,
            reachable: &reachable,
            caught_up: &caught_up,
            confirmed: &confirmed,
            addresses: &self.addresses,
            target_voters: VM_COUNT,
            presence: &presence,
            known_lost: &known_lost,
            limits: LIMITS,
        };
        let can_reach = |id: NodeId| {
            self.sim.nodes[&id].raft.is_some() && !self.sim.cut.contains(&(id, leader))
        };
        let leaving = self.leaving_vm().filter(|vm| can_reach(vm.node));
        let is_released = |id| members.is_retired(id) && raft.commit() == raft.last_index();
        let leave_step = leaving.map(|vm| match is_released(vm.node) {
            true => (vm.node, LeaveStep::Keep),
            false => (vm.node, next_leave_step(view, vm.node, &vm.address)),
        });
        let may_join = self.hold_off_rounds == 0;
        let is_retired = |id| members.is_retired(id);
        let mut joining = self
            .vms
            .iter()
            .filter(|vm| may_join && self.can_ask(vm, leader) && !is_retired(vm.node));
        let leave = leave_step.and_then(|(_, step)| match step {
            LeaveStep::Change(change) => Some(change),
            LeaveStep::Keep | LeaveStep::Wait => None,
        });
        let is_kept = matches!(leave_step, Some((_, LeaveStep::Keep)));
        let change = leave
            .or_else(|| match is_kept {
                true => None,
                false => joining.find_map(|vm| next_join_step(view, vm.node, &vm.address)),
            })
            .or_else(|| next_upkeep_step(view));
        if let Some(change) = change {
            if let MembershipChange::Exchange { old, new } = change
                && self.addresses.get(&old) == self.addresses.get(&new)
            {
                self.sim.call_without_output(leader, |raft| raft.note_lost_disk(old));
            }
            self.sim.change(leader, change);
        }
        if let Some((node, LeaveStep::Keep)) = leave_step
            && self.working_leader() == Some(leader)
        {
            self.hold_off_rounds = HOLD_OFF_ROUNDS;
            self.end_process(node);
        }
    }

    /// What a connection tells about a node that doesn't answer: nothing that tells whether its VM
    /// is down or gone.
    fn presence(&self, id: NodeId) -> Presence {
        let vm = self.vms.iter().find(|vm| vm.node == id);
        // Where any number may be suspended, VMs that are cut off stand for suspended ones.
        let is_suspended = self.losses == Losses::DisksWithoutSuccessor;
        let vm = vm.filter(|vm| is_suspended || !self.cut.contains(&vm.address));
        let is_up = vm.is_some_and(|vm| self.sim.nodes[&vm.node].raft.is_some());
        match (is_up, (self.kinds >> (id % 64)) & 1) {
            (true, _) => Presence::Listening,
            (false, 0) => Presence::Refused,
            (false, _) => Presence::Unreachable,
        }
    }

    /// The VM that leaves: one that is stopping, or one whose successor has caught up.
    fn leaving_vm(&self) -> Option<&Vm> {
        if let Some(address) = &self.stopping {
            return self.vms.iter().find(|vm| vm.address == *address);
        }
        let (predecessor, successor) = self.leaving.as_ref()?;
        let successor = self.vms.iter().find(|vm| vm.address == *successor)?;
        let is_due = successor.rounds_back >= CATCH_UP_ROUNDS;
        self.vms.iter().find(|vm| vm.address == *predecessor).filter(|_| is_due)
    }

    /// Ends the process of the VM that leaves, for good if it has a successor.
    fn end_process(&mut self, node: NodeId) {
        self.sim.crash(node);
        if self.stopping.take().is_some() {
            return;
        }
        self.vms.retain(|vm| vm.node != node);
        self.leaving = None;
    }

    /// Checks that the voters whose disks are left are a quorum, as of the newest log among them.
    fn check_majority(&self) {
        let Some((members, has_disk)) = self.newest_members(None) else { return };
        assert!(self.has_majority(), "of the voters of {members:?} are left: {has_disk:?}");
    }

    /// Whether the voters whose disks are left are a quorum, as of the newest log among them.
    pub fn has_majority(&self) -> bool {
        self.newest_members(None).is_none_or(|(members, has_disk)| {
            members.has_quorum_without(&self.known_lost(None), |id| has_disk.contains(&id))
        })
    }

    /// Whether a VM may be replaced at another address. With an even number of voters of which half
    /// are lost, nobody can decide unless one of the lost ones has a VM at its address, which tells
    /// that its disk is lost: either half could be the one that is left. No policy avoids this. A
    /// change of the members may still be in flight.
    pub fn can_decide_without(&self, at: usize) -> bool {
        let Some((newest, has_disk)) = self.newest_members(Some(at)) else { return false };
        let is_left = |id| has_disk.contains(&id);
        let known_lost = self.known_lost(Some(at));
        let entries = self.sim.network.iter().filter_map(|m| match &m.body {
            MessageBody::Append { entries, .. } => Some(entries),
            _ => None,
        });
        let in_flight = entries.flatten().filter_map(|e| match &e.payload {
            EntryPayload::Membership(members) => Some(members),
            _ => None,
        });
        in_flight.chain([newest]).all(|members| {
            let lost = members.voters.iter().copied().filter(|id| !is_left(*id)).collect();
            let is_half = members.has_quorum_without(&lost, is_left);
            !is_half || members.has_quorum_without(&known_lost, is_left)
        })
    }

    /// The members as of the newest log of the disks that are left, without that of a VM that is to
    /// be replaced, and the nodes of these.
    fn newest_members(&self, replaced: Option<usize>) -> Option<(&Membership, BTreeSet<NodeId>)> {
        let vms = self.vms.iter().enumerate().filter(|(at, _)| Some(*at) != replaced);
        let holds = vms.map(|(_, vm)| vm.node).filter(|id| !self.is_lost(*id));
        let has_disk: BTreeSet<NodeId> = holds.collect();
        let newest = has_disk.iter().max_by_key(|id| {
            let disk = &self.sim.nodes[id].disk;
            disk.entries
                .last()
                .map_or((disk.snapshot.meta.term, disk.snapshot.meta.index), |e| (e.term, e.index))
        })?;
        let disk = &self.sim.nodes[newest].disk;
        let in_log = disk.entries.iter().rev().find_map(|e| match &e.payload {
            EntryPayload::Membership(members) => Some(members),
            _ => None,
        });
        Some((in_log.unwrap_or(&disk.snapshot.meta.membership), has_disk))
    }

    /// Whether a leader counts the node as a voter although its log is empty.
    fn is_lost(&self, id: NodeId) -> bool {
        self.sim.nodes[&id].raft.as_ref().is_some_and(raft::Raft::has_lost_disk)
    }

    /// Whether the nodes of the VMs are exactly the voters, all entries are committed, and each
    /// node's disk holds everything that was ever applied.
    pub fn is_complete(&self) -> bool {
        let Some(leader) = self.sim.leader() else { return false };
        let raft = self.sim.raft(leader);
        let nodes: BTreeSet<NodeId> = self.vms.iter().map(|vm| vm.node).collect();
        let newest = self.sim.history.keys().last().copied().unwrap_or(0);
        let holds = |id: &NodeId| {
            let disk = &self.sim.nodes[id].disk;
            let last = disk.entries.last().map_or(0, |e| e.index);
            last.max(disk.snapshot.meta.index) >= newest
        };
        let voters: BTreeSet<NodeId> = raft.membership().voters.iter().copied().collect();
        nodes.len() == VM_COUNT
            && voters == nodes
            && raft.commit() == raft.last_index()
            && nodes.iter().all(holds)
    }

    pub fn recover(&mut self) {
        self.set_cut(BTreeSet::new());
        let nodes: Vec<_> = self.vms.iter().map(|vm| vm.node).collect();
        nodes.into_iter().for_each(|node| self.sim.restart(node));
        for _ in 0..40 {
            self.rounds(50);
            if self.is_complete() {
                return;
            }
        }
        let nodes: Vec<_> = self.sim.alive().into_iter().map(|id| self.sim.describe(id)).collect();
        panic!("{NOT_BACK}:\n{}", nodes.join("\n"));
    }

    /// Checks that the group still commits after the failure of any two VMs.
    pub fn check_survives_two_failures(&mut self, seed: usize) {
        let (a, b) = (seed % VM_COUNT, (seed + 1 + seed / VM_COUNT % 4) % VM_COUNT);
        for at in [a, b] {
            self.sim.crash(self.vms[at].node);
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
