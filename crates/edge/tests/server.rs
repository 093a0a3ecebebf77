//! Requests through a listening server: streams, refusals, and restarts of the listener.

use edge::{ApiError, CallerRequest, EdgeConfig, Server};
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use wire::Verdict;

/// Longest wait for an event that a test expects; reached only if the test fails.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

type TestResult = Result<(), Box<dyn std::error::Error>>;

fn config() -> EdgeConfig {
    EdgeConfig::new(SocketAddr::from(([127, 0, 0, 1], 0)))
}

/// Starts a server that passes each request to the test.
fn start(cfg: EdgeConfig) -> (Server, flume::Receiver<CallerRequest>) {
    let (tx, rx) = flume::unbounded();
    let handler = Arc::new(move |req| {
        let _ = tx.send(req);
    });
    (Server::start(cfg, handler).expect("start"), rx)
}

/// Connects and sends the head and body of a request.
fn send(server: &Server, head: &str, body: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).expect("connect");
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("timeout");
    stream.write_all(head.as_bytes()).expect("head");
    stream.write_all(body).expect("body");
    stream
}

/// Reads a response and returns its status and body.
fn read_response(stream: TcpStream) -> (u16, String) {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).expect("status line");
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("status");
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).expect("header");
        if header.trim().is_empty() {
            break;
        }
        if let Some(n) = header.to_ascii_lowercase().strip_prefix("content-length:") {
            length = n.trim().parse().expect("length");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("body");
    (status, String::from_utf8(body).expect("text"))
}

/// Reads lines up to one with this text. Returns whether it came before the end.
fn read_until(reader: &mut impl BufRead, wanted: &str) -> bool {
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
        if line.trim() == wanted {
            return true;
        }
        line.clear();
    }
    false
}

/// Events must not remain in a buffer until more data follows.
#[test]
fn first_event_arrives_before_the_second_is_sent() -> TestResult {
    let (server, requests) = start(config());
    let client = send(&server, "GET /s HTTP/1.1\r\nHost: x\r\n\r\n", b"");
    let stream = requests.recv_timeout(EVENT_TIMEOUT)?.response.stream()?;
    let mut reader = BufReader::new(client);
    stream.send("one")?;
    assert!(read_until(&mut reader, "data: one"));
    stream.send("two")?;
    assert!(read_until(&mut reader, "data: two"));
    stream.finish()?;
    assert!(read_until(&mut reader, "0"));
    Ok(())
}

/// A partial response must not look complete when the handler drops the stream, as it does when it
/// panics.
#[test]
fn an_unfinished_stream_ends_with_an_error() -> TestResult {
    let (server, requests) = start(config());
    let client = send(&server, "GET /s HTTP/1.1\r\nHost: x\r\n\r\n", b"");
    let stream = requests.recv_timeout(EVENT_TIMEOUT)?.response.stream()?;
    stream.send("half")?;
    drop(stream);
    let mut text = String::new();
    client.shutdown(Shutdown::Write)?;
    BufReader::new(client).read_to_string(&mut text)?;
    assert!(text.contains(r#""code":"stream_aborted""#), "{text}");
    assert!(text.contains(r#""verdict":"may-have-run""#), "{text}");
    Ok(())
}

/// A request must not go on running for a caller that has disconnected. No event is sent, so only
/// heartbeats can detect it.
#[test]
fn a_disconnected_caller_cancels_its_idle_stream() -> TestResult {
    let mut cfg = config();
    cfg.heartbeat_interval = Duration::from_millis(5);
    let (server, requests) = start(cfg);
    let client = send(&server, "GET /s HTTP/1.1\r\nHost: x\r\n\r\n", b"");
    let stream = requests.recv_timeout(EVENT_TIMEOUT)?.response.stream()?;
    let (tx, cancelled) = flume::bounded(1);
    stream.on_cancel(move || {
        let _ = tx.send(());
    });
    drop(client);
    cancelled.recv_timeout(EVENT_TIMEOUT)?;
    assert!(stream.is_cancelled());
    assert!(stream.send("late").is_err_and(|e| e.is_caller_disconnected()));
    Ok(())
}

/// A caller must not wait forever because the handler dropped its request.
#[test]
fn a_request_dropped_without_a_response_gets_an_error() -> TestResult {
    let (server, requests) = start(config());
    let client = send(&server, "GET / HTTP/1.1\r\nHost: x\r\n\r\n", b"");
    drop(requests.recv_timeout(EVENT_TIMEOUT)?);
    let (status, body) = read_response(client);
    assert_eq!(status, 500);
    assert!(body.contains("may-have-run"), "{body}");
    Ok(())
}

/// Invalid requests must not reach the handler, and callers must be able to tell their refusals
/// apart.
#[test]
fn each_kind_of_invalid_input_gets_its_own_error() {
    let mut cfg = config();
    cfg.max_body_bytes = 2000;
    cfg.max_header_bytes = 500;
    let (server, requests) = start(cfg);
    let long = "x".repeat(600);
    let cases: &[(&str, &[u8], u16, &str)] = &[
        ("Content-Length: 3000", b"", 413, "body_too_large"),
        (&format!("X-Long: {long}"), b"", 431, "headers_too_large"),
        ("Content-Length: 1500", b"short", 400, "body_truncated"),
        ("Content-Length: 4611686018427387904", b"", 413, "body_too_large"),
        ("Content-Length: 2\r\nContent-Length: 2", b"ab", 400, "invalid_framing"),
        ("Content-Length: many", b"", 400, "invalid_framing"),
        ("Content-Length: 2\r\nTransfer-Encoding: chunked", b"", 400, "invalid_framing"),
        ("Transfer-Encoding: gzip", b"", 400, "invalid_framing"),
        ("Transfer-Encoding: chunked", b"zz\r\n", 400, "invalid_chunking"),
        ("Authorization: Basic abc", b"", 401, "invalid_authorization"),
        ("toucansill-deadline-ms: 0", b"", 400, "invalid_header"),
        ("toucansill-deadline-ms: soon", b"", 400, "invalid_header"),
        ("toucansill-priority: high", b"", 400, "invalid_header"),
        ("Idempotency-Key: a\r\nIdempotency-Key: b", b"", 400, "invalid_header"),
        ("Idempotency-Key:", b"", 400, "invalid_header"),
    ];
    for (header, body, status, code) in cases {
        let stream =
            send(&server, &format!("POST / HTTP/1.1\r\nHost: x\r\n{header}\r\n\r\n"), body);
        stream.shutdown(Shutdown::Write).expect("shutdown");
        let (actual_status, text) = read_response(stream);
        assert_eq!(actual_status, *status, "{header}: {text}");
        assert!(text.contains(&format!(r#""code":"{code}""#)), "{header}: {text}");
        assert!(text.contains(r#""verdict":"not-run""#), "{header}: {text}");
    }
    assert!(requests.is_empty(), "the handler got an invalid request");
}

/// A worker must not wait forever for the rest of a body.
#[test]
fn a_caller_that_stops_sending_is_refused() {
    let mut cfg = config();
    cfg.read_timeout = Duration::from_millis(50);
    let (server, requests) = start(cfg);
    // tiny_http reads a body of up to 1024 bytes itself; a longer one is read by the worker.
    let client = send(&server, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1500\r\n\r\n", b"ab");
    let (status, body) = read_response(client);
    assert_eq!((status, body.contains("body_timeout")), (408, true), "{body}");
    assert!(requests.is_empty());
}

/// The number of worker threads must stay bounded, and the verdict of a refusal must tell the caller
/// that a retry is safe.
#[test]
fn a_request_over_the_limit_is_refused_as_not_run() -> TestResult {
    let mut cfg = config();
    cfg.max_requests = 1;
    let (tx, entered) = flume::bounded(1);
    let (release, released) = flume::bounded::<()>(0);
    let handler = Arc::new(move |req: CallerRequest| {
        let _ = tx.send(());
        let _ = released.recv();
        let _ = req.response.json(200, "{}", Verdict::Ran);
    });
    let server = Server::start(cfg, handler)?;
    let first = send(&server, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", b"");
    entered.recv_timeout(EVENT_TIMEOUT)?;
    let (status, body) = read_response(send(&server, "GET /b HTTP/1.1\r\nHost: x\r\n\r\n", b""));
    assert_eq!(status, 503);
    assert!(body.contains("not-run") && body.contains("retry_after_ms"), "{body}");
    drop(release);
    assert_eq!(read_response(first).0, 200);
    Ok(())
}

/// A server must not stop accepting connections after a failed accept.
#[test]
fn the_listener_restarts_after_failed_accepts() -> TestResult {
    let mut cfg = config();
    // An accept that waits longer than the read timeout fails, which ends the accept thread. The
    // long probe interval prevents probes from keeping it busy.
    cfg.read_timeout = Duration::from_millis(20);
    cfg.probe_interval = 10 * EVENT_TIMEOUT;
    let (server, requests) = start(cfg);
    let started = Instant::now();
    while server.listener_restarts() < 2 {
        assert!(started.elapsed() < EVENT_TIMEOUT, "the listener did not restart");
        thread::yield_now();
    }
    let client = send(&server, "GET /after HTTP/1.1\r\nHost: x\r\n\r\n", b"");
    let req = requests.recv_timeout(EVENT_TIMEOUT)?;
    assert_eq!(req.path, "/after");
    req.response.error(ApiError::new(404, "unknown_path", "none", Verdict::NotRun))?;
    assert_eq!(read_response(client).0, 404);
    Ok(())
}

/// The process must not abort because `tiny_http` allocates the declared length of a body that it
/// discards. The probe's path must not bypass the check.
#[test]
fn a_declared_length_beyond_memory_is_refused_and_quarantined() {
    let (server, requests) = start(config());
    let huge = "Content-Length: 4611686018427387904";
    for path in ["/a", "/toucansill/probe"] {
        let head = format!("POST {path} HTTP/1.1\r\nHost: x\r\n{huge}\r\n\r\n");
        let (status, body) = read_response(send(&server, &head, b"some"));
        assert_eq!((status, body.contains("body_too_large")), (413, true), "{body}");
    }
    assert_eq!(server.quarantined_connections(), 2);
    assert!(requests.is_empty());
}

/// A chunk of a refused body that looks like a request must not be run as one (request smuggling).
#[test]
fn the_rest_of_a_refused_body_is_not_parsed_as_a_request() -> TestResult {
    let mut cfg = config();
    cfg.max_body_bytes = 10;
    let (server, requests) = start(cfg);
    let inner = "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n";
    let body = format!("14\r\n{}\r\n{:x}\r\n{inner}\r\n0\r\n\r\n", "x".repeat(20), inner.len());
    let head = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    let next = "GET /next HTTP/1.1\r\nHost: x\r\n\r\n";
    let client = send(&server, head, format!("{body}{next}").as_bytes());
    let req = requests.recv_timeout(EVENT_TIMEOUT)?;
    assert_eq!(req.path, "/next");
    assert_eq!(read_response(client).0, 413);
    Ok(())
}

/// Threads must not leak: the dispatch loop of each replaced generation must end once its
/// connections have ended.
#[test]
fn dispatch_loops_of_replaced_generations_end() {
    const RESTARTS: u64 = 20;
    let mut cfg = config();
    cfg.read_timeout = Duration::from_millis(10);
    cfg.probe_interval = 10 * EVENT_TIMEOUT;
    let (server, _requests) = start(cfg);
    let started = Instant::now();
    while server.listener_restarts() < RESTARTS {
        assert!(started.elapsed() < EVENT_TIMEOUT, "the listener did not restart");
        thread::yield_now();
    }
    assert!(server.dispatch_threads() < RESTARTS as usize / 2, "{}", server.dispatch_threads());
}

/// A stop must not lose requests in handlers, nor leave the listener open.
#[test]
fn a_stopped_server_completes_requests_but_accepts_no_connections() -> TestResult {
    let (server, requests) = start(config());
    let address = server.address();
    let client = send(&server, "GET / HTTP/1.1\r\nHost: x\r\n\r\n", b"");
    let req = requests.recv_timeout(EVENT_TIMEOUT)?;
    server.stop();
    // A request in a handler still gets its response.
    req.response.json(200, "{}", Verdict::Ran)?;
    assert_eq!(read_response(client).0, 200);
    assert!(TcpStream::connect(address).is_err());
    Ok(())
}
