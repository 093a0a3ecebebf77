//! A simulated plain service, an upstream that is not a model engine. It counts how often it
//! executes each call.

use crate::{
    announce,
    http::{self, Refusal},
    relay::FaultProxy,
};
use serde::Serialize;
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};
use tiny_http::Request;
use wire::{
    DataCentreId, IdempotencyKey, Incarnation, ServiceId, UpstreamId,
    border::upstream::Announcement,
};

/// What a plain service does with a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Behaviour {
    /// Executes it and responds.
    #[default]
    Respond,
    /// Refuses it with the verdict "not run".
    Refuse,
    /// Executes it and responds with an error.
    FailAfterExecuting,
    /// Executes it and cuts all connections instead of responding.
    LoseResponse,
    /// Executes it and responds with the id of another request.
    RespondWithWrongId,
    /// Waits until the behaviour changes before it executes it.
    Hold,
}

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct PlainServiceConfig {
    /// Id in announcements.
    pub id: UpstreamId,
    /// Data centre in announcements.
    pub data_centre: DataCentreId,
    /// Name of the service.
    pub service: ServiceId,
    /// Incarnation in announcements.
    pub incarnation: Incarnation,
    /// Time that the execution of each call takes.
    pub delay: Duration,
}

impl Default for PlainServiceConfig {
    fn default() -> Self {
        Self {
            id: "plain-1".to_string(),
            data_centre: "dc-1".to_string(),
            service: "jobs".to_string(),
            incarnation: 1,
            delay: Duration::ZERO,
        }
    }
}

#[derive(Default)]
struct State {
    behaviour: Behaviour,
    /// How often the call with each key was executed.
    executions: BTreeMap<IdempotencyKey, u64>,
    /// Number of calls received.
    received: u64,
}

struct Shared {
    cfg: PlainServiceConfig,
    proxy: FaultProxy,
    state: Mutex<State>,
    state_changed: Condvar,
}

/// A simulated plain service. A call is identified by the header `Idempotency-Key`, or by its
/// path if it has none.
///
/// ```
/// use fake::{PlainService, PlainServiceConfig};
///
/// let plain = PlainService::start(PlainServiceConfig::default())?;
/// let url = format!("http://{}/callouts", plain.address());
/// let call = minreq::post(url).with_header("Idempotency-Key", "k-1");
/// assert_eq!(call.send().expect("a response").status_code, 200);
/// assert_eq!(plain.executions("k-1"), 1);
/// # Ok::<(), std::io::Error>(())
/// ```
pub struct PlainService {
    shared: Arc<Shared>,
    server: Arc<tiny_http::Server>,
}

/// Body of a response.
#[derive(Serialize)]
struct ResponseBody<'a> {
    service: &'a str,
    key: &'a str,
    executions: u64,
}

impl PlainService {
    /// Starts a plain service on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn start(cfg: PlainServiceConfig) -> io::Result<Self> {
        let (server, inner) = http::bind()?;
        let proxy = FaultProxy::start(inner)?;
        let state = Mutex::default();
        let shared = Arc::new(Shared { cfg, proxy, state, state_changed: Condvar::new() });
        let server = Arc::new(server);
        spawn_server(Arc::clone(&server), Arc::clone(&shared));
        Ok(Self { shared, server })
    }

    /// The address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.shared.proxy.address()
    }

    /// Proxy in front of this service, for faults of its connections.
    pub fn fault_proxy(&self) -> &FaultProxy {
        &self.shared.proxy
    }

    /// Sets what it does with calls from now on, including those that it holds.
    pub fn behave(&self, behaviour: Behaviour) {
        self.shared.lock().behaviour = behaviour;
        self.shared.state_changed.notify_all();
    }

    /// Executes the held calls, and responds to all calls from now on.
    pub fn release(&self) {
        self.behave(Behaviour::Respond);
    }

    /// How often the call with this key was executed.
    pub fn executions(&self, key: &str) -> u64 {
        self.shared.lock().executions.get(key).copied().unwrap_or_default()
    }

    /// Number of calls received so far, executed or not.
    pub fn received(&self) -> u64 {
        self.shared.lock().received
    }

    /// Waits until `n` calls have been received.
    pub fn wait_received(&self, n: u64) {
        let mut state = self.shared.lock();
        while state.received < n {
            state = self.shared.wait(state);
        }
    }

    /// Its announcement, for an [`Announcer`](crate::Announcer).
    pub fn announcement(&self) -> Announcement {
        announce::service_announcement(&self.shared.cfg, self.address())
    }
}

impl Drop for PlainService {
    fn drop(&mut self) {
        self.shared.proxy.close();
        self.release();
        self.server.unblock();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait<'a>(&self, state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
        self.state_changed.wait(state).unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call, waits while calls are held, and returns what to do with it.
    fn receive(&self) -> Behaviour {
        let mut state = self.lock();
        state.received += 1;
        self.state_changed.notify_all();
        while state.behaviour == Behaviour::Hold {
            state = self.wait(state);
        }
        state.behaviour
    }

    /// Executes the call with this key, and returns how often that has happened.
    fn execute(&self, key: &str) -> u64 {
        thread::sleep(self.cfg.delay);
        let mut state = self.lock();
        let executions = state.executions.entry(key.to_string()).or_default();
        *executions += 1;
        *executions
    }
}

/// Serves each call on a thread of its own.
fn spawn_server(server: Arc<tiny_http::Server>, shared: Arc<Shared>) {
    thread::spawn(move || {
        for req in server.incoming_requests() {
            let shared = Arc::clone(&shared);
            thread::spawn(move || handle(&shared, req));
        }
    });
}

/// Serves one call.
fn handle(shared: &Shared, mut req: Request) {
    if let Err(e) = http::read_body(&mut req) {
        return Refusal::new("bad_body", e.to_string()).respond(req, 400);
    }
    let key = http::header(&req, "Idempotency-Key").unwrap_or(req.url()).to_string();
    let behaviour = shared.receive();
    if behaviour == Behaviour::Refuse {
        return Refusal::new("busy", "the service accepts no calls").respond(req, 503);
    }
    let executions = shared.execute(&key);
    let body = ResponseBody { service: &shared.cfg.service, key: &key, executions };
    match behaviour {
        Behaviour::LoseResponse => shared.proxy.cut(),
        Behaviour::FailAfterExecuting => respond(req, 500, &body, None),
        Behaviour::RespondWithWrongId => respond(req, 200, &body, Some("another-request")),
        _ => respond(req, 200, &body, None),
    }
}

/// Responds with this id in the header, or with the id of the request.
fn respond(req: Request, status: u16, body: &ResponseBody<'_>, id: Option<&str>) {
    let request_id = http::header(&req, http::REQUEST_ID_HEADER).map(str::to_string);
    let id = id.map(str::to_string).or(request_id);
    http::respond_with_id(req, status, body, id.as_deref());
}
