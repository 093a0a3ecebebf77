//! Thread that sends heartbeat comments on idle event streams.

use crate::{EventStream, stream::Shared};
use std::{
    sync::{Arc, Mutex, PoisonError, Weak},
    thread,
    time::Duration,
};

/// Open event streams of one server.
///
/// The entry of a stream that has ended is removed at the next heartbeat, so there are at most as
/// many of them as streams that end within one interval.
#[derive(Default)]
pub(crate) struct Heartbeats {
    streams: Mutex<Vec<Weak<Shared>>>,
}

impl Heartbeats {
    /// Starts the thread, which sends heartbeats every `interval` until the `stop` channel closes.
    pub(crate) fn start(
        interval: Duration,
        stop: flume::Receiver<()>,
    ) -> std::io::Result<(Arc<Self>, thread::JoinHandle<()>)> {
        let heartbeats = Arc::new(Self::default());
        let sender = heartbeats.clone();
        let run = move || {
            while stop.recv_timeout(interval) == Err(flume::RecvTimeoutError::Timeout) {
                sender.send_all();
            }
        };
        let thread = thread::Builder::new().name("edge-heartbeat".to_owned()).spawn(run)?;
        Ok((heartbeats, thread))
    }

    /// Adds a stream, which gets heartbeats until it ends.
    pub(crate) fn add(&self, stream: &EventStream) {
        self.lock().push(Arc::downgrade(stream.shared()));
    }

    /// Removes ended streams and sends heartbeats on the others.
    fn send_all(&self) {
        let open_streams: Vec<Arc<Shared>> = {
            let mut streams = self.lock();
            streams.retain(|s| s.strong_count() > 0);
            streams.iter().filter_map(Weak::upgrade).collect()
        };
        open_streams.iter().for_each(|s| s.send_heartbeat_if_idle());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Weak<Shared>>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
