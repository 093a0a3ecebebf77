//! Simulated group: nodes whose disks lose unsynced writes, on a network that loses, duplicates
//! and reorders messages. Every step checks the safety properties of Raft: at most one leader
//! in a term, at most one vote of each node in a term, equal entries and states at equal
//! indexes, and no vote, acknowledgement or applied entry before it is on disk.

// Not every test uses every function.
#![allow(dead_code, unreachable_pub)]

mod state;

use raft::{
    Config, EntryPayload, Index, LogEntry, Membership, MembershipChange, Message, MessageBody,
    NodeId, PersistedState, Raft, Ready, Role, Snapshot, Term,
};
use state::{apply_to_state, decode_state};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Point at which a node crashes while its next [`Ready`] is processed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashPoint {
    BeforeSync,
    AfterSync,
    AfterMessages,
}

pub struct Node {
    /// `None` while the node is down.
    pub raft: Option<Raft>,
    /// Synced content of the disk.
    pub disk: PersistedState,
    /// What the disk held when it was lost.
    lost_disk: PersistedState,
    /// Hash over all applied commands.
    pub state: u64,
    pub applied: Index,
    /// Last index applied on any node when each unconfirmed read began, by the read's context.
    reads: BTreeMap<u64, Index>,
    crash_at: Option<CrashPoint>,
    /// Ticks since a message of a leader or a candidate came.
    silent_ticks: u32,
}

pub struct Sim {
    pub nodes: BTreeMap<NodeId, Node>,
    pub network: Vec<Message>,
    /// Links, as sender and receiver, on which all messages are lost.
    pub cut: BTreeSet<(NodeId, NodeId)>,
    /// Entry and resulting state at each index, as first applied by any node.
    pub history: BTreeMap<Index, (LogEntry, u64)>,
    /// Leader seen in each term.
    leaders: BTreeMap<Term, NodeId>,
    /// Candidate that each node voted for in each term.
    votes: BTreeMap<(NodeId, Term), NodeId>,
    /// Each entry ever written to a disk, with the term of the entry before it.
    written: BTreeMap<(Index, Term), (LogEntry, Option<Term>)>,
    /// Nodes whose disks were lost.
    pub lost: BTreeSet<NodeId>,
    next_read: u64,
    pub confirmed_reads: usize,
    /// Set by tests in which nodes lose their disks: a leader may then find that a member lacks
    /// entries which it had acknowledged.
    pub may_lose_disks: bool,
    /// Varies the election timeouts of nodes that start from now on.
    pub timeout_seed: u64,
    configure: fn(&mut Config),
}

/// Messages in flight; beyond this the oldest ones are lost.
const MAX_MESSAGES_IN_FLIGHT: usize = 2_000;

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
            lost: BTreeSet::new(),
            next_read: 0,
            confirmed_reads: 0,
            may_lose_disks: false,
            timeout_seed: 0,
            configure,
        };
        let members = Membership::initial(1, 1..=voters);
        (1..=voters).for_each(|id| sim.add(id, PersistedState::bootstrap(members.clone())));
        sim
    }

    pub fn add(&mut self, id: NodeId, disk: PersistedState) {
        let node = Node {
            raft: None,
            disk,
            lost_disk: PersistedState::default(),
            state: 0,
            applied: 0,
            reads: BTreeMap::new(),
            crash_at: None,
            silent_ticks: 0,
        };
        self.nodes.insert(id, node);
        self.restart(id);
    }

    pub fn config(&self, id: NodeId) -> Config {
        let mut cfg = Config::new(id);
        cfg.max_batch_bytes = 120;
        cfg.max_in_flight = 3;
        cfg.snapshot_chunk_bytes = 5;
        cfg.max_promote_lag = 2;
        cfg.seed ^= self.timeout_seed;
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
        node.state = decode_state(&node.disk.snapshot);
        node.raft = Some(Raft::new(cfg, node.disk.clone()));
        node.silent_ticks = 0;
        self.process_output(id);
    }

    /// Calls `f` on a node if it is up, and processes the node's output.
    pub fn with<T>(&mut self, id: NodeId, f: impl FnOnce(&mut Raft) -> T) -> Option<T> {
        let result = self.call_without_output(id, f);
        self.process_output(id);
        result
    }

    /// Calls `f` on a node if it is up, without processing the node's output.
    pub fn call_without_output<T>(
        &mut self,
        id: NodeId,
        f: impl FnOnce(&mut Raft) -> T,
    ) -> Option<T> {
        Some(f(self.nodes.get_mut(&id)?.raft.as_mut()?))
    }

    pub fn tick(&mut self, id: NodeId) {
        self.with(id, Raft::tick);
        self.check_known_leader(id);
    }

    pub fn deliver(&mut self, message: Message) {
        if !self.cut.contains(&(message.from, message.to)) {
            self.note_heard(&message);
            self.with(message.to, |raft| raft.step(message));
        }
    }

    /// Notes that a node gets a message that restarts its election timer.
    fn note_heard(&mut self, message: &Message) {
        let is_of_leader_or_candidate = matches!(
            message.body,
            MessageBody::Append { .. }
                | MessageBody::Heartbeat { .. }
                | MessageBody::SnapshotChunk { .. }
                | MessageBody::Vote { .. }
        );
        if let Some(node) = self.nodes.get_mut(&message.to)
            && is_of_leader_or_candidate
        {
            node.silent_ticks = 0;
        }
    }

    /// Checks, after a tick, that a node knows no other node as the leader once that has been silent for the
    /// longest election timeout.
    fn check_known_leader(&mut self, id: NodeId) {
        let longest = 2 * self.config(id).election_ticks;
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let Some(raft) = &node.raft else { return };
        node.silent_ticks += 1;
        let is_known = raft.leader().is_some_and(|leader| leader != id);
        assert!(
            !is_known || node.silent_ticks < longest,
            "node {id} still knows a leader after {} silent ticks",
            node.silent_ticks
        );
    }

    /// Ticks every node, then delivers all messages in flight.
    pub fn round(&mut self) {
        self.round_with_ticks(|_| true);
    }

    /// A round in which only the nodes chosen by `ticks` tick.
    pub fn round_with_ticks(&mut self, ticks: impl Fn(NodeId) -> bool) {
        self.alive().into_iter().filter(|id| ticks(*id)).for_each(|id| self.tick(id));
        for message in std::mem::take(&mut self.network) {
            if !self.cut.contains(&(message.from, message.to)) {
                self.note_heard(&message);
                self.call_without_output(message.to, |raft| raft.step(message));
            }
        }
        self.alive().into_iter().for_each(|id| self.process_output(id));
    }

    pub fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    /// Runs rounds until `holds` returns true.
    pub fn until(&mut self, what: &str, holds: impl Fn(&Self) -> bool) {
        const ROUNDS: usize = 1_000;
        for _ in 0..ROUNDS {
            if holds(self) {
                return;
            }
            self.round();
        }
        let nodes: Vec<_> = self.alive().into_iter().map(|id| self.describe(id)).collect();
        panic!("not reached within {ROUNDS} rounds: {what}\n{}", nodes.join("\n"));
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
        self.call_without_output(id, |raft| raft.propose(command.to_vec()).is_ok()).unwrap_or(false)
    }

    /// Begins a read. Its confirmed index is checked against the last index applied so far.
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

    /// Takes the disk of a node that is down.
    pub fn lose_disk(&mut self, id: NodeId) {
        let node = self.nodes.get_mut(&id).expect("the node exists");
        node.lost_disk = std::mem::take(&mut node.disk);
        self.lost.insert(id);
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

    /// Processes a node's output until there is none left.
    fn process_output(&mut self, id: NodeId) {
        while let Some(ready) = self.nodes.get_mut(&id).and_then(|n| n.raft.as_mut()?.ready()) {
            self.process_ready(id, ready);
        }
        self.check_leader(id);
    }

    fn process_ready(&mut self, id: NodeId, ready: Ready) {
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
            self.check_synced(&message);
            if message.body == (MessageBody::VoteResponse { granted: true }) {
                let vote = self.votes.entry((message.from, message.term)).or_insert(message.to);
                assert_eq!(*vote, message.to, "node {} voted twice in a term", message.from);
            }
            self.network.push(message);
        }
        let excess = self.network.len().saturating_sub(MAX_MESSAGES_IN_FLIGHT);
        self.network.drain(..excess);
    }

    /// Checks that votes, campaigns and acknowledgements are synced before they are sent.
    fn check_synced(&self, message: &Message) {
        let disk = &self.nodes[&message.from].disk;
        let state = disk.hard_state;
        // A node that has synced a later term can no longer vote in this one.
        let has_voted = |id| state.term > message.term || state.vote == Some(id);
        match message.body {
            MessageBody::VoteResponse { granted: true } => assert!(
                state.term >= message.term && has_voted(message.to),
                "a vote was sent before it was synced"
            ),
            MessageBody::Vote { .. } => assert!(
                state.term >= message.term && has_voted(message.from),
                "a vote was requested before the campaign was synced"
            ),
            MessageBody::AppendAccepted { matched } => {
                let last = disk.entries.last().map_or(0, |e| e.index);
                // Entries of a later leader may have replaced the acknowledged ones in the
                // meantime.
                let is_held = last.max(disk.snapshot.meta.index) >= matched;
                assert!(
                    is_held || state.term > message.term,
                    "entries were acknowledged before they were synced"
                );
            }
            _ => (),
        }
    }

    /// Checks that an applied entry is on the disks of a quorum, either of the members as of that entry or
    /// of those that the applying node knows now. Disks that are lost by now count if they held it: the
    /// leader may have had their acknowledgements before. Half of an even number of voters may be a quorum without one
    /// that is lost; while the voters are being changed, this may be another one before and afterwards.
    fn check_majority(&self, id: NodeId, entry: &LogEntry) {
        let holds = |id: &NodeId| {
            let Node { disk, lost_disk, .. } = &self.nodes[id];
            [disk, lost_disk]
                .iter()
                .any(|disk| disk.snapshot.meta.index >= entry.index || disk.entries.contains(entry))
        };
        let earlier =
            self.history.range(..entry.index).rev().find_map(|(_, (e, _))| match &e.payload {
                EntryPayload::Membership(members) => Some(members),
                _ => None,
            });
        let now = self.raft(id).membership();
        let pairs = self.lost.iter().flat_map(|a| self.lost.iter().map(move |b| [*a, *b].into()));
        let without: Vec<BTreeSet<NodeId>> = pairs.chain([BTreeSet::new()]).collect();
        let is_held =
            |m: &Membership| without.iter().any(|lost| m.has_quorum_without(lost, |id| holds(&id)));
        assert!(
            is_held(now) || earlier.is_some_and(is_held),
            "node {id} applied entry {} before a majority had it on disk: {now:?}, {earlier:?}, lost {:?}, held by {:?}",
            entry.index,
            self.lost,
            self.nodes.keys().filter(|id| holds(id)).collect::<Vec<_>>()
        );
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
            let expected = self.written.entry(key).or_insert_with(|| (entry.clone(), before));
            assert_eq!(expected.0, *entry, "two different entries have the same index and term");
            if let (Some(a), Some(b)) = (expected.1, before) {
                assert_eq!(a, b, "logs differ before an equal entry");
            }
        }
    }

    fn install(&mut self, id: NodeId, snapshot: &Snapshot) {
        let index = snapshot.meta.index;
        let node = self.nodes.get_mut(&id).unwrap();
        node.state = decode_state(snapshot);
        node.applied = index;
        assert_eq!(
            node.state, self.history[&index].1,
            "a snapshot differs from the state that was applied"
        );
    }

    fn apply(&mut self, id: NodeId, entry: LogEntry) {
        if !self.history.contains_key(&entry.index) {
            self.check_majority(id, &entry);
        }
        let node = self.nodes.get_mut(&id).unwrap();
        assert_eq!(entry.index, node.applied + 1, "node {id} skipped an entry");
        node.applied = entry.index;
        node.state = apply_to_state(node.state, entry.index, &entry.payload);
        let state = node.state;
        let index = entry.index;
        let (expected, expected_state) =
            self.history.entry(index).or_insert_with(|| (entry.clone(), state));
        assert_eq!(*expected, entry, "node {id} applied another entry at {index}");
        assert_eq!(*expected_state, state, "node {id} has another state at {index}");
    }

    /// Checks that a term has one leader, and that the newest leader holds everything that was
    /// ever applied.
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
            assert_eq!(
                raft.entry_term(*index),
                Some(entry.term),
                "leader {id} lacks entry {index}"
            );
        }
        if !self.may_lose_disks {
            assert_eq!(raft.lost_logs().count(), 0, "leader {id} wrongly reports a lost log");
        }
    }
}
