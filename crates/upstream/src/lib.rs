//! Client for upstreams: announcements, streams, calls, orders and reconciliation.
//!
//! An upstream, which is a model engine or a plain service, announces itself
//! with `POST /upstreams` ([`announce`]). Each upstream has one owner at a time:
//! the daemon that the control group assigns it to, for a numbered ownership
//! epoch. The owner streams completions from an engine ([`stream`]), also over
//! several engines when a prompt exceeds the memory of one ([`gang`]), and calls
//! a plain service ([`call`]). It sends engines orders such as loading a model
//! ([`orders`]) and compares what they run with what it expects them to run
//! ([`reconcile`]).
//!
//! Every failure is an [`Error`] with a [verdict](Error::verdict): whether the
//! request may have run. [`attempt`] decides from the verdict, the deadline and
//! the retry budget whether to make another attempt.
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
mod stream_run;
mod workers;

pub use announce::{AnnouncedUpstreams, Announcement, UpstreamKind};
pub use attempt::{Backoff, RetryBudget, RetryDecision, RetryState};
pub use call::{ServiceRequest, ServiceResponse};
pub use client::{Client, ClientConfig, ClientCounters, Target};
pub use error::{Error, ErrorReason, Result};
pub use http::Header;
pub use manage::{EngineInventory, MemoryHolder};
pub use merger::{MergeOutcome, StreamMerger};
pub use stream::{
    FailedAttempt, StreamEvent, StreamFinish, StreamRequest, Token, TokenStream, TokenUsage,
};
