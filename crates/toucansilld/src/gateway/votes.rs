//! What a member of the control group notes as it happens, for the lines that say why it or another
//! one has no vote yet: [`super::pending_votes`] and [`super::own_vote`].

use super::{
    control::ControlMember,
    messages::LeaderReply,
    own_vote::OwnVote,
    pending_votes::{LeaderView, PendingVotes, VoteLine},
};
use crate::sync::lock;
use group::{MembershipChange, NodeId, Status};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time after which a node that has asked to join, and isn't a member, is no longer reported.
pub(super) const REQUEST_LIFETIME: Duration = Duration::from_secs(3);
/// Time for which a refused change is reported.
const REFUSAL_LIFETIME: Duration = Duration::from_secs(3);
/// Maximum number of nodes that are remembered as senders of messages, or of requests to join.
const MAX_NODES: usize = 32;

/// Request of a node to join, at the leader.
#[derive(Clone, Debug)]
pub(super) struct JoinRequest {
    pub(super) address: String,
    pub(super) first_at: Instant,
    pub(super) last_at: Instant,
}

/// What a member notes as it happens, for the lines.
#[derive(Debug, Default)]
pub struct VoteNotes {
    /// At the leader: the requests of nodes to join.
    pub(super) requests: BTreeMap<NodeId, JoinRequest>,
    /// Change of the members under way.
    pub(super) change: Option<(Instant, MembershipChange)>,
    /// The last change of the members that failed, and why.
    refused: Option<(Instant, MembershipChange, String)>,
    /// When each member's last Raft message came.
    pub(super) heard: BTreeMap<NodeId, Instant>,
    /// The last answer to this node's own request to join.
    pub(super) answer: Option<(Instant, String)>,
}

impl VoteNotes {
    /// Notes a node's request to join.
    pub fn asked(&mut self, now: Instant, id: NodeId, address: &str) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= REQUEST_LIFETIME;
        let first_at = match self.requests.get(&id) {
            Some(request) if !is_old(request.last_at) => request.first_at,
            _ => now,
        };
        if self.requests.len() >= MAX_NODES {
            self.requests.retain(|_, request| !is_old(request.last_at));
        }
        if self.requests.len() < MAX_NODES || self.requests.contains_key(&id) {
            let address = address.to_owned();
            self.requests.insert(id, JoinRequest { address, first_at, last_at: now });
        }
    }

    /// Notes that a change of the members has begun.
    pub fn change_started(&mut self, now: Instant, change: MembershipChange) {
        self.change = Some((now, change));
    }

    /// Notes the end of that change, with the error if it failed.
    pub fn change_ended(&mut self, now: Instant, error: Option<&str>) {
        let Some((_, change)) = self.change.take() else { return };
        self.refused = error.map(|err| (now, change, err.to_owned()));
    }

    /// Notes a Raft message.
    pub fn heard(&mut self, now: Instant, from: NodeId) {
        if self.heard.len() >= MAX_NODES && !self.heard.contains_key(&from) {
            let oldest = self.heard.iter().min_by_key(|(_, at)| **at).map(|(id, _)| *id);
            oldest.map(|id| self.heard.remove(&id));
        }
        self.heard.insert(from, now);
    }

    /// Notes the answer to this node's own request to join.
    pub fn answered(&mut self, now: Instant, answer: &str) {
        self.answer = Some((now, answer.to_owned()));
    }

    /// For how long a member hasn't been heard; `None` if it never was.
    pub fn silence(&self, now: Instant, id: NodeId) -> Option<Duration> {
        self.heard.get(&id).map(|at| now.saturating_duration_since(*at))
    }

    /// Why a change for this node failed lately.
    pub(super) fn refusal(&self, now: Instant, id: NodeId) -> Option<(Duration, &str)> {
        let (at, change, err) = self.refused.as_ref()?;
        let ago = now.saturating_duration_since(*at);
        (ago < REFUSAL_LIFETIME && concerns(*change, id)).then_some((ago, err))
    }
}

/// Whether a change is made for this node.
fn concerns(change: MembershipChange, id: NodeId) -> bool {
    match change {
        MembershipChange::AddLearner(new) | MembershipChange::Promote(new) => new == id,
        MembershipChange::Exchange { new, .. } | MembershipChange::ExchangeTwo { new, .. } => {
            new == id
        }
        // They make room for the next one.
        _ => true,
    }
}

/// Answer to a request to join, as texts have it.
pub(super) fn join_answer(reply: &LeaderReply) -> String {
    match reply {
        LeaderReply::ChangePending => String::from("change pending"),
        LeaderReply::Retired => String::from("retired"),
        LeaderReply::NotLeader { leader: Some(leader) } => format!("not leader ({leader})"),
        LeaderReply::NotLeader { leader: None } => String::from("not leader"),
        _ => String::from("another reply"),
    }
}

pub(super) fn seconds(time: Duration) -> String {
    format!("{:.1} s", time.as_secs_f64())
}

impl ControlMember {
    /// Notes what lines about missing votes need.
    pub(super) fn note_vote(&self, note: impl FnOnce(&mut VoteNotes, Instant)) {
        note(&mut lock(&self.vote_notes), self.now());
    }

    /// Logs why members have no vote, or don't answer.
    pub(super) fn report_votes(
        &self,
        pending: &mut PendingVotes,
        own: &mut OwnVote,
        status: &Status,
    ) {
        let now = self.now();
        let address_of = |id| self.voter().address_of(id);
        // Probes under way lock what former ones have shown.
        let presence = match self.probed().try_lock() {
            Ok(probed) => probed.iter().map(|(id, (_, presence))| (*id, *presence)).collect(),
            Err(_) => BTreeMap::new(),
        };
        let contact = |id| self.contact(id);
        let followed = self.known_leader();
        let (lines, own) = {
            let notes = lock(&self.vote_notes);
            let view = LeaderView { status, notes: &notes, presence, address_of, contact };
            (pending.report(&view, now), own.report(status, now, &notes, followed, address_of))
        };
        for VoteLine { member, level, text } in lines {
            log::log!(level, member = member; "{text}");
        }
        if let Some(text) = own {
            log::warn!(member = status.id, term = status.term; "{text}");
        }
    }
}
