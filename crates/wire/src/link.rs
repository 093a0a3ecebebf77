//! Links between daemons: HTTP/2 connections whose streams carry `bincode` frames.
//!
//! On a new connection the two daemons authenticate each other by the region secret and agree on
//! a protocol version. The daemon that opened the connection then opens one stream for each
//! message that it sends; the reply returns on the same stream. To send messages in the other
//! direction, the other daemon opens its own connection.
//!
//! Threads outside an asynchronous runtime use the blocking calls:
//!
//! ```
//! use std::{sync::Arc, time::Duration};
//! use wire::{Inbound, LinkConfig, Links, Message, RegionSecret};
//!
//! let secret = RegionSecret::new("a secret for this example")?;
//! let config = |id: &str| {
//!     LinkConfig::new(id.to_owned(), "127.0.0.1:0".parse().unwrap(), secret.clone())
//! };
//! let echo = |inbound: Inbound| {
//!     let _ = inbound.responder.reply(inbound.message.body);
//! };
//! let server = Links::start(config("a"), Arc::new(echo))?;
//! let client = Links::start(config("b"), Arc::new(|_| ()))?;
//!
//! let message = Message { service: "echo".to_owned(), body: b"hello".to_vec() };
//! let reply = client.request(server.address(), message, Duration::from_secs(5))?;
//! assert_eq!(reply, b"hello");
//! # Ok::<(), wire::Error>(())
//! ```

mod accept;
mod config;
mod connect;
mod counters;
mod exchange;
mod failure;
mod frame;
mod handshake;
mod links;
mod ping;
mod probe;
mod responder;
mod stream_in;

pub use config::{LinkConfig, PeerRoute, VersionRange};
pub use counters::LinkCounters;
pub use failure::{LinkFailure, LinkFailureKind};
pub use frame::FrameDecoder;
pub use links::Links;
pub use probe::{ProbeOutcome, probe};
pub use responder::{Inbound, InboundHandler, Responder};
pub use stream_in::StreamIn;
