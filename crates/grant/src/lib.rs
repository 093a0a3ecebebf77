//! Which upstream runs a request, and when.
//!
//! One daemon of a region, the leader of its control group, keeps a [`Directory`] of the
//! upstreams that announce themselves and a [`Dispatcher`] that knows all streams under
//! way. An entry daemon asks it for a [`Grant`], then talks to the upstream itself, and
//! says when the answer began and ended. While there is no leader, an entry daemon places
//! requests by what it knows itself: [`Local`].
//!
//! Everything here is a plain function over state, time and input.
//!
//! ```
//! use grant::{Ask, AskId, Decision, Directory, Dispatcher, DispatcherConfig, Registration};
//! use routing::{EngineProfile, Service};
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let mut service = Service::new("plans");
//! service.engine = Some(EngineProfile {
//!     slots: 16,
//!     memory_tokens: 405_000,
//!     steps_per_pass: 34,
//!     step_ms: 1.31,
//!     step_ms_per_writer: 0.001,
//!     step_ms_per_context_k: 0.002,
//!     read_per_s: 154_000.0,
//!     read_ms_per_pair_m: 0.162,
//!     chunk_tokens: 2_048,
//! });
//! let mut directory = Directory::new();
//! directory.register(now, Registration::new("engine-1", "plans", "10.0.0.1:80".parse().unwrap()));
//! let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
//! dispatcher.set_services(&[service]);
//!
//! let id = AskId { daemon: "entry-1".to_string(), number: 1 };
//! let ask = Ask::new(id.clone(), "plans", 5_000, 1_000);
//! let Decision::Granted(grant) = dispatcher.ask(now, &directory, ask) else { panic!() };
//! assert_eq!(grant.upstream, "engine-1");
//! dispatcher.ended(now, &id, grant::End::Whole);
//! ```

mod ask;
mod directory;
mod dispatcher;
mod engine;
mod local;
mod place;
mod registration;
mod waiting;

pub use ask::{Ask, AskId, Decision, End, Grant, GrantId, Helper, Refusal, Running};
pub use directory::{Directory, Entry, Revision};
pub use dispatcher::{Dispatcher, DispatcherConfig};
pub use local::Local;
pub use registration::{Merge, Registration};
