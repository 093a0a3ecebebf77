//! The configuration of a region, as operators set it with a sheet.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wire::{DataCentreId, ModelId, OrganisationId, RegionId, ServiceId, Tokens, UpstreamId};

/// SHA-256 over the canonical form of a sheet.
pub type SheetHash = [u8; 32];

/// SHA-256 of an API key. The key itself is never stored.
pub type KeyHash = [u8; 32];

/// The configuration of a region.
///
/// ```
/// use control::{Configuration, DataCentre};
///
/// let mut cfg = Configuration::new("cl-centro");
/// cfg.data_centres.insert("san-antonio".to_string(), DataCentre { in_service: false });
/// assert!(!cfg.is_in_service("san-antonio"));
/// assert!(!cfg.is_in_service("never-named"));
/// ```
#[derive(Clone, Debug, Decode, Default, Deserialize, Encode, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// Region that the sheet is for.
    pub region: RegionId,
    /// Organisations whose requests are accepted.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Data centres and whether they are in service.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// Plain services, which do not serve models, and their routes.
    pub services: BTreeMap<ServiceId, Service>,
    /// Models that are offered.
    pub models: BTreeMap<ModelId, Model>,
    /// Desired states of upstreams. An upstream without an entry is used as soon as
    /// it announces itself.
    pub upstreams: BTreeMap<UpstreamId, DesiredState>,
}

impl Configuration {
    /// Creates an empty configuration of a region.
    pub fn new(region: impl Into<RegionId>) -> Self {
        Self { region: region.into(), ..Self::default() }
    }

    /// Returns whether the sheet puts a data centre in service, which it doesn't for one
    /// that it doesn't name. Operators may also take the data centre out of service by
    /// command; see [`State::out_of_service`](crate::State::out_of_service).
    pub fn is_in_service(&self, data_centre: &str) -> bool {
        self.data_centres.get(data_centre).is_some_and(|dc| dc.in_service)
    }

    /// Returns whether an upstream is retired, that is, gets no new work.
    pub fn is_retired(&self, upstream: &str) -> bool {
        self.upstreams.get(upstream) == Some(&DesiredState::Retired)
    }

    /// Returns the organisation to which an API key belongs, by the hash of the key.
    ///
    /// This searches all organisations. A daemon, which looks up a key for every
    /// request, builds an index whenever its view changes.
    pub fn organisation_of(&self, key_hash: &KeyHash) -> Option<(&str, &Organisation)> {
        self.organisations
            .iter()
            .find(|(_, organisation)| organisation.key_hashes.contains(key_hash))
            .map(|(id, organisation)| (id.as_str(), organisation))
    }
}

/// Priority, share, quota and API keys of an organisation.
#[derive(Clone, Debug, Decode, Deserialize, Encode, Eq, PartialEq, Serialize)]
pub struct Organisation {
    /// Priority of requests that set none.
    pub priority: OrganisationPriority,
    /// Share of the region's capacity, relative to the other organisations.
    pub weight: u32,
    /// Quota in tokens per second, counting prompt tokens and generated tokens.
    pub tokens_per_second: Tokens,
    /// Hashes of the valid API keys. There are several while keys are being replaced.
    pub key_hashes: Vec<KeyHash>,
}

/// Priority of a request. Lower values are served first.
#[derive(
    Clone,
    Copy,
    Debug,
    Decode,
    Default,
    Deserialize,
    Encode,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum OrganisationPriority {
    /// Served before all others.
    Urgent,
    /// The usual priority.
    #[default]
    Ordinary,
    /// Served when nothing else waits, and shed first under overload.
    Low,
}

impl OrganisationPriority {
    /// Returns the name used in sheets and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Ordinary => "ordinary",
            Self::Low => "low",
        }
    }
}

/// Configured state of a data centre.
#[derive(Clone, Copy, Debug, Decode, Deserialize, Encode, Eq, PartialEq, Serialize)]
pub struct DataCentre {
    /// Whether the sheet puts the data centre in service. Operators may also take it out
    /// of service by command; see
    /// [`State::out_of_service`](crate::State::out_of_service).
    pub in_service: bool,
}

/// A plain service, to which requests are passed through.
///
/// ```
/// use control::{RetryPolicy, Service, ServiceRoute};
///
/// let route = |method: Option<&str>, prefix: &str, retry_policy| ServiceRoute {
///     method: method.map(str::to_string),
///     prefix: prefix.to_string(),
///     urgent: false,
///     repeat: retry_policy,
/// };
/// let yard = Service {
///     routes: vec![
///         route(None, "/", RetryPolicy::Idempotent),
///         route(Some("POST"), "/bookings", RetryPolicy::AtMostOnce),
///     ],
/// };
/// let retry_policy = |method, path| yard.route(method, path).unwrap().repeat;
/// assert_eq!(retry_policy("POST", "/bookings/7"), RetryPolicy::AtMostOnce);
/// assert_eq!(retry_policy("GET", "/bookings/7"), RetryPolicy::Idempotent);
/// assert_eq!(retry_policy("POST", "/bookingsheet"), RetryPolicy::Idempotent);
/// ```
#[derive(Clone, Debug, Decode, Default, Deserialize, Encode, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Routes of the service, in the order of the sheet.
    pub routes: Vec<ServiceRoute>,
}

impl Service {
    /// Returns the route for a call: the one with the longest matching prefix, and
    /// among routes with the same prefix the one that names the method.
    pub fn route(&self, method: &str, path: &str) -> Option<&ServiceRoute> {
        self.routes
            .iter()
            .filter(|route| route.matches(method, path))
            .max_by_key(|route| (route.prefix.len(), route.method.is_some()))
    }
}

/// Rules for calls under one path prefix.
#[derive(Clone, Debug, Decode, Deserialize, Encode, Eq, PartialEq, Serialize)]
pub struct ServiceRoute {
    /// HTTP method in upper case, or `None` for any.
    pub method: Option<String>,
    /// Prefix of the path after the service's name. It matches whole segments.
    pub prefix: String,
    /// Whether calls are urgent regardless of their organisation's priority.
    pub urgent: bool,
    /// Whether a call may be sent more than once.
    pub repeat: RetryPolicy,
}

impl ServiceRoute {
    fn matches(&self, method: &str, path: &str) -> bool {
        let prefix = self.prefix.trim_end_matches('/');
        let method_matches =
            self.method.as_deref().is_none_or(|own| own.eq_ignore_ascii_case(method));
        method_matches
            && path
                .strip_prefix(prefix)
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

/// Whether a call may be sent more than once.
#[derive(Clone, Copy, Debug, Decode, Deserialize, Encode, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryPolicy {
    /// The call may be sent again without harm.
    Idempotent,
    /// The call needs an idempotency key, which is claimed before the first byte is
    /// sent.
    AtMostOnce,
}

/// Limits of a model that is offered.
#[derive(Clone, Copy, Debug, Decode, Deserialize, Encode, Eq, PartialEq, Serialize)]
pub struct Model {
    /// Longest prompt that is accepted, in tokens.
    pub max_prompt: Tokens,
}

/// State in which operators want an upstream to be.
#[derive(Clone, Copy, Debug, Decode, Deserialize, Encode, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DesiredState {
    /// The upstream gets work once it has announced itself.
    Up,
    /// The upstream gets no new work.
    Retired,
}
