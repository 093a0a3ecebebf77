//! The accepting side of links: handshake, then one task for each inbound message.

use super::{
    config::LinkConfig,
    counters::LinkCounters,
    exchange::{FrameReader, OpenFrame, ReplyFrame, encode_frame, max_frame_bytes, send_all},
    frame::append_frame,
    handshake::{self, MAX_HELLO_BYTES, Peer},
    ping::{self, OpenStreamCount, OpenStreamGuard},
    responder::{Cancellation, Inbound, InboundHandler, Responder},
};
use crate::{Error, Result, encode, error::Kind};
use bytes::{Bytes, BytesMut};
use h2::{
    Reason, RecvStream, SendStream,
    server::{Connection, SendResponse},
};
use http::{Request, Response};
use std::{
    future::poll_fn,
    sync::{Arc, OnceLock},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, oneshot},
    task::spawn_blocking,
    time::{Instant, sleep, timeout_at},
};

/// Flow-control window of a stream: bytes in flight that its reader has not taken yet.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 128 << 10;
/// Flow-control window of a connection. It is larger than the windows of all its streams together,
/// so that a slow reader of one stream never delays another stream.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 1 << 30;
/// Memory for small data frames that wait for their reader. With the default of h2, a link on
/// which many token streams wait would be closed.
pub(crate) const FRAME_BUDGET_BYTES: usize = 256 << 20;
/// Size above which no further reply frame is added to a write.
const BATCH_BYTES: usize = 64 << 10;
/// Delay after a failed accept, as most causes take time to clear.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// State shared by the tasks of the accepting side.
pub(crate) struct ServerState {
    pub(crate) cfg: Arc<LinkConfig>,
    pub(crate) counters: Arc<LinkCounters>,
    pub(crate) handler: InboundHandler,
    pub(crate) connection_permits: Arc<Semaphore>,
    pub(crate) message_permits: Arc<Semaphore>,
}

/// Accepts connections until the runtime ends.
pub(crate) async fn run(listener: TcpListener, server: Arc<ServerState>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(stream, &server),
            Err(e) => {
                log::warn!("failed to accept a link: {e}");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Serves a connection on a task, or closes it at the limit on connections.
fn spawn_connection(stream: TcpStream, server: &Arc<ServerState>) {
    let Ok(permit) = server.connection_permits.clone().try_acquire_owned() else {
        // The connection is refused by closing it.
        server.counters.count_refused_busy();
        return;
    };
    let server = server.clone();
    tokio::spawn(async move {
        if let Err(e) = serve_connection(stream, &server).await {
            log::debug!("link ended: {e}");
        }
        drop(permit);
    });
}

/// Performs the handshake on a connection, then spawns a task for each of its streams until the
/// connection ends.
async fn serve_connection(stream: TcpStream, server: &Arc<ServerState>) -> Result<()> {
    let deadline = Instant::now() + server.cfg.handshake_timeout;
    let io = |e| Error::io(Kind::Lost, "link", e);
    stream.set_nodelay(true).map_err(io)?;
    let h2_handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .data_frame_budget(FRAME_BUDGET_BYTES)
        .max_concurrent_streams(server.cfg.max_streams)
        // Bursts of cancelled streams are normal between daemons, so h2 must not treat them as an
        // attack.
        .max_concurrent_reset_streams(server.cfg.max_streams as usize)
        .max_pending_accept_reset_streams(server.cfg.max_streams as usize)
        .handshake(stream);
    let mut connection = match timeout_at(deadline, h2_handshake).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(e)) => return Err(connection_error(server, &e)),
        Err(_) => return Err(Error::new(Kind::Timeout, "no h2 preface in time")),
    };
    let peer = authenticate(&mut connection, deadline, server).await?;
    let Some(ping_pong) = connection.ping_pong() else {
        return Err(Error::new(Kind::Lost, "link has no pings"));
    };
    let open_streams = OpenStreamCount::default();
    let peer_unresponsive = ping::watch_peer(
        ping_pong,
        open_streams.clone(),
        server.cfg.clone(),
        server.counters.clone(),
    );
    tokio::pin!(peer_unresponsive);
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = &mut peer_unresponsive => return Err(Error::new(Kind::Lost, "peer is unresponsive")),
        };
        match accepted {
            Some(Ok((request, respond))) => {
                let guard = open_streams.register();
                tokio::spawn(handle_stream(request, respond, peer.clone(), server.clone(), guard));
            }
            Some(Err(e)) => return Err(connection_error(server, &e)),
            None => return Ok(()),
        }
    }
}

/// Performs the handshake on the first stream, and refuses other streams until it has ended.
async fn authenticate(
    connection: &mut Connection<TcpStream, Bytes>,
    deadline: Instant,
    server: &Arc<ServerState>,
) -> Result<Peer> {
    let first = timeout_at(deadline, connection.accept()).await;
    let (request, mut respond) = match first {
        Ok(Some(Ok(first))) => first,
        Ok(Some(Err(e))) => return Err(connection_error(server, &e)),
        Ok(None) => return Err(Error::new(Kind::Lost, "link closed before its handshake")),
        Err(_) => return Err(Error::new(Kind::Timeout, "no handshake in time")),
    };
    let mut tx = send_response_head(&mut respond)?;
    let mut rx = FrameReader::new(request.into_body(), MAX_HELLO_BYTES);
    let handshake_result = Arc::new(OnceLock::new());
    let (finished_tx, mut finished) = oneshot::channel();
    let authentication = {
        let (handshake_result, cfg) = (handshake_result.clone(), server.cfg.clone());
        async move {
            let result = handshake::accept(&cfg, &mut tx, &mut rx).await;
            let accepted = result.is_ok();
            let _ = handshake_result.set(result);
            let _ = finished_tx.send(());
            let _ = handshake::send_outcome(&mut tx, accepted).await;
            let _ = tx.send_data(Bytes::new(), true);
        }
    };
    tokio::spawn(authentication);
    // The authentication task makes progress only while the connection is polled here.
    loop {
        tokio::select! {
            biased;
            _ = &mut finished => break,
            accepted = timeout_at(deadline, connection.accept()) => match accepted {
                Ok(Some(Ok((_, mut respond)))) => {
                    server.counters.count_failed_authentication();
                    respond.send_reset(Reason::REFUSED_STREAM);
                }
                Ok(Some(Err(e))) => return Err(connection_error(server, &e)),
                Ok(None) => break,
                Err(_) => return Err(Error::new(Kind::Timeout, "no handshake in time")),
            },
        }
    }
    match handshake_result.get() {
        Some(Ok(peer)) => Ok(peer.clone()),
        Some(Err(e)) => {
            record_handshake_error(server, e);
            // The last frame of the handshake must reach the peer before the connection closes.
            connection.graceful_shutdown();
            let _ = timeout_at(deadline, poll_fn(|cx| connection.poll_closed(cx))).await;
            Err(Error::new(e.kind(), e.to_string()))
        }
        None => Err(Error::new(Kind::Lost, "link closed within its handshake")),
    }
}

/// Counts and logs a failed handshake.
fn record_handshake_error(server: &ServerState, e: &Error) {
    match e.kind() {
        Kind::AuthenticationFailed => server.counters.count_failed_authentication(),
        Kind::VersionMismatch => server.counters.count_version_mismatch(),
        Kind::Malformed | Kind::TooLarge => server.counters.count_malformed_input(),
        _ => (),
    }
    log::warn!("link refused: {e}");
}

/// Converts an error of a connection, and counts it if the peer sent invalid HTTP/2.
fn connection_error(server: &ServerState, e: &h2::Error) -> Error {
    if !e.is_io() && !e.is_remote() {
        server.counters.count_malformed_input();
    }
    Error::new(Kind::Lost, format!("link: {e}"))
}

/// Reads one message, calls the handler and sends its reply.
async fn handle_stream(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    peer: Peer,
    server: Arc<ServerState>,
    _guard: OpenStreamGuard,
) {
    let max = server.cfg.max_message_bytes;
    let mut rx = FrameReader::new(request.into_body(), max);
    let open: OpenFrame = match rx.next().await {
        Ok(Some(open)) => open,
        Ok(None) => {
            server.counters.count_malformed_input();
            return send_refusal(respond, false, "no message in the stream", max).await;
        }
        Err(e) => {
            if matches!(e.kind(), Kind::Malformed | Kind::TooLarge) {
                server.counters.count_malformed_input();
                return send_refusal(respond, false, &e.to_string(), max).await;
            }
            return;
        }
    };
    let Ok(permit) = server.message_permits.clone().try_acquire_owned() else {
        server.counters.count_refused_busy();
        return send_refusal(respond, true, "too many messages at once", max).await;
    };
    let Ok(mut tx) = send_response_head(&mut respond) else { return };
    if open.notify {
        let _ = send_all(&mut tx, end_frame(max), true).await;
        return call_handler(notification_of(open, peer), &server, permit);
    }
    let timeout = Duration::from_millis(open.timeout_ms);
    let cancel = Arc::new(Cancellation::default());
    let (frames_tx, frames) = flume::bounded(server.cfg.stream_queue_frames);
    let inbound = Inbound {
        peer: peer.id,
        version: peer.version,
        message: open.message,
        timeout,
        responder: Responder::new(frames_tx, cancel.clone()),
    };
    call_handler(inbound, &server, permit);
    let deadline = Instant::now() + timeout;
    let ended = timeout_at(deadline, send_reply(tx, &frames, max)).await;
    drop(frames);
    match ended {
        Ok(Ok(())) => cancel.clear_hook(),
        // The hook may block, which an asynchronous task must not.
        _ => drop(spawn_blocking(move || cancel.cancel())),
    }
}

/// Converts a message whose sender expects no reply. Its responder fails to send.
fn notification_of(open: OpenFrame, peer: Peer) -> Inbound {
    let (tx, _) = flume::bounded(0);
    Inbound {
        peer: peer.id,
        version: peer.version,
        message: open.message,
        timeout: Duration::from_millis(open.timeout_ms),
        responder: Responder::new(tx, Arc::default()),
    }
}

fn end_frame(max: usize) -> Bytes {
    encode_frame(&ReplyFrame::End, max).map(BytesMut::freeze).unwrap_or_default()
}

/// Calls the handler, inline or on a thread as configured. The permit is held until it returns.
fn call_handler(inbound: Inbound, server: &Arc<ServerState>, permit: OwnedSemaphorePermit) {
    let handler = server.handler.clone();
    if server.cfg.inline_handler {
        handler(inbound);
        return drop(permit);
    }
    spawn_blocking(move || {
        handler(inbound);
        drop(permit);
    });
}

/// Sends the frames of a reply until the last one, or until the peer cancels. Frames that are
/// ready are combined into one write.
async fn send_reply(
    mut tx: SendStream<Bytes>,
    frames: &flume::Receiver<ReplyFrame>,
    max: usize,
) -> Result<()> {
    loop {
        let first = tokio::select! {
            first = frames.recv_async() => first,
            _ = poll_fn(|cx| tx.poll_reset(cx)) => {
                return Err(Error::new(Kind::Cancelled, "cancelled by the other end"));
            }
        };
        let Ok(first) = first else {
            tx.send_reset(Reason::INTERNAL_ERROR);
            return Ok(());
        };
        let mut buf = BytesMut::new();
        let mut last = append_reply(&mut buf, &first, max)?;
        while !last && buf.len() < BATCH_BYTES {
            let Ok(next) = frames.try_recv() else { break };
            last = append_reply(&mut buf, &next, max)?;
        }
        send_all(&mut tx, buf.freeze(), last).await?;
        if last {
            return Ok(());
        }
    }
}

/// Appends a frame to a buffer, and returns whether it is the last one of the reply.
fn append_reply(buf: &mut BytesMut, frame: &ReplyFrame, max: usize) -> Result<bool> {
    append_frame(buf, &encode(frame)?, max_frame_bytes(max))?;
    Ok(!matches!(frame, ReplyFrame::Content(_)))
}

/// Replies that the message was refused before it was acted on.
async fn send_refusal(
    mut respond: SendResponse<Bytes>,
    overloaded: bool,
    reason: &str,
    max: usize,
) {
    let refused = ReplyFrame::Refused { overloaded, reason: reason.to_owned() };
    let Ok(mut tx) = send_response_head(&mut respond) else { return };
    let Ok(frame) = encode_frame(&refused, max) else { return };
    let _ = send_all(&mut tx, frame.freeze(), true).await;
}

fn send_response_head(respond: &mut SendResponse<Bytes>) -> Result<SendStream<Bytes>> {
    let head = Response::new(());
    respond.send_response(head, false).map_err(|e| Error::new(Kind::Lost, format!("stream: {e}")))
}
