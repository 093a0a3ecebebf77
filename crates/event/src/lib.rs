//! Timeline of the events of all daemons.
//!
//! A daemon records what happens to its requests, upstreams and configuration with a [`Recorder`],
//! which keeps the newest events in memory and writes all of them to a file of JSON lines.
//! Operators read the events of several daemons, from memory or from [files](read_file), [merge]
//! them into one order and [filter] them by request, upstream, data centre or change.
//!
//! Events are ordered by a [`HybridClock`]. Each message between daemons carries a timestamp of its
//! sender, and the receiver's clock advances past it. A cause therefore precedes its effects in
//! the merged timeline even if the wall clocks of the daemons differ:
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
//! // A message from `a` to `b` carries a timestamp of `a`.
//! b.clock().receive(a.clock().tick());
//! b.record(b.event(EventKind::RequestSent).request("r1").upstream("engine-3"));
//! b.record(b.event(EventKind::UpstreamLost).upstream("engine-9"));
//!
//! let timeline = merge([a.stop(), b.stop()]);
//! let by_request = Filter { request: Some("r1".to_owned()), ..Filter::default() };
//! let kinds: Vec<_> = filter(&timeline, &by_request).map(|e| e.kind).collect();
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
pub use timeline::{EventFileContents, Filter, filter, merge, read_file};
