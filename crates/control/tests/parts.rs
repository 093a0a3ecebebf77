//! Quarantine of parts of prompts: the part that crashes upstreams must be found among those that it
//! shares requests and upstreams with.

use control::{Command, PartHash, PartsCharge, QUARANTINE, State};

/// Part that crashes upstreams.
const BAD: PartHash = [1; 32];
/// First part, which all requests share.
const FIRST: PartHash = [2; 32];
/// Part of requests that are only in flight when upstreams crash.
const OTHER: PartHash = [3; 32];

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

    /// Charges the crash of an upstream to the parts of a request.
    fn crash(&mut self, parts: &[PartHash], request: u8, upstream: &str) {
        self.apply(&Command::ChargeParts(PartsCharge {
            parts: parts.to_vec(),
            request: [request; 32],
            upstream: upstream.to_owned(),
            incarnation: 1,
            at_ms: 0,
        }));
    }

    fn quarantined(&self) -> Vec<PartHash> {
        self.state.watchlist().quarantined.into_iter().collect()
    }
}

/// Three requests that share a part and a first part must put only the later one in quarantine: the
/// first part is that of many sound requests.
#[test]
fn of_parts_with_the_same_crashes_the_last_is_refused() {
    let mut fixture = Fixture::default();
    fixture.crash(&[FIRST, BAD], 1, "a");
    fixture.crash(&[FIRST, BAD], 2, "b");
    assert!(fixture.quarantined().is_empty());
    assert!(fixture.state.watchlist().suspects.contains(&BAD));
    fixture.crash(&[FIRST, BAD], 3, "c");
    assert_eq!(fixture.quarantined(), [BAD]);
    assert!(!fixture.state.parts().is_charged(&FIRST), "its crashes are explained");
    fixture.crash(&[FIRST, BAD], 4, "d");
    assert!(!fixture.state.parts().is_charged(&FIRST), "this one too");
}

/// A first part that crashes upstreams must be refused, although each request has another part behind
/// it.
#[test]
fn a_first_part_is_refused_if_the_parts_behind_it_differ() {
    let mut fixture = Fixture::default();
    for request in 1..=3 {
        let own: PartHash = [100 + request; 32];
        fixture.crash(&[FIRST, own], request, ["a", "b", "c"][usize::from(request) - 1]);
    }
    assert_eq!(fixture.quarantined(), [FIRST]);
}

/// One request that crashes upstreams again and again, or one upstream that crashes with many requests
/// in flight, must not put a part in quarantine: other requests with it may be sound.
#[test]
fn crashes_under_one_request_or_of_one_upstream_count_once() {
    let mut fixture = Fixture::default();
    for upstream in ["a", "b", "c", "d"] {
        fixture.crash(&[FIRST], 1, upstream);
    }
    for request in 2..=5 {
        fixture.crash(&[OTHER], request, "a");
    }
    assert!(fixture.quarantined().is_empty());
    assert!(fixture.state.watchlist().suspects.is_empty());
}

/// Requests in flight on upstreams that a bad part crashes must not have their parts refused once that
/// part is known.
#[test]
fn crashes_that_a_refused_part_explains_are_not_charged_to_others() {
    let mut fixture = Fixture::default();
    for (request, upstream) in [(1, "a"), (2, "b"), (3, "c")] {
        fixture.crash(&[OTHER], 10 + request, upstream);
        fixture.crash(&[BAD], request, upstream);
        if request == 2 {
            // Without this the part would get there first.
            fixture.apply(&Command::AcquitPart { part: OTHER, at_ms: 0 });
        }
    }
    assert_eq!(fixture.quarantined(), [BAD]);
    assert!(!fixture.state.parts().is_charged(&OTHER));
}

/// A complete response to a request with a part clears it, also if it is refused already.
#[test]
fn a_complete_response_clears_a_part() {
    let mut fixture = Fixture::default();
    for (request, upstream) in [(1, "a"), (2, "b"), (3, "c")] {
        fixture.crash(&[OTHER], request, upstream);
    }
    assert_eq!(fixture.quarantined(), [OTHER]);
    fixture.apply(&Command::AcquitPart { part: OTHER, at_ms: 0 });
    assert!(fixture.quarantined().is_empty());
}

/// A quarantine must outlive the processes, by a snapshot, and end after its time. A state without it
/// is written in the former format, so that earlier builds can read it.
#[test]
fn a_quarantine_of_a_part_survives_a_snapshot_and_expires() {
    let mut fixture = Fixture::default();
    assert_eq!(fixture.state.snapshot()[0], 3, "format of a state without departures and parts");
    for (request, upstream) in [(1, "a"), (2, "b"), (3, "c")] {
        fixture.crash(&[BAD], request, upstream);
    }
    let snapshot = fixture.state.snapshot();
    assert_eq!(snapshot[0], 5);
    fixture.state = State::restore(&snapshot).expect("a snapshot");
    assert_eq!(fixture.quarantined(), [BAD]);
    let until_ms = QUARANTINE.as_millis() as u64;
    assert_eq!(fixture.state.next_expiry_ms(), Some(until_ms));
    fixture.apply(&Command::Tick { at_ms: until_ms });
    assert!(fixture.quarantined().is_empty());
}
