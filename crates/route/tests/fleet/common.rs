//! A fleet whose results are all checked against a simple model of it.

use route::{
    Config, DesiredState, Dispatch, FailureCause, Fleet, Job, LoadReport, LostJob, Priority, Ramp,
    RefusedJob, ReportOutcome, TokenUsage, UpstreamInfo, UpstreamKind,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use wire::{RequestId, Tokens, UpstreamId};

/// Memory of each engine, in tokens.
pub(crate) const MEMORY: Tokens = 400_000;
/// Maximum number of concurrent requests on each engine.
pub(crate) const MAX_RUNNING: u32 = 16;
/// Ramp of each engine.
pub(crate) const RAMP: Ramp =
    Ramp { initial_running: 2, initial_tokens: 40_000, duration: Duration::from_secs(60) };

/// Announcement of an engine.
pub(crate) fn engine(id: &str, incarnation: u64, uptime: Duration) -> UpstreamInfo {
    UpstreamInfo {
        id: id.into(),
        incarnation,
        kind: UpstreamKind::Engine,
        models: vec!["plan".into()],
        memory_tokens: MEMORY,
        max_running: MAX_RUNNING,
        prefill_tokens_per_second: 10_000,
        decode_tokens_per_second: 50,
        ramp: RAMP,
        uptime,
        is_draining: false,
        transfers_kv_cache: true,
        honours_priority: false,
    }
}

/// An ordinary request for the model of the engines.
pub(crate) fn job(request: &str, prompt_tokens: Tokens, deadline: Instant) -> Job {
    Job {
        request: request.into(),
        model: "plan".into(),
        priority: Priority::Ordinary,
        prompt_tokens,
        max_output_tokens: 200,
        prefixes: Vec::new(),
        deadline,
        avoid: Vec::new(),
        is_suspect: false,
    }
}

/// State of one upstream in the model.
#[derive(Debug)]
struct ModelUpstream {
    info: UpstreamInfo,
    ramp_started: Instant,
    last_heard: Instant,
    reported: Option<(Instant, LoadReport)>,
    desired_state: DesiredState,
    reservations: BTreeMap<RequestId, Tokens>,
    /// Suspects of crashing upstreams that are in flight here.
    suspects: BTreeSet<RequestId>,
}

/// State of a request in the model.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Waiting,
    InFlight,
    Ended,
}

/// A fleet, the model that it is checked against, and the current time.
pub(crate) struct CheckedFleet {
    pub(crate) now: Instant,
    pub(crate) fleet: Fleet,
    cfg: Config,
    in_service: bool,
    upstreams: BTreeMap<UpstreamId, ModelUpstream>,
    phases: BTreeMap<RequestId, Phase>,
    suspects: BTreeSet<RequestId>,
}

impl CheckedFleet {
    pub(crate) fn new(cfg: Config) -> Self {
        Self {
            now: Instant::now(),
            fleet: Fleet::new(cfg.clone()),
            cfg,
            in_service: true,
            upstreams: BTreeMap::new(),
            phases: BTreeMap::new(),
            suspects: BTreeSet::new(),
        }
    }

    pub(crate) fn advance(&mut self, by: Duration) {
        self.now += by;
    }

    pub(crate) fn announce(&mut self, info: UpstreamInfo) {
        let now = self.now;
        let started = now.checked_sub(info.uptime).unwrap_or(now);
        let upstream = self.upstreams.entry(info.id.clone()).or_insert_with(|| ModelUpstream {
            info: info.clone(),
            ramp_started: started,
            last_heard: now,
            reported: None,
            desired_state: DesiredState::Up,
            reservations: BTreeMap::new(),
            suspects: BTreeSet::new(),
        });
        if info.incarnation > upstream.info.incarnation {
            upstream.ramp_started = started;
            upstream.reported = None;
        }
        if info.incarnation >= upstream.info.incarnation {
            upstream.last_heard = now;
            upstream.info = info.clone();
        }
        let lost = self.fleet.announce(now, info).expect("the upstream limit is not reached");
        self.lose(lost);
    }

    pub(crate) fn report(&mut self, id: &UpstreamId, report: LoadReport) -> ReportOutcome {
        let (outcome, lost) = self.fleet.report(self.now, id, report);
        self.lose(lost);
        let Some(upstream) = self.upstreams.get_mut(id) else { return outcome };
        if report.incarnation < upstream.info.incarnation {
            assert_eq!(outcome, ReportOutcome::Stale);
            return outcome;
        }
        let before = upstream.reported;
        let counters_reset =
            before.is_some_and(|(_, r)| report.counters.has_reset_since(&r.counters));
        let has_gap = before.is_some_and(|(at, _)| self.now - at > self.cfg.max_report_gap);
        if counters_reset || has_gap || report.incarnation > upstream.info.incarnation {
            assert_eq!(outcome, ReportOutcome::RampRestarted);
            upstream.ramp_started = self.now;
        }
        upstream.info.incarnation = report.incarnation;
        upstream.reported = Some((self.now, report));
        upstream.last_heard = self.now;
        outcome
    }

    pub(crate) fn set_desired_state(&mut self, id: &UpstreamId, desired_state: DesiredState) {
        self.fleet.set_desired_state(self.now, id, desired_state);
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.desired_state = desired_state;
        }
    }

    pub(crate) fn set_in_service(&mut self, in_service: bool) {
        self.in_service = in_service;
        self.fleet.set_data_centre_in_service(self.now, in_service);
    }

    pub(crate) fn remove(&mut self, id: &UpstreamId) {
        let lost = self.fleet.remove(self.now, id);
        self.lose(lost);
        if let Some(upstream) = self.upstreams.remove(id) {
            assert!(upstream.reservations.is_empty(), "what ran on a removed upstream is lost");
        }
    }

    /// Submits a job and returns whether it was queued.
    pub(crate) fn submit(&mut self, job: Job) -> bool {
        self.try_submit(job).is_ok()
    }

    /// Submits a job and returns the refusal if it was not queued.
    pub(crate) fn try_submit(&mut self, job: Job) -> route::Result<()> {
        let (request, is_suspect) = (job.request.clone(), job.is_suspect);
        self.fleet.submit(self.now, job)?;
        if is_suspect {
            self.suspects.insert(request.clone());
        }
        let previous = self.phases.insert(request, Phase::Waiting);
        assert!(!matches!(previous, Some(Phase::Waiting | Phase::InFlight)), "queued twice");
        // The job may have displaced another one from a full queue, which is refused now.
        self.refused();
        Ok(())
    }

    /// Dispatches jobs, checks every reservation and returns the dispatches.
    pub(crate) fn dispatch(&mut self) -> Vec<Dispatch> {
        let dispatches = self.fleet.dispatch(self.now);
        dispatches.iter().for_each(|dispatch| self.check_dispatch(dispatch));
        self.check_memory();
        dispatches
    }

    /// Collects refusals of queued jobs; each ends a job that was waiting.
    pub(crate) fn refused(&mut self) -> Vec<RefusedJob> {
        let refused = self.fleet.refuse_expired(self.now);
        for refused in &refused {
            assert!(!refused.refusal.retry_after.is_zero(), "a refusal has a retry delay");
            self.end(&refused.request, Phase::Waiting);
        }
        refused
    }

    pub(crate) fn first_token(&mut self, request: &RequestId) {
        let known = self.fleet.first_token_received(self.now, request, None);
        assert_eq!(known, self.phase(request) == Some(Phase::InFlight));
    }

    pub(crate) fn segment_prefilled(&mut self, request: &RequestId, index: usize) {
        self.fleet.segment_prefilled(self.now, request, index);
    }

    pub(crate) fn finish(&mut self, request: &RequestId, used: TokenUsage) {
        let was_active = self.phase(request) == Some(Phase::InFlight);
        assert_eq!(self.fleet.request_finished(self.now, request, used), was_active);
        if was_active {
            self.end(request, Phase::InFlight);
        }
    }

    pub(crate) fn fail(&mut self, request: &RequestId, failure: FailureCause) {
        let was_active = self.phase(request) == Some(Phase::InFlight);
        assert_eq!(self.fleet.request_failed(self.now, request, failure), was_active);
        if was_active {
            self.end(request, Phase::InFlight);
        }
    }

    pub(crate) fn cancel(&mut self, request: &RequestId) {
        let phase = self.phase(request);
        let was_active = matches!(phase, Some(Phase::Waiting | Phase::InFlight));
        assert_eq!(self.fleet.request_cancelled(self.now, request), was_active);
        if let (true, Some(phase)) = (was_active, phase) {
            self.end(request, phase);
        }
    }

    /// Checks that reserved memory and the numbers of requests equal those of the model.
    pub(crate) fn check_memory(&self) {
        for (id, upstream) in &self.upstreams {
            let reserved: Tokens = upstream.reservations.values().sum();
            assert_eq!(self.fleet.reserved_tokens(id), Some(reserved), "memory reserved on {id}");
        }
        let count = |phase| self.phases.values().filter(|p| **p == phase).count();
        assert_eq!(self.fleet.queued_count(), count(Phase::Waiting));
        assert_eq!(self.fleet.in_flight_count(), count(Phase::InFlight));
    }

    /// Cancels all remaining requests and checks that all memory is released.
    pub(crate) fn drain(&mut self) {
        let requests: Vec<RequestId> = self.phases.keys().cloned().collect();
        requests.iter().for_each(|request| self.cancel(request));
        self.check_memory();
        let ids: Vec<UpstreamId> = self.upstreams.keys().cloned().collect();
        assert!(ids.iter().all(|id| self.fleet.reserved_tokens(id) == Some(0)));
        assert_eq!(self.fleet.queued_count() + self.fleet.in_flight_count(), 0);
    }

    fn phase(&self, request: &RequestId) -> Option<Phase> {
        self.phases.get(request).copied()
    }

    fn end(&mut self, request: &RequestId, from: Phase) {
        assert_eq!(self.phase(request), Some(from), "{request} ends once");
        self.phases.insert(request.clone(), Phase::Ended);
        for upstream in self.upstreams.values_mut() {
            upstream.reservations.remove(request);
            upstream.suspects.remove(request);
        }
    }

    fn lose(&mut self, lost: Vec<LostJob>) {
        lost.iter().for_each(|lost| self.end(&lost.request, Phase::InFlight));
    }

    fn check_dispatch(&mut self, dispatch: &Dispatch) {
        let request = &dispatch.request;
        assert_eq!(self.phase(request), Some(Phase::Waiting), "{request} is dispatched once");
        self.phases.insert(request.clone(), Phase::InFlight);
        assert!(self.in_service, "no work to a data centre out of service");
        let reservations = dispatch.placement.reservations();
        assert!(
            reservations.windows(2).all(|w| w[0].upstream < w[1].upstream),
            "gangs reserve in the order of ids"
        );
        for reservation in reservations {
            let upstream =
                self.upstreams.get_mut(&reservation.upstream).expect("only known upstreams");
            assert_eq!(reservation.incarnation, upstream.info.incarnation);
            assert_eq!(upstream.desired_state, DesiredState::Up);
            assert!(!upstream.info.is_draining);
            assert!(
                self.now - upstream.last_heard < self.cfg.silence_timeout,
                "no work to a silent upstream"
            );
            upstream.reservations.insert(request.clone(), reservation.tokens);
            let age = self.now - upstream.ramp_started;
            let reserved: Tokens = upstream.reservations.values().sum();
            assert!(reserved <= RAMP.tokens_after(age, MEMORY), "tokens within the ramp");
            let running = upstream.reservations.len() as u32;
            assert!(running <= RAMP.running_after(age, MAX_RUNNING), "requests within the ramp");
            if self.suspects.contains(request) {
                upstream.suspects.insert(request.clone());
                assert!(upstream.suspects.len() <= 1, "one suspect per upstream");
            }
        }
    }
}
