//! Sends requests of other daemons on to upstreams that those don't reach.

use super::{
    paths::{CONNECT_TIMEOUT, Paths},
    placer::Placer,
    relay::{RelayFailure, RelayedKind, Target, failure_header, response_headers, take_address},
};
use http::{Request, Response, StatusCode, request};
use hyper::body::Incoming;
use kernel::SharedClock;
use platform::head::{read_caller_head, read_response_head};
use proxy::{
    Body, BodyBudget, BodySender, ExchangeError, ResponseBody, channel, empty, full,
    read_request_body,
};
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;

/// Timeout for the body of a relayed request, which the other daemon has read whole.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles requests that other daemons want to be sent on.
pub(crate) struct RelayHandler {
    pub(crate) placer: Arc<Placer>,
    pub(crate) paths: Arc<Paths>,
    pub(crate) clock: SharedClock,
    /// Memory for request bodies, shared with the requests of this daemon's own callers.
    pub(crate) body_budget: Arc<BodyBudget>,
    /// True once this daemon is to stop.
    pub(crate) is_stopping: watch::Receiver<bool>,
}

/// Failure to relay a message, with the reason.
struct RelayError(RelayFailure, String);

impl RelayError {
    fn declined(reason: &str) -> Self {
        Self(RelayFailure::Declined, reason.to_owned())
    }
}

impl From<ExchangeError> for RelayError {
    fn from(err: ExchangeError) -> Self {
        let failure = match (err.may_have_run(), err.is_unresponsive()) {
            (false, _) => RelayFailure::Unreachable,
            (true, false) => RelayFailure::Broken,
            (true, true) => RelayFailure::Unresponsive,
        };
        Self(failure, err.to_string())
    }
}

impl RelayHandler {
    /// Sends one message on, and responds with the upstream's response or with the reason why there
    /// is none. If the other daemon disconnects, so does this one from the upstream.
    pub(crate) async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let (mut parts, body) = req.into_parts();
        let request = read_caller_head(&parts.headers).request.unwrap_or_default();
        let started = self.clock.now();
        let result = match take_address(&mut parts.headers) {
            Some((kind, target)) => {
                let relayed = self.relay(kind, &target, parts, body).await;
                relayed.map_err(|err| (err, target.upstream))
            }
            None => Err((RelayError::declined("no upstream is named"), String::new())),
        };
        let (outcome, response) = match result {
            Ok(response) => ("sent", response),
            Err((RelayError(failure, reason), upstream)) => {
                let ms = self.clock.now().saturating_duration_since(started).as_millis();
                log::info!(
                    request = request.as_str(), upstream = upstream.as_str(), ms = ms as u64;
                    "not relayed: {failure:?} ({reason})"
                );
                let outcome = match failure {
                    RelayFailure::Declined => "declined",
                    _ => "failed",
                };
                (outcome, failure_response(failure, &reason))
            }
        };
        metrics::counter!("toucansill_relayed_total", "outcome" => outcome).increment(1);
        response
    }

    async fn relay(
        &self,
        kind: RelayedKind,
        target: &Target,
        parts: request::Parts,
        body: Incoming,
    ) -> Result<Response<Body>, RelayError> {
        if *self.is_stopping.borrow() {
            return Err(RelayError::declined("this daemon stops"));
        }
        let known = self.placer.view.with(|state| {
            let registration = &state.directory.get(&target.upstream)?.registration;
            (registration.address == target.address).then_some(registration.started_at_ms)
        });
        let started_at_ms =
            known.ok_or_else(|| RelayError::declined("the upstream is not known here"))?;
        let now = self.clock.now();
        let exclusion = self.placer.exclusions.remaining(now, &target.upstream, started_at_ms);
        if kind == RelayedKind::Request && exclusion.is_some() {
            return Err(RelayError::declined("the upstream takes no requests of this daemon"));
        }
        if self.paths.is_in_doubt() {
            return Err(RelayError::declined("the paths of this daemon are lost"));
        }
        let length = hyper::body::Body::size_hint(&body).upper().unwrap_or(self.max_body_bytes());
        let _body_permit = self
            .body_budget
            .try_acquire(length)
            .ok_or_else(|| RelayError::declined("too many bytes are under way"))?;
        let body = read_request_body(body, self.max_body_bytes(), BODY_TIMEOUT).await;
        let body = body.map_err(|status| RelayError::declined(&format!("body: {status}")))?;
        let stream = match self.paths.connect(target.address, CONNECT_TIMEOUT).await {
            Ok(stream) => stream,
            Err(_) if self.paths.has_several_failures() => {
                return Err(RelayError::declined("the paths of this daemon may be lost"));
            }
            Err(err) => return Err(ExchangeError::unsent(err).into()),
        };
        if kind == RelayedKind::Check {
            let mut response = Response::new(empty());
            *response.status_mut() = StatusCode::NO_CONTENT;
            return Ok(response);
        }
        let upstream = proxy::exchange(stream, parts, body).await?;
        let head = read_response_head(upstream.head.status, &upstream.head.headers);
        self.placer.record_exclusions(&target.upstream, started_at_ms, &head);
        let (tx, body) = channel();
        let mut response = Response::new(body);
        *response.status_mut() = upstream.head.status;
        *response.headers_mut() = response_headers(&upstream.head.headers);
        tokio::spawn(pass_body(upstream.body, tx));
        Ok(response)
    }

    /// Maximum length of a body, in bytes. The other daemon has already enforced that of the routing
    /// document.
    fn max_body_bytes(&self) -> u64 {
        let table = self.placer.view.table();
        table.map_or(0, |table| table.document().limits.body_bytes)
    }
}

/// Passes a response's body on until it ends, breaks off or the other daemon disconnects.
async fn pass_body(mut body: ResponseBody, tx: BodySender) {
    loop {
        let next = tokio::select! {
            next = body.next() => next,
            () = tx.closed() => return,
        };
        match next {
            Ok(Some(bytes)) if bytes.is_empty() => {}
            Ok(Some(bytes)) => {
                if !tx.send(bytes).await {
                    return;
                }
            }
            Ok(None) => return tx.finish().await,
            Err(err) => return log::debug!("relayed response broke off: {err}"),
        }
    }
}

fn failure_response(failure: RelayFailure, reason: &str) -> Response<Body> {
    let mut response = Response::new(full(reason.to_owned()));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    let (name, value) = failure_header(failure);
    response.headers_mut().insert(name, value);
    response
}
