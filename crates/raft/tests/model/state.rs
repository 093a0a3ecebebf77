//! States of the model and the steps between them.

use super::{MAX_NODES, Nodes, Rule, Scenario};
use std::array;

const MAX_ENTRIES: usize = 6;
const MAX_TERMS: usize = 4;

/// One entry: a command, or a configuration by its position, counted from one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Entry {
    term: u8,
    config: u8,
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Log {
    len: u8,
    entries: [Entry; MAX_ENTRIES],
}

impl Log {
    fn entries(&self) -> &[Entry] {
        &self.entries[..usize::from(self.len)]
    }

    fn push(&mut self, entry: Entry) {
        self.entries[usize::from(self.len)] = entry;
        self.len += 1;
    }

    fn truncate(&mut self, len: u8) {
        self.entries[usize::from(len)..].fill(Entry::default());
        self.len = len;
    }

    /// What decides whether a log is up to date: the term of the last entry, then the length.
    fn freshness(&self) -> (u8, u8) {
        (self.entries().last().map_or(0, |e| e.term), self.len)
    }

    fn shared_len(&self, other: &Self) -> u8 {
        let pairs = self.entries().iter().zip(other.entries());
        pairs.take_while(|(a, b)| a == b).count() as u8
    }

    /// Position of the latest configuration in the scenario, and of its entry in the log.
    fn config(&self) -> (u8, u8) {
        let latest = self.entries().iter().rposition(|e| e.config > 0);
        latest.map_or((0, 0), |i| (self.entries[i].config - 1, i as u8 + 1))
    }
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Role {
    #[default]
    Follower,
    Candidate {
        excluded: Nodes,
        votes: Nodes,
    },
    Leader {
        excluded: Nodes,
        /// Entries that each node has acknowledged.
        matched: [u8; MAX_NODES],
        commit: u8,
    },
}

impl Role {
    /// What stays the same when nodes are renamed.
    fn shape(self) -> Self {
        let count = |nodes: Nodes| Nodes(nodes.len() as u8);
        match self {
            Self::Follower => self,
            Self::Candidate { excluded, votes } => {
                Self::Candidate { excluded: count(excluded), votes: count(votes) }
            }
            Self::Leader { excluded, mut matched, commit } => {
                matched.sort_unstable();
                Self::Leader { excluded: count(excluded), matched, commit }
            }
        }
    }
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Node {
    term: u8,
    has_voted: bool,
    role: Role,
    log: Log,
}

/// One step of one node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// Disks of excluded nodes that are not yet lost are lost now.
    Campaign {
        node: u8,
        term: u8,
        excluded: Nodes,
    },
    Vote {
        voter: u8,
        candidate: u8,
    },
    Lead(u8),
    Command(u8),
    Change {
        leader: u8,
        config: u8,
    },
    /// The node appends the next entry that it lacks, and acknowledges it.
    Replicate {
        leader: u8,
        to: u8,
    },
    /// Only of a faulty rule: the node excludes one more.
    Exclude {
        node: u8,
        lost: u8,
    },
    /// Only of a faulty rule: the node loses its disk, and acts again.
    Wipe(u8),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Violation {
    /// Two nodes lead in one term.
    TwoLeaders,
    /// A leader of a later term lacks a committed entry.
    LeaderLacksCommitted,
    /// Two entries are committed at one index.
    TwoCommitted,
}

#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct State {
    nodes: [Node; MAX_NODES],
    lost: Nodes,
    /// Logs with which the leaders of each term began.
    elected: [Option<Log>; MAX_TERMS],
    committed: Log,
    /// The lowest term in which each entry was committed.
    committed_in: [u8; MAX_ENTRIES],
}

impl State {
    /// Number of entries in a node's log.
    pub(crate) fn log_len(&self, id: u8) -> u8 {
        self.nodes[usize::from(id)].log.len
    }

    /// Number of entries that are committed.
    pub(crate) fn committed_len(&self) -> u8 {
        self.committed.len
    }

    /// All steps that are possible.
    pub(crate) fn steps(&self, scenario: &Scenario, steps: &mut Vec<Step>) {
        let acting = self.acting(scenario);
        for id in acting.ids() {
            let node = &self.nodes[usize::from(id)];
            self.campaigns(scenario, id, steps);
            let others = acting.without(Nodes::of(&[id])).ids();
            match node.role {
                Role::Follower => (),
                Role::Candidate { excluded, votes } => {
                    let (config, _) = node.log.config();
                    if scenario.configs[usize::from(config)].has_quorum(
                        scenario.rule,
                        votes,
                        excluded,
                    ) {
                        steps.push(Step::Lead(id));
                    }
                    let voters = others.filter(|v| self.may_vote(*v, node));
                    steps.extend(voters.map(|voter| Step::Vote { voter, candidate: id }));
                }
                Role::Leader { commit, .. } => {
                    let behind = others.filter(|to| self.may_append(*to, node));
                    steps.extend(behind.map(|to| Step::Replicate { leader: id, to }));
                    if node.log.len < scenario.entries {
                        self.appends(scenario, id, commit, steps);
                    }
                }
            }
            if scenario.rule == Rule::GrowingExclusions
                && let Role::Candidate { excluded, .. } | Role::Leader { excluded, .. } = node.role
            {
                let known = excluded.or(Nodes::of(&[id]));
                let more = Nodes::first(scenario.nodes).without(known).ids();
                let more = more.filter(|x| self.may_lose(scenario, Nodes::of(&[*x])));
                steps.extend(more.map(|lost| Step::Exclude { node: id, lost }));
            }
        }
        if scenario.rule == Rule::KeptId {
            let whole = acting.without(self.lost).ids();
            let wiped = whole.filter(|id| self.may_lose(scenario, Nodes::of(&[*id])));
            steps.extend(wiped.map(Step::Wipe));
        }
    }

    fn acting(&self, scenario: &Scenario) -> Nodes {
        let all = Nodes::first(scenario.nodes);
        if scenario.rule == Rule::KeptId { all } else { all.without(self.lost) }
    }

    fn may_lose(&self, scenario: &Scenario, excluded: Nodes) -> bool {
        self.lost.or(excluded.without(scenario.mistaken)).len() <= u32::from(scenario.losses)
    }

    fn campaigns(&self, scenario: &Scenario, id: u8, steps: &mut Vec<Step>) {
        let others = Nodes::first(scenario.nodes).without(Nodes::of(&[id]));
        for excluded in others.subsets() {
            let keeps_always = excluded.is_empty() || scenario.always.without(excluded).is_empty();
            if self.may_lose(scenario, excluded) && keeps_always {
                let terms = self.nodes[usize::from(id)].term + 1..=scenario.terms;
                steps.extend(terms.map(|term| Step::Campaign { node: id, term, excluded }));
            }
        }
    }

    fn may_vote(&self, voter: u8, candidate: &Node) -> bool {
        let voter = &self.nodes[usize::from(voter)];
        let is_free =
            voter.term < candidate.term || (voter.term == candidate.term && !voter.has_voted);
        is_free && voter.log.freshness() <= candidate.log.freshness()
    }

    fn may_append(&self, to: u8, leader: &Node) -> bool {
        let to = &self.nodes[usize::from(to)];
        to.term <= leader.term && to.log.shared_len(&leader.log) < leader.log.len
    }

    fn appends(&self, scenario: &Scenario, leader: u8, commit: u8, steps: &mut Vec<Step>) {
        let log = &self.nodes[usize::from(leader)].log;
        let is_command = |e: &&Entry| e.config == 0;
        let terms = (1..=scenario.terms).filter(|t| log.entries().iter().any(|e| e.term == *t));
        let commands = log.entries().iter().filter(is_command).count() - terms.count();
        if commands < usize::from(scenario.commands) {
            steps.push(Step::Command(leader));
        }
        let (config, at) = log.config();
        // A leader's commit index is zero until it has committed an entry of its own term.
        if commit > 0 && at <= commit {
            let next = scenario.steps.iter().filter(|(from, _)| *from == config);
            steps.extend(next.map(|(_, to)| Step::Change { leader, config: *to }));
        }
    }

    /// Takes a step.
    pub(crate) fn take(&mut self, scenario: &Scenario, step: Step) -> Result<(), Violation> {
        match step {
            Step::Campaign { node, term, excluded } => {
                self.lose(scenario, excluded);
                let own = &mut self.nodes[usize::from(node)];
                let role = Role::Candidate { excluded, votes: Nodes::of(&[node]) };
                *own = Node { term, has_voted: true, role, ..*own };
            }
            Step::Vote { voter, candidate } => {
                let term = self.nodes[usize::from(candidate)].term;
                let own = &mut self.nodes[usize::from(voter)];
                *own = Node { term, has_voted: true, role: Role::Follower, ..*own };
                if let Role::Candidate { votes, .. } = &mut self.nodes[usize::from(candidate)].role
                {
                    *votes = votes.or(Nodes::of(&[voter]));
                }
            }
            Step::Lead(id) => self.lead(id)?,
            Step::Command(id) => self.append(id, 0),
            Step::Change { leader, config } => self.append(leader, config + 1),
            Step::Replicate { leader, to } => self.replicate(leader, to),
            Step::Exclude { node, lost } => {
                self.lose(scenario, Nodes::of(&[lost]));
                let role = &mut self.nodes[usize::from(node)].role;
                if let Role::Candidate { excluded, .. } | Role::Leader { excluded, .. } = role {
                    *excluded = excluded.or(Nodes::of(&[lost]));
                }
            }
            Step::Wipe(id) => self.lose(scenario, Nodes::of(&[id])),
        }
        for id in self.acting(scenario).ids() {
            self.commit(scenario, id)?;
        }
        // A node with an empty log may bring earlier terms back.
        if scenario.rule != Rule::KeptId {
            self.forget(scenario);
        }
        Ok(())
    }

    fn lose(&mut self, scenario: &Scenario, excluded: Nodes) {
        let lost = excluded.without(scenario.mistaken).without(self.lost);
        self.lost = self.lost.or(lost);
        lost.ids().for_each(|id| self.nodes[usize::from(id)] = Node::default());
    }

    fn lead(&mut self, id: u8) -> Result<(), Violation> {
        let node = &mut self.nodes[usize::from(id)];
        let Role::Candidate { excluded, .. } = node.role else { return Ok(()) };
        if self.elected[usize::from(node.term) - 1].replace(node.log).is_some() {
            return Err(Violation::TwoLeaders);
        }
        let earlier = self.committed_in.iter().zip(self.committed.entries());
        let earlier = earlier.filter(|(term, _)| **term < node.term).count() as u8;
        if node.log.shared_len(&self.committed) < earlier {
            return Err(Violation::LeaderLacksCommitted);
        }
        node.role = Role::Leader { excluded, matched: [0; MAX_NODES], commit: 0 };
        self.append(id, 0);
        Ok(())
    }

    fn append(&mut self, leader: u8, config: u8) {
        let node = &mut self.nodes[usize::from(leader)];
        node.log.push(Entry { term: node.term, config });
        let len = node.log.len;
        if let Role::Leader { matched, .. } = &mut node.role {
            matched[usize::from(leader)] = len;
        }
    }

    fn replicate(&mut self, leader: u8, to: u8) {
        let Node { term, log, .. } = self.nodes[usize::from(leader)];
        let own = &mut self.nodes[usize::from(to)];
        let shared = own.log.shared_len(&log);
        own.log.truncate(shared);
        own.log.push(log.entries()[usize::from(shared)]);
        let has_voted = own.has_voted && own.term == term;
        *own = Node { term, has_voted, role: Role::Follower, ..*own };
        if let Role::Leader { matched, .. } = &mut self.nodes[usize::from(leader)].role {
            matched[usize::from(to)] = shared + 1;
        }
    }

    /// Commits what the leader may commit.
    fn commit(&mut self, scenario: &Scenario, leader: u8) -> Result<(), Violation> {
        let node = &mut self.nodes[usize::from(leader)];
        let Role::Leader { excluded, matched, commit } = &mut node.role else { return Ok(()) };
        let config = scenario.configs[usize::from(node.log.config().0)];
        let can_commit = |len: &u8| {
            let have = (0..MAX_NODES).filter(|id| matched[*id] >= *len);
            let have = Nodes(have.fold(0, |bits, id| bits | 1 << id));
            let is_own = node.log.entries[usize::from(*len) - 1].term == node.term;
            is_own && config.has_quorum(scenario.rule, have, *excluded)
        };
        let Some(len) = (*commit + 1..=node.log.len).rev().find(can_commit) else { return Ok(()) };
        *commit = len;
        // Only an acknowledgement of more than is committed has an effect later.
        matched.iter_mut().filter(|m| **m <= len).for_each(|m| *m = 0);
        let Node { term, log, .. } = *node;
        let shared = log.shared_len(&self.committed);
        if shared < len.min(self.committed.len) {
            return Err(Violation::TwoCommitted);
        }
        for i in usize::from(self.committed.len)..usize::from(len) {
            self.committed.push(log.entries[i]);
            self.committed_in[i] = term;
        }
        let lowest = &mut self.committed_in[..usize::from(len)];
        lowest.iter_mut().for_each(|t| *t = (*t).min(term));
        let later = self.elected.iter().skip(usize::from(term)).flatten();
        match later.into_iter().all(|elected| elected.shared_len(&log) >= len) {
            true => Ok(()),
            false => Err(Violation::LeaderLacksCommitted),
        }
    }

    /// Drops what no later step depends on, so that fewer states differ.
    fn forget(&mut self, scenario: &Scenario) {
        let alive = Nodes::first(scenario.nodes).without(self.lost).ids();
        let term = alive.map(|id| self.nodes[usize::from(id)].term).min().unwrap_or(0);
        let past = self.elected.iter_mut().take(usize::from(term)).flatten();
        past.for_each(|log| *log = Log::default());
        let committed = &mut self.committed_in[..usize::from(self.committed.len)];
        committed.iter_mut().for_each(|t| *t = (*t).max(term.saturating_sub(1)));
    }

    /// The same state for all that differ only in the names of nodes.
    pub(crate) fn representative(&self, symmetries: &[[u8; MAX_NODES]]) -> Self {
        let shape = |id: usize| {
            let node = self.nodes[id];
            (self.lost.has(id as u8), Node { role: node.role.shape(), ..node })
        };
        let shapes: [_; MAX_NODES] = array::from_fn(shape);
        let ranks = shapes.map(|shape| shapes.iter().filter(|s| **s < shape).count());
        // Permutations of which not even the shapes are in order need no comparison of states.
        let order = |images: &[u8; MAX_NODES]| {
            let mut moved = [0; MAX_NODES];
            (0..MAX_NODES).for_each(|i| moved[usize::from(images[i])] = ranks[i]);
            moved
        };
        let first = symmetries.iter().map(order).min();
        let candidates = symmetries.iter().filter(|images| Some(order(images)) == first);
        candidates.map(|images| self.permuted(images)).min().unwrap_or(*self)
    }

    /// The state with each node at the position that `images` gives for it.
    fn permuted(&self, images: &[u8; MAX_NODES]) -> Self {
        let set = |nodes: Nodes| {
            Nodes(nodes.ids().fold(0, |bits, id| bits | 1 << images[usize::from(id)]))
        };
        let mut state = Self { lost: set(self.lost), ..*self };
        for (id, node) in self.nodes.iter().enumerate() {
            let role = match node.role {
                Role::Follower => Role::Follower,
                Role::Candidate { excluded, votes } => {
                    Role::Candidate { excluded: set(excluded), votes: set(votes) }
                }
                Role::Leader { excluded, matched, commit } => {
                    let mut moved = [0; MAX_NODES];
                    (0..MAX_NODES).for_each(|i| moved[usize::from(images[i])] = matched[i]);
                    Role::Leader { excluded: set(excluded), matched: moved, commit }
                }
            };
            state.nodes[usize::from(images[id])] = Node { role, ..*node };
        }
        state
    }
}
