//! One request of a trace, and how it ended.

use super::trace::{Kind, Phase};
use serde_json::Value;
use std::{
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time after the deadline in which the system's own verdict may still come.
const GRACE: Duration = Duration::from_secs(30);
/// Bytes of one prompt token.
const TOKEN_BYTES: usize = 4;

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// Answered whole.
    Answered,
    /// Refused with the verdict "not run".
    Refused,
    /// Ended by the system because its deadline had passed.
    Deadline,
    /// Anything else: no answer, a cut one, or an error after it may have run.
    Lost,
}

/// What a caller saw.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) end: End,
    /// Code of an error, or what broke; empty without one.
    pub(crate) reason: String,
    /// From the start to the first token, of a chat.
    pub(crate) first_token: Option<Duration>,
    /// Length of the prompt in tokens, 0 for calls to the service.
    pub(crate) prompt_tokens: usize,
    /// Whether the answer is the one that the engine gives to this prompt.
    pub(crate) is_right: bool,
    /// Whether a whole answer came after the deadline by the caller's clock.
    pub(crate) is_late: bool,
}

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) at: Duration,
    pub(crate) phase: Phase,
    /// Number within the phase.
    pub(crate) number: u64,
    /// Number of the phase.
    pub(crate) phase_number: usize,
}

impl Call {
    /// The idempotency key of a booking.
    pub(crate) fn key(&self) -> Option<String> {
        let key = self.phase.key.as_ref()?;
        Some(if self.phase.count > 1 { format!("{key}-{}", self.number) } else { key.clone() })
    }

    /// Sends the request and waits for its end.
    pub(crate) fn run(&self, address: SocketAddr, api_key: &str) -> Seen {
        let started = Instant::now();
        let mut seen = match self.phase.kind {
            Kind::Chat => self.chat(address, api_key, started),
            Kind::Booking | Kind::Status => self.service(address, api_key),
        };
        let deadline = Duration::from_millis(self.phase.deadline_ms);
        seen.is_late = seen.end == End::Answered && started.elapsed() > deadline;
        seen
    }

    fn send(&self, req: minreq::Request, api_key: &str) -> Result<minreq::ResponseLazy, String> {
        let limit = Duration::from_millis(self.phase.deadline_ms) + GRACE;
        req.with_header("Authorization", format!("Bearer {api_key}"))
            .with_header("Content-Type", "application/json")
            .with_header("toucansill-deadline-ms", self.phase.deadline_ms.to_string())
            .with_timeout(limit.as_secs())
            .send_lazy()
            .map_err(|err| err.to_string())
    }

    fn service(&self, address: SocketAddr, api_key: &str) -> Seen {
        let req = match self.key() {
            Some(key) => minreq::post(format!("http://{address}/yard/bookings"))
                .with_header("Idempotency-Key", key)
                .with_body("{}"),
            None => minreq::get(format!("http://{address}/yard/status")),
        };
        match self.send(req, api_key) {
            Ok(res) if res.status_code == 200 => self.seen(End::Answered, ""),
            Ok(res) => self.error(res),
            Err(reason) => self.seen(End::Lost, &reason),
        }
    }

    fn chat(&self, address: SocketAddr, api_key: &str, started: Instant) -> Seen {
        let prompt = self.prompt();
        let tokens = self.phase.output_tokens.unwrap_or(1);
        let body = serde_json::json!({
            "model": super::MODEL, "max_tokens": tokens, "stream": true,
            "messages": [{"role": "user", "content": prompt}],
        });
        let req = minreq::post(format!("http://{address}/v1/chat/completions"))
            .with_body(body.to_string());
        match self.send(req, api_key) {
            Ok(res) if res.status_code == 200 => self.stream(res, &prompt, tokens, started),
            Ok(res) => self.error(res),
            Err(reason) => self.seen(End::Lost, &reason),
        }
    }

    /// A prompt of the stated length that no other request has.
    fn prompt(&self) -> String {
        let bytes = self.phase.prompt_tokens.unwrap_or(1) * TOKEN_BYTES;
        let mut prompt = format!("{} {} ", self.phase_number, self.number);
        prompt += &"word".repeat(bytes / TOKEN_BYTES + 1);
        prompt.truncate(bytes);
        prompt
    }

    fn stream(
        &self,
        res: minreq::ResponseLazy,
        prompt: &str,
        tokens: usize,
        started: Instant,
    ) -> Seen {
        let mut text = String::new();
        let mut first_token = None;
        let mut seen = self.seen(End::Lost, "the stream was cut");
        for line in BufReader::new(res).lines() {
            let Ok(line) = line else { break };
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                seen = self.seen(End::Answered, "");
                break;
            }
            let event: Value = serde_json::from_str(data).unwrap_or_default();
            if let Some(code) = event["error"]["code"].as_str() {
                seen = self.seen(end_of(&event, code), code);
                break;
            }
            let part = event["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
            if !part.is_empty() {
                first_token.get_or_insert_with(|| started.elapsed());
            }
            text += part;
        }
        seen.first_token = first_token;
        let expected = fake::completion_text(prompt, 0, tokens as u64);
        seen.is_right = match seen.end {
            End::Answered => text == expected,
            _ => expected.starts_with(&text),
        };
        seen
    }

    fn error(&self, mut res: minreq::ResponseLazy) -> Seen {
        let mut body = String::new();
        if let Err(err) = res.read_to_string(&mut body) {
            return self.seen(End::Lost, &err.to_string());
        }
        let value: Value = serde_json::from_str(&body).unwrap_or_default();
        let code = value["error"]["code"].as_str().unwrap_or("no code");
        self.seen(end_of(&value, code), code)
    }

    fn seen(&self, end: End, reason: &str) -> Seen {
        Seen {
            end,
            reason: reason.to_string(),
            first_token: None,
            prompt_tokens: self.phase.prompt_tokens.unwrap_or_default(),
            is_right: true,
            is_late: false,
        }
    }
}

fn end_of(value: &Value, code: &str) -> End {
    match (code, value["error"]["verdict"].as_str()) {
        ("deadline", _) => End::Deadline,
        (_, Some("not-run")) => End::Refused,
        _ => End::Lost,
    }
}
