//! A group of nodes in one process. The tests tick the nodes and deliver their messages.

// Not every test uses every function.
#![allow(dead_code, unreachable_pub)]

use flume::Receiver;
use group::{
    Config, Group, Handle, Membership, NodeId, OutgoingMessage, PendingProposal, StartMode,
    StateMachine,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};
use tempfile::TempDir;

/// Longer than any test should wait; a call that reaches it has failed.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// Rounds within which a healthy group must reach an awaited state.
pub const MAX_ROUNDS: usize = 400;

/// The replicated state in the tests: all applied commands in order.
pub type State = Arc<Mutex<Vec<String>>>;

pub struct Node {
    pub handle: Handle,
    pub state: State,
    outbox: Receiver<OutgoingMessage>,
}

pub struct Cluster {
    pub nodes: BTreeMap<NodeId, Node>,
    /// Nodes that are cut off: all messages to and from them are lost.
    pub cut: BTreeSet<NodeId>,
    pub configure: fn(&mut Config),
    dir: TempDir,
}

/// Command that the state machine can't apply.
pub const UNKNOWN_COMMAND: &str = "unknown";
/// Command at which the state machine panics.
pub const PANIC_COMMAND: &str = "panic";

/// A state machine that keeps all commands. Its output is their number.
pub fn state_machine(state: &State) -> StateMachine {
    let (a, b, c) = (state.clone(), state.clone(), state.clone());
    StateMachine {
        apply: Box::new(move |_, command| {
            let command = String::from_utf8_lossy(command).into_owned();
            assert!(command != PANIC_COMMAND, "the state machine met {command:?}");
            if command == UNKNOWN_COMMAND {
                return Err("the command is not known".to_owned());
            }
            let mut state = a.lock().unwrap();
            state.push(command);
            Ok(state.len().to_string().into_bytes())
        }),
        snapshot: Box::new(move || b.lock().unwrap().join("\n").into_bytes()),
        restore: Box::new(move |_, data| {
            let text = String::from_utf8(data.to_vec())?;
            *c.lock().unwrap() = text.lines().map(str::to_owned).collect();
            Ok(())
        }),
    }
}

impl Cluster {
    pub fn new(configure: fn(&mut Config)) -> Self {
        let dir = tempfile::tempdir().unwrap();
        Self { nodes: BTreeMap::new(), cut: BTreeSet::new(), configure, dir }
    }

    /// A new group whose initial voters have the ids 1 to `count`.
    pub fn bootstrap(count: u64, configure: fn(&mut Config)) -> Self {
        let mut cluster = Self::new(configure);
        let members = Membership::initial(1, 1..=count);
        for id in 1..=count {
            cluster.start(id, StartMode::Bootstrap(members.clone())).unwrap();
        }
        cluster
    }

    pub fn dir(&self, id: NodeId) -> PathBuf {
        self.dir.path().join(id.to_string())
    }

    pub fn start(&mut self, id: NodeId, start: StartMode) -> group::Result<()> {
        self.start_with(id, start, |_| ())
    }

    pub fn start_with(
        &mut self,
        id: NodeId,
        start: StartMode,
        adjust: impl FnOnce(&mut Config),
    ) -> group::Result<()> {
        let mut cfg = Config::new(id, self.dir(id));
        cfg.start_mode = start;
        cfg.tick_interval = None;
        (self.configure)(&mut cfg);
        adjust(&mut cfg);
        let state = State::default();
        let (tx, outbox) = flume::unbounded();
        let handle = Group::start(cfg, state_machine(&state), tx)?;
        self.nodes.insert(id, Node { handle, state, outbox });
        Ok(())
    }

    pub fn stop(&mut self, id: NodeId) {
        if let Some(node) = self.nodes.remove(&id) {
            node.handle.stop();
        }
    }

    /// Ticks every node, then delivers all messages except those to and from nodes that are cut
    /// off.
    pub fn round(&mut self) {
        for node in self.nodes.values() {
            // Fails if the node has stopped.
            let _ = node.handle.tick();
        }
        for (from, node) in &self.nodes {
            for OutgoingMessage { to, message } in node.outbox.drain() {
                let is_cut = self.cut.contains(from) || self.cut.contains(&to);
                if let Some(target) = self.nodes.get(&to).filter(|_| !is_cut) {
                    target.handle.step(message);
                }
            }
        }
    }

    /// Runs rounds until `holds` returns true.
    pub fn until(&mut self, what: &str, mut holds: impl FnMut(&Self) -> bool) {
        for _ in 0..MAX_ROUNDS {
            if holds(self) {
                return;
            }
            self.round();
        }
        panic!("not reached within {MAX_ROUNDS} rounds: {what}");
    }

    pub fn leader(&self) -> Option<NodeId> {
        let leads = |id: &&NodeId| self.nodes[id].handle.status().is_leader();
        self.nodes.keys().filter(|id| !self.cut.contains(id)).find(leads).copied()
    }

    pub fn elect(&mut self) -> NodeId {
        self.until("a leader", |c| c.leader().is_some());
        self.leader().unwrap()
    }

    /// Runs a blocking call on its own thread, and rounds until it returns.
    pub fn run<T: Send>(&mut self, id: NodeId, f: impl FnOnce(&Handle) -> T + Send) -> T {
        let handle = self.nodes[&id].handle.clone();
        std::thread::scope(|scope| {
            let thread = scope.spawn(move || f(&handle));
            while !thread.is_finished() {
                self.round();
            }
            thread.join().unwrap()
        })
    }

    pub fn submit(&self, id: NodeId, command: &str) -> PendingProposal {
        self.nodes[&id].handle.submit(command.as_bytes().to_vec(), TIMEOUT).unwrap()
    }

    pub fn propose(&mut self, command: &str) -> group::Result<group::AppliedCommand> {
        let id = self.elect();
        let command = command.as_bytes().to_vec();
        self.run(id, |handle| handle.propose(command, TIMEOUT))
    }

    pub fn state(&self, id: NodeId) -> Vec<String> {
        self.nodes[&id].state.lock().unwrap().clone()
    }

    /// Runs rounds until all nodes that aren't cut off have applied `count` commands.
    pub fn converge(&mut self, count: usize) {
        self.until("all reachable nodes have applied all commands", |c| {
            c.nodes.keys().filter(|id| !c.cut.contains(id)).all(|id| c.state(*id).len() == count)
        });
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in self.nodes.values() {
            node.handle.stop();
        }
    }
}
