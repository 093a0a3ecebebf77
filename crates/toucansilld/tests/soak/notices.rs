//! Upstreams that say in their responses that they leave, or that they want no requests of one entry
//! for a time, with the checks that entries keep to it.

use crate::{
    stand_ins::Upstream,
    world::{DRAIN_TIME, RunState, WATCH_TIME, lock},
};
use fake::FaultProxy;
use platform::stand_in::{
    LEAVING_HEADER_LINE, parse_request_id, registration_body, response_header_lines,
    turned_away_response,
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time for which an upstream turns an entry away.
const TURN_AWAY_TIME: Duration = Duration::from_secs(3);
/// Time after an entry was turned away within which it may still send requests.
const TURN_AWAY_GRACE: Duration = Duration::from_millis(500);
/// Number of requests that may reach the upstream from that entry after it.
const LATE_REQUESTS_ALLOWED: usize = 2;
/// Pause in which an upstream serves all entries again.
const NORMAL_TIME: Duration = Duration::from_millis(1_500);
/// Interval at which conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval for which the records of requests are kept.
const RECORD_TIME: Duration = Duration::from_secs(30);

/// Index of an entry.
type Entry = usize;

/// What the two upstreams do, and what callers and they have seen.
#[derive(Default)]
struct State {
    /// Requests that callers have sent lately, with their entries.
    sent: BTreeMap<String, (Entry, Instant)>,
    /// Attempts that either upstream has run.
    runs: Vec<String>,
    /// Whether the first upstream leaves.
    is_leaving: bool,
    /// When an entry first passed on a response that says so.
    learnt: BTreeMap<Entry, Instant>,
    /// Requests that have reached the first upstream while it leaves.
    while_leaving: Vec<String>,
    /// Entry that the second upstream turns away.
    turned_away: Option<Entry>,
    /// When it turned requests of that entry away.
    turned_away_at: Vec<Instant>,
}

/// The two upstreams: one that leaves, and one that turns an entry away.
pub(crate) struct Notices {
    state: Arc<Mutex<State>>,
    upstreams: [(Upstream, FaultProxy); 2],
    registrations: Mutex<[RunState; 2]>,
}

impl Notices {
    pub(crate) fn start() -> Self {
        let state = Arc::<Mutex<State>>::default();
        let start = |respond: fn(&mut State, &str) -> String| {
            let state = Arc::clone(&state);
            let upstream = Upstream::scripted(move |head, body| {
                let attempt = head.lines().find_map(parse_request_id).unwrap_or_default();
                // It breaks off at the request that crashes upstreams, as the others do.
                match body {
                    "crash" => {
                        lock(&state).runs.push(attempt.to_owned());
                        String::new()
                    }
                    _ => respond(&mut lock(&state), attempt),
                }
            });
            let proxy = FaultProxy::start(upstream.address).expect("a port");
            (upstream, proxy)
        };
        let upstreams = [start(respond_leaving), start(respond_turning_away)];
        Self { upstreams, registrations: Mutex::new([RunState::ready(1); 2]), state }
    }

    pub(crate) fn proxies(&self) -> impl Iterator<Item = &FaultProxy> {
        self.upstreams.iter().map(|(_, proxy)| proxy)
    }

    /// Names and bodies of the next registrations.
    pub(crate) fn registrations(&self) -> [(String, String); 2] {
        let mut registrations = lock(&self.registrations);
        [0, 1].map(|i| {
            let RunState { run, sequence, .. } = &mut registrations[i];
            *sequence += 1;
            let address = self.upstreams[i].1.address();
            (format!("n{i}"), registration_body(address, "s1", *run, *sequence, "ready"))
        })
    }

    /// Attempts that either upstream has run.
    pub(crate) fn runs(&self) -> Vec<String> {
        lock(&self.state).runs.clone()
    }

    /// Records that a caller is about to send a request to an entry.
    pub(crate) fn sending(&self, attempt: &str, entry: Entry) {
        let mut state = lock(&self.state);
        state.sent.insert(attempt.to_owned(), (entry, Instant::now()));
        state.sent.retain(|_, (_, at)| at.elapsed() < RECORD_TIME);
    }

    /// Records a response that an entry has passed on.
    pub(crate) fn passed_on(&self, entry: Entry, response: &str) {
        let is_leaving =
            response.lines().any(|line| line.eq_ignore_ascii_case(LEAVING_HEADER_LINE.trim_end()));
        if is_leaving {
            lock(&self.state).learnt.entry(entry).or_insert_with(Instant::now);
        }
    }

    /// Lets the first upstream leave and return as a new run, again and again. Returns the number of
    /// times that it left. `pauses` counts how often an entry was paused or restarted, which excuses
    /// it.
    pub(crate) fn leave(&self, pauses: &impl Fn() -> u64, is_done: &AtomicBool) -> usize {
        let mut departures = 0;
        while !is_done.load(Ordering::SeqCst) {
            thread::sleep(NORMAL_TIME);
            let pauses_before = pauses();
            lock(&self.state).is_leaving = true;
            if !wait_until(is_done, || !lock(&self.state).learnt.is_empty()) {
                break;
            }
            thread::sleep(DRAIN_TIME + WATCH_TIME);
            let mut state = lock(&self.state);
            let is_late = |attempt: &&String| {
                let Some((entry, sent)) = state.sent.get(*attempt) else { return false };
                state.learnt.get(entry).is_some_and(|learnt| *sent > *learnt + DRAIN_TIME)
            };
            let late: Vec<&String> = state.while_leaving.iter().filter(is_late).collect();
            if pauses() == pauses_before {
                assert!(late.is_empty(), "requests sent to an upstream that leaves: {late:?}");
                departures += 1;
            }
            (state.is_leaving, state.learnt) = (false, BTreeMap::new());
            state.while_leaving.clear();
            drop(state);
            let mut registrations = lock(&self.registrations);
            registrations[0] = RunState::ready(registrations[0].run + 1);
        }
        departures
    }

    /// Lets the second upstream turn one entry after the other away. Returns how often it did.
    pub(crate) fn turn_away(
        &self,
        entries: usize,
        pauses: &impl Fn() -> u64,
        is_done: &AtomicBool,
    ) -> usize {
        let mut count = 0;
        for turn in 0.. {
            thread::sleep(NORMAL_TIME);
            let pauses_before = pauses();
            lock(&self.state).turned_away = Some(turn % entries);
            if !wait_until(is_done, || !lock(&self.state).turned_away_at.is_empty()) {
                break;
            }
            thread::sleep(TURN_AWAY_TIME);
            let mut state = lock(&self.state);
            state.turned_away = None;
            let at = std::mem::take(&mut state.turned_away_at);
            let is_late = |at_request: &&Instant| {
                let passed = at_request.duration_since(at[0]);
                passed > TURN_AWAY_GRACE && passed < TURN_AWAY_TIME
            };
            let late = at.iter().filter(is_late).count();
            if pauses() == pauses_before {
                assert!(late <= LATE_REQUESTS_ALLOWED, "{late} requests of an entry turned away");
                count += 1;
            }
        }
        count
    }
}

/// Response of the first upstream.
fn respond_leaving(state: &mut State, attempt: &str) -> String {
    state.runs.push(attempt.to_owned());
    if state.is_leaving {
        state.while_leaving.push(attempt.to_owned());
    }
    response(attempt, if state.is_leaving { LEAVING_HEADER_LINE } else { "" })
}

/// Response of the second upstream.
fn respond_turning_away(state: &mut State, attempt: &str) -> String {
    let entry = state.sent.get(attempt).map(|(entry, _)| *entry);
    if entry.is_none() || entry != state.turned_away {
        state.runs.push(attempt.to_owned());
        return response(attempt, "");
    }
    state.turned_away_at.push(Instant::now());
    let remaining = TURN_AWAY_TIME.saturating_sub(state.turned_away_at[0].elapsed());
    turned_away_response(attempt, remaining.as_secs_f64())
}

fn response(attempt: &str, header_line: &str) -> String {
    let body = format!("answer {attempt}");
    format!(
        "HTTP/1.1 200 OK\r\n{header_line}{}Content-Length: {}\r\n\r\n{body}",
        response_header_lines(attempt),
        body.len()
    )
}

/// Waits until a condition holds. Returns false if the test is done before.
fn wait_until(is_done: &AtomicBool, condition: impl Fn() -> bool) -> bool {
    while !condition() {
        if is_done.load(Ordering::SeqCst) {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
    true
}
