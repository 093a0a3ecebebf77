//! HTTP on the data path.
//!
//! * [`serve`] takes connections of callers, with bounds on what they may send and on how
//!   many they are. It notices a caller that leaves: the future of its request is dropped.
//! * [`exchange`] sends one request to one upstream on a connection of its own.
//! * [`Events`] cuts a stream of bytes into whole events, so that a stream can go on at
//!   another upstream after the last one that was passed on.
//! * [`next_step`] decides what follows a failed send.
//!
//! ```
//! use proxy::{Events, Piece};
//!
//! let mut events = Events::new();
//! events.push(b"id: 4\ndata: a\n\nid: 5\nda");
//! let Some(Piece { bytes, id }) = events.next_piece() else { panic!() };
//! assert_eq!((bytes.as_ref(), id), (b"id: 4\ndata: a\n\n".as_slice(), Some(4)));
//! assert!(events.next_piece().is_none(), "the second event is not whole");
//! ```

mod body;
mod budget;
mod events;
mod exchange;
mod retry;
mod server;

pub use body::{Body, BodySender, channel, empty, full};
pub use budget::{BodyBudget, BodyRoom};
pub use events::{Events, Piece};
pub use exchange::{Answer, AnswerBody, ExchangeError, exchange, gather};
pub use retry::{Fault, Sent, Step, next_step};
pub use server::{Connections, Server, ServerConfig, read_body, serve};
