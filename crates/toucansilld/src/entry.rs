//! Entry of a daemon: serves callers' HTTP requests and receives upstreams' announcements.
//!
//! A request is authorised, admitted by the limiter ([`limit`]) and sent to the owner of an
//! upstream that can serve it, on this daemon or behind a link. The entry chooses owners from the
//! load digests that daemons send each other.

mod admission;
mod announce;
mod answer;
mod attempt;
mod model;
mod placement;
mod service;

use crate::{
    control_client::ControlClient,
    messages::{GossipMessage, JobRequest, OrganisationDemand},
    net::Net,
    owner::Owner,
    session::SessionService,
    sync::lock,
};
use admission::Admission;
pub(crate) use attempt::encode_frame;
use control::{Configuration, RequestHash, SessionRefusal};
use edge::{ApiCall, ApiError, ApiKeys, CallerRequest};
use event::{EventKind, Recorder};
use http::Method;
use kernel::SharedClock;
use placement::OwnerChooser;
use sha2::{Digest, Sha256};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use wire::{OrganisationId, RequestId, Verdict};

/// Time to the deadline of a model request whose caller sets none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(600);
/// Retry delay suggested to callers while the daemon holds no valid lease.
const LEASE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Components used by the entry.
pub(crate) struct EntryContext {
    /// Session of this daemon.
    pub(crate) session: Arc<SessionService>,
    /// Client of the control group.
    pub(crate) control: Arc<ControlClient>,
    /// Links to other daemons.
    pub(crate) net: Arc<Net>,
    /// Owner of this daemon.
    pub(crate) owner: Arc<Owner>,
    /// Recorder of this daemon's events.
    pub(crate) recorder: Arc<Recorder>,
    /// Clock.
    pub(crate) clock: SharedClock,
}

/// Entry of one daemon.
pub(crate) struct Entry {
    pub(crate) cx: EntryContext,
    admission: Admission,
    owners: OwnerChooser,
    api_keys: Mutex<Arc<ApiKeys>>,
    /// Limits further attempts after failures to a tenth of all requests, with a reserve of 100.
    retry_budget: Mutex<upstream::RetryBudget>,
    next_request: AtomicU64,
    in_flight: AtomicUsize,
    is_draining: AtomicBool,
}

/// A request that was authorised but not admitted yet.
pub(crate) struct AuthorisedRequest {
    /// Id of the request.
    pub(crate) request: RequestId,
    /// Organisation that pays for it.
    pub(crate) organisation: OrganisationId,
    /// Time by which the answer must be complete.
    pub(crate) deadline: Instant,
}

impl Entry {
    /// Entry without a configuration: it refuses all requests until the session has one.
    pub(crate) fn new(cx: EntryContext, data_centre: &str, region: &str) -> Arc<Self> {
        let admission = Admission::start(Arc::clone(&cx.clock));
        Arc::new(Self {
            cx,
            admission,
            owners: OwnerChooser::new(data_centre, region),
            api_keys: Mutex::default(),
            retry_budget: Mutex::new(upstream::RetryBudget::new(0.1, 100.0)),
            next_request: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            is_draining: AtomicBool::new(false),
        })
    }

    /// Handles one request on the callers' listener.
    pub(crate) fn handle(&self, req: CallerRequest) {
        let result = match req.path.as_str() {
            "/healthz" => req.response.json(200, r#"{"alive":true}"#, Verdict::Ran),
            "/readyz" => self.readiness(req),
            "/upstreams" => announce::handle(self, req),
            _ => {
                self.in_flight.fetch_add(1, Ordering::Relaxed);
                let result = self.serve(req);
                self.in_flight.fetch_sub(1, Ordering::Relaxed);
                result
            }
        };
        if let Err(err) = result {
            log::debug!("the caller has disconnected: {err}");
        }
    }

    /// Applies gossip from a daemon, including this one.
    pub(crate) fn apply_gossip(&self, gossip: GossipMessage) {
        let now = self.cx.clock.now();
        let demand = gossip
            .demand
            .into_iter()
            .map(|demand| limit::OrganisationDemand {
                organisation: demand.organisation,
                tokens_per_second: demand.tokens_per_second,
            })
            .collect();
        self.admission.set_remote_demand(now, gossip.digest.daemon.clone(), demand);
        let live_daemons = self.cx.session.roster().len();
        let capacity = self.owners.update(now, gossip.digest, live_daemons);
        self.admission.set_capacity(capacity);
    }

    /// Demand at this entry, of the organisations near their local quota only.
    pub(crate) fn demand(&self) -> Vec<OrganisationDemand> {
        let demand = self.admission.demand_near_quota(self.cx.clock.now());
        demand
            .into_iter()
            .map(|demand| OrganisationDemand {
                organisation: demand.organisation,
                tokens_per_second: demand.tokens_per_second,
            })
            .collect()
    }

    /// Applies a new configuration or roster.
    pub(crate) fn view_changed(&self) {
        let configuration = self.cx.session.configuration();
        let roster = self.cx.session.roster();
        *lock(&self.api_keys) = Arc::new(api_keys(&configuration));
        let now = self.cx.clock.now();
        self.admission.set_shares(now, &configuration, roster.len());
        self.owners.set_view(&configuration, &roster);
    }

    /// Makes the health check fail, so that the load balancer sends no more requests. Requests
    /// that arrive are still served.
    pub(crate) fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Whether [`drain`](Self::drain) was called.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Number of callers' requests without a complete response.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Sets the gauges to their current values.
    pub(crate) fn update_gauges(&self) {
        let takes_work = self.cx.session.may_accept_requests().is_ok() && !self.is_draining();
        metrics::gauge!("toucansill_takes_work").set(if takes_work { 1.0 } else { 0.0 });
        metrics::gauge!("toucansill_requests_in_flight").set(self.in_flight() as f64);
        metrics::gauge!("toucansill_requests_waiting").set(self.waiting_count() as f64);
        let position = self.cx.session.view_position();
        metrics::gauge!("toucansill_sheet").set(position.sheet as f64);
    }

    /// Number of requests waiting for admission.
    pub(crate) fn waiting_count(&self) -> usize {
        self.admission.waiting_count()
    }

    /// Responds to the load balancer's health check: 200 while the daemon holds a valid
    /// lease and is not draining.
    fn readiness(&self, req: CallerRequest) -> edge::Result<()> {
        if self.is_draining() {
            return req.response.error(unavailable("draining", "the daemon is about to stop"));
        }
        match self.cx.session.may_accept_requests() {
            Ok(()) => req.response.json(200, r#"{"ready":true}"#, Verdict::Ran),
            Err(refusal) => req.response.error(no_lease(refusal)),
        }
    }

    /// Authorises a request and serves it.
    fn serve(&self, req: CallerRequest) -> edge::Result<()> {
        let (authorised, call) = match self.authorise(&req) {
            Ok(authorised) => authorised,
            Err(err) => {
                self.record_refusal("", &err);
                return req.response.error(err);
            }
        };
        match call {
            ApiCall::Models => req.response.json(200, self.owners.models_json(), Verdict::Ran),
            ApiCall::Chat(call) => model::run(self, req, authorised, &call, true),
            ApiCall::Completion(call) => model::run(self, req, authorised, &call, false),
            ApiCall::Service(call) => service::run(self, req, authorised, &call),
        }
    }

    /// Records an event of a request.
    pub(crate) fn record(&self, kind: EventKind, request: &str, text: impl Into<String>) {
        self.cx.recorder.record(self.cx.recorder.event(kind).request(request).text(text));
    }

    /// Counts and records a refusal.
    pub(crate) fn record_refusal(&self, request: &str, err: &ApiError) {
        metrics::counter!("toucansill_refused_total", "code" => err.code.clone()).increment(1);
        self.record(EventKind::RequestRefused, request, format!("{}: {}", err.code, err.message));
    }

    /// Checks the daemon's lease, the API key and the call, in this order.
    fn authorise(&self, req: &CallerRequest) -> Result<(AuthorisedRequest, ApiCall), ApiError> {
        let keys = Arc::clone(&lock(&self.api_keys));
        self.cx.session.may_accept_requests().map_err(no_lease)?;
        let organisation = keys.authenticate(&req.headers)?.clone();
        let call = ApiCall::parse(req)?;
        let deadline = req.received + req.headers.deadline.unwrap_or(DEFAULT_DEADLINE);
        Ok((AuthorisedRequest { request: self.request_id(), organisation, deadline }, call))
    }

    /// A request id that is unique over all daemons and their incarnations.
    fn request_id(&self) -> RequestId {
        let instance = self.cx.session.instance();
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", instance.daemon, instance.incarnation)
    }
}

impl JobRequest {
    /// Hash of a request, equal for equal bodies of the same organisation.
    pub(crate) fn hash_of(organisation: &str, body: &[u8]) -> RequestHash {
        let mut hasher = Sha256::new();
        hasher.update(organisation.len().to_le_bytes());
        hasher.update(organisation);
        hasher.update(body);
        hasher.finalize().into()
    }
}

/// API keys of all organisations, by their hashes.
fn api_keys(configuration: &Configuration) -> ApiKeys {
    let hashes = configuration.organisations.iter().flat_map(|(id, organisation)| {
        organisation.key_hashes.iter().map(|hash| (*hash, id.clone()))
    });
    ApiKeys::new(hashes)
}

/// Error of a daemon that may not serve requests, as it holds no valid lease.
fn no_lease(refusal: SessionRefusal) -> ApiError {
    unavailable("no_lease", &refusal.to_string()).with_retry_after(LEASE_RETRY_AFTER)
}

/// Error 503 of a request that was not run.
fn unavailable(code: &str, reason: &str) -> ApiError {
    ApiError::new(503, code, reason, Verdict::NotRun)
}

/// Whether the method is POST, which announcements require.
pub(crate) fn is_post(method: &Method) -> bool {
    *method == Method::POST
}
