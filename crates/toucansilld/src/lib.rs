//! The daemon that runs on every entry VM.

mod callers;
mod daemon;
mod error;
pub mod logs;
pub mod messages;
mod settings;

pub use daemon::Daemon;
pub use error::{Error, Result};
pub use settings::{InitialVoter, Listen, Settings, VoterSettings};
