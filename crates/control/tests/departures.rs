//! Departures of upstreams: the newest of each stays known for its retention, in snapshots too.

use control::{Command, DEPARTURE_RETENTION, Outcome, State, UpstreamDeparture};

/// Departure of the upstream `u`.
fn departure(started_at_ms: u64, has_left: bool, sequence: u64) -> UpstreamDeparture {
    UpstreamDeparture { upstream: "u".to_owned(), started_at_ms, has_left, sequence, at_ms: 0 }
}

/// Records a departure at a time of the leader's clock.
fn record(state: &mut State, index: u64, departure: &UpstreamDeparture, at_ms: u64) {
    let mut command = Command::RecordDeparture(departure.clone());
    command.stamp(at_ms);
    assert_eq!(state.apply(index, &command), Outcome::Departure);
}

/// A drain that arrives after the deregistration of the same run, or after a departure of a later
/// run, must not replace it: the upstream could come back.
#[test]
fn a_late_departure_replaces_no_newer_one() {
    let mut state = State::new();
    let newest = departure(6, true, 9);
    for (index, late) in [departure(6, false, 9), newest.clone(), departure(5, true, 20)]
        .iter()
        .chain([&departure(6, false, 12)])
        .enumerate()
    {
        record(&mut state, index as u64 + 1, late, 0);
    }
    assert_eq!(state.departures().get("u"), Some(&newest));
    assert!(state.departures().covers(&departure(6, false, 30)));
    assert!(!state.departures().covers(&departure(7, false, 1)));
}

/// A departure of a run that is not known must neither replace nor be taken for that of another
/// run, and counts from its last announcement.
#[test]
fn a_departure_of_an_unknown_run_is_kept_beside_the_newest() {
    let mut state = State::new();
    let newest = departure(6, true, 9);
    record(&mut state, 1, &newest, 0);
    for at_ms in [1_000, 5_000] {
        let upstream = "u".to_owned();
        state.apply(1 + at_ms, &Command::RecordUnknownDeparture { upstream, at_ms });
        assert_eq!(state.departures().of_unknown_runs().get("u"), Some(&at_ms));
    }
    assert_eq!(state.departures().get("u"), Some(&newest));
    assert!(!state.departures().covers(&departure(7, true, 1)));
}

/// Departures must not pile up: a name that nobody uses any more is forgotten.
#[test]
fn a_departure_is_forgotten_after_its_retention() {
    let retention_ms = DEPARTURE_RETENTION.as_millis() as u64;
    let mut state = State::new();
    record(&mut state, 1, &departure(6, true, 9), 1_000);
    assert_eq!(state.next_expiry_ms(), Some(1_000 + retention_ms));
    state.apply(2, &Command::Tick { at_ms: 999 + retention_ms });
    assert!(!state.departures().is_empty());
    state.apply(3, &Command::Tick { at_ms: 1_000 + retention_ms });
    assert!(state.departures().is_empty());

    let upstream = "u".to_owned();
    let at_ms = 2_000 + retention_ms;
    state.apply(4, &Command::RecordUnknownDeparture { upstream, at_ms });
    assert_eq!(state.next_expiry_ms(), Some(at_ms + retention_ms));
    state.apply(5, &Command::Tick { at_ms: at_ms + retention_ms });
    assert!(state.departures().is_empty());
}

/// A snapshot that lost departures would bring upstreams back at the members that restore it. One
/// without departures must stay readable for builds that don't know them.
#[test]
fn a_snapshot_keeps_departures_and_has_the_former_format_without_any() {
    let mut state = State::new();
    let former = state.snapshot();
    assert_eq!(former[..4], 3u32.to_le_bytes());
    assert_eq!(State::restore(&former).expect("restored"), State::new());

    record(&mut state, 1, &departure(6, true, 9), 1_000);
    assert_eq!(State::restore(&state.snapshot()).expect("restored"), state);
}
