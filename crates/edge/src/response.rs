//! Response to one request.

use crate::{ApiError, Error, EventStream, Result, heartbeat::Heartbeats, in_flight::InFlight};
use std::{fmt, io::Cursor, sync::Arc};
use tiny_http::{Header, Request, Response, StatusCode};
use wire::Verdict;

/// Response header with the [`Verdict`]: whether the request may have run.
pub(crate) const VERDICT_HEADER: &str = "toucansill-verdict";

/// Handle for the single response to one request.
///
/// If it is dropped without a response, it sends a 500 whose verdict is that the request may have
/// run.
pub struct ResponseHandle {
    /// `None` once a response has been sent or a stream started.
    request: Option<Request>,
    heartbeats: Arc<Heartbeats>,
    /// Counts the request as in flight until the response is complete. Passed on to a stream.
    in_flight: Option<InFlight>,
}

impl ResponseHandle {
    pub(crate) fn new(request: Request, heartbeats: Arc<Heartbeats>, in_flight: InFlight) -> Self {
        Self { request: Some(request), heartbeats, in_flight: Some(in_flight) }
    }

    /// Sends a response with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub fn json(self, status: u16, body: impl Into<Vec<u8>>, verdict: Verdict) -> Result<()> {
        self.bytes(status, "application/json", body, verdict)
    }

    /// Sends an error as JSON, with a `Retry-After` header in whole seconds, rounded up, if it has
    /// [`ApiError::retry_after`].
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub fn error(mut self, e: ApiError) -> Result<()> {
        self.respond_error(&e)
    }

    /// Sends a response whose body has this content type.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or `content_type` is not ASCII.
    pub fn bytes(
        mut self,
        status: u16,
        content_type: &str,
        body: impl Into<Vec<u8>>,
        verdict: Verdict,
    ) -> Result<()> {
        let response = response(status, content_type, body.into(), verdict)?;
        self.respond(response)
    }

    /// Starts a stream of server-sent events with status 200.
    ///
    /// A caller that disconnects is detected by the first write or heartbeat that fails, see
    /// [`EventStream::on_cancel`].
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub fn stream(mut self) -> Result<EventStream> {
        let request = self.take_request()?;
        let chunked = *request.http_version() >= (1, 1);
        let in_flight = self.in_flight.take();
        let stream = EventStream::start(request.into_writer(), chunked, in_flight)?;
        self.heartbeats.add(&stream);
        Ok(stream)
    }

    fn respond_error(&mut self, e: &ApiError) -> Result<()> {
        let body = e.to_json().into_bytes();
        let mut response = response(e.status, "application/json", body, e.verdict)?;
        if let Some(after) = e.retry_after {
            let seconds = after.as_millis().div_ceil(1000).to_string();
            response.add_header(header("Retry-After", &seconds)?);
        }
        self.respond(response)
    }

    fn respond(&mut self, response: Response<Cursor<Vec<u8>>>) -> Result<()> {
        let result = self.take_request()?.respond(response);
        result.map_err(|e| Error::caller_disconnected("response not written", Some(e)))
    }

    fn take_request(&mut self) -> Result<Request> {
        self.request.take().ok_or_else(|| Error::caller_disconnected("response already sent", None))
    }
}

impl Drop for ResponseHandle {
    fn drop(&mut self) {
        if self.request.is_some() {
            let message = "the request ended without an answer";
            let _ =
                self.respond_error(&ApiError::new(500, "internal", message, Verdict::MayHaveRun));
        }
    }
}

impl fmt::Debug for ResponseHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reply").field("answered", &self.request.is_none()).finish()
    }
}

fn response(
    status: u16,
    content_type: &str,
    body: Vec<u8>,
    verdict: Verdict,
) -> Result<Response<Cursor<Vec<u8>>>> {
    let content_type = header("Content-Type", content_type)?;
    let verdict = header(VERDICT_HEADER, verdict.as_str())?;
    Ok(Response::from_data(body)
        .with_status_code(StatusCode(status))
        .with_chunked_threshold(usize::MAX)
        .with_header(content_type)
        .with_header(verdict))
}

fn header(name: &str, value: &str) -> Result<Header> {
    Header::from_bytes(name, value)
        .map_err(|()| Error::config(format!("header {name} has a value that is not ASCII"), None))
}
