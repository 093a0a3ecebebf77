//! Retries, hedges and poison suspicion.

use fastrand::Rng;
use route::{
    Backoff, HedgeInput, LengthClass, PoisonDetector, PoisonDetectorConfig, RetryBudget,
    should_hedge,
};
use std::time::{Duration, Instant};

/// Over any run, retries are at most the saved ones and a tenth of requests.
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

/// Among any number of innocent requests the bad one is found after two
/// deaths, and no other is refused.
#[test]
fn poison_is_found_after_two_deaths_and_no_one_else_is_refused() {
    seeded::check().with_type::<(u8, Vec<u8>)>().for_each(|(bad, beside)| {
        let now = Instant::now();
        let bad = u64::from(*bad);
        let mut poison = PoisonDetector::new(PoisonDetectorConfig::default());
        let mut first: Vec<u64> = beside.iter().map(|fp| 1_000 + u64::from(*fp)).collect();
        first.sort_unstable();
        first.dedup();
        first.push(bad);
        assert!(poison.upstream_crashed(now, &first).is_empty());
        // Fresh neighbours on the next upstream, no other suspect.
        let second = [2_000, bad, 3_000];
        assert_eq!(poison.upstream_crashed(now, &second), [bad]);
        assert!(poison.check_quarantine(now, bad).is_err());
        assert!(!poison.is_suspect(now, 2_000));
        let others = first.iter().filter(|fp| **fp != bad);
        others.clone().for_each(|fp| assert!(poison.check_quarantine(now, *fp).is_ok()));
        others.for_each(|fp| poison.request_finished(*fp));
        assert!(first.iter().all(|fp| *fp == bad || !poison.is_suspect(now, *fp)));
    });
}
