//! Infrastructure of one process: clock, mailboxes, registry and lifecycle of its internal
//! services.
//!
//! A daemon consists of internal services. A [`Lifecycle`] starts them in order and stops them in
//! reverse order, a [`Mailbox`] is the bounded queue of messages to a service, and a [`Registry`]
//! finds services by name.
//!
//! Code whose behaviour depends on the time takes it from a [`Clock`], so tests can use a
//! [`ManualClock`] and control the time:
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
mod repeats;

pub use clock::{Clock, ManualClock, SharedClock, SystemClock};
pub use error::{Error, Result};
pub use lifecycle::{Lifecycle, StopFn};
pub use mailbox::{Mailbox, mailbox};
pub use registry::Registry;
pub use repeats::{Repeated, Repeats};
