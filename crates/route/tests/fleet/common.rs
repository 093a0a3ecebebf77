//! A fleet beside a plain model of it that checks every answer.

use route::{
    Config, DesiredState, Dispatch, FailureCause, Fleet, Job, LoadReport, LostJob, Priority, Ramp,
    RefusedJob, ReportOutcome, TokenUsage, UpstreamInfo, UpstreamKind,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use wire::{RequestId, Tokens, UpstreamId};

/// Memory of every engine, in tokens.
pub(crate) const MEMORY: Tokens = 400_000;
/// Most requests at once on every engine.
pub(crate) const MAX_RUNNING: u32 = 16;
/// Ramp of every engine.
pub(crate) const RAMP: Ramp =
    Ramp { initial_running: 2, initial_tokens: 40_000, duration: Duration::from_secs(60) };

/// An engine's announcement.
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
        is_leaving: false,
        transfers_kv_cache: true,
        honours_priority: false,
    }
}

/// An ordinary request for the engines' model.
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

/// What the model knows of one upstream.
#[derive(Debug)]
struct Shadow {
    ann: UpstreamInfo,
    ramp_started: Instant,
    heard: Instant,
    reported: Option<(Instant, LoadReport)>,
    desired_state: DesiredState,
    reservations: BTreeMap<RequestId, Tokens>,
    suspects: BTreeSet<RequestId>,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Waiting,
    InFlight,
    Ended,
}

/// A fleet, its model and the time.
pub(crate) struct Checked {
    pub(crate) now: Instant,
    pub(crate) fleet: Fleet,
    cfg: Config,
    in_service: bool,
    upstreams: BTreeMap<UpstreamId, Shadow>,
    phases: BTreeMap<RequestId, Phase>,
    suspects: BTreeSet<RequestId>,
}

impl Checked {
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

    pub(crate) fn announce(&mut self, ann: UpstreamInfo) {
        let now = self.now;
        let started = now.checked_sub(ann.uptime).unwrap_or(now);
        let shadow = self.upstreams.entry(ann.id.clone()).or_insert_with(|| Shadow {
            ann: ann.clone(),
            ramp_started: started,
            heard: now,
            reported: None,
            desired_state: DesiredState::Up,
            reservations: BTreeMap::new(),
            suspects: BTreeSet::new(),
        });
        if ann.incarnation > shadow.ann.incarnation {
            shadow.ramp_started = started;
            shadow.reported = None;
        }
        if ann.incarnation >= shadow.ann.incarnation {
            shadow.heard = now;
            shadow.ann = ann.clone();
        }
        let lost = self.fleet.announce(now, ann).expect("the table has room");
        self.lose(lost);
    }

    pub(crate) fn report(&mut self, id: &UpstreamId, report: LoadReport) -> ReportOutcome {
        let (outcome, lost) = self.fleet.report(self.now, id, report);
        self.lose(lost);
        let Some(shadow) = self.upstreams.get_mut(id) else { return outcome };
        if report.incarnation < shadow.ann.incarnation {
            assert_eq!(outcome, ReportOutcome::Stale);
            return outcome;
        }
        let before = shadow.reported;
        let fell = before.is_some_and(|(_, r)| report.counters.has_reset_since(&r.counters));
        let has_gap = before.is_some_and(|(at, _)| self.now - at > self.cfg.max_report_gap);
        if fell || has_gap || report.incarnation > shadow.ann.incarnation {
            assert_eq!(outcome, ReportOutcome::RampRestarted);
            shadow.ramp_started = self.now;
        }
        shadow.ann.incarnation = report.incarnation;
        shadow.reported = Some((self.now, report));
        shadow.heard = self.now;
        outcome
    }

    pub(crate) fn direct(&mut self, id: &UpstreamId, desired_state: DesiredState) {
        self.fleet.set_desired_state(self.now, id, desired_state);
        if let Some(shadow) = self.upstreams.get_mut(id) {
            shadow.desired_state = desired_state;
        }
    }

    pub(crate) fn set_in_service(&mut self, in_service: bool) {
        self.in_service = in_service;
        self.fleet.set_data_centre_in_service(self.now, in_service);
    }

    pub(crate) fn remove(&mut self, id: &UpstreamId) {
        let lost = self.fleet.remove(self.now, id);
        self.lose(lost);
        if let Some(shadow) = self.upstreams.remove(id) {
            assert!(shadow.reservations.is_empty(), "what ran on a removed upstream is lost");
        }
    }

    /// Submits a job and returns whether it was taken.
    pub(crate) fn submit(&mut self, job: Job) -> bool {
        self.try_submit(job).is_ok()
    }

    /// Submits a job.
    pub(crate) fn try_submit(&mut self, job: Job) -> route::Result<()> {
        let (request, is_suspect) = (job.request.clone(), job.is_suspect);
        self.fleet.submit(self.now, job)?;
        if is_suspect {
            self.suspects.insert(request.clone());
        }
        let before = self.phases.insert(request, Phase::Waiting);
        assert!(!matches!(before, Some(Phase::Waiting | Phase::InFlight)), "taken twice");
        // The newcomer may have taken the place of another, which is told now.
        self.refused();
        Ok(())
    }

    /// Dispatches, checks every grant and returns the dispatches.
    pub(crate) fn dispatch(&mut self) -> Vec<Dispatch> {
        let dispatches = self.fleet.dispatch(self.now);
        dispatches.iter().for_each(|dispatch| self.check_dispatch(dispatch));
        self.check_memory();
        dispatches
    }

    /// Collects final refusals; each ends a request that waited.
    pub(crate) fn refused(&mut self) -> Vec<RefusedJob> {
        let refused = self.fleet.refuse_expired(self.now);
        for refused in &refused {
            assert!(!refused.refusal.retry_after.is_zero(), "a refusal says when to come back");
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
        let was = self.phase(request) == Some(Phase::InFlight);
        assert_eq!(self.fleet.request_finished(self.now, request, used), was);
        if was {
            self.end(request, Phase::InFlight);
        }
    }

    pub(crate) fn fail(&mut self, request: &RequestId, failure: FailureCause) {
        let was = self.phase(request) == Some(Phase::InFlight);
        assert_eq!(self.fleet.request_failed(self.now, request, failure), was);
        if was {
            self.end(request, Phase::InFlight);
        }
    }

    pub(crate) fn cancel(&mut self, request: &RequestId) {
        let phase = self.phase(request);
        let was = matches!(phase, Some(Phase::Waiting | Phase::InFlight));
        assert_eq!(self.fleet.request_cancelled(self.now, request), was);
        if let (true, Some(phase)) = (was, phase) {
            self.end(request, phase);
        }
    }

    /// Checks that the fleet's memory is that of the model.
    pub(crate) fn check_memory(&self) {
        for (id, shadow) in &self.upstreams {
            let granted: Tokens = shadow.reservations.values().sum();
            assert_eq!(self.fleet.reserved_tokens(id), Some(granted), "memory promised on {id}");
        }
        let count = |phase| self.phases.values().filter(|p| **p == phase).count();
        assert_eq!(self.fleet.waiting_count(), count(Phase::Waiting));
        assert_eq!(self.fleet.in_flight_count(), count(Phase::InFlight));
    }

    /// Cancels all that is left and checks that all memory is back.
    pub(crate) fn drain(&mut self) {
        let open: Vec<RequestId> = self.phases.keys().cloned().collect();
        open.iter().for_each(|request| self.cancel(request));
        self.check_memory();
        let ids: Vec<UpstreamId> = self.upstreams.keys().cloned().collect();
        assert!(ids.iter().all(|id| self.fleet.reserved_tokens(id) == Some(0)));
        assert_eq!(self.fleet.waiting_count() + self.fleet.in_flight_count(), 0);
    }

    fn phase(&self, request: &RequestId) -> Option<Phase> {
        self.phases.get(request).copied()
    }

    fn end(&mut self, request: &RequestId, from: Phase) {
        assert_eq!(self.phase(request), Some(from), "{request} ends once");
        self.phases.insert(request.clone(), Phase::Ended);
        for shadow in self.upstreams.values_mut() {
            shadow.reservations.remove(request);
            shadow.suspects.remove(request);
        }
    }

    fn lose(&mut self, lost: Vec<LostJob>) {
        lost.iter().for_each(|lost| self.end(&lost.request, Phase::InFlight));
    }

    fn check_dispatch(&mut self, dispatch: &Dispatch) {
        let request = &dispatch.request;
        assert_eq!(self.phase(request), Some(Phase::Waiting), "{request} is sent once");
        self.phases.insert(request.clone(), Phase::InFlight);
        assert!(self.in_service, "no work to a data centre out of service");
        let reservations = dispatch.placement.reservations();
        assert!(reservations.windows(2).all(|w| w[0].upstream < w[1].upstream), "one global order");
        for grant in reservations {
            let shadow = self.upstreams.get_mut(&grant.upstream).expect("only known upstreams");
            assert_eq!(grant.incarnation, shadow.ann.incarnation);
            assert_eq!(shadow.desired_state, DesiredState::Up);
            assert!(!shadow.ann.is_leaving);
            assert!(self.now - shadow.heard < self.cfg.silence_timeout, "no work to the silent");
            shadow.reservations.insert(request.clone(), grant.tokens);
            let age = self.now - shadow.ramp_started;
            let granted: Tokens = shadow.reservations.values().sum();
            assert!(granted <= RAMP.tokens_after(age, MEMORY), "tokens within the ramp");
            let running = shadow.reservations.len() as u32;
            assert!(running <= RAMP.running_after(age, MAX_RUNNING), "requests within the ramp");
            if self.suspects.contains(request) {
                shadow.suspects.insert(request.clone());
                assert!(shadow.suspects.len() <= 1, "suspects are kept apart");
            }
        }
    }
}
