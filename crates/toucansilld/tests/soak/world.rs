//! Simulated callers, operators and upstreams, with the checks of what each observes.

use crate::{
    notices::Notices,
    region::{eventually, exchange, exchange_text, exchange_within, status_and_body},
    stand_ins::Upstream,
};
use fake::FaultProxy;
use platform::stand_in::{
    DOCUMENT_PATH, document, registration_body, request_header_lines, upstream_path,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Interval at which upstreams repeat their registration.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(300);
/// Time after the acknowledgement of a departure for which requests may still arrive.
pub(crate) const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Time after [`DRAIN_TIME`] in which no request may arrive, and after which the upstream returns.
pub(crate) const WATCH_TIME: Duration = Duration::from_millis(1_500);
/// Time for which an operator waits for a response before going on to another daemon.
const CALL_PATIENCE: Duration = Duration::from_secs(1);
/// Time for which a caller waits for the next bytes of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between changes of the operator.
const CHANGE_INTERVAL: Duration = Duration::from_millis(120);
/// Prefix of the ids of attempts of the request that crashes upstreams.
const CRASH_PREFIX: &str = "crash";
/// Text by which a daemon refuses that request.
const QUARANTINED: &str = "it has crashed upstreams";
/// Pause between two attempts of it.
const CRASH_INTERVAL: Duration = Duration::from_millis(50);
/// Time after its first refusal within which all daemons have to know of the quarantine.
const QUARANTINE_SPREAD_TIME: Duration = Duration::from_secs(3);
/// Number of times that it may reach an upstream after that.
const LATE_CRASHES_ALLOWED: usize = 3;
/// Pause between requests of a caller or an operator.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Upstreams of one service, each behind a proxy that injects network faults.
pub(crate) struct Upstreams {
    upstreams: Vec<(Upstream, FaultProxy)>,
    /// The run of each upstream, and how it registers.
    states: Mutex<Vec<RunState>>,
    /// Two more, which say in their responses what they want.
    pub(crate) notices: Notices,
    /// Counts how often an entry was paused or continued: it may have missed a departure.
    entry_pauses: AtomicU64,
    departures: AtomicU64,
}

/// Run of an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunState {
    /// Start time of the run, in milliseconds.
    pub(crate) run: u64,
    /// Sequence number of its last registration.
    pub(crate) sequence: u64,
    /// State that it registers; `None` once it has deregistered.
    state: Option<&'static str>,
}

impl RunState {
    /// State of a run that has not registered yet.
    pub(crate) fn ready(run: u64) -> Self {
        Self { run, sequence: 0, state: Some("ready") }
    }
}

impl Upstreams {
    pub(crate) fn start(count: usize) -> Self {
        let one = |_| {
            let upstream = Upstream::start("answer");
            let proxy = FaultProxy::start(upstream.address).expect("a port");
            (upstream, proxy)
        };
        Self {
            upstreams: (0..count).map(one).collect(),
            states: Mutex::new(vec![RunState::ready(1); count]),
            notices: Notices::start(),
            entry_pauses: AtomicU64::new(0),
            departures: AtomicU64::new(0),
        }
    }

    pub(crate) fn proxies(&self) -> impl Iterator<Item = &FaultProxy> {
        self.upstreams.iter().map(|(_, proxy)| proxy).chain(self.notices.proxies())
    }

    pub(crate) fn proxy(&self, i: usize) -> &FaultProxy {
        &self.upstreams[i].1
    }

    /// Records that an entry is about to be paused or restarted, or was.
    pub(crate) fn entry_paused(&self) {
        self.entry_pauses.fetch_add(1, Ordering::SeqCst);
    }

    /// Number of times that this was recorded.
    pub(crate) fn entry_pauses(&self) -> u64 {
        self.entry_pauses.load(Ordering::SeqCst)
    }

    /// Number of departures after which it was checked that no request arrived.
    pub(crate) fn departures(&self) -> u64 {
        self.departures.load(Ordering::SeqCst)
    }

    /// Registers all upstreams again and again, at the first control daemon that accepts it.
    pub(crate) fn register(&self, controls: &[String], is_done: &AtomicBool) {
        while !is_done.load(Ordering::SeqCst) {
            for i in 0..self.upstreams.len() {
                let Some(request) = self.next_registration(i) else { continue };
                // If no daemon accepts it, the next registration follows soon.
                let _ = controls.iter().find(|c| is_ok(exchange(c, &request).as_ref()));
            }
            for (name, body) in self.notices.registrations() {
                let request = put(&upstream_path(&name), &body);
                let _ = controls.iter().find(|c| is_ok(exchange(c, &request).as_ref()));
            }
            thread::sleep(REGISTRATION_INTERVAL);
        }
    }

    /// As [`register`](Self::register), at one control daemon for as long as it accepts registrations within
    /// a second.
    pub(crate) fn register_patiently(&self, controls: &[String], is_done: &AtomicBool) {
        let mut next_control = 0;
        while !is_done.load(Ordering::SeqCst) {
            let own = (0..self.upstreams.len()).filter_map(|i| self.next_registration(i));
            let others = self.notices.registrations().into_iter();
            let others = others.map(|(name, body)| put(&upstream_path(&name), &body));
            for request in own.chain(others) {
                let control = &controls[next_control % controls.len()];
                if !is_ok(exchange_within(control, &request, CALL_PATIENCE).as_ref()) {
                    next_control += 1;
                }
            }
            thread::sleep(REGISTRATION_INTERVAL);
        }
    }

    /// Next registration of an upstream; `None` once it has deregistered.
    fn next_registration(&self, i: usize) -> Option<String> {
        let mut states = lock(&self.states);
        let RunState { run, sequence, state } = &mut states[i];
        *sequence += 1;
        let state = (*state)?;
        let address = self.upstreams[i].1.address();
        let body = registration_body(address, "s1", *run, *sequence, state);
        Some(put(&upstream_path(&format!("u{i}")), &body))
    }

    /// Lets one upstream after the other depart, by a drain or at once, and return as a new run. No
    /// request may reach it from [`DRAIN_TIME`] after the acknowledgement on, unless an entry was
    /// paused meanwhile.
    pub(crate) fn depart(&self, controls: &[String], is_done: &AtomicBool) {
        for turn in 0.. {
            let i = turn % self.upstreams.len();
            let path = upstream_path(&format!("u{i}"));
            let late = self.next_registration(i).unwrap_or_default();
            lock(&self.states)[i].state = (turn % 2 == 0).then_some("draining");
            let pauses_before = self.entry_pauses();
            let mut next_control = turn;
            loop {
                let request = self.next_registration(i).unwrap_or_else(|| delete(&path));
                let control = &controls[next_control % controls.len()];
                if is_ok(exchange(control, &request).as_ref()) {
                    break;
                }
                if is_done.load(Ordering::SeqCst) {
                    return;
                }
                next_control += 1;
                thread::sleep(REQUEST_INTERVAL);
            }
            thread::sleep(DRAIN_TIME);
            // A registration from before the departure, delayed on its way.
            let _ = exchange(&controls[next_control % controls.len()], &late);
            let upstream = &self.upstreams[i].0;
            let runs_before = upstream.runs().len();
            thread::sleep(WATCH_TIME);
            if self.entry_pauses() == pauses_before {
                let late_runs = upstream.runs().len() - runs_before;
                assert_eq!(late_runs, 0, "requests sent to u{i}, which has left (turn {turn})");
                self.departures.fetch_add(1, Ordering::SeqCst);
            }
            if is_done.load(Ordering::SeqCst) {
                return;
            }
            let mut states = lock(&self.states);
            let run = states[i].run + 1;
            states[i] = RunState::ready(run);
        }
    }

    /// Number of runs of each attempt.
    fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        let runs_of_all = self.upstreams.iter().flat_map(|(upstream, _)| upstream.runs());
        for attempt in runs_of_all.chain(self.notices.runs()) {
            *runs.entry(attempt).or_default() += 1;
        }
        runs
    }
}

/// PUT request to a control address.
fn put(path: &str, body: &str) -> String {
    format!(
        "PUT {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// DELETE request to a control address.
fn delete(path: &str) -> String {
    format!("DELETE {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\r\n")
}

/// Whether a response has the status 200.
fn is_ok(response: Option<&(u16, String)>) -> bool {
    response.is_some_and(|(status, _)| *status == 200)
}

/// Operator that publishes routing documents, and one that reads them.
pub(crate) struct Operator {
    /// Highest acknowledged version.
    acknowledged: AtomicU64,
}

impl Operator {
    pub(crate) fn new() -> Self {
        Self { acknowledged: AtomicU64::new(1) }
    }

    pub(crate) fn acknowledged(&self) -> u64 {
        self.acknowledged.load(Ordering::SeqCst)
    }

    /// Publishes one version after the other. Each is repeated until it is acknowledged.
    pub(crate) fn publish(&self, controls: &[String], is_done: &AtomicBool) {
        for version in 2.. {
            let request = put(DOCUMENT_PATH, &document(version, "/x/", "s1"));
            let mut next_control = version as usize;
            while !is_ok(exchange(&controls[next_control % controls.len()], &request).as_ref()) {
                if is_done.load(Ordering::SeqCst) {
                    return;
                }
                next_control += 1;
                thread::sleep(REQUEST_INTERVAL);
            }
            self.acknowledged.store(version, Ordering::SeqCst);
            if is_done.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(CHANGE_INTERVAL);
        }
    }

    /// Reads the version at each control daemon in turn. None may return an older one than was
    /// acknowledged before the read.
    pub(crate) fn read(&self, controls: &[String], is_done: &AtomicBool) {
        while !is_done.load(Ordering::SeqCst) {
            for control in controls {
                let before = self.acknowledged();
                if let Some(version) = read_version(control) {
                    assert!(
                        version >= before,
                        "{control} returned {version} after {before} was acknowledged"
                    );
                }
            }
            thread::sleep(REQUEST_INTERVAL);
        }
    }

    /// Checks that the last acknowledged change is not lost.
    pub(crate) fn check_kept(&self, controls: &[String]) {
        let version = eventually("a read", || read_version(&controls[0]));
        assert!(
            version >= self.acknowledged(),
            "read {version}, acknowledged {}",
            self.acknowledged()
        );
    }
}

/// Publishes a version at a control daemon. Returns whether it is acknowledged within a second.
pub(crate) fn publish_version(control: &str, version: u64) -> bool {
    let request = put(DOCUMENT_PATH, &document(version, "/x/", "s1"));
    is_ok(exchange_within(control, &request, CALL_PATIENCE).as_ref())
}

/// [`read_version`], for which a caller waits no longer than a second.
pub(crate) fn read_version_within_a_second(control: &str) -> Option<u64> {
    let (_, body) = exchange_within(control, &read_request(), CALL_PATIENCE)
        .filter(|(status, _)| *status == 200)?;
    serde_json::from_str::<serde_json::Value>(&body).ok()?["version"].as_u64()
}

fn read_request() -> String {
    format!("GET {DOCUMENT_PATH} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n")
}

/// Version of the routing document, as a control daemon returns it; `None` if it does not.
fn read_version(control: &str) -> Option<u64> {
    let (_, body) = exchange(control, &read_request()).filter(|(status, _)| *status == 200)?;
    serde_json::from_str::<serde_json::Value>(&body).ok()?["version"].as_u64()
}

/// Connection of a caller to an entry, which stays open from one request to the next.
#[derive(Default)]
struct KeptConnection(Option<BufReader<TcpStream>>);

impl KeptConnection {
    /// Sends a request. Returns head and body of the response; `None` if it doesn't come whole.
    fn exchange(&mut self, address: &str, request: &str) -> Option<String> {
        let mut stream = match self.0.take() {
            Some(stream) => stream,
            None => {
                let address = address.parse().expect("an address");
                let stream = TcpStream::connect_timeout(&address, CALL_PATIENCE).ok()?;
                stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
                BufReader::new(stream)
            }
        };
        stream.get_mut().write_all(request.as_bytes()).ok()?;
        let mut text = String::new();
        while !text.ends_with("\r\n\r\n") {
            (stream.read_line(&mut text).ok()? > 0).then_some(())?;
        }
        let head = text.to_ascii_lowercase();
        let field = |name| head.lines().find_map(|line| line.strip_prefix(name).map(str::trim));
        let mut body = vec![0; field("content-length:")?.parse().ok()?];
        stream.read_exact(&mut body).ok()?;
        text.push_str(&String::from_utf8(body).ok()?);
        self.0 = (field("connection:") != Some("close")).then_some(stream);
        Some(text)
    }
}

/// Callers, whose requests must not be retried.
pub(crate) struct Callers {
    entries: Vec<String>,
    /// Pause between two requests of a caller on connections that it keeps open, if it does.
    kept_connections: Option<Duration>,
    next: AtomicU64,
    answered_count: AtomicU64,
    refused: Mutex<BTreeSet<String>>,
    answered: Mutex<BTreeSet<String>>,
}

impl Callers {
    pub(crate) fn new(entries: Vec<String>) -> Self {
        let (next, answered_count) = (AtomicU64::new(0), AtomicU64::new(0));
        Self {
            entries,
            kept_connections: None,
            next,
            answered_count,
            refused: Mutex::default(),
            answered: Mutex::default(),
        }
    }

    /// Callers that keep their connections open and pause between two requests.
    pub(crate) fn with_kept_connections(entries: Vec<String>, pause: Duration) -> Self {
        Self { kept_connections: Some(pause), ..Self::new(entries) }
    }

    pub(crate) fn answered_count(&self) -> u64 {
        self.answered_count.load(Ordering::SeqCst)
    }

    /// Sends requests of one caller to the entries in turn.
    pub(crate) fn send_requests(&self, caller: usize, notices: &Notices, is_done: &AtomicBool) {
        let mut next_entry = caller;
        let mut kept: Vec<KeptConnection> =
            self.entries.iter().map(|_| Default::default()).collect();
        let connection = self.kept_connections.map_or("Connection: close\r\n", |_| "");
        while !is_done.load(Ordering::SeqCst) {
            next_entry = (next_entry + 1) % self.entries.len();
            let attempt = format!("a{}", self.next.fetch_add(1, Ordering::SeqCst));
            let request = format!(
                "POST /x/{attempt} HTTP/1.1\r\nHost: a.example\r\n{connection}{}Content-Length: 2\r\n\r\nhi",
                request_header_lines(&attempt, 3_000)
            );
            notices.sending(&attempt, next_entry);
            let entry = &self.entries[next_entry];
            let response = match self.kept_connections {
                Some(_) => kept[next_entry].exchange(entry, &request),
                None => exchange_text(entry, &request),
            };
            if let Some(response) = &response {
                notices.passed_on(next_entry, response);
            }
            match response.as_deref().and_then(status_and_body) {
                Some((200, body)) => {
                    assert_eq!(
                        body,
                        format!("answer {attempt}"),
                        "the response belongs to another request"
                    );
                    lock(&self.answered).insert(attempt);
                    self.answered_count.fetch_add(1, Ordering::SeqCst);
                }
                Some((503, _)) => drop(lock(&self.refused).insert(attempt)),
                // Any other result leaves open whether the request ran.
                Some(_) | None => {}
            }
            thread::sleep(self.kept_connections.unwrap_or(REQUEST_INTERVAL));
        }
    }

    /// Compares the responses that callers got with the requests that upstreams ran.
    pub(crate) fn check(&self, upstreams: &Upstreams) {
        let runs = upstreams.runs();
        let repeated: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
        assert!(repeated.is_empty(), "requests run more than once: {repeated:?}");
        let refused = lock(&self.refused);
        let refused_but_run: Vec<_> = refused.iter().filter(|a| runs.contains_key(*a)).collect();
        assert!(refused_but_run.is_empty(), "refused as not run, but run: {refused_but_run:?}");
        let answered = lock(&self.answered);
        let answered_but_not_run: Vec<_> =
            answered.iter().filter(|a| !runs.contains_key(*a)).collect();
        assert!(
            answered_but_not_run.is_empty(),
            "answered, but never run: {answered_but_not_run:?}"
        );
    }
}

/// Caller that sends the same request again and again, under which upstreams break off.
pub(crate) struct CrashingCaller {
    entries: Vec<String>,
    /// When a daemon first refused the request because of that.
    quarantined_at: Mutex<Option<Instant>>,
    /// Number of runs of the request once all daemons had to know of the quarantine.
    runs_when_known: Mutex<Option<usize>>,
}

impl CrashingCaller {
    pub(crate) fn new(entries: Vec<String>) -> Self {
        Self { entries, quarantined_at: Mutex::default(), runs_when_known: Mutex::default() }
    }

    /// Sends the request to the entries in turn.
    pub(crate) fn send_requests(&self, upstreams: &Upstreams, is_done: &AtomicBool) {
        for turn in 0.. {
            if is_done.load(Ordering::SeqCst) {
                return;
            }
            let request = format!(
                "POST /x/ HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n{}Content-Length: 5\r\n\r\ncrash",
                request_header_lines(&format!("{CRASH_PREFIX}{turn}"), 3_000)
            );
            let response = exchange(&self.entries[turn % self.entries.len()], &request);
            let is_refused = response.is_some_and(|(_, body)| body.contains(QUARANTINED));
            let mut quarantined_at = lock(&self.quarantined_at);
            if is_refused && quarantined_at.is_none() {
                *quarantined_at = Some(Instant::now());
            }
            if quarantined_at.is_some_and(|at| at.elapsed() >= QUARANTINE_SPREAD_TIME) {
                lock(&self.runs_when_known).get_or_insert_with(|| Self::runs(upstreams));
            }
            drop(quarantined_at);
            thread::sleep(CRASH_INTERVAL);
        }
    }

    /// Whether the request was refused, and long enough ago for all daemons to know.
    pub(crate) fn is_known(&self) -> bool {
        lock(&self.runs_when_known).is_some()
    }

    /// Checks that the request hardly reached an upstream any more.
    pub(crate) fn check(&self, upstreams: &Upstreams) {
        let before = lock(&self.runs_when_known).expect("the request is refused");
        let late_runs = Self::runs(upstreams) - before;
        assert!(late_runs <= LATE_CRASHES_ALLOWED, "{late_runs} runs of a quarantined request");
    }

    fn runs(upstreams: &Upstreams) -> usize {
        upstreams.runs().keys().filter(|attempt| attempt.starts_with(CRASH_PREFIX)).count()
    }
}
