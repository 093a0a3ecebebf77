//! Routes of a region: which service serves a request, for whom and within what time.
//!
//! Operators publish each [`RoutingDocument`] as a whole, under a higher version than the one
//! before. [`RoutingDocument::check`] refuses an invalid one before it is put in force. Entry
//! daemons build a [`RoutingTable`] from the document in force, and look up for each request the
//! route by host and path, the organisation by the caller's key, and the service by the route's
//! split. The [`EngineProfile`] of a service states how fast its engines are; placement computes
//! with it.
//!
//! ```
//! use routing::{RetryPolicy, Route, RoutingDocument, RoutingTable, Service, WeightedService};
//! use std::time::Duration;
//!
//! let mut document = RoutingDocument::new(7);
//! document.services.push(Service::new("desk"));
//! let mut route = Route::new("jobs", "desk.example", "/jobs/");
//! route.split = vec![WeightedService { service: "desk".to_string(), weight: 1 }];
//! route.retry_policy = RetryPolicy::Once;
//! route.timeout = Duration::from_secs(4);
//! document.routes.push(route);
//! document.check()?;
//!
//! let table = RoutingTable::new(document);
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
