//! Response to a caller of a model, complete or streamed token by token.

use crate::messages::{JobFrame, RequestFailure};
use edge::{ApiError, EventStream, ResponseHandle};
use serde_json::{Value, json};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wire::{ModelId, RequestId, Tokens, Verdict};

/// Arrival time of a request, by both clocks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedAt {
    /// Monotonic time.
    pub(crate) monotonic: Instant,
    /// Wall-clock time.
    pub(crate) wall: SystemTime,
}

/// Builds the response to one request from the frames of its owner.
pub(crate) struct CallerResponse {
    request: RequestId,
    model: ModelId,
    is_chat: bool,
    is_streamed: bool,
    /// Unix time at which the request arrived, in seconds.
    created: u64,
    /// When the request arrived.
    received: Instant,
    state: ResponseState,
    /// Offset of the next token expected.
    next_offset: Tokens,
    /// Text so far, if the response is not streamed.
    text: String,
    /// Tokens of prompt and answer, known at the end.
    used_tokens: Tokens,
}

/// Progress of a response.
enum ResponseState {
    /// Nothing has been sent yet.
    Unanswered(ResponseHandle),
    /// The response is a stream of events, which has been started.
    Streaming(EventStream),
    /// The response is complete, or the caller has disconnected.
    Ended,
}

impl CallerResponse {
    /// Response of which nothing has been sent yet.
    pub(crate) fn new(
        response: ResponseHandle,
        request: RequestId,
        model: ModelId,
        is_chat: bool,
        is_streamed: bool,
        received: ReceivedAt,
    ) -> Self {
        let ReceivedAt { monotonic, wall } = received;
        let created = wall.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let state = ResponseState::Unanswered(response);
        let (next_offset, text, used_tokens) = (0, String::new(), 0);
        Self {
            request,
            model,
            is_chat,
            is_streamed,
            created,
            received: monotonic,
            state,
            next_offset,
            text,
            used_tokens,
        }
    }

    /// Offset of the next token expected, which is the number of tokens received.
    pub(crate) fn next_offset(&self) -> Tokens {
        self.next_offset
    }

    /// Number of tokens that the request used for prompt and answer, or 0 if it has not finished.
    pub(crate) fn used_tokens(&self) -> Tokens {
        self.used_tokens
    }

    /// Passes a frame on to the caller. Returns false once the caller has disconnected.
    pub(crate) fn apply_frame(&mut self, frame: &JobFrame) -> bool {
        match frame {
            JobFrame::Waiting => self.start_stream(),
            JobFrame::Token { offset, text } => self.push_token(*offset, text),
            JobFrame::Finished { reason, prompt_tokens, output_tokens } => {
                self.used_tokens = prompt_tokens + output_tokens;
                self.finish(reason, *prompt_tokens, *output_tokens)
            }
            JobFrame::Failed(_) => true,
        }
    }

    /// Ends the response with the failure of the last owner.
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

    /// Ends the response with an error: a response of its own, or the last event of a stream.
    pub(crate) fn fail_with(&mut self, err: ApiError) {
        metrics::counter!("toucansill_failed_total", "code" => err.code.clone()).increment(1);
        let sent = match std::mem::replace(&mut self.state, ResponseState::Ended) {
            ResponseState::Unanswered(response) => response.error(err),
            ResponseState::Streaming(events) => events.fail(&err),
            ResponseState::Ended => Ok(()),
        };
        if let Err(err) = sent {
            log::debug!("{}: the caller has disconnected: {err}", self.request);
        }
    }

    /// Starts the stream if the caller wants one, and returns whether the caller is connected. It
    /// is started before the first token, so that a caller that disconnects while its request is
    /// queued is noticed.
    fn start_stream(&mut self) -> bool {
        if !self.is_streamed {
            return true;
        }
        match std::mem::replace(&mut self.state, ResponseState::Ended) {
            ResponseState::Unanswered(response) => match response.stream() {
                Ok(events) => {
                    self.state = ResponseState::Streaming(events);
                    true
                }
                Err(_) => false,
            },
            ResponseState::Streaming(events) => {
                let is_connected = !events.is_cancelled();
                self.state = ResponseState::Streaming(events);
                is_connected
            }
            ResponseState::Ended => false,
        }
    }

    /// Passes a token on. A token whose offset is not the next one, because it is repeated or
    /// others are missing, is dropped and counted.
    fn push_token(&mut self, offset: Tokens, text: &str) -> bool {
        if offset != self.next_offset {
            metrics::counter!("toucansill_tokens_out_of_order_total").increment(1);
            return true;
        }
        if self.next_offset == 0 {
            let waited = self.received.elapsed().as_secs_f64();
            metrics::histogram!("toucansill_first_token_seconds").record(waited);
        }
        self.next_offset += 1;
        if !self.is_streamed {
            self.text.push_str(text);
            return true;
        }
        let event = self.event(Some(text), Value::Null, None);
        self.start_stream() && self.send(&event)
    }

    /// Ends the response, with the token counts.
    fn finish(&mut self, reason: &str, prompt_tokens: Tokens, output_tokens: Tokens) -> bool {
        let usage = json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": output_tokens,
            "total_tokens": prompt_tokens + output_tokens,
        });
        if !self.is_streamed {
            let body = self.complete_body(reason, &usage);
            return match std::mem::replace(&mut self.state, ResponseState::Ended) {
                ResponseState::Unanswered(response) => {
                    response.json(200, body, Verdict::Ran).is_ok()
                }
                _ => false,
            };
        }
        let event = self.event(None, json!(reason), Some(usage));
        if !(self.start_stream() && self.send(&event) && self.send("[DONE]")) {
            return false;
        }
        match std::mem::replace(&mut self.state, ResponseState::Ended) {
            ResponseState::Streaming(events) => events.finish().is_ok(),
            _ => false,
        }
    }

    /// Sends one event. Returns false once the caller has disconnected.
    fn send(&self, data: &str) -> bool {
        match &self.state {
            ResponseState::Streaming(events) => events.send(data).is_ok(),
            _ => false,
        }
    }

    /// One event of a streamed response: a token, or the end with its reason and token counts.
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

    /// Body of a response that is not streamed.
    fn complete_body(&self, reason: &str, usage: &Value) -> String {
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
