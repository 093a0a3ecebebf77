//! The routing document that operators publish.

use crate::engine::EngineProfile;
use std::time::Duration;
use wire::{OrganisationId, ServiceId};

/// Version number of a routing document. A daemon applies a document only if its version is higher
/// than the one it has.
pub type DocumentVersion = u64;
/// Name of a route.
pub type RouteId = String;

/// All routes, services, limits and keys of a region, as of one version.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingDocument {
    /// Version number of the document.
    pub version: DocumentVersion,
    /// Routes, in the order of the document.
    pub routes: Vec<Route>,
    /// Services that routes may refer to.
    pub services: Vec<Service>,
    /// Limits on what a caller may send, and for how long.
    pub limits: HttpLimits,
    /// Organisations with their keys. If there are none, no route requires a key.
    pub organisations: Vec<Organisation>,
}

impl RoutingDocument {
    /// Creates a document without routes, services and organisations, with the default limits.
    pub fn new(version: DocumentVersion) -> Self {
        Self {
            version,
            routes: Vec::new(),
            services: Vec::new(),
            limits: HttpLimits::default(),
            organisations: Vec::new(),
        }
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Destination and limits of the requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, for logs and metrics.
    pub name: RouteId,
    /// Value of the `Host` header, without the port.
    pub host: String,
    /// Prefix of the path, which begins and ends with a slash.
    pub prefix: String,
    /// What may be sent again after a failure.
    pub retry_policy: RetryPolicy,
    /// Longest time that a caller waits, until the end of the response.
    pub timeout: Duration,
    /// Target for the time to the response, or to the first event of a stream.
    pub latency_target: Duration,
    /// Priority among routes; 0 is the most urgent.
    pub priority: u8,
    /// Services that serve the requests, in proportion to their weights.
    pub split: Vec<WeightedService>,
    /// Maximum number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether a caller has to present a key, if the document has organisations.
    pub needs_key: bool,
    /// Target for the longest pause between two events of a stream; `None` without a target.
    pub pause_target: Option<Duration>,
}

impl Route {
    /// Creates an idempotent route without services, with a timeout of one minute and a single
    /// attempt.
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

/// What may be sent again after a failure that leaves open whether the request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// The whole request may be sent again.
    Idempotent,
    /// Nothing may be sent again.
    Once,
    /// Nothing may be sent again; the response is a stream of events.
    StreamOnce,
    /// The rest of a stream may be requested, from the event after the last one received.
    StreamResumable,
}

impl RetryPolicy {
    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::StreamOnce | Self::StreamResumable)
    }

    /// Whether a request that may have run may be sent again.
    pub fn allows_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::StreamResumable)
    }
}

/// A service of a route's split, with its weight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceId,
    /// Share of the route's requests, relative to the weights of its other services.
    pub weight: u64,
}

/// A set of upstreams that give the same responses.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceId,
    /// Requests per second that one upstream can serve while it is cold; 0 for no limit.
    pub cold_requests_per_s: f64,
    /// Performance of its engines; `None` for a plain service, which has no engines.
    pub engine: Option<EngineProfile>,
}

impl Service {
    /// Creates a plain service without a limit for cold upstreams.
    pub fn new(name: &str) -> Self {
        Self { name: name.to_owned(), cold_requests_per_s: 0.0, engine: None }
    }
}

/// Limits on the size of a request and on the time that callers and connections may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HttpLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Longest time until a request's head is complete.
    pub head_timeout: Duration,
    /// Longest time that a connection may stay open without a request.
    pub idle_timeout: Duration,
}

impl Default for HttpLimits {
    /// Limits that apply until a document sets others.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// An organisation whose callers authenticate with one of its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Organisation {
    /// Name of the organisation, which is sent to upstreams.
    pub name: OrganisationId,
    /// Valid keys of the organisation.
    pub keys: Vec<String>,
    /// Priority that takes precedence over the route's, if set; 0 is the most urgent.
    pub priority: Option<u8>,
}
