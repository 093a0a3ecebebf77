//! Runs one voter of a control group: consensus, disk and state machine.
//!
//! [`Group::start`] opens the data folder and starts a thread that owns the node. Its
//! [`Handle`] proposes commands, confirms reads, changes members and takes in the
//! messages of other voters; messages for them come out of the outbox.
//!
//! ```
//! use group::{Config, Group, StartMode, StateMachine};
//! use std::time::Duration;
//!
//! # let dir = tempfile::tempdir()?;
//! // A machine that answers each command with its length.
//! let machine = StateMachine {
//!     apply: Box::new(|_, command| vec![command.len() as u8]),
//!     snapshot: Box::new(Vec::new),
//!     restore: Box::new(|_, _| Ok(())),
//! };
//! let (outbox, _) = flume::bounded(1024);
//! let mut cfg = Config::new(1, dir.path());
//! cfg.start_mode = StartMode::Bootstrap(raft::Membership::initial(1, [1]));
//! let handle = Group::start(cfg, machine, outbox)?;
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
pub use raft::{Index, Membership, MembershipChange, NodeId, Role, Term, admission};
pub use request::{AppliedCommand, ConfirmedLeadership};
pub use runner::Group;
pub use status::Status;
