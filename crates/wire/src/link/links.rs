//! Links of one daemon to all others.

use super::{
    accept,
    config::LinkConfig,
    connect::{Opened, Outbound},
    counters::LinkCounters,
    exchange::{Answer, FrameReader, Open, frame_of, lost, send_all},
    responder::InboundHandler,
    stream_in::{Item, StreamIn},
};
use crate::{Error, Message, Result, error::Kind};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Handle, Runtime},
    sync::{Semaphore, oneshot},
    time::{Instant, timeout_at},
};

/// Threads that move bytes.
const WORKER_THREADS: usize = 2;
/// Longest wait for an answer to a notification, which carries nothing.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for running handlers when links stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends messages to other daemons, and hands theirs to a handler.
///
/// Calls wait on plain threads. Messages have no order among each other.
pub struct Links {
    address: SocketAddr,
    outbound: Arc<Shared>,
    /// None once stopped.
    handle: Option<Handle>,
    /// None on a runtime of the caller's, and once stopped.
    runtime: Option<Runtime>,
}

struct Shared {
    cfg: Arc<LinkConfig>,
    counters: Arc<LinkCounters>,
    peers: Mutex<BTreeMap<SocketAddr, Arc<Outbound>>>,
    notifications: Arc<Semaphore>,
}

impl Links {
    /// Listens, and calls the handler for each inbound message.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub fn start(cfg: LinkConfig, handler: InboundHandler) -> Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .max_blocking_threads(cfg.max_inbound_messages.max(1))
            .thread_name("link")
            .enable_all()
            .build()
            .map_err(|e| Error::io(Kind::Config, "threads of links", e))?;
        let mut links = runtime.block_on(Self::attach(cfg, handler))?;
        links.runtime = Some(runtime);
        Ok(links)
    }

    /// As [`Links::start`], on the runtime of the caller.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub async fn attach(cfg: LinkConfig, handler: InboundHandler) -> Result<Self> {
        let context = format!("can't listen on {}", cfg.listen);
        let config_error = |e| Error::io(Kind::Config, context.clone(), e);
        let listener = TcpListener::bind(cfg.listen).await.map_err(config_error)?;
        let address = listener.local_addr().map_err(config_error)?;
        let cfg = Arc::new(cfg);
        let counters = Arc::new(LinkCounters::default());
        tokio::spawn(accept::run(
            listener,
            Arc::new(accept::Shared {
                counters: counters.clone(),
                handler,
                connections: Arc::new(Semaphore::new(cfg.max_connections)),
                inbound: Arc::new(Semaphore::new(cfg.max_inbound_messages)),
                cfg: cfg.clone(),
            }),
        ));
        let outbound = Arc::new(Shared {
            notifications: Arc::new(Semaphore::new(cfg.max_notifications)),
            cfg,
            counters,
            peers: Mutex::default(),
        });
        Ok(Self { address, outbound, handle: Some(Handle::current()), runtime: None })
    }

    /// The address that is listened on, with the port that was taken.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counts of what went wrong.
    pub fn counters(&self) -> &LinkCounters {
        &self.outbound.counters
    }

    /// Peers whose links are kept for their next use.
    pub fn peer_count(&self) -> usize {
        self.outbound.peers.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Sends a message and waits for the one frame of its answer.
    ///
    /// # Errors
    ///
    /// [`Error::verdict`] says whether the peer may have acted on the message.
    pub fn request(
        &self,
        peer: SocketAddr,
        message: Message,
        timeout: Duration,
    ) -> Result<Vec<u8>> {
        // The task gives up at the timeout, so this wait has an end.
        let mut stream = self.open_stream(peer, message, timeout)?;
        let margin = self.outbound.cfg.connect_timeout;
        match stream.recv(timeout + margin)? {
            Some(frame) => Ok(frame),
            None => Err(Error::new(Kind::Malformed, "the answer has no frame")),
        }
    }

    /// As [`Links::request`], for callers on a runtime.
    ///
    /// # Errors
    ///
    /// [`Error::verdict`] says whether the peer may have acted on the message.
    pub async fn request_async(
        &self,
        peer: SocketAddr,
        message: Message,
        timeout: Duration,
    ) -> Result<Vec<u8>> {
        let (tx, rx) = flume::bounded(self.outbound.cfg.stream_queue_frames);
        let open = Open { message, timeout_ms: millis(timeout), notify: false };
        run_stream(&self.outbound, peer, open, timeout, &tx).await;
        match rx.try_recv() {
            Ok(Ok(Some(frame))) => Ok(frame),
            Ok(Err(e)) => Err(e),
            _ => Err(Error::new(Kind::Malformed, "the answer has no frame")),
        }
    }

    /// Sends a message and gives its answer frame by frame, at most `timeout`
    /// from now to its end.
    ///
    /// Returns at once; errors come from [`StreamIn::recv`].
    pub fn open_stream(
        &self,
        peer: SocketAddr,
        message: Message,
        timeout: Duration,
    ) -> Result<StreamIn> {
        let runtime = self.handle.as_ref().ok_or_else(stopped)?;
        let (tx, rx) = flume::bounded(self.outbound.cfg.stream_queue_frames);
        let (cancel, cancelled) = oneshot::channel();
        let shared = self.outbound.clone();
        let open = Open { message, timeout_ms: millis(timeout), notify: false };
        runtime.spawn(async move {
            tokio::select! {
                () = run_stream(&shared, peer, open, timeout, &tx) => (),
                _ = cancelled => (),
            }
        });
        Ok(StreamIn::new(rx, cancel))
    }

    /// Sends a message without waiting for an answer. One that can't be
    /// delivered is dropped and counted.
    pub fn notify(&self, peer: SocketAddr, message: Message) {
        let shared = self.outbound.clone();
        let permit = shared.notifications.clone().try_acquire_owned();
        let (Some(runtime), Ok(permit)) = (self.handle.as_ref(), permit) else {
            return shared.counters.count_dropped_notification();
        };
        runtime.spawn(async move {
            let (tx, rx) = flume::bounded(1);
            let open = Open { message, timeout_ms: millis(NOTIFY_TIMEOUT), notify: true };
            run_stream(&shared, peer, open, NOTIFY_TIMEOUT, &tx).await;
            if rx.try_iter().any(|r| r.is_err()) {
                shared.counters.count_dropped_notification();
            }
            drop(permit);
        });
    }

    /// Closes all links and stops the threads. Open streams are lost.
    pub fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        self.handle = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(STOP_TIMEOUT);
        }
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.shut_down();
    }
}

impl Shared {
    fn peer(&self, address: SocketAddr) -> Arc<Outbound> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if peers.len() >= self.cfg.max_peers && !peers.contains_key(&address) {
            // A link closes with the last stream that holds it.
            peers.retain(|_, peer| Arc::strong_count(peer) > 1);
        }
        let new = || Arc::new(Outbound::new(address, self.cfg.clone(), self.counters.clone()));
        peers.entry(address).or_insert_with(new).clone()
    }
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}

fn stopped() -> Error {
    Error::new(Kind::Stopped, "links are stopped")
}

/// Sends a message, and passes on the frames of its answer or the error.
async fn run_stream(
    shared: &Shared,
    peer: SocketAddr,
    open: Open,
    timeout: Duration,
    tx: &flume::Sender<Item>,
) {
    let deadline = Instant::now() + timeout;
    let mut sent = false;
    let exchanged = timeout_at(deadline, exchange(shared, peer, open, tx, &mut sent));
    let error = match exchanged.await {
        Ok(Ok(())) => return,
        Ok(Err(e)) => e,
        Err(_) if sent => Error::new(Kind::Timeout, format!("no answer of {peer} in {timeout:?}")),
        Err(_) => Error::new(Kind::Unreachable, format!("no link to {peer} in {timeout:?}")),
    };
    if matches!(error.kind(), Kind::Malformed | Kind::TooLarge) {
        shared.counters.count_malformed_input();
    }
    let _ = tx.send_async(Err(error)).await;
}

async fn exchange(
    shared: &Shared,
    peer: SocketAddr,
    open: Open,
    tx: &flume::Sender<Item>,
    sent: &mut bool,
) -> Result<()> {
    let max = shared.cfg.max_message_bytes;
    let bytes = open.message.body.len();
    if bytes > max {
        let context = format!("message of {bytes} bytes, at most {max}");
        return Err(Error::new(Kind::TooLarge, context));
    }
    let frame = frame_of(&open, max)?.freeze();
    // Held to the end, so that the link is not closed under the stream.
    let outbound = shared.peer(peer);
    let Opened { tx: mut request, response, active: _active } = outbound.open().await?;
    *sent = true;
    send_all(&mut request, frame, true).await?;
    let response = response.await.map_err(|e| lost("stream", &e))?;
    let mut rx = FrameReader::new(response.into_body(), max);
    let mut frames = 0_u64;
    loop {
        match rx.next().await? {
            Some(Answer::Frame(frame)) => {
                frames += 1;
                if tx.send_async(Ok(Some(frame))).await.is_err() {
                    // The reader is gone; dropping the stream cancels it.
                    return Ok(());
                }
            }
            Some(Answer::End) => {
                let _ = tx.send_async(Ok(None)).await;
                return Ok(());
            }
            Some(Answer::Refused { overloaded, reason }) if frames == 0 => {
                let kind = if overloaded { Kind::Overloaded } else { Kind::Refused };
                return Err(Error::new(kind, format!("refused by {peer}: {reason}")));
            }
            Some(Answer::Refused { reason, .. }) => return Err(Error::new(Kind::Lost, reason)),
            None => return Err(Error::new(Kind::Lost, "the answer was cut")),
        }
    }
}
