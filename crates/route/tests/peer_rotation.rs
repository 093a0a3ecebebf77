//! The rotation reaches every peer in time, at any size of the region.

use route::PeerRotation;
use std::collections::BTreeSet;

/// Number of rounds within which every peer must be selected.
const ROUNDS: usize = 8;

/// Guards against a peer that is skipped: without a digest for as long as one is valid, it would
/// no longer choose this owner.
#[test]
fn every_peer_is_selected_within_eight_rounds() {
    for peers in 0..=860 {
        let mut rotation = PeerRotation::default();
        let selected: BTreeSet<usize> =
            (0..ROUNDS).flat_map(|_| rotation.next_peers(peers)).collect();
        assert_eq!(selected.len(), peers, "{peers} peers");
    }
}

/// Guards against wasted or too many messages in one round, when the selection wraps around.
#[test]
fn no_peer_is_selected_twice_in_a_round_and_few_are_selected_at_once() {
    for peers in 1..=860 {
        let mut rotation = PeerRotation::default();
        for _ in 0..ROUNDS {
            let selected = rotation.next_peers(peers);
            let distinct: BTreeSet<usize> = selected.iter().copied().collect();
            assert_eq!(distinct.len(), selected.len());
            assert!(selected.len() <= peers.div_ceil(ROUNDS).max(8));
        }
    }
}
