//! HTTP on the data path.
//!
//! * [`serve`] takes connections of callers, with bounds on what they may send and on how
//!   many they are. It notices a caller that leaves: the future of its request is dropped.
//! * [`exchange`] sends one request to one upstream on a connection of its own.
//! * [`EventSplitter`] cuts a stream of bytes into whole events, so that a stream can go on at
//!   another upstream after the last one that was passed on.
//! * [`next_step`] decides what follows a failed send.
//!
//! ```
//! use proxy::{EventSplitter, EventChunk};
//!
//! let mut events = EventSplitter::new();
//! events.push(b"id: 4\ndata: a\n\nid: 5\nda");
//! let Some(EventChunk { bytes, last_id }) = events.next_chunk() else { panic!() };
//! assert_eq!((bytes.as_ref(), last_id), (b"id: 4\ndata: a\n\n".as_slice(), Some(4)));
//! assert!(events.next_chunk().is_none(), "the second event is not whole");
//! ```

mod body;
mod budget;
mod events;
mod exchange;
mod retry;
mod server;

pub use body::{Body, BodySender, channel, empty, full};
pub use budget::{BodyBudget, BodyPermit};
pub use events::{EventChunk, EventSplitter};
pub use exchange::{ExchangeError, ExchangeResponse, ResponseBody, exchange, read_response_body};
pub use retry::{AttemptFailure, AttemptHistory, NextStep, next_step};
pub use server::{ConnectionCount, Server, ServerConfig, read_request_body, serve};
