//! Simulated callers, operators and upstreams, with the checks of what each observes.

use crate::region::{Upstream, eventually, exchange};
use fake::FaultProxy;
use platform::stand_in::{DOCUMENT_PATH, document, request_header_lines, upstream_path};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval at which upstreams repeat their registration.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(300);
/// Pause between changes of the operator.
const CHANGE_INTERVAL: Duration = Duration::from_millis(120);
/// Pause between requests of a caller or an operator.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Upstreams of one service, each behind a proxy that injects network faults.
pub(crate) struct Upstreams(Vec<(Upstream, FaultProxy)>);

impl Upstreams {
    pub(crate) fn start(count: usize) -> Self {
        let one = |_| {
            let upstream = Upstream::start("answer");
            let proxy = FaultProxy::start(upstream.address).expect("a port");
            (upstream, proxy)
        };
        Self((0..count).map(one).collect())
    }

    pub(crate) fn proxies(&self) -> impl Iterator<Item = &FaultProxy> {
        self.0.iter().map(|(_, proxy)| proxy)
    }

    pub(crate) fn proxy(&self, i: usize) -> &FaultProxy {
        &self.0[i].1
    }

    /// Registers all upstreams again and again, at the first control daemon that accepts it.
    pub(crate) fn register(&self, controls: &[String], is_done: &AtomicBool) {
        let mut sequence = 0;
        while !is_done.load(Ordering::SeqCst) {
            sequence += 1;
            for (i, (upstream, proxy)) in self.0.iter().enumerate() {
                let body = upstream.registration_at(proxy.address(), "s1", sequence, "ready");
                let request = put(&upstream_path(&format!("u{i}")), &body);
                // If no daemon accepts it, the next registration follows soon.
                let _ = controls.iter().find(|c| is_ok(exchange(c, &request).as_ref()));
            }
            thread::sleep(REGISTRATION_INTERVAL);
        }
    }

    /// Number of runs of each attempt.
    fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for attempt in self.0.iter().flat_map(|(upstream, _)| upstream.runs()) {
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

/// Version of the routing document, as a control daemon returns it; `None` if it does not.
fn read_version(control: &str) -> Option<u64> {
    let request = format!("GET {DOCUMENT_PATH} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n");
    let (_, body) = exchange(control, &request).filter(|(status, _)| *status == 200)?;
    serde_json::from_str::<serde_json::Value>(&body).ok()?["version"].as_u64()
}

/// Callers, whose requests must not be retried.
pub(crate) struct Callers {
    entries: Vec<String>,
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
            next,
            answered_count,
            refused: Mutex::default(),
            answered: Mutex::default(),
        }
    }

    pub(crate) fn answered_count(&self) -> u64 {
        self.answered_count.load(Ordering::SeqCst)
    }

    /// Sends requests of one caller to the entries in turn.
    pub(crate) fn send_requests(&self, caller: usize, is_done: &AtomicBool) {
        let mut next_entry = caller;
        while !is_done.load(Ordering::SeqCst) {
            next_entry += 1;
            let attempt = format!("a{}", self.next.fetch_add(1, Ordering::SeqCst));
            let request = format!(
                "POST /x/{attempt} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n{}Content-Length: 2\r\n\r\nhi",
                request_header_lines(&attempt, 3_000)
            );
            match exchange(&self.entries[next_entry % self.entries.len()], &request) {
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
            thread::sleep(REQUEST_INTERVAL);
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
