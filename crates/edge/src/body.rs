//! Checks of a request's headers, and reading of its body within the limits.

use crate::{ApiError, EdgeConfig, Header, RequestHeaders};
use std::{
    io::{ErrorKind, Read},
    time::Instant,
};

/// Size of the buffer for one read from the connection.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Refuses headers whose names and values exceed [`EdgeConfig::max_header_bytes`] in total.
pub(crate) fn check_headers(headers: &[Header], cfg: &EdgeConfig) -> Result<(), ApiError> {
    let total: usize = headers.iter().map(|h| h.name.len() + h.value.len()).sum();
    match total <= cfg.max_header_bytes {
        true => Ok(()),
        false => Err(ApiError::refusal(
            431,
            "headers_too_large",
            format!("headers have {total} bytes, at most {} are accepted", cfg.max_header_bytes),
        )),
    }
}

/// Refuses a body whose length is ambiguous: bytes left unread would be parsed as the next request
/// on the connection (request smuggling).
///
/// `declared_bytes` is the value of `Content-Length`, if it is a number.
pub(crate) fn check_framing(
    headers: &RequestHeaders,
    declared_bytes: Option<usize>,
) -> Result<(), ApiError> {
    let lengths = headers.all.iter().filter(|h| h.name == "content-length").count();
    let length = headers.get("content-length");
    let coding = headers.get("transfer-encoding");
    let problem = match (length, coding) {
        _ if lengths > 1 => "content-length is given twice",
        (Some(_), Some(_)) => "content-length next to transfer-encoding",
        (Some(_), None) if declared_bytes.is_none() => "content-length is not a number",
        (None, Some(coding)) if !coding.eq_ignore_ascii_case("chunked") => {
            "transfer-encoding is not chunked"
        }
        _ => return Ok(()),
    };
    Err(ApiError::refusal(400, "invalid_framing", problem))
}

/// Reads the whole body.
///
/// `declared_bytes` is the `Content-Length`, `None` for a chunked body. `received` is the time at
/// which the headers were complete; [`EdgeConfig::body_timeout`] counts from it.
///
/// # Errors
///
/// Refuses a body that is too large, malformed, shorter than declared or too slow.
pub(crate) fn read(
    reader: &mut dyn Read,
    declared_bytes: Option<usize>,
    received: Instant,
    cfg: &EdgeConfig,
) -> Result<Vec<u8>, ApiError> {
    if declared_bytes.is_some_and(|n| n > cfg.max_body_bytes) {
        return Err(too_large(cfg));
    }
    let mut body = Vec::with_capacity(declared_bytes.unwrap_or(0));
    let mut buf = [0; READ_BUFFER_BYTES];
    loop {
        let n = reader.read(&mut buf).map_err(|e| refusal_for_read_error(e.kind()))?;
        if n == 0 {
            break;
        }
        if body.len() + n > cfg.max_body_bytes {
            return Err(too_large(cfg));
        }
        // The read timeout of the socket doesn't catch a caller that sends single bytes slowly.
        if cfg.clock.now().saturating_duration_since(received) > cfg.body_timeout {
            return Err(timed_out());
        }
        body.extend_from_slice(&buf[..n]);
    }
    match declared_bytes {
        Some(n) if body.len() < n => Err(truncated()),
        _ => Ok(body),
    }
}

fn refusal_for_read_error(kind: ErrorKind) -> ApiError {
    match kind {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => timed_out(),
        ErrorKind::InvalidInput | ErrorKind::InvalidData => {
            ApiError::refusal(400, "invalid_chunking", "the chunked body is malformed")
        }
        _ => truncated(),
    }
}

fn too_large(cfg: &EdgeConfig) -> ApiError {
    let message = format!("the body is larger than {} bytes", cfg.max_body_bytes);
    ApiError::refusal(413, "body_too_large", message)
}

fn timed_out() -> ApiError {
    ApiError::refusal(408, "body_timeout", "the body did not arrive in time")
}

fn truncated() -> ApiError {
    ApiError::refusal(400, "body_truncated", "the body ended before its declared length")
}
