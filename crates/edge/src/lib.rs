//! Callers' and operators' HTTP.
//!
//! [`Server`] listens on one address and hands each request, its body read and
//! checked, to a handler on a worker thread. The handler answers through
//! [`ReplyHandle`], at once or from another thread:
//!
//! ```
//! use edge::{CallerRequest, EdgeConfig, Server};
//! use std::sync::Arc;
//! use wire::Verdict;
//!
//! let cfg = EdgeConfig::new("127.0.0.1:0".parse()?);
//! let handler = Arc::new(|req: CallerRequest| {
//!     let _ = req.reply.json(200, r#"{"ok":true}"#, Verdict::Ran);
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
//! Every refusal is JSON with a code, a message and a [`wire::Verdict`] that
//! says whether the request may have run.

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
mod reply;
mod request;
mod server;
mod stream;
mod workers;

pub use api_error::ApiError;
pub use call::{ApiCall, ModelCall, PrefixHash, ServiceCall};
pub use config::EdgeConfig;
pub use error::{Error, Result};
pub use keys::{ApiKeys, KeyHash, OperatorToken, hash_key, parse_key_hash};
pub use reply::ReplyHandle;
pub use request::{CallerRequest, Header, RequestHeaders, RequestPriority};
pub use server::{Handler, Server};
pub use stream::EventStream;
