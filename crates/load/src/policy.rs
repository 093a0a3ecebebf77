//! Placement policies: the dispatcher's, and simple ones to compare it with.

use fastrand::Rng;
use grant::{
    Decision, Directory, Dispatcher, DispatcherConfig, Grant, PlacementRequest, PlacementRequestId,
    RefusalReason, Registration, RequestOutcome,
};
use routing::{EngineProfile, Service};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// What a simple policy knows of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineLoad {
    /// Requests that it runs.
    pub requests: usize,
    /// Time to read all prompts whose first event has not come.
    pub prefill_time: Duration,
}

/// Picks one of the engines that have a free slot, by their index in the slice.
pub type PickFn = fn(&[EngineLoad], &mut Rng) -> usize;

/// Chooses where requests run.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Name.
    pub name: &'static str,
    /// How it picks; `None` is the dispatcher, which also splits prompts, lets requests wait
    /// and refuses them.
    pub pick: Option<PickFn>,
}

/// All policies, by name.
pub fn policies() -> Vec<Policy> {
    let random: PickFn = |loads, rng| rng.usize(..loads.len());
    let fewest: PickFn = |loads, _| least(loads, |load| load.requests);
    let least_reading: PickFn = |loads, _| least(loads, |load| load.prefill_time);
    let two_choices: PickFn = |loads, rng| {
        let (a, b) = (rng.usize(..loads.len()), rng.usize(..loads.len()));
        if loads[a].prefill_time <= loads[b].prefill_time { a } else { b }
    };
    vec![
        Policy { name: "dispatcher", pick: None },
        Policy { name: "least-reading", pick: Some(least_reading) },
        Policy { name: "fewest-requests", pick: Some(fewest) },
        Policy { name: "two-choices", pick: Some(two_choices) },
        Policy { name: "random", pick: Some(random) },
    ]
}

fn least<T: Ord>(loads: &[EngineLoad], key: impl Fn(&EngineLoad) -> T) -> usize {
    (0..loads.len()).min_by_key(|i| key(&loads[*i])).unwrap_or(0)
}

/// A policy at work.
pub(crate) enum PolicyState {
    Dispatcher(Box<Dispatcher>, Directory),
    Simple(Simple),
}

/// Places each request at once, or as soon as an engine has a free slot.
pub(crate) struct Simple {
    pick: PickFn,
    rng: Rng,
    profile: EngineProfile,
    loads: Vec<EngineLoad>,
    /// Engine of each request, and its reading until the first event.
    placed: BTreeMap<PlacementRequestId, (usize, Duration)>,
}

const SERVICE: &str = "s";

impl PolicyState {
    pub(crate) fn new(policy: &Policy, engines: usize, start: Instant, seed: u64) -> Self {
        let profile = EngineProfile::example();
        if let Some(pick) = policy.pick {
            return Self::Simple(Simple {
                pick,
                rng: Rng::with_seed(seed),
                profile,
                loads: vec![EngineLoad::default(); engines],
                placed: BTreeMap::new(),
            });
        }
        let mut directory = Directory::new();
        for i in 0..engines {
            let address = ([10, 0, 0, 0], u16::try_from(i).unwrap_or(u16::MAX)).into();
            directory.register(start, Registration::new(&engine_name(i), SERVICE, address));
        }
        let mut service = Service::new(SERVICE);
        service.engine = Some(profile);
        // The directory is never refreshed here, so silence must not count.
        let cfg =
            DispatcherConfig { silence_timeout: Duration::MAX, ..DispatcherConfig::default() };
        let mut dispatcher = Dispatcher::new(cfg);
        dispatcher.set_services(&[service]);
        Self::Dispatcher(Box::new(dispatcher), directory)
    }

    pub(crate) fn ask(&mut self, now: Instant, ask: &PlacementRequest) -> Decision {
        match self {
            Self::Dispatcher(dispatcher, directory) => {
                dispatcher.request_placement(now, directory, ask.clone())
            }
            Self::Simple(simple) => simple.place(ask),
        }
    }

    pub(crate) fn poll(&mut self, now: Instant) -> Vec<(PlacementRequestId, Decision)> {
        match self {
            Self::Dispatcher(dispatcher, directory) => dispatcher.poll(now, directory),
            Self::Simple(_) => Vec::new(),
        }
    }

    pub(crate) fn began(&mut self, now: Instant, id: &PlacementRequestId) {
        match self {
            Self::Dispatcher(dispatcher, _) => dispatcher.first_event_received(now, id),
            Self::Simple(simple) => simple.has_read(id),
        }
    }

    pub(crate) fn ended(&mut self, now: Instant, id: &PlacementRequestId) {
        match self {
            Self::Dispatcher(dispatcher, _) => {
                dispatcher.request_ended(now, id, RequestOutcome::Completed)
            }
            Self::Simple(simple) => simple.ended(id),
        }
    }
}

impl Simple {
    fn place(&mut self, ask: &PlacementRequest) -> Decision {
        if ask.prompt_tokens + ask.max_output_tokens > self.profile.memory_tokens {
            return Decision::Refused {
                reason: RefusalReason::TooLarge,
                retry_after: Duration::ZERO,
            };
        }
        let slots = self.profile.slots as usize;
        let open: Vec<usize> =
            (0..self.loads.len()).filter(|i| self.loads[*i].requests < slots).collect();
        if open.is_empty() {
            return Decision::Waiting;
        }
        let loads: Vec<EngineLoad> = open.iter().map(|i| self.loads[*i]).collect();
        let engine = open[(self.pick)(&loads, &mut self.rng)];
        let reading = self.profile.prefill_time(ask.prompt_tokens);
        self.loads[engine].requests += 1;
        self.loads[engine].prefill_time += reading;
        self.placed.insert(ask.id.clone(), (engine, reading));
        Decision::Granted(Grant {
            id: ask.id.number,
            upstream: engine_name(engine),
            address: ([10, 0, 0, 0], u16::try_from(engine).unwrap_or(u16::MAX)).into(),
            helpers: Vec::new(),
            expected_first_event: reading,
        })
    }

    fn has_read(&mut self, id: &PlacementRequestId) {
        if let Some((engine, reading)) = self.placed.get_mut(id) {
            let load = &mut self.loads[*engine];
            load.prefill_time = load.prefill_time.saturating_sub(std::mem::take(reading));
        }
    }

    fn ended(&mut self, id: &PlacementRequestId) {
        self.has_read(id);
        if let Some((engine, _)) = self.placed.remove(id) {
            self.loads[engine].requests -= 1;
        }
    }
}

/// Name of an engine.
fn engine_name(i: usize) -> String {
    format!("e{i:03}")
}

/// Index of an engine, of its name.
pub(crate) fn engine_index(name: &str) -> usize {
    name.trim_start_matches('e').parse().unwrap_or(0)
}
