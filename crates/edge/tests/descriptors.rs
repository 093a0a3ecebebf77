//! A process without file descriptors. They belong to the whole process, so
//! this is the only test of its file.

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

/// Longest wait for an event that a test expects. Reached only by a failure.
const PATIENCE: Duration = Duration::from_secs(30);

/// Longest wait for the connection of a caller that only knocks.
const KNOCK_TIMEOUT: Duration = Duration::from_millis(20);

/// Takes every file descriptor that the process may have.
fn exhaust() -> Vec<File> {
    let files: Vec<File> = (0..).map_while(|_| File::open("/dev/null").ok()).collect();
    assert!(File::open("/dev/null").is_err());
    files
}

fn connect(server: &Server) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).expect("connect");
    stream.set_read_timeout(Some(PATIENCE)).expect("timeout");
    stream.write_all(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").expect("send");
    stream
}

fn is_answered(mut stream: TcpStream) -> io::Result<bool> {
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text.starts_with("HTTP/1.1 200"))
}

fn start() -> Server {
    let mut cfg = EdgeConfig::new(SocketAddr::from(([127, 0, 0, 1], 0)));
    cfg.probe_interval = Duration::from_millis(50);
    let handler = |req: CallerRequest| drop(req.reply.json(200, "{}", Verdict::Ran));
    Server::start(cfg, Arc::new(handler)).expect("start")
}

/// Leaves `free` descriptors, one of them for the caller, until the listener's
/// thread has ended. Then callers must be answered again.
fn run_out(free: usize) {
    let server = start();
    assert!(is_answered(connect(&server)).expect("before"));
    let restarts = server.listener_restarts();
    let mut files = exhaust();
    files.truncate(files.len() - free);
    let caller = connect(&server);
    // Whatever becomes of this caller, it must not wait for good.
    let waiting = thread::spawn(move || is_answered(caller));
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(300) {
        // New callers go on to knock while descriptors are short.
        // Bounded, as a connection waits for minutes once the queue is full.
        drop(TcpStream::connect_timeout(&server.address(), KNOCK_TIMEOUT));
    }
    drop(files);
    let started = Instant::now();
    while server.listener_restarts() == restarts {
        assert!(started.elapsed() < PATIENCE, "the listener did not start again");
        thread::yield_now();
    }
    assert!(is_answered(connect(&server)).expect("after"));
    drop(waiting.join());
}

#[test]
fn callers_are_answered_again_after_descriptors_ran_out() {
    // The accept fails.
    run_out(1);
    // The accept succeeds, and the library panics as it copies the socket.
    run_out(2);
}
