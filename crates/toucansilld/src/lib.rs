//! Daemon of toucansill, which runs on every entry VM of a region.
//!
//! A [`Daemon`] combines four components. Its *entry* serves callers' HTTP requests and receives
//! upstreams' announcements. Its *owner* places requests on the upstreams that the roster assigns
//! to this daemon and sends them there. Its *session* keeps a lease in the control group and a view
//! of the replicated configuration and roster; without a valid lease the daemon takes no new
//! requests. On some VMs, a *voter* of the control group replicates this state by consensus.
//!
//! The *roster* lists the daemons of the region; it determines the owner of each group of
//! upstreams. The control group (Raft) replicates the roster and the operators' configuration (the
//! *sheet*). A lease is valid for a limited time and is renewed by the group's leader.
//!
//! A settings file with a top-level `entry:` or `control:` key selects the other mode, [`gateway`]:
//! an HTTP reverse proxy without owners, sheets or session leases, whose upstreams register with
//! the leader.

mod control_client;
mod control_messages;
mod daemon;
mod entry;
mod error;
pub mod gateway;
mod gossip;
pub mod local;
pub mod logs;
pub mod messages;
mod net;
mod operators;
mod owner;
mod relay;
mod services;
mod session;
mod settings;
mod sync;
pub mod tasks;
mod voter;

pub use daemon::Daemon;
pub use error::{Error, Result};
pub use settings::{InitialVoter, Listen, Settings, VoterSettings};
