//! The answer to a caller, whole or token by token.

use crate::messages::{JobFrame, RequestFailure};
use edge::{ApiError, EventStream, Reply};
use serde_json::{Value, json};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wire::{ModelId, RequestId, Tokens, Verdict};

/// When a request came, by both clocks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Received {
    /// Monotonic time.
    pub(crate) at: Instant,
    /// Wall-clock time.
    pub(crate) wall: SystemTime,
}

/// Builds the answer to one request.
pub(crate) struct Answer {
    request: RequestId,
    model: ModelId,
    is_chat: bool,
    is_streamed: bool,
    /// Unix time of the request, in seconds.
    created: u64,
    /// When the request came.
    received: Instant,
    state: State,
    next: Tokens,
    text: String,
    used: Tokens,
}

enum State {
    /// Nothing was sent yet.
    Unanswered(Reply),
    /// Events are being sent.
    Streaming(EventStream),
    /// The answer is out, or the caller gone.
    Ended,
}

impl Answer {
    /// An answer of which nothing was sent yet.
    pub(crate) fn new(
        reply: Reply,
        request: RequestId,
        model: ModelId,
        is_chat: bool,
        is_streamed: bool,
        received: Received,
    ) -> Self {
        let Received { at, wall } = received;
        let created = wall.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let state = State::Unanswered(reply);
        let (next, text, used) = (0, String::new(), 0);
        Self {
            request,
            model,
            is_chat,
            is_streamed,
            created,
            received: at,
            state,
            next,
            text,
            used,
        }
    }

    /// Offset of the next token wanted.
    pub(crate) fn next_offset(&self) -> Tokens {
        self.next
    }

    /// Tokens that the request used, prompt and answer.
    pub(crate) fn used(&self) -> Tokens {
        self.used
    }

    /// Takes a frame; false once the caller is gone.
    pub(crate) fn take(&mut self, frame: &JobFrame) -> bool {
        match frame {
            JobFrame::Waiting => self.start(),
            JobFrame::Token { offset, text } => self.token(*offset, text),
            JobFrame::Finished { reason, prompt_tokens, output_tokens } => {
                self.used = prompt_tokens + output_tokens;
                self.finish(reason, *prompt_tokens, *output_tokens)
            }
            JobFrame::Failed(_) => true,
        }
    }

    /// Ends the answer with an error.
    pub(crate) fn fail(&mut self, failure: &RequestFailure) {
        let mut err = ApiError::new(
            failure.status,
            failure.code.clone(),
            failure.reason.clone(),
            failure.verdict,
        );
        if let Some(after) = failure.retry_after_ms {
            err = err.with_retry_after(Duration::from_millis(after));
        }
        self.fail_with(err);
    }

    /// Ends the answer with an error.
    pub(crate) fn fail_with(&mut self, err: ApiError) {
        metrics::counter!("toucansill_failed_total", "code" => err.code.clone()).increment(1);
        let sent = match std::mem::replace(&mut self.state, State::Ended) {
            State::Unanswered(reply) => reply.error(err),
            State::Streaming(events) => events.fail(&err),
            State::Ended => Ok(()),
        };
        if let Err(err) = sent {
            log::debug!("{}: the caller is gone: {err}", self.request);
        }
    }

    /// Starts the stream, so that a caller that leaves is noticed while it waits.
    fn start(&mut self) -> bool {
        if !self.is_streamed {
            return true;
        }
        match std::mem::replace(&mut self.state, State::Ended) {
            State::Unanswered(reply) => match reply.stream() {
                Ok(events) => {
                    self.state = State::Streaming(events);
                    true
                }
                Err(_) => false,
            },
            State::Streaming(events) => {
                let is_there = !events.is_cancelled();
                self.state = State::Streaming(events);
                is_there
            }
            State::Ended => false,
        }
    }

    /// Sends a token on. One that was sent before, or that skips some, is dropped.
    fn token(&mut self, offset: Tokens, text: &str) -> bool {
        if offset != self.next {
            metrics::counter!("toucansill_tokens_out_of_order_total").increment(1);
            return true;
        }
        if self.next == 0 {
            let waited = self.received.elapsed().as_secs_f64();
            metrics::histogram!("toucansill_first_token_seconds").record(waited);
        }
        self.next += 1;
        if !self.is_streamed {
            self.text.push_str(text);
            return true;
        }
        let event = self.event(Some(text), Value::Null, None);
        self.start() && self.send(&event)
    }

    fn finish(&mut self, reason: &str, prompt_tokens: Tokens, output_tokens: Tokens) -> bool {
        let usage = json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": output_tokens,
            "total_tokens": prompt_tokens + output_tokens,
        });
        if !self.is_streamed {
            let body = self.whole(reason, &usage);
            return match std::mem::replace(&mut self.state, State::Ended) {
                State::Unanswered(reply) => reply.json(200, body, Verdict::Ran).is_ok(),
                _ => false,
            };
        }
        let event = self.event(None, json!(reason), Some(usage));
        if !(self.start() && self.send(&event) && self.send("[DONE]")) {
            return false;
        }
        match std::mem::replace(&mut self.state, State::Ended) {
            State::Streaming(events) => events.finish().is_ok(),
            _ => false,
        }
    }

    fn send(&self, data: &str) -> bool {
        match &self.state {
            State::Streaming(events) => events.send(data).is_ok(),
            _ => false,
        }
    }

    /// One event of a streamed answer.
    fn event(&self, text: Option<&str>, reason: Value, usage: Option<Value>) -> String {
        let choice = if self.is_chat {
            let delta = text.map_or_else(|| json!({}), |text| json!({"content": text}));
            json!({"index": 0, "delta": delta, "finish_reason": reason})
        } else {
            json!({"index": 0, "text": text.unwrap_or_default(), "finish_reason": reason})
        };
        let object = if self.is_chat { "chat.completion.chunk" } else { "text_completion" };
        let mut event = json!({
            "id": self.request,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        });
        if let Some(usage) = usage {
            event["usage"] = usage;
        }
        event.to_string()
    }

    /// The whole answer.
    fn whole(&self, reason: &str, usage: &Value) -> String {
        let choice = if self.is_chat {
            let message = json!({"role": "assistant", "content": self.text});
            json!({"index": 0, "message": message, "finish_reason": reason})
        } else {
            json!({"index": 0, "text": self.text, "finish_reason": reason})
        };
        let object = if self.is_chat { "chat.completion" } else { "text_completion" };
        json!({
            "id": self.request,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": usage,
        })
        .to_string()
    }
}
