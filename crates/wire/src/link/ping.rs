//! Notices a link whose other end is silent.

use super::{config::LinkConfig, counters::LinkCounters};
use h2::{Ping, PingPong};
use std::sync::Arc;
use tokio::time::{sleep, timeout};

/// Returns when the other end leaves a ping unanswered, or the connection ends.
pub(crate) async fn watch(
    mut ping_pong: PingPong,
    cfg: Arc<LinkConfig>,
    counters: Arc<LinkCounters>,
) {
    loop {
        sleep(cfg.ping_interval).await;
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
