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
mod merger;
pub mod orders;
pub mod reconcile;
pub mod stream;
mod transfer;
mod workers;

pub use announce::{AnnouncedUpstreams, Announcement, UpstreamKind};
pub use attempt::{Backoff, RetryBudget, RetryDecision, RetryState};
pub use call::{ServiceRequest, ServiceResponse};
pub use client::{Client, ClientConfig, ClientCounters, Target};
pub use error::{Error, ErrorReason, Result};
pub use http::Header;
pub use manage::{EngineInventory, MemoryHolder};
pub use merger::{MergedToken, StreamMerger};
pub use stream::{
    FailedAttempt, StreamEvent, StreamFinish, StreamRequest, Token, TokenStream, TokenUsage,
};
