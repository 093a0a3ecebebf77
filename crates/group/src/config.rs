//! Settings of a node, its state machine and its outgoing messages.

use kernel::{SharedClock, SystemClock};
use raft::{Index, Membership, Message, NodeId};
use std::{error, fmt, path::PathBuf, result, sync::Arc, time::Duration};

/// Applies the command at a log index. Returns the output for its caller, or why the command can't be
/// applied: it was proposed by a later build.
pub type ApplyFn = Box<dyn FnMut(Index, &[u8]) -> result::Result<Vec<u8>, String> + Send>;
/// Encodes the whole state for a snapshot.
pub type SnapshotFn = Box<dyn FnMut() -> Vec<u8> + Send>;
/// Why a state machine couldn't restore a snapshot.
pub type RestoreError = Box<dyn error::Error + Send + Sync>;
/// Replaces the whole state with a snapshot, given the index of the last command that it includes.
pub type RestoreFn = Box<dyn FnMut(Index, &[u8]) -> result::Result<(), RestoreError> + Send>;

/// The replicated state machine. It must be deterministic: time and random values may reach it
/// only as parts of commands.
pub struct StateMachine {
    /// Applies one command. Called in the order of the log, on the node's thread. An error stops the
    /// node before it applies anything further.
    pub apply: ApplyFn,
    /// Encodes the whole state for a snapshot.
    pub snapshot: SnapshotFn,
    /// Replaces the whole state with a snapshot. An error stops the node.
    pub restore: RestoreFn,
}

impl fmt::Debug for StateMachine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Machine")
    }
}

/// A message to deliver to another node. It may be lost, delayed or duplicated.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// Id of the receiver.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}

/// How a node with an empty data folder starts. With content in the folder, the node resumes
/// from it and this setting has no effect.
#[derive(Clone, Debug)]
pub enum StartMode {
    /// Waits until the leader of an existing group adds the node as a learner.
    Join,
    /// Starts a new group together with its other initial voters, which must be given the same
    /// membership.
    ///
    /// Use this only once for each voter. A node that lost its disk must use [`StartMode::Join`]
    /// under a new id, as its former votes and acknowledgements are lost with the disk.
    Bootstrap(Membership),
}

/// Settings of one node.
pub struct Config {
    /// Settings of the Raft node, including the node's id. Its
    /// [`has_new_id`](raft::Config::has_new_id) says whether the id was generated at this start. The
    /// node records that if the folder has no owner yet, and at later starts goes by what it recorded.
    pub raft: raft::Config,
    /// Data folder. It is locked against use by a second process.
    pub dir: PathBuf,
    /// How to start if the data folder is empty.
    pub start_mode: StartMode,
    /// Time between ticks. If `None`, only [`Handle::tick`](crate::Handle::tick) ticks the node.
    pub tick_interval: Option<Duration>,
    /// Capacity of the request queue. When it is full, [`Handle::submit`](crate::Handle::submit)
    /// fails as busy at once; other calls wait for room, until their timeout if they have one.
    pub max_queued_requests: usize,
    /// Capacity of the queue for messages from other nodes; when it is full, they are dropped.
    pub max_queued_messages: usize,
    /// Maximum requests and messages processed before the next sync of the disk.
    pub max_batch: usize,
    /// Entries applied between two snapshots.
    pub snapshot_interval_entries: u64,
    /// Bytes of applied entries after which a snapshot is taken even if there are fewer entries.
    pub snapshot_interval_bytes: usize,
    /// Maximum entries before a snapshot's index that stay in the log, so that a follower that lags
    /// by no more doesn't need the snapshot.
    pub keep_entries: u64,
    /// Maximum bytes of these entries.
    pub keep_bytes: usize,
    /// Settings of the log and snapshot store.
    pub store: disk::StoreOptions,
    /// Clock for ticks and deadlines.
    pub clock: SharedClock,
}

impl Config {
    /// Default settings, with a tick of 50 ms and a snapshot every 20,000 entries or 32 MiB.
    pub fn new(id: NodeId, dir: impl Into<PathBuf>) -> Self {
        let clock: SharedClock = Arc::new(SystemClock);
        Self {
            raft: raft::Config::new(id),
            dir: dir.into(),
            start_mode: StartMode::Join,
            tick_interval: Some(Duration::from_millis(50)),
            max_queued_requests: 65_536,
            max_queued_messages: 4_096,
            max_batch: 4_096,
            snapshot_interval_entries: 20_000,
            snapshot_interval_bytes: 32 << 20,
            keep_entries: 5_000,
            keep_bytes: 8 << 20,
            store: disk::StoreOptions::default(),
            clock,
        }
    }
}
