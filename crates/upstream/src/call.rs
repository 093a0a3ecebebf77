//! One call to a plain service, with a truthful verdict. A call that is not
//! idempotent is sent exactly once.

use crate::{
    client::{Client, Target},
    error::{Error, ErrorReason, Result},
    http::{self, Header, Outgoing, REQUEST_ID_HEADER},
};
use std::{io::Read, time::Instant};
use wire::{RequestId, Verdict};

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [&str; 7] =
    ["connection", "content-length", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade"];

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// Id of the request; an answer that names another one is dropped.
    pub id: RequestId,
    /// HTTP method.
    pub method: String,
    /// Path with its query, from the first slash.
    pub path: String,
    /// Headers for the service.
    pub headers: Vec<Header>,
    /// Body, as the caller sent it.
    pub body: Vec<u8>,
    /// Whether it may run more than once. If not, it gets a connection of its
    /// own, on which the HTTP library sends it exactly once.
    pub is_idempotent: bool,
    /// When the answer must be there.
    pub deadline: Instant,
}

/// The connection that a call is sent on.
#[derive(Clone, Copy, Debug)]
enum Connection {
    /// One that may be open already, and may have gone silent: it gets a part
    /// of the time that is left.
    Kept,
    /// One of its own.
    New,
}

/// The answer of a plain service.
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
    /// Calls a plain service: once, or for an idempotent call a second time when
    /// a kept connection was silent.
    ///
    /// An answer of any status is a [`ServiceResponse`], unless the service states
    /// with `toucansill-verdict: not-run` that it refused.
    ///
    /// # Errors
    ///
    /// With [`Verdict::NotRun`] when no byte was sent or the service refused,
    /// else with [`Verdict::MayHaveRun`].
    pub fn call(&self, target: &Target, req: &ServiceRequest) -> Result<ServiceResponse> {
        if !req.is_idempotent {
            return self.send_once(target, req, Connection::New);
        }
        match self.send_once(target, req, Connection::Kept) {
            // The connection may have been silent already: only a new one can tell.
            Err(e) if e.is_timed_out() => self.send_once(target, req, Connection::New),
            result => result,
        }
    }

    fn send_once(
        &self,
        target: &Target,
        req: &ServiceRequest,
        on: Connection,
    ) -> Result<ServiceResponse> {
        let left = req.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            let message = "the deadline passed before the call was sent";
            return Err(Error::new(ErrorReason::Deadline, Verdict::NotRun, message));
        }
        let (agent, timeout) = match on {
            Connection::Kept => {
                let limit = left.min(self.shared.cfg.io_timeout).min(left / 2);
                (self.shared.pooled(&target.address), limit)
            }
            Connection::New => (self.shared.single(), left),
        };
        let mut headers = req.headers.clone();
        headers.push((REQUEST_ID_HEADER.to_string(), req.id.clone()));
        let outgoing = Outgoing {
            method: &req.method,
            url: format!("http://{}{}", target.address, req.path),
            headers: &headers,
            body: &req.body,
            timeout: Some(timeout),
        };
        let sent = http::send(&agent, &outgoing).and_then(|response| self.read(req, response));
        sent.map_err(|e| self.note(target, req, e))
    }

    fn read(&self, req: &ServiceRequest, response: ureq::Response) -> Result<ServiceResponse> {
        if let Some(id) = response.header(REQUEST_ID_HEADER)
            && id != req.id
        {
            self.shared.counters.count_crossed();
            let message = format!("the answer belongs to request {id}");
            return Err(Error::new(ErrorReason::MismatchedResponse, Verdict::MayHaveRun, message));
        }
        if http::stated_verdict(&response) == Some(Verdict::NotRun) {
            return Err(http::refusal(response));
        }
        let status = response.status();
        let headers = passed_on(&response);
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

    /// Closes a silent upstream's idle connections, and names a passed deadline.
    fn note(&self, target: &Target, req: &ServiceRequest, e: Error) -> Error {
        if !e.is_timed_out() {
            return e;
        }
        self.shared.counters.count_silent();
        self.shared.forget(&target.address);
        if Instant::now() < req.deadline {
            return e;
        }
        let message = format!("the deadline passed: {}", e.message());
        Error::new(ErrorReason::Deadline, e.verdict(), message)
    }
}

fn passed_on(response: &ureq::Response) -> Vec<Header> {
    let mut names = response.headers_names();
    names.sort_unstable();
    names.dedup();
    names
        .iter()
        .filter(|name| !HOP_HEADERS.contains(&name.as_str()))
        .flat_map(|name| response.all(name).into_iter().map(move |value| (name, value)))
        .map(|(name, value)| (name.clone(), value.to_string()))
        .collect()
}
