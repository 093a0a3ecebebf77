//! Selects the peers that an owner sends its digest to in each round.

/// Minimum number of peers selected in a round, if there are as many.
const MIN_PEERS_PER_ROUND: usize = 8;
/// Number of rounds within which every peer is selected. At two rounds a second this is 4 s,
/// well below the 10 s after which a digest is no longer considered valid.
const ROUNDS_PER_CYCLE: usize = 8;

/// Selects all peers in turn, so that each receives a digest equally often. With a random
/// selection, some peers would receive none for longer than a digest stays valid.
///
/// ```
/// use route::PeerRotation;
///
/// let mut peers = PeerRotation::default();
/// assert_eq!(peers.next_peers(3), [0, 1, 2]);
/// assert_eq!(peers.next_peers(16), [3, 4, 5, 6, 7, 8, 9, 10]);
/// assert_eq!(peers.next_peers(16), [11, 12, 13, 14, 15, 0, 1, 2]);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerRotation {
    next: usize,
}

impl PeerRotation {
    /// Indices of the peers to send to in this round, out of a list of `peers` peers whose order
    /// must not change between rounds.
    pub fn next_peers(&mut self, peers: usize) -> Vec<usize> {
        if peers == 0 {
            return Vec::new();
        }
        let count = peers.div_ceil(ROUNDS_PER_CYCLE).max(MIN_PEERS_PER_ROUND).min(peers);
        let first = self.next % peers;
        self.next = first + count;
        (0..count).map(|i| (first + i) % peers).collect()
    }
}
