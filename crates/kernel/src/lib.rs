//! Clock, named services, mailboxes and lifecycle of one process.
//!
//! Every decision in the system takes its time from a [`Clock`], so a test can
//! move time by hand:
//!
//! ```
//! use kernel::{Clock, ManualClock};
//! use std::time::Duration;
//!
//! let clock = ManualClock::new();
//! let before = clock.now();
//! clock.advance(Duration::from_secs(3));
//! assert_eq!(clock.now() - before, Duration::from_secs(3));
//! ```

mod clock;
mod error;
mod lifecycle;
mod mailbox;
mod registry;

pub use clock::{Clock, ManualClock, SharedClock, SystemClock};
pub use error::{Error, Result};
pub use lifecycle::{Lifecycle, StopFn};
pub use mailbox::{Mailbox, mailbox};
pub use registry::Registry;
