//! Losses of disks that a leader, or a member without one, finds out about.
//!
//! A daemon that has another id than the voter that was at its address has an empty disk behind it:
//! ids are stored with the log, and never used again. With that knowledge half of an even number of
//! voters can elect a leader, see [`raft::Membership`], and a leader sets the voter aside, see
//! [`raft::joining`].

use super::{
    control::ControlMember,
    members::SILENCE_LIMITS,
    messages::{LeaderReply, LeaderRequest},
    raft_relay::relayed_receiver,
};
use group::{NodeId, Status};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{task::JoinSet, time::sleep};

/// Interval at which a member asks voters that it doesn't hear for their ids: less than the shortest
/// election timeout.
const IDENTIFY_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout for the reply.
const IDENTIFY_TIMEOUT: Duration = Duration::from_millis(400);
/// The same for a request that another member passes on.
const PASSED_IDENTIFY_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of other members that are asked to pass such a request on at once.
const IDENTIFY_RELAYS: usize = 2;

impl ControlMember {
    /// Asks for the ids of the daemons at the addresses of voters while this member leads or knows
    /// no leader, until the task is aborted.
    pub(crate) async fn find_lost_disks(self: Arc<Self>) {
        let mut turn = 0_usize;
        loop {
            sleep(IDENTIFY_INTERVAL).await;
            let status = self.voter().status();
            let mut asked = JoinSet::new();
            let others = self.relay_candidates();
            turn = turn.wrapping_add(IDENTIFY_RELAYS);
            for (id, address) in self.unheard_voters(&status) {
                let control = Arc::clone(&self);
                let first = turn % others.len().max(1);
                let relays = others.iter().cycle().skip(first).take(others.len());
                let relays = relays.copied().filter(|relay| *relay != address);
                let relays: Vec<SocketAddr> = relays.take(IDENTIFY_RELAYS).collect();
                asked.spawn(async move {
                    let own = control.identify(address).await;
                    let found = match own {
                        Some(_) => own,
                        None => control.identify_by_relays(address, relays).await,
                    };
                    (id, address, found)
                });
            }
            for (id, address, found) in asked.join_all().await {
                if let Some(found) = found.filter(|found| *found != id) {
                    log::warn!(member = id; "{address}: the disk of {id} is lost, as {found} is there");
                    self.voter().note_lost_disk(id);
                }
            }
        }
    }

    /// Voters that don't answer a leader, or haven't granted the last request for votes of a member
    /// without one, with their addresses; none on a member that follows a leader or can't be
    /// elected.
    fn unheard_voters(&self, status: &Status) -> Vec<(NodeId, SocketAddr)> {
        let members = &status.membership;
        if (status.leader.is_some() && !status.is_leader()) || !members.is_voter(status.id) {
            return Vec::new();
        }
        let is_silent = |id: &NodeId| match status.is_leader() {
            true => status.silent_ticks.get(id).is_some_and(|t| *t >= SILENCE_LIMITS.lost),
            false => !status.votes.contains_key(id),
        };
        let is_unheard =
            |id: &NodeId| *id != status.id && is_silent(id) && !status.known_lost.contains(id);
        let unheard = members.voters.iter().copied().filter(is_unheard);
        unheard.filter_map(|id| Some((id, self.link_address_of(id)?))).collect()
    }

    /// Id of the member at an address, as other members find it; `None` if none of them does.
    async fn identify_by_relays(
        &self,
        address: SocketAddr,
        relays: Vec<SocketAddr>,
    ) -> Option<NodeId> {
        let request = LeaderRequest::PassIdentify { address: address.to_string() };
        let mut passed = JoinSet::new();
        for relay in relays {
            let (links, request) = (self.shared_links(), request.clone());
            passed.spawn(async move {
                (relay, links.request(relay, &request, PASSED_IDENTIFY_TIMEOUT).await)
            });
        }
        while let Some(replied) = passed.join_next().await {
            match replied {
                Ok((_, Ok(LeaderReply::Identified { id }))) => return Some(id),
                Ok((relay, Ok(_))) => log::debug!("{relay}: {address} isn't reached from there"),
                // It is down, or of an earlier build.
                Ok((relay, Err(err))) => log::debug!("{relay}: {address} not identified: {err}"),
                Err(err) => log::error!("a daemon was not asked to identify another: {err}"),
            }
        }
        None
    }

    /// Handles a request for the id of another member that its sender doesn't reach.
    pub(super) async fn pass_identify(&self, address: &str) -> LeaderReply {
        let known: Vec<SocketAddr> = self.known_voters().collect();
        let Some(receiver) = relayed_receiver(self.links().address(), &known, address) else {
            log::debug!("{address}: not identified, as this is no known voter");
            return self.not_leader();
        };
        let found = self.identify(receiver).await;
        found.map_or_else(|| self.not_leader(), |id| LeaderReply::Identified { id })
    }

    /// Id of the member at an address; `None` if it doesn't tell.
    async fn identify(&self, address: SocketAddr) -> Option<NodeId> {
        let reply = self.links().request(address, &LeaderRequest::Identify, IDENTIFY_TIMEOUT).await;
        match reply {
            Ok(LeaderReply::Identified { id }) => Some(id),
            Ok(_) => None,
            // It is down, or of an earlier build.
            Err(err) => {
                log::debug!("{address}: not identified: {err}");
                None
            }
        }
    }
}
