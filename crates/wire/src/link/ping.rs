//! Notices a link whose other end is silent.

use super::{config::LinkConfig, counters::LinkCounters};
use h2::{Ping, PingPong};
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};
use tokio::time::{Instant, sleep, timeout};

/// Open streams of one link.
#[derive(Clone, Debug, Default)]
pub(crate) struct Activity(Arc<AtomicUsize>);

/// Counts a stream as open while it lives.
#[derive(Debug)]
pub(crate) struct ActiveStream(Activity);

impl Activity {
    /// Counts one more stream.
    pub(crate) fn stream(&self) -> ActiveStream {
        self.0.fetch_add(1, Ordering::AcqRel);
        ActiveStream(self.clone())
    }

    fn is_idle(&self) -> bool {
        self.0.load(Ordering::Acquire) == 0
    }
}

impl Drop for ActiveStream {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns when the other end leaves a ping unanswered, or the connection ends.
///
/// A link without open streams is pinged rarely: a daemon has links to all
/// others of its region, and most of them wait for nothing.
pub(crate) async fn watch(
    mut ping_pong: PingPong,
    activity: Activity,
    cfg: Arc<LinkConfig>,
    counters: Arc<LinkCounters>,
) {
    let mut last = Instant::now();
    loop {
        sleep(cfg.ping_interval).await;
        if activity.is_idle() && last.elapsed() < cfg.idle_ping_interval {
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
