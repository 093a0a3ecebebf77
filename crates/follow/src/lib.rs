//! Followers of a leader: daemons that keep a copy of its state up to date by long polls.
//!
//! A follower sends the [`ViewPosition`] of its copy. The leader records it in [`Followers`], and
//! holds the request in [`HeldRequests`] until the follower lacks something, or for a limited time,
//! by which the follower sees that the leader is alive. A change is known to all once
//! [`Followers::all_cover`] its position.
//!
//! The work of a leader must not grow with the product of changes and followers: in a release of a
//! service dozens of upstreams come and go each second, and each change would be a message to each of
//! hundreds of daemons. So several changes share a round of replies, and the time between two rounds
//! grows with the number of followers.
//!
//! Daemons also forward orders to the leader. [`OrderTickets`] keep those out that arrive late.
//!
//! Nothing here does I/O or reads a clock.
//!
//! ```
//! use follow::{HeldRequests, ViewPosition};
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let mut position = ViewPosition { term: 1, ..ViewPosition::default() };
//! let mut held = HeldRequests::new(Duration::from_millis(400));
//! held.hold(now, position, "follower-1");
//! assert!(held.take_due(now, position).is_empty());
//!
//! position.directory = 1;
//! held.changed(now);
//! let due = held.next_due().unwrap();
//! assert_eq!(held.take_due(due, position).len(), 1);
//! ```

mod followers;
mod held;
mod orders;
mod position;

pub use followers::Followers;
pub use held::{HeldRequest, HeldRequests};
pub use orders::{OrderTicket, OrderTickets};
pub use position::{History, ViewPosition};
