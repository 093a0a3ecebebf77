//! Tests of requests that crash the upstreams which run them. One that is sent again and again must be
//! refused after the third crash, whatever daemon gets it; so must different requests that have a part
//! of their prompts in common which crashes upstreams, after the fifth.

use crate::{
    region::{Region, eventually},
    stand_ins::{Reaction, Upstream, one_event},
};
use platform::stand_in::{DOCUMENT_PATH, document, engine_document, upstream_path};
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::Duration,
};

/// Number of upstreams that the request may crash before it is refused.
const CRASHES_ALLOWED: usize = 3;
/// Number of times that the request may still reach an upstream once all daemons have to know of
/// these crashes.
const LATE_RUNS_ALLOWED: usize = 3;
/// Number of times that the request is sent after that.
const RESENDS: usize = 10;
/// Number of upstreams of a service that a request could crash.
const MANY_UPSTREAMS: usize = 8;
/// Delay of the link to the control group in one direction: several repetitions of a request.
const LATE_NEWS: Duration = Duration::from_millis(100);
/// Number of upstreams that requests with the same part may crash before they are refused.
const PART_CRASHES_ALLOWED: usize = 5;
/// Part of prompts that crashes upstreams.
const BAD_PART: &str = "bad";
/// Part of prompts that all requests of these tests share.
const SHARED_PART: &str = "5c1e07a2";
/// Time after the last of these crashes within which all daemons have to know of it.
const SPREAD_TIME: Duration = Duration::from_secs(3);
/// Pause before a request, after which the leader knows that the one before it has ended, and that the only
/// upstream that is left, with one slot, is free. Otherwise it names those that have crashed.
const SOUND_PAUSE: Duration = Duration::from_millis(100);
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

/// Reaction of an upstream that crashes at a prompt with [`BAD_PART`] and at a body that begins with
/// `crash`, and responds to any other with a stream of one event.
fn crash_at_part(head: &str, body: &str) -> Reaction {
    match head.contains(&format!("{BAD_PART}:")) || body.starts_with("crash") {
        true => Reaction::Crash,
        false => Reaction::Respond(one_event(head, body)),
    }
}

/// A service whose upstreams are crashed by requests. There is always one upstream more than has
/// crashed so far.
struct Service {
    region: Region,
    upstreams: Vec<Upstream>,
    react: fn(&str, &str) -> Reaction,
    /// Body of the request that crashes upstreams.
    body: &'static str,
    /// Number of requests with parts that were sent.
    sent_with_parts: usize,
}

impl Service {
    /// Starts a region with two entries, and the first upstream of a service.
    fn start(control_count: usize, document: &str, body: &'static str) -> Self {
        Self::start_with(control_count, document, body, crash_at_body)
    }

    /// Like [`start`](Self::start), with upstreams that react in this way.
    fn start_with(
        control_count: usize,
        document: &str,
        body: &'static str,
        react: fn(&str, &str) -> Reaction,
    ) -> Self {
        let mut region = Region::with_entries(control_count, 2);
        region.start_all(true);
        region.await_members(control_count);
        region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, document);
        let upstreams = Vec::new();
        let mut service = Self { region, upstreams, react, body, sent_with_parts: 0 };
        service.add_upstream();
        service
    }

    /// Index of one of the two entries.
    fn entry(&self, turn: usize) -> usize {
        self.region.entry() + turn % 2
    }

    /// Registers an upstream, and waits until both entries send it requests.
    fn add_upstream(&mut self) {
        let upstream = Upstream::crashing(self.react);
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

    /// Registers the last upstream once more, so that the leader doesn't take it for silent, as those that have
    /// crashed are.
    fn register_last(&self, sequence: u64) {
        let last = self.upstreams.len() - 1;
        let body = self.upstreams[last].registration("s1", sequence, "ready");
        let path = upstream_path(&format!("u{last}"));
        self.region.control_request_until_ok(0, "PUT", &path, &body);
    }

    /// Number of crashes of upstreams.
    fn crashes(&self) -> usize {
        let is_crash = |run: &String| {
            let (head, body) = run.split_once("\r\n\r\n").expect("a whole request");
            !matches!((self.react)(head, body), Reaction::Respond(_))
        };
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

    /// Sends a request like no other, with these shared parts, and replaces an upstream that it has
    /// crashed. `body` begins its body. Returns the status.
    fn send_with_parts(&mut self, parts: &[&str], body: &str) -> Option<u16> {
        let turn = self.sent_with_parts;
        self.sent_with_parts += 1;
        let before = self.crashes();
        let own_part = format!("{turn:x}");
        let all: Vec<&str> = parts.iter().copied().chain([own_part.as_str()]).collect();
        let (entry, body) = (self.entry(turn), format!("{body} {turn}"));
        let response = self.region.request_with_parts(entry, "/x/", &body, DEADLINE, &all);
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

/// Guards against requests that crash upstreams one after the other, each with a hash of its own, as
/// a part of their prompts does it; and against the refusal of sound ones for their common first
/// part.
#[test]
fn requests_with_a_part_that_crashes_upstreams_are_refused() {
    let mut service = Service::start_with(1, &engine_document(1, "/x/"), "", crash_at_part);
    for _ in 0..2 * PART_CRASHES_ALLOWED {
        if service.crashes() >= PART_CRASHES_ALLOWED {
            break;
        }
        service.send_with_parts(&[SHARED_PART, BAD_PART], "prompt");
    }
    thread::sleep(SPREAD_TIME);
    let before = service.crashes();
    let bad: Vec<_> =
        (0..RESENDS).map(|_| service.send_with_parts(&[SHARED_PART, BAD_PART], "prompt")).collect();
    let late_runs = service.crashes() - before;
    assert!(late_runs <= LATE_RUNS_ALLOWED, "{late_runs} more crashes: {bad:?}");
    assert_eq!(bad.last(), Some(&Some(503)), "refused as not run");
    let sound: Vec<_> =
        (0..RESENDS).map(|_| service.send_with_parts(&[SHARED_PART], "prompt")).collect();
    assert_eq!(sound, [Some(200); RESENDS], "sound requests with the same first part");

    service.region.kill(0);
    let before = service.crashes();
    let entries = [service.entry(0), service.entry(1)];
    for turn in 0..RESENDS {
        let (entry, body) = (entries[turn % 2], format!("late {turn}"));
        let parts = [BAD_PART, "own"];
        service.region.request_with_parts(entry, "/x/", &body, DEADLINE, &parts);
    }
    assert_eq!(service.crashes() - before, 0, "crashes without a leader");
}

/// Guards against the refusal of a part with which requests are served, for crashes of other causes
/// under requests that have it too.
#[test]
fn a_part_of_prompts_that_are_served_is_not_refused() {
    let mut service = Service::start_with(1, &engine_document(1, "/x/"), "", crash_at_part);
    let served: Vec<_> = (0..4).map(|_| service.send_with_parts(&[SHARED_PART], "sound")).collect();
    assert_eq!(served, [Some(200); 4]);
    for _ in 0..PART_CRASHES_ALLOWED {
        service.send_with_parts(&[SHARED_PART], "crash");
    }
    let mut sequence = 1;
    eventually("requests with the part are served", || {
        sequence += 1;
        service.register_last(sequence);
        let served = (0..2).map(|_| {
            thread::sleep(SOUND_PAUSE);
            service.send_with_parts(&[SHARED_PART], "sound")
        });
        (served.collect::<Vec<_>>() == [Some(200); 2]).then_some(())
    });
}

/// Guards against a request that crashes one upstream after the other as its caller repeats it faster than
/// the control group learns of the crashes.
#[test]
fn a_request_that_is_repeated_at_once_crashes_no_more_upstreams_than_allowed() {
    let upstreams: Vec<Upstream> =
        (0..MANY_UPSTREAMS).map(|_| Upstream::crashing(crash_at_body)).collect();
    let mut region = Region::new(1);
    let link = region.route_link_to_control(region.entry());
    region.start_all(true);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &document(1, "/x/", "s1"));
    for (i, upstream) in upstreams.iter().enumerate() {
        let path = upstream_path(&format!("u{i}"));
        region.control_request_until_ok(0, "PUT", &path, &upstream.registration("s1", 1, "ready"));
    }
    let send = |body| region.request_at(region.entry(), "/x/", body, DEADLINE);
    eventually("an innocent request at each upstream", || {
        send("innocent");
        upstreams.iter().all(|upstream| !upstream.runs().is_empty()).then_some(())
    });
    link.set_delay(LATE_NEWS);
    (0..RESENDS).for_each(|_| drop(send("crash")));
    let crashes = upstreams.iter().flat_map(Upstream::runs).filter(|run| run.ends_with("crash"));
    assert_eq!(crashes.count(), CRASHES_ALLOWED, "crashed upstreams");
}

/// Guards against a sound request that is refused for minutes, as several upstreams have crashed at once for
/// another reason, and each was running it: callers look up the same thing.
#[test]
fn a_request_that_is_served_is_not_refused_for_crashes_of_other_causes() {
    static CRASHES_LEFT: AtomicUsize = AtomicUsize::new(0);
    fn crash_together(head: &str, body: &str) -> Reaction {
        let left =
            CRASHES_LEFT.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
        match left {
            Ok(_) => Reaction::Crash,
            Err(_) => Reaction::Respond(one_event(head, body)),
        }
    }
    let upstreams: Vec<Upstream> =
        (0..MANY_UPSTREAMS).map(|_| Upstream::crashing(crash_together)).collect();
    let mut region = Region::with_entries(1, 2);
    region.start_all(true);
    region.control_request_until_ok(0, "PUT", DOCUMENT_PATH, &document(1, "/x/", "s1"));
    for (i, upstream) in upstreams.iter().enumerate() {
        let path = upstream_path(&format!("u{i}"));
        region.control_request_until_ok(0, "PUT", &path, &upstream.registration("s1", 1, "ready"));
    }
    let entries = [region.entry(), region.entry() + 1];
    let status = |entry| region.request_at(entry, "/x/", "same", DEADLINE).map(|(s, _)| s);
    eventually("the request at each upstream", || {
        let served = entries.iter().all(|entry| status(*entry) == Some(200));
        (served && upstreams.iter().all(|upstream| !upstream.runs().is_empty())).then_some(())
    });
    CRASHES_LEFT.store(CRASHES_ALLOWED, Ordering::SeqCst);
    eventually("the crashes", || {
        entries.iter().for_each(|entry| _ = status(*entry));
        (CRASHES_LEFT.load(Ordering::SeqCst) == 0).then_some(())
    });
    thread::sleep(SPREAD_TIME);
    for entry in entries {
        let statuses: Vec<_> = (0..RESENDS).map(|_| status(entry)).collect();
        assert!(statuses.contains(&Some(200)), "at daemon {entry}: {statuses:?}");
    }
}
