//! Time line of events over all processes.
//!
//! Each daemon records events under a [`HybridClock`], whose time grows along
//! every message between daemons, so that a cause comes before its effects in
//! the merged time line even where wall clocks differ:
//!
//! ```
//! use event::{EventKind, Filter, Recorder, RecorderConfig, filter, merge};
//! use kernel::ManualClock;
//! use std::sync::Arc;
//!
//! let start = |id: &str| {
//!     Recorder::start(RecorderConfig::new(id.to_owned()), Arc::new(ManualClock::new()))
//! };
//! let (a, b) = (start("a")?, start("b")?);
//!
//! a.record(a.event(EventKind::RequestAdmitted).request("r1").text("1200 tokens"));
//! // The time of `a` travels with its message to `b`.
//! b.clock().receive(a.clock().tick());
//! b.record(b.event(EventKind::RequestSent).request("r1").upstream("engine-3"));
//! b.record(b.event(EventKind::UpstreamLost).upstream("engine-9"));
//!
//! let line = merge([a.stop(), b.stop()]);
//! let of_request = Filter { request: Some("r1".to_owned()), ..Filter::default() };
//! let kinds: Vec<_> = filter(&line, &of_request).map(|e| e.kind).collect();
//! assert_eq!(kinds, [EventKind::RequestAdmitted, EventKind::RequestSent]);
//! # Ok::<(), event::Error>(())
//! ```

mod clock;
mod error;
mod file;
mod kind;
mod record;
mod recorder;
mod timeline;

pub use clock::{HybridClock, Timestamp};
pub use error::{Error, Result};
pub use kind::EventKind;
pub use record::{ChangeIndex, Event};
pub use recorder::{Recorder, RecorderConfig};
pub use timeline::{Filter, ReadEvents, filter, merge, read_file};
