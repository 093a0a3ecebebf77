//! Settings of a voter and what it is connected to.

use kernel::{SharedClock, SystemClock};
use raft::{Index, Membership, Message, NodeId};
use std::{error, fmt, path::PathBuf, result, sync::Arc, time::Duration};

/// Applies one command and returns the answer to its caller.
pub type ApplyFn = Box<dyn FnMut(Index, &[u8]) -> Vec<u8> + Send>;
/// Encodes the whole state.
pub type SnapshotFn = Box<dyn FnMut() -> Vec<u8> + Send>;
/// Why a machine couldn't take over a snapshot.
pub type RestoreError = Box<dyn error::Error + Send + Sync>;
/// Replaces the whole state by a snapshot that was taken at an index.
pub type RestoreFn = Box<dyn FnMut(Index, &[u8]) -> result::Result<(), RestoreError> + Send>;

/// The replicated state machine. It must be deterministic: time and chance come in
/// through commands.
pub struct StateMachine {
    /// Applies one command.
    pub apply: ApplyFn,
    /// Encodes the whole state.
    pub snapshot: SnapshotFn,
    /// Replaces the whole state. An error stops the voter.
    pub restore: RestoreFn,
}

impl fmt::Debug for StateMachine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Machine")
    }
}

/// A message to bring to another voter. It may be lost, delayed or doubled.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}

/// What a voter with an empty data folder does. A folder with content is just resumed.
#[derive(Clone, Debug)]
pub enum StartMode {
    /// Waits until a leader adds it as a learner.
    Join,
    /// Founds a group together with the other first voters, which have the same list.
    ///
    /// Give this once. A voter that has lost its disk must come back with [`StartMode::Join`]
    /// under a new id, as its former votes and acknowledgements are lost with the disk.
    Bootstrap(Membership),
}

/// Settings of one voter.
pub struct Config {
    /// Settings of the consensus, among them this voter's id.
    pub raft: raft::Config,
    /// Data folder. A lock keeps a second process out of it.
    pub dir: PathBuf,
    /// What to do if the folder is empty.
    pub start_mode: StartMode,
    /// Time between ticks; without one, [`Handle::tick`](crate::Handle::tick) drives time.
    pub tick_interval: Option<Duration>,
    /// Requests that wait to be taken up; further ones are refused.
    pub max_queued_requests: usize,
    /// Messages of other voters that wait to be taken up; further ones are dropped.
    pub max_queued_messages: usize,
    /// Requests and messages that share one sync.
    pub max_batch: usize,
    /// Entries between two snapshots.
    pub snapshot_interval_entries: u64,
    /// Bytes of entries after which a snapshot is taken in any case.
    pub snapshot_interval_bytes: usize,
    /// Entries kept behind a snapshot for followers that lag a little.
    pub keep_entries: u64,
    /// Bytes of entries kept behind a snapshot at most.
    pub keep_bytes: usize,
    /// Settings of the store.
    pub store: disk::Options,
    /// Time for deadlines.
    pub clock: SharedClock,
}

impl Config {
    /// Settings with a tick of 50 ms and a snapshot every 20,000 entries or 32 MiB.
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
            store: disk::Options::default(),
            clock,
        }
    }
}
