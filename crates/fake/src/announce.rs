//! Announcements, by which an upstream registers with a daemon.

use crate::{config::Ramp, plain::PlainServiceConfig, state::EngineState};
use serde::Deserialize;
use std::{collections::VecDeque, net::SocketAddr, thread, time::Duration};
use wire::border::upstream::{self as border, Announcement, UpstreamKind};

/// Time between two announcements, unless the daemon requests another one.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit of an announcement, in seconds.
const ANNOUNCE_TIMEOUT_S: u64 = 5;

/// Current announcement of an engine.
pub(crate) fn engine_announcement(state: &EngineState, address: SocketAddr) -> Announcement {
    let cfg = &state.cfg;
    Announcement {
        id: cfg.id.clone(),
        kind: UpstreamKind::Engine,
        address: address.to_string(),
        data_centre: cfg.data_centre.clone(),
        models: cfg.models.clone(),
        service: None,
        memory_tokens: cfg.memory_tokens,
        prefill_tokens_per_s: cfg.prefill_tokens_per_s.ceil() as u64,
        decode_tokens_per_s: cfg.decode_tokens_per_s.ceil() as u64,
        ramp: cfg.ramp.map(announced_ramp),
        incarnation: state.incarnation,
        checks_fences: cfg.checks_fences,
    }
}

/// Announcement of a plain service.
pub(crate) fn service_announcement(cfg: &PlainServiceConfig, address: SocketAddr) -> Announcement {
    Announcement {
        id: cfg.id.clone(),
        kind: UpstreamKind::Service,
        address: address.to_string(),
        data_centre: cfg.data_centre.clone(),
        models: Vec::new(),
        service: Some(cfg.service.clone()),
        memory_tokens: 0,
        prefill_tokens_per_s: 0,
        decode_tokens_per_s: 0,
        ramp: None,
        incarnation: cfg.incarnation,
        checks_fences: false,
    }
}

/// Ramp as it is announced, in milliseconds and thousandths.
fn announced_ramp(ramp: Ramp) -> border::Ramp {
    border::Ramp {
        duration_ms: u64::try_from(ramp.duration.as_millis()).unwrap_or(u64::MAX),
        start_permille: (ramp.initial_share * 1000.0).floor() as u32,
    }
}

/// Announces an upstream to a daemon periodically, until the announcer is dropped: each second,
/// or as often as the daemon requests.
pub struct Announcer {
    stop: Option<flume::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Announcer {
    /// Sends announcements to the daemon at `daemon` (`host:port`).
    ///
    /// `announcement` is called for each one; nothing is sent if it returns `None`.
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
        Self::start_with_failover(vec![daemon.into()], announcement)
    }

    /// Sends announcements to one of several daemons, and moves on to the next one if it doesn't
    /// accept them. Otherwise as [`Announcer::start`].
    pub fn start_with_failover(
        daemons: Vec<String>,
        announcement: impl Fn() -> Option<Announcement> + Send + 'static,
    ) -> Self {
        let (stop, stopped) = flume::bounded(1);
        let thread = thread::spawn(move || {
            let mut daemons = VecDeque::from(daemons);
            loop {
                let next = announcement()
                    .and_then(|announcement| announce_to_any(&mut daemons, &announcement));
                match stopped.recv_timeout(next.unwrap_or(ANNOUNCE_INTERVAL)) {
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

/// Announces to the first daemon that accepts it, and returns the time until the next
/// announcement. Daemons that don't accept it are moved to the end of the list.
fn announce_to_any(
    daemons: &mut VecDeque<String>,
    announcement: &Announcement,
) -> Option<Duration> {
    for _ in 0..daemons.len() {
        let interval = announce(daemons.front()?, announcement);
        if interval.is_some() {
            return interval;
        }
        daemons.rotate_left(1);
    }
    None
}

/// Reply to an accepted announcement.
#[derive(Default, Deserialize)]
#[serde(default)]
struct AnnouncementReply {
    /// Time until the next announcement, in milliseconds.
    announce_again_ms: Option<u64>,
}

/// Sends one announcement. Returns the time until the next one if it was accepted.
fn announce(daemon: &str, announcement: &Announcement) -> Option<Duration> {
    let body = serde_json::to_string(announcement).unwrap_or_default();
    let reply = minreq::post(format!("http://{daemon}/upstreams"))
        .with_header("Content-Type", "application/json")
        .with_body(body)
        .with_timeout(ANNOUNCE_TIMEOUT_S)
        .send();
    match reply {
        Ok(reply) if reply.status_code < 300 => {
            let body: AnnouncementReply =
                serde_json::from_slice(reply.as_bytes()).unwrap_or_default();
            return Some(body.announce_again_ms.map_or(ANNOUNCE_INTERVAL, Duration::from_millis));
        }
        Ok(reply) => log::warn!("{daemon} refused the announcement: {}", reply.status_code),
        Err(e) => log::warn!("can't reach {daemon}: {e}"),
    }
    None
}
