//! Lines in which the leader of the control group says why a member has no vote yet, or doesn't
//! answer.
//!
//! As in [`super::group_report`], what decides comes first in the text.

use super::{
    group_report::{Contact, contact_failure, short_change, short_name},
    members::{TICK, UNHEARD_TICKS},
    votes::{REQUEST_LIFETIME, VoteNotes, seconds},
};
use group::{NodeId, Status, joining::Presence};
use log::Level;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time from which on a missing vote is a warning.
const LONG_TIME: Duration = Duration::from_secs(2);
/// Interval between lines about the same member, if nothing changes.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The same if another step is waited for.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval if nothing changes, once the member has been reported for [`REPORT_TIME`].
const LATE_REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which a member is reported each second.
const REPORT_TIME: Duration = Duration::from_secs(30);

/// What a leader waits for until a member votes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// It doesn't hear the voter.
    VoterHeard,
    /// It doesn't hear the learner.
    LearnerHeard,
    CaughtUp,
    /// Another change has to end.
    ChangeEnd,
    /// The change has to succeed.
    Accepted,
    /// A voter has to answer.
    Confirmed,
    /// The node has to ask.
    Request,
    /// The members that answer have to be enough, or a voter has to be absent for long enough.
    Place,
}

/// What a member that doesn't vote has got.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// Since when it doesn't vote.
    since: Instant,
    /// Last index that it holds, and when that last rose.
    matched: u64,
    rose_at: Option<Instant>,
}

/// A member that doesn't vote.
#[derive(Debug)]
struct Pending {
    progress: Progress,
    /// Step that was last reported, and when.
    step: Step,
    reported_at: Instant,
}

/// A line about a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoteLine {
    /// The member.
    pub member: NodeId,
    /// Level of the line.
    pub level: Level,
    /// Text of the line.
    pub text: String,
}

/// What a leader knows of the members.
pub struct LeaderView<'a, A, C> {
    /// Status of the leader.
    pub status: &'a Status,
    /// What it has noted.
    pub notes: &'a VoteNotes,
    /// What probes of members have shown, also those of others.
    pub presence: BTreeMap<NodeId, Presence>,
    /// Address of a member, if known.
    pub address_of: A,
    /// What is known of the way to a member.
    pub contact: C,
}

impl<A, C> LeaderView<'_, A, C>
where
    A: Fn(NodeId) -> Option<String>,
    C: Fn(NodeId) -> Contact,
{
    /// Voters that don't answer, and nodes that have no vote, with the time since when.
    fn nodes_without_vote(&self, now: Instant) -> BTreeMap<NodeId, Instant> {
        let Self { status, notes, .. } = self;
        let members = &status.membership;
        let mut nodes = BTreeMap::new();
        for id in members.voters.iter().filter(|id| !status.reachable.contains(id)) {
            let ticks = status.silent_ticks.get(id).copied().unwrap_or_default();
            if ticks >= UNHEARD_TICKS {
                nodes.insert(*id, now.checked_sub(TICK * ticks).unwrap_or(now));
            }
        }
        let learners = members.learners.iter().filter(|id| !members.is_voter(**id));
        nodes.extend(learners.map(|id| (*id, now)));
        for (id, request) in &notes.requests {
            let is_recent = now.saturating_duration_since(request.last_at) < REQUEST_LIFETIME;
            let has_vote = members.is_voter(*id) || members.is_retired(*id);
            if !has_vote && (is_recent || members.contains(*id)) {
                nodes.insert(*id, request.first_at);
            }
        }
        nodes
    }

    fn name(&self, id: NodeId) -> String {
        short_name(id, (self.address_of)(id).as_deref())
    }

    /// Why a member may be silent, to be added to a text.
    fn way_to(&self, id: NodeId) -> String {
        let failure = contact_failure((self.contact)(id)).map(|failure| format!(", {failure}"));
        let seen = match self.presence.get(&id) {
            Some(Presence::Listening) => ", probes reach it",
            Some(Presence::Refused) => ", probes refused",
            Some(Presence::Unreachable) => ", no probe reaches it",
            None => "",
        };
        format!("{}{seen}", failure.unwrap_or_default())
    }

    /// Which node could take the place of a voter that doesn't answer.
    fn successor(&self) -> String {
        let status = self.status;
        let learners = status.membership.learners.iter();
        let mut learners = learners.filter(|id| status.reachable.contains(id)).peekable();
        if learners.peek().is_none() {
            return String::from("no learner heard");
        }
        match learners.find(|id| status.caught_up.contains(id)) {
            Some(id) => format!("{} caught up", self.name(*id)),
            None => String::from("no caught-up node"),
        }
    }

    /// What a member waits for, and the text about it. `members_since` is when the index of the members
    /// was first seen.
    fn reason(
        &self,
        now: Instant,
        id: NodeId,
        progress: &Progress,
        members_since: Instant,
    ) -> (Step, String) {
        let Self { status, notes, .. } = self;
        let members = &status.membership;
        let ago = |at: Instant| seconds(now.saturating_duration_since(at));
        if members.is_voter(id) {
            let lost = if status.known_lost.contains(&id) { ", lost disk" } else { "" };
            let (name, way, successor) = (self.name(id), self.way_to(id), self.successor());
            return (Step::VoterHeard, format!("{name}{lost}{way}; {successor}"));
        }
        let request = notes.requests.get(&id);
        let is_learner = members.contains(id);
        let name = match request {
            Some(request) if !is_learner => short_name(id, Some(&request.address)),
            _ => self.name(id),
        };
        let rise = match progress.rose_at {
            Some(at) => format!("rose {} ago", ago(at)),
            None => format!("no rise for {}", ago(progress.since)),
        };
        let held = format!("holds {} of {}, {rise}", progress.matched, status.last_index);
        if is_learner && !status.reachable.contains(&id) {
            let silence = match status.silent_ticks.get(&id) {
                Some(ticks) if progress.matched > 0 => {
                    format!("not heard for {}", seconds(TICK * *ticks))
                }
                _ => String::from("never heard"),
            };
            return (Step::LearnerHeard, format!("{name} {silence}{}, {held}", self.way_to(id)));
        }
        if is_learner && !status.caught_up.contains(&id) {
            return (Step::CaughtUp, format!("{name} {held}"));
        }
        if let Some((at, change)) = notes.change {
            let change = short_change(change, |id| self.name(id));
            return (Step::ChangeEnd, format!("{name} waits for {change} for {}", ago(at)));
        }
        if members.is_joint() || !status.is_membership_committed {
            let state = if members.is_joint() { "joint" } else { "uncommitted" };
            let (index, at) = (status.membership_index, ago(members_since));
            return (
                Step::ChangeEnd,
                format!("{name} waits for members at {index}, {state} for {at}"),
            );
        }
        if let Some((ago, err)) = notes.refusal(now, id) {
            return (Step::Accepted, format!("{name} refused {} ago: {err}", seconds(ago)));
        }
        let heard = || members.voters.iter().filter(|id| status.reachable.contains(id));
        if is_learner && !status.confirmed.contains(&id) {
            let silence = |id: &&NodeId| status.silent_ticks.get(id).copied().unwrap_or_default();
            let slowest = heard().max_by_key(silence).filter(|id| silence(id) > 0);
            let slowest = slowest.map(|id| format!(" by {}", self.name(*id)));
            let text = format!("{name} not confirmed{}", slowest.unwrap_or_default());
            return (Step::Confirmed, text);
        }
        let heard = format!("{} of {} voters heard", heard().count(), members.voters.len());
        match request {
            Some(request) if now.saturating_duration_since(request.last_at) < REQUEST_LIFETIME => {
                let state = if is_learner { "caught up" } else { "asks to join" };
                (Step::Place, format!("{name} {state}, {heard}"))
            }
            Some(request) => {
                (Step::Request, format!("{name} last asked {} ago, {heard}", ago(request.last_at)))
            }
            None => (Step::Request, format!("{name} has not asked, {heard}")),
        }
    }
}

/// The members without a vote, or without an answer, as a leader sees them.
#[derive(Debug)]
pub struct PendingVotes {
    pending: BTreeMap<NodeId, Pending>,
    /// Index of the members, and when it was first seen.
    members: (u64, Instant),
}

impl PendingVotes {
    /// Starts with the status as it is.
    pub fn new(status: &Status, now: Instant) -> Self {
        Self { pending: BTreeMap::new(), members: (status.membership_index, now) }
    }

    /// Reports the voters that don't answer this leader and the nodes that have no vote yet: when
    /// the step changes that is waited for, and each second, or later each ten; at the end, once. Returns nothing on
    /// other members.
    pub fn report<A, C>(&mut self, view: &LeaderView<'_, A, C>, now: Instant) -> Vec<VoteLine>
    where
        A: Fn(NodeId) -> Option<String>,
        C: Fn(NodeId) -> Contact,
    {
        let status = view.status;
        if self.members.0 != status.membership_index {
            self.members = (status.membership_index, now);
        }
        if !status.is_leader() {
            self.pending.clear();
            return Vec::new();
        }
        let waiting = view.nodes_without_vote(now);
        let mut lines = self.take_ended(view, now, &waiting);
        for (id, since) in waiting {
            let matched = status.matched.get(&id).copied().unwrap_or_default();
            let known = self.pending.get(&id);
            let progress = match known.map(|pending| pending.progress) {
                Some(known) if matched > known.matched => {
                    Progress { matched, rose_at: Some(now), ..known }
                }
                Some(known) => Progress { matched, ..known },
                None => Progress { since, matched, rose_at: None },
            };
            let (step, reason) = view.reason(now, id, &progress, self.members.1);
            let age = now.saturating_duration_since(progress.since);
            let interval = match age < REPORT_TIME {
                true => REPORT_INTERVAL,
                false => LATE_REPORT_INTERVAL,
            };
            let reported = known.filter(|pending| {
                let interval = if pending.step == step { interval } else { CHANGE_INTERVAL };
                now.saturating_duration_since(pending.reported_at) < interval
            });
            let reported = reported.map(|pending| (pending.step, pending.reported_at));
            if reported.is_none() {
                let level = if age >= LONG_TIME { Level::Warn } else { Level::Info };
                let what = if step == Step::VoterHeard { "no answer" } else { "no vote" };
                let text = format!("{what} for {}: {reason}", seconds(age));
                lines.push(VoteLine { member: id, level, text });
            }
            let (step, reported_at) = reported.unwrap_or((step, now));
            self.pending.insert(id, Pending { progress, step, reported_at });
        }
        lines
    }

    /// Removes the members that vote again, or that are none any more, and reports the former.
    fn take_ended<A, C>(
        &mut self,
        view: &LeaderView<'_, A, C>,
        now: Instant,
        waiting: &BTreeMap<NodeId, Instant>,
    ) -> Vec<VoteLine>
    where
        A: Fn(NodeId) -> Option<String>,
        C: Fn(NodeId) -> Contact,
    {
        let status = view.status;
        let mut lines = Vec::new();
        self.pending.retain(|id, pending| {
            let is_voter = status.membership.is_voter(*id);
            let was_voter = pending.step == Step::VoterHeard;
            if waiting.contains_key(id) && is_voter == was_voter {
                return true;
            }
            if is_voter && status.reachable.contains(id) {
                let what = if was_voter { "answers again" } else { "has a vote" };
                let after = seconds(now.saturating_duration_since(pending.progress.since));
                let text = format!("{} {what} after {after}", view.name(*id));
                lines.push(VoteLine { member: *id, level: Level::Info, text });
            }
            false
        });
        lines
    }
}
