//! Tests of entries that lose their paths to the upstreams, while callers and the other daemons
//! still reach them.

use crate::{
    region::{Region, Routes, eventually, exchange},
    stand_ins::{Reaction, Upstream, one_event},
};
use fake::FaultProxy;
use platform::stand_in::{
    DOCUMENT_PATH, mixed_document, parse_request_id, registration_body, request_header_lines,
    response_header_lines, turned_away_response, upstream_path,
};
use std::{
    io::{BufRead, BufReader, Write},
    net::TcpStream,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const CONTROL_COUNT: usize = 1;
/// Entries by data centre.
const DATA_CENTRES: [&str; 8] = ["dc-1", "dc-1", "dc-1", "dc-2", "dc-2", "dc-2", "dc-3", "dc-3"];
/// Entries that lose their paths: all of one data centre, and more than half of all.
const CUT_ENTRIES: [usize; 5] = [0, 1, 2, 3, 6];
const ENGINE_COUNT: usize = 8;
const PLAIN_COUNT: usize = 3;
/// Time for which the paths are lost.
const CUT_TIME: Duration = Duration::from_secs(12);
/// Time after the loss from which on callers have to be served about as well as at other entries.
const DETECTION_TIME: Duration = Duration::from_secs(3);
/// Least share of first attempts that are served at these entries, of the share at the others.
const MIN_SERVED_RATIO: f64 = 2.0 / 3.0;
/// Time for which an upstream turns requests away, in seconds.
const TURNED_AWAY_SECONDS: f64 = 10.0;
/// Number of upstreams in these tests that run one request each.
const UPSTREAM_COUNT: usize = 5;
/// Part of the prompts of requests that are in flight.
const SHARED_PART: &str = "5a5a";
/// Time after the first own connection within which an entry uses all its paths again.
const CHECK_TIME: Duration = Duration::from_millis(1_500);
/// Time within which all daemons know of requests that have crashed upstreams.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// Text by which a daemon refuses a request that has crashed upstreams.
const QUARANTINED: &str = "it has crashed upstreams";
/// Deadline of callers.
const DEADLINE: Duration = Duration::from_secs(3);
/// Pause between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Interval at which upstreams repeat their registration.
const REGISTRATION_INTERVAL: Duration = Duration::from_secs(1);

/// First attempts at one group of entries.
#[derive(Clone, Copy, Debug, Default)]
struct Attempts {
    sent: u32,
    served: u32,
}

impl Attempts {
    fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

/// Region whose entries in [`CUT_ENTRIES`] reach the upstreams through proxies.
struct CutRegion {
    region: Region,
    /// Name, service and stand-in of each upstream.
    upstreams: Vec<(String, &'static str, Upstream)>,
    proxies: Vec<FaultProxy>,
}

impl CutRegion {
    /// Starts a region, and waits until all its entries serve.
    fn start() -> Self {
        let mut region = Region::with_entries(CONTROL_COUNT, DATA_CENTRES.len());
        let engine = |i| (format!("engine-{i}"), "s1", Upstream::scripted(one_event));
        let plain = |i| (format!("plain-{i}"), "s2", Upstream::start("plain"));
        let upstreams: Vec<_> =
            (0..ENGINE_COUNT).map(engine).chain((0..PLAIN_COUNT).map(plain)).collect();
        let mut proxies = Vec::new();
        for (i, data_centre) in DATA_CENTRES.iter().enumerate() {
            region.set_data_centre(CONTROL_COUNT + i, data_centre);
        }
        for entry in CUT_ENTRIES {
            let mut routes = Routes::new();
            for (_, _, upstream) in &upstreams {
                let proxy = FaultProxy::start(upstream.address).expect("a port");
                routes.insert(upstream.address, proxy.address());
                proxies.push(proxy);
            }
            region.set_routes(CONTROL_COUNT + entry, routes);
        }
        region.start_all(true);
        region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &mixed_document(1));
        let cut_region = Self { region, upstreams, proxies };
        cut_region.register(1);
        for entry in 0..DATA_CENTRES.len() {
            for path in ["/stream/", "/call/"] {
                eventually("a served request", || cut_region.is_served(entry, path).then_some(()));
            }
        }
        cut_region
    }

    fn register(&self, sequence: u64) {
        for (name, service, upstream) in &self.upstreams {
            let body = upstream.registration(service, sequence, "ready");
            self.region.control_request_until_ok(0, "PUT", &upstream_path(name), &body);
        }
    }

    /// Sends a request to an entry. Returns whether the first attempt is served.
    fn is_served(&self, entry: usize, path: &str) -> bool {
        let response = self.region.request_at(CONTROL_COUNT + entry, path, "hi", DEADLINE);
        response.is_some_and(|(status, body)| status == 200 && !body.is_empty())
    }

    /// Cuts the paths by `cut` for [`CUT_TIME`], while callers send requests to all entries. Returns
    /// the first attempts, from [`DETECTION_TIME`] after the cut on, at the entries that are cut off
    /// and at the others.
    fn cut_paths(&self, cut: impl Fn(&FaultProxy)) -> [Attempts; 2] {
        let attempts = Mutex::new([Attempts::default(); 2]);
        let is_done = AtomicBool::new(false);
        thread::scope(|scope| {
            scope.spawn(|| {
                for sequence in 2.. {
                    thread::sleep(REGISTRATION_INTERVAL);
                    if is_done.load(Ordering::SeqCst) {
                        return;
                    }
                    self.register(sequence);
                }
            });
            // Also after a panic: the scope waits for its threads.
            let _done = SetOnDrop(&is_done);
            self.proxies.iter().for_each(&cut);
            let counted_from = Instant::now() + DETECTION_TIME;
            for entry in 0..DATA_CENTRES.len() {
                let (attempts, is_done) = (&attempts, &is_done);
                scope.spawn(move || {
                    for path in ["/stream/", "/call/"].into_iter().cycle() {
                        if is_done.load(Ordering::SeqCst) {
                            return;
                        }
                        let is_counted = Instant::now() >= counted_from;
                        let is_served = self.is_served(entry, path);
                        if is_counted {
                            let group = usize::from(!CUT_ENTRIES.contains(&entry));
                            let mut attempts = attempts.lock().expect("not poisoned");
                            attempts[group].sent += 1;
                            attempts[group].served += u32::from(is_served);
                        }
                        thread::sleep(REQUEST_INTERVAL);
                    }
                });
            }
            thread::sleep(CUT_TIME);
        });
        attempts.into_inner().expect("not poisoned")
    }
}

/// Sets a flag at the end of a scope.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Checks that callers are served at entries whose paths are cut by `cut` about as well as at the
/// others, and again at all entries once the paths are back.
fn check_served_without_paths(cut: impl Fn(&FaultProxy)) {
    let cut_region = CutRegion::start();
    let [cut_off, others] = cut_region.cut_paths(cut);
    println!("served at the first attempt: cut off {cut_off:?}, others {others:?}");
    cut_region.proxies.iter().for_each(|proxy| proxy.open().expect("the port is still free"));
    let ratio = cut_off.served_share() / others.served_share();
    assert!(ratio >= MIN_SERVED_RATIO, "cut off {cut_off:?}, others {others:?}");
    for entry in CUT_ENTRIES {
        eventually("a served request", || cut_region.is_served(entry, "/call/").then_some(()));
    }
}

/// Guards against 502 or 504, after which a caller may not send the request again, for one that waited
/// for a connection until its time was over.
#[test]
fn a_request_that_waited_only_for_a_connection_is_refused_as_not_run() {
    let mut region = Region::new(CONTROL_COUNT);
    region.start_all(true);
    let entry = region.entry();
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &mixed_document(1));
    for (service, path) in [("s1", "/stream/"), ("s2", "/call/")] {
        let upstream = Upstream::scripted(one_event);
        let proxy = FaultProxy::start(upstream.address).expect("a port");
        let body = registration_body(proxy.address(), service, 1, 1, "ready");
        region.control_request_until_ok(0, "PUT", &upstream_path(service), &body);
        eventually("a served request", || {
            region.request_at(entry, path, "hi", DEADLINE).filter(|(status, _)| *status == 200)
        });
        let runs = upstream.runs().len();
        proxy.hang().expect("the port is still free");
        let (status, _) = region.refusal_at(entry, path, Duration::from_millis(300));
        assert_eq!(status, 503, "{path}");
        assert_eq!(upstream.runs().len(), runs, "{path}: the request has run");
    }
}

/// Starts a region with two entries, of which the first has lost its paths, and these upstreams, as
/// engines. Returns also the proxies on its paths.
fn start_with_relay(upstreams: &[Upstream]) -> (Region, Vec<FaultProxy>) {
    let mut region = Region::with_entries(CONTROL_COUNT, 2);
    let mut routes = Routes::new();
    let mut proxies = Vec::new();
    for upstream in upstreams {
        let proxy = FaultProxy::start(upstream.address).expect("a port");
        proxy.refuse();
        routes.insert(upstream.address, proxy.address());
        proxies.push(proxy);
    }
    region.set_routes(region.entry(), routes);
    region.start_all(true);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &mixed_document(1));
    for (i, upstream) in upstreams.iter().enumerate() {
        let body = upstream.registration("s1", 1, "ready");
        region.control_request_until_ok(0, "PUT", &upstream_path(&format!("u{i}")), &body);
    }
    (region, proxies)
}

/// Script of an upstream that turns each request away for [`TURNED_AWAY_SECONDS`].
fn turn_away(head: &str, _: &str) -> String {
    let attempt = head.lines().find_map(parse_request_id).unwrap_or_default();
    turned_away_response(attempt, TURNED_AWAY_SECONDS)
}

/// Guards against an open proxy: a relay that connects to whatever address it is given.
#[test]
fn a_relay_sends_nothing_to_addresses_that_are_no_upstreams() {
    let (upstream, other) = (Upstream::scripted(one_event), Upstream::scripted(one_event));
    let (region, _proxies) = start_with_relay(&[upstream]);
    eventually("a relayed request", || {
        let response = region.request_at(region.entry(), "/stream/", "hi", DEADLINE);
        response.filter(|(status, _)| *status == 200)
    });
    let relay = region.relay_address(region.entry() + 1);
    for (name, address) in [
        ("u0", other.address.to_string()),
        ("u9", other.address.to_string()),
        ("u0", String::from("none")),
        ("", String::new()),
    ] {
        let request = format!(
            "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\ntoucansill-relay-kind: request\r\n\
             toucansill-relay-upstream: {name}\r\ntoucansill-relay-address: {address}\r\n\r\n"
        );
        assert_eq!(exchange(&relay, &request).map(|(status, _)| status), Some(502), "{name}");
    }
    assert_eq!(other.runs(), [""; 0]);
}

/// Guards against a relay that is turned away and goes on to send requests of its own callers, or of
/// other entries, to that upstream.
#[test]
fn an_upstream_that_turns_a_relay_away_gets_no_requests_of_it() {
    let upstreams = [Upstream::scripted(turn_away)];
    let (region, _proxies) = start_with_relay(&upstreams);
    eventually("a relayed request", || {
        region.request_at(region.entry(), "/stream/", "hi", DEADLINE);
        (!upstreams[0].runs().is_empty()).then_some(())
    });
    let runs = upstreams[0].runs().len();
    let (status, _) = region.refusal_at(region.entry() + 1, "/stream/", DEADLINE);
    assert_eq!((status, upstreams[0].runs().len()), (503, runs));
}

/// Reaction of an upstream that sends the first event of a stream, and then bytes until its connection
/// is closed.
fn flood(head: &str, _: &str) -> Reaction {
    let attempt = head.lines().find_map(parse_request_id).unwrap_or_default();
    let start = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Length: 1000000\r\n\r\nid: 1\ndata: x\n\n",
        response_header_lines(attempt)
    );
    Reaction::Flood(start, Duration::from_millis(10))
}

/// Guards against requests that go on to run at an upstream when the caller of the entry that had them
/// relayed has disconnected.
#[test]
fn a_relayed_request_ends_when_its_caller_disconnects() {
    let upstreams = [Upstream::crashing(flood)];
    let (region, _proxies) = start_with_relay(&upstreams);
    let request = format!(
        "POST /stream/ HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n{}Content-Length: 0\r\n\r\n",
        request_header_lines("r", 30_000)
    );
    let caller = eventually("a relayed stream", || {
        let mut caller = TcpStream::connect(region.callers_address(region.entry())).ok()?;
        caller.write_all(request.as_bytes()).ok()?;
        let mut rx = BufReader::new(caller);
        let mut line = String::new();
        while rx.read_line(&mut line).is_ok_and(|n| n > 0) {
            if line.starts_with("data: x") {
                return Some(rx);
            }
            line.clear();
        }
        None
    });
    let is_closed = || upstreams[0].runs().iter().any(|run| run.starts_with("flooded"));
    assert!(!is_closed(), "the stream goes on");
    drop(caller);
    let disconnected = Instant::now();
    eventually("the end of the stream", || is_closed().then_some(()));
    assert!(disconnected.elapsed() < Duration::from_millis(500), "the upstream learns it too late");
}

/// Guards against requests, and parts of prompts, that are refused everywhere because an entry takes
/// the loss of its connections for a crash of the upstreams.
#[test]
fn requests_in_flight_are_not_refused_after_their_entry_has_lost_its_paths() {
    let upstreams: Vec<Upstream> = (0..UPSTREAM_COUNT).map(|_| Upstream::silent()).collect();
    let (region, proxies) = start_with_relay(&upstreams);
    let [cut_off, other] = [region.entry(), region.entry() + 1];
    let send = |entry, body: &str, parts: &[&str]| {
        region.request_with_parts(entry, "/stream/", body, DEADLINE, parts)
    };
    eventually("a relayed request", || {
        region.request_at(cut_off, "/stream/", "", Duration::from_millis(100));
        upstreams.iter().any(|upstream| !upstream.runs().is_empty()).then_some(())
    });
    proxies.iter().for_each(|proxy| proxy.open().expect("the port is still free"));
    eventually("own connections", || proxies.iter().any(|p| p.accepted() > 0).then_some(()));
    thread::sleep(CHECK_TIME);
    thread::scope(|scope| {
        for i in 0..UPSTREAM_COUNT {
            let send = &send;
            scope.spawn(move || send(cut_off, &format!("hi {i}"), &[SHARED_PART, "own"]));
        }
        eventually("requests that run on own connections", || {
            proxies.iter().all(|proxy| proxy.connections() > 0).then_some(())
        });
        proxies.iter().for_each(FaultProxy::close);
    });
    thread::sleep(SPREAD_TIME);
    for (body, parts) in [("hi 0", &[SHARED_PART, "own"]), ("other", &[SHARED_PART, "other"])] {
        let response = send(other, body, parts);
        let is_refused = |(_, text): &(u16, String)| text.contains(QUARANTINED);
        assert!(!response.as_ref().is_some_and(is_refused), "{body}: {response:?}");
    }
}

/// Guards against a request that crashes upstreams and isn't recognised, as its entry has lost its paths.
#[test]
fn a_relayed_request_that_crashes_upstreams_is_refused() {
    let crash: fn(&str, &str) -> Reaction = |head, body| match body {
        "crash" => Reaction::Crash,
        _ => Reaction::Respond(one_event(head, body)),
    };
    let upstreams: Vec<Upstream> = (0..UPSTREAM_COUNT).map(|_| Upstream::crashing(crash)).collect();
    let (region, _proxies) = start_with_relay(&upstreams);
    let send = |body: &str| region.request_at(region.entry(), "/stream/", body, DEADLINE);
    eventually("a relayed request", || send("hi").filter(|(status, _)| *status == 200));
    eventually("a refusal", || {
        let response = send("crash");
        thread::sleep(REQUEST_INTERVAL);
        response.filter(|(_, text)| text.contains(QUARANTINED))
    });
    let crashes = upstreams.iter().flat_map(Upstream::runs).filter(|run| run.ends_with("crash"));
    assert!(crashes.count() < UPSTREAM_COUNT, "refused too late");
}

/// Guards against requests that fail at an entry whose connections to all upstreams hang, while other
/// entries reach the upstreams.
#[test]
fn callers_are_served_by_entries_whose_connections_to_upstreams_hang() {
    check_served_without_paths(|proxy| proxy.hang().expect("the port is still free"));
}

/// Guards against the same at an entry whose connections to all upstreams are reset and can't be made
/// again.
#[test]
fn callers_are_served_by_entries_whose_connections_to_upstreams_are_reset() {
    check_served_without_paths(FaultProxy::close);
}

/// Guards against the same at an entry whose open connections to upstreams live on while new ones are
/// refused.
#[test]
fn callers_are_served_by_entries_whose_new_connections_to_upstreams_are_refused() {
    check_served_without_paths(FaultProxy::refuse);
}
