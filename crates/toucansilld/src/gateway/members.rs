//! Membership of the control group: joining it and admitting other daemons.

use super::{
    control::ControlMember,
    identity,
    messages::{LeaderReply, LeaderRequest},
};
use crate::control_messages::VoterChange;
use group::{
    NodeId, Status,
    joining::{GroupView, JoinAction, plan_join, surplus_voter},
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
        addresses: &nodes.filter_map(|id| Some((id, address_of(id)?))).collect(),
        target_voters: members_for(tolerated_losses),
        replace_after_ticks: REPLACE_AFTER_SILENT_TICKS,
    })
}

/// Whether an id was removed for good. The membership may come from a log entry that is not
/// committed yet and may still be replaced, so all entries have to be committed.
fn is_retired(status: &Status, id: NodeId) -> bool {
    status.membership.retired.contains(&id) && status.commit >= status.last_index
}

impl ControlMember {
    /// Admits a daemon to the group, one at a time. The daemon repeats its request until it is a
    /// member.
    pub(crate) async fn admit(self: &Arc<Self>, id: NodeId, address: String) -> LeaderReply {
        let status = self.voter().status();
        if !status.is_leader() {
            return self.not_leader();
        }
        if is_retired(&status, id) {
            return LeaderReply::Retired;
        }
        let address_of = |id| self.voter().address_of(id);
        let losses = self.settings().tolerated_losses;
        let action =
            with_group_view(&status, address_of, losses, |view| plan_join(view, id, &address));
        let change = match action {
            None => return LeaderReply::JoinPending,
            Some(JoinAction::Add) => VoterChange::Add { id, address: address.clone() },
            Some(JoinAction::Replace(old)) => {
                VoterChange::Replace { old, new: id, address: address.clone() }
            }
        };
        let Some(_guard) = self.try_start_membership_change() else {
            return LeaderReply::JoinPending;
        };
        log::info!(member = id, address = address.as_str(), change:? = change; "member admitted");
        let voter = Arc::clone(self.voter());
        match spawn_blocking(move || voter.change_voters(change)).await {
            Ok(Ok(())) => log::info!(member = id; "member has joined"),
            Ok(Err(err)) => log::warn!(member = id; "member has not joined: {err}"),
            Err(err) => log::error!(member = id; "admission failed: {err}"),
        }
        LeaderReply::JoinPending
    }

    /// Removes a member that is one too many, because the leader changed while it was being
    /// replaced.
    async fn remove_surplus(self: &Arc<Self>, status: &Status) {
        let address_of = |id| self.voter().address_of(id);
        let surplus =
            with_group_view(status, address_of, self.settings().tolerated_losses, surplus_voter);
        let Some(id) = surplus else { return };
        let Some(_guard) = self.try_start_membership_change() else { return };
        let members = status.membership.voters.len();
        let silent_ticks = status.silent_ticks.get(&id).copied().unwrap_or_default();
        log::warn!(member = id, members, silent_ticks; "surplus member removed");
        let voter = Arc::clone(self.voter());
        match spawn_blocking(move || voter.change_voters(VoterChange::Remove { id })).await {
            Ok(Ok(())) => {}
            Ok(Err(err)) => log::warn!(member = id; "surplus member not removed: {err}"),
            Err(err) => log::error!(member = id; "removal failed: {err}"),
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
