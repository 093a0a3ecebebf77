//! The Raft consensus algorithm, as a library that does no I/O.
//!
//! A group of nodes replicates a log of commands. An entry is committed once a majority of the
//! voters has it on disk, and every node applies the committed entries in the same order. The crate
//! implements leader election with pre-votes, log replication, snapshots, membership changes one at
//! a time, with joint consensus where the voters change, elections by half of an even number of
//! voters once the disk of one is known to be lost ([`Membership`]), leadership transfer, and
//! linearizable reads that need no log entry. It performs no I/O and reads no clock: the caller,
//! the `group` crate, owns the thread, the disk and the network.
//!
//! The inputs of a [`Raft`] node are ticks, messages and proposals. After each input, or after
//! a batch of them, [`Raft::ready`] returns what to write, send and apply. The caller
//!
//! 1. sends [`Ready::early_messages`] at any time,
//! 2. writes the hard state, the snapshot and the entries, and syncs them,
//! 3. calls [`Raft::persisted`],
//! 4. sends [`Ready::messages`], which depend on what was just synced,
//! 5. installs the snapshot and applies [`Ready::committed`].
//!
//! If a write or sync fails, the caller must stop the node and must not continue with step 3.
//!
//! A group of one commits on its own:
//!
//! ```
//! use raft::{Config, EntryPayload, Membership, PersistedState, Raft};
//!
//! let state = PersistedState::bootstrap(Membership::initial(1, [1]));
//! let mut raft = Raft::new(Config::new(1), state);
//! while !raft.is_leader() {
//!     raft.tick();
//! }
//! raft.propose(b"hello".to_vec())?;
//! let mut applied = Vec::new();
//! while let Some(ready) = raft.ready() {
//!     // Write and sync `ready.hard_state` and `ready.entries` here.
//!     raft.persisted();
//!     applied.extend(ready.committed);
//! }
//! assert!(applied.iter().any(|e| e.payload == EntryPayload::Command(b"hello".to_vec())));
//! # Ok::<(), raft::Error>(())
//! ```

mod config;
mod election;
mod error;
mod follower;
pub mod joining;
mod leader;
mod log;
mod membership;
mod message;
mod node;
mod progress;
mod read;
mod ready;
mod types;

pub use config::{Config, PersistedState};
pub use error::{Error, Result};
pub use message::{LogPosition, Message, MessageBody};
pub use node::{Raft, Role};
pub use read::ReadState;
pub use ready::Ready;
pub use types::{
    EntryPayload, GroupId, HardState, Index, LogEntry, Membership, MembershipChange, NodeId,
    Snapshot, SnapshotMeta, Term,
};
