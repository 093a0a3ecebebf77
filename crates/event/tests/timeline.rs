//! Tests of the hybrid logical clock, of the recorder and its files, and of merging and filtering.

use event::{
    Event, EventKind, Filter, HybridClock, Recorder, RecorderConfig, Timestamp, filter, merge,
    read_file,
};
use kernel::ManualClock;
use std::{fs, sync::Arc, time::Duration};

fn start_recorder(cfg: RecorderConfig) -> Recorder {
    Recorder::start(cfg, Arc::new(ManualClock::new())).expect("start")
}

/// An event of a daemon at a wall-clock time in milliseconds.
fn event_at(wall_ms: u64, daemon: &str) -> Event {
    let time = Timestamp { wall_ms, counter: 0 };
    Event::new(time, daemon.to_owned(), EventKind::RequestSent)
}

/// A step of a random run: the receiving clock, by how many milliseconds its wall clock advances
/// before the message arrives, and the sending clock.
type Step = (u8, u8, u8);

/// Guards against an effect that precedes its cause in the merged timeline, which happens if a
/// message does not advance the clock of a receiver whose wall clock is behind the sender's.
#[test]
fn timestamps_increase_on_each_daemon_and_along_each_message() {
    seeded::check().with_type::<Vec<Step>>().for_each(|steps| {
        let walls: Vec<ManualClock> = (0..3).map(|_| ManualClock::new()).collect();
        let clocks: Vec<HybridClock> =
            walls.iter().map(|w| HybridClock::new(Arc::new(w.clone()))).collect();
        let mut last = [Timestamp::default(); 3];
        for (to, advance_ms, from) in steps {
            let (to, from) = (usize::from(*to) % 3, usize::from(*from) % 3);
            walls[to].advance(Duration::from_millis(u64::from(*advance_ms)));
            let sent = clocks[from].tick();
            assert!(sent > last[from]);
            last[from] = sent;
            let received = clocks[to].receive(sent);
            assert!(received > sent && received > last[to]);
            last[to] = received;
        }
    });
}

/// Guards against a daemon with a wrong wall clock that advances the clocks of all others.
#[test]
fn a_timestamp_more_than_a_minute_ahead_does_not_advance_the_clock() {
    let clock = HybridClock::new(Arc::new(ManualClock::new()));
    let ahead = Timestamp { wall_ms: 3_600_000, counter: 0 };
    assert!(clock.receive(ahead) < ahead);
    assert_eq!(clock.refused(), 1);
    let near = Timestamp { wall_ms: 60_000, counter: 3 };
    assert!(clock.receive(near) > near);
}

/// The events of `a` come from two sources, as from its file and its memory.
#[test]
fn merged_events_are_ordered_and_without_duplicates() {
    let a = vec![event_at(1, "a"), event_at(4, "a")];
    let b = vec![event_at(2, "b"), event_at(4, "b")];
    let timeline = merge([b, a.clone(), a]);
    let order: Vec<_> = timeline.iter().map(|e| (e.time.wall_ms, e.daemon.as_str())).collect();
    assert_eq!(order, [(1, "a"), (2, "b"), (4, "a"), (4, "b")]);
}

#[test]
fn an_event_matches_a_filter_only_if_it_fulfils_every_condition() {
    let events = [
        event_at(1, "a").request("r1").upstream("u1").data_centre("d1").change(1),
        event_at(2, "a").request("r2").upstream("u2").data_centre("d2").change(2),
        event_at(3, "a"),
    ];
    let times = |f: Filter| filter(&events, &f).map(|e| e.time.wall_ms).collect::<Vec<_>>();
    let second = Some(Timestamp { wall_ms: 2, counter: 0 });
    assert_eq!(times(Filter::default()), [1, 2, 3]);
    assert_eq!(times(Filter { request: Some("r1".to_owned()), ..Filter::default() }), [1]);
    assert_eq!(times(Filter { upstream: Some("u2".to_owned()), ..Filter::default() }), [2]);
    assert_eq!(times(Filter { data_centre: Some("d1".to_owned()), ..Filter::default() }), [1]);
    assert_eq!(times(Filter { change: Some(2), ..Filter::default() }), [2]);
    assert_eq!(times(Filter { from: second, ..Filter::default() }), [2, 3]);
    assert_eq!(times(Filter { until: second, ..Filter::default() }), [1]);
    let no_match = Filter { request: Some("r1".to_owned()), change: Some(2), ..Filter::default() };
    assert!(times(no_match).is_empty());
}

/// Guards against the loss of the first event after a crash, which would run into the line that
/// the crash cut short, and against a file of a newer version that can't be read because of a kind
/// that this version does not know.
#[test]
fn a_truncated_line_and_an_unknown_kind_do_not_hide_other_events() {
    let dir = tempfile::tempdir().expect("dir");
    let mut cfg = RecorderConfig::new("a".to_owned());
    let path = dir.path().join("events");
    cfg.path = Some(path.clone());
    fs::write(&path, br#"{"time":{"wall_ms":1,"#).expect("truncated line");
    let recorder = start_recorder(cfg);
    recorder.record(recorder.event(EventKind::RequestSent).request("r").text("line\nbreak"));
    let recorded = recorder.stop();
    let newer_line = r#"{"time":{"wall_ms":9,"counter":0},"daemon":"b","kind":"from-the-future"}"#;
    let text = fs::read_to_string(&path).expect("text") + newer_line;
    fs::write(&path, text).expect("newer");
    let read = read_file(&path).expect("read");
    assert_eq!((read.bad_lines, read.events.len()), (1, 2));
    assert_eq!(read.events[0], recorded[0]);
    assert_eq!(read.events[1].kind, EventKind::Unknown);
    assert!(read_file(&dir.path().join("none")).is_err_and(|e| e.is_not_found()));
}

/// Guards against a timeline that fills the disk or the memory of a daemon that runs for long.
#[test]
fn event_files_and_memory_stay_within_their_limits() {
    let dir = tempfile::tempdir().expect("dir");
    let mut cfg = RecorderConfig::new("a".to_owned());
    cfg.path = Some(dir.path().join("events"));
    cfg.max_file_bytes = 500;
    cfg.old_files = 2;
    cfg.ring_events = 3;
    let recorder = start_recorder(cfg);
    for i in 0..100 {
        recorder.record(recorder.event(EventKind::ChangeApplied).change(i));
    }
    let newest: Vec<_> = recorder.stop().iter().filter_map(|e| e.change).collect();
    assert_eq!(newest, [97, 98, 99]);
    let mut names = Vec::new();
    for entry in fs::read_dir(dir.path()).expect("dir") {
        let entry = entry.expect("entry");
        assert!(entry.metadata().expect("metadata").len() <= 500);
        names.push(entry.file_name().into_string().expect("name"));
    }
    names.sort();
    assert_eq!(names, ["events", "events.1", "events.2"]);
    let last = read_file(&dir.path().join("events")).expect("read").events.pop();
    assert_eq!(last.and_then(|e| e.change), Some(99));
}

/// Guards against events that disappear without a trace when the queue to the writer thread is
/// full: each event is either kept or counted by an `EventsDropped` event.
#[test]
fn dropped_events_are_counted_in_the_timeline() {
    let mut cfg = RecorderConfig::new("a".to_owned());
    cfg.queue_events = 1;
    let recorder = start_recorder(cfg);
    const EVENTS: u64 = 5000;
    for i in 0..EVENTS {
        recorder.record(recorder.event(EventKind::ChangeApplied).change(i));
    }
    let events = recorder.stop();
    let (drop_reports, kept): (Vec<_>, Vec<_>) =
        events.iter().partition(|e| e.kind == EventKind::EventsDropped);
    let dropped: u64 = drop_reports
        .iter()
        .map(|e| e.text.strip_suffix(" events").and_then(|n| n.parse::<u64>().ok()).expect("count"))
        .sum();
    assert_eq!(kept.len() as u64 + dropped, EVENTS, "an event was neither kept nor counted");
    assert!(dropped > 0, "no event was dropped: the queue never filled");
}
