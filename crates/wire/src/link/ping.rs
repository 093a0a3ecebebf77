//! Detects with pings that the peer of a link no longer responds.

use super::{config::LinkConfig, counters::LinkCounters};
use h2::{Ping, PingPong};
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};
use tokio::time::{Instant, sleep, timeout};

/// Number of open streams on one link.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenStreamCount(Arc<AtomicUsize>);

/// Counts a stream as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenStreamGuard(OpenStreamCount);

impl OpenStreamCount {
    /// Counts a stream as open until the returned guard is dropped.
    pub(crate) fn register(&self) -> OpenStreamGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        OpenStreamGuard(self.clone())
    }

    fn is_idle(&self) -> bool {
        self.0.load(Ordering::Acquire) == 0
    }
}

impl Drop for OpenStreamGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Sends pings, and returns when the peer does not acknowledge one in time or the connection ends.
///
/// A link without open streams is pinged at a longer interval: a daemon has links to all other
/// daemons of its region, and no request depends on most of them at a given time.
pub(crate) async fn watch_peer(
    mut ping_pong: PingPong,
    open_streams: OpenStreamCount,
    cfg: Arc<LinkConfig>,
    counters: Arc<LinkCounters>,
) {
    let mut last = Instant::now();
    loop {
        sleep(cfg.ping_interval).await;
        if open_streams.is_idle() && last.elapsed() < cfg.idle_ping_interval {
            continue;
        }
        last = Instant::now();
        counters.count_ping();
        match timeout(cfg.ping_timeout, ping_pong.ping(Ping::opaque())).await {
            Ok(Ok(_)) => (),
            Ok(Err(_)) => return,
            Err(_) => {
                counters.count_ping_timeout();
                return;
            }
        }
    }
}
