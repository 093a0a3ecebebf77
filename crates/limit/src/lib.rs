//! Admission: quotas, fair shares, priorities and deadlines.
//!
//! A [`Limiter`] stands at the entry of each daemon. It decides, without I/O,
//! whether a request may go on to an owner now, must wait, or is refused at
//! once with the time after which the caller should come back.
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
//! Shares are counted in tokens, both of the prompt and of the answer, because
//! a request of a million tokens is not one unit of work.

mod account;
mod admission;
mod bucket;
mod config;
mod limiter;
mod predict;
mod quota;
mod refusal;
mod usage;

pub use admission::{AdmissionRequest, Priority, QueuedOutcome, Ticket, TicketId, TicketState};
pub use config::{Capacity, Config, OrganisationShare};
pub use limiter::Limiter;
pub use refusal::{Error, Refusal, RefusalReason, Result};
pub use usage::OrganisationUsage;
