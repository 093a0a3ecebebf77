//! Links of one daemon to all other daemons.

use super::{
    accept,
    config::LinkConfig,
    connect::{OpenStream, OutboundPeer},
    counters::LinkCounters,
    exchange::{FrameReader, OpenFrame, ReplyFrame, encode_frame, send_all, stream_error},
    failure::LinkFailure,
    responder::InboundHandler,
    stream_in::{StreamIn, StreamItem},
};
use crate::{Error, Message, Result, error::Kind};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpSocket},
    runtime::{Builder, Handle, Runtime},
    sync::{Semaphore, oneshot},
    time::{Instant, timeout_at},
};

/// Number of threads for network input and output. Handlers run on further threads, unless
/// [`LinkConfig::inline_handler`] is set.
const WORKER_THREADS: usize = 2;
/// Longest time to deliver a notification and receive its acknowledgement.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// Longest wait for running handlers when links stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends messages to other daemons, and passes received messages to a handler.
///
/// Messages are not ordered relative to each other. [`request`](Self::request) and
/// [`StreamIn::recv`] block the calling thread; asynchronous callers use
/// [`request_async`](Self::request_async).
pub struct Links {
    address: SocketAddr,
    outbound: Arc<OutboundLinks>,
    /// `None` after [`stop`](Self::stop).
    handle: Option<Handle>,
    /// `None` on a runtime of the caller, and after [`stop`](Self::stop).
    runtime: Option<Runtime>,
}

/// State for sending messages, shared by the tasks that send them.
struct OutboundLinks {
    cfg: Arc<LinkConfig>,
    counters: Arc<LinkCounters>,
    peers: Mutex<BTreeMap<SocketAddr, Arc<OutboundPeer>>>,
    notification_permits: Arc<Semaphore>,
}

impl Links {
    /// Listens on the configured address, on threads of its own, and calls the handler for each
    /// inbound message.
    ///
    /// # Errors
    ///
    /// Fails if the threads can't be started or the address can't be listened on.
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

    /// Like [`Links::start`], but runs on the asynchronous runtime of the caller.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub async fn attach(cfg: LinkConfig, handler: InboundHandler) -> Result<Self> {
        let context = format!("can't listen on {}", cfg.listen);
        let config_error = |e| Error::io(Kind::Config, context.clone(), e);
        let listener = listen(cfg.listen).map_err(config_error)?;
        let address = listener.local_addr().map_err(config_error)?;
        let cfg = Arc::new(cfg);
        let counters = Arc::new(LinkCounters::default());
        tokio::spawn(accept::run(
            listener,
            Arc::new(accept::ServerState {
                counters: counters.clone(),
                handler,
                connection_permits: Arc::new(Semaphore::new(cfg.max_connections)),
                message_permits: Arc::new(Semaphore::new(cfg.max_inbound_messages)),
                cfg: cfg.clone(),
            }),
        ));
        let outbound = Arc::new(OutboundLinks {
            notification_permits: Arc::new(Semaphore::new(cfg.max_notifications)),
            cfg,
            counters,
            peers: Mutex::default(),
        });
        Ok(Self { address, outbound, handle: Some(Handle::current()), runtime: None })
    }

    /// Address that the daemon listens on, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counters of pings and failures.
    pub fn counters(&self) -> &LinkCounters {
        &self.outbound.counters
    }

    /// The last failure to connect to a peer; `None` if none was attempted, or the last attempt succeeded.
    pub fn last_failure(&self, peer: SocketAddr) -> Option<LinkFailure> {
        let peers = self.outbound.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.get(&peer)?.last_failure()
    }

    /// Time for which attempts to connect to a peer have been under way, with their handshakes; `None` if none
    /// is.
    pub fn connecting_for(&self, peer: SocketAddr) -> Option<Duration> {
        let peers = self.outbound.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.get(&peer)?.connecting_for()
    }

    /// Connects to a peer without a message, unless a link is open or an attempt is under way or has just failed: so
    /// a peer that gets no messages is found to be reached again. Returns without waiting for it.
    pub fn reconnect(&self, peer: SocketAddr) {
        let Some(runtime) = self.handle.as_ref() else { return };
        runtime.spawn(self.outbound.peer_at(peer).reconnect());
    }

    /// Number of known peers, with or without an open link.
    pub fn peer_count(&self) -> usize {
        self.outbound.peers.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Sends a message and waits for a reply of one frame. Not for use on an asynchronous task.
    ///
    /// # Errors
    ///
    /// [`Error::verdict`] states whether the peer may have acted on the message.
    pub fn request(
        &self,
        peer: SocketAddr,
        message: Message,
        timeout: Duration,
    ) -> Result<Vec<u8>> {
        // The task that reads the stream reports the timeout itself; the margin leaves it time
        // to do so.
        let mut stream = self.open_stream(peer, message, timeout)?;
        let margin = self.outbound.cfg.connect_timeout;
        match stream.recv(timeout + margin)? {
            Some(frame) => Ok(frame),
            None => Err(Error::new(Kind::Malformed, "the answer has no frame")),
        }
    }

    /// Asynchronous form of [`Links::request`].
    ///
    /// # Errors
    ///
    /// [`Error::verdict`] states whether the peer may have acted on the message.
    pub async fn request_async(
        &self,
        peer: SocketAddr,
        message: Message,
        timeout: Duration,
    ) -> Result<Vec<u8>> {
        let (tx, rx) = flume::bounded(self.outbound.cfg.stream_queue_frames);
        let open = OpenFrame { message, timeout_ms: millis(timeout), notify: false };
        run_stream(&self.outbound, peer, open, timeout, &tx).await;
        match rx.try_recv() {
            Ok(Ok(Some(frame))) => Ok(frame),
            Ok(Err(e)) => Err(e),
            _ => Err(Error::new(Kind::Malformed, "the answer has no frame")),
        }
    }

    /// Sends a message and returns its reply as a stream of frames. The stream fails if the reply
    /// is not complete after `timeout`.
    ///
    /// Returns without waiting for the peer.
    ///
    /// # Errors
    ///
    /// Fails only if the links are stopped. All other errors come from [`StreamIn::recv`].
    pub fn open_stream(
        &self,
        peer: SocketAddr,
        message: Message,
        timeout: Duration,
    ) -> Result<StreamIn> {
        let runtime = self.handle.as_ref().ok_or_else(stopped_error)?;
        let (tx, rx) = flume::bounded(self.outbound.cfg.stream_queue_frames);
        let (cancel, cancelled) = oneshot::channel();
        let links = self.outbound.clone();
        let open = OpenFrame { message, timeout_ms: millis(timeout), notify: false };
        runtime.spawn(async move {
            tokio::select! {
                () = run_stream(&links, peer, open, timeout, &tx) => (),
                _ = cancelled => (),
            }
        });
        Ok(StreamIn::new(rx, cancel))
    }

    /// Sends a message without waiting for it to arrive. A message that can't be delivered is
    /// dropped and counted.
    pub fn notify(&self, peer: SocketAddr, message: Message) {
        let links = self.outbound.clone();
        let permit = links.notification_permits.clone().try_acquire_owned();
        let (Some(runtime), Ok(permit)) = (self.handle.as_ref(), permit) else {
            return links.counters.count_dropped_notification();
        };
        runtime.spawn(async move {
            let (tx, rx) = flume::bounded(1);
            let open = OpenFrame { message, timeout_ms: millis(NOTIFY_TIMEOUT), notify: true };
            run_stream(&links, peer, open, NOTIFY_TIMEOUT, &tx).await;
            if rx.try_iter().any(|r| r.is_err()) {
                links.counters.count_dropped_notification();
            }
            drop(permit);
        });
    }

    /// Closes all links and stops the threads that [`start`](Self::start) created. Replies on open
    /// streams are lost.
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

impl OutboundLinks {
    /// Returns the peer at an address, creating it if it is not known.
    fn peer_at(&self, address: SocketAddr) -> Arc<OutboundPeer> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if peers.len() >= self.cfg.max_peers && !peers.contains_key(&address) {
            // Dropping a peer closes its link. A stream holds its peer, so peers in use are kept.
            peers.retain(|_, peer| Arc::strong_count(peer) > 1);
        }
        let new = || Arc::new(OutboundPeer::new(address, self.cfg.clone(), self.counters.clone()));
        peers.entry(address).or_insert_with(new).clone()
    }
}

/// Listens on an address. Connections of all daemons fit in the queue, also those of some seconds in which this process
/// accepts none.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}

fn stopped_error() -> Error {
    Error::new(Kind::Stopped, "links are stopped")
}

/// Sends a message, and passes the frames of its reply, or the error, to `tx`.
async fn run_stream(
    links: &OutboundLinks,
    peer: SocketAddr,
    open: OpenFrame,
    timeout: Duration,
    tx: &flume::Sender<StreamItem>,
) {
    let deadline = Instant::now() + timeout;
    let mut sent = false;
    let exchanged = timeout_at(deadline, exchange(links, peer, open, tx, &mut sent));
    let error = match exchanged.await {
        Ok(Ok(())) => return,
        Ok(Err(e)) => e,
        Err(_) if sent => Error::new(Kind::Timeout, format!("no answer of {peer} in {timeout:?}")),
        Err(_) => Error::new(Kind::Unreachable, format!("no link to {peer} in {timeout:?}")),
    };
    if matches!(error.kind(), Kind::Malformed | Kind::TooLarge) {
        links.counters.count_malformed_input();
    }
    let _ = tx.send_async(Err(error)).await;
}

/// Sends a message and passes the frames of its reply to `tx`. Sets `sent` once a stream is
/// open, from when on the peer may act on the message.
async fn exchange(
    links: &OutboundLinks,
    peer: SocketAddr,
    open: OpenFrame,
    tx: &flume::Sender<StreamItem>,
    sent: &mut bool,
) -> Result<()> {
    let max = links.cfg.max_message_bytes;
    let bytes = open.message.body.len();
    if bytes > max {
        let context = format!("message of {bytes} bytes, at most {max}");
        return Err(Error::new(Kind::TooLarge, context));
    }
    let frame = encode_frame(&open, max)?.freeze();
    // Held until the reply ends, so that the link is not closed while the stream is open.
    let outbound = links.peer_at(peer);
    let OpenStream { tx: mut request, response, guard: _guard } = outbound.open().await?;
    *sent = true;
    send_all(&mut request, frame, true).await?;
    let response = response.await.map_err(|e| stream_error("stream", &e))?;
    let mut rx = FrameReader::new(response.into_body(), max);
    let mut frames = 0_u64;
    loop {
        match rx.next().await? {
            Some(ReplyFrame::Content(frame)) => {
                frames += 1;
                if tx.send_async(Ok(Some(frame))).await.is_err() {
                    // The reader was dropped; dropping the h2 stream cancels it at the peer.
                    return Ok(());
                }
            }
            Some(ReplyFrame::End) => {
                let _ = tx.send_async(Ok(None)).await;
                return Ok(());
            }
            Some(ReplyFrame::Refused { overloaded, reason }) if frames == 0 => {
                let kind = if overloaded { Kind::Overloaded } else { Kind::Refused };
                return Err(Error::new(kind, format!("refused by {peer}: {reason}")));
            }
            Some(ReplyFrame::Refused { reason, .. }) => return Err(Error::new(Kind::Lost, reason)),
            None => return Err(Error::new(Kind::Lost, "the answer was cut")),
        }
    }
}
