//! Settings of a node and the state it starts from.

use crate::types::{EntryPayload, HardState, LogEntry, Membership, NodeId, Snapshot};

/// Settings of one node. Times are in ticks of the caller's choice.
#[derive(Clone, Debug)]
pub struct Config {
    /// This node.
    pub id: NodeId,
    /// Ticks without a leader before a campaign; each wait is this plus a random part
    /// of the same length.
    pub election_ticks: u32,
    /// Ticks between heartbeats; well below `election_ticks`.
    pub heartbeat_ticks: u32,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Bytes of entries in one message or one batch to apply.
    pub max_batch_bytes: usize,
    /// Append messages under way to one follower.
    pub max_in_flight: usize,
    /// Bytes of one command.
    pub max_command_bytes: usize,
    /// Bytes of commands that are accepted and not yet committed.
    pub max_uncommitted_bytes: usize,
    /// Reads that wait for their confirmation.
    pub max_pending_reads: usize,
    /// Bytes in one piece of a snapshot.
    pub snapshot_chunk_bytes: usize,
    /// Bytes of a snapshot that this node accepts.
    pub max_snapshot_bytes: u64,
    /// Entries that a learner may lack when it is promoted.
    pub max_promote_lag: u64,
}

impl Config {
    /// Settings for a node with a tick of about 50 ms: elections after 0.5 s to 1 s.
    pub fn new(id: NodeId) -> Self {
        Self {
            id,
            election_ticks: 10,
            heartbeat_ticks: 2,
            seed: id,
            max_batch_bytes: 1 << 20,
            max_in_flight: 64,
            max_command_bytes: 8 << 20,
            max_uncommitted_bytes: 64 << 20,
            max_pending_reads: 65_536,
            snapshot_chunk_bytes: 256 << 10,
            max_snapshot_bytes: 1 << 30,
            max_promote_lag: 64,
        }
    }
}

/// What a node finds on its disk.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot; its index is 0 when there is none.
    pub snapshot: Snapshot,
    /// Entries in order. They may begin before the snapshot's end.
    pub entries: Vec<LogEntry>,
}

impl PersistedState {
    /// State of a first voter of a new group. Write it to disk before the node starts.
    pub fn bootstrap(membership: Membership) -> Self {
        let payload = EntryPayload::Membership(membership);
        Self {
            hard_state: HardState { term: 1, vote: None },
            snapshot: Snapshot::default(),
            entries: vec![LogEntry { index: 1, term: 1, payload }],
        }
    }

    /// Whether there is nothing: a node that has yet to join, or lost its disk.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.snapshot.meta.index == 0
    }
}
