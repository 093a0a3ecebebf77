//! Stand-ins for model engines and plain services.
//!
//! An [`Engine`] is an HTTP server on 127.0.0.1 that batches continuously at
//! stated rates, within a stated memory. Its answers are a pure function of
//! the prompt, so a test can compare what a caller received with
//! [`completion_text`]:
//!
//! ```
//! use fake::{Engine, EngineConfig, completion_text};
//!
//! let engine = Engine::start(EngineConfig::default())?;
//! let url = format!("http://{}/v1/completions", engine.address());
//! let body = r#"{"model": "small", "prompt": "hello", "max_tokens": 3}"#;
//! let reply = minreq::post(url).with_body(body).send().expect("the engine answers");
//! assert!(reply.as_str().expect("UTF-8").contains(&completion_text("hello", 0, 3)));
//! # Ok::<(), std::io::Error>(())
//! ```
//!
//! [`PassEngines`] work in virtual time by published rates, for trials of placement.
//!
//! A [`FaultProxy`] stands between the engine and its clients, so that open
//! connections can be cut, or go silent while new ones work.

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
