//! Daemons that send requests on for others, which have lost their paths to the upstreams.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};
use wire::{DaemonId, DataCentreId};

/// Number of relays in its own data centre that a daemon is told of at a time.
const LISTED_NEAR: usize = 2;
/// Number of relays in other data centres that a daemon is told of at a time.
const LISTED_FAR: usize = 4;
/// Time after its last announcement for which a relay is listed for others.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum number of relays that a daemon remembers.
const MAX_KNOWN: usize = 16;
/// Time after a relay was last listed for which a daemon remembers it.
const KNOWN_LIFETIME: Duration = Duration::from_secs(60);
/// Time after a failure for which a relay is tried only after others.
const FAILURE_PENALTY: Duration = Duration::from_secs(10);

/// A daemon that relays requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayDaemon {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Data centre of the daemon.
    pub data_centre: DataCentreId,
    /// Address at which it takes requests to relay.
    pub address: SocketAddr,
}

/// Relays that have announced themselves, as the leader knows them.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedRelays {
    /// By daemon; with the time of the last announcement.
    relays: BTreeMap<DaemonId, (RelayDaemon, Instant)>,
    announcements: usize,
}

impl AnnouncedRelays {
    /// Records an announcement. Returns a few other relays, of its own data centre and of others, and
    /// others each time: no daemon has to know all, and none is told to most.
    pub fn announce(&mut self, now: Instant, relay: RelayDaemon) -> Vec<RelayDaemon> {
        let is_alive = |at: Instant| now.saturating_duration_since(at) < ANNOUNCEMENT_LIFETIME;
        self.relays.retain(|_, (_, at)| is_alive(*at));
        self.announcements += 1;
        let mut others: Vec<&RelayDaemon> = self.relays.values().map(|(relay, _)| relay).collect();
        others.retain(|other| other.daemon != relay.daemon);
        let turn = self.announcements % others.len().max(1);
        others.rotate_left(turn);
        let is_near = |other: &&&RelayDaemon| other.data_centre == relay.data_centre;
        let near = others.iter().filter(is_near).take(LISTED_NEAR);
        let far = others.iter().filter(|other| !is_near(other)).take(LISTED_FAR);
        let relays = near.chain(far).copied().cloned().collect();
        self.relays.insert(relay.daemon.clone(), (relay.clone(), now));
        relays
    }

    /// Addresses of up to `count` relays, of as many data centres as possible.
    pub fn spread(&self, count: usize) -> Vec<SocketAddr> {
        let mut by_data_centre: BTreeMap<&DataCentreId, Vec<SocketAddr>> = BTreeMap::new();
        for (relay, _) in self.relays.values() {
            by_data_centre.entry(&relay.data_centre).or_default().push(relay.address);
        }
        let longest = by_data_centre.values().map(Vec::len).max().unwrap_or(0);
        let turns =
            (0..longest).flat_map(|n| by_data_centre.values().filter_map(move |r| r.get(n)));
        turns.take(count).copied().collect()
    }
}

/// Relays that a daemon knows.
#[derive(Clone, Debug, Default)]
pub struct KnownRelays {
    relays: BTreeMap<DaemonId, KnownRelay>,
}

#[derive(Clone, Debug)]
struct KnownRelay {
    relay: RelayDaemon,
    listed_at: Instant,
    failed_at: Option<Instant>,
}

impl KnownRelays {
    /// Adds relays that the leader has listed.
    pub fn add(&mut self, now: Instant, listed: Vec<RelayDaemon>) {
        for relay in listed {
            let failed_at = self.relays.get(&relay.daemon).and_then(|known| known.failed_at);
            let known = KnownRelay { relay, listed_at: now, failed_at };
            self.relays.insert(known.relay.daemon.clone(), known);
        }
        let age = |known: &KnownRelay| now.saturating_duration_since(known.listed_at);
        self.relays.retain(|_, known| age(known) < KNOWN_LIFETIME);
        while self.relays.len() > MAX_KNOWN {
            let oldest = self.relays.values().min_by_key(|known| known.listed_at);
            let Some(oldest) = oldest.map(|known| known.relay.daemon.clone()) else { return };
            self.relays.remove(&oldest);
        }
    }

    /// Relays in the order in which to try them: those that haven't just failed first, then those of
    /// this data centre. `tie_breaker` spreads the requests over equals.
    pub fn in_order(
        &self,
        now: Instant,
        data_centre: &DataCentreId,
        tie_breaker: usize,
    ) -> Vec<RelayDaemon> {
        let has_failed = |known: &KnownRelay| {
            known.failed_at.is_some_and(|at| now.saturating_duration_since(at) < FAILURE_PENALTY)
        };
        let mut known: Vec<&KnownRelay> = self.relays.values().collect();
        let turn = tie_breaker % known.len().max(1);
        known.rotate_left(turn);
        known.sort_by_key(|known| (has_failed(known), known.relay.data_centre != *data_centre));
        known.into_iter().map(|known| known.relay.clone()).collect()
    }

    /// Records whether a relay could send a request on.
    pub fn tried(&mut self, now: Instant, daemon: &DaemonId, is_sent_on: bool) {
        if let Some(known) = self.relays.get_mut(daemon) {
            known.failed_at = (!is_sent_on).then_some(now);
        }
    }
}
