//! Placement of requests on the upstreams of a region: in gateway mode, by the leader of the
//! control group. Outside gateway mode, the owner of each upstream places requests with the crate
//! [`route`], of which this crate reuses [`RetryBudget`](route::RetryBudget).
//!
//! The leader keeps a [`Directory`] of the registered upstreams and a [`Dispatcher`], which knows
//! all granted requests of services with engines. An entry daemon sends it a [`PlacementRequest`]
//! and receives a [`Decision`]: a [`Grant`] to send the request to one upstream, an instruction to
//! wait, or a refusal. It then talks to the upstream itself, and reports to the dispatcher when the
//! first event has arrived and when the request has ended. Plain services, and all requests while
//! no leader can be reached, are placed by the entry daemon alone, with a [`LocalPlacer`].
//!
//! An upstream may limit the requests per second that it takes from all daemons together. Entries
//! report such limits ([`LimitReport`]), and the dispatcher counts all requests to the upstream: those
//! that it grants, and those that entries place and [reserve](Dispatcher::reserve_request) first.
//!
//! Nothing here does I/O or reads a clock: all types are state machines that get the time and
//! their inputs as arguments.
//!
//! ```
//! use grant::{
//!     Decision, Directory, Dispatcher, DispatcherConfig, PlacementRequest, PlacementRequestId,
//!     Registration,
//! };
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
//! let id = PlacementRequestId { daemon: "entry-1".to_string(), number: 1 };
//! let request = PlacementRequest::new(id.clone(), "plans", 5_000, 1_000);
//! let decision = dispatcher.request_placement(now, &directory, request);
//! let Decision::Granted(grant) = decision else { panic!() };
//! assert_eq!(grant.upstream, "engine-1");
//! dispatcher.request_ended(now, &id, grant::RequestOutcome::Completed);
//! ```

mod collection;
mod directory;
mod dispatcher;
mod engine;
mod fleet;
mod limit;
mod local;
mod pace;
mod place;
mod place_long;
mod place_short;
mod promise;
mod registration;
mod reply_time;
mod request;
mod schedule;
mod start_wait;
mod waiting;

pub use directory::{Directory, DirectoryEntry, Revision};
pub use dispatcher::{Dispatcher, DispatcherConfig};
pub use limit::{LimitReport, MIN_REQUESTS_PER_S};
pub use local::LocalPlacer;
pub use pace::Pace;
pub use registration::{Registration, RegistrationOutcome};
pub use reply_time::{MAX_QUEUED_REPLY_TIME, queued_reply_time, reply_timeout};
pub use request::{
    Decision, Grant, GrantId, Helper, PlacementRequest, PlacementRequestId, RefusalReason,
    RequestOutcome, RunningRequest,
};
pub use schedule::PollSchedule;
pub use start_wait::StartWait;
