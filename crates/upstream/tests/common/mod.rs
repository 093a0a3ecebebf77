//! Helpers for the tests of this crate.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use fake::Engine;
use std::time::{Duration, Instant};
use upstream::{Client, ClientConfig, StreamEvent, StreamRequest, Target, TokenStream};

/// Deadline that no test reaches; nothing waits for it to pass.
pub(crate) const DEADLINE: Duration = Duration::from_secs(60);

/// A client whose I/O timeout doesn't pass when a busy computer delays a test.
pub(crate) fn client() -> Client {
    Client::new(ClientConfig { io_timeout: DEADLINE, ..ClientConfig::default() })
}

/// A client with a short I/O timeout, for tests that wait until it passes.
pub(crate) fn short_timeout_client() -> Client {
    let io_timeout = Duration::from_millis(300);
    Client::new(ClientConfig { io_timeout, ..ClientConfig::default() })
}

pub(crate) fn target(id: &str, engine: &Engine) -> Target {
    Target::new(id, engine.address().to_string())
}

pub(crate) fn request(id: &str, prompt: &str, max_tokens: u64) -> StreamRequest {
    let body = serde_json::json!({
        "model": "small", "prompt": prompt, "max_tokens": max_tokens, "stream": true,
    });
    StreamRequest::new(id, "/v1/completions", body.to_string(), Instant::now() + DEADLINE)
}

/// Text and last event that a stream has yielded.
pub(crate) struct Collected {
    pub(crate) text: String,
    pub(crate) last: Option<StreamEvent>,
}

/// Reads up to `tokens` tokens, or to the last event.
pub(crate) fn collect(stream: &mut TokenStream, tokens: usize) -> Collected {
    let mut collected = Collected { text: String::new(), last: None };
    let mut received = 0;
    while received < tokens && collected.last.is_none() {
        match stream.recv() {
            Some(StreamEvent::Token(token)) => {
                collected.text += &token.text;
                received += 1;
            }
            Some(event) if event.is_last() => collected.last = Some(event),
            Some(_) => {}
            None => panic!("the stream ended without a last event"),
        }
    }
    collected
}
