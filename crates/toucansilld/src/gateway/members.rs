//! Membership of the control group: joining it and admitting other daemons.

use super::{
    control::ControlMember,
    identity,
    messages::{LeaderReply, LeaderRequest},
};
use group::{
    MembershipChange, NodeId, Status,
    joining::{GroupView, next_join_step, surplus_voter},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{task::spawn_blocking, time::sleep};

/// Interval of Raft ticks. With it, elections take 0.5 s to 1 s.
pub(crate) const TICK: Duration = Duration::from_millis(50);
/// Ticks of silence after which a joining daemon may replace a member: longer than an election,
/// shorter than the time that a successor has to catch up.
const REPLACE_AFTER_SILENT_TICKS: u32 = 50;
/// Ticks of silence after which the gauges count a member as not heard: two heartbeats and a
/// margin.
pub(crate) const UNHEARD_TICKS: u32 = 6;
/// Interval between requests to join.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a member checks that it still is one.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Timeout for the reply to a request to join.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of members that a group needs to survive the loss of this many disks at once: the
/// remaining members must be a majority.
pub(crate) fn members_for(tolerated_losses: usize) -> usize {
    2 * tolerated_losses + 1
}

/// Calls `f` with the leader's view of its group.
fn with_group_view<T>(
    status: &Status,
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
        replace_after_ticks: REPLACE_AFTER_SILENT_TICKS,
    })
}

/// Whether an id was removed for good. Before the change is committed, it may still be replaced.
fn is_retired(status: &Status, id: NodeId) -> bool {
    status.membership.retired.contains(&id) && status.is_membership_committed
}

impl ControlMember {
    /// Makes the next changes on a daemon's way into the group. The daemon repeats its request until it
    /// is a member, so that one that has gone is not promoted.
    pub(crate) async fn admit(self: &Arc<Self>, id: NodeId, address: String) -> LeaderReply {
        let Some(_guard) = self.try_start_membership_change() else {
            return LeaderReply::JoinPending;
        };
        // A removed voter and the promotion of its successor follow each other without a pause.
        loop {
            let status = self.voter().status();
            if !status.is_leader() {
                return self.not_leader();
            }
            if is_retired(&status, id) {
                return LeaderReply::Retired;
            }
            let step = self.with_view(&status, |view| next_join_step(view, id, &address));
            let Some(change) = step else { return LeaderReply::JoinPending };
            log::info!(member = id, address = address.as_str(), change:? = change; "member admitted");
            if change == MembershipChange::AddLearner(id) {
                self.voter().learn_address(id, address.clone());
            }
            if let Err(err) = self.change_members(change).await {
                log::warn!(member = id, change:? = change; "member has not joined: {err}");
                return LeaderReply::JoinPending;
            }
            if change == MembershipChange::Promote(id) {
                log::info!(member = id; "member has joined");
            }
        }
    }

    /// Removes a member that is one too many and doesn't answer, as its process ended before it could
    /// leave.
    async fn remove_surplus(self: &Arc<Self>, status: &Status) {
        let Some(id) = self.with_view(status, surplus_voter) else { return };
        let Some(_guard) = self.try_start_membership_change() else { return };
        let members = status.membership.voters.len();
        let silent_ticks = status.silent_ticks.get(&id).copied().unwrap_or_default();
        log::warn!(member = id, members, silent_ticks; "surplus member removed");
        if let Err(err) = self.change_members(MembershipChange::Remove(id)).await {
            log::warn!(member = id; "surplus member not removed: {err}");
        }
    }

    /// Calls `f` with the leader's view of the group.
    fn with_view<T>(&self, status: &Status, f: impl FnOnce(GroupView<'_>) -> T) -> T {
        let address_of = |id| self.voter().address_of(id);
        with_group_view(status, address_of, self.settings().tolerated_losses, f)
    }

    /// Makes a membership change, and waits until it is committed.
    async fn change_members(&self, change: MembershipChange) -> group::Result<()> {
        let voter = Arc::clone(self.voter());
        let changed = spawn_blocking(move || voter.change_members(change)).await;
        changed.unwrap_or_else(|err| std::panic::resume_unwind(err.into_panic()))
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
                    self.remove_surplus(&status).await;
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

    /// Requests to join, if a leader is known. Returns whether the id is retired.
    async fn request_join(&self, id: NodeId) -> bool {
        let Some(leader) = self.known_leader() else { return false };
        let address = self.links().address().to_string();
        let reply =
            self.links().request(leader, &LeaderRequest::Join { id, address }, JOIN_TIMEOUT).await;
        match reply {
            Ok(LeaderReply::Retired) => true,
            Ok(_) => false,
            Err(err) => {
                log::debug!("{leader}: not admitted yet: {err}");
                false
            }
        }
    }

    fn known_leader(&self) -> Option<SocketAddr> {
        self.view().with(|state| state.leader)
    }

    /// Stops the voter and empties its data folder.
    fn discard_member(&self, reason: &str) {
        log::warn!("this member starts anew: {reason}");
        self.voter().stop();
        if let Err(err) = identity::discard(self.settings()) {
            log::error!("the data folder was not emptied: {err}");
        }
    }
}
