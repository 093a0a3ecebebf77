//! Requests over `ureq`, with truthful verdicts.

use crate::{
    client::ClientConfig,
    error::{Error, ErrorReason, Result},
};
use std::{io, time::Duration};
use ureq::ErrorKind;
use wire::Verdict;

/// Header of a refusal or answer that says whether the request ran.
pub(crate) const VERDICT_HEADER: &str = "toucansill-verdict";
/// Header with the id of the request, on requests and answers.
pub(crate) const REQUEST_ID_HEADER: &str = "toucansill-request-id";
/// Header with the offset at which a stream is taken up again.
pub(crate) const RESUME_HEADER: &str = "toucansill-resume-offset";
/// Most bytes of a refusal's body that end up in an error's text.
const MAX_REFUSAL_BYTES: usize = 1024;

/// A header of a request.
pub type Header = (String, String);

/// An agent that keeps up to `idle` connections to each host open.
///
/// With `idle` 0 each request gets a new connection. `ureq` resends by itself
/// only on a connection that was kept open, so then it never does.
pub(crate) fn agent(cfg: &ClientConfig, idle: usize) -> ureq::Agent {
    ureq::AgentBuilder::new()
        .timeout_connect(cfg.connect_timeout)
        .timeout_read(cfg.io_timeout)
        .timeout_write(cfg.io_timeout)
        .max_idle_connections(idle)
        .max_idle_connections_per_host(idle)
        .redirects(0)
        .no_delay(true)
        .build()
}

/// One request to an upstream.
pub(crate) struct Outgoing<'a> {
    pub(crate) method: &'a str,
    pub(crate) url: String,
    pub(crate) headers: &'a [Header],
    pub(crate) body: &'a [u8],
    /// Longest time for the whole exchange, in place of the I/O timeout.
    pub(crate) timeout: Option<Duration>,
}

/// Sends a request and gives the answer, whatever its status.
///
/// # Errors
///
/// With [`Verdict::NotRun`] when no byte was sent, else [`Verdict::MayHaveRun`].
pub(crate) fn send(agent: &ureq::Agent, outgoing: &Outgoing<'_>) -> Result<ureq::Response> {
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
    source.and_then(|e| e.downcast_ref::<io::Error>()).is_some_and(is_timeout_io)
}

fn is_timeout_io(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock)
}

/// A failure to read the answer to a request that was sent.
pub(crate) fn read_error(e: &io::Error) -> Error {
    let reason = if is_timeout_io(e) { ErrorReason::TimedOut } else { ErrorReason::Incomplete };
    Error::new(reason, Verdict::MayHaveRun, format!("the answer broke off: {e}"))
}

/// The verdict that an upstream states in an answer.
pub(crate) fn stated_verdict(response: &ureq::Response) -> Option<Verdict> {
    let known = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran];
    let stated = response.header(VERDICT_HEADER)?;
    known.into_iter().find(|verdict| verdict.as_str() == stated)
}

/// An upstream's refusal as an error. It has not run if the upstream says so.
pub(crate) fn refusal(response: ureq::Response) -> Error {
    let status = response.status();
    let verdict = stated_verdict(&response).unwrap_or(Verdict::MayHaveRun);
    let mut body = Vec::new();
    let mut reader = io::Read::take(response.into_reader(), MAX_REFUSAL_BYTES as u64);
    let _ = io::Read::read_to_end(&mut reader, &mut body);
    let text = String::from_utf8_lossy(&body);
    let message = format!("the upstream refused with status {status}: {text}");
    Error::new(ErrorReason::Refused(status), verdict, message)
}
