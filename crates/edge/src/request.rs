//! Request of a caller, checked, with the headers that the system interprets.

use crate::{ApiError, ResponseHandle};
use http::Method;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use wire::IdempotencyKey;

/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// Priority that a caller sets for a request.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum RequestPriority {
    /// Admitted before ordinary requests.
    Urgent,
    /// Default.
    #[default]
    Ordinary,
}

/// Headers of a request: those that the system interprets, parsed, and all of them as received.
#[derive(Clone, Debug, Default)]
pub struct RequestHeaders {
    /// Key or token of `Authorization: Bearer`.
    pub api_key: Option<String>,
    /// `Content-Type`, unparsed.
    pub content_type: Option<String>,
    /// `Idempotency-Key`, 1 to 255 bytes.
    pub idempotency_key: Option<IdempotencyKey>,
    /// `toucansill-deadline-ms`: time from the arrival of the request to the end of its response.
    pub deadline: Option<Duration>,
    /// `toucansill-priority`, if given.
    pub priority: Option<RequestPriority>,
    /// All headers, in the order received.
    pub all: Vec<Header>,
}

/// Header of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value as received.
    pub value: String,
}

/// Request with its whole body and the handle for its response.
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
    /// Whole body, not interpreted.
    pub body: Vec<u8>,
    /// Remote address of the connection, if known.
    pub remote: Option<SocketAddr>,
    /// Time at which the headers were complete, before the body was read.
    pub received: Instant,
    /// Handle for the response.
    pub response: ResponseHandle,
}

impl RequestHeaders {
    /// Parses the headers of a request.
    ///
    /// # Errors
    ///
    /// Refuses an interpreted header that is invalid or given twice. A guess at its meaning could
    /// run a request twice or after its deadline.
    pub(crate) fn parse(all: Vec<Header>) -> Result<Self, ApiError> {
        let mut headers = Self::default();
        all.iter().try_for_each(|h| headers.set_field(h))?;
        headers.all = all;
        Ok(headers)
    }

    /// Value of the first header with this name, which must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all.iter().find(|h| h.name == name).map(|h| h.value.as_str())
    }

    /// Parses one header into its field, if the system interprets it.
    fn set_field(&mut self, header: &Header) -> Result<(), ApiError> {
        let value = header.value.trim();
        match header.name.as_str() {
            "authorization" => set_once(&mut self.api_key, parse_bearer(value)?, header),
            "content-type" => set_once(&mut self.content_type, value.to_owned(), header),
            "idempotency-key" => {
                set_once(&mut self.idempotency_key, parse_idempotency_key(value)?, header)
            }
            "toucansill-deadline-ms" => {
                set_once(&mut self.deadline, parse_deadline(value)?, header)
            }
            "toucansill-priority" => set_once(&mut self.priority, parse_priority(value)?, header),
            _ => Ok(()),
        }
    }
}

/// Sets a field. Refuses the header if the field has already been set.
fn set_once<T>(field: &mut Option<T>, value: T, header: &Header) -> Result<(), ApiError> {
    match field.replace(value) {
        None => Ok(()),
        Some(_) => Err(invalid_header(&header.name, "is given twice")),
    }
}

fn parse_bearer(value: &str) -> Result<String, ApiError> {
    match value.split_once(' ') {
        Some((scheme, key)) if scheme.eq_ignore_ascii_case("bearer") => Ok(key.trim().to_owned()),
        _ => Err(ApiError::refusal(401, "invalid_authorization", "expected `Bearer` and a key")),
    }
}

fn parse_idempotency_key(value: &str) -> Result<IdempotencyKey, ApiError> {
    let valid = !value.is_empty() && value.len() <= MAX_IDEMPOTENCY_KEY_BYTES;
    match valid {
        true => Ok(value.to_owned()),
        false => Err(invalid_header("idempotency-key", "must have 1 to 255 bytes")),
    }
}

fn parse_deadline(value: &str) -> Result<Duration, ApiError> {
    let deadline = value.parse().map(Duration::from_millis).ok();
    deadline.filter(|d| !d.is_zero() && *d <= MAX_DEADLINE).ok_or_else(|| {
        invalid_header("toucansill-deadline-ms", "must be 1 to 86400000 milliseconds")
    })
}

fn parse_priority(value: &str) -> Result<RequestPriority, ApiError> {
    match value {
        "urgent" => Ok(RequestPriority::Urgent),
        "ordinary" => Ok(RequestPriority::Ordinary),
        _ => Err(invalid_header("toucansill-priority", "must be `urgent` or `ordinary`")),
    }
}

fn invalid_header(name: &str, reason: &str) -> ApiError {
    ApiError::refusal(400, "invalid_header", format!("header {name} {reason}"))
}
