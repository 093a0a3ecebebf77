//! A server must not stop accepting connections after the process ran out of file descriptors, which
//! ends the accept thread of `tiny_http`.
//!
//! Descriptors are shared by the whole process, so this is the only test of its file.

use edge::{CallerRequest, EdgeConfig, Server};
use std::{
    fs::File,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use wire::Verdict;

/// Longest wait for an event that a test expects; reached only if the test fails.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait of a caller that only connects, without sending a request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// Opens files until the process has no file descriptors left.
fn open_all_descriptors() -> Vec<File> {
    let files: Vec<File> = (0..).map_while(|_| File::open("/dev/null").ok()).collect();
    assert!(File::open("/dev/null").is_err());
    files
}

/// Connects and sends a request.
fn connect(server: &Server) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).expect("connect");
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("timeout");
    stream.write_all(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").expect("send");
    stream
}

/// Whether the response to the request sent by [`connect`] is a 200.
fn has_ok_response(mut stream: TcpStream) -> io::Result<bool> {
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text.starts_with("HTTP/1.1 200"))
}

fn start() -> Server {
    let mut cfg = EdgeConfig::new(SocketAddr::from(([127, 0, 0, 1], 0)));
    cfg.probe_interval = Duration::from_millis(50);
    let handler = |req: CallerRequest| drop(req.response.json(200, "{}", Verdict::Ran));
    Server::start(cfg, Arc::new(handler)).expect("start")
}

/// Leaves `free_descriptors` descriptors, one of them for the caller, for long enough that the
/// accept thread ends. Once the others are closed, the server must respond to callers again.
fn check_recovery_from_exhaustion(free_descriptors: usize) {
    let server = start();
    assert!(has_ok_response(connect(&server)).expect("before"));
    let restarts = server.listener_restarts();
    let mut files = open_all_descriptors();
    files.truncate(files.len() - free_descriptors);
    let caller = connect(&server);
    // This caller may be refused or disconnected, but it must not wait forever.
    let caller_thread = thread::spawn(move || has_ok_response(caller));
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(300) {
        // New callers connect while descriptors are exhausted. The timeout is needed, as a
        // connection attempt waits for minutes once the backlog is full.
        drop(TcpStream::connect_timeout(&server.address(), CONNECT_TIMEOUT));
    }
    drop(files);
    let started = Instant::now();
    while server.listener_restarts() == restarts {
        assert!(started.elapsed() < EVENT_TIMEOUT, "the listener did not restart");
        thread::yield_now();
    }
    assert!(has_ok_response(connect(&server)).expect("after"));
    drop(caller_thread.join());
}

#[test]
fn callers_get_responses_again_after_descriptors_ran_out() {
    // No descriptor for the server: the accept fails.
    check_recovery_from_exhaustion(1);
    // One descriptor for the server: the accept succeeds, and tiny_http panics when it duplicates
    // the socket.
    check_recovery_from_exhaustion(2);
}
