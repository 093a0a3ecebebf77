//! Tells other daemons at intervals what this one can do as an owner, and the
//! demand at its entry.

use crate::{
    entry::Entry,
    messages::{Gossip, service},
    net::{Net, Peer},
    owner::Owner,
};
use fastrand::Rng;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Time between two rounds.
const ROUND_EVERY: Duration = Duration::from_millis(500);
/// Most daemons told in one round, so that the cost does not grow with the region.
const PEERS_PER_ROUND: usize = 8;

/// Starts to tell.
pub(crate) fn start(
    net: Arc<Net>,
    owner: Arc<Owner>,
    entry: Arc<Entry>,
    is_stopping: Arc<AtomicBool>,
) {
    thread::spawn(move || {
        let mut rng = Rng::new();
        while !is_stopping.load(Ordering::Relaxed) {
            round(&net, &owner, &entry, &mut rng);
            thread::sleep(ROUND_EVERY);
        }
    });
}

fn round(net: &Net, owner: &Owner, entry: &Entry, rng: &mut Rng) {
    let Some(digest) = owner.digest() else { return };
    entry.measure();
    let gossip = Gossip { digest, usage: entry.demand() };
    let buf = control::encode(&gossip);
    for peer in chosen(net.peers(), rng) {
        net.notify(&peer.address, service::GOSSIP, buf.clone());
    }
    entry.hear(gossip);
}

fn chosen(mut peers: Vec<Peer>, rng: &mut Rng) -> Vec<Peer> {
    rng.shuffle(&mut peers);
    peers.truncate(PEERS_PER_ROUND);
    peers
}
