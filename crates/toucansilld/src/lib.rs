//! Daemon of toucansill, which runs on every entry VM of a region.
//!
//! A [`Daemon`] combines four services. Its *entry* serves callers' HTTP requests and receives
//! upstreams' announcements. Its *owner* places requests on the upstreams that the roster assigns
//! to this daemon and sends them there. Its *session* keeps a lease in the control group and a view
//! of the replicated configuration and roster; without a valid lease the daemon takes no new
//! requests. On some VMs, a *voter* of the control group replicates this state by consensus.
//!
//! [`gateway`] is another mode of the same program, which passes callers' HTTP requests on to
//! upstreams.

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
mod voter;

pub use daemon::Daemon;
pub use error::{Error, Result};
pub use settings::{InitialVoter, Listen, Settings, VoterSettings};
