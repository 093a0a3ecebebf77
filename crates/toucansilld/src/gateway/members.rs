//! Who belongs to the control group: joining it, and admitting others.

use super::{
    control::Control,
    identity,
    messages::{Question, Reply},
};
use crate::control_messages::VoterChange;
use group::{NodeId, Status};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{task::spawn_blocking, time::sleep};

/// Time between two ticks of the consensus: elections take 0.5 s to 1 s.
pub(crate) const TICK: Duration = Duration::from_millis(50);
/// Ticks of silence after which a member may be replaced by a daemon that wants to join:
/// longer than an election, shorter than the time that a successor has to catch up.
const SILENT_TICKS: u32 = 50;
/// Ticks of silence after which a member counts as not heard: two heartbeats and a margin.
pub(crate) const UNHEARD_TICKS: u32 = 6;
/// Pause between two requests to be admitted.
const JOIN_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two looks whether this daemon is still a member.
const MEMBER_PAUSE: Duration = Duration::from_millis(1_000);
/// Longest wait for the answer to a request to be admitted.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Members that a group needs so that this many disks may be lost at once: the survivors
/// must be a majority.
pub(crate) fn members_for(tolerated_losses: usize) -> usize {
    2 * tolerated_losses + 1
}

/// What admitting a daemon takes; `None` if it is a member already.
///
/// It replaces a former member at the same address, whose disk is lost. If the group has
/// all members that it needs, it replaces one that has been silent for long. Otherwise it
/// is added.
pub(crate) fn change_for(
    status: &Status,
    address_of: impl Fn(NodeId) -> Option<String>,
    needed: usize,
    id: NodeId,
    address: &str,
) -> Option<VoterChange> {
    let members = &status.membership;
    if members.is_voter(id) {
        return None;
    }
    let former = members.nodes().find(|n| *n != id && address_of(*n).as_deref() == Some(address));
    let silent = || {
        let silent = status.silent_ticks.iter().filter(|(_, ticks)| **ticks >= SILENT_TICKS);
        let silent = silent.filter(|(node, _)| members.is_voter(**node));
        silent.max_by_key(|(_, ticks)| **ticks).map(|(node, _)| *node)
    };
    let replaced = former.or_else(|| silent().filter(|_| members.voters.len() >= needed));
    let address = address.to_owned();
    Some(match replaced {
        Some(old) => VoterChange::Replace { old, new: id, address },
        None => VoterChange::Add { id, address },
    })
}

impl Control {
    /// Admits a daemon, one at a time. It asks again until it is a member.
    pub(crate) async fn admit(self: &Arc<Self>, id: NodeId, address: String) -> Reply {
        let status = self.voter().status();
        if !status.is_leader() {
            return self.not_leader();
        }
        if status.membership.retired.contains(&id) {
            return Reply::Retired;
        }
        let needed = members_for(self.settings().tolerated_losses);
        let address_of = |id| self.voter().address_of(id);
        let change = change_for(&status, address_of, needed, id, &address);
        let Some(change) = change else { return Reply::Admitted };
        let Some(_turn) = self.take_admission_turn() else { return Reply::Admitted };
        log::info!(member = id, address = address.as_str(), change:? = change; "member admitted");
        let voter = Arc::clone(self.voter());
        match spawn_blocking(move || voter.admit(change)).await {
            Ok(Ok(())) => log::info!(member = id; "member has joined"),
            Ok(Err(err)) => log::warn!(member = id; "member has not joined: {err}"),
            Err(err) => log::error!(member = id; "admission failed: {err}"),
        }
        Reply::Admitted
    }

    /// Joins the group, and joins again if this daemon was removed while it was away.
    /// Returns when the process has to start anew under another id.
    pub(crate) async fn stay_member(self: Arc<Self>) {
        loop {
            let status = self.voter().status();
            if status.lost_disk {
                return self.forget_member("its disk was lost");
            }
            if status.membership.is_voter(status.id) {
                sleep(MEMBER_PAUSE).await;
                continue;
            }
            if self.ask_to_join(status.id).await {
                return self.forget_member("its id was removed from the group");
            }
            sleep(JOIN_PAUSE).await;
        }
    }

    /// Asks the leader, if there is one. Returns whether the id is retired.
    async fn ask_to_join(&self, id: NodeId) -> bool {
        let Some(leader) = self.known_leader() else { return false };
        let address = self.bus().address().to_string();
        let answer = self.bus().ask(leader, &Question::Admit { id, address }, JOIN_TIMEOUT).await;
        match answer {
            Ok(Reply::Retired) => true,
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

    fn forget_member(&self, reason: &str) {
        log::warn!("this member starts anew: {reason}");
        self.voter().stop();
        if let Err(err) = identity::forget(self.settings()) {
            log::error!("the data folder was not emptied: {err}");
        }
    }
}
