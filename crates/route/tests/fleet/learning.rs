//! What a fleet learns from events and reports, also when they are late or have gaps.

use crate::common::{engine, job};
use route::{CacheEvent, Config, Fleet, Job, LoadCounters, LoadReport, Prefix, TokenUsage};
use std::time::{Duration, Instant};

/// A prefix of 2,048 tokens, most of a prompt of 3,000 tokens.
fn prefix(hash: u64) -> Prefix {
    Prefix { hash, tokens: 2_048 }
}

/// A fleet of two engines past their ramps; `a` is chosen when both are equal.
fn fleet(now: Instant) -> Fleet {
    let mut fleet = Fleet::new(Config::default());
    for id in ["a", "b"] {
        fleet.announce(now, engine(id, 1, Duration::from_secs(600))).unwrap();
    }
    fleet
}

/// Submits and dispatches a job; returns its upstream, or `None` if it stays queued.
fn sent_to(fleet: &mut Fleet, now: Instant, job: Job) -> Option<String> {
    fleet.submit(now, job).unwrap();
    let dispatches = fleet.dispatch(now);
    dispatches.first().map(|dispatch| dispatch.placement.reservations()[0].upstream.clone())
}

fn with_prefix(request: &str, hash: u64, now: Instant) -> Job {
    let prefixes = vec![prefix(hash)];
    Job { prefixes, ..job(request, 3_000, now + Duration::from_secs(60)) }
}

/// Returns the upstream that a job with this prefix is sent to, and cancels the job.
fn probe(fleet: &mut Fleet, now: Instant, request: &str, hash: u64) -> String {
    let upstream = sent_to(fleet, now, with_prefix(request, hash, now)).unwrap();
    // A job cancelled before its first token teaches the fleet nothing.
    assert!(fleet.request_cancelled(now, &request.into()));
    upstream
}

/// A stored prefix attracts its prompts and an evicted one no longer does. A late or repeated event
/// must not bring back a prefix that was evicted meanwhile.
#[test]
fn prefixes_follow_cache_events() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    assert_eq!(probe(&mut fleet, now, "r1", 7), "a");
    fleet.cache_event(&"b".into(), 1, CacheEvent::Stored(prefix(7)));
    assert_eq!(probe(&mut fleet, now, "r2", 7), "b");
    // A repeated or late event is ignored.
    fleet.cache_event(&"b".into(), 2, CacheEvent::Evicted(7));
    fleet.cache_event(&"b".into(), 1, CacheEvent::Stored(prefix(7)));
    assert_eq!(probe(&mut fleet, now, "r3", 7), "a");
}

/// Evictions may be among missed events, so after a gap only the newer prefixes are trusted.
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

/// An engine that sends no cache events still receives the prompts of a prefix that it prefilled.
#[test]
fn a_prefilled_prompt_is_remembered_without_events() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    assert_eq!(sent_to(&mut fleet, now, with_prefix("r1", 7, now)).unwrap(), "a");
    let now = now + Duration::from_millis(300);
    assert!(fleet.first_token_received(now, &"r1".into(), Some(0)));
    // `a` is still decoding, so `b` is chosen for any other prefix.
    assert_eq!(probe(&mut fleet, now, "r2", 8), "b");
    assert_eq!(probe(&mut fleet, now, "r3", 7), "a");
}

/// Guards against growth without bound, and against prefixes of an earlier incarnation, whose cache
/// is gone.
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

/// Prompts that are longer than estimated must get enough memory: estimates are corrected by usage.
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

/// An engine that prefills more slowly than announced must lose work to others: its rate is learnt
/// from its reports.
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
    // `a` prefills at a fifth of the rate that it announced.
    assert_eq!(probe(&mut fleet, now, "r1", 7), "b");
}

/// A new owner, or one that was disconnected, must not reserve memory in use by requests that it
/// does not know. A late report of its own requests must not lower the free memory.
#[test]
fn memory_of_unknown_requests_is_not_reserved() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let report = |memory_used| LoadReport { incarnation: 1, memory_used, ..LoadReport::default() };
    fleet.report(now, &"a".into(), report(395_000));
    let deadline = now + Duration::from_secs(60);
    assert_eq!(sent_to(&mut fleet, now, job("r1", 20_000, deadline)).unwrap(), "b");
    fleet.report(now, &"a".into(), report(0));
    assert_eq!(sent_to(&mut fleet, now, job("r2", 20_000, deadline)).unwrap(), "a");
    // The request has finished, but the report is from before.
    fleet.request_finished(now, &"r2".into(), TokenUsage::default());
    fleet.report(now, &"a".into(), report(20_200));
    assert_eq!(fleet.explain(now, &"a".into()).unwrap().free_tokens, 400_000);
}

/// A short prompt waits behind a long prefill, unless the engine prefills short prompts first.
#[test]
fn short_prompts_overtake_where_the_engine_lets_them() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(120);
    for honours_priority in [false, true] {
        let mut fleet = Fleet::new(Config::default());
        let info = engine("a", 1, Duration::from_secs(600));
        fleet.announce(now, route::UpstreamInfo { honours_priority, ..info }).unwrap();
        assert!(sent_to(&mut fleet, now, job("long", 100_000, deadline)).is_some());
        let short = sent_to(&mut fleet, now, job("short", 1_000, deadline));
        assert_eq!(short.is_some(), honours_priority);
    }
}

/// With demand for short prompts one engine is kept free of longer prefills, even if all engines
/// prefill short prompts first: overtaking a longer prefill waits for its current chunk.
#[test]
fn one_engine_is_kept_free_even_where_short_prompts_overtake() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(120);
    for honours_priority in [false, true] {
        let mut fleet = Fleet::new(Config::default());
        for id in ["a", "b"] {
            let info = engine(id, 1, Duration::from_secs(600));
            fleet.announce(now, route::UpstreamInfo { honours_priority, ..info }).unwrap();
        }
        assert!(sent_to(&mut fleet, now, job("short", 1_000, deadline)).is_some());
        fleet.request_finished(now, &"short".into(), TokenUsage::default());
        assert!(sent_to(&mut fleet, now, job("middle", 20_000, deadline)).is_some());
        let second = sent_to(&mut fleet, now, job("middle-2", 20_000, deadline));
        assert!(second.is_none());
    }
}

/// A short prompt is sent shortly before the prefill ahead of it ends, so that the engine is never
/// idle. The fleet must ask to be woken up at that time.
#[test]
fn the_next_prompt_is_sent_before_the_engine_is_idle() {
    let now = Instant::now();
    let mut fleet = Fleet::new(Config::default());
    fleet.announce(now, engine("a", 1, Duration::from_secs(600))).unwrap();
    let deadline = now + Duration::from_secs(60);
    assert!(sent_to(&mut fleet, now, job("first", 3_000, deadline)).is_some());
    assert_eq!(sent_to(&mut fleet, now, job("second", 3_000, deadline)), None);
    // The prefill takes 300 ms, of which 100 ms may remain.
    let wakeup = fleet.next_wakeup().unwrap();
    assert_eq!(wakeup, now + Duration::from_millis(200));
    assert_eq!(fleet.dispatch(wakeup).len(), 1);
    assert!(fleet.next_wakeup().unwrap() > wakeup + Duration::from_secs(1));
}

/// Guards against a busy loop: for a job that waits for memory and not for a prefill, the fleet
/// must not ask to be woken up at once again.
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
