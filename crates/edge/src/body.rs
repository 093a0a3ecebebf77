//! Reads a request's headers and body within the limits.

use crate::{ApiError, EdgeConfig, Header, RequestHeaders};
use std::{
    io::{ErrorKind, Read},
    time::Instant,
};

/// Most bytes of one read.
const READ_BYTES: usize = 16 << 10;

/// Refuses headers over the limit.
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

/// Refuses a body whose length is not clear, as its rest would be taken for
/// the next request on the connection.
pub(crate) fn check_framing(
    headers: &RequestHeaders,
    declared: Option<usize>,
) -> Result<(), ApiError> {
    let lengths = headers.all.iter().filter(|h| h.name == "content-length").count();
    let length = headers.get("content-length");
    let coding = headers.get("transfer-encoding");
    let reason = match (length, coding) {
        _ if lengths > 1 => "content-length is given twice",
        (Some(_), Some(_)) => "content-length next to transfer-encoding",
        (Some(_), None) if declared.is_none() => "content-length is not a number",
        (None, Some(coding)) if !coding.eq_ignore_ascii_case("chunked") => {
            "transfer-encoding is not chunked"
        }
        _ => return Ok(()),
    };
    Err(ApiError::refusal(400, "invalid_framing", reason))
}

/// Reads the whole body, which is `declared` bytes long if the caller said so.
pub(crate) fn read(
    reader: &mut dyn Read,
    declared: Option<usize>,
    received: Instant,
    cfg: &EdgeConfig,
) -> Result<Vec<u8>, ApiError> {
    if declared.is_some_and(|n| n > cfg.max_body_bytes) {
        return Err(too_large(cfg));
    }
    let mut body = Vec::with_capacity(declared.unwrap_or(0));
    let mut buf = [0; READ_BYTES];
    loop {
        let n = reader.read(&mut buf).map_err(|e| refusal_of(e.kind()))?;
        if n == 0 {
            break;
        }
        if body.len() + n > cfg.max_body_bytes {
            return Err(too_large(cfg));
        }
        // A caller that sends a byte now and then passes the read timeout.
        if cfg.clock.now().saturating_duration_since(received) > cfg.body_timeout {
            return Err(timed_out());
        }
        body.extend_from_slice(&buf[..n]);
    }
    match declared {
        Some(n) if body.len() < n => Err(truncated()),
        _ => Ok(body),
    }
}

fn refusal_of(kind: ErrorKind) -> ApiError {
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
