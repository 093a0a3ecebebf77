//! Abstract model of Raft whose logs have configurations and commands only, and whose voters may
//! lose their disks.
//!
//! Three reductions keep it small, and each one keeps every violation:
//!
//! - A disk is lost when a campaign first excludes it. One that is lost earlier just doesn't act in between.
//! - A vote or an acknowledgement counts at once, also after its voter is lost. A candidate may wait before
//!   it leads or never lead, which covers late and lost messages. A leader commits as early as it
//!   can, so it does all that one with less knowledge does.
//! - A node that steps down or restarts is one that takes no further step in its term.

// Each test file uses a part of this.
#![allow(dead_code)]

pub(crate) mod check;
pub(crate) mod search;
pub(crate) mod state;

use std::{fmt, iter::successors};

/// Upper bound of the nodes of a model.
pub(crate) const MAX_NODES: usize = 6;

/// Set of nodes, as bits.
#[derive(Clone, Copy, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Nodes(pub(crate) u8);

impl Nodes {
    pub(crate) const NONE: Self = Self(0);

    pub(crate) const fn of(ids: &[u8]) -> Self {
        let (mut bits, mut i) = (0, 0);
        while i < ids.len() {
            bits |= 1 << ids[i];
            i += 1;
        }
        Self(bits)
    }

    pub(crate) const fn first(n: u8) -> Self {
        Self((1 << n) - 1)
    }

    pub(crate) const fn has(self, id: u8) -> bool {
        self.0 >> id & 1 == 1
    }

    pub(crate) const fn and(self, other: Self) -> Self {
        Self(self.0 & other.0)
    }

    pub(crate) const fn or(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    pub(crate) const fn without(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }

    pub(crate) const fn len(self) -> u32 {
        self.0.count_ones()
    }

    pub(crate) const fn is_empty(self) -> bool {
        self.0 == 0
    }

    pub(crate) fn ids(self) -> impl Iterator<Item = u8> {
        (0..MAX_NODES as u8).filter(move |id| self.has(*id))
    }

    /// All subsets, the empty one first.
    pub(crate) fn subsets(self) -> impl Iterator<Item = Self> {
        let next = move |s: &Self| (*s != self).then(|| Self((s.0.wrapping_sub(self.0)) & self.0));
        successors(Some(Self::NONE), next)
    }
}

impl fmt::Debug for Nodes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.ids()).finish()
    }
}

/// Voters as of an entry. Both sets are the same unless the configuration is joint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Config {
    pub(crate) current: Nodes,
    pub(crate) next: Nodes,
}

impl Config {
    pub(crate) fn is_joint(self) -> bool {
        self.current != self.next
    }

    /// Whether the nodes are a quorum if `excluded` are known to be lost.
    pub(crate) fn has_quorum(self, rule: Rule, nodes: Nodes, excluded: Nodes) -> bool {
        let decides = |set| rule.decides(set, nodes, excluded);
        decides(self.current) && (!self.is_joint() || decides(self.next))
    }
}

/// The rule of the design, or one with a fault that the search must find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Rule {
    Design,
    /// A candidate or leader may exclude further voters, and what came before counts.
    GrowingExclusions,
    /// Voters change without a joint configuration.
    SingleStep,
    /// A majority of the voters that aren't excluded decides.
    MajorityOfRest,
    /// A half of an even number decides without a known loss.
    HalfAlways,
    /// A voter that lost its disk acts again under its id, with an empty log.
    KeptId,
}

impl Rule {
    /// Whether the nodes are a quorum of one set of voters.
    pub(crate) fn decides(self, set: Nodes, nodes: Nodes, excluded: Nodes) -> bool {
        let is_even = set.len().is_multiple_of(2);
        let needed = match self {
            Self::MajorityOfRest => set.without(excluded).len() / 2 + 1,
            Self::HalfAlways if is_even => set.len() / 2,
            _ if is_even && !set.and(excluded).is_empty() => set.len() / 2,
            _ => set.len() / 2 + 1,
        };
        set.and(nodes).without(excluded).len() >= needed
    }
}

/// What a search covers.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) rule: Rule,
    pub(crate) nodes: u8,
    /// Configurations of log entries, the initial one first.
    pub(crate) configs: Vec<Config>,
    /// Positions in `configs` that may follow each other.
    pub(crate) steps: Vec<(u8, u8)>,
    pub(crate) terms: u8,
    /// Upper bound of the entries in a log, apart from the initial configuration.
    pub(crate) entries: u8,
    /// Upper bound of the commands in a log, apart from the one that each leader begins with.
    pub(crate) commands: u8,
    pub(crate) losses: u8,
    /// Nodes that may be taken for lost while they aren't.
    pub(crate) mistaken: Nodes,
    /// Nodes that are excluded by whoever excludes any.
    pub(crate) always: Nodes,
}

impl Scenario {
    /// Voters `0..voters`, and changes from one set of voters to another.
    pub(crate) fn new(rule: Rule, voters: u8, changes: &[(Nodes, Nodes)]) -> Self {
        let initial = Nodes::first(voters);
        let mut scenario = Self {
            rule,
            nodes: voters,
            configs: Vec::new(),
            steps: Vec::new(),
            terms: 2,
            entries: 4,
            commands: 0,
            losses: 2,
            mistaken: Nodes::NONE,
            always: Nodes::NONE,
        };
        scenario.position(Config { current: initial, next: initial });
        for (from, to) in changes {
            let before = scenario.position(Config { current: *from, next: *from });
            let after = scenario.position(Config { current: *to, next: *to });
            if rule == Rule::SingleStep {
                scenario.steps.push((before, after));
            } else {
                let joint = scenario.position(Config { current: *from, next: *to });
                scenario.steps.extend([(before, joint), (joint, after)]);
            }
        }
        scenario
    }

    fn position(&mut self, config: Config) -> u8 {
        let all = config.current.or(config.next);
        self.nodes = self.nodes.max(all.ids().last().map_or(0, |id| id + 1));
        let known = self.configs.iter().position(|c| *c == config);
        let position = known.unwrap_or_else(|| {
            self.configs.push(config);
            self.configs.len() - 1
        });
        position as u8
    }

    /// Permutations of the nodes that change nothing of the scenario.
    pub(crate) fn symmetries(&self) -> Vec<[u8; MAX_NODES]> {
        let sets = self.configs.iter().flat_map(|c| [c.current, c.next]);
        let sets: Vec<Nodes> = sets.chain([self.mistaken, self.always]).collect();
        let is_like = |a: u8, b: u8| sets.iter().all(|set| set.has(a) == set.has(b));
        let mut found = vec![Vec::new()];
        for id in 0..MAX_NODES as u8 {
            let extend = |images: &Vec<u8>| {
                let images = images.clone();
                let free = (0..MAX_NODES as u8).filter(move |to| !images.contains(to));
                free.filter(|to| is_like(id, *to) && (id < self.nodes) == (*to < self.nodes))
                    .collect::<Vec<_>>()
            };
            let longer = |images: Vec<u8>| {
                extend(&images).into_iter().map(move |to| [images.as_slice(), &[to]].concat())
            };
            found = found.into_iter().flat_map(longer).collect();
        }
        // Nodes that the scenario doesn't have stay where they are.
        let is_used = |images: &Vec<u8>| {
            (self.nodes..MAX_NODES as u8).all(|id| images[usize::from(id)] == id)
        };
        let used = found.into_iter().filter(is_used);
        used.map(|images| std::array::from_fn(|i| images[i])).collect()
    }
}
