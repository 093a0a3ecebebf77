//! Sends the load digest of this daemon's owner and the demand at its entry to the other daemons
//! at intervals, to a part of them in each round.

use crate::{
    entry::Entry,
    messages::{GossipMessage, message_service},
    net::Net,
    owner::Owner,
};
use route::PeerRotation;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Number of rounds in which a daemon that has become idle still sends its state. A round reaches
/// at least an eighth of the peers, so each peer receives it twice.
const IDLE_ROUNDS_SENT: u32 = 16;
/// Time between rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the thread that sends the state, until `is_stopping` is set.
pub(crate) fn start(
    net: Arc<Net>,
    owner: Arc<Owner>,
    entry: Arc<Entry>,
    is_stopping: Arc<AtomicBool>,
) {
    thread::spawn(move || {
        let mut sender = GossipSender::default();
        while !is_stopping.load(Ordering::Relaxed) {
            sender.round(&net, &owner, &entry);
            thread::sleep(ROUND_INTERVAL);
        }
    });
}

/// Sends the state to the peers in turn.
#[derive(Default)]
struct GossipSender {
    peer_rotation: PeerRotation,
    /// Number of rounds since the daemon last had upstreams or demand.
    idle_rounds: u32,
}

impl GossipSender {
    /// Sends the state to the peers of one round, and applies it to this daemon's entry.
    fn round(&mut self, net: &Net, owner: &Owner, entry: &Entry) {
        let Some(digest) = owner.digest() else { return };
        entry.update_gauges();
        let gossip = GossipMessage { digest, demand: entry.demand() };
        if self.should_send(&gossip) {
            let buf = control::encode(&gossip);
            let peers = net.peers();
            for at in self.peer_rotation.next_peers(peers.len()) {
                net.notify(&peers[at].address, message_service::GOSSIP, buf.clone());
            }
        }
        entry.apply_gossip(gossip);
    }

    /// Whether to send the state. An idle daemon need not send it once all peers know that it is
    /// idle.
    fn should_send(&mut self, gossip: &GossipMessage) -> bool {
        let is_idle = gossip.digest.models.is_empty() && gossip.demand.is_empty();
        self.idle_rounds = if is_idle { self.idle_rounds.saturating_add(1) } else { 0 };
        self.idle_rounds <= IDLE_ROUNDS_SENT
    }
}
