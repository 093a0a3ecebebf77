//! The listening side of links.

use super::{
    config::LinkConfig,
    counters::LinkCounters,
    exchange::{Answer, FrameReader, Open, frame_of, max_frame_bytes, send_all},
    frame::append_frame,
    handshake::{self, MAX_HELLO_BYTES, Peer},
    ping::{self, ActiveStream, Activity},
    responder::{Cancel, Inbound, InboundHandler, Responder},
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

/// Bytes that a stream may have under way before its reader takes them.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 128 << 10;
/// Bytes that a connection may have under way: more than all streams together
/// may, so that a slow reader of one stream never holds back another.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 1 << 30;
/// Room that small frames may take while they wait for their reader. The
/// default of h2 would close a link on which many token streams wait.
pub(crate) const FRAME_BUDGET_BYTES: usize = 256 << 20;
/// Most bytes of frames that are put together in one write.
const BATCH_BYTES: usize = 64 << 10;
/// Pause after a failed accept, as most causes need time to pass.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// What the tasks of the listening side share.
pub(crate) struct Shared {
    pub(crate) cfg: Arc<LinkConfig>,
    pub(crate) counters: Arc<LinkCounters>,
    pub(crate) handler: InboundHandler,
    pub(crate) connections: Arc<Semaphore>,
    pub(crate) inbound: Arc<Semaphore>,
}

/// Accepts connections until the runtime ends.
pub(crate) async fn run(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => admit(stream, &shared),
            Err(e) => {
                log::warn!("link not accepted: {e}");
                sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

fn admit(stream: TcpStream, shared: &Arc<Shared>) {
    let Ok(permit) = shared.connections.clone().try_acquire_owned() else {
        // Closing the connection is the refusal.
        shared.counters.count_refused_busy();
        return;
    };
    let shared = shared.clone();
    tokio::spawn(async move {
        if let Err(e) = serve(stream, &shared).await {
            log::debug!("link ended: {e}");
        }
        drop(permit);
    });
}

async fn serve(stream: TcpStream, shared: &Arc<Shared>) -> Result<()> {
    let deadline = Instant::now() + shared.cfg.connect_timeout;
    let io = |e| Error::io(Kind::Lost, "link", e);
    stream.set_nodelay(true).map_err(io)?;
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .data_frame_budget(FRAME_BUDGET_BYTES)
        .max_concurrent_streams(shared.cfg.max_streams)
        // A burst of cancelled streams is ordinary between daemons.
        .max_concurrent_reset_streams(shared.cfg.max_streams as usize)
        .max_pending_accept_reset_streams(shared.cfg.max_streams as usize)
        .handshake(stream);
    let mut connection = match timeout_at(deadline, handshake).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(e)) => return Err(bad_connection(shared, &e)),
        Err(_) => return Err(Error::new(Kind::Timeout, "no h2 preface in time")),
    };
    let peer = prove(&mut connection, deadline, shared).await?;
    let Some(ping_pong) = connection.ping_pong() else {
        return Err(Error::new(Kind::Lost, "link has no pings"));
    };
    let activity = Activity::default();
    let silent =
        ping::watch(ping_pong, activity.clone(), shared.cfg.clone(), shared.counters.clone());
    tokio::pin!(silent);
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = &mut silent => return Err(Error::new(Kind::Lost, "peer is silent")),
        };
        match accepted {
            Some(Ok((request, respond))) => {
                let active = activity.stream();
                tokio::spawn(answer(request, respond, peer.clone(), shared.clone(), active));
            }
            Some(Err(e)) => return Err(bad_connection(shared, &e)),
            None => return Ok(()),
        }
    }
}

/// Runs the handshake on the first stream, and refuses any other before it ends.
async fn prove(
    connection: &mut Connection<TcpStream, Bytes>,
    deadline: Instant,
    shared: &Arc<Shared>,
) -> Result<Peer> {
    let first = timeout_at(deadline, connection.accept()).await;
    let (request, mut respond) = match first {
        Ok(Some(Ok(first))) => first,
        Ok(Some(Err(e))) => return Err(bad_connection(shared, &e)),
        Ok(None) => return Err(Error::new(Kind::Lost, "link closed before its handshake")),
        Err(_) => return Err(Error::new(Kind::Timeout, "no handshake in time")),
    };
    let mut tx = send_head(&mut respond)?;
    let mut rx = FrameReader::new(request.into_body(), MAX_HELLO_BYTES);
    let done = Arc::new(OnceLock::new());
    let (ended_tx, mut ended) = oneshot::channel();
    let handshake = {
        let (done, cfg) = (done.clone(), shared.cfg.clone());
        async move {
            let result = handshake::accept(&cfg, &mut tx, &mut rx).await;
            let accepted = result.is_ok();
            let _ = done.set(result);
            let _ = ended_tx.send(());
            let _ = handshake::conclude(&mut tx, accepted).await;
            let _ = tx.send_data(Bytes::new(), true);
        }
    };
    tokio::spawn(handshake);
    // The connection moves only while it is polled here.
    loop {
        tokio::select! {
            biased;
            _ = &mut ended => break,
            accepted = timeout_at(deadline, connection.accept()) => match accepted {
                Ok(Some(Ok((_, mut respond)))) => {
                    shared.counters.count_failed_authentication();
                    respond.send_reset(Reason::REFUSED_STREAM);
                }
                Ok(Some(Err(e))) => return Err(bad_connection(shared, &e)),
                Ok(None) => break,
                Err(_) => return Err(Error::new(Kind::Timeout, "no handshake in time")),
            },
        }
    }
    match done.get() {
        Some(Ok(peer)) => Ok(peer.clone()),
        Some(Err(e)) => {
            count_handshake(shared, e);
            // The refusal has to reach the peer before the connection closes.
            connection.graceful_shutdown();
            let _ = timeout_at(deadline, poll_fn(|cx| connection.poll_closed(cx))).await;
            Err(Error::new(e.kind(), e.to_string()))
        }
        None => Err(Error::new(Kind::Lost, "link closed within its handshake")),
    }
}

fn count_handshake(shared: &Shared, e: &Error) {
    match e.kind() {
        Kind::AuthenticationFailed => shared.counters.count_failed_authentication(),
        Kind::VersionMismatch => shared.counters.count_version_mismatch(),
        Kind::Malformed | Kind::TooLarge => shared.counters.count_malformed_input(),
        _ => (),
    }
    log::warn!("link refused: {e}");
}

/// Counts bytes that are no h2.
fn bad_connection(shared: &Shared, e: &h2::Error) -> Error {
    if !e.is_io() && !e.is_remote() {
        shared.counters.count_malformed_input();
    }
    Error::new(Kind::Lost, format!("link: {e}"))
}

/// Reads one message, calls the handler and sends what it answers.
async fn answer(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    peer: Peer,
    shared: Arc<Shared>,
    _active: ActiveStream,
) {
    let max = shared.cfg.max_message_bytes;
    let mut rx = FrameReader::new(request.into_body(), max);
    let open: Open = match rx.next().await {
        Ok(Some(open)) => open,
        Ok(None) => {
            shared.counters.count_malformed_input();
            return refuse(respond, false, "no message in the stream", max).await;
        }
        Err(e) => {
            if matches!(e.kind(), Kind::Malformed | Kind::TooLarge) {
                shared.counters.count_malformed_input();
                return refuse(respond, false, &e.to_string(), max).await;
            }
            return;
        }
    };
    let Ok(permit) = shared.inbound.clone().try_acquire_owned() else {
        shared.counters.count_refused_busy();
        return refuse(respond, true, "too many messages at once", max).await;
    };
    let Ok(mut tx) = send_head(&mut respond) else { return };
    if open.notify {
        let _ = send_all(&mut tx, end_frame(max), true).await;
        return call_handler(notification(open, peer), &shared, permit);
    }
    let timeout = Duration::from_millis(open.timeout_ms);
    let cancel = Arc::new(Cancel::default());
    let (answers_tx, answers) = flume::bounded(shared.cfg.stream_queue_frames);
    let inbound = Inbound {
        peer: peer.id,
        version: peer.version,
        message: open.message,
        timeout,
        responder: Responder::new(answers_tx, cancel.clone()),
    };
    call_handler(inbound, &shared, permit);
    let deadline = Instant::now() + timeout;
    let ended = timeout_at(deadline, send_answers(tx, &answers, max)).await;
    drop(answers);
    match ended {
        Ok(Ok(())) => cancel.disarm(),
        // The hook may wait, which a task must not.
        _ => drop(spawn_blocking(move || cancel.cancel())),
    }
}

/// An inbound message whose sender waits for no answer.
fn notification(open: Open, peer: Peer) -> Inbound {
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
    frame_of(&Answer::End, max).map(BytesMut::freeze).unwrap_or_default()
}

fn call_handler(inbound: Inbound, shared: &Arc<Shared>, permit: OwnedSemaphorePermit) {
    let handler = shared.handler.clone();
    if shared.cfg.inline_handler {
        handler(inbound);
        return drop(permit);
    }
    spawn_blocking(move || {
        handler(inbound);
        drop(permit);
    });
}

/// Sends answers until the last one, or until the other end cancels.
async fn send_answers(
    mut tx: SendStream<Bytes>,
    answers: &flume::Receiver<Answer>,
    max: usize,
) -> Result<()> {
    loop {
        let first = tokio::select! {
            first = answers.recv_async() => first,
            _ = poll_fn(|cx| tx.poll_reset(cx)) => {
                return Err(Error::new(Kind::Cancelled, "cancelled by the other end"));
            }
        };
        let Ok(first) = first else {
            tx.send_reset(Reason::INTERNAL_ERROR);
            return Ok(());
        };
        let mut buf = BytesMut::new();
        let mut last = append(&mut buf, &first, max)?;
        while !last && buf.len() < BATCH_BYTES {
            let Ok(next) = answers.try_recv() else { break };
            last = append(&mut buf, &next, max)?;
        }
        send_all(&mut tx, buf.freeze(), last).await?;
        if last {
            return Ok(());
        }
    }
}

/// Appends an answer, and says whether it is the last one.
fn append(buf: &mut BytesMut, answer: &Answer, max: usize) -> Result<bool> {
    append_frame(buf, &encode(answer)?, max_frame_bytes(max))?;
    Ok(!matches!(answer, Answer::Frame(_)))
}

async fn refuse(mut respond: SendResponse<Bytes>, overloaded: bool, reason: &str, max: usize) {
    let refused = Answer::Refused { overloaded, reason: reason.to_owned() };
    let Ok(mut tx) = send_head(&mut respond) else { return };
    let Ok(frame) = frame_of(&refused, max) else { return };
    let _ = send_all(&mut tx, frame.freeze(), true).await;
}

fn send_head(respond: &mut SendResponse<Bytes>) -> Result<SendStream<Bytes>> {
    let head = Response::new(());
    respond.send_response(head, false).map_err(|e| Error::new(Kind::Lost, format!("stream: {e}")))
}
