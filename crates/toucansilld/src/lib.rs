//! The daemon that runs on every entry VM.

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
