//! Load: engines that start, recover, fail or are slow, in virtual time: each test sends an engine as
//! many requests as its pace permits.

use grant::Pace;
use std::time::{Duration, Instant};

const SLOTS: usize = 12;
/// Expected time to a first event.
const EXPECTED: Duration = Duration::from_millis(140);

/// An engine that answers all requests that its pace permits, again and again.
struct Engine {
    pace: Pace,
    now: Instant,
}

impl Engine {
    fn starting() -> Self {
        let mut pace = Pace::full(SLOTS);
        pace.start();
        Self { pace, now: Instant::now() }
    }

    /// Sends the permitted requests, whose first events come after this time.
    fn round(&mut self, first_event: Duration) {
        let sent_at = self.now;
        self.now += first_event;
        for _ in 0..self.pace.permitted() {
            self.pace.first_event(sent_at, self.now, EXPECTED);
        }
    }

    /// Sends the permitted requests, of which the first one fails.
    fn failing_round(&mut self) {
        let sent_at = self.now;
        self.now += EXPECTED;
        self.pace.failed(sent_at, self.now);
    }
}

#[test]
fn an_engine_that_is_fast_at_once_is_not_left_idle() {
    let mut engine = Engine::starting();
    let started = engine.now;
    assert!(engine.pace.permitted() < SLOTS / 2);
    while !engine.pace.is_full() {
        engine.round(EXPECTED);
    }
    assert!(engine.now - started <= Duration::from_millis(1_500));
}

#[test]
fn an_engine_at_half_speed_gets_no_more_until_it_answers_in_time() {
    let mut engine = Engine::starting();
    engine.round(EXPECTED * 4 + Duration::from_millis(250));
    let lowered = engine.pace.permitted();
    assert!(lowered <= SLOTS / 8, "{lowered}");
    engine.round(EXPECTED);
    assert!(engine.pace.permitted() > lowered);
}

#[test]
fn one_bad_answer_lowers_the_pace_once_for_all_requests_of_the_same_time() {
    let mut engine = Engine { pace: Pace::full(SLOTS), now: Instant::now() };
    let sent_at = engine.now;
    for _ in 0..SLOTS {
        engine.now += Duration::from_millis(10);
        engine.pace.failed(sent_at, engine.now);
    }
    assert_eq!(engine.pace.permitted(), SLOTS / 2);
}

#[test]
fn an_engine_that_fails_while_it_starts_begins_the_next_start_with_less() {
    let mut engine = Engine::starting();
    let first = engine.pace.permitted();
    engine.failing_round();
    let mut next = Pace::full(SLOTS);
    next.succeed(&engine.pace);
    next.start();
    assert!(next.permitted() < first, "{} of {first}", next.permitted());
    // A start that goes well makes up for it.
    engine.pace = next;
    while !engine.pace.is_full() {
        engine.round(EXPECTED);
    }
    engine.pace.start();
    assert_eq!(engine.pace.permitted(), first);
}

/// Of two rounds one fails, for 60 s: an engine that fails 45 % of its requests, or flaps. It gets a
/// trickle, by which its recovery is seen at once.
#[test]
fn a_failing_engine_gets_a_trickle_and_recovers() {
    let mut engine = Engine { pace: Pace::full(SLOTS), now: Instant::now() };
    let end = engine.now + Duration::from_secs(60);
    let mut highest = 0;
    while engine.now < end {
        engine.failing_round();
        engine.failing_round();
        engine.round(EXPECTED);
        highest = highest.max(engine.pace.permitted());
        assert!(engine.pace.permitted() >= 1);
    }
    assert!(engine.pace.permitted() <= SLOTS / 3, "{}", engine.pace.permitted());
    let recovered = engine.now;
    while !engine.pace.is_full() {
        engine.round(EXPECTED);
    }
    assert!(engine.now - recovered <= Duration::from_millis(1_500));
}

/// First events between good and bad for 60 s: the pace doesn't swing.
#[test]
fn answers_that_are_neither_good_nor_bad_leave_the_pace() {
    let mut engine = Engine::starting();
    let end = engine.now + Duration::from_secs(60);
    let before = engine.pace.permitted();
    while engine.now < end {
        engine.round(EXPECTED * 2 + Duration::from_millis(250));
        assert_eq!(engine.pace.permitted(), before);
    }
}

#[test]
fn the_pace_never_exceeds_the_slots_and_missing_answers_never_raise_it() {
    let mut engine = Engine::starting();
    let before = engine.pace.permitted();
    engine.now += Duration::from_secs(60);
    assert_eq!(engine.pace.permitted(), before);
    for _ in 0..100 {
        engine.round(Duration::ZERO);
        assert!(engine.pace.permitted() <= SLOTS);
    }
}

/// A third of 300 engines returns at once: together they begin with the requests of a quarter of
/// their slots, as their announced limits allow.
#[test]
fn many_engines_that_return_together_share_a_burst() {
    let engines: Vec<Engine> = (0..100).map(|_| Engine::starting()).collect();
    let permitted: usize = engines.iter().map(|engine| engine.pace.permitted()).sum();
    assert!(permitted * 4 <= 100 * SLOTS && permitted >= 100);
}
