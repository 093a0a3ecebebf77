//! One thread that sends comments on silent streams.

use crate::{EventStream, stream::Shared};
use std::{
    sync::{Arc, Mutex, PoisonError, Weak},
    thread,
    time::Duration,
};

/// Open streams of one server. Entries of ended streams go at the next tick,
/// so there are at most as many as requests in one heartbeat interval.
#[derive(Default)]
pub(crate) struct Heartbeats {
    streams: Mutex<Vec<Weak<Shared>>>,
}

impl Heartbeats {
    /// Starts the thread, which ends when `stop` closes.
    pub(crate) fn start(
        interval: Duration,
        stop: flume::Receiver<()>,
    ) -> std::io::Result<(Arc<Self>, thread::JoinHandle<()>)> {
        let heartbeats = Arc::new(Self::default());
        let ticking = heartbeats.clone();
        let run = move || {
            while stop.recv_timeout(interval) == Err(flume::RecvTimeoutError::Timeout) {
                ticking.tick();
            }
        };
        let thread = thread::Builder::new().name("edge-heartbeat".to_owned()).spawn(run)?;
        Ok((heartbeats, thread))
    }

    /// Adds a stream.
    pub(crate) fn watch(&self, stream: &EventStream) {
        self.lock().push(Arc::downgrade(stream.shared()));
    }

    fn tick(&self) {
        let live: Vec<Arc<Shared>> = {
            let mut streams = self.lock();
            streams.retain(|s| s.strong_count() > 0);
            streams.iter().filter_map(Weak::upgrade).collect()
        };
        live.iter().for_each(|s| s.beat());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Weak<Shared>>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
