//! Sends one request of a trace and records how it ended.

use super::trace::{RequestKind, RequestSeries};
use serde_json::Value;
use std::{
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time after the deadline for which the caller still waits for the system's verdict.
const VERDICT_GRACE: Duration = Duration::from_secs(30);
/// Number of bytes that the stand-in engine counts as one prompt token.
const TOKEN_BYTES: usize = 4;

/// How a request ended, as its caller saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallOutcome {
    /// The response was complete.
    Answered,
    /// Refused with the verdict `not-run`.
    Refused,
    /// Ended by the system because the deadline had passed.
    Deadline,
    /// Anything else: no response, an incomplete one, or an error after the request may have run.
    Lost,
}

/// Result of one request.
#[derive(Clone, Debug)]
pub(crate) struct CallResult {
    pub(crate) outcome: CallOutcome,
    /// Error code or cause of the failure; empty if the response was complete.
    pub(crate) reason: String,
    /// Time from the start to the first token; `None` for calls to the service.
    pub(crate) first_token: Option<Duration>,
    /// Length of the prompt in tokens; 0 for calls to the service.
    pub(crate) prompt_tokens: usize,
    /// Whether the received text equals the engine's completion of this prompt, or is the start of
    /// it if the response was incomplete.
    pub(crate) has_expected_text: bool,
    /// Whether a complete response arrived after the deadline, by the caller's clock.
    pub(crate) is_late: bool,
}

/// One request of a trace.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Time from the start of the run to the start of this request.
    pub(crate) at: Duration,
    pub(crate) series: RequestSeries,
    /// Number within the series.
    pub(crate) number: u64,
    /// Number of the series.
    pub(crate) series_number: usize,
}

impl Call {
    /// Idempotency key of a booking.
    pub(crate) fn key(&self) -> Option<String> {
        let key = self.series.key.as_ref()?;
        Some(if self.series.count > 1 { format!("{key}-{}", self.number) } else { key.clone() })
    }

    /// Sends the request and waits for its outcome.
    pub(crate) fn run(&self, address: SocketAddr, api_key: &str) -> CallResult {
        let started = Instant::now();
        let mut result = match self.series.kind {
            RequestKind::Chat => self.chat(address, api_key, started),
            RequestKind::Booking | RequestKind::Status => self.service(address, api_key),
        };
        let deadline = Duration::from_millis(self.series.deadline_ms);
        result.is_late = result.outcome == CallOutcome::Answered && started.elapsed() > deadline;
        result
    }

    fn send(&self, req: minreq::Request, api_key: &str) -> Result<minreq::ResponseLazy, String> {
        let limit = Duration::from_millis(self.series.deadline_ms) + VERDICT_GRACE;
        req.with_header("Authorization", format!("Bearer {api_key}"))
            .with_header("Content-Type", "application/json")
            .with_header("toucansill-deadline-ms", self.series.deadline_ms.to_string())
            .with_timeout(limit.as_secs())
            .send_lazy()
            .map_err(|err| err.to_string())
    }

    /// Sends a booking or a status call to the plain service.
    fn service(&self, address: SocketAddr, api_key: &str) -> CallResult {
        let req = match self.key() {
            Some(key) => minreq::post(format!("http://{address}/yard/bookings"))
                .with_header("Idempotency-Key", key)
                .with_body("{}"),
            None => minreq::get(format!("http://{address}/yard/status")),
        };
        match self.send(req, api_key) {
            Ok(res) if res.status_code == 200 => self.result(CallOutcome::Answered, ""),
            Ok(res) => self.error(res),
            Err(reason) => self.result(CallOutcome::Lost, &reason),
        }
    }

    /// Sends a streamed chat completion.
    fn chat(&self, address: SocketAddr, api_key: &str, started: Instant) -> CallResult {
        let prompt = self.prompt();
        let tokens = self.series.output_tokens.unwrap_or(1);
        let body = serde_json::json!({
            "model": super::MODEL, "max_tokens": tokens, "stream": true,
            "messages": [{"role": "user", "content": prompt}],
        });
        let req = minreq::post(format!("http://{address}/v1/chat/completions"))
            .with_body(body.to_string());
        match self.send(req, api_key) {
            Ok(res) if res.status_code == 200 => self.stream(res, &prompt, tokens, started),
            Ok(res) => self.error(res),
            Err(reason) => self.result(CallOutcome::Lost, &reason),
        }
    }

    /// A prompt of the length that the series states. It starts with the numbers of the series and
    /// the request, which make it unique.
    fn prompt(&self) -> String {
        let bytes = self.series.prompt_tokens.unwrap_or(1) * TOKEN_BYTES;
        let mut prompt = format!("{} {} ", self.series_number, self.number);
        prompt += &"word".repeat(bytes / TOKEN_BYTES + 1);
        prompt.truncate(bytes);
        prompt
    }

    /// Reads the event stream to its end.
    fn stream(
        &self,
        res: minreq::ResponseLazy,
        prompt: &str,
        tokens: usize,
        started: Instant,
    ) -> CallResult {
        let mut text = String::new();
        let mut first_token = None;
        let mut result = self.result(CallOutcome::Lost, "the stream ended early");
        for line in BufReader::new(res).lines() {
            let Ok(line) = line else { break };
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                result = self.result(CallOutcome::Answered, "");
                break;
            }
            let event: Value = serde_json::from_str(data).unwrap_or_default();
            if let Some(code) = event["error"]["code"].as_str() {
                result = self.result(outcome_of(&event, code), code);
                break;
            }
            let part = event["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
            if !part.is_empty() {
                first_token.get_or_insert_with(|| started.elapsed());
            }
            text += part;
        }
        result.first_token = first_token;
        let expected = fake::completion_text(prompt, 0, tokens as u64);
        result.has_expected_text = match result.outcome {
            CallOutcome::Answered => text == expected,
            _ => expected.starts_with(&text),
        };
        result
    }

    /// Result of a request that was answered with an error status.
    fn error(&self, mut res: minreq::ResponseLazy) -> CallResult {
        let mut body = String::new();
        if let Err(err) = res.read_to_string(&mut body) {
            return self.result(CallOutcome::Lost, &err.to_string());
        }
        let value: Value = serde_json::from_str(&body).unwrap_or_default();
        let code = value["error"]["code"].as_str().unwrap_or("no code");
        self.result(outcome_of(&value, code), code)
    }

    fn result(&self, outcome: CallOutcome, reason: &str) -> CallResult {
        CallResult {
            outcome,
            reason: reason.to_string(),
            first_token: None,
            prompt_tokens: self.series.prompt_tokens.unwrap_or_default(),
            has_expected_text: true,
            is_late: false,
        }
    }
}

/// Outcome of a request that ended with this error.
fn outcome_of(value: &Value, code: &str) -> CallOutcome {
    match (code, value["error"]["verdict"].as_str()) {
        ("deadline", _) => CallOutcome::Deadline,
        (_, Some("not-run")) => CallOutcome::Refused,
        _ => CallOutcome::Lost,
    }
}
