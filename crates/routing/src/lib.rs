//! Routes of a region: which service answers a request, for whom and within what time.
//!
//! Operators publish a whole [`RoutingDocument`] under a version.
//! [`RoutingDocument::check`] refuses one that no request could follow, and
//! [`RoutingTable`] answers the questions of the data path:
//!
//! ```
//! use routing::{RetryPolicy, Route, RoutingDocument, RoutingTable, Service, WeightedService};
//! use std::time::Duration;
//!
//! let mut routing = RoutingDocument::new(7);
//! routing.services.push(Service::new("desk"));
//! let mut route = Route::new("jobs", "desk.example", "/jobs/");
//! route.split = vec![WeightedService { service: "desk".to_string(), weight: 1 }];
//! route.retry_policy = RetryPolicy::Once;
//! route.timeout = Duration::from_secs(4);
//! routing.routes.push(route);
//! routing.check()?;
//!
//! let table = RoutingTable::new(routing);
//! assert_eq!(table.route("desk.example", "/jobs/7").unwrap().name, "jobs");
//! assert!(table.route("desk.example", "/other").is_none());
//! # Ok::<(), routing::Error>(())
//! ```

mod check;
mod document;
mod engine;
mod error;
mod table;

pub use document::{
    DocumentVersion, HttpLimits, Organisation, RetryPolicy, Route, RouteId, RoutingDocument,
    Service, WeightedService,
};
pub use engine::EngineProfile;
pub use error::{Error, Result};
pub use table::RoutingTable;
