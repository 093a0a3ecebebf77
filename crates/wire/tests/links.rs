//! Links between daemons, and how they fail.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use wire::{Inbound, InboundHandler, LinkConfig, Links, Message, RegionSecret, Result, Verdict};

/// Longest wait for an event that a test expects. Reached only by a failure.
const PATIENCE: Duration = Duration::from_secs(20);

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
    links.request(peer, message(b"hello"), PATIENCE)
}

/// Waits for something that is known to come.
fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(started.elapsed() < PATIENCE, "{what}");
        thread::yield_now();
    }
}

#[test]
fn a_request_is_answered_by_the_named_peer() {
    let server = start(config("server"), |inbound| {
        let text = format!("{} {}", inbound.peer, inbound.message.service);
        let _ = inbound.responder.reply(text);
    });
    assert_eq!(request(&client(), server.address()).expect("answer"), b"client test");
}

#[test]
fn a_large_message_passes_both_ways() {
    let server = start(config("server"), echo);
    let body: Vec<u8> = (0..5_000_000_u32).map(|i| i as u8).collect();
    let answer = client().request(server.address(), message(&body), PATIENCE).expect("answer");
    assert!(answer == body);
}

#[test]
fn a_slow_reader_holds_back_the_sender() {
    const FRAMES: u64 = 300;
    const FRAME_BYTES: usize = 64 << 10;
    /// Frames in both queues, one batch, the stream window, and a few in hands.
    const UNDER_WAY: u64 = 24;
    let mut cfg = config("server");
    cfg.stream_queue_frames = 4;
    let sent = Arc::new(AtomicU64::new(0));
    let counting = sent.clone();
    let server = start(cfg, move |inbound| {
        for _ in 0..FRAMES {
            let _ = inbound.responder.send(vec![7; FRAME_BYTES]);
            counting.fetch_add(1, Ordering::SeqCst);
        }
        let _ = inbound.responder.finish();
    });
    let mut cfg = config("client");
    cfg.stream_queue_frames = 4;
    let client = start(cfg, drop);
    let mut stream = client.open_stream(server.address(), message(b""), PATIENCE).expect("open");
    wait_for("frames", || sent.load(Ordering::SeqCst) > 4);
    let mut received = 0;
    while stream.recv(PATIENCE).expect("frame").is_some() {
        received += 1;
        let ahead = sent.load(Ordering::SeqCst).saturating_sub(received);
        assert!(ahead <= UNDER_WAY, "{ahead} frames ahead of the reader");
    }
    assert_eq!(received, FRAMES);
}

#[test]
fn a_dropped_stream_cancels_the_other_end() {
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
    let whole = 10 * PATIENCE;
    let mut stream = client.open_stream(server.address(), message(b""), whole).expect("open");
    assert_eq!(stream.recv(PATIENCE).expect("frame").as_deref(), Some(&b"first"[..]));
    drop(stream);
    cancelled.recv_timeout(PATIENCE).expect("cancelled");
    let inbound = keep.recv_timeout(PATIENCE).expect("inbound");
    assert!(inbound.responder.is_cancelled());
    assert!(inbound.responder.send("late").is_err_and(|e| e.is_cancelled()));
}

#[test]
fn an_unfinished_answer_is_an_error() {
    let server = start(config("server"), |inbound| {
        let _ = inbound.responder.send("half");
    });
    let client = client();
    let mut stream = client.open_stream(server.address(), message(b""), PATIENCE).expect("open");
    let mut last = stream.recv(PATIENCE);
    while let Ok(Some(_)) = last {
        last = stream.recv(PATIENCE);
    }
    let e = last.expect_err("cut");
    assert!(e.is_lost() && e.verdict() == Verdict::MayHaveRun, "{e}");
}

#[test]
fn an_answer_cut_by_a_stop_is_an_error() {
    let (keep_tx, keep) = flume::bounded(1);
    let server = start(config("server"), move |inbound| {
        let _ = inbound.responder.send("half");
        let _ = keep_tx.send(inbound);
    });
    let client = client();
    let mut stream = client.open_stream(server.address(), message(b""), PATIENCE).expect("open");
    assert_eq!(stream.recv(PATIENCE).expect("frame").as_deref(), Some(&b"half"[..]));
    client.stop();
    assert!(stream.recv(PATIENCE).is_err_and(|e| e.is_lost()));
    drop(keep);
}

#[test]
fn a_refusal_says_not_run() {
    let server = start(config("server"), |inbound| {
        let _ = inbound.responder.refuse("no such service");
    });
    let e = request(&client(), server.address()).expect_err("refused");
    assert!(e.is_refused() && e.verdict() == Verdict::NotRun, "{e}");
    assert!(e.to_string().contains("no such service"), "{e}");
}

#[test]
fn one_message_too_many_is_refused() {
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
    let mut first = client.open_stream(server.address(), message(b"a"), PATIENCE).expect("open");
    entered.recv_timeout(PATIENCE).expect("entered");
    let e = request(&client, server.address()).expect_err("refused");
    assert!(e.is_overloaded() && e.verdict() == Verdict::NotRun, "{e}");
    assert_eq!(server.counters().refused_busy(), 1);
    drop(release);
    assert_eq!(first.recv(PATIENCE).expect("frame").as_deref(), Some(&b"a"[..]));
}

#[test]
fn a_peer_with_another_secret_is_refused() {
    let (tx, seen) = flume::unbounded();
    let server = start(config("server"), move |inbound| {
        let _ = tx.send(inbound);
    });
    let mut cfg = config("client");
    cfg.secret = RegionSecret::new("secret of another region").expect("secret");
    let e = request(&start(cfg, drop), server.address()).expect_err("refused");
    assert!(e.is_authentication_failure() && e.verdict() == Verdict::NotRun, "{e}");
    assert!(seen.is_empty(), "the handler saw a message of an unproven peer");
}

#[test]
fn versions_overlap_or_the_link_is_refused() {
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
    wait_for("mismatch counted", || server.counters().version_mismatches() == 1);
}

#[test]
fn bad_bytes_are_counted_and_harm_no_one() {
    let server = start(config("server"), echo);
    let mut stream = TcpStream::connect(server.address()).expect("connect");
    stream.write_all(&[0xff; 4096]).expect("garbage");
    wait_for("garbage counted", || server.counters().malformed_inputs() == 1);
    assert_eq!(request(&client(), server.address()).expect("answer"), b"hello");
}

/// Sends frames in the first stream of a connection, and waits until the
/// server closes it.
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

#[test]
fn a_message_before_the_handshake_is_not_heard() {
    let (tx, seen) = flume::unbounded();
    let mut cfg = config("server");
    cfg.connect_timeout = Duration::from_millis(200);
    let server = start(cfg, move |inbound| {
        let _ = tx.send(inbound);
    });
    send_first(server.address(), &[&[0xee; 40]]);
    wait_for("bad hello counted", || server.counters().malformed_inputs() == 1);
    assert!(seen.is_empty());
}

#[test]
fn a_false_proof_is_refused() {
    let (tx, seen) = flume::unbounded();
    let server = start(config("server"), move |inbound| {
        let _ = tx.send(inbound);
    });
    // As the handshake encodes them: name, lowest and highest version, nonce.
    let hello = wire::encode(&("intruder".to_owned(), 1_u32, 1_u32, [7_u8; 32])).expect("hello");
    let proof = [0_u8; 32];
    send_first(server.address(), &[&hello, &proof]);
    wait_for("false proof counted", || server.counters().failed_authentications() == 1);
    assert!(seen.is_empty());
}

/// Answers any handshake with a proof that it can't have made.
async fn impostor(listener: tokio::net::TcpListener) {
    let (stream, _) = listener.accept().await.expect("accept");
    let mut connection = h2::server::handshake(stream).await.expect("h2");
    let mut open = Vec::new();
    while let Some(Ok((request, mut respond))) = connection.accept().await {
        let mut body = respond.send_response(http::Response::new(()), false).expect("head");
        // As the handshake encodes them: variant, name, version, nonce, proof.
        let hello = (0_u8, "server".to_owned(), 1_u32, [7_u8; 32], [0_u8; 32]);
        let hello = wire::encode(&hello).expect("hello");
        for payload in [hello.as_slice(), &[0]] {
            let mut frame = (payload.len() as u32).to_le_bytes().to_vec();
            frame.extend_from_slice(payload);
            body.send_data(frame.into(), false).expect("frame");
        }
        open.push((request, body));
    }
}

#[test]
fn an_impostor_gets_no_message() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).expect("listen");
    let address = listener.local_addr().expect("address");
    runtime.spawn(impostor(listener));
    let e = request(&client(), address).expect_err("refused");
    assert!(e.is_authentication_failure(), "{e}");
}

#[test]
fn a_message_over_the_limit_is_refused() {
    let mut cfg = config("server");
    cfg.max_message_bytes = 1000;
    let server = start(cfg, echo);
    let client = client();
    let body = vec![0; 5000];
    let e = client.request(server.address(), message(&body), PATIENCE).expect_err("refused");
    assert!(e.is_refused(), "{e}");
    assert_eq!(server.counters().malformed_inputs(), 1);
    assert_eq!(request(&client, server.address()).expect("answer"), b"hello");
}

#[test]
fn a_notification_arrives_or_is_counted() {
    let (tx, seen) = flume::unbounded();
    let server = start(config("server"), move |inbound| {
        let _ = tx.send(inbound.message.body);
    });
    let client = client();
    client.notify(server.address(), message(b"news"));
    assert_eq!(seen.recv_timeout(PATIENCE).expect("news"), b"news");
    let unused = TcpListener::bind("127.0.0.1:0").expect("port").local_addr().expect("address");
    client.notify(unused, message(b"lost"));
    wait_for("drop counted", || client.counters().dropped_notifications() == 1);
}

#[test]
fn a_peer_that_restarts_is_reached_again() {
    let server = start(config("server"), echo);
    let address = server.address();
    let client = client();
    request(&client, address).expect("before");
    server.stop();
    // A request may still go out on the old connection, and is lost with it.
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

/// Passes bytes to and from a server. The first connection falls silent when
/// the switch is set; later ones pass on.
fn relay(server: SocketAddr) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
    let address = listener.local_addr().expect("address");
    let switch = Arc::new(AtomicBool::new(false));
    let mut first = Some(switch.clone());
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let server = TcpStream::connect(server).expect("connect");
            let silent = first.take().unwrap_or_default();
            for (from, to) in [(&client, &server), (&server, &client)] {
                let (from, to) = (from.try_clone().expect("clone"), to.try_clone().expect("clone"));
                let silent = silent.clone();
                thread::spawn(move || pass(from, to, &silent));
            }
        }
    });
    (address, switch)
}

fn pass(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut buf = [0; 4096];
    while let Ok(n) = from.read(&mut buf) {
        let passing = !silent.load(Ordering::SeqCst);
        if n == 0 || (passing && to.write_all(&buf[..n]).is_err()) {
            break;
        }
    }
}

#[test]
fn a_silent_link_is_lost_and_a_new_one_is_made() {
    let server = start(config("server"), echo);
    let (address, silent) = relay(server.address());
    let mut cfg = config("client");
    cfg.ping_interval = Duration::from_millis(20);
    cfg.ping_timeout = Duration::from_millis(500);
    let client = start(cfg, drop);
    request(&client, address).expect("before");
    silent.store(true, Ordering::SeqCst);
    let e = request(&client, address).expect_err("silent");
    assert!(e.is_lost() && e.verdict() == Verdict::MayHaveRun, "{e}");
    assert_eq!(client.counters().ping_timeouts(), 1);
    assert_eq!(request(&client, address).expect("new connection"), b"hello");
}

#[test]
fn a_link_with_open_streams_is_pinged_by_both_ends() {
    let (keep_tx, keep) = flume::bounded(1);
    let mut cfg = config("server");
    cfg.ping_interval = Duration::from_millis(1);
    cfg.idle_ping_interval = 100 * PATIENCE;
    let server = start(cfg, move |inbound| {
        let _ = keep_tx.send(inbound);
    });
    let mut cfg = config("client");
    cfg.ping_interval = Duration::from_millis(1);
    cfg.idle_ping_interval = 100 * PATIENCE;
    let client = start(cfg, drop);
    let stream = client.open_stream(server.address(), message(b""), PATIENCE).expect("open");
    let inbound = keep.recv_timeout(PATIENCE).expect("inbound");
    wait_for("pings", || client.counters().pings() > 1 && server.counters().pings() > 1);
    drop((inbound, stream));
}

#[test]
fn an_idle_link_is_pinged_as_well() {
    let server = start(config("server"), echo);
    let mut cfg = config("client");
    cfg.ping_interval = Duration::from_millis(1);
    cfg.idle_ping_interval = Duration::from_millis(3);
    let client = start(cfg, drop);
    request(&client, server.address()).expect("answer");
    let before = client.counters().pings();
    wait_for("pings", || client.counters().pings() > before + 2);
}

#[test]
fn links_out_of_use_make_room_for_others() {
    let servers = [start(config("a"), echo), start(config("b"), echo), start(config("c"), echo)];
    let mut cfg = config("client");
    cfg.max_peers = 2;
    let client = start(cfg, drop);
    for server in servers.iter().chain(&servers) {
        request(&client, server.address()).expect("answer");
    }
    // A request may hold its link a moment longer than its caller waits.
    wait_for("room", || {
        servers.iter().for_each(|s| drop(request(&client, s.address())));
        client.peer_count() <= 2
    });
}

#[test]
fn a_peer_that_never_answers_is_unreachable() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("listen");
    let mut cfg = config("client");
    cfg.connect_timeout = Duration::from_millis(50);
    cfg.connect_attempts = 2;
    let client = start(cfg, drop);
    let e = request(&client, silent.local_addr().expect("address")).expect_err("silent");
    assert!(e.is_unreachable() && e.verdict() == Verdict::NotRun, "{e}");
    assert!(e.to_string().contains("no handshake in time"), "{e}");
}

#[test]
fn links_share_the_runtime_of_their_caller() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let answer = runtime.block_on(async {
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
    assert_eq!(answer.unwrap(), b"cba");
}
