//! Guarantees of the dispatcher, apart from the quality of its placements.

use grant::{
    Decision, Directory, Dispatcher, DispatcherConfig, Grant, LimitReport, PlacementRequest,
    PlacementRequestId, RefusalReason, Registration, RequestOutcome, RunningRequest,
};
use routing::{EngineProfile, Service};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

const SERVICE: &str = "s";
/// Time in milliseconds after which a request of which nothing is heard has expired.
const LATE_COPY_LASTS_MS: u64 = 10 * 60 * 1_000;

struct Fixture {
    now: Instant,
    directory: Directory,
    dispatcher: Dispatcher,
    last_number: u64,
}

impl Fixture {
    fn new(engines: usize) -> Self {
        let now = Instant::now();
        let mut directory = Directory::new();
        for i in 0..engines {
            directory.register(now, engine(i, 1));
        }
        let mut service = Service::new(SERVICE);
        service.cold_requests_per_s = 4.0;
        service.engine = Some(EngineProfile::example());
        let cfg = DispatcherConfig { retry_ratio: 0.2, retry_slack: 100.0, ..Default::default() };
        let mut dispatcher = Dispatcher::new(cfg);
        dispatcher.set_services(&[service]);
        Self { now, directory, dispatcher, last_number: 0 }
    }

    /// Advances the clock.
    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    fn id(&mut self) -> PlacementRequestId {
        self.last_number += 1;
        PlacementRequestId { daemon: "entry".to_owned(), number: self.last_number }
    }

    fn request(&mut self, prompt: u64) -> PlacementRequest {
        PlacementRequest::new(self.id(), SERVICE, prompt, 400)
    }

    fn decide(&mut self, request: PlacementRequest) -> Decision {
        self.dispatcher.request_placement(self.now, &self.directory, request)
    }

    fn grant(&mut self, request: PlacementRequest) -> Grant {
        match self.decide(request) {
            Decision::Granted(grant) => grant,
            other => panic!("not granted: {other:?}"),
        }
    }

    fn refusal(&mut self, request: PlacementRequest) -> RefusalReason {
        match self.decide(request) {
            Decision::Refused { reason, .. } => reason,
            other => panic!("not refused: {other:?}"),
        }
    }

    /// Reports the limit of engine `e0`.
    fn report_limit(&mut self, requests_per_s: Option<f64>) {
        let upstream = String::from("e0");
        let report = LimitReport { upstream, started_at_ms: 1, requests_per_s };
        self.dispatcher.report_limit(self.now, &self.directory, &report);
    }

    /// Whether engine `e0` may get a request that an entry places. The entry knows of a limit, of an
    /// earlier run.
    fn may_send_to_e0(&mut self) -> bool {
        let upstream = String::from("e0");
        let known = LimitReport { upstream, started_at_ms: 0, requests_per_s: Some(1.0) };
        self.dispatcher.reserve_request(self.now, &self.directory, &known).is_zero()
    }

    fn end(&mut self, request_id: &PlacementRequestId, outcome: RequestOutcome) {
        self.dispatcher.request_ended(self.now, request_id, outcome);
    }
}

/// Registration of engine `i`, from the run with this start time.
fn engine(i: usize, started_at_ms: u64) -> Registration {
    let address = format!("10.0.0.{i}:80").parse().expect("valid address");
    Registration { started_at_ms, ..Registration::new(&format!("e{i}"), SERVICE, address) }
}

/// The reply with a grant may be lost. The entry daemon then repeats the placement request, which
/// must not start a second run.
#[test]
fn a_repeated_placement_request_gets_the_same_grant() {
    let mut fixture = Fixture::new(3);
    let request = fixture.request(5_000);
    let first = fixture.grant(request.clone());
    assert_eq!(fixture.grant(request), first);
    assert_eq!(fixture.dispatcher.running(), 1);
}

#[test]
fn upstreams_that_drain_or_are_out_of_service_get_no_requests() {
    let mut fixture = Fixture::new(2);
    let draining = Registration { is_draining: true, sequence: 2, ..engine(0, 1) };
    fixture.directory.register(fixture.now, draining);
    for _ in 0..4 {
        let request = fixture.request(1_000);
        assert_eq!(fixture.grant(request).upstream, "e1");
    }
    fixture.directory.set_out_of_service(BTreeSet::from(["dc-1".to_owned()]));
    let request = fixture.request(1_000);
    assert_eq!(fixture.refusal(request), RefusalReason::NoUpstream);
}

/// Requests queue for the only engine, which starts to drain before a slot is free. The queue must
/// not use what it knew of the engine when the requests arrived.
#[test]
fn a_waiting_request_is_not_granted_on_an_upstream_that_starts_to_drain() {
    let mut fixture = Fixture::new(1);
    let running: Vec<PlacementRequest> = (0..16).map(|_| fixture.request(1_000)).collect();
    running.iter().for_each(|request| drop(fixture.decide(request.clone())));
    let waiting = fixture.request(1_000);
    assert_eq!(fixture.decide(waiting), Decision::Waiting);
    let draining = Registration { is_draining: true, sequence: 2, ..engine(0, 1) };
    fixture.directory.register(fixture.now, draining);
    running.iter().for_each(|request| fixture.end(&request.id, RequestOutcome::Completed));
    let decided = fixture.dispatcher.poll(fixture.now, &fixture.directory);
    assert!(decided.iter().all(|(_, d)| !matches!(d, Decision::Granted(_))), "{decided:?}");
}

#[test]
fn retries_stay_within_their_budget() {
    let mut fixture = Fixture::new(8);
    let mut retries = 0;
    for _ in 0..200 {
        let first = fixture.request(1_000);
        if let Decision::Granted(_) = fixture.decide(first.clone()) {
            fixture.end(&first.id, RequestOutcome::NotRun);
        }
        let mut retry = fixture.request(1_000);
        retry.is_retry = true;
        match fixture.decide(retry.clone()) {
            Decision::Granted(_) => {
                retries += 1;
                fixture.end(&retry.id, RequestOutcome::NotRun);
            }
            Decision::Refused { reason, .. } => assert_eq!(reason, RefusalReason::RetryBudget),
            Decision::Waiting => panic!("an engine is free"),
        }
        fixture.advance(100);
    }
    // 200 first attempts allow 40 retries, and the slack 100 more. The dispatcher grants 56 of them
    // here: 16% of the first attempts and 30% of its part (80) of the slack.
    assert!(retries <= 140, "{retries}");
    assert!(retries >= 40, "{retries}");
}

/// The registration that reports a cold start may arrive late, so the limit of 4 requests per
/// second applies to every engine.
#[test]
fn an_upstream_gets_no_more_requests_per_second_than_a_cold_one_can_serve() {
    let mut fixture = Fixture::new(1);
    let mut sent = Vec::new();
    for _ in 0..100 {
        let request = fixture.request(200);
        if let Decision::Granted(_) = fixture.decide(request.clone()) {
            sent.push(fixture.now);
        }
        fixture.end(&request.id, RequestOutcome::Completed);
        fixture.advance(50);
    }
    assert!(sent.len() >= 16, "{}", sent.len());
    for window in sent.windows(5) {
        assert!(window[4] - window[0] >= Duration::from_secs(1), "five requests within a second");
    }
}

/// A request that has crashed upstreams must get no grant, neither when it arrives nor when it was
/// already waiting. Others are still granted.
#[test]
fn a_quarantined_request_is_refused_also_while_it_waits() {
    let mut fixture = Fixture::new(1);
    let mut running = Vec::new();
    let waiting = loop {
        let mut request = fixture.request(1_000);
        request.request_hash = 77;
        match fixture.decide(request.clone()) {
            Decision::Granted(_) => running.push(request.id),
            Decision::Waiting => break request.id,
            other => panic!("{other:?}"),
        }
        fixture.advance(10);
    };
    fixture.dispatcher.set_quarantined(BTreeSet::from([77]));

    running.iter().for_each(|id| fixture.end(id, RequestOutcome::Broken));
    let decided = fixture.dispatcher.poll(fixture.now, &fixture.directory);
    let [(id, Decision::Refused { reason: RefusalReason::Quarantined, .. })] = &decided[..] else {
        panic!("not refused: {decided:?}");
    };
    assert_eq!(*id, waiting);
    let mut retry = fixture.request(1_000);
    retry.request_hash = 77;
    assert_eq!(fixture.refusal(retry), RefusalReason::Quarantined);
    fixture.advance(1_000);
    let other = fixture.request(1_000);
    fixture.grant(other);
}

/// 700,400 tokens exceed the 405,000 of one engine: no engine may hold more than its memory, and no
/// helper may be named twice.
#[test]
fn a_prompt_beyond_one_engines_memory_reserves_the_rest_on_helpers() {
    let mut fixture = Fixture::new(18);
    let mut request = fixture.request(700_000);
    request.first_event_target_remaining = Duration::from_secs(10);
    let grant = fixture.grant(request);
    let reserved: Vec<u64> =
        grant.helpers.iter().map(|h| h.reserve_tokens).filter(|r| *r > 0).collect();
    assert!(reserved.iter().all(|r| *r <= 405_000), "{reserved:?}");
    let on_main = 700_400 - reserved.iter().sum::<u64>();
    assert!(on_main <= 405_000, "{on_main} on the decoding engine");
    let names: BTreeSet<_> = grant.helpers.iter().map(|h| &h.upstream).collect();
    assert_eq!(names.len(), grant.helpers.len(), "a helper is used twice");
    assert!(!names.contains(&grant.upstream));
}

#[test]
fn a_prompt_beyond_the_memory_of_all_helpers_is_refused_at_once() {
    let mut fixture = Fixture::new(18);
    let request = fixture.request(8_000_000);
    assert_eq!(fixture.refusal(request), RefusalReason::TooLarge);
}

/// A restarted engine has lost its requests. Their grants must not occupy the slots of the new run.
#[test]
fn a_new_run_of_an_upstream_has_free_slots() {
    let mut fixture = Fixture::new(1);
    (0..16).for_each(|_| {
        let request = fixture.request(1_000);
        fixture.decide(request);
    });
    let request = fixture.request(1_000);
    assert_eq!(fixture.decide(request), Decision::Waiting, "all slots are taken");
    fixture.directory.register(fixture.now, engine(0, 2));
    let request = fixture.request(1_000);
    assert_eq!(fixture.grant(request).upstream, "e0");
}

/// A new leader learns of running requests from the entry daemons. It must count each of them once,
/// and release those of a daemon that is lost.
#[test]
fn a_new_leader_counts_the_requests_that_run_already() {
    let mut fixture = Fixture::new(1);
    let running: Vec<RunningRequest> = (0..16)
        .map(|_| RunningRequest {
            request: fixture.request(1_000),
            upstream: "e0".to_owned(),
            helpers: Vec::new(),
            has_first_event: true,
        })
        .collect();
    for request in &running {
        fixture.dispatcher.adopt_running(fixture.now, &fixture.directory, request);
        // A second report of the same request is ignored.
        fixture.dispatcher.adopt_running(fixture.now, &fixture.directory, request);
    }
    assert_eq!(fixture.dispatcher.running(), 16);
    let request = fixture.request(1_000);
    assert_eq!(fixture.decide(request.clone()), Decision::Waiting, "all slots are taken");
    fixture.advance(2_000);
    fixture.end(&running[0].request.id, RequestOutcome::Completed);
    assert!(matches!(fixture.decide(request), Decision::Granted(_) | Decision::Waiting));
    fixture.dispatcher.daemon_lost(fixture.now, &"entry".to_owned());
    assert_eq!(fixture.dispatcher.running(), 0);
}

/// A review must not be refused for a queue of digests that are served after it. These request
/// kinds of the crate `load` have about 45,000 and 182,000 tokens on average.
#[test]
fn a_backlog_counts_only_requests_with_an_earlier_position() {
    let mut fixture = Fixture::new(18);
    let decide_with_target = |fixture: &mut Fixture, prompt, target_ms| {
        let mut request = fixture.request(prompt);
        request.first_event_target_remaining = Duration::from_millis(target_ms);
        request.pause_target = Duration::from_millis(600);
        fixture.decide(request)
    };
    // Digests occupy all engines, and more of them wait or are refused.
    for _ in 0..14 {
        decide_with_target(&mut fixture, 200_000, 3_000);
    }
    assert!(fixture.dispatcher.waiting() > 0, "some digests wait");
    assert!(matches!(
        decide_with_target(&mut fixture, 200_000, 3_000),
        Decision::Refused { reason: RefusalReason::DeadlineUnmeetable, .. }
    ));
    // The first review may still get an engine that has no capacity for a second digest.
    let reviews: Vec<Decision> =
        (0..3).map(|_| decide_with_target(&mut fixture, 80_000, 1_500)).collect();
    assert!(reviews.contains(&Decision::Waiting), "{reviews:?}");
    assert!(!reviews.iter().any(|d| matches!(d, Decision::Refused { .. })), "{reviews:?}");
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut fixture = Fixture::new(1);
    let mut request = fixture.request(300_000);
    request.first_event_deadline_remaining = Duration::from_millis(200);
    assert_eq!(fixture.refusal(request), RefusalReason::DeadlineUnmeetable);
}

/// Grants and requests that entries place themselves must stay within the limit together: in any 4 s
/// at most 1.5 times what it allows, and 5. The upstream must not be left out either.
#[test]
fn an_upstream_gets_no_more_requests_than_its_limit_allows() {
    const PERIOD: Duration = Duration::from_secs(4);
    for limit in [0.5, 1.0, 2.2, 8.0] {
        let mut fixture = Fixture::new(3);
        let (mut sent, mut running) = (Vec::new(), Vec::new());
        fixture.report_limit(Some(limit));
        for turn in 0..1_000 {
            let request = fixture.request(1_000);
            if let Decision::Granted(grant) = fixture.decide(request.clone()) {
                if grant.upstream == "e0" {
                    sent.push(fixture.now);
                }
                running.push((request.id, grant.upstream));
            }
            if turn % 3 == 0 && fixture.may_send_to_e0() {
                sent.push(fixture.now);
            }
            fixture.advance(20);
            for (id, upstream) in running.drain(..) {
                if upstream == "e0" {
                    fixture.report_limit(Some(limit));
                }
                fixture.dispatcher.first_event_received(fixture.now, &id);
                fixture.end(&id, RequestOutcome::Completed);
            }
        }
        let in_period =
            |from: &Instant| sent.iter().filter(|at| *at >= from && **at < *from + PERIOD).count();
        let most = sent.iter().map(in_period).max().unwrap_or(0) as f64;
        let allowed = limit * PERIOD.as_secs_f64();
        assert!(most <= 1.5 * allowed + 5.0, "limit {limit}: {most} requests in a period");
        assert!(most >= allowed * 0.9, "limit {limit}: only {most} requests in a period");
    }
}

/// Only a response that was requested after the limit was reported, and is not followed by another
/// report, shows that the limit has ended.
#[test]
fn a_limit_ends_with_a_response_that_does_not_name_it() {
    let mut fixture = Fixture::new(1);
    let early = fixture.request(1_000);
    fixture.grant(early.clone());
    fixture.advance(10);
    fixture.report_limit(Some(1.0));
    fixture.dispatcher.first_event_received(fixture.now, &early.id);
    assert!(!fixture.may_send_to_e0(), "the early request was sent before the limit");
    fixture.advance(1_000);
    let named = fixture.request(1_000);
    fixture.grant(named.clone());
    fixture.advance(10);
    fixture.report_limit(Some(1.0));
    fixture.dispatcher.first_event_received(fixture.now, &named.id);
    assert!(!fixture.may_send_to_e0(), "the response names the limit");
    fixture.advance(1_000);
    let unnamed = fixture.request(1_000);
    fixture.grant(unnamed.clone());
    assert!(!fixture.may_send_to_e0(), "no response yet");
    fixture.advance(10);
    fixture.dispatcher.first_event_received(fixture.now, &unnamed.id);
    assert!((0..10).all(|_| fixture.may_send_to_e0()), "the response names no limit");
}

/// A new leader hears of the limit from the entries first, then of running requests. Their first
/// events, which a former leader was told of, don't show that the limit has ended.
#[test]
fn a_new_leader_keeps_a_limit_when_it_adopts_requests() {
    let mut fixture = Fixture::new(1);
    fixture.report_limit(Some(1.0));
    fixture.advance(10);
    let running = RunningRequest {
        request: fixture.request(1_000),
        upstream: "e0".to_owned(),
        helpers: Vec::new(),
        has_first_event: true,
    };
    fixture.dispatcher.adopt_running(fixture.now, &fixture.directory, &running);
    assert!(!fixture.may_send_to_e0());
}

/// The limit may not have reached a new leader before an entry asks for permission to send.
#[test]
fn a_limit_is_learnt_from_an_entry_that_reserves_a_request() {
    let mut fixture = Fixture::new(1);
    let upstream = String::from("e0");
    let known = LimitReport { upstream, started_at_ms: 1, requests_per_s: Some(1.0) };
    let mut wait =
        |now| fixture.dispatcher.reserve_request(now, &fixture.directory, &known).as_millis();
    let now = fixture.now;
    assert_eq!(wait(now), 1_000);
    assert_eq!(wait(now + Duration::from_secs(1)), 0);
    assert_eq!(wait(now + Duration::from_secs(1)), 1_000);
}

/// A run that has ended can't limit the next one.
#[test]
fn a_limit_does_not_outlive_the_run_that_named_it() {
    let mut fixture = Fixture::new(1);
    fixture.report_limit(Some(1.0));
    let request = fixture.request(1_000);
    assert_eq!(fixture.decide(request), Decision::Waiting);
    fixture.directory.register(fixture.now, engine(0, 2));
    let request = fixture.request(1_000);
    fixture.grant(request);
    fixture.report_limit(Some(1.0));
    assert!(fixture.may_send_to_e0(), "the report is of the former run");
}

/// Two requests a second are allowed, and ten wait: what comes after them can't be served within 4 s
/// and must not wait for it in vain.
#[test]
fn a_request_that_limits_do_not_allow_in_time_is_refused_at_once() {
    let mut fixture = Fixture::new(1);
    fixture.report_limit(Some(2.0));
    let request = |fixture: &mut Fixture| {
        let mut request = fixture.request(1_000);
        request.first_event_deadline_remaining = Duration::from_secs(4);
        fixture.decide(request)
    };
    let decisions: Vec<Decision> = (0..10).map(|_| request(&mut fixture)).collect();
    assert!(decisions[..7].iter().all(|d| *d == Decision::Waiting), "{decisions:?}");
    let Decision::Refused { reason, retry_after } = &decisions[9] else {
        panic!("not refused: {decisions:?}");
    };
    assert_eq!(*reason, RefusalReason::DeadlineUnmeetable);
    assert!(*retry_after >= Duration::from_secs(4), "{retry_after:?}");
}

/// An entry that has not learnt yet of an upstream's current run would take its responses for those of
/// an earlier run: that it leaves, or turns requests away, would be forgotten.
#[test]
fn a_daemon_gets_no_grant_of_a_run_that_it_does_not_know() {
    let mut fixture = Fixture::new(1);
    let daemon = "entry".to_owned();
    fixture.dispatcher.revision_reported(&daemon, fixture.directory.revision());
    fixture.directory.register(fixture.now, engine(0, 2));
    let request = fixture.request(1_000);
    assert_eq!(fixture.decide(request.clone()), Decision::Waiting);
    assert!(fixture.dispatcher.poll(fixture.now, &fixture.directory).is_empty());

    assert!(fixture.dispatcher.revision_reported(&daemon, fixture.directory.revision()));
    let decided = fixture.dispatcher.poll(fixture.now, &fixture.directory);
    assert!(matches!(&decided[..], [(id, Decision::Granted(_))] if *id == request.id));

    // A change that isn't a new run is no reason to wait.
    let draining = Registration { slots: 8, sequence: 2, ..engine(0, 2) };
    fixture.directory.register(fixture.now, draining);
    let request = fixture.request(1_000);
    assert!(matches!(fixture.decide(request), Decision::Granted(_)));
}

/// A report that ended before, held up in the network, must release nothing of a later request.
#[test]
fn a_late_report_of_an_end_releases_no_other_request() {
    let mut fixture = Fixture::new(1);
    let first = fixture.request(1_000);
    fixture.grant(first.clone());
    fixture.end(&first.id, RequestOutcome::Completed);
    let second = fixture.request(1_000);
    fixture.grant(second);
    fixture.end(&first.id, RequestOutcome::Completed);
    assert_eq!(fixture.dispatcher.running(), 1);
}

/// A copy of a placement request that arrives after the request has ended takes a slot. So does one that a
/// follower reports as running. Nobody reports its end, so it must expire.
#[test]
fn a_late_copy_of_a_placement_request_takes_a_slot_for_a_limited_time() {
    let mut fixture = Fixture::new(1);
    let mut request = fixture.request(1_000);
    request.first_event_target_remaining = Duration::from_secs(1);
    let running = RunningRequest {
        request: fixture.request(1_000),
        upstream: String::from("e0"),
        helpers: Vec::new(),
        has_first_event: true,
    };
    fixture.grant(request.clone());
    fixture.end(&request.id, RequestOutcome::Completed);
    fixture.grant(request);
    fixture.dispatcher.adopt_running(fixture.now, &fixture.directory, &running);
    assert_eq!(fixture.dispatcher.running(), 2);
    fixture.advance(LATE_COPY_LASTS_MS);
    fixture.dispatcher.poll(fixture.now, &fixture.directory);
    assert_eq!(fixture.dispatcher.running(), 0);
}

/// A report of a limit that arrives late replaces a newer one of the same run until the next response
/// names the limit; one of a former run changes nothing.
#[test]
fn a_late_report_of_a_limit_lasts_until_the_next_one() {
    let mut fixture = Fixture::new(1);
    fixture.directory.register(fixture.now, engine(0, 2));
    let report = |started_at_ms, requests_per_s| LimitReport {
        upstream: String::from("e0"),
        started_at_ms,
        requests_per_s: Some(requests_per_s),
    };
    // Time in milliseconds until the next request.
    let wait_after = |fixture: &mut Fixture, late: &LimitReport| {
        fixture.dispatcher.report_limit(fixture.now, &fixture.directory, late);
        let known = report(0, 9.0);
        let dispatcher = &mut fixture.dispatcher;
        dispatcher.reserve_request(fixture.now, &fixture.directory, &known).as_millis()
    };
    assert_eq!(wait_after(&mut fixture, &report(2, 4.0)), 250);
    assert_eq!(wait_after(&mut fixture, &report(1, 1.0)), 250, "of a former run");
    assert_eq!(wait_after(&mut fixture, &report(2, 2.0)), 500, "of this run, late");
    assert_eq!(wait_after(&mut fixture, &report(2, 4.0)), 250, "the next one");
}
