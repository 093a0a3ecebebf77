//! What operators publish.

use crate::engine::EngineProfile;
use std::time::Duration;
use wire::{OrganisationId, ServiceId};

/// Number of a routing document. The highest one is in force.
pub type DocumentVersion = u64;
/// Name of a route.
pub type RouteId = String;

/// All routes, services and keys of a region, as of one version.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingDocument {
    /// Number of the document.
    pub version: DocumentVersion,
    /// Routes, in the order of the document.
    pub routes: Vec<Route>,
    /// Services that routes may name.
    pub services: Vec<Service>,
    /// Bounds on what a caller may send.
    pub limits: HttpLimits,
    /// Organisations with their keys. Without any, no route asks for a key.
    pub organisations: Vec<Organisation>,
}

impl RoutingDocument {
    /// An empty document.
    pub fn new(version: DocumentVersion) -> Self {
        Self {
            version,
            routes: Vec::new(),
            services: Vec::new(),
            limits: HttpLimits::default(),
            organisations: Vec::new(),
        }
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, for logs and metrics.
    pub name: RouteId,
    /// Value of the `Host` header, without a port.
    pub host: String,
    /// Beginning of the path. It begins and ends with a slash.
    pub prefix: String,
    /// What may be sent again.
    pub retry_policy: RetryPolicy,
    /// Longest time that a caller is kept waiting, to the end of the answer.
    pub timeout: Duration,
    /// Target for the time to the answer, or to the first event of a stream.
    pub latency_target: Duration,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests.
    pub split: Vec<WeightedService>,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a caller needs a key, where the document has organisations.
    pub needs_key: bool,
    /// Target for the longest pause between two events of a stream.
    pub pause_target: Option<Duration>,
}

impl Route {
    /// An idempotent route without a split, with a minute's timeout.
    pub fn new(name: &str, host: &str, prefix: &str) -> Self {
        const TIMEOUT: Duration = Duration::from_secs(60);
        Self {
            name: name.to_owned(),
            host: host.to_owned(),
            prefix: prefix.to_owned(),
            retry_policy: RetryPolicy::Idempotent,
            timeout: TIMEOUT,
            latency_target: TIMEOUT,
            priority: 0,
            split: Vec::new(),
            max_attempts: 1,
            needs_key: true,
            pause_target: None,
        }
    }
}

/// What may be sent again after a failure that does not prove "not run".
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// The whole request.
    Idempotent,
    /// Nothing.
    Once,
    /// Nothing; the answer is a stream of events.
    StreamOnce,
    /// The rest of a stream, after the last event that was received.
    StreamResumable,
}

impl RetryPolicy {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::StreamOnce | Self::StreamResumable)
    }

    /// Whether a request that may have run may be sent again.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::StreamResumable)
    }
}

/// A service's part of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its weight beside the others of the route.
    pub weight: u64,
}

/// A set of upstreams that answer alike.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceId,
    /// Requests per second that one upstream bears while it is cold; 0 without a limit.
    pub cold_requests_per_s: f64,
    /// What its engines do in which time; `None` for a plain service.
    pub engine: Option<EngineProfile>,
}

impl Service {
    /// A plain service.
    pub fn new(name: &str) -> Self {
        Self { name: name.to_owned(), cold_requests_per_s: 0.0, engine: None }
    }
}

/// Bounds on what a caller may send, and for how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpLimits {
    /// Bytes of a request's head.
    pub head_bytes: u64,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Time for a request's head to arrive.
    pub head_timeout: Duration,
    /// Time that a connection may stay open without a request.
    pub idle_timeout: Duration,
}

impl Default for HttpLimits {
    /// Bounds that hold until a document names others.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A firm whose callers present one of its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Organisation {
    /// Name of the organisation, which upstreams are told.
    pub name: OrganisationId,
    /// Keys that are valid.
    pub keys: Vec<String>,
    /// Rank that goes before the route's, if any.
    pub priority: Option<u8>,
}
