//! Placement: owners, upstreams, length classes, memory and cold start.
//!
//! Two decisions are taken for each request. The entry daemon chooses an owner
//! with [`choose_owner`] from the owners' [`Digest`]s. The owner keeps the exact
//! state of its upstreams in a [`Fleet`], queues the request and gives it a
//! [`Placement`]. Both are plain functions over state, time and input.
//!
//! ```
//! use route::{Announcement, Config, Fleet, Job, Kind, Ramp, TokenUsage};
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let mut fleet = Fleet::new(Config::default());
//! let engine = Announcement {
//!     id: "engine-1".into(),
//!     incarnation: 1,
//!     kind: Kind::Engine,
//!     models: vec!["plan".into()],
//!     memory_tokens: 400_000,
//!     max_running: 32,
//!     prefill_tokens_per_second: 10_000,
//!     decode_tokens_per_second: 40,
//!     ramp: Ramp::NONE,
//!     uptime: Duration::ZERO,
//!     is_leaving: false,
//!     moves_kv_cache: true,
//!     honours_priority: false,
//! };
//! fleet.announce(now, engine).expect("there is room");
//!
//! let job = Job {
//!     request: "r1".into(),
//!     model: "plan".into(),
//!     priority: limit::Priority::Ordinary,
//!     prompt_tokens: 2_000,
//!     max_output_tokens: 500,
//!     prefixes: Vec::new(),
//!     deadline: now + Duration::from_secs(60),
//!     avoid: Vec::new(),
//!     is_suspect: false,
//! };
//! fleet.submit(now, job).expect("it fits");
//! let dispatches = fleet.dispatch(now);
//! assert_eq!(dispatches[0].placement.grants()[0].tokens, 2_500);
//!
//! fleet.finished(now, &"r1".into(), TokenUsage::default());
//! assert_eq!(fleet.reserved(&"engine-1".into()), Some(0));
//! ```

mod announce;
mod class;
mod config;
mod digest;
mod dispatch;
mod error;
mod estimate;
mod events;
mod explain;
mod fleet;
mod gang;
mod job;
mod meter;
mod owner;
mod place;
mod poison;
mod pool;
mod prefix;
mod queue;
mod ramp;
mod retry;
mod rotation;
mod submit;
mod upstream;

pub use announce::{Announcement, Counters, Directive, Kind, Report, ReportOutcome};
pub use class::{CLASSES, LengthClass};
pub use config::{Config, Policy};
pub use digest::{Digest, ModelDigest};
pub use error::{Error, Reason, Refusal, Result};
pub use estimate::Estimator;
pub use explain::{Explanation, Hindrance};
pub use fleet::Fleet;
pub use job::{
    Dispatch, Failure, Grant, Job, Lost, Placement, Prefix, PrefixHash, Refused, Segment,
    TokenUsage,
};
pub use limit::Priority;
pub use owner::{Ask, Choice, ChoiceReason, Digests, choose_owner};
pub use poison::{Fingerprint, Poison, PoisonConfig};
pub use prefix::CacheEvent;
pub use ramp::Ramp;
pub use retry::{Backoff, HedgeInput, RetryBudget, should_hedge};
pub use rotation::Rotation;
