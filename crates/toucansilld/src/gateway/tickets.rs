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
const HOLD: Duration = Duration::from_millis(3_500);
/// Time between two renewals: two may be lost.
const RENEWAL: Duration = Duration::from_millis(1_100);
/// Longest wait for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Attempts to release; after that the reservation runs out.
const RELEASE_ATTEMPTS: u32 = 3;
/// Longest answer to an order.
const ANSWER_BYTES_MAX: usize = 4 << 10;

/// Reservations of one request. Dropped, they are released.
pub(crate) struct Tickets {
    name: Arc<String>,
    helpers: Arc<Vec<Helper>>,
    renewal: Option<JoinHandle<()>>,
}

impl Tickets {
    /// Reserves what a grant asks for, all or nothing.
    pub(crate) async fn reserve(name: String, helpers: &[Helper]) -> Result<Self, String> {
        let holders = helpers.iter().filter(|helper| helper.reserve_tokens > 0).cloned();
        let mut tickets =
            Self { name: Arc::new(name), helpers: Arc::new(holders.collect()), renewal: None };
        for helper in tickets.helpers.iter() {
            // On an error the tickets are dropped, which releases those before.
            reserve(&tickets.name, helper).await?;
        }
        if !tickets.helpers.is_empty() {
            let (name, helpers) = (Arc::clone(&tickets.name), Arc::clone(&tickets.helpers));
            tickets.renewal = Some(tokio::spawn(renew(name, helpers)));
        }
        Ok(tickets)
    }

    /// How the request names its helpers.
    pub(crate) fn name(&self, helper: &Helper) -> String {
        order::format_helper(helper.address, (helper.reserve_tokens > 0).then_some(&self.name))
    }
}

impl Drop for Tickets {
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
        sleep(RENEWAL).await;
        for helper in helpers.iter() {
            if let Err(err) = reserve(&name, helper).await {
                log::warn!(upstream = helper.upstream.as_str(); "memory not renewed: {err}");
            }
        }
    }
}

async fn reserve(name: &str, helper: &Helper) -> Result<(), String> {
    let Helper { upstream, address, reserve_tokens: reserve } = helper;
    let (head, body) = order::reserve(upstream, *address, name, *reserve, HOLD);
    match give(helper, head, body).await {
        Ok(StatusCode::OK) => Ok(()),
        Ok(status) => Err(format!("{upstream}: {reserve} tokens: {status}")),
        Err(err) => Err(format!("{upstream}: {reserve} tokens: {err}")),
    }
}

async fn release(name: Arc<String>, helper: Helper) {
    for _ in 0..RELEASE_ATTEMPTS {
        let (head, body) = order::release(&helper.upstream, helper.address, &name);
        match give(&helper, head, body).await {
            Ok(_) => return,
            Err(err) => {
                log::warn!(upstream = helper.upstream.as_str(); "memory not released: {err}");
            }
        }
    }
}

async fn give(
    helper: &Helper,
    head: http::request::Parts,
    body: Vec<u8>,
) -> Result<StatusCode, String> {
    let ordered = async {
        let answer = exchange(helper.address, ORDER_TIMEOUT, head, Bytes::from(body)).await?;
        let status = answer.head.status;
        let mut body = answer.body;
        gather(&mut body, ANSWER_BYTES_MAX).await?;
        Ok::<_, ExchangeError>(status)
    };
    match timeout(ORDER_TIMEOUT, ordered).await {
        Ok(done) => done.map_err(|err| err.to_string()),
        Err(_) => Err(String::from("no answer in time")),
    }
}
