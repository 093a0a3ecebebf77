//! Daemons of an earlier build are replaced by this one, one after the other, under load.
//!
//! The earlier build is the program that the environment variable `UPGRADE_FROM` names. `.ci/upgrade`
//! builds one from the repository's history; without it, these tests say that they were not run.

use crate::{
    region::{Region, eventually, exchange},
    stand_ins::{Upstream, one_event},
};
use platform::stand_in::{
    DOCUMENT_PATH, document_with_keys, key_header_line, request_header_lines, upstream_path,
};
use std::{
    collections::BTreeSet,
    env,
    path::{Path, PathBuf},
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Number of members of the control group, and of entries.
const MEMBERS: usize = 3;
const ENTRIES: usize = 2;
/// Key that stays valid, and one that is withdrawn while daemons are replaced.
const KEY: &str = "k-stays";
const WITHDRAWN_KEY: &str = "k-goes";
/// Interval at which upstreams repeat their registrations.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(300);
/// Pause of a caller between two requests: with one request at a time, the upstreams are never full.
const CALLER_PAUSE: Duration = Duration::from_millis(15);
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(4);
/// Time after the acknowledgement of a departure within which requests that were sent before it may
/// still arrive.
const DRAIN_TIME: Duration = Duration::from_millis(500);
/// Share of the requests at ready entries that may fail: those that a killed leader had just placed.
const MAX_FAILED_SHARE: f64 = 0.02;

/// The program of the earlier build; `None` if none is given.
fn earlier_build() -> Option<PathBuf> {
    let path = env::var_os("UPGRADE_FROM").map(PathBuf::from);
    if path.is_none() {
        println!("not run: UPGRADE_FROM names no earlier build");
    }
    path
}

/// What callers and upstreams of a region see while its daemons are replaced.
#[derive(Default)]
struct Observed {
    is_done: AtomicBool,
    /// Entry that gets no requests, as a balancer sends none to one that isn't ready.
    avoided: AtomicUsize,
    requests: AtomicU64,
    failed: Mutex<Vec<String>>,
    /// Whether the first plain upstream registers as draining.
    is_first_leaving: AtomicBool,
}

/// Upstreams of a region: engines, and plain ones whose requests may not be sent again.
struct Upstreams {
    engines: [Upstream; 3],
    plain: [Upstream; 3],
}

impl Upstreams {
    fn start() -> Self {
        Self {
            engines: [one_event, one_event, one_event].map(Upstream::scripted),
            plain: ["p0", "p1", "p2"].map(Upstream::start),
        }
    }

    fn all(&self) -> impl Iterator<Item = (String, &'static str, &Upstream)> {
        let engines = self.engines.iter().enumerate();
        let engines = engines.map(|(i, upstream)| (format!("e{i}"), "s1", upstream));
        let plain = self.plain.iter().enumerate();
        engines.chain(plain.map(|(i, upstream)| (format!("p{i}"), "s2", upstream)))
    }

    /// Registers them again and again, at one member after the other.
    fn keep_registered(&self, addresses: &Addresses, observed: &Observed) {
        let mut sequence = 1;
        while !observed.is_done.load(Ordering::Relaxed) {
            sequence += 1;
            for (number, (id, service, upstream)) in self.all().enumerate() {
                let is_leaving = id == "p0" && observed.is_first_leaving.load(Ordering::Relaxed);
                let state = if is_leaving { "draining" } else { "ready" };
                let body = upstream.registration(service, sequence, state);
                let member = (number + sequence as usize) % MEMBERS;
                control_request(&addresses.members[member], "PUT", &upstream_path(&id), &body);
            }
            thread::sleep(REGISTRATION_INTERVAL);
        }
    }
}

/// Addresses of the daemons: the members for operators and upstreams, the entries for callers.
struct Addresses {
    members: Vec<String>,
    entries: Vec<String>,
}

/// Sends one control request. Returns status and body; `None` without a complete response.
fn control_request(address: &str, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let head = format!("{method} {path} HTTP/1.1\r\nHost: control\r\nConnection: close");
    exchange(address, &format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// Sends one request of a caller with this key. Returns status and body.
fn request(address: &str, path: &str, id: &str, key: &str) -> Option<(u16, String)> {
    let head = format!("POST {path} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n");
    let header_lines = request_header_lines(id, DEADLINE.as_millis() as u64);
    let key = key_header_line(key);
    exchange(address, &format!("{head}{header_lines}{key}Content-Length: 0\r\n\r\n"))
}

/// Sends requests to the entries in turn, as callers behind a balancer do.
fn call(addresses: &Addresses, observed: &Observed) {
    for turn in 0.. {
        if observed.is_done.load(Ordering::Relaxed) {
            return;
        }
        thread::sleep(CALLER_PAUSE);
        let entry = turn % ENTRIES;
        if MEMBERS + entry == observed.avoided.load(Ordering::Relaxed) {
            continue;
        }
        let path = if turn % 4 < 2 { "/stream/" } else { "/call/" };
        let response = request(&addresses.entries[entry], path, &format!("r{turn}"), KEY);
        observed.requests.fetch_add(1, Ordering::Relaxed);
        if response.as_ref().is_none_or(|(status, _)| *status != 200) {
            let failed = format!("{path} at entry {entry}: {response:?}");
            observed.failed.lock().expect("not poisoned").push(failed);
        }
    }
}

/// What an operator has changed, and reads back.
struct Operator<'a> {
    addresses: &'a Addresses,
    version: u64,
}

impl Operator<'_> {
    /// Publishes the next version, with these keys, at one member after the other until one
    /// acknowledges it.
    fn publish(&mut self, keys: &[&str]) {
        self.version += 1;
        let document = document_with_keys(self.version, keys);
        let mut turn = self.version as usize;
        eventually("an acknowledgement", || {
            turn += 1;
            let address = &self.addresses.members[turn % MEMBERS];
            let response = control_request(address, "PUT", DOCUMENT_PATH, &document);
            response.filter(|(status, _)| *status == 200)
        });
    }

    /// Checks that each member that is sure of the newest version reads that.
    fn check(&self) {
        for address in &self.addresses.members {
            let (_, body) = eventually("a member that is sure", || {
                let response = control_request(address, "GET", DOCUMENT_PATH, "");
                response.filter(|(status, _)| *status == 200)
            });
            let document: serde_json::Value = serde_json::from_str(&body).expect("JSON");
            assert_eq!(document["version"], self.version, "at {address}");
        }
    }
}

/// Stops a daemon as planned, and starts it with another build. No requests are sent to an entry
/// meanwhile.
fn replace(region: &mut Region, observed: &Observed, i: usize, build: Option<&Path>) {
    if i >= MEMBERS {
        observed.avoided.store(i, Ordering::Relaxed);
        thread::sleep(DRAIN_TIME);
    }
    region.terminate(i);
    eventually("the end of a daemon", || (!region.is_running(i)).then_some(()));
    start(region, i, build);
    if i >= MEMBERS {
        eventually("a ready entry", || region.is_ready(i).then_some(()));
        observed.avoided.store(0, Ordering::Relaxed);
    }
}

/// Starts a daemon with a build and waits until the group is complete.
fn start(region: &mut Region, i: usize, build: Option<&Path>) {
    region.set_build(i, build);
    region.start(i, false);
    region.await_members(MEMBERS);
}

/// Replaces all daemons in this order, kills the leader in the middle, and goes back by one daemon of
/// each kind. Callers, upstreams and an operator go on meanwhile.
fn check_upgrade(order: [usize; MEMBERS + ENTRIES]) {
    let Some(earlier) = earlier_build() else { return };
    let mut region = Region::with_entries(MEMBERS, ENTRIES);
    (0..MEMBERS + ENTRIES).for_each(|i| region.set_build(i, Some(&earlier)));
    region.start_all(true);
    region.await_members(MEMBERS);
    let addresses = Addresses {
        members: (0..MEMBERS).map(|i| region.control_address(i)).collect(),
        entries: (MEMBERS..MEMBERS + ENTRIES).map(|i| region.callers_address(i)).collect(),
    };
    let upstreams = Upstreams::start();
    let observed = Observed::default();
    let mut operator = Operator { addresses: &addresses, version: 0 };
    operator.publish(&[KEY, WITHDRAWN_KEY]);
    thread::scope(|scope| {
        // The threads end also if an assertion fails.
        let _done = Done(&observed.is_done);
        scope.spawn(|| upstreams.keep_registered(&addresses, &observed));
        eventually("requests at an engine and all plain upstreams", || {
            addresses.entries.iter().for_each(|address| {
                request(address, "/stream/", "s", KEY);
                request(address, "/call/", "c", KEY);
            });
            let has_run = |upstream: &Upstream| !upstream.runs().is_empty();
            let has_engine = upstreams.engines.iter().any(has_run);
            (has_engine && upstreams.plain.iter().all(has_run)).then_some(())
        });
        scope.spawn(|| call(&addresses, &observed));
        let mut departed_runs = None;
        for (step, i) in order.into_iter().enumerate() {
            replace(&mut region, &observed, i, None);
            operator.publish(&[KEY, WITHDRAWN_KEY]);
            operator.check();
            if step == 1 {
                observed.is_first_leaving.store(true, Ordering::Relaxed);
                eventually("an acknowledged departure", || {
                    let body = upstreams.plain[0].registration("s2", 1 << 20, "draining");
                    let path = upstream_path("p0");
                    let response = control_request(&addresses.members[0], "PUT", &path, &body);
                    response.filter(|(status, _)| *status == 200)
                });
                thread::sleep(DRAIN_TIME);
                departed_runs = Some(upstreams.plain[0].runs().len());
            }
            if step == 2 {
                let leader = region.await_leader(MEMBERS);
                region.kill(leader);
                start(&mut region, leader, None);
                operator.publish(&[KEY]);
                operator.check();
            }
        }
        replace(&mut region, &observed, 0, Some(&earlier));
        replace(&mut region, &observed, MEMBERS, Some(&earlier));
        operator.publish(&[KEY]);
        operator.check();
        assert_eq!(departed_runs, Some(upstreams.plain[0].runs().len()), "an upstream that left");
        for (entry, address) in addresses.entries.iter().enumerate() {
            let status = request(address, "/call/", "w", WITHDRAWN_KEY).map(|(status, _)| status);
            assert_eq!(status, Some(401), "a withdrawn key at entry {entry}");
        }
    });
    check_calls(&upstreams, &observed);
}

/// Checks that calls ran at most once, and that nearly all requests were served.
fn check_calls(upstreams: &Upstreams, observed: &Observed) {
    let runs: Vec<String> = upstreams.plain.iter().flat_map(Upstream::runs).collect();
    let runs = runs.iter().filter(|id| id.starts_with('r')).collect::<Vec<_>>();
    let distinct: BTreeSet<_> = runs.iter().collect();
    assert_eq!(runs.len(), distinct.len(), "a call ran twice");
    let failed = observed.failed.lock().expect("not poisoned");
    let requests = observed.requests.load(Ordering::Relaxed);
    println!("{} of {requests} requests failed", failed.len());
    let allowed = (requests as f64 * MAX_FAILED_SHARE) as usize;
    assert!(failed.len() <= allowed, "{} of {requests} failed: {failed:#?}", failed.len());
}

/// A member that has gone is exchanged for another one while one of the members runs the earlier build. That
/// one follows the exchange, goes on with the log of it after a restart, and is then replaced itself.
#[test]
fn a_member_is_exchanged_beside_an_earlier_build() {
    let Some(earlier) = earlier_build() else { return };
    let mut region = Region::with_entries(MEMBERS + 1, 1);
    region.set_build(0, Some(&earlier));
    (0..MEMBERS).for_each(|i| region.start(i, true));
    region.await_members(MEMBERS);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &document_with_keys(1, &[KEY]));
    let leader = loop {
        let leader = region.await_leader(MEMBERS);
        if leader != 0 {
            break leader;
        }
        region.stop(0);
        region.start(0, false);
        region.await_members(MEMBERS);
    };
    let gone = MEMBERS - leader;
    region.kill(gone);
    region.start(MEMBERS, false);
    eventually("an exchange", || region.log(leader).contains("Exchange").then_some(()));
    region.await_members(MEMBERS);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &document_with_keys(2, &[KEY]));
    region.stop(0);
    region.start(0, false);
    region.await_members(MEMBERS);
    region.stop(0);
    start(&mut region, 0, None);
    let members = [0, leader, MEMBERS];
    members.iter().for_each(|i| region.kill(*i));
    members.iter().for_each(|i| region.start(*i, false));
    region.await_members(MEMBERS);
    let body = region.control_request_until_ok(0, "GET", DOCUMENT_PATH, "");
    let document: serde_json::Value = serde_json::from_str(&body).expect("JSON");
    assert_eq!(document["version"], 2);
}

/// Sets a flag when it is dropped.
struct Done<'a>(&'a AtomicBool);

impl Drop for Done<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

#[test]
fn members_are_replaced_first() {
    check_upgrade([0, 1, 2, 3, 4]);
}

#[test]
fn entries_are_replaced_first() {
    check_upgrade([4, 3, 2, 1, 0]);
}

#[test]
fn members_and_entries_are_replaced_in_turn() {
    check_upgrade([1, 3, 2, 4, 0]);
}
