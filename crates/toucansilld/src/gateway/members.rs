//! Membership of the control group: joining it, admitting other daemons, and leaving it.

use super::{
    bus::DaemonLinks,
    control::ControlMember,
    group_report, identity,
    messages::{LeaderReply, LeaderRequest},
};
use group::{
    MembershipChange, NodeId, Status,
    joining::{
        GroupView, LeaveStep, Presence, SilenceLimits, needs_presence, next_join_step,
        next_leave_step, next_upkeep_step,
    },
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    task::{JoinSet, spawn_blocking},
    time::sleep,
};
use wire::ProbeOutcome;

/// Interval of Raft ticks. With it, elections take 0.5 s to 1 s.
pub(crate) const TICK: Duration = Duration::from_millis(50);
/// Ticks of silence after which members may be replaced: 0.3 s, 1 s, 30 s and 5 min. Each leader
/// counts them anew, so a leader has to last this long.
///
/// A voter that answers is heard within `lost`. Most members that restart are back within `absent`,
/// and a successor still has its vote within 4 s of its start, also if the leader was lost together
/// with its predecessor. A process that has been suspended for `listening` isn't expected to come
/// back by itself.
pub(super) const SILENCE_LIMITS: SilenceLimits =
    SilenceLimits { lost: 6, absent: 20, listening: 600, forgotten: 6_000 };
/// Ticks of silence after which the gauges count a member as not heard: two heartbeats and a
/// margin.
pub(crate) const UNHEARD_TICKS: u32 = 6;
/// Time for which the result of a probe is used. A suspended process accepts no connection, and its
/// queue of new ones must not fill up.
const PRESENCE_LIFETIME: Duration = Duration::from_secs(1);
/// Maximum number of entries that are asked about a member that doesn't answer.
const ENTRY_WITNESSES: usize = 3;
/// Interval between requests to join.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a member checks that it still is one and, if it leads, whether there is one
/// too many.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for the reply to a request to leave, which comes when the removal is committed.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between requests to leave.
const LEAVE_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a member that has no successor stops without a reply: the others may be
/// stopping as well. Longer than most elections.
const LEADERLESS_LEAVE_TIME: Duration = Duration::from_secs(2);
/// Time for which nobody is admitted once a member was told that it may stop. By then the leader
/// has noticed that the member is silent.
const HOLD_OFF: Duration = Duration::from_millis(600);

/// Number of members that a group needs to survive the loss of this many disks at once: the
/// remaining members must be a majority.
pub(crate) fn members_for(tolerated_losses: usize) -> usize {
    2 * tolerated_losses + 1
}

/// Number of voters below which none is set aside; with them, a group survives these losses if each
/// is known. See [`GroupView::min_voters`].
pub(crate) fn least_voters_for(tolerated_losses: usize) -> usize {
    (2 * tolerated_losses).max(1)
}

/// Calls `f` with the leader's view of its group.
fn with_group_view<T>(
    status: &Status,
    presence: &BTreeMap<NodeId, Presence>,
    address_of: impl Fn(NodeId) -> Option<String>,
    tolerated_losses: usize,
    f: impl FnOnce(GroupView<'_>) -> T,
) -> T {
    let nodes = status.membership.nodes();
    f(GroupView {
        members: &status.membership,
        silent_ticks: &status.silent_ticks,
        reachable: &status.reachable,
        caught_up: &status.caught_up,
        confirmed: &status.confirmed,
        addresses: &nodes.filter_map(|id| Some((id, address_of(id)?))).collect(),
        target_voters: members_for(tolerated_losses),
        presence,
        known_lost: &status.known_lost,
        limits: SILENCE_LIMITS,
    })
}

/// What is known of the daemon at an address that doesn't answer this one.
async fn presence_at(
    links: Arc<DaemonLinks>,
    address: SocketAddr,
    witnesses: Vec<SocketAddr>,
) -> Presence {
    let own = match links.probe(address).await {
        ProbeOutcome::Accepted => return Presence::Listening,
        ProbeOutcome::Refused => Presence::Refused,
        ProbeOutcome::NoResponse => Presence::Unreachable,
    };
    let mut seen = JoinSet::new();
    for witness in witnesses {
        let links = Arc::clone(&links);
        seen.spawn(async move { links.is_seen_by(witness, address).await });
    }
    match seen.join_all().await.contains(&true) {
        true => Presence::Listening,
        false => own,
    }
}

/// Whether an id was removed for good. Before the change is committed, it may still be replaced.
fn is_retired(status: &Status, id: NodeId) -> bool {
    status.membership.is_retired(id) && status.is_membership_committed
}

impl ControlMember {
    /// Makes the next changes on a daemon's way into the group. The daemon repeats its request
    /// until it is a member, so that one that has gone is not promoted.
    pub(crate) async fn admit(self: &Arc<Self>, id: NodeId, address: String) -> LeaderReply {
        self.note_vote(|notes, now| notes.asked(now, id, &address));
        // A member may join at its former address meanwhile.
        let presence = self.presence_for(id, &address).await;
        let Some(_guard) = self.try_start_membership_change() else {
            return LeaderReply::ChangePending;
        };
        if self.has_just_kept_member(HOLD_OFF) {
            return LeaderReply::ChangePending;
        }
        // The changes follow each other without a pause.
        loop {
            let status = self.voter().status();
            if !status.is_leader() {
                return self.not_leader();
            }
            if is_retired(&status, id) {
                return LeaderReply::Retired;
            }
            let step =
                self.with_view(&status, &presence, |view| next_join_step(view, id, &address));
            let Some(change) = step else { return LeaderReply::ChangePending };
            let text = group_report::proposed_change(change, &status, &address, |id| {
                self.voter().address_of(id)
            });
            log::info!(
                member = id, address = address.as_str(), change:? = change;
                "member admitted: {text}{}", group_report::probed(&presence)
            );
            match change {
                MembershipChange::AddLearner(id) => {
                    self.voter().learn_address(id, address.clone());
                }
                MembershipChange::Exchange { old, .. }
                    if self.voter().address_of(old).as_ref() == Some(&address) =>
                {
                    self.voter().note_lost_disk(old);
                }
                _ => {}
            }
            if let Err(err) = self.change_members(change).await {
                log::warn!(member = id, change:? = change; "member has not joined: {err}");
                return LeaderReply::ChangePending;
            }
            let has_vote = matches!(
                change,
                MembershipChange::Promote(_)
                    | MembershipChange::Exchange { .. }
                    | MembershipChange::ExchangeTwo { .. }
            );
            if has_vote {
                log::info!(member = id; "member has joined");
            }
        }
    }

    /// Makes the next changes for a member that is about to stop: removes it if its successor has
    /// joined, or takes its vote if another member is absent that may come back. The member repeats
    /// its request until it may stop.
    pub(crate) async fn release(self: &Arc<Self>, id: NodeId, address: &str) -> LeaderReply {
        let status = self.voter().status();
        if !status.is_leader() {
            return self.not_leader();
        }
        if is_retired(&status, id) {
            return LeaderReply::Retired;
        }
        let Some(_guard) = self.try_start_membership_change() else {
            return LeaderReply::ChangePending;
        };
        let leave_step = |view: GroupView<'_>| next_leave_step(view, id, address);
        // The changes follow each other without a pause: once its successor has been promoted, the
        // group must not remove another member than this one as surplus.
        loop {
            let status = self.voter().status();
            let change = match self.with_view(&status, &BTreeMap::new(), leave_step) {
                _ if !status.is_leader() => return self.not_leader(),
                LeaveStep::Change(change) => change,
                LeaveStep::Wait => return LeaderReply::ChangePending,
                LeaveStep::Keep => {
                    self.member_kept();
                    return LeaderReply::Retained;
                }
            };
            if let Err(err) = self.change_members(change).await {
                log::warn!(member = id, change:? = change; "member has not left: {err}");
                return LeaderReply::ChangePending;
            }
            let text = group_report::planned_leave(change, id, |id| self.voter().address_of(id));
            log::info!(member = id, change:? = change; "member leaves: {text}");
            if change == MembershipChange::Remove(id) {
                return LeaderReply::ChangePending;
            }
        }
    }

    /// Makes the changes of the members that are due without a request, such as for a member that
    /// is one too many, as its process ended before it could leave.
    async fn keep_up(self: &Arc<Self>, status: &Status) {
        let unknown = BTreeMap::new();
        let presence = match self.with_view(status, &unknown, needs_presence) {
            true => self.probe_silent_voters(status).await,
            false => unknown,
        };
        let Some(_guard) = self.try_start_membership_change() else { return };
        let status = self.voter().status();
        if !status.is_leader() {
            return;
        }
        let Some(change) = self.with_view(&status, &presence, next_upkeep_step) else { return };
        let (what, sign, ids) = match change {
            MembershipChange::Demote(id) if status.known_lost.contains(&id) => {
                ("disk lost", "set aside ", vec![id])
            }
            MembershipChange::Demote(id) => ("surplus member removed", "-", vec![id]),
            MembershipChange::DemoteTwo(ids) => ("surplus member removed", "-", ids.to_vec()),
            MembershipChange::Remove(id) => ("former member removed", "-", vec![id]),
            other => return log::error!("{other:?} isn't made without a request"),
        };
        let members = status.membership.voters.len();
        for id in ids {
            let silent_ticks = status.silent_ticks.get(&id).copied().unwrap_or_default();
            let address = self.voter().address_of(id);
            log::warn!(
                member = id, members, silent_ticks;
                "{what}: {sign}{}, {}{}",
                group_report::short_name(id, address.as_deref()),
                group_report::silence(&status, id),
                group_report::probed(&presence)
            );
        }
        if let Err(err) = self.change_members(change).await {
            log::warn!(change:? = change; "{what}: not done: {err}");
        }
    }

    /// What is to be known of silent voters before a node joins; empty if it needn't be known.
    async fn presence_for(&self, id: NodeId, address: &str) -> BTreeMap<NodeId, Presence> {
        let status = self.voter().status();
        let unknown = BTreeMap::new();
        if self.try_start_membership_change().is_none() {
            return unknown;
        }
        let has_step =
            self.with_view(&status, &unknown, |view| next_join_step(view, id, address)).is_some();
        match status.membership.learners.contains(&id) && !has_step {
            true => self.probe_silent_voters(&status).await,
            false => unknown,
        }
    }

    /// Probes the voters that don't answer this leader, and has others do so. A voter whose address
    /// isn't known counts as unreachable.
    async fn probe_silent_voters(&self, status: &Status) -> BTreeMap<NodeId, Presence> {
        // Several nodes may wait for the same probes.
        let mut probed = self.probed().lock().await;
        let is_silent =
            |id: &NodeId| status.membership.is_voter(*id) && !status.reachable.contains(id);
        let now = self.now();
        probed.retain(|id, (at, _)| {
            is_silent(id) && now.saturating_duration_since(*at) < PRESENCE_LIFETIME
        });
        let voters = status.membership.voters.iter().copied();
        let unknown: Vec<NodeId> =
            voters.filter(|id| is_silent(id) && !probed.contains_key(id)).collect();
        let witnesses = self.witnesses(status);
        let mut probes = JoinSet::new();
        for id in unknown {
            let address = self.link_address_of(id);
            let (links, witnesses) = (self.shared_links(), witnesses.clone());
            probes.spawn(async move {
                let presence = match address {
                    Some(address) => presence_at(links, address, witnesses).await,
                    None => Presence::Unreachable,
                };
                (id, presence)
            });
        }
        let found = probes.join_all().await;
        let now = self.now();
        probed.extend(found.into_iter().map(|(id, presence)| (id, (now, presence))));
        probed.iter().map(|(id, (_, presence))| (*id, *presence)).collect()
    }

    /// Link addresses of the other members that answer, and of a few entries. These may reach a
    /// member that is cut off from this one.
    fn witnesses(&self, status: &Status) -> Vec<SocketAddr> {
        let members = status.reachable.iter().filter(|id| **id != status.id);
        let members = members.filter_map(|id| self.link_address_of(*id));
        let entries = self.with_leader(|leader| leader.some_relays(ENTRY_WITNESSES));
        // All daemons use the same port for links.
        let port = self.links().address().port();
        let entries = entries.unwrap_or_default().into_iter();
        members.chain(entries.map(|relay| SocketAddr::new(relay.ip(), port))).collect()
    }

    pub(super) fn link_address_of(&self, id: NodeId) -> Option<SocketAddr> {
        self.voter().address_of(id)?.parse().ok()
    }

    /// Calls `f` with the leader's view of the group, and what was found out about silent voters.
    fn with_view<T>(
        &self,
        status: &Status,
        presence: &BTreeMap<NodeId, Presence>,
        f: impl FnOnce(GroupView<'_>) -> T,
    ) -> T {
        let address_of = |id| self.voter().address_of(id);
        with_group_view(status, presence, address_of, self.settings().tolerated_losses, f)
    }

    /// Makes a membership change, and waits until it is committed. The error says what is wrong.
    async fn change_members(&self, change: MembershipChange) -> Result<(), String> {
        let voter = Arc::clone(self.voter());
        self.note_vote(|notes, now| notes.change_started(now, change));
        let changed = match spawn_blocking(move || voter.change_members(change)).await {
            Ok(changed) => changed.map_err(|err| err.to_string()),
            Err(err) => Err(format!("the change was not made: {err}")),
        };
        let error = changed.as_ref().err().map(String::as_str);
        self.note_vote(|notes, now| notes.change_ended(now, error));
        changed
    }

    /// Leaves the group before this daemon stops, if its successor has joined: otherwise the group
    /// would go on counting a vote that is never cast. Returns whether it has left. It stays a
    /// member if it has no successor, or if the group doesn't reply until `deadline`.
    pub(crate) async fn leave(self: &Arc<Self>, deadline: Instant) -> bool {
        let started = self.now();
        loop {
            let status = self.voter().status();
            let reply = self.request_leave(&status).await;
            let now = self.now();
            let without_leader = now.saturating_duration_since(started) >= LEADERLESS_LEAVE_TIME;
            match reply {
                Some(LeaderReply::Retired) => return true,
                Some(LeaderReply::Retained) => return false,
                None if without_leader && !self.has_surplus(&status) => return false,
                _ if now >= deadline => {
                    log::warn!(member = status.id; "this member stops, and the group still counts it");
                    return false;
                }
                _ => sleep(LEAVE_RETRY_INTERVAL).await,
            }
        }
    }

    /// Whether the group has more voters than it should have, as far as this member knows.
    fn has_surplus(&self, status: &Status) -> bool {
        status.membership.voters.len() > members_for(self.settings().tolerated_losses)
    }

    /// Requests to leave, of the leader that the voter knows; `None` without one.
    async fn request_leave(self: &Arc<Self>, status: &Status) -> Option<LeaderReply> {
        let address = self.links().address().to_string();
        if status.is_leader() {
            return Some(self.release(status.id, &address).await);
        }
        // A leader sends nothing to a member that it is removing, so the voter may have forgotten
        // it.
        let leader = status.leader.and_then(|id| self.voter().address_of(id)?.parse().ok());
        let leader: SocketAddr = leader.or_else(|| self.known_leader())?;
        let request = LeaderRequest::Leave { id: status.id, address };
        match self.links().request_leader(leader, &request, LEAVE_TIMEOUT).await {
            Ok(LeaderReply::NotLeader { .. }) => None,
            Ok(reply) => Some(reply),
            // A daemon of an earlier build refuses the request.
            Err(err) if err.is_refused() => Some(LeaderReply::Retained),
            Err(err) => {
                log::warn!("{leader}: not released yet: {err}");
                None
            }
        }
    }

    /// Joins the group, and joins again if this daemon was removed while it was down or cut off.
    /// Returns when this daemon's id can't be used any more, as the process then has to restart and
    /// get another, or when its voter has failed.
    pub(crate) async fn maintain_membership(self: Arc<Self>) {
        loop {
            let status = self.voter().status();
            if let Some(failure) = status.failure {
                return log::error!("this daemon stops, as its voter has: {failure}");
            }
            if status.lost_disk {
                return self.discard_member("its disk was lost");
            }
            // A member that knows no leader may have been removed: nobody informs it of that.
            if status.membership.is_voter(status.id) && status.leader.is_some() {
                if status.is_leader() {
                    self.keep_up(&status).await;
                }
                sleep(MEMBERSHIP_CHECK_INTERVAL).await;
                continue;
            }
            if self.request_join(status.id).await {
                return self.discard_member("its id was removed from the group");
            }
            sleep(JOIN_RETRY_INTERVAL).await;
        }
    }

    /// Link address of the leader that this daemon follows.
    pub(super) fn known_leader(&self) -> Option<SocketAddr> {
        self.view().with(|state| state.leader)
    }

    /// Stops the voter and empties its data folder.
    pub(crate) fn discard_member(&self, reason: &str) {
        log::warn!("this member starts anew: {reason}");
        self.voter().stop();
        if let Err(err) = identity::discard(self.settings()) {
            log::error!("the data folder was not emptied: {err}");
        }
    }
}
