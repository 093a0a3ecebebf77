//! Reservations of memory on helpers: other engines that prefill parts of a prompt too long for
//! one engine.
//!
//! Each reservation is short and renewed while the request runs, so that the memory is free again
//! soon even if this daemon dies or an engine executes an order late. The engine that runs the
//! request may also be gone without having closed the connection, so a reservation is renewed only if
//! that engine still accepts connections.

use super::{
    paths::{Paths, SendState, UpstreamMessage},
    relay::{RelayedKind, Target},
};
use bytes::Bytes;
use grant::{Grant, Helper};
use http::StatusCode;
use kernel::SharedClock;
use platform::order;
use proxy::{ExchangeError, read_response_body};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    task::{JoinHandle, JoinSet},
    time::{sleep, timeout},
};

/// Time for which memory stays reserved without a renewal. Together with [`ORDER_TIMEOUT`], which limits
/// the order that follows as soon as a connection to the engine is made, it is less than the 4 s within
/// which memory has to be free after the end of a request.
const RESERVATION_LIFETIME: Duration = Duration::from_millis(3_200);
/// Interval of renewals. Two in a row may be lost before the reservation expires.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for an order, connection and response included, and for a connection to the engine that
/// runs the request.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for an own connection within that time, so that the rest suffices for another daemon to send
/// the order.
const ORDER_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Attempts to release a reservation. If all fail, it expires by itself.
const RELEASE_ATTEMPTS: u32 = 3;
/// Longest response to an order, in bytes.
const RESPONSE_BYTES_MAX: usize = 4 << 10;

/// Reservations of one request on its helpers, released on drop.
pub(crate) struct HelperReservations {
    name: Arc<String>,
    helpers: Arc<Vec<Helper>>,
    paths: Arc<Paths>,
    clock: SharedClock,
    reserved_at: Instant,
    renewal: Option<JoinHandle<()>>,
}

impl HelperReservations {
    /// Reserves memory on all helpers of a grant that need it, and starts to renew it. `name`
    /// identifies the reservations. If one fails, those made before are released.
    pub(crate) async fn reserve(
        name: String,
        grant: &Grant,
        paths: &Arc<Paths>,
        clock: &SharedClock,
    ) -> Result<Self, String> {
        let helpers = grant.helpers.iter().filter(|helper| helper.reserve_tokens > 0).cloned();
        let mut reservations = Self {
            name: Arc::new(name),
            helpers: Arc::new(helpers.collect()),
            paths: Arc::clone(paths),
            clock: Arc::clone(clock),
            reserved_at: clock.now(),
            renewal: None,
        };
        metrics::gauge!("toucansill_reservations").increment(reservations.helpers.len() as f64);
        for helper in reservations.helpers.iter() {
            // On an error, `reservations` is dropped, which releases the memory on all helpers.
            reserve(paths, &reservations.name, helper).await?;
        }
        if !reservations.helpers.is_empty() {
            let (name, helpers) =
                (Arc::clone(&reservations.name), Arc::clone(&reservations.helpers));
            let engine = Target { upstream: grant.upstream.clone(), address: grant.address };
            let renewal = renew(Arc::clone(paths), name, engine, helpers);
            reservations.renewal = Some(tokio::spawn(renewal));
        }
        Ok(reservations)
    }

    /// Text by which the request names a helper, and its reservation if it has one.
    pub(crate) fn name(&self, helper: &Helper) -> String {
        order::format_helper(helper.address, (helper.reserve_tokens > 0).then_some(&self.name))
    }
}

impl Drop for HelperReservations {
    fn drop(&mut self) {
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
        }
        metrics::gauge!("toucansill_reservations").decrement(self.helpers.len() as f64);
        for helper in self.helpers.iter().cloned() {
            let (name, clock) = (Arc::clone(&self.name), Arc::clone(&self.clock));
            tokio::spawn(release(Arc::clone(&self.paths), name, helper, clock, self.reserved_at));
        }
    }
}

/// Renews the reservations while the engine that uses the memory accepts connections, until the task
/// is aborted.
async fn renew(paths: Arc<Paths>, name: Arc<String>, engine: Target, helpers: Arc<Vec<Helper>>) {
    loop {
        sleep(RENEWAL_INTERVAL).await;
        if !paths.is_reachable(&engine, ORDER_TIMEOUT).await {
            log::warn!(
                reservation = name.as_str(), upstream = engine.upstream.as_str();
                "memory not renewed: the engine accepts no connection"
            );
            continue;
        }
        // One helper that doesn't respond must not delay the renewal on the others.
        let mut orders = JoinSet::new();
        for helper in helpers.iter().cloned() {
            let (paths, name) = (Arc::clone(&paths), Arc::clone(&name));
            orders.spawn(async move {
                if let Err(err) = reserve(&paths, &name, &helper).await {
                    log::warn!(
                        upstream = helper.upstream.as_str(), reservation = name.as_str();
                        "memory not renewed: {err}"
                    );
                }
            });
        }
        while orders.join_next().await.is_some() {}
    }
}

/// Reserves or renews memory on one helper.
async fn reserve(paths: &Paths, name: &str, helper: &Helper) -> Result<(), String> {
    let Helper { upstream, address, reserve_tokens: reserve } = helper;
    let (head, body) = order::reserve(upstream, *address, name, *reserve, RESERVATION_LIFETIME);
    match send_order(paths, helper, head, body).await {
        Ok(StatusCode::OK) => Ok(()),
        Ok(status) => Err(format!("{upstream}: {reserve} tokens: {status}")),
        Err(err) => Err(format!("{upstream}: {reserve} tokens: {err}")),
    }
}

/// Releases memory on one helper.
async fn release(
    paths: Arc<Paths>,
    name: Arc<String>,
    helper: Helper,
    clock: SharedClock,
    reserved_at: Instant,
) {
    let (upstream, reservation) = (helper.upstream.as_str(), name.as_str());
    for attempt in 1..=RELEASE_ATTEMPTS {
        let (head, body) = order::release(&helper.upstream, helper.address, &name);
        match send_order(&paths, &helper, head, body).await {
            Ok(status) => {
                let held = clock.now().saturating_duration_since(reserved_at);
                log::info!(
                    upstream, reservation, attempt, tokens = helper.reserve_tokens,
                    held_ms = held.as_millis() as u64, status = status.as_u16();
                    "memory released"
                );
                return;
            }
            Err(err) => {
                log::warn!(upstream, reservation, attempt; "memory not released: {err}");
            }
        }
    }
}

/// Sends an order to an engine and returns the status of its response. An error leaves open whether
/// the engine has executed the order, or will.
async fn send_order(
    paths: &Paths,
    helper: &Helper,
    head: http::request::Parts,
    body: Vec<u8>,
) -> Result<StatusCode, String> {
    let message = UpstreamMessage {
        kind: RelayedKind::Order,
        target: Target { upstream: helper.upstream.clone(), address: helper.address },
        head,
        body: Bytes::from(body),
    };
    let exchanged = async {
        let sent = SendState::default();
        let exchanged = paths.exchange(message, ORDER_CONNECT_TIMEOUT, &sent).await;
        let response = exchanged.map_err(|failed| failed.err)?.response;
        let status = response.head.status;
        let mut body = response.body;
        read_response_body(&mut body, RESPONSE_BYTES_MAX).await?;
        Ok::<_, ExchangeError>(status)
    };
    let done = match timeout(ORDER_TIMEOUT, exchanged).await {
        Ok(done) => done.map_err(|err| err.to_string()),
        Err(_) => Err(String::from("no response in time")),
    };
    let labels = [("answered", done.is_ok().to_string())];
    metrics::counter!("toucansill_orders_total", &labels).increment(1);
    done
}
