//! Durable storage of a voter's raft log and snapshots.
//!
//! The crate `group` runs one voter on a [`Store`], which owns one data folder.
//! [`Store::append`] collects records, and [`Store::sync`] writes them as one checksummed
//! frame and returns once they are on disk, so that a batch of any size costs one sync.
//! A write or sync that fails poisons the store: what reached the disk is unknown from then
//! on, and every later call that uses the disk fails until the folder is opened again.
//!
//! The log is a sequence of files, the segments. [`Store::compact`] removes those segments
//! and snapshots that a later snapshot replaces. [`Store::open`] reads the folder back: it
//! truncates an incomplete write at the end of the log, which was never confirmed, and
//! refuses any other difference from what was synced, because a voter that has forgotten
//! confirmed entries or its vote could break the guarantees of the whole group.
//!
//! ```
//! use disk::Store;
//! use raft::{EntryPayload, HardState, LogEntry};
//!
//! # let dir = tempfile::tempdir()?;
//! let (mut store, _) = Store::open(dir.path())?;
//! let entry = LogEntry { index: 1, term: 1, payload: EntryPayload::Command(b"hello".to_vec()) };
//! store.append(Some(HardState { term: 1, vote: None }), &[entry.clone()]);
//! store.sync()?;
//! drop(store);
//!
//! let (_, recovered) = Store::open(dir.path())?;
//! assert_eq!(recovered.persisted_state.entries, [entry]);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod error;
mod files;
mod frame;
mod recovery;
mod segment;
mod snapshot;
mod store;

pub use error::{Error, Result, is_unusable};
pub use files::{Files, RenameFn, SyncFn, WriteFn};
pub use recovery::Recovered;
pub use snapshot::{read_backup, replace_file, write_backup};
pub use store::{Store, StoreOptions, read_owner};
