//! Tests of upstreams that send bytes without end.

use super::{Region, eventually};
use crate::stand_ins::read_request;
use platform::stand_in::{
    DOCUMENT_PATH, mixed_document, parse_request_id, response_header_lines, upstream_path,
};
use std::{
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval of further bytes.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(50);
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(3);
/// Number of requests at a time, which the entry has connections for.
const REQUESTS: usize = 60;
/// Memory for bodies of responses in MiB: an eighth of that of the entry's VM.
const RESPONSES_MB: u64 = 32;
/// Memory in MiB for the connections of all requests, to callers and upstreams, with short bodies: 256 KiB each.
const CONNECTIONS_MB: u64 = REQUESTS as u64 / 4;

/// Starts an upstream that responds to each request with a body that doesn't end: so many bytes at once, and
/// then one from time to time. Returns its address and the
/// number of requests that it has got.
fn start_flooding(start_bytes: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let requests = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&requests);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let seen = Arc::clone(&seen);
            thread::spawn(move || {
                let Some((head, _)) = read_request(&stream) else { return };
                seen.fetch_add(1, Ordering::Relaxed);
                let id = head.lines().find_map(parse_request_id).unwrap_or_default();
                let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", response_header_lines(id));
                let start = [head.into_bytes(), vec![b'x'; start_bytes]].concat();
                let mut next = start.as_slice();
                while stream.write_all(next).is_ok() {
                    thread::sleep(TRICKLE_INTERVAL);
                    next = b"x";
                }
            });
        }
    });
    (address, requests)
}

/// Guards against an entry that keeps the endless responses of a faulty upstream to many requests until it has
/// no memory left, and ends with the requests of all callers.
fn check_memory((path, service): (&str, &str), start_bytes: usize) {
    let mut region = Region::new(1);
    region.start_all(true);
    let document = mixed_document(1);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &document);
    let mut counts = Vec::new();
    for i in 0..REQUESTS {
        let (address, count) = start_flooding(start_bytes);
        counts.push(count);
        let body = platform::stand_in::registration_body(address, service, 1, 1, "ready");
        region.control_request_until_ok(0, "PUT", &upstream_path(&format!("u{i}")), &body);
    }
    eventually("the entry has the document", || {
        region.request("/none/").filter(|(status, _)| *status == 404)
    });
    let reached = || counts.iter().map(|count| count.load(Ordering::Relaxed)).sum::<usize>();
    let region = &region;
    let usable = region.peak_memory_mb(region.entry()) + RESPONSES_MB + CONNECTIONS_MB;
    thread::scope(|scope| {
        for _ in 0..REQUESTS {
            scope.spawn(move || region.request_at(region.entry(), path, "hi", DEADLINE));
        }
    });
    assert!(reached() >= REQUESTS / 2, "{} requests reached an upstream", reached());
    let peak = region.peak_memory_mb(region.entry());
    assert!(peak <= usable, "the entry has used {peak} of {usable} MiB");
}

#[test]
fn endless_responses_to_calls_leave_memory() {
    check_memory(("/call/1", "s2"), 3 << 20);
}

/// The same for streams, of which an event doesn't end.
#[test]
fn endless_events_of_streams_leave_memory() {
    check_memory(("/stream/1", "s1"), 1_000 << 10);
}
