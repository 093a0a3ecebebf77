//! Relay of a data centre: batches the lease renewals of its daemons, once the roster is large.

use crate::{
    control_client::ControlClient,
    control_messages::{ControlReply, ControlRequest},
    sync::lock,
};
use control::{
    Renewal, RenewalReply,
    relay::{RenewalBatch, RenewalCollector},
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};
use wire::DaemonId;

/// Time for which renewals are collected into a batch.
const COLLECT_TIME: Duration = Duration::from_millis(100);
/// Time between checks whether the daemon is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time to wait for the leader.
const LEADER_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum time for a daemon to wait for its relay, which includes the time for collecting and for
/// the leader.
pub(crate) const RELAY_TIMEOUT: Duration = Duration::from_millis(800);

/// Collects renewals of a data centre, and passes the leader's replies back.
pub(crate) struct Relay {
    client: Arc<ControlClient>,
    state: Mutex<State>,
    /// Wakes the thread when a renewal has arrived.
    wake: flume::Sender<()>,
}

#[derive(Default)]
struct State {
    collector: RenewalCollector,
    /// Channel for the reply to each daemon.
    waiting: BTreeMap<DaemonId, flume::Sender<RenewalReply>>,
}

impl Relay {
    /// Starts the thread that sends batches to the leader, until `is_stopping` is set.
    pub(crate) fn start(client: Arc<ControlClient>, is_stopping: Arc<AtomicBool>) -> Arc<Self> {
        let (wake, woken) = flume::bounded(1);
        let relay = Arc::new(Self { client, state: Mutex::default(), wake });
        let sender = Arc::clone(&relay);
        thread::spawn(move || {
            while !is_stopping.load(Ordering::Relaxed) {
                // Only the relay of a data centre receives renewals; this thread is idle elsewhere.
                if woken.recv_timeout(STOP_CHECK_INTERVAL).is_ok() {
                    thread::sleep(COLLECT_TIME);
                    sender.send_batch();
                }
            }
        });
        relay
    }

    /// Adds a renewal to the next batch and waits for its reply. `None` if none arrives in time.
    pub(crate) fn renew(&self, renewal: Renewal) -> Option<RenewalReply> {
        let (tx, rx) = flume::bounded(1);
        let mut state = lock(&self.state);
        state.waiting.insert(renewal.holder.daemon.clone(), tx);
        state.collector.push(renewal);
        drop(state);
        // If the queue is full, the thread is about to wake anyway.
        let _ = self.wake.try_send(());
        rx.recv_timeout(RELAY_TIMEOUT).ok()
    }

    /// Sends the collected renewals to the leader and passes on its replies.
    fn send_batch(&self) {
        let batch = lock(&self.state).collector.take();
        if batch.renewals.is_empty() {
            return;
        }
        match self.client.request(&ControlRequest::Renew(batch), LEADER_TIMEOUT) {
            Ok(ControlReply::Renewed(replies)) => {
                let mut state = lock(&self.state);
                for (daemon, reply) in replies.split() {
                    if let Some(tx) = state.waiting.remove(&daemon) {
                        let _ = tx.send(reply);
                    }
                }
            }
            Ok(other) => log::warn!("unexpected reply to a batch of renewals: {other:?}"),
            // Each daemon then sends its renewal to the leader itself.
            Err(err) => log::warn!("a batch of renewals was not served: {err}"),
        }
    }
}

/// Batch of a single renewal.
pub(crate) fn batch_of(renewal: Renewal) -> RenewalBatch {
    RenewalBatch { renewals: vec![renewal] }
}
