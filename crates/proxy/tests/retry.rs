//! What follows a failed send, over all routes and histories.

use proxy::{AttemptFailure, AttemptHistory, NextStep, next_step};
use routing::RetryPolicy;

const RETRY_POLICIES: [RetryPolicy; 4] = [
    RetryPolicy::Idempotent,
    RetryPolicy::Once,
    RetryPolicy::StreamOnce,
    RetryPolicy::StreamResumable,
];
const FAILURES: [AttemptFailure; 5] = [
    AttemptFailure::Unreachable,
    AttemptFailure::NotRun,
    AttemptFailure::Broken,
    AttemptFailure::Silent,
    AttemptFailure::Failed,
];

/// Every history of up to seven sends that `next_step` lets happen.
fn histories(
    retry_policy: RetryPolicy,
    max_attempts: u32,
    visit: &mut impl FnMut(&[AttemptFailure], AttemptHistory, NextStep),
) {
    fn go(
        retry_policy: RetryPolicy,
        max: u32,
        failures: &mut Vec<AttemptFailure>,
        history: AttemptHistory,
        visit: &mut impl FnMut(&[AttemptFailure], AttemptHistory, NextStep),
    ) {
        for failure in FAILURES {
            let mut history = history;
            history.record(failure);
            failures.push(failure);
            let step = next_step(retry_policy, max, history, failure);
            visit(failures, history, step);
            if step == NextStep::Retry && failures.len() < 7 {
                go(retry_policy, max, failures, history, visit);
            }
            failures.pop();
        }
    }
    go(retry_policy, max_attempts, &mut Vec::new(), AttemptHistory::default(), visit);
}

fn may_have_run(failure: &AttemptFailure) -> bool {
    matches!(failure, AttemptFailure::Broken | AttemptFailure::Silent | AttemptFailure::Failed)
}

#[test]
fn what_may_not_repeat_runs_at_most_once() {
    for retry_policy in [RetryPolicy::Once, RetryPolicy::StreamOnce] {
        histories(retry_policy, 3, &mut |failures, _, _| {
            let (_, before) = failures.split_last().expect("a failure");
            assert!(
                !before.iter().any(may_have_run),
                "{retry_policy:?} sent again after {before:?}"
            );
        });
    }
}

#[test]
fn a_refusal_says_not_run_only_if_nothing_ran() {
    for retry_policy in RETRY_POLICIES {
        histories(retry_policy, 3, &mut |failures, _, step| {
            if step == NextStep::RefuseNotRun {
                assert!(!failures.iter().any(may_have_run), "{retry_policy:?}: {failures:?}");
            }
        });
    }
}

#[test]
fn no_more_upstreams_get_a_request_than_its_route_allows() {
    for retry_policy in RETRY_POLICIES {
        for max in 1..=3 {
            histories(retry_policy, max, &mut |failures, history, _| {
                assert!(history.attempts <= max, "{retry_policy:?} of {max}: {failures:?}");
            });
        }
    }
}

#[test]
fn every_history_ends() {
    for retry_policy in RETRY_POLICIES {
        histories(retry_policy, 3, &mut |failures, _, step| {
            assert!(
                failures.len() < 7 || step != NextStep::Retry,
                "{retry_policy:?}: {failures:?}"
            );
        });
    }
}

#[test]
fn a_failure_of_an_upstream_is_passed_on_when_nobody_else_may_answer() {
    let mut history = AttemptHistory::default();
    history.record(AttemptFailure::Failed);
    assert_eq!(
        next_step(RetryPolicy::Idempotent, 1, history, AttemptFailure::Failed),
        NextStep::ForwardFailure
    );
    assert_eq!(
        next_step(RetryPolicy::Once, 3, history, AttemptFailure::Failed),
        NextStep::ForwardFailure
    );
    assert_eq!(
        next_step(RetryPolicy::Idempotent, 2, history, AttemptFailure::Failed),
        NextStep::Retry
    );
}
