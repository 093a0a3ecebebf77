//! HTTP server for callers and operators of a daemon. The gateway mode of toucansilld uses the
//! crate `proxy` instead.
//!
//! [`Server`] listens on one address. It checks the headers of each request, reads its body within
//! the limits of [`EdgeConfig`] and calls a handler on a worker thread. The daemon starts one
//! server for callers and one for operators, each with a handler of its own. The handler responds
//! through [`ResponseHandle`], at once or later from another thread:
//!
//! ```
//! use edge::{CallerRequest, EdgeConfig, Server};
//! use std::sync::Arc;
//! use wire::Verdict;
//!
//! let cfg = EdgeConfig::new("127.0.0.1:0".parse()?);
//! let handler = Arc::new(|req: CallerRequest| {
//!     let _ = req.response.json(200, r#"{"ok":true}"#, Verdict::Ran);
//! });
//! let server = Server::start(cfg, handler)?;
//!
//! let url = format!("http://{}/v1/models", server.address());
//! let res = minreq::get(url).send()?;
//! assert_eq!(res.status_code, 200);
//! assert_eq!(res.as_str()?, r#"{"ok":true}"#);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! The crate also holds what those handlers need to interpret a request:
//!
//! - [`ApiCall`] is parsed from method, path and body. A [`ModelCall`] carries an estimate of the
//!   prompt's tokens and the hashes of its first blocks, from which admission and placement decide.
//! - [`ApiKeys`] maps an API key to its organisation, and [`OperatorToken`] checks an operator's
//!   token.
//! - [`RequestHeaders`] holds the headers that the system interprets, such as the idempotency key.
//!
//! Each refusal is an [`ApiError`]: JSON with a code, a message and a [`wire::Verdict`], which
//! tells whether the request may have run.

mod api_error;
mod body;
mod call;
mod config;
mod error;
mod estimate;
mod heartbeat;
mod in_flight;
mod keys;
mod listener;
mod quarantine;
mod request;
mod response;
mod server;
mod stream;
mod workers;

pub use api_error::ApiError;
pub use call::{ApiCall, ModelCall, PrefixHash, ServiceCall};
pub use config::EdgeConfig;
pub use error::{Error, Result};
pub use keys::{ApiKeys, KeyHash, OperatorToken, hash_key, parse_key_hash};
pub use request::{CallerRequest, Header, RequestHeaders, RequestPriority};
pub use response::ResponseHandle;
pub use server::{Handler, Server};
pub use stream::EventStream;
