//! Tells other daemons at intervals what this one can do as an owner, and the
//! demand at its entry.

use crate::{
    entry::Entry,
    messages::{GossipMessage, service},
    net::Net,
    owner::Owner,
};
use route::RoundRobin;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Rounds in which an owner still tells that it has nothing left, twice to each peer.
const IDLE_ROUNDS_TOLD: u32 = 16;
/// Time between two rounds.
const ROUND_EVERY: Duration = Duration::from_millis(500);

/// Starts to tell.
pub(crate) fn start(
    net: Arc<Net>,
    owner: Arc<Owner>,
    entry: Arc<Entry>,
    is_stopping: Arc<AtomicBool>,
) {
    thread::spawn(move || {
        let mut teller = Teller::default();
        while !is_stopping.load(Ordering::Relaxed) {
            teller.round(&net, &owner, &entry);
            thread::sleep(ROUND_EVERY);
        }
    });
}

/// Tells one peer after the other.
#[derive(Default)]
struct Teller {
    rotation: RoundRobin,
    /// Rounds since there was last something to tell.
    idle_rounds: u32,
}

impl Teller {
    fn round(&mut self, net: &Net, owner: &Owner, entry: &Entry) {
        let Some(digest) = owner.digest() else { return };
        entry.update_gauges();
        let gossip = GossipMessage { digest, demand: entry.demand() };
        if self.is_worth_telling(&gossip) {
            let buf = control::encode(&gossip);
            let peers = net.peers();
            for at in self.rotation.next_peers(peers.len()) {
                net.notify(&peers[at].address, service::GOSSIP, buf.clone());
            }
        }
        entry.apply_gossip(gossip);
    }

    /// An owner without upstreams need not be known, once all have been told so.
    fn is_worth_telling(&mut self, gossip: &GossipMessage) -> bool {
        let is_idle = gossip.digest.models.is_empty() && gossip.demand.is_empty();
        self.idle_rounds = if is_idle { self.idle_rounds.saturating_add(1) } else { 0 };
        self.idle_rounds <= IDLE_ROUNDS_TOLD
    }
}
