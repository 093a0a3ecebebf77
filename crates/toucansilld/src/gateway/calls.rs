//! Calls of operators and upstreams, as the leader answers them.

use super::{
    control::Control,
    messages::{Call, CallAnswer},
    pack::{pack, unpack},
};
use control::{Command, Outcome, PublishedRouting, RoutingOutcome};
use grant::{Registration, RegistrationOutcome};
use http::Method;
use platform::control as calls;
use routing::RoutingDocument;
use std::sync::Arc;
use tokio::{task::spawn_blocking, time::timeout};
use wire::DataCentreId;

impl Control {
    /// `None` if this daemon does not lead.
    pub(super) async fn call_as_leader(self: &Arc<Self>, call: Call) -> Option<CallAnswer> {
        self.with_lead(|_| ())?;
        let method = Method::from_bytes(call.method.as_bytes());
        let Ok(method) = method else { return Some(CallAnswer::new(400, "unknown method")) };
        let decoded = match calls::decode(&method, &call.path, &call.body) {
            Ok(decoded) => decoded,
            Err(err) => {
                log::warn!(
                    method = call.method.as_str(), path = call.path.as_str(),
                    bytes = call.body.len(); "call refused: {err}"
                );
                return Some(CallAnswer::new(err.status().as_u16(), &err.to_string()));
            }
        };
        match decoded {
            calls::Call::Publish(routing) => self.publish(*routing, call.body).await,
            calls::Call::ReadRouting => Some(self.read_routing().await),
            calls::Call::SetOutOfService { data_centre, is_out_of_service } => {
                self.close_data_centre(data_centre, is_out_of_service).await
            }
            calls::Call::Register(registration) => self.register(registration).await,
            calls::Call::Deregister(id) => self.deregister(&id).await,
        }
    }

    async fn publish(
        self: &Arc<Self>,
        routing: RoutingDocument,
        document: Vec<u8>,
    ) -> Option<CallAnswer> {
        if !self.is_formed() {
            return Some(CallAnswer::new(503, "the control group is not complete yet"));
        }
        let document = match pack(&document) {
            Ok(document) => document,
            Err(err) => return Some(CallAnswer::new(500, &err.to_string())),
        };
        let published = PublishedRouting { version: routing.version, document };
        let outcome = match self.propose(Command::PublishRouting(published)).await {
            Ok(outcome) => outcome,
            Err(answer) => return Some(answer),
        };
        let followed = self.await_followed().await;
        let version = routing.version;
        log::info!(version = version, followed = followed, outcome:? = outcome; "routing published");
        match outcome {
            Outcome::Routing(RoutingOutcome::Accepted) => Some(CallAnswer::new(200, "in force")),
            Outcome::Routing(RoutingOutcome::Held { version }) => {
                Some(CallAnswer::new(200, &format!("version {version} stays in force")))
            }
            _ => Some(CallAnswer::new(503, "not applied")),
        }
    }

    async fn close_data_centre(
        self: &Arc<Self>,
        data_centre: DataCentreId,
        is_closed: bool,
    ) -> Option<CallAnswer> {
        if !self.is_formed() {
            return Some(CallAnswer::new(503, "the control group is not complete yet"));
        }
        let command = Command::CloseDataCentre { data_centre: data_centre.clone(), is_closed };
        if let Err(answer) = self.propose(command).await {
            return Some(answer);
        }
        let followed = self.await_followed().await;
        log::info!(
            data_centre = data_centre.as_str(), is_closed = is_closed, followed = followed;
            "data centre changed"
        );
        Some(CallAnswer::new(200, "in force"))
    }

    /// The document in force, proven to be the newest.
    async fn read_routing(&self) -> CallAnswer {
        let voter = Arc::clone(self.voter());
        let read = spawn_blocking(move || voter.read(|state| state.routing().cloned())).await;
        match read {
            Ok(Ok(Some(published))) => match unpack(&published.document) {
                Ok(body) => CallAnswer { status: 200, body },
                Err(err) => CallAnswer::new(500, &err.to_string()),
            },
            Ok(Ok(None)) => CallAnswer::new(503, "no routing was published yet"),
            Ok(Err(err)) => CallAnswer::new(503, &format!("not sure of the newest: {err}")),
            Err(err) => CallAnswer::new(500, &err.to_string()),
        }
    }

    async fn register(&self, registration: Registration) -> Option<CallAnswer> {
        let now = self.now();
        let id = registration.id.clone();
        let (born, sequence, is_draining) =
            (registration.started_at_ms, registration.sequence, registration.is_draining);
        let merge = self.with_lead(|lead| lead.directory.register(now, registration))?;
        if merge.is_change() || merge == RegistrationOutcome::Stale {
            log::info!(
                upstream = id.as_str(), born = born, sequence = sequence,
                is_draining = is_draining, merge:? = merge; "upstream registered"
            );
        }
        if merge.is_change() {
            self.tell_followers();
        }
        if merge == RegistrationOutcome::Changed && is_draining {
            self.await_followed().await;
        }
        Some(CallAnswer { status: 200, body: calls::registration_response(None) })
    }

    async fn deregister(&self, id: &str) -> Option<CallAnswer> {
        let now = self.now();
        if self.with_lead(|lead| lead.directory.deregister(now, id))? {
            log::info!(upstream = id; "upstream has left");
            self.tell_followers();
            self.await_followed().await;
        }
        Some(CallAnswer { status: 200, body: calls::registration_response(None) })
    }

    async fn propose(&self, command: Command) -> Result<Outcome, CallAnswer> {
        let voter = Arc::clone(self.voter());
        let proposed = spawn_blocking(move || voter.propose(command)).await;
        let outcome = match proposed {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(err)) => return Err(CallAnswer::new(503, &err.to_string())),
            Err(err) => return Err(CallAnswer::new(500, &err.to_string())),
        };
        self.follow_state();
        Ok(outcome)
    }

    /// Waits until the daemons in touch have what the leader has now. Returns whether
    /// they have.
    async fn await_followed(&self) -> bool {
        let Some(position) = self.with_lead(|lead| lead.position()) else { return false };
        let mut heard = self.positions_heard();
        let is_followed = || {
            let now = self.now();
            self.with_lead(|lead| lead.is_followed(now, &position)).unwrap_or(false)
        };
        let followed = async {
            while !is_followed() {
                // The sender lives as long as this daemon.
                let _ = heard.changed().await;
            }
        };
        if timeout(self.bounds().followed_timeout(), followed).await.is_ok() {
            return true;
        }
        let now = self.now();
        let lagging = self.with_lead(|lead| lead.lagging(now, &position)).unwrap_or_default();
        log::warn!(lagging:? = lagging, term = position.term; "daemons in touch lag behind");
        false
    }
}
