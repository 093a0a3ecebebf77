//! Elections of a group whose disks take long to sync. A node neither ticks nor handles messages meanwhile.

use raft::{Config, Membership, Message, NodeId, PersistedState, Raft};
use std::collections::BTreeMap;

/// Voters of the group.
const VOTERS: NodeId = 5;
/// Rounds of one tick that a sync takes: more than most election timeouts, which are 10 to 20 ticks.
const SYNC_ROUNDS: usize = 16;
/// Rounds after which a group counts as one without a leader for good: a minute with ticks of 50 ms.
const ELECTION_ROUNDS: usize = 1_200;

struct Node {
    raft: Raft,
    /// Messages that it has not handled.
    inbox: Vec<Message>,
    /// Round in which the running sync ends, and the messages to send then.
    syncing: Option<(usize, Vec<Message>)>,
}

struct Group {
    nodes: BTreeMap<NodeId, Node>,
    round: usize,
    sync_rounds: usize,
}

impl Group {
    /// A group whose disks sync at once, with a leader.
    fn with_leader(seed: u64) -> (Self, NodeId) {
        let members = Membership::initial(1, 1..=VOTERS);
        let node = |id| {
            let mut cfg = Config::new(id);
            cfg.seed = seed.wrapping_mul(VOTERS).wrapping_add(id);
            let raft = Raft::new(cfg, PersistedState::bootstrap(members.clone()));
            (id, Node { raft, inbox: Vec::new(), syncing: None })
        };
        let nodes = (1..=VOTERS).map(node).collect();
        let mut group = Self { nodes, round: 0, sync_rounds: 0 };
        let leader = group.elect().expect("a leader");
        (group, leader)
    }

    /// Lets one tick pass. Messages arrive in the next round.
    fn step(&mut self) {
        self.round += 1;
        let mut sent = Vec::new();
        for node in self.nodes.values_mut() {
            sent.extend(node.step(self.round, self.sync_rounds));
        }
        for message in sent {
            if let Some(node) = self.nodes.get_mut(&message.to) {
                node.inbox.push(message);
            }
        }
    }

    /// The first leader that has committed an entry of its term; `None` after [`ELECTION_ROUNDS`].
    fn elect(&mut self) -> Option<NodeId> {
        (0..ELECTION_ROUNDS).find_map(|_| {
            self.step();
            self.nodes.values().find(|node| node.leads()).map(|node| node.raft.id())
        })
    }
}

impl Node {
    /// Lets one tick pass, unless the node waits for its disk. Returns the messages that it sends.
    fn step(&mut self, round: usize, sync_rounds: usize) -> Vec<Message> {
        if self.syncing.as_ref().is_some_and(|(until, _)| round < *until) {
            return Vec::new();
        }
        let mut sent = Vec::new();
        if let Some((_, messages)) = self.syncing.take() {
            self.raft.persisted();
            sent.extend(messages);
        }
        self.inbox.drain(..).for_each(|message| self.raft.step(message));
        self.raft.tick();
        while let Some(ready) = self.raft.ready() {
            let must_sync = ready.must_sync();
            sent.extend(ready.early_messages);
            if must_sync && sync_rounds > 0 {
                self.syncing = Some((round + sync_rounds, ready.messages));
                break;
            }
            self.raft.persisted();
            sent.extend(ready.messages);
        }
        sent
    }

    /// Whether the node leads and has committed an entry of its term.
    fn leads(&self) -> bool {
        let committed_term = self.raft.entry_term(self.raft.commit());
        self.raft.is_leader() && committed_term == Some(self.raft.term())
    }
}

/// Guards against a group that never has a leader again once its disks are slow: each campaign ended before the votes
/// were on the disks of the voters, and the next one made them void.
#[test]
fn a_leader_is_replaced_while_syncs_take_longer_than_election_timeouts() {
    seeded::check().with_type::<u64>().with_iterations(200).for_each(|seed| {
        let (mut group, leader) = Group::with_leader(*seed);
        group.sync_rounds = SYNC_ROUNDS;
        group.nodes.remove(&leader);
        assert!(group.elect().is_some(), "no leader in {ELECTION_ROUNDS} rounds");
    });
}
