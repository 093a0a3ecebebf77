//! Every peer is told in time, at any size of the region.

use route::RoundRobin;
use std::collections::BTreeSet;

/// Rounds within which a digest must reach everyone.
const ROUNDS: usize = 8;

#[test]
fn every_peer_is_told_within_eight_rounds() {
    for peers in 0..=860 {
        let mut rotation = RoundRobin::default();
        let told: BTreeSet<usize> = (0..ROUNDS).flat_map(|_| rotation.next_peers(peers)).collect();
        assert_eq!(told.len(), peers, "{peers} peers");
    }
}

#[test]
fn no_peer_is_told_twice_in_a_round_and_few_are_told_at_once() {
    for peers in 1..=860 {
        let mut rotation = RoundRobin::default();
        for _ in 0..ROUNDS {
            let told = rotation.next_peers(peers);
            let distinct: BTreeSet<usize> = told.iter().copied().collect();
            assert_eq!(distinct.len(), told.len());
            assert!(told.len() <= peers.div_ceil(ROUNDS).max(8));
        }
    }
}
