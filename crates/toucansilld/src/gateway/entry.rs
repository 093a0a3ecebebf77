//! Requests of callers.

pub(crate) use super::placer::InFlight;
use super::{
    flight::{Final, Flight, FlightContext, Order},
    placer::Placer,
    record::Record,
    stream,
    view::View,
};
use http::{
    HeaderValue, Request, Response, StatusCode,
    header::{CONNECTION, RETRY_AFTER},
};
use hyper::body::{Body as _, Incoming};
use kernel::SharedClock;
use platform::head::{CallerHead, caller_headers, read_caller_head};
use proxy::{Body, BodyBudget, full, read_body};
use routing::{Route, RoutingTable};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{sync::watch, time::timeout};

/// Time after which a caller that came before this daemon knew any routing may try again.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);
/// Time that a request without a stated deadline has at most.
const DEADLINE_MAX: Duration = Duration::from_secs(600);

/// Answers callers.
pub(crate) struct Entry {
    pub(crate) view: Arc<View>,
    pub(crate) placer: Arc<Placer>,
    pub(crate) clock: SharedClock,
    pub(crate) ends_soon: watch::Receiver<bool>,
    pub(crate) bodies: BodyBudget,
}

impl Entry {
    /// Answers one request. Dropped before its end, the caller has left.
    pub(crate) async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Response<Body> {
        let arrived = self.clock.now();
        let head = read_caller_head(req.headers());
        let mut record = Record::new(arrived, &self.clock, head.request.clone());
        let answer = self.answer(req, head, arrived, &mut record).await;
        match answer {
            Ok(answer) => answer,
            Err(failure) => {
                record.finish(failure.status, failure.reason);
                failure.response()
            }
        }
    }

    async fn answer(
        &self,
        req: Request<Incoming>,
        head: CallerHead,
        arrived: Instant,
        record: &mut Record,
    ) -> Result<Response<Body>, Final> {
        let Some(table) = self.view.table() else {
            return Err(Final::not_run("no routing is known yet", NOT_READY_RETRY));
        };
        record.version = table.document().version;
        let host = req.headers().get(http::header::HOST).and_then(|host| host.to_str().ok());
        let route = table
            .route(host.unwrap_or_default(), req.uri().path())
            .ok_or(Final::refused(StatusCode::NOT_FOUND, "no route"))?;
        record.route = route.name.clone();
        record.prompt = head.tokens.map_or(0, |(prompt, _)| prompt);
        let organisation = organisation(&table, route, &head)?;
        record.organisation = organisation.map(|o| o.name.clone()).unwrap_or_default();
        let time = route.timeout.min(head.deadline.unwrap_or(DEADLINE_MAX));
        let (parts, body) = req.into_parts();
        // A body without a stated length may become as long as any.
        let most = table.document().limits.body_bytes;
        let length = body.size_hint().upper().unwrap_or(most).min(most);
        let room = self.bodies.take(length);
        let room = room.ok_or(Final::not_run("too many bytes are under way", NOT_READY_RETRY))?;
        let body = read_body(body, most, time).await;
        let body = body.map_err(|status| Final::refused(status, "body not read"))?;
        let service = route
            .pick(fastrand::f64())
            .ok_or(Final::refused(StatusCode::BAD_GATEWAY, "the route leads nowhere"))?;
        record.service = service.clone();
        let is_dispatched = table.service(service).is_some_and(|s| s.engine.is_some());
        let path = parts.uri.path_and_query().map(ToString::to_string).unwrap_or_default();
        let order = Order {
            fingerprint: fingerprint(&record.organisation, &path, &body),
            head,
            parts,
            body,
            _room: room,
            organisation: organisation.map(|o| o.name.clone()),
            priority: organisation.and_then(|o| o.priority).unwrap_or(route.priority),
            route: route.clone(),
            service: service.clone(),
            is_dispatched,
            arrived,
            deadline: arrived + time,
        };
        let cx = FlightContext {
            placer: Arc::clone(&self.placer),
            clock: Arc::clone(&self.clock),
            ends_soon: self.ends_soon.clone(),
        };
        self.run(Flight::new(cx, order), record).await
    }

    async fn run(&self, mut flight: Flight, record: &mut Record) -> Result<Response<Body>, Final> {
        let left = flight.time_left();
        let answered = timeout(left, flight.next_answer(record)).await;
        let answered = match answered {
            Ok(answered) => answered?,
            Err(_) => return Err(flight.timed_out()),
        };
        let mut answer = Response::new(());
        *answer.status_mut() = answered.head.status;
        *answer.headers_mut() = caller_headers(&answered.head.headers);
        let status = answered.head.status;
        match answered.whole {
            Some(bytes) => {
                record.finish(status, "answered");
                Ok(answer.map(|()| full(bytes)))
            }
            None => {
                let (tx, body) = proxy::channel();
                let record = record.hand_over();
                tokio::spawn(stream::pump(flight, answered, tx, record));
                Ok(answer.map(|()| body))
            }
        }
    }
}

impl Final {
    /// The answer that tells the caller.
    pub(crate) fn response(&self) -> Response<Body> {
        let mut answer = Response::new(full(format!("{}\n", self.reason)));
        *answer.status_mut() = self.status;
        if matches!(self.status, StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT) {
            // The rest of the body may still come; nobody will read it.
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(after) = self.retry_after {
            // The platform's callers take fractions; others round up.
            let seconds = format!("{:.2}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                answer.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        answer
    }
}

fn organisation<'a>(
    table: &'a RoutingTable,
    route: &Route,
    head: &CallerHead,
) -> Result<Option<&'a routing::Organisation>, Final> {
    let known = head.key.as_deref().and_then(|key| table.organisation(key));
    if known.is_none() && table.needs_key(route) {
        return Err(Final::refused(StatusCode::UNAUTHORIZED, "unknown key"));
    }
    Ok(known)
}

/// Names a request that is sent again: the same caller, path and body.
fn fingerprint(organisation: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    (organisation, path, body).hash(&mut hasher);
    hasher.finish()
}
