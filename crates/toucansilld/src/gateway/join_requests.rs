//! Requests of a daemon to join the control group, also by way of others if it doesn't reach the leader.

use super::{
    control::ControlMember,
    messages::{LeaderReply, LeaderRequest},
    raft_relay::REFUSED_PAUSE,
    votes::join_answer,
};
use crate::sync::lock;
use group::NodeId;
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};
use tokio::task::JoinSet;

/// Timeout for the reply to a request to join.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);
/// The same for a request that another daemon passes on.
const PASSED_JOIN_TIMEOUT: Duration = Duration::from_millis(600);
/// Number of daemons that are asked at once to pass a request to join on.
const JOIN_RELAYS: usize = 2;

impl ControlMember {
    /// Requests to join, of the leader if one is known that answers, or by way of other daemons. Returns whether
    /// the id is retired.
    pub(super) async fn request_join(&self, id: NodeId) -> bool {
        let address = self.links().address().to_string();
        if let Some(leader) = self.known_leader() {
            let request = LeaderRequest::Join { id, address: address.clone() };
            let reply = self.links().request(leader, &request, JOIN_TIMEOUT).await;
            self.note_join_answer(&reply);
            match reply {
                Ok(LeaderReply::Retired) => return true,
                Ok(LeaderReply::ChangePending) => return false,
                Ok(_) => {}
                Err(err) => log::debug!("{leader}: not admitted yet: {err}"),
            }
        }
        self.request_join_by_relays(id, address).await
    }

    /// Has other daemons pass a request to join to the leader that they know. Returns whether the id is retired.
    async fn request_join_by_relays(&self, id: NodeId, address: String) -> bool {
        let own = self.links().address();
        let is_reached = |other: &SocketAddr| self.links().reaches(*other);
        // A learner gets the addresses of all voters with the first message of the leader.
        let mut known: BTreeSet<SocketAddr> = self.other_control_daemons().into_iter().collect();
        known.extend(self.known_voters().filter(|address| *address != own));
        let (mut candidates, unreached): (Vec<_>, Vec<_>) = known.into_iter().partition(is_reached);
        if candidates.is_empty() {
            candidates = unreached;
        }
        let relays = lock(self.join_relays()).choose(own, &candidates, JOIN_RELAYS, self.now());
        let request = LeaderRequest::PassJoin { id, address };
        let mut passed = JoinSet::new();
        for relay in relays {
            let (links, request) = (self.shared_links(), request.clone());
            passed.spawn(async move {
                (relay, links.request(relay, &request, PASSED_JOIN_TIMEOUT).await)
            });
        }
        while let Some(replied) = passed.join_next().await {
            if let Ok((_, reply)) = &replied {
                self.note_join_answer(reply);
            }
            match replied {
                Ok((_, Ok(LeaderReply::Retired))) => return true,
                Ok((_, Ok(LeaderReply::ChangePending))) => return false,
                Ok((relay, Ok(_))) => log::debug!("{relay}: knows no leader that answers"),
                Ok((relay, Err(err))) => {
                    log::debug!("{relay}: not admitted yet: {err}");
                    // It is of an earlier build.
                    if err.is_refused() {
                        let until = self.now() + REFUSED_PAUSE;
                        lock(self.join_relays()).pause(own, relay, until);
                    }
                }
                Err(err) => log::error!("a daemon was not asked to pass a request on: {err}"),
            }
        }
        false
    }

    /// Notes what was answered to a request to join.
    fn note_join_answer(&self, reply: &wire::Result<LeaderReply>) {
        let answer = reply.as_ref().map_or_else(ToString::to_string, join_answer);
        self.note_vote(|notes, now| notes.answered(now, &answer));
    }

    /// Handles a request to join that its sender couldn't send to the leader.
    pub(super) async fn pass_join(self: &Arc<Self>, id: NodeId, address: String) -> LeaderReply {
        let status = self.voter().status();
        if status.is_leader() {
            return self.admit(id, address).await;
        }
        let leader = status.leader.and_then(|id| self.link_address_of(id));
        let Some(leader) = leader.or_else(|| self.known_leader()) else {
            return self.not_leader();
        };
        match self.links().request(leader, &LeaderRequest::Join { id, address }, JOIN_TIMEOUT).await
        {
            Ok(reply) => reply,
            Err(err) => {
                log::debug!("{leader}: request to join not passed on: {err}");
                self.not_leader()
            }
        }
    }
}
