//! Registrations of upstreams that say nothing new, as members of the control group that don't lead
//! handle them.
//!
//! Upstreams repeat their registrations at any member, so with thousands of upstreams the leader would
//! get thousands of messages a second. A member that has the same registration in its view answers it
//! itself, and tells the leader of many in one message.

use super::{
    bus::DaemonLinks,
    messages::{LeaderReply, LeaderRequest, RefreshedUpstream},
    placer::LEADER_TIMEOUT,
    view::View,
};
use crate::sync::lock;
use grant::Registration;
use kernel::SharedClock;
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{sync::Notify, time::sleep};
use wire::UpstreamId;

/// Time for which registrations are collected into one message: short beside the time after which a
/// silent upstream is avoided.
const COLLECTION_TIME: Duration = Duration::from_millis(200);
/// Timeout for the leader's reply.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(500);

/// Registrations that this member has answered and the leader has yet to be told of.
pub(crate) struct Refreshes {
    state: Mutex<State>,
    has_new: Notify,
    view: Arc<View>,
    clock: SharedClock,
}

#[derive(Default)]
struct State {
    collected: Vec<RefreshedUpstream>,
    /// Upstreams whose whole registrations the leader needs.
    unknown: BTreeSet<UpstreamId>,
    /// Leader that refuses such messages: a daemon of an earlier build.
    refusing: Option<SocketAddr>,
}

impl Refreshes {
    /// Creates an empty collection.
    pub(crate) fn new(view: Arc<View>, clock: SharedClock) -> Arc<Self> {
        Arc::new(Self { state: Mutex::default(), has_new: Notify::new(), view, clock })
    }

    /// Takes over a registration that says nothing new. Returns false if the leader needs it whole,
    /// or none is known.
    pub(crate) fn take_over(&self, registration: &Registration) -> bool {
        let Some(leader) = self.view.leader(self.clock.now(), LEADER_TIMEOUT) else { return false };
        if !self.view.with(|state| state.directory.is_refresh(registration)) {
            return false;
        }
        let mut state = lock(&self.state);
        if state.refusing == Some(leader) || state.unknown.remove(&registration.id) {
            return false;
        }
        state.collected.push(RefreshedUpstream {
            upstream: registration.id.clone(),
            started_at_ms: registration.started_at_ms,
            sequence: registration.sequence,
        });
        self.has_new.notify_one();
        true
    }

    /// Tells the leader of what was collected, until the task is aborted. What is lost on the way is
    /// repeated by the upstreams.
    pub(crate) async fn send(self: Arc<Self>, links: Arc<DaemonLinks>) {
        loop {
            self.has_new.notified().await;
            sleep(COLLECTION_TIME).await;
            let collected = std::mem::take(&mut lock(&self.state).collected);
            let count = collected.len();
            let Some(leader) = self.view.leader(self.clock.now(), LEADER_TIMEOUT) else {
                log::debug!(count = count; "registrations not passed on: no leader");
                continue;
            };
            let request = LeaderRequest::RefreshUpstreams(collected);
            match links.request_leader(leader, &request, REFRESH_TIMEOUT).await {
                Ok(LeaderReply::UpstreamsRefreshed { unknown }) => {
                    lock(&self.state).unknown.extend(unknown);
                }
                Ok(_) => log::debug!("{leader}: registrations not passed on: it leads no more"),
                Err(err) => {
                    log::debug!("{leader}: registrations not passed on: {err}");
                    if err.is_refused() {
                        lock(&self.state).refusing = Some(leader);
                    }
                }
            }
        }
    }
}
