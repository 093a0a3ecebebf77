//! What the operators have set: the whole of one accepted sheet.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wire::{DataCentreId, ModelId, OrganisationId, RegionId, ServiceId, Tokens, UpstreamId};

/// SHA-256 over the canonical form of a sheet.
pub type SheetHash = [u8; 32];

/// SHA-256 of an API key; the key itself is never stored.
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
    /// Data centres, in or out of service.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// Plain services and their routes.
    pub services: BTreeMap<ServiceId, Service>,
    /// Models that are offered.
    pub models: BTreeMap<ModelId, Model>,
    /// Upstreams to bring up or to retire. One that is not named here is used
    /// as it announces itself.
    pub upstreams: BTreeMap<UpstreamId, DesiredState>,
}

impl Configuration {
    /// An empty configuration of a region.
    pub fn new(region: impl Into<RegionId>) -> Self {
        Self { region: region.into(), ..Self::default() }
    }

    /// Whether a data centre takes new work; one that no sheet names does not.
    pub fn is_in_service(&self, data_centre: &str) -> bool {
        self.data_centres.get(data_centre).is_some_and(|dc| dc.in_service)
    }

    /// Whether an upstream is to get no new work.
    pub fn is_retired(&self, upstream: &str) -> bool {
        self.upstreams.get(upstream) == Some(&DesiredState::Retired)
    }

    /// The organisation that an API key belongs to, by the hash of the key.
    ///
    /// This walks all organisations; a daemon that looks up one key per request
    /// builds an index when its view changes.
    pub fn organisation_of(&self, key_hash: &KeyHash) -> Option<(&str, &Organisation)> {
        self.organisations
            .iter()
            .find(|(_, organisation)| organisation.key_hashes.contains(key_hash))
            .map(|(id, organisation)| (id.as_str(), organisation))
    }
}

/// One organisation: its share, its quota and its keys.
#[derive(Clone, Debug, Decode, Deserialize, Encode, Eq, PartialEq, Serialize)]
pub struct Organisation {
    /// Priority of a request that names none.
    pub priority: OrganisationPriority,
    /// Share of the region's capacity, relative to the other organisations.
    pub weight: u32,
    /// Quota in tokens a second, prompt and generated together.
    pub tokens_per_second: Tokens,
    /// Hashes of the API keys in use, several while keys are being replaced.
    pub key_hashes: Vec<KeyHash>,
}

/// How early a request is served; a lesser value is served first.
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
    /// Before all others.
    Urgent,
    /// The usual priority.
    #[default]
    Ordinary,
    /// When nothing else waits; shed first under overload.
    Low,
}

impl OrganisationPriority {
    /// The word used in sheets and headers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Ordinary => "ordinary",
            Self::Low => "low",
        }
    }
}

/// State of one data centre.
#[derive(Clone, Copy, Debug, Decode, Deserialize, Encode, Eq, PartialEq, Serialize)]
pub struct DataCentre {
    /// Whether it takes new work.
    pub in_service: bool,
}

/// A plain service that requests are passed through to.
///
/// ```
/// use control::{RetryPolicy, Service, ServiceRoute};
///
/// let route = |method: Option<&str>, prefix: &str, repeat| ServiceRoute {
///     method: method.map(str::to_string),
///     prefix: prefix.to_string(),
///     urgent: false,
///     repeat,
/// };
/// let yard = Service {
///     routes: vec![
///         route(None, "/", RetryPolicy::Idempotent),
///         route(Some("POST"), "/bookings", RetryPolicy::AtMostOnce),
///     ],
/// };
/// let repeat = |method, path| yard.route(method, path).unwrap().repeat;
/// assert_eq!(repeat("POST", "/bookings/7"), RetryPolicy::AtMostOnce);
/// assert_eq!(repeat("GET", "/bookings/7"), RetryPolicy::Idempotent);
/// assert_eq!(repeat("POST", "/bookingsheet"), RetryPolicy::Idempotent);
/// ```
#[derive(Clone, Debug, Decode, Default, Deserialize, Encode, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Routes of the service, in the order of the sheet.
    pub routes: Vec<ServiceRoute>,
}

impl Service {
    /// The route for a call: the longest matching prefix, and among equal ones
    /// the one that names the method.
    pub fn route(&self, method: &str, path: &str) -> Option<&ServiceRoute> {
        self.routes
            .iter()
            .filter(|route| route.matches(method, path))
            .max_by_key(|route| (route.prefix.len(), route.method.is_some()))
    }
}

/// How calls under one path prefix are treated.
#[derive(Clone, Debug, Decode, Deserialize, Encode, Eq, PartialEq, Serialize)]
pub struct ServiceRoute {
    /// HTTP method in upper case, or `None` for any.
    pub method: Option<String>,
    /// Prefix of the path after the service's name; it matches whole segments.
    pub prefix: String,
    /// Whether calls are urgent whatever their organisation's priority.
    pub urgent: bool,
    /// Whether a call may be sent more than once.
    pub repeat: RetryPolicy,
}

impl ServiceRoute {
    fn matches(&self, method: &str, path: &str) -> bool {
        let prefix = self.prefix.trim_end_matches('/');
        let fits = self.method.as_deref().is_none_or(|own| own.eq_ignore_ascii_case(method));
        fits && path
            .strip_prefix(prefix)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

/// Whether a call may be sent more than once.
#[derive(Clone, Copy, Debug, Decode, Deserialize, Encode, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryPolicy {
    /// Sending it again does no harm.
    Idempotent,
    /// It needs an idempotency key, which is claimed before the first byte is sent.
    AtMostOnce,
}

/// A model that is offered.
#[derive(Clone, Copy, Debug, Decode, Deserialize, Encode, Eq, PartialEq, Serialize)]
pub struct Model {
    /// Longest prompt that is accepted, in tokens.
    pub max_prompt: Tokens,
}

/// What operators want of an upstream.
#[derive(Clone, Copy, Debug, Decode, Deserialize, Encode, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DesiredState {
    /// It gets work once it has announced itself.
    Up,
    /// It gets no new work.
    Retired,
}
