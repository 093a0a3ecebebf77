//! What an upstream says about itself to a daemon.

use crate::{config::Ramp, plain::PlainConfig, state::Core};
use serde::Serialize;
use std::{net::SocketAddr, thread, time::Duration};
use wire::{DataCentreId, Incarnation, ModelId, ServiceId, Tokens, UpstreamId};

/// Time between two announcements.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Time after which an announcement counts as failed, in seconds.
const TIMEOUT_S: u64 = 5;

/// Body of `POST /upstreams` on a daemon.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Announcement {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// `engine` or `service`.
    pub kind: &'static str,
    /// Where it listens, as `host:port`.
    pub address: String,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// Models of an engine.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<ModelId>>,
    /// Name of a plain service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// KV memory of an engine.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory_tokens: Option<Tokens>,
    /// Prompt tokens that an engine reads a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prefill_tokens_per_s: Option<f64>,
    /// Tokens that an engine generates a second for each request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub decode_tokens_per_s: Option<f64>,
    /// Capacity after a start.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ramp: Option<AnnouncedRamp>,
    /// Number of the present start.
    pub incarnation: Incarnation,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fences: bool,
}

/// A [`Ramp`] as announced.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct AnnouncedRamp {
    /// Share of the capacity right after a start.
    pub initial_share: f64,
    /// Milliseconds from a start to the whole capacity.
    pub duration_ms: u64,
}

impl From<Ramp> for AnnouncedRamp {
    fn from(ramp: Ramp) -> Self {
        let duration_ms = u64::try_from(ramp.duration.as_millis()).unwrap_or(u64::MAX);
        Self { initial_share: ramp.initial_share, duration_ms }
    }
}

impl Announcement {
    pub(crate) fn of_engine(core: &Core, address: SocketAddr) -> Self {
        let cfg = &core.cfg;
        Self {
            id: cfg.id.clone(),
            kind: "engine",
            address: address.to_string(),
            data_centre: cfg.data_centre.clone(),
            models: Some(cfg.models.clone()),
            service: None,
            memory_tokens: Some(cfg.memory_tokens),
            prefill_tokens_per_s: Some(cfg.prefill_tokens_per_s),
            decode_tokens_per_s: Some(cfg.decode_tokens_per_s),
            ramp: cfg.ramp.map(AnnouncedRamp::from),
            incarnation: core.incarnation,
            checks_fences: cfg.checks_fences,
        }
    }

    pub(crate) fn of_service(cfg: &PlainConfig, address: SocketAddr) -> Self {
        Self {
            id: cfg.id.clone(),
            kind: "service",
            address: address.to_string(),
            data_centre: cfg.data_centre.clone(),
            models: None,
            service: Some(cfg.service.clone()),
            memory_tokens: None,
            prefill_tokens_per_s: None,
            decode_tokens_per_s: None,
            ramp: None,
            incarnation: cfg.incarnation,
            checks_fences: false,
        }
    }
}

/// Announces an upstream to a daemon each second, until dropped.
pub struct Announcer {
    stop: Option<flume::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Announcer {
    /// Announces what `announcement` gives at that moment, or nothing for
    /// `None`, to the daemon at `daemon` (`host:port`).
    ///
    /// ```no_run
    /// use fake::{Announcer, Engine, EngineConfig};
    /// use std::sync::Arc;
    ///
    /// let engine = Arc::new(Engine::start(EngineConfig::default())?);
    /// let source = Arc::clone(&engine);
    /// let announcer = Announcer::start("127.0.0.1:8080", move || Some(source.announcement()));
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn start(
        daemon: impl Into<String>,
        announcement: impl Fn() -> Option<Announcement> + Send + 'static,
    ) -> Self {
        let url = format!("http://{}/upstreams", daemon.into());
        let (stop, stopped) = flume::bounded(1);
        let thread = thread::spawn(move || {
            loop {
                if let Some(announcement) = announcement() {
                    announce(&url, &announcement);
                }
                match stopped.recv_timeout(KEEP_ALIVE) {
                    Err(flume::RecvTimeoutError::Timeout) => {}
                    _ => return,
                }
            }
        });
        Self { stop: Some(stop), thread: Some(thread) }
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn announce(url: &str, announcement: &Announcement) {
    let body = serde_json::to_string(announcement).unwrap_or_default();
    let reply = minreq::post(url)
        .with_header("Content-Type", "application/json")
        .with_body(body)
        .with_timeout(TIMEOUT_S)
        .send();
    match reply {
        Ok(reply) if reply.status_code < 300 => {}
        Ok(reply) => log::warn!("{url} refused the announcement: {}", reply.status_code),
        Err(e) => log::warn!("{url} can't be reached: {e}"),
    }
}
