//! Properties that a fleet has under any order of events.

use crate::common::{CheckedFleet, MEMORY, engine, job};
use bolero::{TypeGenerator, generator::*};
use route::{
    Config, DesiredState, FailureCause, Fleet, LengthClass, LoadCounters, LoadReport,
    PlacementPolicy, Priority, TokenUsage,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

#[derive(Clone, Debug, TypeGenerator)]
enum Length {
    Short,
    Medium,
    Long,
    Huge,
    Enormous,
}

impl Length {
    fn tokens(&self) -> u64 {
        match self {
            Self::Short => 1_000,
            Self::Medium => 20_000,
            Self::Long => 100_000,
            Self::Huge => 300_000,
            Self::Enormous => 900_000,
        }
    }
}

#[derive(Clone, Debug, TypeGenerator)]
enum Op {
    Advance(#[generator(0..4_000u64)] u64),
    Announce { upstream: u8, uptime: u8, leaving: bool },
    Restart(u8),
    Report { upstream: u8, memory_used: u32, counter: u8 },
    Retire(u8),
    BringUp(u8),
    Remove(u8),
    DataCentre(bool),
    Submit { length: Length, urgent: bool, seconds: u8, suspect: bool },
    Dispatch,
    FirstToken(u8),
    SegmentDone(u8, u8),
    Finish(u8),
    Fail(u8, bool),
    Cancel(u8),
    Expire,
}

/// Number of upstreams in a run.
const UPSTREAMS: u8 = 5;

struct Run {
    checked: CheckedFleet,
    incarnations: [u64; UPSTREAMS as usize],
    submitted: usize,
}

impl Run {
    fn new(policy: PlacementPolicy) -> Self {
        let cfg = Config { policy, max_queued: 24, ..Config::default() };
        let mut checked = CheckedFleet::new(cfg);
        for i in 0..UPSTREAMS {
            checked.announce(engine(&upstream(i), 1, Duration::from_secs(600)));
        }
        Self { checked, incarnations: [1; UPSTREAMS as usize], submitted: 0 }
    }

    fn request(&self, choice: u8) -> String {
        format!("r{:04}", self.submitted.saturating_sub(1 + usize::from(choice % 24)))
    }

    fn apply(&mut self, op: &Op) {
        let c = &mut self.checked;
        match op {
            Op::Advance(millis) => c.advance(Duration::from_millis(*millis)),
            Op::Announce { upstream: u, uptime, leaving } => {
                let incarnation = self.incarnations[usize::from(u % UPSTREAMS)];
                let uptime = Duration::from_secs(u64::from(*uptime));
                let mut info = engine(&upstream(*u), incarnation, uptime);
                info.is_draining = *leaving;
                c.announce(info);
            }
            Op::Restart(u) => {
                let incarnation = &mut self.incarnations[usize::from(u % UPSTREAMS)];
                *incarnation += 1;
                c.announce(engine(&upstream(*u), *incarnation, Duration::ZERO));
            }
            Op::Report { upstream: u, memory_used, counter } => {
                let counters =
                    LoadCounters { requests: u64::from(*counter), ..LoadCounters::default() };
                let incarnation = self.incarnations[usize::from(u % UPSTREAMS)];
                let memory_used = u64::from(memory_used % 500_000);
                c.report(
                    &upstream(*u),
                    LoadReport { incarnation, memory_used, counters, ..LoadReport::default() },
                );
            }
            Op::Retire(u) => c.set_desired_state(&upstream(*u), DesiredState::Retired),
            Op::BringUp(u) => c.set_desired_state(&upstream(*u), DesiredState::Up),
            Op::Remove(u) => c.remove(&upstream(*u)),
            Op::DataCentre(is_in) => c.set_in_service(*is_in),
            Op::Submit { length, urgent, seconds, suspect } => {
                let request = format!("r{:04}", self.submitted);
                self.submitted += 1;
                let deadline = c.now + Duration::from_secs(u64::from(*seconds));
                let mut job = job(&request, length.tokens(), deadline);
                job.priority = if *urgent { Priority::Urgent } else { Priority::Ordinary };
                job.is_suspect = *suspect;
                c.submit(job);
            }
            Op::Dispatch => drop(c.dispatch()),
            Op::FirstToken(r) => {
                let request = self.request(*r);
                self.checked.first_token(&request);
            }
            Op::SegmentDone(r, index) => {
                let request = self.request(*r);
                self.checked.segment_prefilled(&request, usize::from(index % 4));
            }
            Op::Finish(r) => {
                let request = self.request(*r);
                let used = TokenUsage { prompt_tokens: 900, cached_tokens: 0, output_tokens: 50 };
                self.checked.finish(&request, used);
            }
            Op::Fail(r, by_request) => {
                let request = self.request(*r);
                let failure =
                    if *by_request { FailureCause::Request } else { FailureCause::Upstream };
                self.checked.fail(&request, failure);
            }
            Op::Cancel(r) => {
                let request = self.request(*r);
                self.checked.cancel(&request);
            }
            Op::Expire => drop(self.checked.refused()),
        }
        self.checked.check_memory();
    }
}

fn upstream(i: u8) -> String {
    format!("u{}", i % UPSTREAMS)
}

fn run_all(policy: PlacementPolicy) {
    let ops = produce::<Vec<Op>>().with().len(0..160usize);
    seeded::check().with_generator(ops).for_each(|ops| {
        let mut run = Run::new(policy);
        ops.iter().for_each(|op| run.apply(op));
        run.checked.drain();
    });
}

/// Memory is neither leaked nor negative, the ramp is never exceeded, each job is dispatched at
/// most once and ends exactly once, and gangs reserve in the order of ids.
#[test]
fn invariants_hold_under_any_events() {
    run_all(PlacementPolicy::Predicted);
}

/// The same holds for the policies that serve as baselines.
#[test]
fn baseline_policies_keep_the_invariants() {
    run_all(PlacementPolicy::LeastOutstanding);
    run_all(PlacementPolicy::RoundRobin);
    run_all(PlacementPolicy::NoLengthClasses);
}

/// Guards against queued jobs that are never refused: each ends by its deadline, even if no
/// upstream ever becomes free.
#[test]
fn waiting_jobs_end_in_time() {
    let jobs = produce::<Vec<(Length, u8, bool)>>().with().len(1..40usize);
    seeded::check().with_generator(jobs).for_each(|jobs| {
        let mut run = Run::new(PlacementPolicy::Predicted);
        for (length, seconds, urgent) in jobs {
            let (length, seconds) = (length.clone(), *seconds);
            run.apply(&Op::Submit { length, urgent: *urgent, seconds, suspect: false });
        }
        // Requests in flight never finish; queued jobs must still not pass their deadlines.
        run.apply(&Op::Dispatch);
        run.checked.advance(Duration::from_secs(256));
        (0..UPSTREAMS).for_each(|u| {
            run.apply(&Op::Announce { upstream: u, uptime: 255, leaving: false });
        });
        run.apply(&Op::Expire);
        assert_eq!(run.checked.fleet.queued_count(), 0);
    });
}

/// Outcome counts of the requests of one class.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    accepted: u32,
    refused: u32,
    ended: u32,
}

/// Simulates arrivals for `ticks` steps of half a second, and up to 500 s more for them to finish,
/// on engines that prefill at their announced rate and decode each output in a second. In each
/// step new requests arrive until the work offered so far, both in prefill and in memory
/// multiplied by time, reaches `load` times the capacity of the engines.
fn simulate(lengths: &[Length], load: f64, ticks: usize) -> BTreeMap<LengthClass, Outcome> {
    let mut fleet = Fleet::new(Config::default());
    let mut now = Instant::now();
    let mut due: BTreeSet<(Instant, String)> = BTreeSet::new();
    let mut classes: BTreeMap<String, LengthClass> = BTreeMap::new();
    let mut outcomes: BTreeMap<LengthClass, Outcome> = BTreeMap::new();
    let (mut prefill, mut memory) = (0.0, 0.0);
    for tick in 0..ticks + 1_000 {
        if tick >= ticks && fleet.queued_count() + fleet.in_flight_count() == 0 {
            break;
        }
        now += Duration::from_millis(500);
        for i in 0..UPSTREAMS {
            fleet.announce(now, engine(&upstream(i), 1, Duration::from_secs(600))).unwrap();
        }
        prefill += load * 0.5 * 10_000.0 * f64::from(UPSTREAMS);
        memory += load * 0.5 * MEMORY as f64 * f64::from(UPSTREAMS);
        while tick < ticks && prefill > 0.0 && memory > 0.0 {
            let tokens = lengths[classes.len() % lengths.len()].tokens();
            prefill -= tokens as f64;
            memory -= tokens as f64 * (tokens as f64 / 10_000.0 + 1.0);
            let (request, class) = (format!("p{:05}", classes.len()), LengthClass::of(tokens));
            let deadline = now + Duration::from_secs(500);
            let accepted = fleet.submit(now, job(&request, tokens, deadline)).is_ok();
            let outcome = outcomes.entry(class).or_default();
            outcome.accepted += u32::from(accepted);
            outcome.refused += u32::from(!accepted);
            classes.insert(request, class);
        }
        fleet.refuse_expired(now);
        while let Some((at, request)) = due.pop_first() {
            if at > now {
                due.insert((at, request));
                break;
            }
            fleet.first_token_received(now, &request, None);
            fleet.request_finished(now, &request, TokenUsage::default());
            outcomes.entry(classes[&request]).or_default().ended += 1;
        }
        for dispatch in fleet.dispatch(now) {
            let tokens: u64 = dispatch.placement.reservations().iter().map(|r| r.tokens).sum();
            let time = Duration::from_secs_f64(tokens as f64 / 10_000.0 + 1.0);
            due.insert((now + time, dispatch.request));
        }
    }
    outcomes
}

/// At a third of the capacity no request is refused and all finish, whatever the mix of lengths
/// and including gangs. Guards against refusals and stuck jobs without overload.
#[test]
fn all_requests_end_at_moderate_load() {
    let lengths = produce::<Vec<Length>>().with().len(1..6usize);
    seeded::check().with_generator(lengths).for_each(|lengths| {
        for (class, outcome) in simulate(lengths, 0.33, 160) {
            assert_eq!(outcome.refused, 0, "{class:?}: {outcome:?}");
            assert_eq!(outcome.ended, outcome.accepted, "{class:?}: {outcome:?}");
        }
    });
}

/// At three times the capacity some requests of every class still finish.
#[test]
fn no_class_is_starved_under_overload() {
    let lengths = produce::<Vec<Length>>().with().len(1..6usize);
    seeded::check().with_generator(lengths).for_each(|lengths| {
        for (class, outcome) in simulate(lengths, 3.0, 40) {
            assert!(outcome.ended > 0, "{class:?}: {outcome:?}");
        }
    });
}

/// A steady stream of prompts that would fill all memory must not starve a gang: it starts once the
/// requests in flight when memory is held back for it have finished.
#[test]
fn a_gang_gets_its_memory_under_a_flood() {
    let mut c = CheckedFleet::new(Config::default());
    let mut running: Vec<(Instant, String)> = Vec::new();
    let mut started = None;
    for tick in 0..120u64 {
        c.advance(Duration::from_secs(1));
        (0..3u8).for_each(|i| c.announce(engine(&upstream(i), 1, Duration::from_secs(600))));
        // Together the requests, of 20 s each, need more than the memory of all upstreams.
        (0..6).for_each(|i| {
            c.submit(job(&format!("f{tick}-{i}"), 120_000, c.now + Duration::from_secs(40)));
        });
        if tick == 10 {
            assert!(c.submit(job("gang", 900_000, c.now + Duration::from_secs(300))));
        }
        c.refused();
        let now = c.now;
        let (done, unfinished): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(at, _)| *at <= now);
        running = unfinished;
        for (_, request) in done {
            c.finish(&request, TokenUsage::default());
        }
        for dispatch in c.dispatch() {
            c.first_token(&dispatch.request);
            if dispatch.request == "gang" {
                started = Some(tick);
            }
            running.push((c.now + Duration::from_secs(20), dispatch.request));
        }
    }
    // Submitted at 10 s, memory held after 2 s, requests of 20 s, one step.
    assert!(started.is_some_and(|tick| tick <= 10 + 2 + 20 + 1), "started at {started:?}");
}
