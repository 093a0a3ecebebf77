//! The state of a node, its clock ticks and the handling of incoming messages.

use crate::{
    config::{Config, PersistedState},
    follower::IncomingSnapshot,
    leader::Transfer,
    log::Log,
    message::{LogPosition, Message, MessageBody},
    progress::Progress,
    read::Reads,
    ready::Outbox,
    types::{EntryPayload, GroupId, HardState, Index, Membership, NodeId, Snapshot, Term},
};
use std::collections::{BTreeMap, BTreeSet};

/// Role of a node in the current term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Replicates the log of a leader, or waits for one to be elected.
    Follower,
    /// Asks the other voters whether they would vote for it, without starting a new term.
    PreCandidate,
    /// Requests votes in a new term.
    Candidate,
    /// Appends to the log and replicates it to the other members.
    Leader,
}

/// One node of a group. The [crate] documentation describes how to drive it.
#[derive(Debug)]
pub struct Raft {
    pub(crate) cfg: Config,
    pub(crate) rng: fastrand::Rng,
    pub(crate) hard_state: HardState,
    /// Hard state that the caller was last told to write.
    pub(crate) emitted_hard_state: HardState,
    pub(crate) role: Role,
    pub(crate) leader: Option<NodeId>,
    pub(crate) log: Log,
    pub(crate) snapshot: Snapshot,
    /// Last index known to be committed.
    pub(crate) commit: Index,
    /// Last index returned to the caller in [`Ready::committed`](crate::Ready::committed).
    pub(crate) applied: Index,
    /// Memberships with the log index of the change that made each. The first one is that of
    /// the snapshot; the last one is in effect.
    pub(crate) memberships: Vec<(Index, Membership)>,
    /// Ticks since the election timer was last reset.
    pub(crate) election_elapsed: u32,
    /// Ticks after which this node starts a pre-vote; drawn at random at each reset.
    pub(crate) election_timeout: u32,
    /// Campaigns that got no majority in time since this node last knew a leader.
    pub(crate) failed_campaigns: usize,
    /// On a leader: ticks since the last heartbeat round.
    pub(crate) heartbeat_elapsed: u32,
    /// Responses to the running pre-vote or vote: whether each node granted it.
    pub(crate) votes: BTreeMap<NodeId, bool>,
    /// See [`Raft::note_lost_disk`].
    pub(crate) known_lost: BTreeSet<NodeId>,
    /// On a candidate or leader: voters whose disks were known to be lost when its campaign began.
    /// They don't count as long as it is one, and half of an even number of voters is enough
    /// without them; see [`Membership`].
    pub(crate) excluded: BTreeSet<NodeId>,
    /// See [`Raft::candidate_logs`].
    pub(crate) candidate_logs: BTreeMap<NodeId, Index>,
    /// On a leader: replication progress of each other member.
    pub(crate) progress: BTreeMap<NodeId, Progress>,
    /// Bytes of entries that this leader has appended and not yet committed.
    pub(crate) uncommitted_bytes: usize,
    pub(crate) transfer: Option<Transfer>,
    pub(crate) reads: Reads,
    /// Snapshot that is being received from the leader.
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    /// Output collected for the next [`Ready`](crate::Ready).
    pub(crate) outbox: Outbox,
    /// Group id of the last message received while the membership is empty; used in replies.
    pub(crate) joining_group: GroupId,
    /// Set when a leader counts this node as a voter although its log is empty.
    pub(crate) lost_disk: bool,
}

impl Raft {
    /// Creates a node that starts as a follower with the state read from its disk.
    pub fn new(cfg: Config, persisted: PersistedState) -> Self {
        let PersistedState { hard_state, snapshot, mut entries } = persisted;
        if entries.last().is_some_and(|e| e.index < snapshot.meta.index) {
            entries.clear();
        }
        let meta = &snapshot.meta;
        // The entries may begin before the snapshot's end. The first one then becomes the base:
        // of it only the term is needed, as the predecessor of the second one.
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
            emitted_hard_state: hard_state,
            role: Role::Follower,
            leader: None,
            log: Log::new(base, entries.into_iter().filter(|e| e.index > base.index).collect()),
            commit: meta.index,
            applied: meta.index,
            memberships,
            election_elapsed: 0,
            election_timeout: 0,
            failed_campaigns: 0,
            heartbeat_elapsed: 0,
            votes: BTreeMap::new(),
            known_lost: BTreeSet::new(),
            excluded: BTreeSet::new(),
            candidate_logs: BTreeMap::new(),
            progress: BTreeMap::new(),
            uncommitted_bytes: 0,
            transfer: None,
            reads: Reads::default(),
            incoming_snapshot: None,
            outbox: Outbox::default(),
            joining_group: 0,
            lost_disk: false,
            snapshot,
            cfg,
        };
        raft.reset_election_timer();
        raft
    }

    /// Advances the node's clock by one tick.
    pub fn tick(&mut self) {
        match self.role {
            Role::Leader => self.tick_leader(),
            _ => self.tick_election(),
        }
    }

    /// Handles a message from another node.
    ///
    /// Drops messages for another node or group, and all messages if this node has lost its
    /// disk. A request of an older term is rejected with the current term.
    pub fn step(&mut self, message: Message) {
        let is_of_other_group =
            !self.membership().is_empty() && message.group != self.membership().group;
        if message.to != self.cfg.id || is_of_other_group || self.lost_disk {
            return;
        }
        if self.membership().is_empty() {
            self.joining_group = message.group;
        }
        self.note_whole_disk(message.from);
        if message.term > self.hard_state.term && !self.handle_newer_term(&message) {
            return;
        }
        let is_pre_vote_response = matches!(message.body, MessageBody::PreVoteResponse { .. });
        if message.term < self.hard_state.term && !is_pre_vote_response {
            self.reject_outdated(&message);
            return;
        }
        self.dispatch(message);
    }

    /// Records that the disk of a voter is lost: it will never act under its id again. From its
    /// next campaign on this node doesn't count the voter, and half of an even number of voters is
    /// enough for it.
    ///
    /// On a leader, it allows a successor that has yet to catch up to take the voter's place.
    ///
    /// Only a daemon with another id at the voter's address tells so. What the voter did before
    /// doesn't count in such a campaign, so the loss must be known when it begins.
    pub fn note_lost_disk(&mut self, id: NodeId) {
        if id != self.cfg.id && self.membership().is_voter(id) {
            self.known_lost.insert(id);
        }
    }

    /// A node that sends a message hasn't lost its disk, whatever is at the address at which it was
    /// expected.
    fn note_whole_disk(&mut self, id: NodeId) {
        self.known_lost.remove(&id);
        if self.excluded.contains(&id) {
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Handles a message of a newer term: becomes a follower in that term, unless the message is
    /// a pre-vote or grants one. Returns whether to process the message further: a vote request
    /// is ignored while there is a live leader, unless that leader asked for the campaign.
    fn handle_newer_term(&mut self, message: &Message) -> bool {
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

    /// Rejects a request of an older term, so that the sender learns the current term.
    fn reject_outdated(&mut self, message: &Message) {
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
                self.handle_pre_vote_response(from, term, granted)
            }
            MessageBody::Vote { last, .. } => self.handle_vote(from, last),
            MessageBody::VoteResponse { granted } => self.handle_vote_response(from, granted),
            MessageBody::Append { prev, entries, commit, voter } => {
                if self.accept_leader(from, voter) {
                    self.handle_append(from, prev, entries, commit);
                }
            }
            MessageBody::Heartbeat { commit, round, voter } => {
                if self.accept_leader(from, voter) {
                    self.handle_heartbeat(from, commit, round);
                }
            }
            MessageBody::SnapshotChunk { meta, offset, total, data, voter } => {
                if self.accept_leader(from, voter) {
                    self.handle_snapshot_chunk(from, meta, offset, total, &data);
                }
            }
            MessageBody::TimeoutNow => self.handle_timeout_now(),
            MessageBody::StaleTerm => (),
            MessageBody::AppendAccepted { .. }
            | MessageBody::AppendRejected { .. }
            | MessageBody::HeartbeatResponse { .. }
            | MessageBody::SnapshotProgress { .. } => self.handle_follower_response(from, body),
        }
    }

    /// Queues a message that may be sent only after all unwritten state is synced.
    pub(crate) fn send(&mut self, to: NodeId, body: MessageBody) {
        let message = self.message(to, self.hard_state.term, body);
        self.outbox.messages.push(message);
    }

    pub(crate) fn message(&self, to: NodeId, term: Term, body: MessageBody) -> Message {
        let members = self.membership();
        let group = if members.is_empty() { self.joining_group } else { members.group };
        Message { group, from: self.cfg.id, to, term, body }
    }

    /// This node's id.
    pub fn id(&self) -> NodeId {
        self.cfg.id
    }

    /// The node's role in the current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether the node considers itself the leader. Another node may lead in a newer term.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// The leader of the current term, if the node knows it and has heard it within the election
    /// timeout.
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

    /// Last index returned in [`Ready::committed`](crate::Ready::committed).
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

    /// Index of the entry that holds these members, or of the snapshot that does; 0 on a node
    /// without any.
    pub fn membership_index(&self) -> Index {
        self.memberships[self.memberships.len() - 1].0
    }

    /// Whether the last change of the members is known to be committed. Until then it may be
    /// replaced.
    pub fn is_membership_committed(&self) -> bool {
        self.memberships[self.memberships.len() - 1].0 <= self.commit
    }

    /// On a leader: last index up to which another member's log on disk is known to equal the
    /// leader's.
    pub fn matched(&self, id: NodeId) -> Option<Index> {
        self.progress.get(&id).map(|p| p.matched)
    }

    /// On a leader: ticks since the last message from each other member.
    pub fn silent_ticks(&self) -> impl Iterator<Item = (NodeId, u32)> + '_ {
        self.progress.iter().map(|(id, progress)| (*id, progress.silent_ticks))
    }

    /// On a leader: members that lack entries which they had acknowledged, because their disks
    /// were lost in part or in whole. The leader sends them no more entries and doesn't count
    /// them towards a majority. They must be replaced.
    pub fn lost_logs(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.progress.iter().filter(|(_, p)| p.has_lost_log).map(|(id, _)| *id)
    }

    /// On a candidate: the voters that have answered its last request for votes, this node
    /// included, and whether each would vote for it.
    pub fn votes(&self) -> &BTreeMap<NodeId, bool> {
        &self.votes
    }

    /// Voters whose disks are known to be lost; see [`Raft::note_lost_disk`].
    pub fn known_lost(&self) -> &BTreeSet<NodeId> {
        &self.known_lost
    }

    /// Whether the nodes for which `f` is true are a quorum for this node.
    pub(crate) fn has_quorum(&self, f: impl Fn(NodeId) -> bool) -> bool {
        self.membership().has_quorum_without(&self.excluded, f)
    }

    /// The highest value that is reached by each node of some quorum for this node.
    pub(crate) fn quorum_value(&self, value: impl Fn(NodeId) -> u64) -> u64 {
        self.membership().quorum_value_without(&self.excluded, value)
    }

    /// Last index of each other node, as of its latest request for votes since this node knew a
    /// leader.
    pub fn candidate_logs(&self) -> &BTreeMap<NodeId, Index> {
        &self.candidate_logs
    }

    /// Whether a leader counts this node as a voter although its log is empty and its id [isn't
    /// new](crate::Config::has_new_id).
    ///
    /// Such a node ignores all messages and never campaigns, as it may have voted and
    /// acknowledged entries before its disk was lost. Remove it and let it join under a new id.
    pub fn has_lost_disk(&self) -> bool {
        self.lost_disk
    }
}
