//! Nodes with disks that lose unsynced writes, on a network that loses, doubles and
//! reorders messages. Every step checks what consensus promises.

// Not every test uses every function.
#![allow(dead_code, unreachable_pub)]

mod state;

use raft::{
    Config, EntryPayload, Index, LogEntry, Membership, MembershipChange, Message, MessageBody,
    NodeId, PersistedState, Raft, Ready, Role, Snapshot, Term,
};
use state::{decode, mix};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Where a node crashes while it handles its next output.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashPoint {
    BeforeSync,
    AfterSync,
    AfterMessages,
}

pub struct Node {
    /// Nothing while the node is down.
    pub raft: Option<Raft>,
    /// What is synced.
    pub disk: PersistedState,
    /// Hash over all applied commands.
    pub state: u64,
    pub applied: Index,
    /// Index that was applied anywhere when each open read began.
    reads: BTreeMap<u64, Index>,
    crash_at: Option<CrashPoint>,
}

pub struct Sim {
    pub nodes: BTreeMap<NodeId, Node>,
    pub network: Vec<Message>,
    /// Pairs of sender and receiver that are silently cut off.
    pub cut: BTreeSet<(NodeId, NodeId)>,
    /// Entries and state after each index, as first applied.
    pub history: BTreeMap<Index, (LogEntry, u64)>,
    leaders: BTreeMap<Term, NodeId>,
    votes: BTreeMap<(NodeId, Term), NodeId>,
    /// Each entry ever written, with the term of the one before it.
    written: BTreeMap<(Index, Term), (LogEntry, Option<Term>)>,
    next_read: u64,
    pub confirmed_reads: usize,
    /// Set by scripts that take a node's disk.
    pub may_lose_disks: bool,
    configure: fn(&mut Config),
}

const MAX_NETWORK: usize = 2_000;

impl Sim {
    pub fn new(voters: u64, configure: fn(&mut Config)) -> Self {
        let mut sim = Self {
            nodes: BTreeMap::new(),
            network: Vec::new(),
            cut: BTreeSet::new(),
            history: BTreeMap::new(),
            leaders: BTreeMap::new(),
            votes: BTreeMap::new(),
            written: BTreeMap::new(),
            next_read: 0,
            confirmed_reads: 0,
            may_lose_disks: false,
            configure,
        };
        let members = Membership::initial(1, 1..=voters);
        (1..=voters).for_each(|id| sim.add(id, PersistedState::bootstrap(members.clone())));
        sim
    }

    pub fn add(&mut self, id: NodeId, disk: PersistedState) {
        let node =
            Node { raft: None, disk, state: 0, applied: 0, reads: BTreeMap::new(), crash_at: None };
        self.nodes.insert(id, node);
        self.restart(id);
    }

    pub fn config(&self, id: NodeId) -> Config {
        let mut cfg = Config::new(id);
        cfg.max_batch_bytes = 120;
        cfg.max_in_flight = 3;
        cfg.snapshot_chunk_bytes = 5;
        cfg.max_promote_lag = 2;
        (self.configure)(&mut cfg);
        cfg
    }

    pub fn raft(&self, id: NodeId) -> &Raft {
        self.nodes[&id].raft.as_ref().expect("the node is down")
    }

    pub fn alive(&self) -> Vec<NodeId> {
        self.nodes.iter().filter(|(_, n)| n.raft.is_some()).map(|(id, _)| *id).collect()
    }

    pub fn leaders(&self) -> Vec<NodeId> {
        self.alive().into_iter().filter(|id| self.raft(*id).is_leader()).collect()
    }

    /// The leader of the highest term.
    pub fn leader(&self) -> Option<NodeId> {
        self.leaders().into_iter().max_by_key(|id| self.raft(*id).term())
    }

    pub fn crash(&mut self, id: NodeId) {
        let node = self.nodes.get_mut(&id).unwrap();
        node.raft = None;
        node.crash_at = None;
        node.reads.clear();
    }

    pub fn crash_at(&mut self, id: NodeId, point: CrashPoint) {
        self.nodes.get_mut(&id).unwrap().crash_at = Some(point);
    }

    pub fn restart(&mut self, id: NodeId) {
        self.crash(id);
        let cfg = self.config(id);
        let node = self.nodes.get_mut(&id).unwrap();
        node.applied = node.disk.snapshot.meta.index;
        node.state = decode(&node.disk.snapshot);
        node.raft = Some(Raft::new(cfg, node.disk.clone()));
        self.work(id);
    }

    /// Runs something on a node that is up and handles what comes of it.
    pub fn with<T>(&mut self, id: NodeId, f: impl FnOnce(&mut Raft) -> T) -> Option<T> {
        let result = self.poke(id, f);
        self.work(id);
        result
    }

    /// Runs something on a node that is up, and leaves what comes of it for later.
    pub fn poke<T>(&mut self, id: NodeId, f: impl FnOnce(&mut Raft) -> T) -> Option<T> {
        Some(f(self.nodes.get_mut(&id)?.raft.as_mut()?))
    }

    pub fn tick(&mut self, id: NodeId) {
        self.with(id, Raft::tick);
    }

    pub fn deliver(&mut self, message: Message) {
        if !self.cut.contains(&(message.from, message.to)) {
            self.with(message.to, |raft| raft.step(message));
        }
    }

    /// Ticks every node, then delivers all messages that were under way.
    pub fn round(&mut self) {
        self.uneven_round(|_| true);
    }

    /// A round in which only some clocks move.
    pub fn uneven_round(&mut self, ticks: impl Fn(NodeId) -> bool) {
        self.alive().into_iter().filter(|id| ticks(*id)).for_each(|id| self.tick(id));
        for message in std::mem::take(&mut self.network) {
            if !self.cut.contains(&(message.from, message.to)) {
                self.poke(message.to, |raft| raft.step(message));
            }
        }
        self.alive().into_iter().for_each(|id| self.work(id));
    }

    pub fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    /// Moves on until something holds.
    pub fn until(&mut self, what: &str, holds: impl Fn(&Self) -> bool) {
        const ROUNDS: usize = 1_000;
        for _ in 0..ROUNDS {
            if holds(self) {
                return;
            }
            self.round();
        }
        let nodes: Vec<_> = self.alive().into_iter().map(|id| self.describe(id)).collect();
        panic!("not within {ROUNDS} rounds: {what}\n{}", nodes.join("\n"));
    }

    pub fn describe(&self, id: NodeId) -> String {
        let raft = self.raft(id);
        let members = raft.membership();
        format!(
            "node {id}: {:?} in term {}, last {}, commit {}, lost disk {}, lost logs {:?}, voters {:?}, learners {:?}",
            raft.role(),
            raft.term(),
            raft.last_index(),
            raft.commit(),
            raft.has_lost_disk(),
            raft.lost_logs().collect::<Vec<_>>(),
            members.voters,
            members.learners
        )
    }

    pub fn elect(&mut self) -> NodeId {
        self.until("a leader that has committed in its term", |s| {
            s.leader().is_some_and(|id| {
                let raft = s.raft(id);
                raft.entry_term(raft.commit()) == Some(raft.term())
            })
        });
        self.leader().unwrap()
    }

    pub fn propose(&mut self, id: NodeId, command: &[u8]) -> bool {
        self.poke(id, |raft| raft.propose(command.to_vec()).is_ok()).unwrap_or(false)
    }

    /// Begins a read. Its answer is checked against all that was applied by now.
    pub fn read(&mut self, id: NodeId) {
        let newest = self.history.keys().last().copied().unwrap_or(0);
        self.next_read += 1;
        let context = self.next_read;
        if let Some(node) = self.nodes.get_mut(&id) {
            node.reads.insert(context, newest);
        }
        self.with(id, |raft| raft.read_index(context).is_ok());
    }

    pub fn change(&mut self, id: NodeId, change: MembershipChange) -> bool {
        self.with(id, |raft| raft.propose_change(change).is_ok()).unwrap_or(false)
    }

    pub fn compact(&mut self, id: NodeId, keep: u64) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let Some(raft) = &mut node.raft else { return };
        let Some(meta) = raft.snapshot_meta(node.applied) else { return };
        let data = Arc::new(node.state.to_le_bytes().to_vec());
        let snapshot = Snapshot { meta, data };
        node.disk.snapshot = snapshot.clone();
        raft.compact(snapshot, keep, usize::MAX);
        let first = raft.first_index();
        node.disk.entries.retain(|e| e.index + 1 >= first);
    }

    fn work(&mut self, id: NodeId) {
        while let Some(ready) = self.nodes.get_mut(&id).and_then(|n| n.raft.as_mut()?.ready()) {
            self.handle(id, ready);
        }
        self.check_leader(id);
    }

    fn handle(&mut self, id: NodeId, ready: Ready) {
        let point = self.nodes.get_mut(&id).unwrap().crash_at.take();
        self.send(ready.early_messages.clone());
        if point == Some(CrashPoint::BeforeSync) {
            return self.crash(id);
        }
        self.write(id, &ready);
        if point == Some(CrashPoint::AfterSync) {
            return self.crash(id);
        }
        if let Some(raft) = &mut self.nodes.get_mut(&id).unwrap().raft {
            raft.persisted();
        }
        self.send(ready.messages);
        if point == Some(CrashPoint::AfterMessages) {
            return self.crash(id);
        }
        if let Some(snapshot) = &ready.snapshot {
            self.install(id, snapshot);
        }
        ready.committed.into_iter().for_each(|entry| self.apply(id, entry));
        for read in ready.reads {
            let newest = self.nodes.get_mut(&id).unwrap().reads.remove(&read.context);
            assert!(read.index >= newest.unwrap(), "node {id} confirmed a stale read");
            self.confirmed_reads += 1;
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            self.check_promise(&message);
            if message.body == (MessageBody::VoteResponse { granted: true }) {
                let vote = self.votes.entry((message.from, message.term)).or_insert(message.to);
                assert_eq!(*vote, message.to, "two votes of {} in a term", message.from);
            }
            self.network.push(message);
        }
        let excess = self.network.len().saturating_sub(MAX_NETWORK);
        self.network.drain(..excess);
    }

    /// Whatever a message promises is synced before it goes out.
    fn check_promise(&self, message: &Message) {
        let disk = &self.nodes[&message.from].disk;
        let state = disk.hard_state;
        // A node that has synced a later term can't vote in this one any more.
        let has_voted = |id| state.term > message.term || state.vote == Some(id);
        match message.body {
            MessageBody::VoteResponse { granted: true } => assert!(
                state.term >= message.term && has_voted(message.to),
                "a vote left before it was synced"
            ),
            MessageBody::Vote { .. } => assert!(
                state.term >= message.term && has_voted(message.from),
                "a campaign began before it was synced"
            ),
            MessageBody::AppendAccepted { matched } => {
                let last = disk.entries.last().map_or(0, |e| e.index);
                // A later leader's entries may have replaced the acknowledged ones meanwhile.
                let is_held = last.max(disk.snapshot.meta.index) >= matched;
                assert!(is_held || state.term > message.term, "acknowledged, not synced");
            }
            _ => (),
        }
    }

    /// What is applied anywhere is on the disks of a majority, be it of the members as of
    /// that entry or of those that the node knows now.
    fn check_majority(&self, id: NodeId, entry: &LogEntry) {
        let holds = |id: &NodeId| {
            let disk = &self.nodes[id].disk;
            disk.snapshot.meta.index >= entry.index || disk.entries.contains(entry)
        };
        let earlier =
            self.history.range(..entry.index).rev().find_map(|(_, (e, _))| match &e.payload {
                EntryPayload::Membership(members) => Some(members),
                _ => None,
            });
        let now = self.raft(id).membership();
        let is_held = |m: &Membership| m.voters.iter().filter(|id| holds(id)).count() >= m.quorum();
        assert!(is_held(now) || earlier.is_some_and(is_held), "{} is not durable", entry.index);
    }

    fn write(&mut self, id: NodeId, ready: &Ready) {
        let disk = &mut self.nodes.get_mut(&id).unwrap().disk;
        if let Some(snapshot) = &ready.snapshot {
            disk.snapshot = snapshot.clone();
            disk.entries.clear();
        }
        disk.hard_state = ready.hard_state.unwrap_or(disk.hard_state);
        for entry in &ready.entries {
            disk.entries.retain(|e| e.index < entry.index);
            let before = disk.entries.last().map(|e| e.term);
            disk.entries.push(entry.clone());
            let key = (entry.index, entry.term);
            let known = self.written.entry(key).or_insert_with(|| (entry.clone(), before));
            assert_eq!(known.0, *entry, "two entries at one index and term");
            if let (Some(a), Some(b)) = (known.1, before) {
                assert_eq!(a, b, "logs differ before an equal entry");
            }
        }
    }

    fn install(&mut self, id: NodeId, snapshot: &Snapshot) {
        let index = snapshot.meta.index;
        let node = self.nodes.get_mut(&id).unwrap();
        node.state = decode(snapshot);
        node.applied = index;
        assert_eq!(node.state, self.history[&index].1, "a snapshot differs from the history");
    }

    fn apply(&mut self, id: NodeId, entry: LogEntry) {
        if !self.history.contains_key(&entry.index) {
            self.check_majority(id, &entry);
        }
        let node = self.nodes.get_mut(&id).unwrap();
        assert_eq!(entry.index, node.applied + 1, "node {id} skipped an entry");
        node.applied = entry.index;
        node.state = mix(node.state, entry.index, &entry.payload);
        let state = node.state;
        let index = entry.index;
        let (known, after) = self.history.entry(index).or_insert_with(|| (entry.clone(), state));
        assert_eq!(*known, entry, "node {id} applied something else at {index}");
        assert_eq!(*after, state, "node {id} has another state at {index}");
    }

    /// One leader a term, and it holds everything that was ever applied.
    fn check_leader(&mut self, id: NodeId) {
        let Some(raft) = &self.nodes[&id].raft else { return };
        if raft.role() != Role::Leader {
            return;
        }
        let leader = self.leaders.entry(raft.term()).or_insert(id);
        assert_eq!(*leader, id, "two leaders in term {}", raft.term());
        let newest = self.leaders.keys().last().copied();
        if newest != Some(raft.term()) {
            return;
        }
        for (index, (entry, _)) in self.history.range(raft.first_index()..) {
            assert_eq!(raft.entry_term(*index), Some(entry.term), "leader {id} lacks {index}");
        }
        if !self.may_lose_disks {
            assert_eq!(raft.lost_logs().count(), 0, "leader {id} suspects a node");
        }
    }
}
