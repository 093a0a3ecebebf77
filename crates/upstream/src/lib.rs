//! Meets upstreams: announcements, streams, orders and reconciliation.
//!
//! An upstream announces itself ([`announce`]); a daemon then streams
//! completions from it ([`stream`]) or calls it once ([`call`]). Every failure
//! is an [`Error`] whose [verdict](Error::verdict) says whether the request
//! may have run, and [`attempt`] decides from it whether to try again.
//!
//! ```
//! use fake::{Engine, EngineConfig, completion_text};
//! use std::time::{Duration, Instant};
//! use upstream::{Client, ClientConfig, StreamEvent, StreamRequest, Target};
//!
//! let engine = Engine::start(EngineConfig::default()).expect("a free port");
//! let target = Target::new("engine-1", engine.address().to_string());
//! let body = r#"{"model": "small", "prompt": "hello", "max_tokens": 3, "stream": true}"#;
//! let deadline = Instant::now() + Duration::from_secs(10);
//! let req = StreamRequest::new("r-1", "/v1/completions", body, deadline);
//!
//! let client = Client::new(ClientConfig::default());
//! let mut stream = client.stream(req, move |failed| failed.is_none().then(|| target.clone()));
//! let mut text = String::new();
//! for event in &mut stream {
//!     if let StreamEvent::Token(token) = event {
//!         text += &token.text;
//!     }
//! }
//! assert_eq!(text, completion_text("hello", 0, 3));
//! ```

pub mod announce;
pub mod attempt;
pub mod call;
mod client;
mod error;
mod events;
pub mod gang;
mod http;
mod manage;
pub mod orders;
pub mod reconcile;
mod splice;
pub mod stream;
mod transfer;
mod workers;

pub use announce::{Announcement, Directory, Kind};
pub use attempt::{Backoff, Budget, Next, Retry};
pub use call::{Answer, CallRequest};
pub use client::{Client, ClientConfig, Counters, Target};
pub use error::{Error, Reason, Result};
pub use http::Header;
pub use manage::{Holding, Report};
pub use splice::{Splice, Spliced};
pub use stream::{Failed, Finish, Stream, StreamEvent, StreamRequest, Token, Usage};
