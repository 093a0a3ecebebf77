//! Renewals through one daemon of each data centre, once the roster is large.

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

/// Time for which renewals are gathered.
const GATHER: Duration = Duration::from_millis(100);
/// Time between two looks whether the daemon stops.
const STOP_CHECK: Duration = Duration::from_secs(1);
/// Longest wait for the leader.
const LEADER_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest wait of a daemon for its relay.
pub(crate) const RELAY_TIMEOUT: Duration = Duration::from_millis(800);

/// Gathers renewals of a data centre and hands the replies back.
pub(crate) struct Relay {
    client: Arc<ControlClient>,
    state: Mutex<State>,
    /// Gets a message when renewals wait.
    wake: flume::Sender<()>,
}

#[derive(Default)]
struct State {
    gatherer: RenewalCollector,
    waiting: BTreeMap<DaemonId, flume::Sender<RenewalReply>>,
}

impl Relay {
    /// Starts the thread that asks the leader.
    pub(crate) fn start(client: Arc<ControlClient>, is_stopping: Arc<AtomicBool>) -> Arc<Self> {
        let (wake, woken) = flume::bounded(1);
        let relay = Arc::new(Self { client, state: Mutex::default(), wake });
        let runs = Arc::clone(&relay);
        thread::spawn(move || {
            while !is_stopping.load(Ordering::Relaxed) {
                // Idle unless a renewal has come, as in all daemons but the relays.
                if woken.recv_timeout(STOP_CHECK).is_ok() {
                    thread::sleep(GATHER);
                    runs.round();
                }
            }
        });
        relay
    }

    /// Hands a renewal in and waits for its reply.
    pub(crate) fn renew(&self, renewal: Renewal) -> Option<RenewalReply> {
        let (tx, rx) = flume::bounded(1);
        let mut state = lock(&self.state);
        state.waiting.insert(renewal.holder.daemon.clone(), tx);
        state.gatherer.push(renewal);
        drop(state);
        // A full queue means that the thread is about to wake anyway.
        let _ = self.wake.try_send(());
        rx.recv_timeout(RELAY_TIMEOUT).ok()
    }

    fn round(&self) {
        let renewals = lock(&self.state).gatherer.take();
        if renewals.renewals.is_empty() {
            return;
        }
        match self.client.ask(&ControlRequest::Renew(renewals), LEADER_TIMEOUT) {
            Ok(ControlReply::Renewed(replies)) => {
                let mut state = lock(&self.state);
                for (daemon, reply) in replies.split() {
                    if let Some(tx) = state.waiting.remove(&daemon) {
                        let _ = tx.send(reply);
                    }
                }
            }
            Ok(other) => log::warn!("gathered renewals got {other:?}"),
            // Each daemon then asks the leader itself.
            Err(err) => log::warn!("gathered renewals were not answered: {err}"),
        }
    }
}

/// One renewal as a message.
pub(crate) fn single(renewal: Renewal) -> RenewalBatch {
    RenewalBatch { renewals: vec![renewal] }
}
