//! Memory reserved on other engines for a prompt that no engine holds alone.
//!
//! Each reservation is short and renewed while the request runs. So memory comes back soon
//! even if this daemon dies, or an engine carries an order out late.

use bytes::Bytes;
use grant::Helper;
use http::StatusCode;
use platform::order;
use proxy::{ExchangeError, exchange, gather};
use std::{sync::Arc, time::Duration};
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

/// Time for which memory stays reserved without a renewal: below the time within which it
/// has to be free after a request has ended.
const RESERVATION_LIFETIME: Duration = Duration::from_millis(3_500);
/// Time between two renewals: two may be lost.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_100);
/// Longest wait for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Attempts to release; after that the reservation runs out.
const RELEASE_ATTEMPTS: u32 = 3;
/// Longest answer to an order.
const RESPONSE_BYTES_MAX: usize = 4 << 10;

/// Reservations of one request. Dropped, they are released.
pub(crate) struct HelperReservations {
    name: Arc<String>,
    helpers: Arc<Vec<Helper>>,
    renewal: Option<JoinHandle<()>>,
}

impl HelperReservations {
    /// Reserves what a grant asks for, all or nothing.
    pub(crate) async fn reserve(name: String, helpers: &[Helper]) -> Result<Self, String> {
        let helpers = helpers.iter().filter(|helper| helper.reserve_tokens > 0).cloned();
        let mut reservations =
            Self { name: Arc::new(name), helpers: Arc::new(helpers.collect()), renewal: None };
        for helper in reservations.helpers.iter() {
            // On an error the tickets are dropped, which releases those before.
            reserve(&reservations.name, helper).await?;
        }
        if !reservations.helpers.is_empty() {
            let (name, helpers) =
                (Arc::clone(&reservations.name), Arc::clone(&reservations.helpers));
            reservations.renewal = Some(tokio::spawn(renew(name, helpers)));
        }
        Ok(reservations)
    }

    /// How the request names its helpers.
    pub(crate) fn name(&self, helper: &Helper) -> String {
        order::format_helper(helper.address, (helper.reserve_tokens > 0).then_some(&self.name))
    }
}

impl Drop for HelperReservations {
    fn drop(&mut self) {
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
        }
        for helper in self.helpers.iter().cloned() {
            tokio::spawn(release(Arc::clone(&self.name), helper));
        }
    }
}

async fn renew(name: Arc<String>, helpers: Arc<Vec<Helper>>) {
    loop {
        sleep(RENEWAL_INTERVAL).await;
        for helper in helpers.iter() {
            if let Err(err) = reserve(&name, helper).await {
                log::warn!(upstream = helper.upstream.as_str(); "memory not renewed: {err}");
            }
        }
    }
}

async fn reserve(name: &str, helper: &Helper) -> Result<(), String> {
    let Helper { upstream, address, reserve_tokens: reserve } = helper;
    let (head, body) = order::reserve(upstream, *address, name, *reserve, RESERVATION_LIFETIME);
    match send_order(helper, head, body).await {
        Ok(StatusCode::OK) => Ok(()),
        Ok(status) => Err(format!("{upstream}: {reserve} tokens: {status}")),
        Err(err) => Err(format!("{upstream}: {reserve} tokens: {err}")),
    }
}

async fn release(name: Arc<String>, helper: Helper) {
    for _ in 0..RELEASE_ATTEMPTS {
        let (head, body) = order::release(&helper.upstream, helper.address, &name);
        match send_order(&helper, head, body).await {
            Ok(_) => return,
            Err(err) => {
                log::warn!(upstream = helper.upstream.as_str(); "memory not released: {err}");
            }
        }
    }
}

async fn send_order(
    helper: &Helper,
    head: http::request::Parts,
    body: Vec<u8>,
) -> Result<StatusCode, String> {
    let exchanged = async {
        let response = exchange(helper.address, ORDER_TIMEOUT, head, Bytes::from(body)).await?;
        let status = response.head.status;
        let mut body = response.body;
        gather(&mut body, RESPONSE_BYTES_MAX).await?;
        Ok::<_, ExchangeError>(status)
    };
    match timeout(ORDER_TIMEOUT, exchanged).await {
        Ok(done) => done.map_err(|err| err.to_string()),
        Err(_) => Err(String::from("no answer in time")),
    }
}
