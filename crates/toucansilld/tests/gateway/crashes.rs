//! Tests of a request that crashes the upstreams which run it: after the third crash it must be
//! refused, whatever daemon gets it.

use crate::region::{Reaction, Region, Upstream, eventually, one_event};
use platform::stand_in::{DOCUMENT_PATH, document, engine_document, upstream_path};
use std::{thread, time::Duration};

/// Number of upstreams that the request may crash before it is refused.
const CRASHES_ALLOWED: usize = 3;
/// Number of times that the request may still reach an upstream once all daemons have to know of
/// these crashes.
const LATE_RUNS_ALLOWED: usize = 3;
/// Number of times that the request is sent after that.
const RESENDS: usize = 10;
/// Time after the last of these crashes within which all daemons have to know of it.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(2);

/// Reaction of an upstream that crashes at a request with the body `crash` or `hang`, and responds
/// to any other with a stream of one event.
fn crash_at_body(head: &str, body: &str) -> Reaction {
    match body {
        "crash" => Reaction::Crash,
        "hang" => Reaction::FallSilent,
        _ => Reaction::Respond(one_event(head, body)),
    }
}

/// A service whose upstreams are crashed by a request. There is always one upstream more than has
/// crashed so far.
struct Service {
    region: Region,
    upstreams: Vec<Upstream>,
    /// Body of the request that crashes upstreams.
    body: &'static str,
}

impl Service {
    /// Starts a region with two entries, and the first upstream of a service.
    fn start(control_count: usize, document: &str, body: &'static str) -> Self {
        let mut region = Region::with_entries(control_count, 2);
        region.start_all(true);
        region.await_members(control_count);
        region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, document);
        let mut service = Self { region, upstreams: Vec::new(), body };
        service.add_upstream();
        service
    }

    /// Index of one of the two entries.
    fn entry(&self, turn: usize) -> usize {
        self.region.entry() + turn % 2
    }

    /// Registers an upstream, and waits until both entries send it requests.
    fn add_upstream(&mut self) {
        let upstream = Upstream::crashing(crash_at_body);
        let path = &upstream_path(&format!("u{}", self.upstreams.len()));
        let body = &upstream.registration("s1", 1, "ready");
        eventually("the upstream is registered", || {
            let is_accepted = |i: usize| {
                let response = self.region.control_request(i, "PUT", path, body);
                response.is_some_and(|(status, _)| status == 200)
            };
            (0..self.region.entry()).any(is_accepted).then_some(())
        });
        for entry in [self.entry(0), self.entry(1)] {
            eventually("an innocent request is served", || {
                let served = self.region.request_at(entry, "/x/", "innocent", DEADLINE);
                served.filter(|(status, _)| *status == 200)
            });
        }
        self.upstreams.push(upstream);
    }

    /// Number of times that the request has crashed an upstream.
    fn crashes(&self) -> usize {
        let is_crash =
            |run: &String| run.split_once("\r\n\r\n").is_some_and(|(_, body)| body == self.body);
        self.upstreams.iter().flat_map(Upstream::runs).filter(is_crash).count()
    }

    /// Sends the request, and replaces an upstream that it has crashed. Returns the status.
    fn send_crashing(&mut self, turn: usize) -> Option<u16> {
        let before = self.crashes();
        let response = self.region.request_at(self.entry(turn), "/x/", self.body, DEADLINE);
        if self.crashes() > before {
            self.add_upstream();
        }
        response.map(|(status, _)| status)
    }

    /// Sends the request until it has crashed as many upstreams as it may, and waits until all
    /// daemons have to know of it.
    fn crash_upstreams(&mut self) {
        for turn in 0.. {
            if self.crashes() >= CRASHES_ALLOWED {
                break;
            }
            self.send_crashing(turn);
        }
        thread::sleep(SPREAD_TIME);
    }

    /// Sends the request many times more, and checks that hardly any reaches an upstream.
    fn assert_is_refused(&mut self) {
        let before = self.crashes();
        let statuses: Vec<_> = (0..RESENDS).map(|turn| self.send_crashing(turn)).collect();
        let late_runs = self.crashes() - before;
        assert!(late_runs <= LATE_RUNS_ALLOWED, "{late_runs} more crashes: {statuses:?}");
        assert_eq!(statuses.last(), Some(&Some(503)), "refused as not run");
    }
}

/// Guards against crashes that are not counted, as entries place requests of plain services
/// themselves.
#[test]
fn a_request_that_crashes_upstreams_of_a_plain_service_is_refused() {
    let mut service = Service::start(1, &document(1, "/x/", "s1"), "crash");
    service.crash_upstreams();
    service.assert_is_refused();
}

/// Guards against a quarantine that ends with the leader which began it.
#[test]
fn a_request_that_has_crashed_upstreams_is_refused_by_later_leaders() {
    let mut service = Service::start(3, &engine_document(1, "/x/"), "crash");
    service.crash_upstreams();
    let before = service.crashes();
    for _ in 0..2 {
        let leader = service.region.await_leader(3);
        service.region.kill(leader);
        // Another member, which knows the upstreams, leads before this one is back.
        service.region.await_group(3, 2);
        service.region.start(leader, false);
        service.region.await_members(3);
        for turn in 0..RESENDS {
            service.send_crashing(turn);
        }
    }
    let late_runs = service.crashes() - before;
    assert!(late_runs <= LATE_RUNS_ALLOWED, "{late_runs} more crashes under later leaders");
}

/// Guards against entries that forget a quarantine, or never knew it, when they place requests
/// without a leader.
#[test]
fn a_request_that_has_crashed_upstreams_is_refused_without_a_leader() {
    let mut service = Service::start(1, &engine_document(1, "/x/"), "crash");
    service.crash_upstreams();
    service.assert_is_refused();
    // Without a leader no upstream can be added, so several are there before.
    (0..RESENDS).for_each(|_| service.add_upstream());
    service.region.kill(0);
    let before = service.crashes();
    let entries = [service.entry(0), service.entry(1)];
    for turn in 0..RESENDS {
        service.region.request_at(entries[turn % 2], "/x/", "crash", DEADLINE);
    }
    let late_runs = service.crashes() - before;
    assert!(late_runs <= LATE_RUNS_ALLOWED, "{late_runs} more crashes without a leader");
}

/// Guards against crashes that aren't recognised, as the upstream's connections stay open and
/// callers leave before anything is noticed.
#[test]
fn a_request_under_which_upstreams_fall_silent_is_refused() {
    let mut service = Service::start(1, &engine_document(1, "/x/"), "hang");
    service.crash_upstreams();
    service.assert_is_refused();
}
