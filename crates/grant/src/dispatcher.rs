//! The exact state of all streams of a region, and who runs next.

use crate::{
    directory::{Directory, DirectoryEntry},
    engine::{Engine, Main, part},
    place::{Candidate, MAX_READERS, Place, choose, is_short, least_time, needs_idle, reserves},
    request::{
        Decision, Grant, GrantId, Helper, PlacementRequest, PlacementRequestId, RefusalReason,
        RequestOutcome, RunningRequest,
    },
    waiting::Waiting,
};
use route::{PoisonDetector, PoisonDetectorConfig, RetryBudget};
use routing::{EngineProfile, Service};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use wire::{DaemonId, ServiceId, Tokens, UpstreamId};

/// Time beyond the wait for a first event after which a grant returns by itself: longer than
/// any stream of the users takes to write.
const GRANT_MARGIN: Duration = Duration::from_secs(15);
/// Time for which a request that crashed upstreams is refused; longer than callers resend.
const QUARANTINE: Duration = Duration::from_secs(600);
/// Crashes that are charged to a request before it is refused: the second one shows that
/// it is no coincidence, the third that no other request was to blame.
const CRASHES: u32 = 3;
/// Part of the allowed repeats that the dispatcher gives out. The rest is for entry
/// daemons that can't reach it.
const BUDGET_SHARE: f64 = 0.8;
/// Part of the saved-up repeats with which a dispatcher starts: its predecessors may have
/// spent theirs within the same window, and three leaders in one window are rare.
const FIRST_BUDGET_SHARE: f64 = 0.3;
/// Time within which an answer shows that an upstream works although it is not heard.
const ANSWER_WINDOW: Duration = Duration::from_secs(3);
/// Part of a long prompt's target within which those before it have to be read, or it is
/// refused at once.
const BACKLOG_SHARE: f64 = 0.25;
/// Part of a request's time within which its answer is expected to end: the rest is for what
/// the expectation omits, as with first events.
const IN_TIME_SHARE: f64 = 0.8;
/// Writers beside which an answer is expected to be written: half of what upstreams take.
const WRITERS_USUAL: usize = 8;
/// Shortest and longest time that a refused caller is told to stay away.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// Bounds of a dispatcher, from the settings of the deployment.
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// Repeats for each first send.
    pub retry_ratio: f64,
    /// Repeats that are allowed beside.
    pub retry_slack: u32,
    /// Time without a word after which an upstream is doubtful.
    pub silence_timeout: Duration,
}

impl Default for DispatcherConfig {
    fn default() -> Self {
        Self { retry_ratio: 0.2, retry_slack: 100, silence_timeout: Duration::from_millis(4_600) }
    }
}

#[derive(Debug)]
struct Pool {
    profile: EngineProfile,
    cold_rate: f64,
    budget: RetryBudget,
}

#[derive(Debug)]
struct Live {
    ask: PlacementRequest,
    grant: Grant,
    granted: Instant,
    expires: Instant,
    has_begun: bool,
}

/// Places requests on engines. See the [crate] for its place among the daemons.
#[derive(Debug)]
pub struct Dispatcher {
    cfg: DispatcherConfig,
    pools: BTreeMap<ServiceId, Pool>,
    /// Engines by name, with the start of the run that the state is of.
    engines: BTreeMap<UpstreamId, (u64, Engine)>,
    live: BTreeMap<GrantId, Live>,
    by_ask: BTreeMap<PlacementRequestId, GrantId>,
    waiting: Waiting,
    poison: PoisonDetector,
    next_grant: GrantId,
}

impl Dispatcher {
    /// A dispatcher that knows of no stream.
    pub fn new(cfg: DispatcherConfig) -> Self {
        let poison = PoisonDetectorConfig {
            crash_threshold: CRASHES,
            quarantine_period: QUARANTINE,
            ..PoisonDetectorConfig::default()
        };
        Self {
            cfg,
            pools: BTreeMap::new(),
            engines: BTreeMap::new(),
            live: BTreeMap::new(),
            by_ask: BTreeMap::new(),
            waiting: Waiting::default(),
            poison: PoisonDetector::new(poison),
            next_grant: 1,
        }
    }

    /// Sets the services. One without engines is not placed here.
    pub fn set_services(&mut self, services: &[Service]) {
        let percent = (self.cfg.retry_ratio * BUDGET_SHARE * 100.0) as u32;
        let slack = (f64::from(self.cfg.retry_slack) * BUDGET_SHARE) as u32;
        let mut former = std::mem::take(&mut self.pools);
        for service in services {
            let Some(profile) = service.engine.clone() else { continue };
            let budget = former.remove(&service.name).map(|pool| pool.budget);
            let budget = budget.unwrap_or_else(|| {
                RetryBudget::new(percent, slack).with_balance_fraction(FIRST_BUDGET_SHARE)
            });
            let pool = Pool { profile, cold_rate: service.cold_requests_per_s, budget };
            self.pools.insert(service.name.clone(), pool);
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests that hold a grant.
    pub fn running(&self) -> usize {
        self.live.len()
    }

    /// Answers a question at once if possible. Asked again, a request keeps its place, and
    /// gets the same grant if the first answer was lost.
    pub fn request_placement(
        &mut self,
        now: Instant,
        directory: &Directory,
        ask: PlacementRequest,
    ) -> Decision {
        if let Some(live) = self.by_ask.get(&ask.id).and_then(|id| self.live.get(id)) {
            return Decision::Granted(live.grant.clone());
        }
        if self.waiting.contains(&ask.id) {
            self.waiting.add(now, ask);
            return Decision::Waiting;
        }
        if let Err(refusal) = self.admit(now, &ask) {
            return self.refuse(&ask, refusal);
        }
        match self.place(now, directory, &ask) {
            Some(grant) => Decision::Granted(grant),
            None => self.wait(now, directory, ask),
        }
    }

    /// Places requests that wait, as far as possible now, and refuses those whose deadline
    /// can no longer be met.
    pub fn poll(
        &mut self,
        now: Instant,
        directory: &Directory,
    ) -> Vec<(PlacementRequestId, Decision)> {
        self.expire(now);
        self.waiting.forget_silent(now);
        let mut decided = Vec::new();
        for ask in self.waiting.in_order(now) {
            let Some(pool) = self.pools.get(&ask.service) else {
                decided.push((ask.id.clone(), self.refuse(&ask, RefusalReason::NoUpstream)));
                continue;
            };
            if least_time(&pool.profile, &ask) > ask.deadline_remaining {
                decided
                    .push((ask.id.clone(), self.refuse(&ask, RefusalReason::DeadlineUnmeetable)));
                continue;
            }
            // One that finds no place does not hold up those behind it, which may need less.
            if let Some(grant) = self.place(now, directory, &ask) {
                decided.push((ask.id.clone(), Decision::Granted(grant)));
            }
        }
        for (id, _) in &decided {
            self.waiting.remove(id);
        }
        decided
    }

    /// The first event of a granted request has come.
    pub fn first_event_received(&mut self, now: Instant, ask: &PlacementRequestId) {
        if let Some(id) = self.by_ask.get(ask) {
            self.has_begun(now, *id);
        }
    }

    fn has_begun(&mut self, now: Instant, id: GrantId) {
        let Some(live) = self.live.get_mut(&id).filter(|live| !live.has_begun) else { return };
        live.has_begun = true;
        let took = now.saturating_duration_since(live.granted);
        let expected = live.grant.expected_first_event;
        let main = live.grant.upstream.clone();
        let helpers: Vec<UpstreamId> =
            live.grant.helpers.iter().map(|h| h.upstream.clone()).collect();
        for upstream in helpers.iter().chain([&main]) {
            if let Some((_, engine)) = self.engines.get_mut(upstream) {
                engine.advance(now);
                engine.has_read(now, id);
            }
        }
        if let Some((_, engine)) = self.engines.get_mut(&main) {
            engine.measured(expected, took);
        }
    }

    /// A granted request has ended.
    pub fn request_ended(&mut self, now: Instant, ask: &PlacementRequestId, end: RequestOutcome) {
        self.waiting.remove(ask);
        let Some(id) = self.by_ask.get(ask).copied() else { return };
        let Some(live) = self.release(now, id) else { return };
        let main = &live.grant.upstream;
        if let Some((_, engine)) = self.engines.get_mut(main) {
            match end {
                RequestOutcome::Completed => engine.succeeded(now),
                end if end.is_failure() => engine.failed(now),
                _ => {}
            }
        }
        match end {
            RequestOutcome::Completed => self.poison.request_finished(live.ask.fingerprint),
            RequestOutcome::Broken => {
                drop(self.poison.upstream_crashed(now, &[live.ask.fingerprint]))
            }
            _ => {}
        }
    }

    /// The grants of a daemon that is gone return.
    pub fn daemon_lost(&mut self, now: Instant, daemon: &DaemonId) {
        let lost: Vec<GrantId> = self
            .live
            .iter()
            .filter(|(_, live)| live.ask.id.daemon == *daemon)
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.release(now, id);
        }
    }

    /// Takes over a request that a former leader granted. One whose service or upstream
    /// is not known here any more needs no place.
    pub fn adopt_running(&mut self, now: Instant, directory: &Directory, running: &RunningRequest) {
        if self.by_ask.contains_key(&running.request.id) {
            return;
        }
        let Some(pool) = self.pools.get(&running.request.service) else { return };
        let Some(entry) = directory.get(&running.upstream) else { return };
        let profile = pool.profile.clone();
        let own = part(&profile, running.request.prompt_tokens, running.helpers.len() + 1);
        let helpers = running.helpers.iter().filter_map(|id| directory.get(id));
        let helpers = helpers.map(|entry| helper(entry, 0));
        let place = (own.read, own.per_pass);
        let grant = Grant {
            id: self.next_grant,
            upstream: running.upstream.clone(),
            address: entry.registration.address,
            helpers: helpers.collect(),
            expected_first_event: own.read,
        };
        self.start(now, directory, &running.request, grant.clone(), place);
        if running.has_first_event {
            self.has_begun(now, grant.id);
        }
    }

    fn admit(&mut self, now: Instant, ask: &PlacementRequest) -> Result<(), RefusalReason> {
        if self.poison.check_quarantine(now, ask.fingerprint).is_err() {
            return Err(RefusalReason::Quarantined);
        }
        let Some(pool) = self.pools.get_mut(&ask.service) else {
            return Err(RefusalReason::NoUpstream);
        };
        if reserves(&pool.profile, ask).len() + 1 > MAX_READERS {
            return Err(RefusalReason::TooLarge);
        }
        if least_time(&pool.profile, ask) > ask.deadline_remaining {
            return Err(RefusalReason::DeadlineUnmeetable);
        }
        match ask.is_retry {
            true => pool.budget.withdraw().map_err(|_| RefusalReason::RetryBudget),
            false => {
                pool.budget.deposit();
                Ok(())
            }
        }
    }

    fn wait(&mut self, now: Instant, directory: &Directory, ask: PlacementRequest) -> Decision {
        if directory.available(&ask.service).next().is_none() {
            return self.refuse(&ask, RefusalReason::NoUpstream);
        }
        if let Some(backlog) = self.backlog(now, directory, &ask)
            && backlog > ask.target_remaining.mul_f64(BACKLOG_SHARE)
        {
            let retry_after = backlog.clamp(RETRY_AFTER.0, RETRY_AFTER.1);
            return Decision::Refused { reason: RefusalReason::DeadlineUnmeetable, retry_after };
        }
        self.waiting.add(now, ask);
        Decision::Waiting
    }

    /// Time until the long prompts that go before this one are read, if it is long too.
    fn backlog(
        &self,
        now: Instant,
        directory: &Directory,
        ask: &PlacementRequest,
    ) -> Option<Duration> {
        let profile = &self.pools.get(&ask.service)?.profile;
        let cost = |ask: &PlacementRequest| match is_short(profile, ask) {
            true => Duration::ZERO,
            false => profile.prefill_time(ask.prompt_tokens),
        };
        if is_short(profile, ask) {
            return None;
        }
        let engines = directory.available(&ask.service).count().max(1);
        let total = self.waiting.before(now, ask, cost) + cost(ask);
        Some(total / u32::try_from(engines).unwrap_or(u32::MAX))
    }

    /// Says when to come back: when what is being read now is read.
    fn refuse(&self, ask: &PlacementRequest, refusal: RefusalReason) -> Decision {
        let engines = self.engines.values().map(|(_, engine)| engine.reading_left());
        let free_in = engines.min().unwrap_or_default();
        let retry_after = free_in
            .clamp(RETRY_AFTER.0, RETRY_AFTER.1.min(ask.deadline_remaining / 3).max(RETRY_AFTER.0));
        Decision::Refused { reason: refusal, retry_after }
    }

    fn place(
        &mut self,
        now: Instant,
        directory: &Directory,
        ask: &PlacementRequest,
    ) -> Option<Grant> {
        self.follow(now, directory, &ask.service);
        let pool = self.pools.get(&ask.service)?;
        let entries = self.eligible(directory, ask);
        let candidates: Vec<Candidate<'_>> =
            entries.iter().map(|entry| self.candidate(now, directory, pool, entry)).collect();
        let is_pressed = self.waiting.any(now, &ask.service, |ask| needs_idle(&pool.profile, ask));
        let place = choose(&pool.profile, ask, &candidates, is_pressed)?;
        drop(candidates);
        let Place { main, helpers, part, expected } = place;
        // The first helpers hold what does not fit into the main's memory.
        let mut reserves = reserves(&pool.profile, ask).into_iter();
        let helpers = helpers.iter().map(|i| helper(entries[*i], reserves.next().unwrap_or(0)));
        let grant = Grant {
            id: self.next_grant,
            upstream: entries[main].registration.id.clone(),
            address: entries[main].registration.address,
            helpers: helpers.collect(),
            expected_first_event: expected,
        };
        self.start(now, directory, ask, grant.clone(), part);
        Some(grant)
    }

    /// Upstreams that take work, without those that were tried, unless all were.
    fn eligible<'a>(
        &self,
        directory: &'a Directory,
        ask: &PlacementRequest,
    ) -> Vec<&'a DirectoryEntry> {
        let open: Vec<&DirectoryEntry> = directory.available(&ask.service).collect();
        let fresh: Vec<&DirectoryEntry> =
            open.iter().copied().filter(|e| !ask.tried.contains(&e.registration.id)).collect();
        if fresh.is_empty() { open } else { fresh }
    }

    fn candidate<'a>(
        &'a self,
        now: Instant,
        directory: &Directory,
        pool: &Pool,
        entry: &DirectoryEntry,
    ) -> Candidate<'a> {
        let id = &entry.registration.id;
        let (_, engine) = &self.engines[id];
        let is_silent = directory.time_since_heard(now, id) > self.cfg.silence_timeout
            && !engine.answered_within(now, ANSWER_WINDOW);
        let is_cold = directory.is_cold(now, id);
        // The bound on cold upstreams holds for all, as the news of a cold start is late.
        let is_full = pool.cold_rate > 0.0 && engine.recent_sends() as f64 >= pool.cold_rate;
        Candidate {
            engine,
            now,
            slots: if is_full { 0 } else { entry.registration.slots as usize },
            is_doubtful: is_silent || is_cold || engine.is_suspect(now),
        }
    }

    /// Keeps the state of the engines in step with the directory.
    fn follow(&mut self, now: Instant, directory: &Directory, service: &str) {
        let Some(pool) = self.pools.get(service) else { return };
        for entry in directory.available(service) {
            let said = &entry.registration;
            let (born, engine) = self
                .engines
                .entry(said.id.clone())
                .or_insert_with(|| (said.started_at_ms, Engine::new(&pool.profile)));
            if *born != said.started_at_ms {
                // A new run knows nothing of what the former one was given.
                (*born, *engine) = (said.started_at_ms, Engine::new(&pool.profile));
            }
            engine.advance(now);
        }
        let is_known = |id: &UpstreamId| directory.get(id).is_some_and(|entry| !entry.is_departed);
        self.engines.retain(|id, _| is_known(id));
    }

    fn start(
        &mut self,
        now: Instant,
        directory: &Directory,
        ask: &PlacementRequest,
        grant: Grant,
        (read, per_pass): (Duration, Duration),
    ) {
        self.follow(now, directory, &ask.service);
        self.next_grant += 1;
        let reserved: Tokens = grant.helpers.iter().map(|helper| helper.reserve_tokens).sum();
        let main = Main {
            slack: self.slack(ask, grant.expected_first_event),
            tokens: ask.prompt_tokens + ask.max_output_tokens - reserved,
            pause_target: ask.pause_target,
            is_read: false,
        };
        if let Some((_, engine)) = self.engines.get_mut(&grant.upstream) {
            engine.add_main(now, grant.id, main);
        }
        let readers = grant.helpers.iter().map(|helper| &helper.upstream).chain([&grant.upstream]);
        for reader in readers {
            if let Some((_, engine)) = self.engines.get_mut(reader) {
                engine.add_reading(now, grant.id, read, per_pass);
            }
        }
        for helper in &grant.helpers {
            if let Some((_, engine)) = self.engines.get_mut(&helper.upstream) {
                engine.hold(grant.id, helper.reserve_tokens);
            }
        }
        self.by_ask.insert(ask.id.clone(), grant.id);
        let expires = now + ask.deadline_remaining + GRANT_MARGIN;
        let live = Live { ask: ask.clone(), granted: now, expires, has_begun: false, grant };
        self.live.insert(live.grant.id, live);
    }

    /// Time that an engine may read for others while it writes an answer.
    fn slack(&self, ask: &PlacementRequest, first: Duration) -> Duration {
        let Some(pool) = self.pools.get(&ask.service) else { return Duration::ZERO };
        let passes = ask.max_output_tokens.div_ceil(u64::from(pool.profile.steps_per_pass.max(1)));
        let pass = pool.profile.decode_time(WRITERS_USUAL, ask.prompt_tokens);
        let writing = pass * u32::try_from(passes).unwrap_or(u32::MAX);
        ask.time_remaining.mul_f64(IN_TIME_SHARE).saturating_sub(first + writing)
    }

    fn release(&mut self, now: Instant, id: GrantId) -> Option<Live> {
        let live = self.live.remove(&id)?;
        self.by_ask.remove(&live.ask.id);
        let readers = live.grant.helpers.iter().map(|helper| &helper.upstream);
        for upstream in readers.chain([&live.grant.upstream]) {
            if let Some((_, engine)) = self.engines.get_mut(upstream) {
                engine.advance(now);
                engine.remove(id);
            }
        }
        Some(live)
    }

    /// Returns grants whose holders should have ended them long ago.
    fn expire(&mut self, now: Instant) {
        let due = self.live.iter().filter(|(_, live)| live.expires <= now);
        let due: Vec<GrantId> = due.map(|(id, _)| *id).collect();
        for id in due {
            self.release(now, id);
        }
    }
}

fn helper(entry: &DirectoryEntry, reserve: Tokens) -> Helper {
    let said = &entry.registration;
    Helper { upstream: said.id.clone(), address: said.address, reserve_tokens: reserve }
}
