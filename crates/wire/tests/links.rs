//! Links between daemons: requests, streams, authentication, and failures of the connection.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};
use wire::{
    Error, Inbound, InboundHandler, LinkConfig, LinkFailureKind, Links, Message, PassFailure,
    RegionSecret, Result, Verdict,
};

/// Longest wait for an event that a test expects. It passes only if the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn config(id: &str) -> LinkConfig {
    let secret = RegionSecret::new("secret of the test region").expect("secret");
    let mut cfg = LinkConfig::new(id.to_owned(), SocketAddr::from(([127, 0, 0, 1], 0)), secret);
    cfg.min_backoff = Duration::from_millis(1);
    cfg.max_backoff = Duration::from_millis(5);
    cfg
}

fn start(cfg: LinkConfig, handler: impl Fn(Inbound) + Send + Sync + 'static) -> Links {
    Links::start(cfg, Arc::new(handler) as InboundHandler).expect("start")
}

fn client() -> Links {
    start(config("client"), drop)
}

fn echo(inbound: Inbound) {
    let _ = inbound.responder.reply(inbound.message.body);
}

fn message(body: &[u8]) -> Message {
    Message { service: "test".to_owned(), body: body.to_vec() }
}

fn request(links: &Links, peer: SocketAddr) -> Result<Vec<u8>> {
    links.request(peer, message(b"hello"), TEST_TIMEOUT)
}

/// Waits until `done` returns true; fails with `what` after [`TEST_TIMEOUT`].
fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(started.elapsed() < TEST_TIMEOUT, "{what}");
        thread::yield_now();
    }
}

/// The handler sees the name of the authenticated sender and the service of the message.
#[test]
fn request_carries_sender_and_service() {
    let server = start(config("server"), |inbound| {
        let text = format!("{} {}", inbound.peer, inbound.message.service);
        let _ = inbound.responder.reply(text);
    });
    assert_eq!(request(&client(), server.address()).expect("reply"), b"client test");
}

/// A body far larger than the flow-control window of a stream must not stall or be cut.
#[test]
fn large_message_arrives_intact_in_both_directions() {
    let server = start(config("server"), echo);
    let body: Vec<u8> = (0..5_000_000_u32).map(|i| i as u8).collect();
    let reply = client().request(server.address(), message(&body), TEST_TIMEOUT).expect("reply");
    assert!(reply == body);
}

/// Without flow control from reader to handler, a slow reader would make the daemon buffer a whole
/// reply in memory.
#[test]
fn slow_reader_slows_the_sender() {
    const FRAMES: u64 = 300;
    const FRAME_BYTES: usize = 64 << 10;
    /// Frames in both queues, one write batch and the stream window, and a few being passed on.
    const MAX_FRAMES_IN_FLIGHT: u64 = 24;
    let mut cfg = config("server");
    cfg.stream_queue_frames = 4;
    let sent = Arc::new(AtomicU64::new(0));
    let sent_by_handler = sent.clone();
    let server = start(cfg, move |inbound| {
        for _ in 0..FRAMES {
            let _ = inbound.responder.send(vec![7; FRAME_BYTES]);
            sent_by_handler.fetch_add(1, Ordering::SeqCst);
        }
        let _ = inbound.responder.finish();
    });
    let mut cfg = config("client");
    cfg.stream_queue_frames = 4;
    let client = start(cfg, drop);
    let mut stream =
        client.open_stream(server.address(), message(b""), TEST_TIMEOUT).expect("open");
    wait_for("frames", || sent.load(Ordering::SeqCst) > 4);
    let mut received = 0;
    while stream.recv(TEST_TIMEOUT).expect("frame").is_some() {
        received += 1;
        let ahead = sent.load(Ordering::SeqCst).saturating_sub(received);
        assert!(ahead <= MAX_FRAMES_IN_FLIGHT, "{ahead} frames ahead of the reader");
    }
    assert_eq!(received, FRAMES);
}

/// A handler must learn that the reader of its reply is gone, or it works on for nobody.
#[test]
fn dropped_stream_cancels_at_the_peer() {
    let (tx, cancelled) = flume::bounded(1);
    let (keep_tx, keep) = flume::bounded(1);
    let server = start(config("server"), move |inbound| {
        let tx = tx.clone();
        inbound.responder.on_cancel(move || {
            let _ = tx.send(());
        });
        let _ = inbound.responder.send("first");
        let _ = keep_tx.send(inbound);
    });
    let client = client();
    let stream_timeout = 10 * TEST_TIMEOUT;
    let mut stream =
        client.open_stream(server.address(), message(b""), stream_timeout).expect("open");
    assert_eq!(stream.recv(TEST_TIMEOUT).expect("frame").as_deref(), Some(&b"first"[..]));
    drop(stream);
    cancelled.recv_timeout(TEST_TIMEOUT).expect("cancelled");
    let inbound = keep.recv_timeout(TEST_TIMEOUT).expect("inbound");
    assert!(inbound.responder.is_cancelled());
    assert!(inbound.responder.send("late").is_err_and(|e| e.is_cancelled()));
}

/// A handler that drops its responder midway must not make a partial reply look complete.
#[test]
fn unfinished_reply_is_an_error() {
    let server = start(config("server"), |inbound| {
        let _ = inbound.responder.send("half");
    });
    let client = client();
    let mut stream =
        client.open_stream(server.address(), message(b""), TEST_TIMEOUT).expect("open");
    let mut last = stream.recv(TEST_TIMEOUT);
    while let Ok(Some(_)) = last {
        last = stream.recv(TEST_TIMEOUT);
    }
    let e = last.expect_err("cut");
    assert!(e.is_lost() && e.verdict() == Verdict::MayHaveRun, "{e}");
}

/// Stopping the links of the reader must not make a partial reply look complete.
#[test]
fn reply_cut_by_stop_is_an_error() {
    let (keep_tx, keep) = flume::bounded(1);
    let server = start(config("server"), move |inbound| {
        let _ = inbound.responder.send("half");
        let _ = keep_tx.send(inbound);
    });
    let client = client();
    let mut stream =
        client.open_stream(server.address(), message(b""), TEST_TIMEOUT).expect("open");
    assert_eq!(stream.recv(TEST_TIMEOUT).expect("frame").as_deref(), Some(&b"half"[..]));
    client.stop();
    assert!(stream.recv(TEST_TIMEOUT).is_err_and(|e| e.is_lost()));
    drop(keep);
}

/// A refused message was not acted on, so its sender may send it elsewhere.
#[test]
fn refusal_has_verdict_not_run() {
    let server = start(config("server"), |inbound| {
        let _ = inbound.responder.refuse("no such service");
    });
    let e = request(&client(), server.address()).expect_err("refused");
    assert!(e.is_refused() && e.verdict() == Verdict::NotRun, "{e}");
    assert!(e.to_string().contains("no such service"), "{e}");
}

/// At the limit on concurrent messages, a further one is refused and counted, and those being
/// handled complete.
#[test]
fn message_above_the_limit_is_refused_as_overloaded() {
    let mut cfg = config("server");
    cfg.max_inbound_messages = 1;
    let (entered_tx, entered) = flume::bounded(1);
    let (release, released) = flume::bounded::<()>(0);
    let server = start(cfg, move |inbound| {
        let _ = entered_tx.send(());
        let _ = released.recv();
        echo(inbound);
    });
    let client = client();
    let mut first =
        client.open_stream(server.address(), message(b"a"), TEST_TIMEOUT).expect("open");
    entered.recv_timeout(TEST_TIMEOUT).expect("entered");
    let e = request(&client, server.address()).expect_err("refused");
    assert!(e.is_overloaded() && e.verdict() == Verdict::NotRun, "{e}");
    assert_eq!(server.counters().refused_busy(), 1);
    drop(release);
    assert_eq!(first.recv(TEST_TIMEOUT).expect("frame").as_deref(), Some(&b"a"[..]));
}

/// A daemon of another region must not reach the handler.
#[test]
fn peer_with_another_secret_is_refused() {
    let (tx, seen) = flume::unbounded();
    let server = start(config("server"), move |inbound| {
        let _ = tx.send(inbound);
    });
    let mut cfg = config("client");
    cfg.secret = RegionSecret::new("secret of another region").expect("secret");
    let e = request(&start(cfg, drop), server.address()).expect_err("refused");
    assert!(e.is_authentication_failure() && e.verdict() == Verdict::NotRun, "{e}");
    assert!(seen.is_empty(), "the handler received a message of an unauthenticated peer");
}

/// During an upgrade, daemons of different versions must agree on a version or report the mismatch.
#[test]
fn highest_common_version_is_used_or_link_is_refused() {
    let mut cfg = config("server");
    cfg.versions = 2..=3;
    let server = start(cfg, |inbound| {
        let _ = inbound.responder.reply(inbound.version.to_le_bytes());
    });
    let with = |versions| {
        let mut cfg = config("client");
        cfg.versions = versions;
        request(&start(cfg, drop), server.address())
    };
    assert_eq!(with(1..=2).expect("old"), 2_u32.to_le_bytes());
    assert_eq!(with(1..=3).expect("wide"), 3_u32.to_le_bytes());
    assert_eq!(with(3..=4).expect("new"), 3_u32.to_le_bytes());
    let e = with(4..=5).expect_err("too new");
    assert!(e.is_version_mismatch() && e.to_string().contains("2..=3"), "{e}");
    wait_for("version mismatch counted", || server.counters().version_mismatches() == 1);
}

/// A connection that does not use HTTP/2 must not disturb the listener.
#[test]
fn invalid_bytes_are_counted_and_other_links_keep_working() {
    let server = start(config("server"), echo);
    let mut stream = TcpStream::connect(server.address()).expect("connect");
    stream.write_all(&[0xff; 4096]).expect("garbage");
    wait_for("garbage counted", || server.counters().malformed_inputs() == 1);
    assert_eq!(request(&client(), server.address()).expect("reply"), b"hello");
}

/// Sends frames on the first stream of a connection, and waits until the server closes the
/// connection.
fn send_first(address: SocketAddr, payloads: &[&[u8]]) {
    let mut frames = Vec::new();
    for payload in payloads {
        frames.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        frames.extend_from_slice(payload);
    }
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    runtime.block_on(async {
        let stream = tokio::net::TcpStream::connect(address).await.expect("connect");
        let (send, connection) = h2::client::handshake(stream).await.expect("h2");
        let driver = tokio::spawn(connection);
        let mut send = send.ready().await.expect("ready");
        let request = http::Request::post("http://link/").body(()).expect("request");
        let (response, mut body) = send.send_request(request, false).expect("stream");
        body.send_data(bytes::Bytes::from(frames), false).expect("frame");
        let _ = driver.await;
        drop(response);
    });
}

/// A connection that skips the handshake must not reach the handler.
#[test]
fn message_before_the_handshake_is_ignored() {
    let (tx, seen) = flume::unbounded();
    let mut cfg = config("server");
    cfg.handshake_timeout = Duration::from_millis(200);
    let server = start(cfg, move |inbound| {
        let _ = tx.send(inbound);
    });
    send_first(server.address(), &[&[0xee; 40]]);
    wait_for("bad hello counted", || server.counters().malformed_inputs() == 1);
    assert!(seen.is_empty());
}

/// A client that does not know the secret can send a valid hello, but no valid proof.
#[test]
fn forged_proof_is_refused() {
    let (tx, seen) = flume::unbounded();
    let server = start(config("server"), move |inbound| {
        let _ = tx.send(inbound);
    });
    // Encoding of the client hello: name, lowest and highest version, nonce.
    let hello = wire::encode(&("intruder".to_owned(), 1_u32, 1_u32, [7_u8; 32])).expect("hello");
    let proof = [0_u8; 32];
    send_first(server.address(), &[&hello, &proof]);
    wait_for("forged proof counted", || server.counters().failed_authentications() == 1);
    assert!(seen.is_empty());
}

/// Server that completes handshakes with a forged proof.
async fn impersonate_server(listener: tokio::net::TcpListener) {
    let (stream, _) = listener.accept().await.expect("accept");
    let mut connection = h2::server::handshake(stream).await.expect("h2");
    let mut open_streams = Vec::new();
    while let Some(Ok((request, mut respond))) = connection.accept().await {
        let mut body = respond.send_response(http::Response::new(()), false).expect("head");
        // Encoding of the server hello: variant, name, version, nonce, proof.
        let hello = (0_u8, "server".to_owned(), 1_u32, [7_u8; 32], [0_u8; 32]);
        let hello = wire::encode(&hello).expect("hello");
        for payload in [hello.as_slice(), &[0]] {
            let mut frame = (payload.len() as u32).to_le_bytes().to_vec();
            frame.extend_from_slice(payload);
            body.send_data(frame.into(), false).expect("frame");
        }
        open_streams.push((request, body));
    }
}

/// A server that does not know the secret must be detected even if it accepts every client, since
/// messages carry the requests of callers.
#[test]
fn server_with_forged_proof_receives_no_message() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).expect("listen");
    let address = listener.local_addr().expect("address");
    runtime.spawn(impersonate_server(listener));
    let e = request(&client(), address).expect_err("refused");
    assert!(e.is_authentication_failure(), "{e}");
}

/// A message above the size limit of the receiver is refused, and the connection stays usable.
#[test]
fn oversized_message_is_refused() {
    let mut cfg = config("server");
    cfg.max_message_bytes = 1000;
    let server = start(cfg, echo);
    let client = client();
    let body = vec![0; 5000];
    let e = client.request(server.address(), message(&body), TEST_TIMEOUT).expect_err("refused");
    assert!(e.is_refused(), "{e}");
    assert_eq!(server.counters().malformed_inputs(), 1);
    assert_eq!(request(&client, server.address()).expect("reply"), b"hello");
}

/// The sender of a notification gets no error, so the counter is the only trace of a lost one.
#[test]
fn notification_is_delivered_or_counted_as_dropped() {
    let (tx, seen) = flume::unbounded();
    let server = start(config("server"), move |inbound| {
        let _ = tx.send(inbound.message.body);
    });
    let client = client();
    client.notify(server.address(), message(b"notification"));
    assert_eq!(seen.recv_timeout(TEST_TIMEOUT).expect("notification"), b"notification");
    let unused = TcpListener::bind("127.0.0.1:0").expect("port").local_addr().expect("address");
    client.notify(unused, message(b"to no daemon"));
    wait_for("drop counted", || client.counters().dropped_notifications() == 1);
}

/// After a peer stops, requests report it as unreachable; after it restarts on the same address, a
/// new connection is made.
#[test]
fn restarted_peer_is_reconnected() {
    let server = start(config("server"), echo);
    let address = server.address();
    let client = client();
    request(&client, address).expect("before");
    server.stop();
    // A request may still be sent on the old connection, and is lost with it.
    wait_for("connection refused", || {
        let e = request(&client, address).expect_err("stopped");
        assert!(e.is_lost() || e.verdict() == Verdict::NotRun, "{e}");
        e.is_unreachable()
    });
    let mut cfg = config("server");
    cfg.listen = address;
    let _server = start(cfg, echo);
    wait_for("reached again", || request(&client, address).is_ok());
}

/// Proxy that forwards bytes to and from a server. Once the returned flag is set, the first
/// connection discards all bytes; later connections keep forwarding.
fn start_proxy(server: SocketAddr) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
    let address = listener.local_addr().expect("address");
    let discard = Arc::new(AtomicBool::new(false));
    let mut first = Some(discard.clone());
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let server = TcpStream::connect(server).expect("connect");
            let discard = first.take().unwrap_or_default();
            for (from, to) in [(&client, &server), (&server, &client)] {
                let (from, to) = (from.try_clone().expect("clone"), to.try_clone().expect("clone"));
                let discard = discard.clone();
                thread::spawn(move || forward(from, to, &discard));
            }
        }
    });
    (address, discard)
}

fn forward(mut from: TcpStream, mut to: TcpStream, discard: &AtomicBool) {
    let mut buf = [0; 4096];
    while let Ok(n) = from.read(&mut buf) {
        let forwards = !discard.load(Ordering::SeqCst);
        if n == 0 || (forwards && to.write_all(&buf[..n]).is_err()) {
            break;
        }
    }
}

/// When the network drops all packets without closing the connection, pings detect it: the pending
/// request fails, and the next one uses a new connection.
#[test]
fn unresponsive_link_is_replaced() {
    let server = start(config("server"), echo);
    let (address, discard) = start_proxy(server.address());
    let mut cfg = config("client");
    cfg.ping_interval = Duration::from_millis(20);
    cfg.ping_timeout = Duration::from_millis(500);
    let client = start(cfg, drop);
    request(&client, address).expect("before");
    discard.store(true, Ordering::SeqCst);
    let e = request(&client, address).expect_err("silent");
    assert!(e.is_lost() && e.verdict() == Verdict::MayHaveRun, "{e}");
    assert_eq!(client.counters().ping_timeouts(), 1);
    assert_eq!(request(&client, address).expect("new connection"), b"hello");
}

/// Either end may be the one that lost its peer, so both have to ping while a reply is pending.
#[test]
fn both_ends_ping_a_link_with_open_streams() {
    let (keep_tx, keep) = flume::bounded(1);
    let mut cfg = config("server");
    cfg.ping_interval = Duration::from_millis(1);
    cfg.idle_ping_interval = 100 * TEST_TIMEOUT;
    let server = start(cfg, move |inbound| {
        let _ = keep_tx.send(inbound);
    });
    let mut cfg = config("client");
    cfg.ping_interval = Duration::from_millis(1);
    cfg.idle_ping_interval = 100 * TEST_TIMEOUT;
    let client = start(cfg, drop);
    let stream = client.open_stream(server.address(), message(b""), TEST_TIMEOUT).expect("open");
    let inbound = keep.recv_timeout(TEST_TIMEOUT).expect("inbound");
    wait_for("pings", || client.counters().pings() > 1 && server.counters().pings() > 1);
    drop((inbound, stream));
}

/// A link that is never pinged while idle would keep a lost peer unnoticed until its next use.
#[test]
fn idle_link_is_pinged_at_its_own_interval() {
    let server = start(config("server"), echo);
    let mut cfg = config("client");
    cfg.ping_interval = Duration::from_millis(1);
    cfg.idle_ping_interval = Duration::from_millis(3);
    let client = start(cfg, drop);
    request(&client, server.address()).expect("reply");
    let before = client.counters().pings();
    wait_for("pings", || client.counters().pings() > before + 2);
}

/// Without eviction, a daemon would keep a connection to every address that it ever contacted.
#[test]
fn unused_links_are_closed_above_the_peer_limit() {
    let servers = [start(config("a"), echo), start(config("b"), echo), start(config("c"), echo)];
    let mut cfg = config("client");
    cfg.max_peers = 2;
    let client = start(cfg, drop);
    for server in servers.iter().chain(&servers) {
        request(&client, server.address()).expect("reply");
    }
    // A request may hold its link slightly longer than its caller waits.
    wait_for("links closed", || {
        servers.iter().for_each(|s| drop(request(&client, s.address())));
        client.peer_count() <= 2
    });
}

/// A peer that accepts connections but never responds must fail requests at the handshake timeout,
/// with the verdict that it did not run.
#[test]
fn peer_that_never_completes_the_handshake_is_unreachable() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("listen");
    let mut cfg = config("client");
    cfg.handshake_timeout = Duration::from_millis(50);
    cfg.connect_attempts = 2;
    let client = start(cfg, drop);
    let e = request(&client, silent.local_addr().expect("address")).expect_err("silent");
    assert!(e.is_unreachable() && e.verdict() == Verdict::NotRun, "{e}");
    assert!(e.to_string().contains("no handshake in time"), "{e}");
}

/// Why a peer wasn't reached could be told only from a line that was logged once for each attempt.
#[test]
fn the_last_failure_to_connect_is_known_until_the_peer_is_reached() {
    let mut cfg = config("client");
    cfg.handshake_timeout = Duration::from_millis(50);
    cfg.connect_attempts = 1;
    let client = start(cfg, drop);
    let kind_after_request = |peer| {
        let e = request(&client, peer).expect_err("unreachable");
        assert!(e.is_unreachable(), "{e}");
        client.last_failure(peer).map(|failure| failure.kind)
    };
    let silent = TcpListener::bind("127.0.0.1:0").expect("listen");
    let peer = silent.local_addr().expect("address");
    assert_eq!(client.last_failure(peer), None);
    assert_eq!(kind_after_request(peer), Some(LinkFailureKind::NoHandshake));
    drop(silent);
    wait_for("the listener is gone", || kind_after_request(peer) == Some(LinkFailureKind::Refused));
    let mut cfg = config("server");
    cfg.listen = peer;
    let _server = start(cfg, echo);
    wait_for("the peer is reached", || request(&client, peer).is_ok());
    assert_eq!(client.last_failure(peer), None);
}

/// Both ends run on one thread: a blocking call in either would stall this test.
#[test]
fn attached_links_use_the_runtime_of_the_caller() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let reply = runtime.block_on(async {
        let secret = RegionSecret::new("a secret of this test").unwrap();
        let config = |id: &str| {
            let address = "127.0.0.1:0".parse().unwrap();
            let mut cfg = LinkConfig::new(id.to_owned(), address, secret.clone());
            cfg.inline_handler = true;
            cfg
        };
        let reverse = |inbound: Inbound| {
            let body = inbound.message.body.into_iter().rev().collect::<Vec<u8>>();
            let _ = inbound.responder.reply(body);
        };
        let server = Links::attach(config("a"), Arc::new(reverse)).await.unwrap();
        let client = Links::attach(config("b"), Arc::new(|_| ())).await.unwrap();
        let message = Message { service: "reverse".to_owned(), body: b"abc".to_vec() };
        client.request_async(server.address(), message, Duration::from_secs(10)).await
    });
    assert_eq!(reply.unwrap(), b"cba");
}

/// Forwards connections to `target`. All that is sent in either direction arrives after `delay`, as on a long path:
/// bytes that follow others at once do not wait for them. Returns the address of the proxy.
fn delaying_proxy(target: SocketAddr, delay: Duration) -> SocketAddr {
    fn forward(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
        let (tx, rx) = mpsc::channel::<(Instant, Vec<u8>)>();
        thread::spawn(move || {
            for (due, bytes) in rx {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                if to.write_all(&bytes).is_err() {
                    break;
                }
            }
            let _ = to.shutdown(Shutdown::Both);
        });
        let mut buf = [0; 4096];
        while let Ok(n @ 1..) = from.read(&mut buf) {
            if tx.send((Instant::now() + delay, buf[..n].to_vec())).is_err() {
                break;
            }
        }
    }
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for inbound in listener.incoming().flatten() {
            let outbound = TcpStream::connect(target).expect("connected");
            let reverse =
                (outbound.try_clone().expect("a copy"), inbound.try_clone().expect("a copy"));
            thread::spawn(move || forward(inbound, outbound, delay));
            thread::spawn(move || forward(reverse.0, reverse.1, delay));
        }
    });
    address
}

/// A busy peer needs longer for the handshake than a request waits. If each request gave up the
/// attempt that it had begun, there would never be a link to that peer.
#[test]
fn a_link_is_established_although_requests_wait_less_than_the_handshake_takes() {
    const DELAY: Duration = Duration::from_millis(100);
    /// Less than the four delays of the handshake, more than the two of a request.
    const REQUEST_TIMEOUT: Duration = Duration::from_millis(350);
    let server = start(config("server"), echo);
    let peer = delaying_proxy(server.address(), DELAY);
    let client = client();
    let first = client.request(peer, message(b"hello"), REQUEST_TIMEOUT);
    assert!(first.is_err(), "the handshake takes longer");
    wait_for("a reply", || client.request(peer, message(b"hello"), REQUEST_TIMEOUT).is_ok());
}

/// Guards against a message that is sent again although its receiver may have acted on it, or isn't although the receiver
/// has refused it, as the daemon that passed it on tells it wrongly.
#[test]
fn failures_that_another_daemon_reports_keep_their_verdict() {
    for (failure, verdict) in [
        (PassFailure::NotSent, Verdict::NotRun),
        (PassFailure::Refused, Verdict::NotRun),
        (PassFailure::Unanswered, Verdict::MayHaveRun),
    ] {
        let err = Error::passed_on(failure, "by another one");
        assert_eq!((err.pass_failure(), err.verdict()), (failure, verdict));
        assert_eq!(err.is_refused(), failure == PassFailure::Refused);
    }
}

/// Guards against a peer that gets no messages while it isn't reached, and so is never found to be reached again.
#[test]
fn a_peer_is_found_to_be_reached_again_without_a_message() {
    let server = start(config("server"), echo);
    let address = server.address();
    server.stop();
    let client = client();
    assert!(client.request(address, message(b"hello"), TEST_TIMEOUT).is_err());
    assert!(client.last_failure(address).is_some());
    let mut cfg = config("server");
    cfg.listen = address;
    let _server = start(cfg, echo);
    wait_for("a link", || {
        client.reconnect(address);
        client.last_failure(address).is_none()
    });
}
