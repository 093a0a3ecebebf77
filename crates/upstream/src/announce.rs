//! Announcements of upstreams, and the table of those that are alive.
//!
//! An upstream sends `POST /upstreams` when it starts, and periodically from then
//! on. One that sends none for the announcement lifetime is considered gone.

use crate::error::{Error, ErrorReason, Result};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};
use wire::{
    DataCentreId, Incarnation, ModelId, ServiceId, Tokens, UpstreamId, Verdict,
    border::upstream as border,
};

/// Maximum size of an announcement, in bytes.
pub const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;
/// Maximum length of a name in an announcement, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of models of one engine.
const MAX_MODELS: usize = 256;

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A service that is called with plain HTTP requests.
    Service,
}

/// Usable capacity after a start: it grows linearly from `initial_share` to the
/// full capacity. `route::Ramp` counts requests and tokens instead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramp {
    /// Share of the capacity at the start, above 0 and at most 1.
    pub initial_share: f64,
    /// Milliseconds from the start to the full capacity.
    pub duration_ms: u64,
}

/// Validated body of `POST /upstreams`; [`wire::border::upstream`] defines its JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Name of the upstream, unique in its region.
    pub id: UpstreamId,
    /// Whether it is an engine or a plain service.
    pub kind: UpstreamKind,
    /// IP address and port on which it listens.
    pub address: String,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Models that an engine serves; empty for a plain service.
    pub models: Vec<ModelId>,
    /// Name of the plain service; `None` for an engine.
    pub service: Option<ServiceId>,
    /// KV cache memory of an engine, in tokens.
    pub memory_tokens: Option<Tokens>,
    /// Prompt tokens that an engine prefills a second.
    pub prefill_tokens_per_s: Option<f64>,
    /// Tokens that an engine decodes a second for each request.
    pub decode_tokens_per_s: Option<f64>,
    /// Capacity after a start. Without it the full capacity is usable at once.
    pub ramp: Option<Ramp>,
    /// Number of the upstream's present start; each restart must raise it.
    pub incarnation: Incarnation,
    /// Whether it refuses orders with an outdated fencing token.
    pub checks_fences: bool,
}

impl Announcement {
    /// Parses and validates the JSON body of an announcement.
    ///
    /// # Errors
    ///
    /// [`ErrorReason::Invalid`] whose message names the invalid field.
    ///
    /// ```
    /// use upstream::Announcement;
    ///
    /// let body = br#"{"id": "jobs-1", "kind": "service", "address": "10.0.0.7:80",
    ///     "data_centre": "bandung-1", "service": "jobs", "incarnation": 4}"#;
    /// assert_eq!(Announcement::parse(body)?.incarnation, 4);
    ///
    /// let e = Announcement::parse(br#"{"id": "jobs-1", "kind": "lorry"}"#).unwrap_err();
    /// assert!(e.message().contains("lorry"));
    /// # Ok::<(), upstream::Error>(())
    /// ```
    pub fn parse(body: &[u8]) -> Result<Self> {
        if body.len() > MAX_ANNOUNCEMENT_BYTES {
            return Err(invalid(format!(
                "an announcement has at most {MAX_ANNOUNCEMENT_BYTES} bytes"
            )));
        }
        let parsed: border::Announcement =
            serde_json::from_slice(body).map_err(|e| invalid(format!("announcement: {e}")))?;
        let parsed = Self::from(parsed);
        parsed.validate()?;
        Ok(parsed)
    }

    /// Validates the values of all fields.
    ///
    /// # Errors
    ///
    /// [`ErrorReason::Invalid`] whose message names the invalid field.
    pub fn validate(&self) -> Result<()> {
        validate_name("id", &self.id)?;
        validate_name("data_centre", &self.data_centre)?;
        if self.address.parse::<SocketAddr>().is_err() {
            let address = &self.address;
            return Err(invalid(format!("address: {address:?} is no IP number with a port")));
        }
        if let Some(ramp) = &self.ramp
            && !(ramp.initial_share > 0.0 && ramp.initial_share <= 1.0)
        {
            return Err(invalid("ramp.start_permille: must be 1 to 1000"));
        }
        match self.kind {
            UpstreamKind::Engine => self.validate_engine(),
            UpstreamKind::Service => self.validate_service(),
        }
    }

    fn validate_engine(&self) -> Result<()> {
        if self.models.is_empty() || self.models.len() > MAX_MODELS {
            return Err(invalid(format!("models: an engine has 1 to {MAX_MODELS}")));
        }
        self.models.iter().try_for_each(|model| validate_name("models", model))?;
        if self.service.is_some() {
            return Err(invalid("service: an engine has none"));
        }
        if self.memory_tokens.unwrap_or_default() == 0 {
            return Err(invalid("memory_tokens: an engine states a number above 0"));
        }
        validate_rate("prefill_tokens_per_s", self.prefill_tokens_per_s)?;
        validate_rate("decode_tokens_per_s", self.decode_tokens_per_s)
    }

    fn validate_service(&self) -> Result<()> {
        match &self.service {
            None => return Err(invalid("service: a plain service states its name")),
            Some(service) => validate_name("service", service)?,
        }
        if !self.models.is_empty() {
            return Err(invalid("models: a plain service has none"));
        }
        Ok(())
    }
}

impl From<border::Announcement> for Announcement {
    fn from(raw: border::Announcement) -> Self {
        let rate = |tokens_per_s: u64| (tokens_per_s > 0).then_some(tokens_per_s as f64);
        Self {
            id: raw.id,
            kind: match raw.kind {
                border::UpstreamKind::Engine => UpstreamKind::Engine,
                border::UpstreamKind::Service => UpstreamKind::Service,
            },
            address: raw.address,
            data_centre: raw.data_centre,
            models: raw.models,
            service: raw.service,
            memory_tokens: (raw.memory_tokens > 0).then_some(raw.memory_tokens),
            prefill_tokens_per_s: rate(raw.prefill_tokens_per_s),
            decode_tokens_per_s: rate(raw.decode_tokens_per_s),
            ramp: raw.ramp.map(|ramp| Ramp {
                initial_share: f64::from(ramp.start_permille) / 1000.0,
                duration_ms: ramp.duration_ms,
            }),
            incarnation: raw.incarnation,
            checks_fences: raw.checks_fences,
        }
    }
}

fn invalid(message: impl Into<String>) -> Error {
    Error::new(ErrorReason::Invalid, Verdict::NotRun, message)
}

fn validate_name(field: &str, name: &str) -> Result<()> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_./:".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
        return Err(invalid(format!(
            "{field}: {name:?} is not 1 to {MAX_NAME_BYTES} letters, digits or any of -_./:"
        )));
    }
    Ok(())
}

fn validate_rate(field: &str, rate: Option<f64>) -> Result<()> {
    match rate {
        Some(rate) if rate.is_finite() && rate > 0.0 => Ok(()),
        _ => Err(invalid(format!("{field}: an engine states a number above 0"))),
    }
}

/// Change that an announcement made to [`AnnouncedUpstreams`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnnouncementOutcome {
    /// The upstream was unknown, or its announcement lifetime had expired. Its ramp starts.
    Joined,
    /// The upstream restarted: its ramp starts again, and its requests and KV caches are lost.
    Restarted {
        /// Incarnation before the restart.
        from: Incarnation,
    },
    /// Same incarnation, with changed values.
    Updated,
    /// Same incarnation, without changes.
    Kept,
}

/// Settings of [`AnnouncedUpstreams`].
#[derive(Clone, Copy, Debug)]
pub struct AnnouncedUpstreamsConfig {
    /// Announcement lifetime: the time without an announcement after which an upstream is
    /// considered gone.
    pub announcement_ttl: Duration,
    /// Maximum number of upstreams.
    pub capacity: usize,
}

impl Default for AnnouncedUpstreamsConfig {
    fn default() -> Self {
        Self { announcement_ttl: Duration::from_secs(4), capacity: 20_000 }
    }
}

/// An upstream that announced itself and has not been removed. Its announcement lifetime
/// may have expired since the last [`AnnouncedUpstreams::expire`].
#[derive(Clone, Debug)]
pub struct AnnouncedUpstream {
    /// Its last announcement.
    pub announcement: Announcement,
    /// When its present incarnation was first seen. Its ramp starts then.
    pub first_seen: Instant,
    /// When it last announced itself.
    pub last_announced: Instant,
}

/// The upstreams that are alive, by id. One stays in the table until
/// [`expire`](Self::expire) or [`remove`](Self::remove) removes it.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedUpstreams {
    cfg: AnnouncedUpstreamsConfig,
    entries: BTreeMap<UpstreamId, AnnouncedUpstream>,
}

impl AnnouncedUpstreams {
    /// Creates an empty table.
    pub fn new(cfg: AnnouncedUpstreamsConfig) -> Self {
        Self { cfg, entries: BTreeMap::new() }
    }

    /// Applies a validated announcement.
    ///
    /// # Errors
    ///
    /// [`ErrorReason::Stale`] when a newer incarnation is alive,
    /// [`ErrorReason::Invalid`] when an upstream at another address uses the same id,
    /// and [`ErrorReason::Full`] when the table has reached its capacity.
    pub fn announce(
        &mut self,
        announcement: Announcement,
        now: Instant,
    ) -> Result<AnnouncementOutcome> {
        let outcome = self.classify(&announcement, now)?;
        let first_seen = match self.entries.get(&announcement.id) {
            Some(entry)
                if matches!(outcome, AnnouncementOutcome::Updated | AnnouncementOutcome::Kept) =>
            {
                entry.first_seen
            }
            _ => now,
        };
        let id = announcement.id.clone();
        self.entries
            .insert(id, AnnouncedUpstream { announcement, first_seen, last_announced: now });
        Ok(outcome)
    }

    fn classify(&self, new: &Announcement, now: Instant) -> Result<AnnouncementOutcome> {
        let Some(entry) = self.entries.get(&new.id) else {
            if self.entries.len() >= self.cfg.capacity {
                let message = format!("the directory holds {} upstreams", self.cfg.capacity);
                return Err(Error::new(ErrorReason::Full, Verdict::NotRun, message));
            }
            return Ok(AnnouncementOutcome::Joined);
        };
        if now.saturating_duration_since(entry.last_announced) >= self.cfg.announcement_ttl {
            return Ok(AnnouncementOutcome::Joined);
        }
        let old = &entry.announcement;
        if new.incarnation < old.incarnation {
            let message = format!(
                "incarnation: {} is alive under {}, {} is older",
                new.id, old.incarnation, new.incarnation
            );
            return Err(Error::new(ErrorReason::Stale, Verdict::NotRun, message));
        }
        if new.incarnation > old.incarnation {
            return Ok(AnnouncementOutcome::Restarted { from: old.incarnation });
        }
        if new.address != old.address {
            let message = format!("id: {} is in use at {}", new.id, old.address);
            return Err(invalid(message));
        }
        Ok(if new == old { AnnouncementOutcome::Kept } else { AnnouncementOutcome::Updated })
    }

    /// Removes and returns the upstreams whose announcement lifetime has expired.
    pub fn expire(&mut self, now: Instant) -> Vec<AnnouncedUpstream> {
        let ttl = self.cfg.announcement_ttl;
        let expired = self
            .entries
            .extract_if(.., |_, entry| now.saturating_duration_since(entry.last_announced) >= ttl);
        expired.map(|(_, entry)| entry).collect()
    }

    /// Removes an upstream that has deregistered.
    pub fn remove(&mut self, id: &str) -> Option<AnnouncedUpstream> {
        self.entries.remove(id)
    }

    /// Returns the upstream with this id, unless it was removed.
    pub fn get(&self, id: &str) -> Option<&AnnouncedUpstream> {
        self.entries.get(id)
    }

    /// All upstreams, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &AnnouncedUpstream> {
        self.entries.values()
    }
}
