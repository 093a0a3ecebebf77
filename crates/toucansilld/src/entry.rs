//! The entry: callers' requests and upstreams' announcements.

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
use edge::{ApiError, ApiKeys, Call, CallerRequest};
use event::{EventKind, Recorder};
use http::Method;
use kernel::SharedClock;
use placement::Placement;
use sha2::{Digest, Sha256};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use wire::{OrganisationId, RequestId, Verdict};

/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(600);
/// When a caller may come back to a daemon without a lease.
const LEASE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Services that the entry uses.
pub(crate) struct EntryContext {
    /// Session of this daemon.
    pub(crate) session: Arc<SessionService>,
    /// Control group.
    pub(crate) control: Arc<ControlClient>,
    /// Links to other daemons.
    pub(crate) net: Arc<Net>,
    /// The owner on this daemon.
    pub(crate) owner: Arc<Owner>,
    /// Time line of this daemon.
    pub(crate) recorder: Arc<Recorder>,
    /// Clock.
    pub(crate) clock: SharedClock,
}

/// The entry of one daemon.
pub(crate) struct Entry {
    pub(crate) cx: EntryContext,
    admission: Admission,
    placement: Placement,
    keys: Mutex<Arc<ApiKeys>>,
    budget: Mutex<upstream::RetryBudget>,
    next_request: AtomicU64,
    in_flight: AtomicUsize,
    is_draining: AtomicBool,
}

/// What is known of a request before it is admitted.
pub(crate) struct Accepted {
    /// Id of the request.
    pub(crate) request: RequestId,
    /// Organisation that pays for it.
    pub(crate) organisation: OrganisationId,
    /// When the whole answer must be there.
    pub(crate) deadline: Instant,
}

impl Entry {
    /// An entry without any configuration: it refuses all until the session has one.
    pub(crate) fn new(cx: EntryContext, data_centre: &str, region: &str) -> Arc<Self> {
        let admission = Admission::start(Arc::clone(&cx.clock));
        Arc::new(Self {
            cx,
            admission,
            placement: Placement::new(data_centre, region),
            keys: Mutex::default(),
            budget: Mutex::new(upstream::RetryBudget::new(0.1, 100.0)),
            next_request: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            is_draining: AtomicBool::new(false),
        })
    }

    /// Handles one request at the callers' address.
    pub(crate) fn handle(&self, req: CallerRequest) {
        let result = match req.path.as_str() {
            "/healthz" => req.reply.json(200, r#"{"alive":true}"#, Verdict::Ran),
            "/readyz" => self.ready(req),
            "/upstreams" => announce::handle(self, req),
            _ => {
                self.in_flight.fetch_add(1, Ordering::Relaxed);
                let result = self.call(req);
                self.in_flight.fetch_sub(1, Ordering::Relaxed);
                result
            }
        };
        if let Err(err) = result {
            log::debug!("the caller is gone: {err}");
        }
    }

    /// Takes in what another daemon tells of itself.
    pub(crate) fn hear(&self, gossip: GossipMessage) {
        let now = self.cx.clock.now();
        let usage = gossip
            .demand
            .into_iter()
            .map(|demand| limit::OrganisationUsage {
                organisation: demand.organisation,
                tokens_per_second: demand.tokens_per_second,
            })
            .collect();
        self.admission.set_usage_elsewhere(now, gossip.digest.daemon.clone(), usage);
        let live_daemons = self.cx.session.roster().len();
        let capacity = self.placement.update(now, gossip.digest, live_daemons);
        self.admission.set_capacity(capacity);
    }

    /// Demand at this entry of the organisations that come near their quota.
    pub(crate) fn demand(&self) -> Vec<OrganisationDemand> {
        let usage = self.admission.pressing_usage(self.cx.clock.now());
        usage
            .into_iter()
            .map(|usage| OrganisationDemand {
                organisation: usage.organisation,
                tokens_per_second: usage.tokens_per_second,
            })
            .collect()
    }

    /// Takes in a new configuration or roster.
    pub(crate) fn view_changed(&self) {
        let configuration = self.cx.session.configuration();
        let roster = self.cx.session.roster();
        *lock(&self.keys) = Arc::new(keys(&configuration));
        let now = self.cx.clock.now();
        self.admission.set_shares(now, &configuration, roster.len());
        self.placement.set_view(&configuration, &roster);
    }

    /// Lets the health check fail; requests are still taken.
    pub(crate) fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Whether the daemon is about to stop.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Callers' requests that have not been answered yet.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Brings the gauges up to date.
    pub(crate) fn measure(&self) {
        let takes_work = self.cx.session.may_take_work().is_ok() && !self.is_draining();
        metrics::gauge!("toucansill_takes_work").set(if takes_work { 1.0 } else { 0.0 });
        metrics::gauge!("toucansill_requests_in_flight").set(self.in_flight() as f64);
        metrics::gauge!("toucansill_requests_waiting").set(self.waiting() as f64);
        let position = self.cx.session.position();
        metrics::gauge!("toucansill_sheet").set(position.sheet as f64);
    }

    /// Requests that wait for admission.
    pub(crate) fn waiting(&self) -> usize {
        self.admission.waiting()
    }

    fn ready(&self, req: CallerRequest) -> edge::Result<()> {
        if self.is_draining() {
            return req.reply.error(unavailable("draining", "the daemon is about to stop"));
        }
        match self.cx.session.may_take_work() {
            Ok(()) => req.reply.json(200, r#"{"ready":true}"#, Verdict::Ran),
            Err(refusal) => req.reply.error(no_lease(refusal)),
        }
    }

    fn call(&self, req: CallerRequest) -> edge::Result<()> {
        let (accepted, call) = match self.accept(&req) {
            Ok(accepted) => accepted,
            Err(err) => {
                self.refused("", &err);
                return req.reply.error(err);
            }
        };
        match call {
            Call::Models => req.reply.json(200, self.placement.models_json(), Verdict::Ran),
            Call::Chat(call) => model::run(self, req, accepted, &call, true),
            Call::Completion(call) => model::run(self, req, accepted, &call, false),
            Call::Service(call) => service::run(self, req, accepted, &call),
        }
    }

    /// Records an event of a request.
    pub(crate) fn record(&self, kind: EventKind, request: &str, text: impl Into<String>) {
        self.cx.recorder.record(self.cx.recorder.event(kind).request(request).text(text));
    }

    /// Counts and records a refusal.
    pub(crate) fn refused(&self, request: &str, err: &ApiError) {
        metrics::counter!("toucansill_refused_total", "code" => err.code.clone()).increment(1);
        self.record(EventKind::RequestRefused, request, format!("{}: {}", err.code, err.message));
    }

    /// Checks key, call and lease, in this order.
    fn accept(&self, req: &CallerRequest) -> Result<(Accepted, Call), ApiError> {
        let keys = Arc::clone(&lock(&self.keys));
        self.cx.session.may_take_work().map_err(no_lease)?;
        let organisation = keys.authorize(&req.headers)?.clone();
        let call = Call::parse(req)?;
        let deadline = req.received + req.headers.deadline.unwrap_or(DEFAULT_DEADLINE);
        Ok((Accepted { request: self.request_id(), organisation, deadline }, call))
    }

    /// Ids are unique over all daemons and their runs.
    fn request_id(&self) -> RequestId {
        let holder = self.cx.session.holder();
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", holder.daemon, holder.incarnation)
    }
}

impl JobRequest {
    /// Fingerprint of a request: the same for the same body of the same organisation.
    pub(crate) fn fingerprint_of(organisation: &str, body: &[u8]) -> RequestHash {
        let mut hasher = Sha256::new();
        hasher.update(organisation.len().to_le_bytes());
        hasher.update(organisation);
        hasher.update(body);
        hasher.finalize().into()
    }
}

fn keys(configuration: &Configuration) -> ApiKeys {
    let hashes = configuration.organisations.iter().flat_map(|(id, organisation)| {
        organisation.key_hashes.iter().map(|hash| (*hash, id.clone()))
    });
    ApiKeys::new(hashes)
}

fn no_lease(refusal: SessionRefusal) -> ApiError {
    unavailable("no_lease", &refusal.to_string()).with_retry_after(LEASE_RETRY_AFTER)
}

fn unavailable(code: &str, reason: &str) -> ApiError {
    ApiError::new(503, code, reason, Verdict::NotRun)
}

/// Whether the method is the one that announcements take.
pub(crate) fn is_post(method: &Method) -> bool {
    *method == Method::POST
}
