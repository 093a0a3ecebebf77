//! Sends requests with `ureq` and derives verdicts from their failures.

use crate::{
    client::ClientConfig,
    error::{Error, ErrorReason, Result},
};
use std::{io, time::Duration};
use ureq::ErrorKind;
use wire::Verdict;

/// Response header that tells whether the request ran.
pub(crate) const VERDICT_HEADER: &str = "toucansill-verdict";
/// Header with the id of the request, on requests and responses.
pub(crate) const REQUEST_ID_HEADER: &str = "toucansill-request-id";
/// Request header with the offset of the token from which a stream is resumed.
pub(crate) const RESUME_HEADER: &str = "toucansill-resume-offset";
/// Maximum number of bytes of the body of an error response that go into the error message.
const MAX_ERROR_TEXT_BYTES: usize = 1024;

/// Name and value of an HTTP header.
pub type Header = (String, String);

/// Creates an agent that keeps up to `max_idle` connections to each host open.
///
/// With `max_idle` 0 each request gets a new connection. `ureq` itself resends a
/// request only on a reused connection, so such an agent never resends one.
pub(crate) fn agent(cfg: &ClientConfig, max_idle: usize) -> ureq::Agent {
    ureq::AgentBuilder::new()
        .timeout_connect(cfg.connect_timeout)
        .timeout_read(cfg.io_timeout)
        .timeout_write(cfg.io_timeout)
        .max_idle_connections(max_idle)
        .max_idle_connections_per_host(max_idle)
        .redirects(0)
        .no_delay(true)
        .build()
}

/// A request to an upstream.
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) method: &'a str,
    pub(crate) url: String,
    pub(crate) headers: &'a [Header],
    pub(crate) body: &'a [u8],
    /// Timeout for the whole exchange, which replaces the I/O timeout.
    pub(crate) timeout: Option<Duration>,
}

/// Sends a request and returns the response, whatever its status.
///
/// # Errors
///
/// With [`Verdict::NotRun`] when no byte was sent, otherwise with
/// [`Verdict::MayHaveRun`].
pub(crate) fn send(agent: &ureq::Agent, outgoing: &OutgoingRequest<'_>) -> Result<ureq::Response> {
    let mut req = agent.request(outgoing.method, &outgoing.url);
    for (name, value) in outgoing.headers {
        req = req.set(name, value);
    }
    if let Some(timeout) = outgoing.timeout {
        req = req.timeout(timeout);
    }
    match req.send_bytes(outgoing.body) {
        Ok(response) | Err(ureq::Error::Status(_, response)) => Ok(response),
        Err(ureq::Error::Transport(e)) => Err(transport_error(&e)),
    }
}

fn transport_error(e: &ureq::Transport) -> Error {
    match e.kind() {
        ErrorKind::Dns | ErrorKind::ConnectionFailed => {
            Error::new(ErrorReason::Unreachable, Verdict::NotRun, e.to_string())
        }
        ErrorKind::InvalidUrl | ErrorKind::UnknownScheme => {
            Error::new(ErrorReason::Invalid, Verdict::NotRun, e.to_string())
        }
        _ if is_timeout(e) => Error::new(ErrorReason::TimedOut, Verdict::MayHaveRun, e.to_string()),
        _ => Error::new(ErrorReason::Incomplete, Verdict::MayHaveRun, e.to_string()),
    }
}

fn is_timeout(e: &ureq::Transport) -> bool {
    let source = std::error::Error::source(e);
    source.and_then(|e| e.downcast_ref::<io::Error>()).is_some_and(is_io_timeout)
}

fn is_io_timeout(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock)
}

/// Error for a failure to read the response to a request that was sent.
pub(crate) fn read_error(e: &io::Error) -> Error {
    let reason = if is_io_timeout(e) { ErrorReason::TimedOut } else { ErrorReason::Incomplete };
    Error::new(reason, Verdict::MayHaveRun, format!("the answer broke off: {e}"))
}

/// The verdict in the header of a response.
pub(crate) fn parse_verdict(response: &ureq::Response) -> Option<Verdict> {
    let verdicts = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran];
    let value = response.header(VERDICT_HEADER)?;
    verdicts.into_iter().find(|verdict| verdict.as_str() == value)
}

/// Error for a response with an error status. Without a verdict header the request may
/// have run.
pub(crate) fn status_error(response: ureq::Response) -> Error {
    let status = response.status();
    let verdict = parse_verdict(&response).unwrap_or(Verdict::MayHaveRun);
    let mut body = Vec::new();
    let mut reader = io::Read::take(response.into_reader(), MAX_ERROR_TEXT_BYTES as u64);
    let _ = io::Read::read_to_end(&mut reader, &mut body);
    let text = String::from_utf8_lossy(&body);
    let message = format!("the upstream refused with status {status}: {text}");
    Error::new(ErrorReason::ErrorStatus(status), verdict, message)
}
