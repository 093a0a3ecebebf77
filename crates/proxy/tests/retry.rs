//! Checks what follows a failed attempt, for all retry policies and all sequences of failures.

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

/// Maximum length of a visited sequence of failures: longer than any sequence after which a request
/// with up to three attempts is still retried.
const MAX_FAILURES: usize = 7;

/// Visits every sequence of up to [`MAX_FAILURES`] failures that `next_step` allows, with the
/// history and the next step after its last failure.
fn visit_histories(
    retry_policy: RetryPolicy,
    max_attempts: u32,
    visit: &mut impl FnMut(&[AttemptFailure], AttemptHistory, NextStep),
) {
    fn extend(
        retry_policy: RetryPolicy,
        max_attempts: u32,
        failures: &mut Vec<AttemptFailure>,
        history: AttemptHistory,
        visit: &mut impl FnMut(&[AttemptFailure], AttemptHistory, NextStep),
    ) {
        for failure in FAILURES {
            let mut history = history;
            history.record(failure);
            failures.push(failure);
            let step = next_step(retry_policy, max_attempts, history, failure);
            visit(failures, history, step);
            if step == NextStep::Retry && failures.len() < MAX_FAILURES {
                extend(retry_policy, max_attempts, failures, history, visit);
            }
            failures.pop();
        }
    }
    extend(retry_policy, max_attempts, &mut Vec::new(), AttemptHistory::default(), visit);
}

/// Whether the upstream may have run the request in spite of this failure.
fn may_have_run(failure: &AttemptFailure) -> bool {
    matches!(failure, AttemptFailure::Broken | AttemptFailure::Silent | AttemptFailure::Failed)
}

/// A request that is not idempotent must not be sent again after an attempt in which it may have
/// run: it could run twice.
#[test]
fn a_request_that_may_have_run_is_not_retried_unless_its_policy_allows_it() {
    for retry_policy in [RetryPolicy::Once, RetryPolicy::StreamOnce] {
        visit_histories(retry_policy, 3, &mut |failures, _, _| {
            let (_, earlier) = failures.split_last().expect("at least one failure");
            assert!(
                !earlier.iter().any(may_have_run),
                "{retry_policy:?} retried after {earlier:?}"
            );
        });
    }
}

/// A caller that is told that its request did not run may send it again. It must not be told so if
/// an upstream may have run the request in any attempt.
#[test]
fn a_request_is_refused_as_not_run_only_if_no_upstream_may_have_run_it() {
    for retry_policy in RETRY_POLICIES {
        visit_histories(retry_policy, 3, &mut |failures, _, step| {
            if step == NextStep::RefuseNotRun {
                assert!(!failures.iter().any(may_have_run), "{retry_policy:?}: {failures:?}");
            }
        });
    }
}

/// Retries multiply the load of a request that fails everywhere, so each route limits them.
#[test]
fn a_request_is_sent_to_no_more_upstreams_than_its_route_allows() {
    for retry_policy in RETRY_POLICIES {
        for max_attempts in 1..=3 {
            visit_histories(retry_policy, max_attempts, &mut |failures, history, _| {
                assert!(
                    history.sent <= max_attempts,
                    "{retry_policy:?}, {max_attempts}: {failures:?}"
                );
            });
        }
    }
}

/// Failures that do not count as attempts must not let a request be retried for ever.
#[test]
fn retries_end_after_any_failures() {
    for retry_policy in RETRY_POLICIES {
        visit_histories(retry_policy, 3, &mut |failures, _, step| {
            assert!(
                failures.len() < MAX_FAILURES || step != NextStep::Retry,
                "{retry_policy:?}: {failures:?}"
            );
        });
    }
}

/// When no retry is allowed, the caller has to receive the error response of the upstream, and not
/// an error of the gateway that hides it.
#[test]
fn the_error_of_an_upstream_is_passed_on_when_no_retry_is_allowed() {
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
