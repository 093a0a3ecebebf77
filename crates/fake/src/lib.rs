//! Simulated model engines and plain services for tests, with faults on demand.
//!
//! An [`Engine`] is an HTTP server on 127.0.0.1 that simulates continuous batching with the
//! rates and the memory of its [`EngineConfig`]. The text of a completion is a pure function of
//! the prompt, so a test can compare what a caller received with [`completion_text`]:
//!
//! ```
//! use fake::{Engine, EngineConfig, completion_text};
//!
//! let engine = Engine::start(EngineConfig::default())?;
//! let url = format!("http://{}/v1/completions", engine.address());
//! let body = r#"{"model": "small", "prompt": "hello", "max_tokens": 3}"#;
//! let reply = minreq::post(url).with_body(body).send().expect("a response");
//! assert!(reply.as_str().expect("UTF-8").contains(&completion_text("hello", 0, 3)));
//! # Ok::<(), std::io::Error>(())
//! ```
//!
//! A [`PlainService`] counts how often it executes each call, so that a test can check that no
//! call ran twice. An [`Announcer`] registers either kind of upstream with a daemon, as a real
//! one does.
//!
//! A [`FaultProxy`] stands between each of them and its clients, so that a test can cut open
//! connections, or drop their bytes, while new connections work.
//!
//! [`PassEngines`] simulate engines in virtual time without sockets, for comparing placement
//! policies on long traces.

mod announce;
mod batch;
mod body;
mod cache;
mod config;
mod control;
mod engine;
mod http;
mod kv;
mod load;
mod orders;
mod passes;
mod plain;
mod relay;
mod serve;
mod state;
mod text;
mod watchdog;

pub use announce::Announcer;
pub use config::{EngineConfig, Ramp};
pub use engine::Engine;
pub use orders::ExecutedOrder;
pub use passes::{Millis, PassEngines, RequestNumber, RequestTimes};
pub use plain::{Behaviour, PlainService, PlainServiceConfig};
pub use relay::FaultProxy;
pub use state::Stats;
pub use text::{completion_text, count_tokens};
pub use watchdog::Watchdog;
