//! HTTP gateway: forwards requests of callers to upstreams that register themselves.
//!
//! A daemon has one or both of two parts. The *entry* accepts requests of callers, finds
//! their route and organisation, and sends each request to an upstream itself. The *control*
//! part is a member of the control group, a Raft group. The replicated log holds the routing
//! document and the data centres out of service. The group's leader also keeps, in memory,
//! the directory of registered upstreams, and places requests for engines. Entries follow
//! the leader's state, and go on without it while there is none: they then place requests
//! themselves by the last directory that they know.
//!
//! ```text
//! callers ──► entry ───────────────► upstream
//!               │ ▲ follow, place,       │ registers
//!               ▼ │ progress             ▼
//!             leader of the control group ◄── operators
//! ```
//!
//! The asynchronous tasks of a daemon share one thread; the Raft voter has its own.

mod attempt;
mod bus;
mod calls;
mod compress;
mod control;
mod daemon;
mod entry;
mod exclusions;
mod follow;
mod forward;
pub mod group_report;
mod guard;
mod identity;
mod join_requests;
mod lead;
mod limits;
mod lost_disks;
mod members;
mod messages;
pub mod observer;
pub mod own_vote;
mod paths;
pub mod pending_votes;
mod placer;
mod quarantine;
pub mod raft_relay;
mod record;
mod refreshes;
mod relay;
mod relay_announcer;
mod relay_server;
mod reports;
mod request_relay;
mod run;
mod servers;
mod settings;
mod stream;
mod tickets;
pub mod unanswered;
mod view;
pub mod votes;
mod watchlist;

pub use run::{run, run_with};
pub use settings::{Bounds, ControlSettings, EntrySettings, GatewaySettings};
