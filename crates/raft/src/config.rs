//! Settings of a node and the persisted state that it starts from.

use crate::types::{EntryPayload, HardState, LogEntry, Membership, NodeId, Snapshot};

/// Settings of one node. Times are in ticks, whose length the caller chooses.
#[derive(Clone, Debug)]
pub struct Config {
    /// Id of this node.
    pub id: NodeId,
    /// Minimum election timeout. Each timeout is drawn at random from this value up to, but not
    /// including, twice this value.
    pub election_ticks: u32,
    /// Ticks between heartbeats; must be well below `election_ticks`.
    pub heartbeat_ticks: u32,
    /// Seed of the random election timeouts.
    pub seed: u64,
    /// Maximum bytes of entries in one append message or in one
    /// [`Ready::committed`](crate::Ready::committed) batch. A single larger entry still forms a
    /// batch.
    pub max_batch_bytes: usize,
    /// Maximum append messages in flight to one follower.
    pub max_in_flight: usize,
    /// Maximum bytes of one command.
    pub max_command_bytes: usize,
    /// Maximum bytes of entries that a leader has appended and not yet committed; a command beyond
    /// it is refused as busy.
    pub max_uncommitted_bytes: usize,
    /// Maximum reads that wait for their confirmation.
    pub max_pending_reads: usize,
    /// Bytes of a snapshot in one
    /// [`MessageBody::SnapshotChunk`](crate::MessageBody::SnapshotChunk).
    pub snapshot_chunk_bytes: usize,
    /// Maximum bytes of a snapshot that this node accepts from a leader.
    pub max_snapshot_bytes: u64,
    /// Maximum number of entries that a learner may lack when it is promoted.
    pub max_promote_lag: u64,
    /// Whether no entry or snapshot was ever acknowledged under this id, and no vote that was cast
    /// under it is lost. With an empty log the node has then yet to catch up, and may vote.
    /// Otherwise its disk may have been lost, with what it has promised; see
    /// [`Raft::has_lost_disk`](crate::Raft::has_lost_disk).
    pub has_new_id: bool,
}

impl Config {
    /// Default settings, for a tick of about 50 ms: election timeouts are then 0.5 s to 1 s.
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
            has_new_id: false,
        }
    }
}

/// State of a node as read from its disk.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot; its index is 0 when there is none.
    pub snapshot: Snapshot,
    /// Log entries in order. The first ones may precede the snapshot's index.
    pub entries: Vec<LogEntry>,
}

impl PersistedState {
    /// State of an initial voter of a new group. Must be on disk before the node starts.
    pub fn bootstrap(membership: Membership) -> Self {
        let payload = EntryPayload::Membership(membership);
        Self {
            hard_state: HardState { term: 1, vote: None },
            snapshot: Snapshot::default(),
            entries: vec![LogEntry { index: 1, term: 1, payload }],
        }
    }

    /// Whether there are neither entries nor a snapshot: the node hasn't joined a group yet, or has
    /// lost its disk.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.snapshot.meta.index == 0
    }
}
