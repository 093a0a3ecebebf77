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
//! service.engine = Some(EngineProfile::example());
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
