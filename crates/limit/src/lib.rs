//! Admission: quotas, fair shares, priorities and deadlines.
//!
//! The entry (the part of a daemon that accepts callers' requests) has one [`Limiter`]. It decides
//! whether a request is admitted and may be sent to an owner (the daemon that places requests on an
//! upstream), has to wait, or is refused with the time after which the caller should retry. Its
//! inputs are the organisations' shares and quotas from the operators' sheet, the capacity of the
//! region from the owners' digests, and the demand that other daemons report. Waiting requests are
//! admitted by weighted fair queueing among organisations, urgent ones first. The limiter does no
//! I/O.
//!
//! ```
//! use limit::{AdmissionRequest, Config, Limiter, OrganisationShare, Priority};
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let mut limiter = Limiter::new(Config::default());
//! limiter.set_shares(
//!     now,
//!     &[OrganisationShare {
//!         organisation: "cherries".into(),
//!         weight: 1,
//!         tokens_per_second: Some(10_000),
//!     }],
//!     1,
//! );
//! let request = AdmissionRequest {
//!     organisation: "cherries".into(),
//!     priority: Priority::Ordinary,
//!     prompt_tokens: 2_000,
//!     max_output_tokens: 500,
//!     deadline: now + Duration::from_secs(60),
//! };
//! let ticket = limiter.admit(now, &request).expect("there is room");
//! assert!(ticket.is_granted());
//! limiter.finish(now, ticket.id, 2_100);
//! ```
//!
//! Shares and quotas are counted in tokens of both the prompt and the response rather than in
//! requests, because requests differ in length by orders of magnitude, up to a million tokens.

mod account;
mod admission;
mod bucket;
mod config;
mod demand;
mod limiter;
mod predict;
mod quota;
mod refusal;

pub use admission::{AdmissionRequest, Priority, QueuedOutcome, Ticket, TicketId, TicketState};
pub use config::{Capacity, Config, OrganisationShare};
pub use demand::OrganisationDemand;
pub use limiter::Limiter;
pub use refusal::{Error, Refusal, RefusalReason, Result};
