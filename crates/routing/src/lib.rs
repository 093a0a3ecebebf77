//! Routes of a region: which service answers a request, for whom and within what time.
//!
//! Operators publish a whole [`Routing`] under a version. [`Routing::check`] refuses one
//! that no request could follow, and [`Table`] answers the questions of the data path:
//!
//! ```
//! use routing::{Repeat, Route, Routing, Service, Share, Table};
//! use std::time::Duration;
//!
//! let mut routing = Routing::new(7);
//! routing.services.push(Service::new("desk"));
//! let mut route = Route::new("jobs", "desk.example", "/jobs/");
//! route.split = vec![Share { service: "desk".to_string(), weight: 1 }];
//! route.repeat = Repeat::Once;
//! route.timeout = Duration::from_secs(4);
//! routing.routes.push(route);
//! routing.check()?;
//!
//! let table = Table::new(routing);
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
    HttpLimits, Organisation, Repeat, Route, RouteId, Routing, Service, Share, Version,
};
pub use engine::EngineProfile;
pub use error::{Error, Result};
pub use table::Table;
