//! Placement of requests on upstreams: outside gateway mode, by the owner of each upstream. In
//! gateway mode the leader of the control group places requests, with the crate `grant`, which
//! reuses [`RetryBudget`] and [`PoisonDetector`].
//!
//! Each upstream belongs to one owner, the daemon that decides which requests run on it.
//! Placing a request takes two decisions:
//!
//! 1. The daemon that accepts the request (the entry) chooses an owner with [`choose_owner`],
//!    from the load summaries ([`OwnerDigest`]) that owners send it. The summaries are
//!    approximate and may be some seconds old.
//! 2. The owner queues the request in its [`Fleet`], which holds the exact state of its
//!    upstreams, and dispatches it with a [`Placement`]: one upstream, or a gang of several
//!    engines for a prompt that needs more memory than one has. The fleet predicts the time to
//!    first token on each upstream, keeps some upstreams free of long prompts
//!    ([`LengthClass`]), reserves memory, limits upstreams that have just started ([`Ramp`]),
//!    and refuses at once what cannot finish before its deadline.
//!
//! [`RetryBudget`], [`Backoff`] and [`should_hedge`] decide on further attempts, and
//! [`PoisonDetector`] finds requests that crash upstreams. Nothing here does I/O or reads the
//! clock: every function takes the time and its input as arguments.
//!
//! ```
//! use route::{UpstreamInfo, Config, Fleet, Job, UpstreamKind, Ramp, TokenUsage};
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let mut fleet = Fleet::new(Config::default());
//! let engine = UpstreamInfo {
//!     id: "engine-1".into(),
//!     incarnation: 1,
//!     kind: UpstreamKind::Engine,
//!     models: vec!["plan".into()],
//!     memory_tokens: 400_000,
//!     max_running: 32,
//!     prefill_tokens_per_second: 10_000,
//!     decode_tokens_per_second: 40,
//!     ramp: Ramp::NONE,
//!     uptime: Duration::ZERO,
//!     is_draining: false,
//!     transfers_kv_cache: true,
//!     honours_priority: false,
//! };
//! fleet.announce(now, engine).expect("the upstream limit is not reached");
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
//! fleet.submit(now, job).expect("the idle engine can meet the deadline");
//! let dispatches = fleet.dispatch(now);
//! assert_eq!(dispatches[0].placement.reservations()[0].tokens, 2_500);
//!
//! fleet.request_finished(now, &"r1".into(), TokenUsage::default());
//! assert_eq!(fleet.reserved_tokens(&"engine-1".into()), Some(0));
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
mod peer_rotation;
mod place;
mod poison;
mod pool;
mod prefix;
mod queue;
mod ramp;
mod retry;
mod submit;
mod upstream;

pub use announce::{
    DesiredState, LoadCounters, LoadReport, ReportOutcome, UpstreamInfo, UpstreamKind,
};
pub use class::{LENGTH_CLASS_COUNT, LengthClass};
pub use config::{Config, PlacementPolicy};
pub use digest::{ModelDigest, OwnerDigest};
pub use error::{Error, Refusal, RefusalReason, Result};
pub use estimate::TokenEstimator;
pub use explain::{Restriction, UpstreamExplanation};
pub use fleet::Fleet;
pub use job::{
    Dispatch, FailureCause, Job, LostJob, Placement, Prefix, PrefixHash, PromptSegment, RefusedJob,
    Reservation, TokenUsage,
};
pub use limit::Priority;
pub use owner::{OwnerChoice, OwnerChoiceReason, OwnerDigests, OwnerQuery, choose_owner};
pub use peer_rotation::PeerRotation;
pub use poison::{PoisonDetector, PoisonDetectorConfig, RequestHash};
pub use prefix::CacheEvent;
pub use ramp::Ramp;
pub use retry::{Backoff, HedgeInput, RetryBudget, should_hedge};
