//! Quarantine of requests that gateway daemons never run alone, and the watchlist that they follow.

use control::{Command, CrashCharge, QUARANTINE, QuarantineStatus, RequestHash, State, Watchlist};
use std::collections::BTreeSet;

const REQUEST: RequestHash = [7; 32];

/// Replicated state, with the index of its last command.
#[derive(Default)]
struct Fixture {
    state: State,
    index: u64,
}

impl Fixture {
    fn apply(&mut self, command: &Command) {
        self.index += 1;
        self.state.apply(self.index, command);
    }

    /// Charges the crash of a run of `upstream` to the request.
    fn crash(&mut self, upstream: &str, started_at_ms: u64, at_ms: u64) {
        self.apply(&Command::Charge(CrashCharge {
            fingerprint: REQUEST,
            upstream: upstream.to_owned(),
            incarnation: started_at_ms,
            alone: false,
            at_ms,
        }));
    }

    fn watchlist(&self) -> Watchlist {
        self.state.quarantine().watchlist()
    }
}

fn watched(quarantined: &[RequestHash], suspects: &[RequestHash]) -> Watchlist {
    let set = |hashes: &[RequestHash]| hashes.iter().copied().collect::<BTreeSet<_>>();
    Watchlist { quarantined: set(quarantined), suspects: set(suspects) }
}

/// A request that never ran alone must be refused after the crashes of three runs, not of three
/// reports of the same run, and be watched as a suspect before.
#[test]
fn three_crashes_with_other_requests_in_flight_begin_a_quarantine() {
    let mut fixture = Fixture::default();
    for _ in 0..3 {
        fixture.crash("a", 1, 0);
    }
    assert_eq!(fixture.watchlist(), watched(&[], &[]));
    fixture.crash("a", 2, 0);
    assert_eq!(fixture.watchlist(), watched(&[], &[REQUEST]));
    fixture.crash("b", 1, 0);
    assert_eq!(fixture.watchlist(), watched(&[REQUEST], &[]));
    assert!(fixture.state.quarantine().has_charged(&REQUEST, &"b".to_owned(), 1));
}

/// A complete response shows that the crashes before it had another cause. Otherwise a request that
/// is sent often would be refused after three crashes that happened for other reasons.
#[test]
fn a_complete_response_clears_a_suspect_but_no_quarantined_request() {
    let mut fixture = Fixture::default();
    let acquit = Command::Acquit { fingerprint: REQUEST, at_ms: 0 };
    fixture.crash("a", 1, 0);
    fixture.crash("b", 1, 0);
    fixture.apply(&acquit);
    assert_eq!(fixture.watchlist(), watched(&[], &[]));
    for upstream in ["c", "d", "e"] {
        fixture.crash(upstream, 1, 0);
    }
    fixture.apply(&acquit);
    assert_eq!(fixture.watchlist(), watched(&[REQUEST], &[]));
}

/// A quarantine must outlive the processes, by a snapshot, and end after its time.
#[test]
fn a_quarantine_survives_a_snapshot_and_expires() {
    let mut fixture = Fixture::default();
    for upstream in ["a", "b", "c"] {
        fixture.crash(upstream, 1, 1_000);
    }
    fixture.state = State::restore(&fixture.state.snapshot()).expect("a snapshot");
    let until_ms = 1_000 + QUARANTINE.as_millis() as u64;
    let status = fixture.state.quarantine().status(&REQUEST);
    assert_eq!(status, QuarantineStatus::Quarantined { until_ms });
    fixture.apply(&Command::Tick { at_ms: until_ms - 1 });
    assert_eq!(fixture.watchlist(), watched(&[REQUEST], &[]));
    fixture.apply(&Command::Tick { at_ms: until_ms });
    assert_eq!(fixture.watchlist(), watched(&[], &[]));
}

/// A copy of a report that arrives after a complete response charges its crash once more, and never a second
/// time: three runs still have to crash.
#[test]
fn a_late_copy_of_a_crash_report_counts_as_one_crash() {
    let mut fixture = Fixture::default();
    fixture.crash("a", 1, 0);
    fixture.apply(&Command::Acquit { fingerprint: REQUEST, at_ms: 0 });
    for _ in 0..3 {
        fixture.crash("a", 1, 0);
    }
    assert_eq!(fixture.watchlist(), watched(&[], &[]));
}
