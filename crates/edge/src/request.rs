//! A caller's request after its checks.

use crate::{ApiError, ReplyHandle};
use http::Method;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use wire::IdempotencyKey;

/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Longest deadline that a caller may ask for.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// Whether a request goes before others.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum RequestPriority {
    /// Goes first.
    Urgent,
    /// The usual case.
    #[default]
    Ordinary,
}

/// The headers that the system reads, and all others as they came.
#[derive(Clone, Debug, Default)]
pub struct RequestHeaders {
    /// Key of `Authorization: Bearer`.
    pub api_key: Option<String>,
    /// `Content-Type`, as it came.
    pub content_type: Option<String>,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<IdempotencyKey>,
    /// `toucansill-deadline-ms`: time from arrival to the end of the answer.
    pub deadline: Option<Duration>,
    /// `toucansill-priority`, if given.
    pub priority: Option<RequestPriority>,
    /// All headers by name in lower case, in the order in which they came.
    pub all: Vec<Header>,
}

/// One header.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// One request with its whole body and the way to answer it.
#[derive(Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without its question mark, empty if there is none.
    pub query: String,
    /// Headers.
    pub headers: RequestHeaders,
    /// The whole body.
    pub body: Vec<u8>,
    /// Address of the other end of the connection.
    pub remote: Option<SocketAddr>,
    /// When the headers had arrived.
    pub received: Instant,
    /// Answers the request.
    pub reply: ReplyHandle,
}

impl RequestHeaders {
    /// Reads the headers of a request.
    ///
    /// # Errors
    ///
    /// A header with a value that can't be read is refused, as guessing might
    /// run a request twice or too late.
    pub(crate) fn parse(all: Vec<Header>) -> Result<Self, ApiError> {
        let mut headers = Self::default();
        all.iter().try_for_each(|h| headers.read(h))?;
        headers.all = all;
        Ok(headers)
    }

    /// The first value of a header, by its name in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all.iter().find(|h| h.name == name).map(|h| h.value.as_str())
    }

    fn read(&mut self, header: &Header) -> Result<(), ApiError> {
        let value = header.value.trim();
        match header.name.as_str() {
            "authorization" => set_once(&mut self.api_key, parse_bearer(value)?, header),
            "content-type" => set_once(&mut self.content_type, value.to_owned(), header),
            "idempotency-key" => set_once(&mut self.idempotency_key, parse_key(value)?, header),
            "toucansill-deadline-ms" => {
                set_once(&mut self.deadline, parse_deadline(value)?, header)
            }
            "toucansill-priority" => set_once(&mut self.priority, parse_priority(value)?, header),
            _ => Ok(()),
        }
    }
}

fn set_once<T>(slot: &mut Option<T>, value: T, header: &Header) -> Result<(), ApiError> {
    match slot.replace(value) {
        None => Ok(()),
        Some(_) => Err(bad_header(&header.name, "is given twice")),
    }
}

fn parse_bearer(value: &str) -> Result<String, ApiError> {
    match value.split_once(' ') {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") => Ok(key.trim().to_owned()),
        _ => Err(ApiError::refusal(401, "invalid_authorization", "expected `Bearer` and a key")),
    }
}

fn parse_key(value: &str) -> Result<IdempotencyKey, ApiError> {
    let valid = !value.is_empty() && value.len() <= MAX_IDEMPOTENCY_KEY_BYTES;
    match valid {
        true => Ok(value.to_owned()),
        false => Err(bad_header("idempotency-key", "must have 1 to 255 bytes")),
    }
}

fn parse_deadline(value: &str) -> Result<Duration, ApiError> {
    let deadline = value.parse().map(Duration::from_millis).ok();
    deadline
        .filter(|d| !d.is_zero() && *d <= MAX_DEADLINE)
        .ok_or_else(|| bad_header("toucansill-deadline-ms", "must be 1 to 86400000 milliseconds"))
}

fn parse_priority(value: &str) -> Result<RequestPriority, ApiError> {
    match value {
        "urgent" => Ok(RequestPriority::Urgent),
        "ordinary" => Ok(RequestPriority::Ordinary),
        _ => Err(bad_header("toucansill-priority", "must be `urgent` or `ordinary`")),
    }
}

fn bad_header(name: &str, reason: &str) -> ApiError {
    ApiError::refusal(400, "invalid_header", format!("header {name} {reason}"))
}
