//! HTTP control requests of operators and upstreams, as the leader handles them.
//!
//! Changes of routing and data centres go through the replicated log. Registrations are kept
//! in the leader's memory only: upstreams repeat them.

use super::{
    compress::{compress, decompress},
    control::ControlMember,
    lead::LeaderState,
    messages::{ControlHttpRequest, ControlHttpResponse},
    servers::{INVALID, log_refused},
    unanswered::RefusedCall,
};
use control::{Command, Outcome, PublishedRouting, RoutingOutcome, UpstreamDeparture};
use follow::ViewPosition;
use grant::{Registration, RegistrationOutcome};
use http::Method;
use platform::control as control_api;
use routing::RoutingDocument;
use std::{sync::Arc, time::Instant};
use tokio::{task::spawn_blocking, time::timeout};
use wire::{DataCentreId, UpstreamId};

impl ControlMember {
    /// Handles an HTTP control request if this daemon leads the control group; otherwise `None`.
    pub(super) async fn handle_as_leader(
        self: &Arc<Self>,
        request: ControlHttpRequest,
    ) -> Option<ControlHttpResponse> {
        self.with_leader(|_| ())?;
        let method = Method::from_bytes(request.method.as_bytes());
        let Ok(method) = method else {
            return Some(ControlHttpResponse::new(400, "unknown method"));
        };
        let decoded = match control_api::decode(&method, &request.path, &request.body) {
            Ok(decoded) => decoded,
            Err(err) => {
                let status = err.status().as_u16();
                let reason = err.to_string();
                let ControlHttpRequest { method, path, .. } = request;
                let call = RefusedCall { method, path, status };
                let line = self.invalid.add(self.now(), &reason, call);
                line.iter().for_each(|line| log_refused(self, INVALID, line));
                return Some(ControlHttpResponse::new(status, &reason));
            }
        };
        match decoded {
            control_api::Call::Publish(routing) => self.publish(*routing, request.body).await,
            control_api::Call::ReadRouting => Some(self.read_routing().await),
            control_api::Call::SetOutOfService { data_centre, is_out_of_service } => {
                self.set_out_of_service(data_centre, is_out_of_service).await
            }
            control_api::Call::Register(registration) => self.register(registration).await,
            control_api::Call::Deregister(id) => self.deregister(&id).await,
        }
    }

    /// Replicates a routing document, and responds once the live followers have it or the wait
    /// for them has timed out. `document` is the request's body, which is stored as it is.
    async fn publish(
        self: &Arc<Self>,
        routing: RoutingDocument,
        document: Vec<u8>,
    ) -> Option<ControlHttpResponse> {
        if !self.is_formed() {
            return Some(ControlHttpResponse::new(503, "the control group is not complete yet"));
        }
        let document = match compress(&document) {
            Ok(document) => document,
            Err(err) => return Some(ControlHttpResponse::new(500, &err.to_string())),
        };
        let published = PublishedRouting { version: routing.version, document };
        let outcome = match self.propose(Command::PublishRouting(published)).await {
            Ok(outcome) => outcome,
            Err(response) => return Some(response),
        };
        let version = routing.version;
        let followed = self.await_followers(|leader| leader.position().of_routing(version)).await;
        log::info!(
            version = version, followed = followed, outcome:? = outcome; "routing published"
        );
        match outcome {
            Outcome::Routing(RoutingOutcome::Accepted) => {
                Some(ControlHttpResponse::new(200, "in force"))
            }
            Outcome::Routing(RoutingOutcome::Held { version }) => {
                Some(ControlHttpResponse::new(200, &format!("version {version} stays in force")))
            }
            _ => Some(ControlHttpResponse::new(503, "not applied")),
        }
    }

    /// Takes a data centre out of service or puts it back, and responds as
    /// [`publish`](Self::publish) does.
    async fn set_out_of_service(
        self: &Arc<Self>,
        data_centre: DataCentreId,
        is_out_of_service: bool,
    ) -> Option<ControlHttpResponse> {
        if !self.is_formed() {
            return Some(ControlHttpResponse::new(503, "the control group is not complete yet"));
        }
        let command = Command::CloseDataCentre {
            data_centre: data_centre.clone(),
            is_closed: is_out_of_service,
        };
        if let Err(response) = self.propose(command).await {
            return Some(response);
        }
        let followed = self.await_followers(|leader| leader.position().of_out_of_service()).await;
        log::info!(
            data_centre = data_centre.as_str(), is_closed = is_out_of_service, followed = followed;
            "data centre changed"
        );
        Some(ControlHttpResponse::new(200, "in force"))
    }

    /// Responds with the routing document in force, once a majority has confirmed that this
    /// daemon still leads, so that the document was the newest when the request arrived.
    async fn read_routing(&self) -> ControlHttpResponse {
        let voter = Arc::clone(self.voter());
        let read = spawn_blocking(move || voter.read(|state| state.routing().cloned())).await;
        match read {
            Ok(Ok(Some(published))) => match decompress(&published.document) {
                Ok(body) => ControlHttpResponse { status: 200, body },
                Err(err) => ControlHttpResponse::new(500, &err.to_string()),
            },
            Ok(Ok(None)) => ControlHttpResponse::new(503, "no routing was published yet"),
            Ok(Err(err)) => {
                ControlHttpResponse::new(503, &format!("not sure of the newest: {err}"))
            }
            Err(err) => ControlHttpResponse::new(500, &err.to_string()),
        }
    }

    /// Applies the registration of an upstream. One by which it drains is acknowledged as a
    /// departure.
    async fn register(&self, registration: Registration) -> Option<ControlHttpResponse> {
        let now = self.now();
        let id = registration.id.clone();
        let (started_at_ms, sequence, is_draining) =
            (registration.started_at_ms, registration.sequence, registration.is_draining);
        let outcome = self.with_leader(|leader| leader.directory.register(now, registration))?;
        if outcome.is_change() || outcome == RegistrationOutcome::Stale {
            log::info!(
                upstream = id.as_str(), born = started_at_ms, sequence = sequence,
                is_draining = is_draining, merge:? = outcome; "upstream registered"
            );
        }
        if outcome.is_change() {
            self.notify_followers();
        }
        if is_draining {
            let departure = self.with_leader(|leader| leader.directory.departure_of(&id))?;
            // Without one, the upstream has returned since, or a later run is known.
            let command = departure.map(Command::RecordDeparture);
            return Some(self.acknowledge_departure(&id, command, outcome, now).await);
        }
        Some(registered())
    }

    /// Marks an upstream as departed and acknowledges that. If it was not present, the departure is
    /// that of a run that is not known here, or a repeated one.
    async fn deregister(&self, id: &str) -> Option<ControlHttpResponse> {
        let since = self.now();
        let mut departure = self.mark_departed(id)?;
        if departure.is_none() {
            let upstream = id.to_owned();
            let command = Command::RecordUnknownDeparture { upstream, at_ms: 0 };
            if let Err(response) = self.propose(command).await {
                return Some(response);
            }
            // Until now, an entry may have offered the upstream to a leader that has just started.
            departure = self.mark_departed(id)?;
        }
        let outcome = match &departure {
            Some(_) => RegistrationOutcome::Changed,
            None => RegistrationOutcome::Stale,
        };
        let command = departure.map(Command::RecordDeparture);
        Some(self.acknowledge_departure(id, command, outcome, since).await)
    }

    /// Marks an upstream that is present as departed, and returns its departure. `None` outside if this
    /// daemon doesn't lead.
    fn mark_departed(&self, id: &str) -> Option<Option<UpstreamDeparture>> {
        let now = self.now();
        let departure = self.with_leader(|leader| {
            let is_change = leader.directory.deregister(now, id);
            is_change.then(|| leader.directory.departure_of(id)).flatten()
        })?;
        if departure.is_some() {
            log::info!(upstream = id; "upstream has left");
            self.notify_followers();
        }
        Some(departure)
    }

    /// Replicates the departure of a run of an upstream whose responses say that it leaves. No
    /// registration of the run brings it back. Returns whether this daemon leads and has done so.
    pub(super) async fn record_leaving(&self, upstream: UpstreamId, started_at_ms: u64) -> bool {
        if self.with_leader(|_| ()).is_none() {
            return false;
        }
        log::info!(
            upstream = upstream.as_str(), born = started_at_ms; "upstream leaves, by its responses"
        );
        // It has not deregistered yet, and may do so under this name.
        let (has_left, sequence) = (false, u64::MAX);
        let departure = UpstreamDeparture { upstream, started_at_ms, has_left, sequence, at_ms: 0 };
        let command = Some(Command::RecordDeparture(departure));
        self.replicate_departure(command, false).await.is_ok()
    }

    /// Acknowledges a departure that was received at `since`, the first time or again, once
    /// `command` is replicated, so that the next leader knows it, and the live followers know it, so
    /// that none sends the upstream a request afterwards.
    async fn acknowledge_departure(
        &self,
        id: &str,
        command: Option<Command>,
        outcome: RegistrationOutcome,
        since: Instant,
    ) -> ControlHttpResponse {
        let response = match self.replicate_departure(command, outcome.is_change()).await {
            Err(response) => response,
            Ok(()) if self.await_followers(|leader| leader.position_of(id)).await => registered(),
            Ok(()) => ControlHttpResponse::new(503, "not all daemons know of the departure yet"),
        };
        let is_acknowledged = response.status == 200;
        if is_acknowledged {
            let now = self.now();
            let waited_ms = now.saturating_duration_since(since).as_millis() as u64;
            let leader =
                self.with_leader(|leader| (leader.position(), leader.live_follower_count(now)));
            let (position, followers) = leader.unwrap_or_default();
            log::info!(
                upstream = id, merge:? = outcome, followers, waited_ms, term = position.term,
                revision = position.directory; "departure acknowledged"
            );
        }
        let labels = [("acknowledged", is_acknowledged.to_string())];
        metrics::counter!("toucansill_departures_total", &labels).increment(1);
        response
    }

    /// Replicates a departure, unless it is a repeated one and this is done. An error is the
    /// response to send.
    async fn replicate_departure(
        &self,
        command: Option<Command>,
        is_new: bool,
    ) -> Result<(), ControlHttpResponse> {
        let Some(command) = command else { return Ok(()) };
        let is_recorded = match &command {
            Command::RecordDeparture(departure) => {
                self.voter().peek(|state| state.departures().covers(departure))
            }
            _ => false,
        };
        if is_recorded && !is_new {
            return Ok(());
        }
        self.propose(command).await.map(drop)
    }

    /// Proposes a command and waits until it is applied. An error is the response to send.
    pub(super) async fn propose(&self, command: Command) -> Result<Outcome, ControlHttpResponse> {
        let voter = Arc::clone(self.voter());
        let proposed = spawn_blocking(move || voter.propose(command)).await;
        let outcome = match proposed {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(err)) => return Err(ControlHttpResponse::new(503, &err.to_string())),
            Err(err) => return Err(ControlHttpResponse::new(500, &err.to_string())),
        };
        self.apply_state();
        Ok(outcome)
    }

    /// Waits until the views of all live followers cover a position, for
    /// [`followed_timeout`](super::settings::Bounds::followed_timeout) at most. Returns whether
    /// they do.
    async fn await_followers(&self, position: impl FnOnce(&LeaderState) -> ViewPosition) -> bool {
        let Some(position) = self.with_leader(|leader| position(leader)) else { return false };
        let mut positions = self.watch_positions();
        let is_up_to_date = || {
            let now = self.now();
            self.with_leader(|leader| leader.is_up_to_date(now, &position)).unwrap_or(false)
        };
        let followed = async {
            while !is_up_to_date() {
                // An error is impossible: the sender lives as long as this daemon.
                let _ = positions.changed().await;
            }
        };
        if timeout(self.bounds().followed_timeout(), followed).await.is_ok() {
            return true;
        }
        let now = self.now();
        let lagging = self.with_leader(|leader| leader.lagging(now, &position)).unwrap_or_default();
        log::warn!(lagging:? = lagging, term = position.term; "daemons in touch lag behind");
        false
    }
}

impl ControlHttpRequest {
    /// Whether the request is an order that has no version; see [`control_api::is_unordered`].
    pub(super) fn is_unordered(&self) -> bool {
        let method = Method::from_bytes(self.method.as_bytes());
        method.is_ok_and(|method| control_api::is_unordered(&method, &self.path))
    }
}

/// Registration that a request holds; `None` if it holds something else.
pub(super) fn read_registration(request: &ControlHttpRequest) -> Option<Registration> {
    let method = Method::from_bytes(request.method.as_bytes()).ok()?;
    match control_api::decode(&method, &request.path, &request.body) {
        Ok(control_api::Call::Register(registration)) => Some(registration),
        _ => None,
    }
}

/// Response to a registration or a departure that took effect.
pub(super) fn registered() -> ControlHttpResponse {
    ControlHttpResponse { status: 200, body: control_api::registration_response(None) }
}
