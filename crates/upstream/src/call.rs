//! Calls to plain services. A call that is not idempotent is sent at most once, and a
//! failure tells whether the call may have run.

use crate::{
    client::{Client, Target},
    error::{Error, ErrorReason, Result},
    http::{self, Header, OutgoingRequest, REQUEST_ID_HEADER},
};
use std::{io::Read, time::Instant};
use wire::{RequestId, Verdict};

/// Response headers that are not forwarded: the hop-by-hop headers, and `content-length`,
/// which is set anew for the caller's connection.
const NOT_FORWARDED_HEADERS: [&str; 7] =
    ["connection", "content-length", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade"];

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// Id of the request; a response with another id fails the call with
    /// [`ErrorReason::MismatchedResponse`].
    pub id: RequestId,
    /// HTTP method.
    pub method: String,
    /// Path and query, starting with a slash.
    pub path: String,
    /// Headers to send to the service.
    pub headers: Vec<Header>,
    /// Body, as the caller sent it.
    pub body: Vec<u8>,
    /// Whether it may run more than once. If not, it is sent on a new connection,
    /// because the HTTP library may resend a request on a reused one.
    pub is_idempotent: bool,
    /// Instant by which the whole response must have arrived.
    pub deadline: Instant,
}

/// Kind of connection that a call is sent on.
#[derive(Clone, Copy, Debug)]
enum Connection {
    /// A pooled connection. It may have died unnoticed, so the call on it gets at most the
    /// I/O timeout or half of the remaining time, whichever is shorter.
    Pooled,
    /// A new connection, with all of the remaining time.
    New,
}

/// Response of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers for the caller.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Vec<u8>,
}

impl Client {
    /// Calls a plain service. An idempotent call is sent a second time, on a new
    /// connection, if it times out on a pooled one.
    ///
    /// A response with any status is a [`ServiceResponse`], unless its header
    /// `toucansill-verdict: not-run` marks it as a refusal.
    ///
    /// # Errors
    ///
    /// With [`Verdict::NotRun`] when no byte was sent or the service refused the
    /// call, otherwise with [`Verdict::MayHaveRun`].
    pub fn call(&self, target: &Target, req: &ServiceRequest) -> Result<ServiceResponse> {
        if !req.is_idempotent {
            return self.send_once(target, req, Connection::New);
        }
        match self.send_once(target, req, Connection::Pooled) {
            // The pooled connection may have been dead before the call; a new one shows
            // whether the service still responds.
            Err(e) if e.is_timed_out() => self.send_once(target, req, Connection::New),
            result => result,
        }
    }

    fn send_once(
        &self,
        target: &Target,
        req: &ServiceRequest,
        connection: Connection,
    ) -> Result<ServiceResponse> {
        let remaining = req.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            let message = "the deadline passed before the call was sent";
            return Err(Error::new(ErrorReason::Deadline, Verdict::NotRun, message));
        }
        let (agent, timeout) = match connection {
            Connection::Pooled => {
                let limit = remaining.min(self.shared.cfg.io_timeout).min(remaining / 2);
                (self.shared.pooled(&target.address), limit)
            }
            Connection::New => (self.shared.unpooled(), remaining),
        };
        let mut headers = req.headers.clone();
        headers.push((REQUEST_ID_HEADER.to_string(), req.id.clone()));
        let outgoing = OutgoingRequest {
            method: &req.method,
            url: format!("http://{}{}", target.address, req.path),
            headers: &headers,
            body: &req.body,
            timeout: Some(timeout),
        };
        let result =
            http::send(&agent, &outgoing).and_then(|response| self.read_response(req, response));
        result.map_err(|e| self.handle_timeout(target, req, e))
    }

    fn read_response(
        &self,
        req: &ServiceRequest,
        response: ureq::Response,
    ) -> Result<ServiceResponse> {
        if let Some(id) = response.header(REQUEST_ID_HEADER)
            && id != req.id
        {
            self.shared.counters.count_mismatched_response();
            let message = format!("the answer belongs to request {id}");
            return Err(Error::new(ErrorReason::MismatchedResponse, Verdict::MayHaveRun, message));
        }
        if http::parse_verdict(&response) == Some(Verdict::NotRun) {
            return Err(http::status_error(response));
        }
        let status = response.status();
        let headers = forwarded_headers(&response);
        let limit = self.shared.cfg.max_response_bytes;
        let mut body = Vec::new();
        let mut reader = response.into_reader().take(limit as u64 + 1);
        reader.read_to_end(&mut body).map_err(|e| http::read_error(&e))?;
        if body.len() > limit {
            let message = format!("the answer exceeds {limit} bytes");
            return Err(Error::new(ErrorReason::InvalidResponse, Verdict::MayHaveRun, message));
        }
        Ok(ServiceResponse { status, headers, body })
    }

    /// After a timeout, closes the idle connections to the upstream, and turns the
    /// error into [`ErrorReason::Deadline`] if the deadline has passed.
    fn handle_timeout(&self, target: &Target, req: &ServiceRequest, e: Error) -> Error {
        if !e.is_timed_out() {
            return e;
        }
        self.shared.counters.count_timed_out_connection();
        self.shared.close_idle_connections(&target.address);
        if Instant::now() < req.deadline {
            return e;
        }
        let message = format!("the deadline passed: {}", e.message());
        Error::new(ErrorReason::Deadline, e.verdict(), message)
    }
}

/// Headers of a response that the caller gets.
fn forwarded_headers(response: &ureq::Response) -> Vec<Header> {
    let mut names = response.headers_names();
    names.sort_unstable();
    names.dedup();
    names
        .iter()
        .filter(|name| !NOT_FORWARDED_HEADERS.contains(&name.as_str()))
        .flat_map(|name| response.all(name).into_iter().map(move |value| (name, value)))
        .map(|(name, value)| (name.clone(), value.to_string()))
        .collect()
}
