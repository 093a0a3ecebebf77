//! Passes HTTP requests on to upstreams that announce themselves.
//!
//! A daemon has one or both of two parts. The *entry* takes requests of callers, finds
//! their route and organisation, and sends each to an upstream itself. The *control* part
//! is a member of the control group: it keeps the routing document and the data centres
//! out of service in the replicated log, and its leader keeps the directory of upstreams
//! and decides where streams run.
//!
//! ```text
//! callers ──► entry ───────────────► upstream
//!               │ ▲ follow, place,       │ registers
//!               ▼ │ progress             ▼
//!             leader of the control group ◄── operators
//! ```
//!
//! All tasks of a daemon share one thread; the voter has one of its own.

mod bus;
mod calls;
mod compress;
mod control;
mod entry;
mod follow;
mod forward;
mod identity;
mod lead;
mod members;
mod messages;
mod placer;
mod record;
mod run;
mod settings;
mod stream;
mod tickets;
mod view;

pub use run::run;
pub use settings::{Bounds, ControlSettings, EntrySettings, GatewaySettings};
