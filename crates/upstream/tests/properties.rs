//! Properties of the pure decisions.

use bolero::TypeGenerator;
use fastrand::Rng;
use std::time::{Duration, Instant};
use upstream::{Backoff, MergedToken, RetryBudget, RetryDecision, RetryState, StreamMerger};
use wire::Verdict;

/// One event on some connection of a stream.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Event {
    Token {
        is_foreign: bool,
        offset: u8,
    },
    /// A new connection that yields tokens in order from an earlier offset.
    Run {
        back: u8,
        len: u8,
    },
}

#[test]
fn a_splice_forwards_each_token_once_and_in_order() {
    seeded::check().with_type::<(u8, Vec<Event>)>().for_each(|(first, events)| {
        let mut splice = StreamMerger::new("ours", u64::from(*first));
        let mut forwarded = Vec::new();
        let mut feed = |id: &str, offset: u64, splice: &mut StreamMerger| {
            let next = splice.next_offset();
            let spliced = splice.accept_token(id, offset);
            assert_eq!(spliced == MergedToken::OtherRequest, id != "ours");
            assert_eq!(spliced == MergedToken::Gap, id == "ours" && offset > next);
            if spliced == MergedToken::Forward {
                forwarded.push(offset);
            }
        };
        for event in events {
            match *event {
                Event::Token { is_foreign, offset } => {
                    let id = if is_foreign { "theirs" } else { "ours" };
                    feed(id, u64::from(offset), &mut splice);
                }
                Event::Run { back, len } => {
                    let from = splice.next_offset().saturating_sub(u64::from(back));
                    (from..from + u64::from(len))
                        .for_each(|offset| feed("ours", offset, &mut splice));
                }
            }
        }
        let expected: Vec<u64> = (u64::from(*first)..splice.next_offset()).collect();
        assert_eq!(forwarded, expected);
    });
}

#[test]
fn a_splice_takes_no_end_while_tokens_are_missing() {
    seeded::check().with_type::<(u8, i8)>().for_each(|(next, more)| {
        let next = u64::from(*next);
        let total = next.saturating_add_signed(i64::from(more % 3));
        let splice = StreamMerger::new("ours", next);
        assert_eq!(splice.accept_end("ours", total) == MergedToken::Forward, total <= next);
        assert_eq!(splice.accept_end("theirs", total), MergedToken::OtherRequest);
    });
}

/// The failures of one request: whether each may have run, and how long it took.
type Failures = Vec<(bool, u16)>;

#[test]
fn a_retry_never_repeats_what_may_have_run_and_stays_within_its_bounds() {
    seeded::check().with_type::<(bool, u64, u8, Failures)>().for_each(
        |(is_idempotent, seed, budget, failures)| {
            let backoff = Backoff::default();
            let start = Instant::now();
            let deadline = start + Duration::from_secs(5);
            let mut retry = RetryState::new(backoff, *is_idempotent, deadline);
            let mut budget = RetryBudget::new(0.0, f64::from(budget % 6));
            let mut allowed = budget.clone();
            let mut rng = Rng::with_seed(*seed);
            let (mut now, mut worst, mut sends) = (start, Verdict::NotRun, 1);
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
                        assert!(allowed.try_withdraw(), "more retries than the budget allows");
                        sends += 1;
                        assert!(sends <= backoff.max_attempts);
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
