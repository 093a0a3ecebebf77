//! What an upstream says about itself to a daemon.

use crate::{config::Ramp, plain::PlainServiceConfig, state::Core};
use serde::Deserialize;
use std::{collections::VecDeque, net::SocketAddr, thread, time::Duration};
use wire::border::upstream::{self as border, Announcement, UpstreamKind};

/// Time between two announcements.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Time after which an announcement counts as failed, in seconds.
const TIMEOUT_S: u64 = 5;

/// What an engine says about itself.
pub(crate) fn of_engine(core: &Core, address: SocketAddr) -> Announcement {
    let cfg = &core.cfg;
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
        ramp: cfg.ramp.map(announced),
        incarnation: core.incarnation,
        checks_fences: cfg.checks_fences,
    }
}

/// What a plain service says about itself.
pub(crate) fn of_service(cfg: &PlainServiceConfig, address: SocketAddr) -> Announcement {
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

fn announced(ramp: Ramp) -> border::Ramp {
    border::Ramp {
        duration_ms: u64::try_from(ramp.duration.as_millis()).unwrap_or(u64::MAX),
        start_permille: (ramp.initial_share * 1000.0).floor() as u32,
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
        Self::start_with_failover(vec![daemon.into()], announcement)
    }

    /// As [`Announcer::start`], to whichever of several daemons answers.
    pub fn start_with_failover(
        daemons: Vec<String>,
        announcement: impl Fn() -> Option<Announcement> + Send + 'static,
    ) -> Self {
        let (stop, stopped) = flume::bounded(1);
        let thread = thread::spawn(move || {
            let mut daemons = VecDeque::from(daemons);
            loop {
                let again = announcement()
                    .and_then(|announcement| announce_to_any(&mut daemons, &announcement));
                match stopped.recv_timeout(again.unwrap_or(KEEP_ALIVE)) {
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

/// Announces to the first daemon that takes it, and gives the time until the next
/// announcement; daemons that don't take it go to the end.
fn announce_to_any(
    daemons: &mut VecDeque<String>,
    announcement: &Announcement,
) -> Option<Duration> {
    for _ in 0..daemons.len() {
        let taken = announce(daemons.front()?, announcement);
        if taken.is_some() {
            return taken;
        }
        daemons.rotate_left(1);
    }
    None
}

/// Answer to an announcement that was taken.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Taken {
    /// Time until the next announcement, in milliseconds.
    announce_again_ms: Option<u64>,
}

fn announce(daemon: &str, announcement: &Announcement) -> Option<Duration> {
    let body = serde_json::to_string(announcement).unwrap_or_default();
    let reply = minreq::post(format!("http://{daemon}/upstreams"))
        .with_header("Content-Type", "application/json")
        .with_body(body)
        .with_timeout(TIMEOUT_S)
        .send();
    match reply {
        Ok(reply) if reply.status_code < 300 => {
            let taken: Taken = serde_json::from_slice(reply.as_bytes()).unwrap_or_default();
            return Some(taken.announce_again_ms.map_or(KEEP_ALIVE, Duration::from_millis));
        }
        Ok(reply) => log::warn!("{daemon} refused the announcement: {}", reply.status_code),
        Err(e) => log::warn!("{daemon} can't be reached: {e}"),
    }
    None
}
