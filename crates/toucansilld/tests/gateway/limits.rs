//! Tests of an upstream that names the requests per second which it takes from all daemons together.

use crate::{
    region::{Region, eventually},
    stand_ins::{Upstream, one_event, read_request},
};
use platform::stand_in::{
    DOCUMENT_PATH, document, engine_document, limit_header_line, parse_request_id,
    registration_body, response_header_lines, upstream_path,
};
use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Requests per second that the limited upstream takes.
const LIMIT: f64 = 2.0;
/// Time after the first response with a limit from which on daemons have to keep it.
const LEARNING_TIME: Duration = Duration::from_millis(500);
/// Length of the periods in which requests are counted.
const PERIOD: Duration = Duration::from_secs(4);
/// Factor by which the limit may be exceeded in a period, and the number of requests beyond that.
const TOLERANCE: (f64, f64) = (1.5, 5.0);
/// Time for which callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Number of callers of each entry.
const CALLERS: usize = 3;
/// Pause of a caller between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(2);

/// Simulated upstream that names a limit while `is_limited`, and records when requests arrive.
struct LimitedUpstream {
    address: SocketAddr,
    is_limited: Arc<AtomicBool>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl LimitedUpstream {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (is_limited, arrivals) = (Arc::new(AtomicBool::new(true)), Arc::default());
        let upstream = Self { address, is_limited, arrivals };
        let (is_limited, arrivals) =
            (Arc::clone(&upstream.is_limited), Arc::clone(&upstream.arrivals));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let limit = is_limited.load(Ordering::Relaxed).then_some(LIMIT);
                let arrivals = Arc::clone(&arrivals);
                thread::spawn(move || respond(stream, limit, &arrivals));
            }
        });
        upstream
    }

    fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.lock().expect("not poisoned").clone()
    }

    /// Largest number of requests in a [`PERIOD`] that daemons sent although they had to keep the
    /// limit.
    fn most_in_a_period(&self) -> usize {
        let arrivals = self.arrivals();
        let Some(first) = arrivals.first() else { return 0 };
        let counted: Vec<_> =
            arrivals.iter().filter(|at| **at >= *first + LEARNING_TIME).copied().collect();
        let in_period = |from: &Instant| {
            counted.iter().filter(|at| *at >= from && **at < *from + PERIOD).count()
        };
        counted.iter().map(in_period).max().unwrap_or(0)
    }
}

/// Responds to one request with a stream of one event.
fn respond(mut stream: TcpStream, limit: Option<f64>, arrivals: &Mutex<Vec<Instant>>) {
    let Some((head, _)) = read_request(&stream) else { return };
    arrivals.lock().expect("not poisoned").push(Instant::now());
    let event = "id: 1\ndata: x\n\n";
    let attempt = head.lines().find_map(parse_request_id).unwrap_or_default();
    let response = format!(
        "HTTP/1.1 200 OK\r\n{}{}Content-Length: {}\r\n\r\n{event}",
        response_header_lines(attempt),
        limit.map(limit_header_line).unwrap_or_default(),
        event.len()
    );
    // A failure means that the caller has disconnected and needs no response.
    let _ = stream.write_all(response.as_bytes());
}

/// Starts a region with two entries, a limited upstream and one without a limit.
fn start(control_count: usize, document: &str) -> (Region, LimitedUpstream) {
    let mut region = Region::with_entries(control_count, 2);
    region.start_all(true);
    region.await_members(control_count);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, document);
    let (limited, other) = (LimitedUpstream::start(), Upstream::scripted(one_event));
    for (id, address) in [("a", limited.address), ("b", other.address)] {
        let body = registration_body(address, "s1", 1, 1, "ready");
        region.control_request_until_ok(0, "PUT", &upstream_path(id), &body);
    }
    for entry in [region.entry(), region.entry() + 1] {
        eventually("a request is served", || {
            let response = region.request_at(entry, "/x/", "hi", DEADLINE);
            response.filter(|(status, _)| *status == 200)
        });
    }
    (region, limited)
}

/// Sends requests to both entries until `is_over`, far more than the limit allows.
fn send_requests(region: &Region, is_over: impl Fn() -> bool + Sync) {
    thread::scope(|scope| {
        for caller in 0..2 * CALLERS {
            let is_over = &is_over;
            scope.spawn(move || {
                while !is_over() {
                    region.request_at(region.entry() + caller % 2, "/x/", "hi", DEADLINE);
                    thread::sleep(REQUEST_INTERVAL);
                }
            });
        }
    });
}

/// Sends requests to both entries for this time.
fn load(region: &Region, time: Duration) {
    let since = Instant::now();
    send_requests(region, || since.elapsed() >= time);
}

/// Checks that the upstream got at most what its limit allows, but was not left out either.
fn assert_limit_is_kept(upstream: &LimitedUpstream) {
    let allowed = TOLERANCE.0 * LIMIT * PERIOD.as_secs_f64() + TOLERANCE.1;
    let most = upstream.most_in_a_period();
    assert!(most as f64 <= allowed, "{most} requests in a period, {allowed} allowed");
    assert!(most > 0, "no request was sent to the limited upstream");
}

/// Guards against a limit that is not read, or that each daemon keeps for itself alone, where the
/// leader places the requests.
#[test]
fn the_limit_of_an_engine_is_kept_over_all_entries() {
    let (region, upstream) = start(1, &engine_document(1, "/x/"));
    load(&region, LOAD_TIME);
    assert_limit_is_kept(&upstream);
}

/// Guards against a limit that is not read, or that each daemon keeps for itself alone, where the
/// entries place the requests.
#[test]
fn the_limit_of_a_plain_upstream_is_kept_over_all_entries() {
    let (region, upstream) = start(1, &document(1, "/x/", "s1"));
    load(&region, LOAD_TIME);
    assert_limit_is_kept(&upstream);
}

/// Guards against a limit that is forgotten when the leader changes.
#[test]
fn the_limit_of_an_engine_is_kept_by_the_next_leader() {
    let (mut region, upstream) = start(3, &engine_document(1, "/x/"));
    load(&region, LOAD_TIME);
    let leader = region.await_leader(3);
    region.kill(leader);
    load(&region, LOAD_TIME);
    assert_limit_is_kept(&upstream);
}

/// Guards against entries that each take the whole limit for themselves while there is no leader.
#[test]
fn the_limit_of_an_upstream_is_kept_without_a_leader() {
    for document in [engine_document(1, "/x/"), document(1, "/x/", "s1")] {
        let (mut region, upstream) = start(1, &document);
        load(&region, LEARNING_TIME);
        region.kill(0);
        load(&region, LOAD_TIME);
        assert_limit_is_kept(&upstream);
    }
}

/// Guards against a limit that outlives its time: once a response names none, the upstream must get
/// its share of the requests again.
#[test]
fn a_limit_ends_when_responses_no_longer_name_it() {
    for document in [engine_document(1, "/x/"), document(1, "/x/", "s1")] {
        let (region, upstream) = start(1, &document);
        load(&region, LEARNING_TIME);
        upstream.is_limited.store(false, Ordering::Relaxed);
        let before = upstream.arrivals().len();
        let since = Instant::now();
        let enough = before + (LIMIT * 4.0 * LOAD_TIME.as_secs_f64()) as usize;
        let is_used = || upstream.arrivals().len() >= enough;
        send_requests(&region, || is_used() || since.elapsed() >= LOAD_TIME);
        assert!(is_used(), "{} requests after the limit", upstream.arrivals().len() - before);
    }
}
