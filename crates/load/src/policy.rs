//! Placement policies: the dispatcher of `grant`, and simple ones to compare it with.

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

/// What a simple policy knows about the load of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineLoad {
    /// Number of requests that it runs.
    pub requests: usize,
    /// Total prefill time of its requests whose first event has not arrived.
    pub prefill_time: Duration,
}

/// Picks one of the engines that have a free slot and returns its index in the slice.
pub type PickFn = fn(&[EngineLoad], &mut Rng) -> usize;

/// Decides on which engine a request runs.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Name, as on the command line and in results.
    pub name: &'static str,
    /// How a simple policy picks an engine. `None` is the dispatcher, which also splits prompts
    /// between engines, keeps requests waiting and refuses them.
    pub pick: Option<PickFn>,
}

/// All policies; the dispatcher is the first.
pub fn policies() -> Vec<Policy> {
    let random: PickFn = |loads, rng| rng.usize(..loads.len());
    let fewest: PickFn = |loads, _| least(loads, |load| load.requests);
    let least_prefill: PickFn = |loads, _| least(loads, |load| load.prefill_time);
    let two_choices: PickFn = |loads, rng| {
        let (a, b) = (rng.usize(..loads.len()), rng.usize(..loads.len()));
        if loads[a].prefill_time <= loads[b].prefill_time { a } else { b }
    };
    vec![
        Policy { name: "dispatcher", pick: None },
        Policy { name: "least-reading", pick: Some(least_prefill) },
        Policy { name: "fewest-requests", pick: Some(fewest) },
        Policy { name: "two-choices", pick: Some(two_choices) },
        Policy { name: "random", pick: Some(random) },
    ]
}

/// Index of the engine with the smallest key; the first one of several.
fn least<T: Ord>(loads: &[EngineLoad], key: impl Fn(&EngineLoad) -> T) -> usize {
    (0..loads.len()).min_by_key(|i| key(&loads[*i])).unwrap_or(0)
}

/// State of a policy during a run.
pub(crate) enum PolicyState {
    Dispatcher(Box<Dispatcher>, Directory),
    Simple(SimplePlacer),
}

/// State of a simple policy: places each request at once, or as soon as an engine has a free slot.
pub(crate) struct SimplePlacer {
    pick: PickFn,
    rng: Rng,
    profile: EngineProfile,
    loads: Vec<EngineLoad>,
    /// Engine of each running request, and its prefill time; zero after the first event.
    running: BTreeMap<PlacementRequestId, (usize, Duration)>,
}

/// Name of the only service.
const SERVICE: &str = "s";

impl PolicyState {
    pub(crate) fn new(policy: &Policy, engines: usize, start: Instant, seed: u64) -> Self {
        let profile = EngineProfile::example();
        if let Some(pick) = policy.pick {
            return Self::Simple(SimplePlacer {
                pick,
                rng: Rng::with_seed(seed),
                profile,
                loads: vec![EngineLoad::default(); engines],
                running: BTreeMap::new(),
            });
        }
        let mut directory = Directory::new();
        for i in 0..engines {
            let address = ([10, 0, 0, 0], u16::try_from(i).unwrap_or(u16::MAX)).into();
            directory.register(start, Registration::new(&engine_name(i), SERVICE, address));
        }
        let mut service = Service::new(SERVICE);
        service.engine = Some(profile);
        // Registrations are not renewed here, so engines must not time out.
        let cfg =
            DispatcherConfig { silence_timeout: Duration::MAX, ..DispatcherConfig::default() };
        let mut dispatcher = Dispatcher::new(cfg);
        dispatcher.set_services(&[service]);
        Self::Dispatcher(Box::new(dispatcher), directory)
    }

    /// Requests a placement. A waiting request is decided by a later call for it or by `poll`.
    pub(crate) fn request_placement(&mut self, now: Instant, req: &PlacementRequest) -> Decision {
        match self {
            Self::Dispatcher(dispatcher, directory) => {
                dispatcher.request_placement(now, directory, req.clone())
            }
            Self::Simple(placer) => placer.place(req),
        }
    }

    /// Decisions on waiting requests; a simple policy decides only in `request_placement`.
    pub(crate) fn poll(&mut self, now: Instant) -> Vec<(PlacementRequestId, Decision)> {
        match self {
            Self::Dispatcher(dispatcher, directory) => dispatcher.poll(now, directory),
            Self::Simple(_) => Vec::new(),
        }
    }

    pub(crate) fn first_event_received(&mut self, now: Instant, id: &PlacementRequestId) {
        match self {
            Self::Dispatcher(dispatcher, _) => dispatcher.first_event_received(now, id),
            Self::Simple(placer) => placer.prefill_done(id),
        }
    }

    pub(crate) fn request_ended(&mut self, now: Instant, id: &PlacementRequestId) {
        match self {
            Self::Dispatcher(dispatcher, _) => {
                dispatcher.request_ended(now, id, RequestOutcome::Completed)
            }
            Self::Simple(placer) => placer.request_ended(id),
        }
    }
}

impl SimplePlacer {
    fn place(&mut self, req: &PlacementRequest) -> Decision {
        if req.prompt_tokens + req.max_output_tokens > self.profile.memory_tokens {
            return Decision::Refused {
                reason: RefusalReason::TooLarge,
                retry_after: Duration::ZERO,
            };
        }
        let slots = self.profile.slots as usize;
        let free: Vec<usize> =
            (0..self.loads.len()).filter(|i| self.loads[*i].requests < slots).collect();
        if free.is_empty() {
            return Decision::Waiting;
        }
        let loads: Vec<EngineLoad> = free.iter().map(|i| self.loads[*i]).collect();
        let engine = free[(self.pick)(&loads, &mut self.rng)];
        let prefill_time = self.profile.prefill_time(req.prompt_tokens);
        self.loads[engine].requests += 1;
        self.loads[engine].prefill_time += prefill_time;
        self.running.insert(req.id.clone(), (engine, prefill_time));
        Decision::Granted(Grant {
            id: req.id.number,
            upstream: engine_name(engine),
            address: ([10, 0, 0, 0], u16::try_from(engine).unwrap_or(u16::MAX)).into(),
            helpers: Vec::new(),
            expected_first_event: prefill_time,
        })
    }

    /// Subtracts the request's prefill time from its engine's load, once.
    fn prefill_done(&mut self, id: &PlacementRequestId) {
        if let Some((engine, prefill_time)) = self.running.get_mut(id) {
            let load = &mut self.loads[*engine];
            load.prefill_time = load.prefill_time.saturating_sub(std::mem::take(prefill_time));
        }
    }

    fn request_ended(&mut self, id: &PlacementRequestId) {
        self.prefill_done(id);
        if let Some((engine, _)) = self.running.remove(id) {
            self.loads[engine].requests -= 1;
        }
    }
}

/// Name of the engine with this index.
fn engine_name(i: usize) -> String {
    format!("e{i:03}")
}

/// Index of the engine with this name.
pub(crate) fn engine_index(name: &str) -> usize {
    name.trim_start_matches('e').parse().unwrap_or(0)
}
