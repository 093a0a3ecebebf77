//! HTTP/1.1 between callers, the gateway and upstreams.
//!
//! toucansilld in gateway mode uses this crate to receive requests, to forward each to the upstream
//! that its placement chose, and to decide what to do when an attempt fails. In its other mode it
//! uses the crates `edge` and `upstream`.
//!
//! * [`serve`] accepts connections of callers. Their number, the size of a request's head and the
//!   time that a connection may be idle are limited. When a caller disconnects, the future that
//!   handles its request is dropped.
//! * [`read_request_body`] reads a request's body within a limit of bytes and time, and
//!   [`BodyBudget`] limits the memory of all bodies together.
//! * [`Connector`] connects to upstreams, and [`exchange`] sends one request to one upstream on a
//!   connection of its own.
//! * [`PathTable`] knows which upstreams a daemon reaches by its own connections and which only through
//!   other daemons, which [`KnownRelays`] and [`AnnouncedRelays`] list.
//! * [`EventSplitter`] splits a stream of server-sent events after whole events only. The caller
//!   has then received complete events, so another upstream can resume the stream after the
//!   id of the last one.
//! * [`next_step`] decides, from the failure of an attempt, those before it and the route's retry
//!   policy, whether the request is retried and otherwise what the caller is told.
//!
//! ```
//! use proxy::{EventChunk, EventSplitter};
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
mod paths;
mod relays;
mod retry;
mod server;

pub use body::{Body, BodySender, channel, empty, full};
pub use budget::{BodyBudget, BodyPermit};
pub use events::{EventChunk, EventSplitter, MAX_EVENT_BYTES};
pub use exchange::{
    Connector, ExchangeError, ExchangeResponse, ResponseBody, SHORT_BODY_BYTES, exchange,
    read_budgeted_body, read_response_body,
};
pub use paths::{PathChoice, PathTable, PathsChange};
pub use relays::{AnnouncedRelays, KnownRelays, RelayDaemon};
pub use retry::{AttemptFailure, AttemptHistory, NextStep, next_step};
pub use server::{ConnectionCount, Server, ServerConfig, read_request_body, serve};
