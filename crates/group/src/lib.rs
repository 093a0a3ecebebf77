//! Runs one node of a replicated control group: Raft node, log on disk and state machine.
//!
//! [`Group::start`] opens the data folder, restores the state machine from the last snapshot and
//! starts a thread that owns the [`raft::Raft`] node and the [`disk::Store`]. The thread processes
//! requests and messages in batches, each of which shares one sync of the disk, applies committed
//! commands to the [`StateMachine`] and takes snapshots to compact the log.
//!
//! The caller supplies the state machine and the network. Through the [`Handle`] it proposes
//! commands, confirms leadership for reads, changes the members and passes in messages from other
//! nodes. Messages to other nodes come out of the channel given to [`Group::start`].
//!
//! ```
//! use group::{Config, Group, StartMode, StateMachine};
//! use std::time::Duration;
//!
//! # let dir = tempfile::tempdir()?;
//! // A state machine whose output for each command is the command's length.
//! let state_machine = StateMachine {
//!     apply: Box::new(|_, command| Ok(vec![command.len() as u8])),
//!     snapshot: Box::new(Vec::new),
//!     restore: Box::new(|_, _| Ok(())),
//! };
//! let (outbox, _) = flume::bounded(1024);
//! let mut cfg = Config::new(1, dir.path());
//! cfg.start_mode = StartMode::Bootstrap(raft::Membership::initial(1, [1]));
//! let handle = Group::start(cfg, state_machine, outbox)?;
//!
//! handle.await_leader(Duration::from_secs(10))?;
//! let applied = handle.propose(b"hello".to_vec(), Duration::from_secs(10))?;
//! assert_eq!(applied.output, [5]);
//! handle.stop();
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod backup;
mod config;
mod error;
mod handle;
mod request;
mod runner;
mod status;
mod waiting;

pub use backup::restore_backup;
pub use config::{
    ApplyFn, Config, OutgoingMessage, RestoreError, RestoreFn, SnapshotFn, StartMode, StateMachine,
};
pub use error::{Error, Result};
pub use handle::{Handle, PendingProposal};
pub use raft::{Index, Membership, MembershipChange, NodeId, Role, Term, joining};
pub use request::{AppliedCommand, ConfirmedLeadership};
pub use runner::Group;
pub use status::Status;
