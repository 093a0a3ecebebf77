//! Announcements: how upstreams make themselves known, and who is alive.

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

/// Largest announcement, in bytes.
pub const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;
/// Longest name in an announcement, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Most models of one engine.
const MAX_MODELS: usize = 256;

/// What kind of upstream announces itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Capacity after a start: a straight line from `initial_share` to the whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ramp {
    /// Share of the capacity right after a start, above 0 and at most 1.
    pub initial_share: f64,
    /// Milliseconds from a start to the whole capacity.
    pub duration_ms: u64,
}

/// Body of `POST /upstreams`, as [`wire::border::upstream`] defines it, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Name of the upstream, unique in its region.
    pub id: UpstreamId,
    /// What it is.
    pub kind: UpstreamKind,
    /// Where it listens: IP number and port.
    pub address: String,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Models of an engine.
    pub models: Vec<ModelId>,
    /// Name of a plain service.
    pub service: Option<ServiceId>,
    /// KV memory of an engine.
    pub memory_tokens: Option<Tokens>,
    /// Prompt tokens that an engine reads a second.
    pub prefill_tokens_per_s: Option<f64>,
    /// Tokens that an engine generates a second for each request.
    pub decode_tokens_per_s: Option<f64>,
    /// Capacity after a start. Without it the whole capacity is there at once.
    pub ramp: Option<Ramp>,
    /// Number of the present start; a restart must raise it.
    pub incarnation: Incarnation,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fences: bool,
}

impl Announcement {
    /// Reads and checks an announcement.
    ///
    /// # Errors
    ///
    /// [`ErrorReason::Invalid`] with a text that names the field at fault.
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

    /// Checks the values of all fields.
    ///
    /// # Errors
    ///
    /// [`ErrorReason::Invalid`] with a text that names the field at fault.
    pub fn validate(&self) -> Result<()> {
        check_name("id", &self.id)?;
        check_name("data_centre", &self.data_centre)?;
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
            UpstreamKind::Engine => self.check_engine(),
            UpstreamKind::Service => self.check_service(),
        }
    }

    fn check_engine(&self) -> Result<()> {
        if self.models.is_empty() || self.models.len() > MAX_MODELS {
            return Err(invalid(format!("models: an engine has 1 to {MAX_MODELS}")));
        }
        self.models.iter().try_for_each(|model| check_name("models", model))?;
        if self.service.is_some() {
            return Err(invalid("service: an engine has none"));
        }
        if self.memory_tokens.unwrap_or_default() == 0 {
            return Err(invalid("memory_tokens: an engine states a number above 0"));
        }
        check_rate("prefill_tokens_per_s", self.prefill_tokens_per_s)?;
        check_rate("decode_tokens_per_s", self.decode_tokens_per_s)
    }

    fn check_service(&self) -> Result<()> {
        match &self.service {
            None => return Err(invalid("service: a plain service states its name")),
            Some(service) => check_name("service", service)?,
        }
        if !self.models.is_empty() {
            return Err(invalid("models: a plain service has none"));
        }
        Ok(())
    }
}

impl From<border::Announcement> for Announcement {
    fn from(sent: border::Announcement) -> Self {
        let rate = |tokens_per_s: u64| (tokens_per_s > 0).then_some(tokens_per_s as f64);
        Self {
            id: sent.id,
            kind: match sent.kind {
                border::UpstreamKind::Engine => UpstreamKind::Engine,
                border::UpstreamKind::Service => UpstreamKind::Service,
            },
            address: sent.address,
            data_centre: sent.data_centre,
            models: sent.models,
            service: sent.service,
            memory_tokens: (sent.memory_tokens > 0).then_some(sent.memory_tokens),
            prefill_tokens_per_s: rate(sent.prefill_tokens_per_s),
            decode_tokens_per_s: rate(sent.decode_tokens_per_s),
            ramp: sent.ramp.map(|ramp| Ramp {
                initial_share: f64::from(ramp.start_permille) / 1000.0,
                duration_ms: ramp.duration_ms,
            }),
            incarnation: sent.incarnation,
            checks_fences: sent.checks_fences,
        }
    }
}

fn invalid(message: impl Into<String>) -> Error {
    Error::new(ErrorReason::Invalid, Verdict::NotRun, message)
}

fn check_name(field: &str, name: &str) -> Result<()> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_./:".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_plain) {
        return Err(invalid(format!(
            "{field}: {name:?} is not 1 to {MAX_NAME_BYTES} letters, digits or any of -_./:"
        )));
    }
    Ok(())
}

fn check_rate(field: &str, rate: Option<f64>) -> Result<()> {
    match rate {
        Some(rate) if rate.is_finite() && rate > 0.0 => Ok(()),
        _ => Err(invalid(format!("{field}: an engine states a number above 0"))),
    }
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnnouncementOutcome {
    /// Not known before, or silent for longer than the lease: in cold start.
    Joined,
    /// Started anew: in cold start, and nothing that it held is left.
    Restarted {
        /// Incarnation before.
        from: Incarnation,
    },
    /// Alive, with other values than before.
    Updated,
    /// Alive, with nothing new.
    Kept,
}

/// Settings of the [`AnnouncedUpstreams`].
#[derive(Clone, Copy, Debug)]
pub struct AnnouncedUpstreamsConfig {
    /// Time without an announcement after which an upstream counts as gone.
    pub lease: Duration,
    /// Most upstreams.
    pub capacity: usize,
}

impl Default for AnnouncedUpstreamsConfig {
    fn default() -> Self {
        Self { lease: Duration::from_secs(4), capacity: 20_000 }
    }
}

/// An upstream that is alive.
#[derive(Clone, Debug)]
pub struct AnnouncedUpstream {
    /// What it said last.
    pub announcement: Announcement,
    /// When its present incarnation was first seen. Its ramp runs from here.
    pub first_seen: Instant,
    /// When it last announced itself.
    pub last_announced: Instant,
}

/// The upstreams that are alive, by their announcements.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedUpstreams {
    cfg: AnnouncedUpstreamsConfig,
    entries: BTreeMap<UpstreamId, AnnouncedUpstream>,
}

impl AnnouncedUpstreams {
    /// An empty directory.
    pub fn new(cfg: AnnouncedUpstreamsConfig) -> Self {
        Self { cfg, entries: BTreeMap::new() }
    }

    /// Takes in a checked announcement.
    ///
    /// # Errors
    ///
    /// [`ErrorReason::Stale`] for an older incarnation than the one that is alive,
    /// [`ErrorReason::Invalid`] when two upstreams use one id, and
    /// [`ErrorReason::Full`] at the capacity.
    pub fn announce(
        &mut self,
        announcement: Announcement,
        now: Instant,
    ) -> Result<AnnouncementOutcome> {
        let change = self.classify(&announcement, now)?;
        let first_seen = match self.entries.get(&announcement.id) {
            Some(entry)
                if matches!(change, AnnouncementOutcome::Updated | AnnouncementOutcome::Kept) =>
            {
                entry.first_seen
            }
            _ => now,
        };
        let id = announcement.id.clone();
        self.entries
            .insert(id, AnnouncedUpstream { announcement, first_seen, last_announced: now });
        Ok(change)
    }

    fn classify(&self, new: &Announcement, now: Instant) -> Result<AnnouncementOutcome> {
        let Some(entry) = self.entries.get(&new.id) else {
            if self.entries.len() >= self.cfg.capacity {
                let message = format!("the directory holds {} upstreams", self.cfg.capacity);
                return Err(Error::new(ErrorReason::Full, Verdict::NotRun, message));
            }
            return Ok(AnnouncementOutcome::Joined);
        };
        if now.saturating_duration_since(entry.last_announced) >= self.cfg.lease {
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

    /// Removes the upstreams whose lease has run out, and gives their last words.
    pub fn expire(&mut self, now: Instant) -> Vec<AnnouncedUpstream> {
        let lease = self.cfg.lease;
        let gone = self.entries.extract_if(.., |_, entry| {
            now.saturating_duration_since(entry.last_announced) >= lease
        });
        gone.map(|(_, entry)| entry).collect()
    }

    /// Removes an upstream that has taken its leave.
    pub fn remove(&mut self, id: &str) -> Option<AnnouncedUpstream> {
        self.entries.remove(id)
    }

    /// An upstream that is alive.
    pub fn get(&self, id: &str) -> Option<&AnnouncedUpstream> {
        self.entries.get(id)
    }

    /// All upstreams that are alive, by id.
    pub fn iter(&self) -> impl Iterator<Item = &AnnouncedUpstream> {
        self.entries.values()
    }
}
