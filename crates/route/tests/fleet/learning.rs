//! What a fleet learns from events and reports that are late and have gaps.

use crate::common::{engine, job};
use route::{CacheEvent, Config, Fleet, Job, LoadCounters, LoadReport, Prefix, TokenUsage};
use std::time::{Duration, Instant};

/// A prefix that makes up most of a prompt of 3,000 tokens.
fn prefix(hash: u64) -> Prefix {
    Prefix { hash, tokens: 2_048 }
}

/// Two engines that are past their ramps, `a` before `b` when all is even.
fn fleet(now: Instant) -> Fleet {
    let mut fleet = Fleet::new(Config::default());
    for id in ["a", "b"] {
        fleet.announce(now, engine(id, 1, Duration::from_secs(600))).unwrap();
    }
    fleet
}

/// Where a job is sent, or none if it waits.
fn sent_to(fleet: &mut Fleet, now: Instant, job: Job) -> Option<String> {
    fleet.submit(now, job).unwrap();
    let dispatches = fleet.dispatch(now);
    dispatches.first().map(|dispatch| dispatch.placement.reservations()[0].upstream.clone())
}

fn with_prefix(request: &str, hash: u64, now: Instant) -> Job {
    let prefixes = vec![prefix(hash)];
    Job { prefixes, ..job(request, 3_000, now + Duration::from_secs(60)) }
}

/// Sends a job, ends it at once, and returns where it was sent.
fn probe(fleet: &mut Fleet, now: Instant, request: &str, hash: u64) -> String {
    let upstream = sent_to(fleet, now, with_prefix(request, hash, now)).unwrap();
    // Cancelled before its first token: nothing is learnt from it.
    assert!(fleet.request_cancelled(now, &request.into()));
    upstream
}

#[test]
fn prefixes_follow_cache_events() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    assert_eq!(probe(&mut fleet, now, "r1", 7), "a");
    fleet.cache_event(&"b".into(), 1, CacheEvent::Stored(prefix(7)));
    assert_eq!(probe(&mut fleet, now, "r2", 7), "b");
    // An event that comes twice, or late, changes nothing.
    fleet.cache_event(&"b".into(), 2, CacheEvent::Evicted(7));
    fleet.cache_event(&"b".into(), 1, CacheEvent::Stored(prefix(7)));
    assert_eq!(probe(&mut fleet, now, "r3", 7), "a");
}

#[test]
fn a_gap_in_cache_events_drops_the_older_half() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    for (sequence, hash) in [(1, 11), (2, 12), (3, 13), (4, 14)] {
        fleet.cache_event(&"b".into(), sequence, CacheEvent::Stored(prefix(hash)));
    }
    assert_eq!(probe(&mut fleet, now, "r1", 11), "b");
    fleet.cache_event(&"b".into(), 9, CacheEvent::Stored(prefix(15)));
    assert_eq!(probe(&mut fleet, now, "r2", 11), "a");
    assert_eq!(probe(&mut fleet, now, "r3", 14), "b");
}

#[test]
fn a_prefilled_prompt_is_remembered_without_events() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    assert_eq!(sent_to(&mut fleet, now, with_prefix("r1", 7, now)).unwrap(), "a");
    let now = now + Duration::from_millis(300);
    assert!(fleet.first_token_received(now, &"r1".into(), Some(0)));
    // `a` still answers, so that `b` would be next without the prefix.
    assert_eq!(probe(&mut fleet, now, "r2", 8), "b");
    assert_eq!(probe(&mut fleet, now, "r3", 7), "a");
}

#[test]
fn prefixes_are_bounded_and_end_with_their_incarnation() {
    let now = Instant::now();
    let mut fleet = Fleet::new(Config { max_prefixes: 10, ..Config::default() });
    fleet.announce(now, engine("a", 1, Duration::ZERO)).unwrap();
    for sequence in 0..100 {
        fleet.cache_event(&"a".into(), sequence, CacheEvent::Stored(prefix(sequence)));
    }
    assert_eq!(fleet.explain(now, &"a".into()).unwrap().cached_prefixes, 10);
    fleet.announce(now, engine("a", 2, Duration::ZERO)).unwrap();
    assert_eq!(fleet.explain(now, &"a".into()).unwrap().cached_prefixes, 0);
}

#[test]
fn estimates_follow_usage() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let deadline = now + Duration::from_secs(60);
    for i in 0..60 {
        let request = format!("r{i}");
        assert!(sent_to(&mut fleet, now, job(&request, 1_000, deadline)).is_some());
        let used = TokenUsage { prompt_tokens: 1_500, cached_tokens: 0, output_tokens: 20 };
        assert!(fleet.request_finished(now, &request, used));
    }
    let upstream = sent_to(&mut fleet, now, job("last", 1_000, deadline)).unwrap();
    let reserved = fleet.reserved_tokens(&upstream).unwrap();
    assert!((1_690..=1_701).contains(&reserved), "{reserved}");
}

#[test]
fn rates_follow_reports() {
    let mut now = Instant::now();
    let mut fleet = fleet(now);
    for step in 0..40 {
        now += Duration::from_secs(1);
        let counters = LoadCounters {
            requests: step,
            prefill_tokens: 1_000 * step,
            prefill_millis: 500 * step,
            output_tokens: 0,
        };
        let report = LoadReport { incarnation: 1, counters, ..LoadReport::default() };
        fleet.report(now, &"a".into(), report);
        fleet.announce(now, engine("b", 1, Duration::from_secs(600))).unwrap();
    }
    // `a` prefills a fifth of what it announced.
    assert_eq!(probe(&mut fleet, now, "r1", 7), "b");
}

/// A new owner, or one that was cut off, sees memory in use that is not its own
/// and does not promise it; a report that is merely late takes nothing away.
#[test]
fn memory_of_unknown_requests_is_not_promised() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let report = |memory_used| LoadReport { incarnation: 1, memory_used, ..LoadReport::default() };
    fleet.report(now, &"a".into(), report(395_000));
    let deadline = now + Duration::from_secs(60);
    assert_eq!(sent_to(&mut fleet, now, job("r1", 20_000, deadline)).unwrap(), "b");
    fleet.report(now, &"a".into(), report(0));
    assert_eq!(sent_to(&mut fleet, now, job("r2", 20_000, deadline)).unwrap(), "a");
    // The request has ended, but the report was made before.
    fleet.request_finished(now, &"r2".into(), TokenUsage::default());
    fleet.report(now, &"a".into(), report(20_200));
    assert_eq!(fleet.explain(now, &"a".into()).unwrap().free_tokens, 400_000);
}

#[test]
fn short_prompts_overtake_where_the_engine_lets_them() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(120);
    for honours_priority in [false, true] {
        let mut fleet = Fleet::new(Config::default());
        let ann = engine("a", 1, Duration::from_secs(600));
        fleet.announce(now, route::UpstreamInfo { honours_priority, ..ann }).unwrap();
        assert!(sent_to(&mut fleet, now, job("long", 100_000, deadline)).is_some());
        let short = sent_to(&mut fleet, now, job("short", 1_000, deadline));
        assert_eq!(short.is_some(), honours_priority);
    }
}

/// With demand for short prompts one engine is kept free of longer prefills, even
/// where all let short prompts overtake: overtaking waits for a chunk to end.
#[test]
fn one_engine_is_kept_free_even_where_short_prompts_overtake() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(120);
    for honours_priority in [false, true] {
        let mut fleet = Fleet::new(Config::default());
        for id in ["a", "b"] {
            let ann = engine(id, 1, Duration::from_secs(600));
            fleet.announce(now, route::UpstreamInfo { honours_priority, ..ann }).unwrap();
        }
        assert!(sent_to(&mut fleet, now, job("short", 1_000, deadline)).is_some());
        fleet.request_finished(now, &"short".into(), TokenUsage::default());
        assert!(sent_to(&mut fleet, now, job("middle", 20_000, deadline)).is_some());
        let second = sent_to(&mut fleet, now, job("middle-2", 20_000, deadline));
        assert!(second.is_none());
    }
}

/// A short prompt is sent a little before the prefill ahead of it ends, so that
/// the engine is never idle; the fleet says when.
#[test]
fn the_next_prompt_is_sent_before_the_engine_is_idle() {
    let now = Instant::now();
    let mut fleet = Fleet::new(Config::default());
    fleet.announce(now, engine("a", 1, Duration::from_secs(600))).unwrap();
    let deadline = now + Duration::from_secs(60);
    assert!(sent_to(&mut fleet, now, job("first", 3_000, deadline)).is_some());
    assert_eq!(sent_to(&mut fleet, now, job("second", 3_000, deadline)), None);
    // 300 ms of prefill, of which 100 ms may be left.
    let wakeup = fleet.next_wakeup().unwrap();
    assert_eq!(wakeup, now + Duration::from_millis(200));
    assert_eq!(fleet.dispatch(wakeup).len(), 1);
    assert!(fleet.next_wakeup().unwrap() > wakeup + Duration::from_secs(1));
}

/// A job that waits for memory and not for prefill must not be woken for again
/// and again.
#[test]
fn a_wait_for_memory_does_not_spin() {
    let now = Instant::now();
    let mut fleet = Fleet::new(Config::default());
    fleet.announce(now, engine("a", 1, Duration::from_secs(600))).unwrap();
    let deadline = now + Duration::from_secs(300);
    assert!(sent_to(&mut fleet, now, job("first", 390_000, deadline)).is_some());
    let now = now + Duration::from_secs(1);
    assert!(fleet.first_token_received(now, &"first".into(), None));
    assert_eq!(sent_to(&mut fleet, now, job("second", 30_000, deadline)), None);
    assert!(fleet.next_wakeup().unwrap() > now);
}
