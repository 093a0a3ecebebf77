//! Properties of the stream merger and of the retry decisions.

use bolero::TypeGenerator;
use fastrand::Rng;
use std::time::{Duration, Instant};
use upstream::{Backoff, MergeOutcome, RetryBudget, RetryDecision, RetryState, StreamMerger};
use wire::Verdict;

/// One event on some connection of a stream.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Event {
    /// A single token, possibly of another request or with a gap before it.
    Token { is_foreign: bool, offset: u8 },
    /// A new connection that yields `len` tokens in order, from `back` tokens before the
    /// next one.
    Run { back: u8, len: u8 },
}

#[test]
fn a_merger_forwards_each_token_once_and_in_order() {
    seeded::check().with_type::<(u8, Vec<Event>)>().for_each(|(first, events)| {
        let mut merger = StreamMerger::new("ours", u64::from(*first));
        let mut forwarded = Vec::new();
        let mut accept = |id: &str, offset: u64, merger: &mut StreamMerger| {
            let next = merger.next_offset();
            let merged = merger.accept_token(id, offset);
            assert_eq!(merged == MergeOutcome::OtherRequest, id != "ours");
            assert_eq!(merged == MergeOutcome::Gap, id == "ours" && offset > next);
            if merged == MergeOutcome::Forward {
                forwarded.push(offset);
            }
        };
        for event in events {
            match *event {
                Event::Token { is_foreign, offset } => {
                    let id = if is_foreign { "theirs" } else { "ours" };
                    accept(id, u64::from(offset), &mut merger);
                }
                Event::Run { back, len } => {
                    let from = merger.next_offset().saturating_sub(u64::from(back));
                    (from..from + u64::from(len))
                        .for_each(|offset| accept("ours", offset, &mut merger));
                }
            }
        }
        let expected: Vec<u64> = (u64::from(*first)..merger.next_offset()).collect();
        assert_eq!(forwarded, expected);
    });
}

#[test]
fn a_merger_accepts_no_end_while_tokens_are_missing() {
    seeded::check().with_type::<(u8, i8)>().for_each(|(next, difference)| {
        let next = u64::from(*next);
        let total = next.saturating_add_signed(i64::from(difference % 3));
        let merger = StreamMerger::new("ours", next);
        assert_eq!(merger.accept_end("ours", total) == MergeOutcome::Forward, total <= next);
        assert_eq!(merger.accept_end("theirs", total), MergeOutcome::OtherRequest);
    });
}

/// Failed attempts of one request: whether the request may have run, and the duration of
/// the attempt in milliseconds.
type Failures = Vec<(bool, u16)>;

#[test]
fn a_request_that_may_have_run_is_retried_only_if_idempotent_and_within_all_bounds() {
    seeded::check().with_type::<(bool, u64, u8, Failures)>().for_each(
        |(is_idempotent, seed, budget, failures)| {
            let backoff = Backoff::default();
            let start = Instant::now();
            let deadline = start + Duration::from_secs(5);
            let mut retry = RetryState::new(backoff, *is_idempotent, deadline);
            let mut budget = RetryBudget::new(0.0, f64::from(budget % 6));
            let mut reference_budget = budget.clone();
            let mut rng = Rng::with_seed(*seed);
            let (mut now, mut worst, mut attempts) = (start, Verdict::NotRun, 1);
            for (may_have_run, took_ms) in failures {
                now += Duration::from_millis(u64::from(*took_ms));
                let verdict = if *may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun };
                if *may_have_run {
                    worst = Verdict::MayHaveRun;
                }
                match retry.on_failure(verdict, now, &mut budget, &mut rng) {
                    RetryDecision::RetryAt(at) => {
                        assert!(*is_idempotent || worst == Verdict::NotRun);
                        assert!(at < deadline);
                        assert!(at >= now + backoff.base / 2 && at <= now + backoff.cap);
                        assert!(
                            reference_budget.try_withdraw(),
                            "more retries than the budget allows"
                        );
                        attempts += 1;
                        assert!(attempts <= backoff.max_attempts);
                        now = at;
                    }
                    RetryDecision::GiveUp { verdict, retry_after, .. } => {
                        assert_eq!(verdict, worst);
                        assert!(!retry_after.is_zero());
                        return;
                    }
                }
            }
        },
    );
}

#[test]
fn a_request_that_ran_is_given_up_at_once() {
    let now = Instant::now();
    let mut retry = RetryState::new(Backoff::default(), true, now + Duration::from_secs(5));
    let next =
        retry.on_failure(Verdict::Ran, now, &mut RetryBudget::default(), &mut Rng::with_seed(7));
    assert!(matches!(next, RetryDecision::GiveUp { verdict: Verdict::Ran, .. }), "{next:?}");
}
