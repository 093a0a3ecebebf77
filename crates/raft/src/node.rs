//! State of a node, its ticks and the entry point for messages.

use crate::{
    config::{Config, PersistedState},
    follower::Incoming,
    leader::Transfer,
    log::Log,
    message::{LogPosition, Message, MessageBody},
    progress::Progress,
    read::Reads,
    ready::Outbox,
    types::{EntryPayload, GroupId, HardState, Index, Membership, NodeId, Snapshot, Term},
};
use std::collections::BTreeMap;

/// What a node does in the current term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether a campaign would succeed.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Orders the log.
    Leader,
}

/// One node of a group. See the [crate] for how to drive it.
#[derive(Debug)]
pub struct Raft {
    pub(crate) cfg: Config,
    pub(crate) rng: fastrand::Rng,
    pub(crate) hard_state: HardState,
    pub(crate) saved_hard_state: HardState,
    pub(crate) role: Role,
    pub(crate) leader: Option<NodeId>,
    pub(crate) log: Log,
    pub(crate) snapshot: Snapshot,
    pub(crate) commit: Index,
    /// Last entry handed out to be applied.
    pub(crate) applied: Index,
    /// Members with the index that set them; the last one counts.
    pub(crate) memberships: Vec<(Index, Membership)>,
    pub(crate) election_elapsed: u32,
    pub(crate) election_timeout: u32,
    pub(crate) heartbeat_elapsed: u32,
    pub(crate) votes: BTreeMap<NodeId, bool>,
    pub(crate) progress: BTreeMap<NodeId, Progress>,
    pub(crate) uncommitted_bytes: usize,
    pub(crate) transfer: Option<Transfer>,
    pub(crate) reads: Reads,
    pub(crate) incoming: Option<Incoming>,
    pub(crate) outbox: Outbox,
    /// Group of the leader that this node answers while it has no members of its own.
    pub(crate) joining: GroupId,
    /// Set when a leader counts this node's vote although its disk is empty.
    pub(crate) lost_disk: bool,
}

impl Raft {
    /// A node that starts as a follower with what was on its disk.
    pub fn new(cfg: Config, restored: PersistedState) -> Self {
        let PersistedState { hard_state, snapshot, mut entries } = restored;
        if entries.last().is_some_and(|e| e.index < snapshot.meta.index) {
            entries.clear();
        }
        let meta = &snapshot.meta;
        // The first entry kept before the snapshot's end only tells the term before the second.
        let base = entries.first().filter(|e| e.index <= meta.index);
        let base = base.map_or(LogPosition { index: meta.index, term: meta.term }, |e| {
            LogPosition { index: e.index, term: e.term }
        });
        let mut memberships = vec![(meta.index, meta.membership.clone())];
        memberships.extend(entries.iter().filter(|e| e.index > meta.index).filter_map(|e| {
            match &e.payload {
                EntryPayload::Membership(members) => Some((e.index, members.clone())),
                _ => None,
            }
        }));
        let mut raft = Self {
            rng: fastrand::Rng::with_seed(cfg.seed),
            hard_state,
            saved_hard_state: hard_state,
            role: Role::Follower,
            leader: None,
            log: Log::new(base, entries.into_iter().filter(|e| e.index > base.index).collect()),
            commit: meta.index,
            applied: meta.index,
            memberships,
            election_elapsed: 0,
            election_timeout: 0,
            heartbeat_elapsed: 0,
            votes: BTreeMap::new(),
            progress: BTreeMap::new(),
            uncommitted_bytes: 0,
            transfer: None,
            reads: Reads::default(),
            incoming: None,
            outbox: Outbox::default(),
            joining: 0,
            lost_disk: false,
            snapshot,
            cfg,
        };
        raft.reset_election_timer();
        raft
    }

    /// Tells the node that one tick has passed.
    pub fn tick(&mut self) {
        match self.role {
            Role::Leader => self.tick_leader(),
            _ => self.tick_election(),
        }
    }

    /// Hands the node a message. One that isn't meant for it or is outdated is dropped.
    pub fn step(&mut self, message: Message) {
        let is_other_group =
            !self.membership().is_empty() && message.group != self.membership().group;
        if message.to != self.cfg.id || is_other_group || self.lost_disk {
            return;
        }
        if self.membership().is_empty() {
            self.joining = message.group;
        }
        if message.term > self.hard_state.term && !self.enter_newer_term(&message) {
            return;
        }
        let is_pre_vote_answer = matches!(message.body, MessageBody::PreVoteResponse { .. });
        if message.term < self.hard_state.term && !is_pre_vote_answer {
            self.answer_outdated(&message);
            return;
        }
        self.dispatch(message);
    }

    /// Adopts the term of a message. Returns whether the message is to be handled.
    fn enter_newer_term(&mut self, message: &Message) -> bool {
        match message.body {
            MessageBody::PreVote { .. } | MessageBody::PreVoteResponse { granted: true } => true,
            MessageBody::Vote { transfer, .. } if !transfer && self.has_live_leader() => false,
            MessageBody::Append { .. }
            | MessageBody::Heartbeat { .. }
            | MessageBody::SnapshotChunk { .. } => {
                self.become_follower(message.term, Some(message.from));
                true
            }
            _ => {
                self.become_follower(message.term, None);
                true
            }
        }
    }

    /// Tells a sender that lives in an older term about the current one.
    fn answer_outdated(&mut self, message: &Message) {
        let body = match message.body {
            MessageBody::PreVote { .. } => MessageBody::PreVoteResponse { granted: false },
            MessageBody::Vote { .. } => MessageBody::VoteResponse { granted: false },
            MessageBody::Append { .. }
            | MessageBody::Heartbeat { .. }
            | MessageBody::SnapshotChunk { .. } => MessageBody::StaleTerm,
            _ => return,
        };
        self.send(message.from, body);
    }

    fn dispatch(&mut self, message: Message) {
        let Message { from, term, body, .. } = message;
        match body {
            MessageBody::PreVote { last } => self.handle_pre_vote(from, term, last),
            MessageBody::PreVoteResponse { granted } => {
                self.handle_pre_vote_answer(from, term, granted)
            }
            MessageBody::Vote { last, .. } => self.handle_vote(from, last),
            MessageBody::VoteResponse { granted } => self.handle_vote_answer(from, granted),
            MessageBody::Append { prev, entries, commit, voter } => {
                if self.follow(from, voter) {
                    self.handle_append(from, prev, entries, commit);
                }
            }
            MessageBody::Heartbeat { commit, round, voter } => {
                if self.follow(from, voter) {
                    self.handle_heartbeat(from, commit, round);
                }
            }
            MessageBody::SnapshotChunk { meta, offset, total, data, voter } => {
                if self.follow(from, voter) {
                    self.handle_chunk(from, meta, offset, total, &data);
                }
            }
            MessageBody::TimeoutNow => self.handle_timeout_now(),
            MessageBody::StaleTerm => (),
            MessageBody::AppendAccepted { .. }
            | MessageBody::AppendRejected { .. }
            | MessageBody::HeartbeatResponse { .. }
            | MessageBody::SnapshotProgress { .. } => self.handle_answer(from, body),
        }
    }

    /// Queues a message that may go out only after what is unsaved is synced.
    pub(crate) fn send(&mut self, to: NodeId, body: MessageBody) {
        let message = self.message(to, self.hard_state.term, body);
        self.outbox.messages.push(message);
    }

    pub(crate) fn message(&self, to: NodeId, term: Term, body: MessageBody) -> Message {
        let members = self.membership();
        let group = if members.is_empty() { self.joining } else { members.group };
        Message { group, from: self.cfg.id, to, term, body }
    }

    /// This node's id.
    pub fn id(&self) -> NodeId {
        self.cfg.id
    }

    /// What the node does in this term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether the node leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// The leader that the node knows of.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Last index known to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Last index handed out to be applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Last index of the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// First index of the log that is still held in memory.
    pub fn first_index(&self) -> Index {
        self.log.first_index()
    }

    /// Term of an entry that is still held in memory.
    pub fn entry_term(&self, index: Index) -> Option<Term> {
        self.log.get(index).map(|e| e.term)
    }

    /// The members as of the last entry of the log.
    pub fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Up to where another node's log is known to equal this leader's.
    pub fn matched(&self, id: NodeId) -> Option<Index> {
        self.progress.get(&id).map(|p| p.matched)
    }

    /// On a leader: ticks since each other member was last heard of.
    pub fn silent_ticks(&self) -> impl Iterator<Item = (NodeId, u32)> + '_ {
        self.progress.iter().map(|(id, progress)| (*id, progress.silent_ticks))
    }

    /// Members that lack entries which they acknowledged to this leader: their disks are
    /// lost in part or whole. They get nothing more and count for nothing; replace them.
    pub fn lost_logs(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.progress.iter().filter(|(_, p)| p.has_lost_log).map(|(id, _)| *id)
    }

    /// Whether the node's vote is counted although its disk was empty when it started.
    ///
    /// Such a node takes part in nothing: it may have voted and acknowledged entries
    /// before its disk was lost. Remove it and let it join under a new id.
    pub fn has_lost_disk(&self) -> bool {
        self.lost_disk
    }
}
