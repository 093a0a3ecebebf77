//! What the tests of streams and calls share.
#![allow(dead_code, reason = "each test file uses a part")]

use fake::Engine;
use std::time::{Duration, Instant};
use upstream::{Client, ClientConfig, StreamEvent, StreamRequest, Target, TokenStream};

/// Long enough for any test; nothing waits for it to pass.
pub(crate) const DEADLINE: Duration = Duration::from_secs(60);

/// A client that takes no delay of a busy machine for silence.
pub(crate) fn client() -> Client {
    Client::new(ClientConfig { io_timeout: DEADLINE, ..ClientConfig::default() })
}

/// A client for tests of silence, which wait for its timeout.
pub(crate) fn impatient_client() -> Client {
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

/// What a stream yielded.
pub(crate) struct Collected {
    pub(crate) text: String,
    pub(crate) last: Option<StreamEvent>,
}

/// Reads up to `tokens` tokens, or to the last event.
pub(crate) fn collect(stream: &mut TokenStream, tokens: usize) -> Collected {
    let mut collected = Collected { text: String::new(), last: None };
    let mut seen = 0;
    while seen < tokens && collected.last.is_none() {
        match stream.recv() {
            Some(StreamEvent::Token(token)) => {
                collected.text += &token.text;
                seen += 1;
            }
            Some(event) if event.is_last() => collected.last = Some(event),
            Some(_) => {}
            None => panic!("the stream ended without a last event"),
        }
    }
    collected
}
