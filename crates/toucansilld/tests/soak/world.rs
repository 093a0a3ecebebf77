//! Callers, operators and upstreams, and what each of them must never see.

use crate::region::{Upstream, eventually, exchange};
use fake::Relay;
use platform::stand_in::{DOCUMENT_PATH, caller_headers, document, upstream_path};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Time between two statements of an upstream.
const STATEMENT_PAUSE: Duration = Duration::from_millis(300);
/// Time between two changes of an operator.
const CHANGE_PAUSE: Duration = Duration::from_millis(120);
/// Time between two requests of a caller.
const CALL_PAUSE: Duration = Duration::from_millis(10);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Upstreams of one service, each behind a relay that can fail.
pub(crate) struct Upstreams(Vec<(Upstream, Relay)>);

impl Upstreams {
    pub(crate) fn start(count: usize) -> Self {
        let one = |_| {
            let upstream = Upstream::start("answer");
            let relay = Relay::start(upstream.address).expect("a port");
            (upstream, relay)
        };
        Self((0..count).map(one).collect())
    }

    pub(crate) fn relays(&self) -> impl Iterator<Item = &Relay> {
        self.0.iter().map(|(_, relay)| relay)
    }

    pub(crate) fn relay(&self, i: usize) -> &Relay {
        &self.0[i].1
    }

    /// Says that all are there, to any control daemon that answers.
    pub(crate) fn announce(&self, controls: &[String], is_over: &AtomicBool) {
        let mut sequence = 0;
        while !is_over.load(Ordering::SeqCst) {
            sequence += 1;
            for (i, (upstream, relay)) in self.0.iter().enumerate() {
                let body = upstream.statement_at(relay.address(), "s1", sequence, "ready");
                let request = put(&upstream_path(&format!("u{i}")), &body);
                // Any daemon will do; the next statement comes soon if none answers.
                let _ = controls.iter().find(|c| is_ok(exchange(c, &request).as_ref()));
            }
            thread::sleep(STATEMENT_PAUSE);
        }
    }

    /// How often each attempt ran.
    fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for attempt in self.0.iter().flat_map(|(upstream, _)| upstream.runs()) {
            *runs.entry(attempt).or_default() += 1;
        }
        runs
    }
}

fn put(path: &str, body: &str) -> String {
    format!(
        "PUT {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn is_ok(answer: Option<&(u16, String)>) -> bool {
    answer.is_some_and(|(status, _)| *status == 200)
}

/// An operator that publishes, and one that reads.
pub(crate) struct Operator {
    /// Highest version that was acknowledged.
    acknowledged: AtomicU64,
}

impl Operator {
    pub(crate) fn new() -> Self {
        Self { acknowledged: AtomicU64::new(1) }
    }

    pub(crate) fn acknowledged(&self) -> u64 {
        self.acknowledged.load(Ordering::SeqCst)
    }

    /// Publishes one version after the other; each is sent until it is acknowledged.
    pub(crate) fn publish(&self, controls: &[String], is_over: &AtomicBool) {
        for version in 2.. {
            let request = put(DOCUMENT_PATH, &document(version, "/x/", "s1"));
            let mut turn = version as usize;
            while !is_ok(exchange(&controls[turn % controls.len()], &request).as_ref()) {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                turn += 1;
                thread::sleep(CALL_PAUSE);
            }
            self.acknowledged.store(version, Ordering::SeqCst);
            if is_over.load(Ordering::SeqCst) {
                return;
            }
            thread::sleep(CHANGE_PAUSE);
        }
    }

    /// Reads at all daemons: none may answer with less than was acknowledged before.
    pub(crate) fn read(&self, controls: &[String], is_over: &AtomicBool) {
        while !is_over.load(Ordering::SeqCst) {
            for control in controls {
                let before = self.acknowledged();
                if let Some(version) = read_version(control) {
                    assert!(version >= before, "{control} says {version} after {before}");
                }
            }
            thread::sleep(CALL_PAUSE);
        }
    }

    /// What was acknowledged is still there.
    pub(crate) fn check_kept(&self, controls: &[String]) {
        let version = eventually("a read", || read_version(&controls[0]));
        assert!(version >= self.acknowledged(), "{version} of {}", self.acknowledged());
    }
}

fn read_version(control: &str) -> Option<u64> {
    let request = format!("GET {DOCUMENT_PATH} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n");
    let (_, body) = exchange(control, &request).filter(|(status, _)| *status == 200)?;
    serde_json::from_str::<serde_json::Value>(&body).ok()?["version"].as_u64()
}

/// Callers of calls that may not be repeated.
pub(crate) struct Callers {
    entries: Vec<String>,
    next: AtomicU64,
    served: AtomicU64,
    refused: Mutex<BTreeSet<String>>,
    answered: Mutex<BTreeSet<String>>,
}

impl Callers {
    pub(crate) fn new(entries: Vec<String>) -> Self {
        let (next, served) = (AtomicU64::new(0), AtomicU64::new(0));
        Self { entries, next, served, refused: Mutex::default(), answered: Mutex::default() }
    }

    pub(crate) fn served(&self) -> u64 {
        self.served.load(Ordering::SeqCst)
    }

    /// Calls one entry after the other.
    pub(crate) fn call(&self, caller: usize, is_over: &AtomicBool) {
        let mut turn = caller;
        while !is_over.load(Ordering::SeqCst) {
            turn += 1;
            let attempt = format!("a{}", self.next.fetch_add(1, Ordering::SeqCst));
            let request = format!(
                "POST /x/{attempt} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n{}Content-Length: 2\r\n\r\nhi",
                caller_headers(&attempt, 3_000)
            );
            match exchange(&self.entries[turn % self.entries.len()], &request) {
                Some((200, body)) => {
                    assert_eq!(body, format!("answer {attempt}"), "somebody else's answer");
                    lock(&self.answered).insert(attempt);
                    self.served.fetch_add(1, Ordering::SeqCst);
                }
                Some((503, _)) => drop(lock(&self.refused).insert(attempt)),
                // Anything else promises nothing.
                Some(_) | None => {}
            }
            thread::sleep(CALL_PAUSE);
        }
    }

    /// Compares what callers were told with what upstreams ran.
    pub(crate) fn check(&self, upstreams: &Upstreams) {
        let runs = upstreams.runs();
        let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
        assert!(twice.is_empty(), "run more than once: {twice:?}");
        let refused = lock(&self.refused);
        let untrue: Vec<_> = refused.iter().filter(|a| runs.contains_key(*a)).collect();
        assert!(untrue.is_empty(), "refused as not run, and run: {untrue:?}");
        let answered = lock(&self.answered);
        let invented: Vec<_> = answered.iter().filter(|a| !runs.contains_key(*a)).collect();
        assert!(invented.is_empty(), "answered and never run: {invented:?}");
    }
}
