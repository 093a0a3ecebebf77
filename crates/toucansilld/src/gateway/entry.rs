//! Accepts requests of callers and responds to them.

pub(crate) use super::placer::LeaderPlacedRequests;
use super::{
    forward::{
        ForwardContext, ForwardableRequest, ForwardedRequest, RequestError, STOPPING_RETRY,
        short_hash,
    },
    placer::Placer,
    record::RequestRecord,
    stream,
    view::View,
    watchlist::RequestFingerprint,
};
use control::{PartHash, RequestHash};
use grant::StartWait;
use http::{
    HeaderValue, Request, Response, StatusCode,
    header::{CONNECTION, RETRY_AFTER},
};
use hyper::body::{Body as _, Incoming};
use kernel::SharedClock;
use platform::head::{CallerHead, end_to_end_headers, read_caller_head};
use proxy::{Body, BodyBudget, full, read_request_body};
use routing::{Route, RoutingTable};
use sha2::{Digest, Sha256};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

/// `Retry-After` for callers that arrive before this daemon knows any routing, or while the
/// memory for request bodies is used up.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Interval at which requests that wait for the first routing check for it.
const ROUTING_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Deadline of a request that states none. The route's timeout may be shorter.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(600);

/// Handles requests of callers.
pub(crate) struct CallerHandler {
    pub(crate) view: Arc<View>,
    pub(crate) placer: Arc<Placer>,
    pub(crate) clock: SharedClock,
    /// See [`ForwardContext::is_stopping_soon`].
    pub(crate) is_stopping_soon: watch::Receiver<bool>,
    /// When this daemon ends, from the time on at which callers should have gone to others; `None` until
    /// then. A request that may run for longer is refused.
    pub(crate) ends_at: watch::Receiver<Option<Instant>>,
    /// Memory for request bodies.
    pub(crate) body_budget: Arc<BodyBudget>,
    /// Memory for bodies of responses that are being received.
    pub(crate) response_budget: Arc<BodyBudget>,
    pub(crate) start_wait: StartWait,
}

impl CallerHandler {
    /// Responds to one request. The future is dropped when the caller disconnects, which is then
    /// logged as the end of the request.
    pub(crate) async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let arrived = self.clock.now();
        let head = read_caller_head(req.headers());
        let mut record = RequestRecord::new(arrived, &self.clock, head.request.clone());
        let response = self.respond(req, head, arrived, &mut record).await;
        match response {
            Ok(response) => response,
            Err(failure) => {
                record.finish(failure.status, failure.reason);
                failure.response()
            }
        }
    }

    /// Routing table for a request that arrived at `arrived`. If none is known yet and this daemon has
    /// just started, waits for it.
    async fn routing_table(&self, arrived: Instant) -> Option<Arc<RoutingTable>> {
        loop {
            if let Some(table) = self.view.table() {
                return Some(table);
            }
            let remaining = self.start_wait.remaining(self.clock.now(), arrived)?;
            sleep(remaining.min(ROUTING_CHECK_INTERVAL)).await;
        }
    }

    /// Finds route, organisation and service of a request, reads its body and forwards it.
    async fn respond(
        &self,
        req: Request<Incoming>,
        head: CallerHead,
        arrived: Instant,
        record: &mut RequestRecord,
    ) -> Result<Response<Body>, RequestError> {
        let Some(table) = self.routing_table(arrived).await else {
            return Err(RequestError::not_run("no routing is known yet", NOT_READY_RETRY_AFTER));
        };
        record.version = table.document().version;
        let host = req.headers().get(http::header::HOST).and_then(|host| host.to_str().ok());
        let route = table
            .route(host.unwrap_or_default(), req.uri().path())
            .ok_or(RequestError::refused(StatusCode::NOT_FOUND, "no route"))?;
        record.route = route.name.clone();
        record.prompt = head.tokens.map_or(0, |(prompt, _)| prompt);
        record.parts = head.shared_parts.clone();
        let organisation = organisation(&table, route, &head)?;
        record.organisation = organisation.map(|o| o.name.clone()).unwrap_or_default();
        let time_limit = route.timeout.min(head.remaining.unwrap_or(DEFAULT_DEADLINE));
        let (parts, body) = req.into_parts();
        // A body without a stated length may reach the maximum.
        let max_bytes = table.document().limits.body_bytes;
        let length = body.size_hint().upper().unwrap_or(max_bytes).min(max_bytes);
        let body_permit = self.body_budget.try_acquire(length);
        let body_permit = body_permit
            .ok_or(RequestError::not_run("too many bytes are under way", NOT_READY_RETRY_AFTER))?;
        let body = read_request_body(body, max_bytes, time_limit).await;
        let body = body.map_err(|status| RequestError::refused(status, "body not read"))?;
        let deadline = arrived + time_limit;
        if self.ends_at.borrow().is_some_and(|end| deadline > end) {
            return Err(RequestError::not_run("this daemon stops", STOPPING_RETRY));
        }
        let service = route
            .pick(fastrand::f64())
            .ok_or(RequestError::refused(StatusCode::BAD_GATEWAY, "the route leads nowhere"))?;
        record.service = service.clone();
        let is_leader_placed = table.service(service).is_some_and(|s| s.engine.is_some());
        let path = parts.uri.path_and_query().map(ToString::to_string).unwrap_or_default();
        let hash = request_hash(&record.organisation, &path, &body);
        record.hash = short_hash(&hash);
        let shared_parts = head.shared_parts.iter().map(|part| part_hash(part)).collect();
        let request = ForwardableRequest {
            fingerprint: RequestFingerprint { request: hash, parts: shared_parts },
            head,
            parts,
            body,
            _body_permit: body_permit,
            organisation: organisation.map(|o| o.name.clone()),
            priority: organisation.and_then(|o| o.priority).unwrap_or(route.priority),
            route: route.clone(),
            service: service.clone(),
            is_leader_placed,
            arrived,
            deadline,
        };
        let cx = ForwardContext {
            placer: Arc::clone(&self.placer),
            clock: Arc::clone(&self.clock),
            response_budget: Arc::clone(&self.response_budget),
            is_stopping_soon: self.is_stopping_soon.clone(),
        };
        self.run(ForwardedRequest::new(cx, request), record).await
    }

    /// Forwards the request. A response that was read whole is returned whole; a stream is
    /// passed on by a task of its own.
    async fn run(
        &self,
        mut request: ForwardedRequest,
        record: &mut RequestRecord,
    ) -> Result<Response<Body>, RequestError> {
        let remaining = request.time_remaining();
        let upstream = timeout(remaining, request.next_response(record, None)).await;
        let upstream = match upstream {
            Ok(upstream) => upstream?,
            Err(_) => return Err(request.timed_out()),
        };
        let mut response = Response::new(());
        *response.status_mut() = upstream.head.status;
        *response.headers_mut() = end_to_end_headers(&upstream.head.headers);
        let status = upstream.head.status;
        match upstream.complete_body {
            Some(bytes) => {
                record.finish(status, "answered");
                Ok(response.map(|()| full(bytes)))
            }
            None => {
                let (tx, body) = proxy::channel();
                let record = record.transfer();
                tokio::spawn(stream::forward_stream(request, upstream, tx, record));
                Ok(response.map(|()| body))
            }
        }
    }
}

impl RequestError {
    /// Creates the response to the caller.
    pub(crate) fn response(&self) -> Response<Body> {
        let mut response = Response::new(full(format!("{}\n", self.reason)));
        *response.status_mut() = self.status;
        if matches!(self.status, StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT) {
            // The rest of the body may still arrive; it will not be read.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(after) = self.retry_after {
            // Callers of the platform accept fractions of a second; others round up.
            let seconds = format!("{:.2}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Organisation that the request's key belongs to. A missing or unknown key is an error only if
/// the route needs one.
fn organisation<'a>(
    table: &'a RoutingTable,
    route: &Route,
    head: &CallerHead,
) -> Result<Option<&'a routing::Organisation>, RequestError> {
    let organisation = head.key.as_deref().and_then(|key| table.organisation(key));
    if organisation.is_none() && table.needs_key(route) {
        return Err(RequestError::refused(StatusCode::UNAUTHORIZED, "unknown key"));
    }
    Ok(organisation)
}

/// Hash by which a resent request is recognised, in all builds: the same organisation, path and
/// body.
fn request_hash(organisation: &str, path: &str, body: &[u8]) -> RequestHash {
    let head = [organisation, path].map(|part| (part.len() as u64).to_le_bytes());
    let mut hasher = Sha256::new();
    for part in [&head[0], organisation.as_bytes(), &head[1], path.as_bytes(), body] {
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Hash by which a part of prompts is recognised, in all builds.
fn part_hash(part: &str) -> PartHash {
    Sha256::new().chain_update(b"part of a prompt:").chain_update(part).finalize().into()
}
