//! Announces an entry as a relay to the leader, and learns of others from it.

use super::{
    bus::DaemonLinks,
    messages::{LeaderReply, LeaderRequest, ListedRelay},
    paths::Paths,
    placer::LEADER_TIMEOUT,
    settings::GatewaySettings,
    view::View,
};
use kernel::SharedClock;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::sleep;

/// Pause after the first announcement, and after one that failed. While a region starts, the leader
/// doesn't know the other relays yet.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Pause between later announcements, of which each is twice as long as the one before up to this. The
/// leader drops a relay after three that are missing.
const MAX_PAUSE: Duration = Duration::from_secs(10);
/// Timeout for the leader's reply.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(400);

/// Task that announces one entry.
pub(crate) struct RelayAnnouncer {
    pub(crate) settings: Arc<GatewaySettings>,
    /// Address at which the entry takes messages to relay.
    pub(crate) address: SocketAddr,
    pub(crate) links: Arc<DaemonLinks>,
    pub(crate) view: Arc<View>,
    pub(crate) paths: Arc<Paths>,
    pub(crate) clock: SharedClock,
}

impl RelayAnnouncer {
    /// Announces the entry again and again, until the task is aborted. A new leader knows no relays, and asks them about
    /// members that it doesn't reach, so it is told soon.
    pub(crate) async fn run(self) {
        let mut pause = MIN_PAUSE;
        loop {
            let term = self.view.with(|state| state.position.term);
            let is_announced = self.announce().await;
            let announced_at = self.clock.now();
            sleep(MIN_PAUSE).await;
            if !is_announced {
                continue;
            }
            let is_due = || self.clock.now().saturating_duration_since(announced_at) >= pause;
            while !is_due() && self.view.with(|state| state.position.term) == term {
                sleep(MIN_PAUSE).await;
            }
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }

    /// Returns whether the leader has replied.
    async fn announce(&self) -> bool {
        let Some(leader) = self.view.leader(self.clock.now(), LEADER_TIMEOUT) else { return false };
        let own = ListedRelay {
            daemon: self.settings.daemon.clone(),
            data_centre: self.settings.data_centre.clone(),
            address: self.address.to_string(),
        };
        let request = LeaderRequest::AnnounceRelay(own);
        match self.links.request_leader(leader, &request, ANNOUNCEMENT_TIMEOUT).await {
            Ok(LeaderReply::Relays(listed)) => {
                self.paths.add_relays(listed.iter().filter_map(ListedRelay::relay).collect());
                true
            }
            Ok(_) => false,
            // A daemon of an earlier build refuses the request.
            Err(err) => {
                log::debug!("{leader}: relay not announced: {err}");
                false
            }
        }
    }
}
