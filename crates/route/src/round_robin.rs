//! Whom an owner tells its digest in each round.

/// Fewest peers told in a round, if there are as many.
const PEERS_MIN: usize = 8;
/// Rounds within which every peer is told. With two rounds a second that is 4 s,
/// well below the age at which a digest is no longer believed.
const ROUNDS: usize = 8;

/// Goes round all peers, so that none waits longer than the others. A choice by
/// chance would leave some without a digest for as long as it is believed.
///
/// ```
/// use route::RoundRobin;
///
/// let mut peers = RoundRobin::default();
/// assert_eq!(peers.next_peers(3), [0, 1, 2]);
/// assert_eq!(peers.next_peers(16), [3, 4, 5, 6, 7, 8, 9, 10]);
/// assert_eq!(peers.next_peers(16), [11, 12, 13, 14, 15, 0, 1, 2]);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl RoundRobin {
    /// Positions of the peers to tell in this round, out of `peers` in a stable order.
    pub fn next_peers(&mut self, peers: usize) -> Vec<usize> {
        if peers == 0 {
            return Vec::new();
        }
        let count = peers.div_ceil(ROUNDS).max(PEERS_MIN).min(peers);
        let first = self.next % peers;
        self.next = first + count;
        (0..count).map(|i| (first + i) % peers).collect()
    }
}
