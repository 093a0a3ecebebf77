//! Consensus on a log of commands, without I/O inside.
//!
//! A [`Raft`] is fed with ticks, messages and proposals. After each of them, or
//! after a batch, [`Raft::ready`] says what to write, send and apply. The caller
//!
//! 1. sends [`Ready::early_messages`] whenever it likes,
//! 2. writes the hard state, the snapshot and the entries, and syncs them,
//! 3. calls [`Raft::persisted`],
//! 4. sends [`Ready::messages`], which promise what was just synced,
//! 5. installs the snapshot and applies [`Ready::committed`].
//!
//! A caller whose write or sync fails must stop instead of going on with step 3.
//!
//! A group of one commits by itself:
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

pub mod admission;
mod config;
mod election;
mod error;
mod follower;
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
