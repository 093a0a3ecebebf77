//! Retry budget, backoff, hedging and the detection of requests that crash upstreams.

use fastrand::Rng;
use route::{
    Backoff, HedgeInput, LengthClass, PoisonDetector, PoisonDetectorConfig, RetryBudget,
    should_hedge,
};
use std::time::{Duration, Instant};

/// Guards against retries that multiply load: over any sequence, there are at most as many as
/// were saved up at the start and a tenth of the requests.
#[test]
fn retries_stay_within_the_budget() {
    seeded::check().with_type::<Vec<bool>>().for_each(|ops| {
        let mut budget = RetryBudget::new(10, 3);
        let (mut requests, mut retries) = (0u32, 0u32);
        for is_retry in ops {
            if *is_retry {
                retries += u32::from(budget.withdraw().is_ok());
            } else {
                requests += 1;
                budget.deposit();
            }
            assert!(retries * 10 <= 30 + requests);
        }
    });
}

/// Guards against delays that exceed their bound, and against delays so alike that callers retry
/// at the same time.
#[test]
fn backoff_grows_and_is_spread() {
    let backoff = Backoff::default();
    let mut rng = Rng::with_seed(7);
    for attempt in 0..40 {
        let bound = backoff.base.saturating_mul(2u32.saturating_pow(attempt)).min(backoff.max);
        let delays: Vec<_> = (0..50).map(|_| backoff.delay(attempt, &mut rng)).collect();
        assert!(delays.iter().all(|delay| *delay <= bound));
        let mean = delays.iter().sum::<Duration>() / 50;
        assert!(mean > bound / 4 && mean < bound * 3 / 4, "attempt {attempt}: {mean:?}");
    }
}

/// Guards against hedges that run a non-idempotent request twice, and against hedges that add load
/// without an earlier response.
#[test]
fn only_idempotent_short_prompts_are_hedged_and_once() {
    let slow = HedgeInput {
        is_idempotent: true,
        class: LengthClass::Short,
        attempts_in_flight: 1,
        waited: Duration::from_secs(2),
        predicted_first_token: Duration::from_millis(200),
        second_attempt_wait: Duration::from_millis(100),
    };
    assert!(should_hedge(&slow));
    assert!(!should_hedge(&HedgeInput { is_idempotent: false, ..slow }));
    assert!(!should_hedge(&HedgeInput { class: LengthClass::Medium, ..slow }));
    assert!(!should_hedge(&HedgeInput { attempts_in_flight: 2, ..slow }));
    assert!(!should_hedge(&HedgeInput { waited: Duration::from_millis(700), ..slow }));
    assert!(!should_hedge(&HedgeInput { second_attempt_wait: Duration::from_secs(3), ..slow }));
}

/// Guards against innocent requests in quarantine: among any number of them, the request that
/// crashes its upstream is found after two crashes, and no other is refused.
#[test]
fn poison_is_found_after_two_crashes_and_no_other_is_refused() {
    seeded::check().with_type::<(u8, Vec<u8>)>().for_each(|(crashing, neighbours)| {
        let now = Instant::now();
        let crashing = u64::from(*crashing);
        let mut detector = PoisonDetector::new(PoisonDetectorConfig::default());
        let mut first: Vec<u64> = neighbours.iter().map(|hash| 1_000 + u64::from(*hash)).collect();
        first.sort_unstable();
        first.dedup();
        first.push(crashing);
        assert!(detector.upstream_crashed(now, &first).is_empty());
        // The next upstream runs it with new requests and no other suspect.
        let second = [2_000, crashing, 3_000];
        assert_eq!(detector.upstream_crashed(now, &second), [crashing]);
        assert!(detector.check_quarantine(now, crashing).is_err());
        assert!(!detector.is_suspect(now, 2_000));
        let others = first.iter().filter(|hash| **hash != crashing);
        others.clone().for_each(|hash| assert!(detector.check_quarantine(now, *hash).is_ok()));
        others.for_each(|hash| detector.request_finished(*hash));
        assert!(first.iter().all(|hash| *hash == crashing || !detector.is_suspect(now, *hash)));
    });
}
