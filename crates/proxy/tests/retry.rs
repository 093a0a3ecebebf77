//! What follows a failed send, over all routes and histories.

use proxy::{Fault, Sent, Step, next_step};
use routing::RetryPolicy;

const REPEATS: [RetryPolicy; 4] = [
    RetryPolicy::Idempotent,
    RetryPolicy::Once,
    RetryPolicy::StreamOnce,
    RetryPolicy::StreamResumable,
];
const FAULTS: [Fault; 5] =
    [Fault::Unreachable, Fault::NotRun, Fault::Broken, Fault::Silent, Fault::Failed];

/// Every history of up to seven sends that `next_step` lets happen.
fn histories(repeat: RetryPolicy, max_attempts: u32, visit: &mut impl FnMut(&[Fault], Sent, Step)) {
    fn go(
        repeat: RetryPolicy,
        max: u32,
        faults: &mut Vec<Fault>,
        sent: Sent,
        visit: &mut impl FnMut(&[Fault], Sent, Step),
    ) {
        for fault in FAULTS {
            let mut sent = sent;
            sent.record(fault);
            faults.push(fault);
            let step = next_step(repeat, max, sent, fault);
            visit(faults, sent, step);
            if step == Step::Again && faults.len() < 7 {
                go(repeat, max, faults, sent, visit);
            }
            faults.pop();
        }
    }
    go(repeat, max_attempts, &mut Vec::new(), Sent::default(), visit);
}

fn may_have_run(fault: &Fault) -> bool {
    matches!(fault, Fault::Broken | Fault::Silent | Fault::Failed)
}

#[test]
fn what_may_not_repeat_runs_at_most_once() {
    for repeat in [RetryPolicy::Once, RetryPolicy::StreamOnce] {
        histories(repeat, 3, &mut |faults, _, _| {
            let (_, before) = faults.split_last().expect("a fault");
            assert!(!before.iter().any(may_have_run), "{repeat:?} sent again after {before:?}");
        });
    }
}

#[test]
fn a_refusal_says_not_run_only_if_nothing_ran() {
    for repeat in REPEATS {
        histories(repeat, 3, &mut |faults, _, step| {
            if step == Step::RefuseNotRun {
                assert!(!faults.iter().any(may_have_run), "{repeat:?}: {faults:?}");
            }
        });
    }
}

#[test]
fn no_more_upstreams_get_a_request_than_its_route_allows() {
    for repeat in REPEATS {
        for max in 1..=3 {
            histories(repeat, max, &mut |faults, sent, _| {
                assert!(sent.sends <= max, "{repeat:?} of {max}: {faults:?}");
            });
        }
    }
}

#[test]
fn every_history_ends() {
    for repeat in REPEATS {
        histories(repeat, 3, &mut |faults, _, step| {
            assert!(faults.len() < 7 || step != Step::Again, "{repeat:?}: {faults:?}");
        });
    }
}

#[test]
fn a_failure_of_an_upstream_is_passed_on_when_nobody_else_may_answer() {
    let mut sent = Sent::default();
    sent.record(Fault::Failed);
    assert_eq!(next_step(RetryPolicy::Idempotent, 1, sent, Fault::Failed), Step::PassOn);
    assert_eq!(next_step(RetryPolicy::Once, 3, sent, Fault::Failed), Step::PassOn);
    assert_eq!(next_step(RetryPolicy::Idempotent, 2, sent, Fault::Failed), Step::Again);
}
