//! Runs a trace against daemons, stand-in engines and a stand-in service in this process.

use super::{
    call::{Call, CallOutcome, CallResult},
    trace::{Action, EngineSpec, Event, Organisation, Trace},
};
use crate::{cli::Result, fleet::Fleet};
use eyre::eyre;
use fake::{Announcer, Engine, EngineConfig, PlainService, PlainServiceConfig};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use toucansilld::local::{self, API_KEY, LocalConfig};

/// Name of the plain service.
const SERVICE: &str = "yard";
/// Time from the acceptance of a sheet that takes a data centre out of service until no new request
/// may be sent to this data centre.
const OUT_OF_SERVICE_GRACE: Duration = Duration::from_secs(3);
/// Longest wait until each daemon reaches the service.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Results of a run, which are compared with the expected outcomes of the trace.
pub(crate) struct RunRecord {
    pub(crate) results: Vec<CallResult>,
    /// Number of executions of each booking, by its idempotency key.
    pub(crate) executions: BTreeMap<String, u64>,
    /// Number of requests that upstreams received while their data centre had been out of service
    /// for more than 3 s.
    pub(crate) sent_to_out: u64,
    pub(crate) elapsed: Duration,
}

/// The deployment of a trace, running in this process.
struct RunningDeployment {
    cfg: LocalConfig,
    fleet: Fleet,
    engines: Vec<(EngineSpec, Arc<Engine>)>,
    service: Arc<PlainService>,
    _announcers: Vec<Announcer>,
}

/// Something other than a call that happens at a time of the trace. Steps run in a thread of their
/// own, concurrently with calls of the same time.
enum Step {
    /// An event of the trace.
    Event(Event),
    /// Applies a sheet with these organisations.
    MorningSheet(Vec<Organisation>),
    /// Starts to count requests sent to a data centre, unless it is back in service.
    StartCounting(String),
}

/// State of a replay after the steps so far.
struct ReplayState {
    sheet_number: u64,
    organisations: Vec<Organisation>,
    /// Data centres out of service, with the time at which the sheet was accepted.
    out_of_service: BTreeMap<String, Instant>,
    /// Requests that a data centre had received when counting started, by data centre.
    baselines: BTreeMap<String, u64>,
    /// Requests counted so far, of data centres whose counting has stopped.
    sent_to_out: u64,
}

/// Runs a trace to its end.
///
/// # Errors
///
/// If the deployment does not start, a step fails or a caller's thread panics.
pub(crate) fn run(trace: &Trace) -> Result<RunRecord> {
    let running = RunningDeployment::start(trace)?;
    let calls = calls(trace);
    let addresses = running.fleet.callers_addresses();
    let started = Instant::now();
    let (state, mut results) = thread::scope(|scope| {
        let steps = scope.spawn(|| running.run_steps(trace, started));
        let callers: Vec<_> = calls
            .iter()
            .zip(addresses.iter().cycle())
            .map(|(call, address)| {
                sleep_until(started + call.at);
                scope.spawn(move || call.run(*address, &api_key(&call.series.organisation)))
            })
            .collect();
        let results: Vec<CallResult> =
            callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
        (steps.join(), results)
    });
    let state = state.map_err(|_| eyre!("the thread that runs the events panicked"))??;
    let sent_to_out = running.finish_counting(state);
    if results.len() != calls.len() {
        return Err(eyre!("the threads of {} callers panicked", calls.len() - results.len()));
    }
    running.mark_lost_bookings(&calls, &mut results);
    let executions = calls
        .iter()
        .filter_map(Call::key)
        .map(|key| (key.clone(), running.service.executions(&key)))
        .collect();
    Ok(RunRecord { results, executions, sent_to_out, elapsed: started.elapsed() })
}

impl RunningDeployment {
    /// Starts the deployment and waits until each daemon reaches an engine and the service.
    fn start(trace: &Trace) -> Result<Self> {
        let deployment = &trace.deployment;
        let cfg = LocalConfig {
            daemons: deployment.daemons,
            data_centres: deployment.data_centres,
            fresh_voters: 0,
        };
        let mut fleet = Fleet::start(&cfg)?;
        fleet.apply(&sheet(&cfg, 1, &deployment.organisations, &[]))?;
        let engines: Result<Vec<(EngineSpec, Arc<Engine>)>> = deployment
            .engines
            .iter()
            .map(|spec| Ok((spec.clone(), fleet.add_engine(engine(spec))?)))
            .collect();
        let service = Arc::new(PlainService::start(PlainServiceConfig {
            data_centre: deployment.service.data_centre.clone(),
            service: String::from(SERVICE),
            delay: Duration::from_millis(deployment.service.delay_ms),
            ..PlainServiceConfig::default()
        })?);
        let source = Arc::clone(&service);
        let daemon = fleet.callers_addresses()[0].to_string();
        let announcers = vec![Announcer::start(daemon, move || Some(source.announcement()))];
        fleet.await_model(super::MODEL)?;
        fleet.callers_addresses().into_iter().try_for_each(await_service)?;
        Ok(Self { cfg, fleet, engines: engines?, service, _announcers: announcers })
    }

    /// Runs the steps, each at its time.
    fn run_steps(&self, trace: &Trace, started: Instant) -> Result<ReplayState> {
        let mut state = ReplayState {
            sheet_number: 1,
            organisations: trace.deployment.organisations.clone(),
            out_of_service: BTreeMap::new(),
            baselines: BTreeMap::new(),
            sent_to_out: 0,
        };
        for (at, step) in steps(trace) {
            sleep_until(started + at);
            self.run_step(step, &mut state)?;
        }
        Ok(state)
    }

    /// Number of requests sent to data centres out of service. Called once all requests have ended.
    fn finish_counting(&self, mut state: ReplayState) -> u64 {
        let counted: Vec<String> = state.baselines.keys().cloned().collect();
        counted.iter().for_each(|name| self.stop_counting(name, &mut state));
        state.sent_to_out
    }

    /// Marks bookings as lost that were answered but not executed.
    fn mark_lost_bookings(&self, calls: &[Call], results: &mut [CallResult]) {
        for (call, result) in calls.iter().zip(results) {
            let is_executed = call.key().is_none_or(|key| self.service.executions(&key) > 0);
            if result.outcome == CallOutcome::Answered && !is_executed {
                result.outcome = CallOutcome::Lost;
                result.reason = String::from("a booking was answered but not executed");
            }
        }
    }

    /// Runs one step. Counting starts 3 s after the sheet was accepted, which can be later than the
    /// time of the step.
    fn run_step(&self, step: Step, state: &mut ReplayState) -> Result<()> {
        match step {
            Step::MorningSheet(organisations) => {
                state.organisations = organisations;
                self.apply(state)
            }
            Step::StartCounting(name) => {
                if let Some(since) = state.out_of_service.get(&name) {
                    sleep_until(*since + OUT_OF_SERVICE_GRACE);
                    let received = self.received(&name);
                    state.baselines.insert(name, received);
                }
                Ok(())
            }
            Step::Event(event) => self.run_event(event, state),
        }
    }

    fn run_event(&self, event: Event, state: &mut ReplayState) -> Result<()> {
        match event.action {
            Action::DataCentreOut => {
                state.out_of_service.insert(event.target.clone(), Instant::now());
                self.apply(state)?;
                state.out_of_service.insert(event.target, Instant::now());
                Ok(())
            }
            Action::DataCentreIn => {
                self.stop_counting(&event.target, state);
                state.out_of_service.remove(&event.target);
                self.apply(state)
            }
            Action::EngineKilled => {
                self.engine(&event.target)?.kill();
                Ok(())
            }
            Action::EngineRestarted => Ok(self.engine(&event.target)?.restart()?),
        }
    }

    /// Applies a sheet with the current organisations and data centres.
    fn apply(&self, state: &mut ReplayState) -> Result<()> {
        state.sheet_number += 1;
        let out: Vec<&str> = state.out_of_service.keys().map(String::as_str).collect();
        self.fleet.apply(&sheet(&self.cfg, state.sheet_number, &state.organisations, &out))
    }

    /// Adds what a data centre received since counting started, if it is counted.
    fn stop_counting(&self, name: &str, state: &mut ReplayState) {
        if let Some(before) = state.baselines.remove(name) {
            state.sent_to_out += self.received(name).saturating_sub(before);
        }
    }

    fn engine(&self, id: &str) -> Result<&Engine> {
        let found = self.engines.iter().find(|(spec, _)| spec.id == id);
        found
            .map(|(_, engine)| engine.as_ref())
            .ok_or_else(|| eyre!("no engine '{id}' in the deployment"))
    }

    /// Number of requests that the upstreams of a data centre have received so far.
    fn received(&self, data_centre: &str) -> u64 {
        let engines = self
            .engines
            .iter()
            .filter(|(spec, _)| spec.data_centre == data_centre)
            .map(|(_, engine)| engine.stats().admitted);
        let is_service_there = self.service.announcement().data_centre == data_centre;
        engines.sum::<u64>() + if is_service_there { self.service.received() } else { 0 }
    }
}

/// Configuration of a stand-in engine that runs in real time.
fn engine(spec: &EngineSpec) -> EngineConfig {
    EngineConfig {
        id: spec.id.clone(),
        data_centre: spec.data_centre.clone(),
        models: vec![String::from(super::MODEL)],
        prefill_tokens_per_s: spec.prefill_tokens_per_s,
        decode_tokens_per_s: spec.decode_tokens_per_s,
        memory_tokens: spec.memory_tokens,
        time_scale: 1.0,
        ..EngineConfig::default()
    }
}

/// API key of an organisation in a replay.
fn api_key(organisation: &str) -> String {
    format!("replay-key-of-{organisation}")
}

/// Sheet with the given organisations, and with the data centres in `out` out of service.
fn sheet(cfg: &LocalConfig, number: u64, organisations: &[Organisation], out: &[&str]) -> String {
    let mut csv = local::sheet(cfg, number, &[super::MODEL], out);
    for organisation in organisations {
        let Organisation { name, priority, weight, tokens_per_second } = organisation;
        let hash = edge::hash_key(&api_key(name));
        let key: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
        let priority = priority.as_str();
        csv +=
            &format!("organisation,{name},,,{priority},{weight},{tokens_per_second},{key},,,,,\n");
    }
    csv
}

/// All requests of a trace in order of their start.
fn calls(trace: &Trace) -> Vec<Call> {
    let mut calls: Vec<Call> = trace
        .load
        .iter()
        .enumerate()
        .flat_map(|(series_number, series)| {
            (0..series.count).map(move |number| Call {
                at: Duration::from_millis(series.at_ms + number * series.every_ms),
                series: series.clone(),
                number,
                series_number,
            })
        })
        .collect();
    calls.sort_by_key(|call| call.at);
    calls
}

/// Events, sheets and counting in order of time.
fn steps(trace: &Trace) -> Vec<(Duration, Step)> {
    let mut steps = Vec::new();
    for event in &trace.events {
        let at = Duration::from_millis(event.at_ms);
        if event.action == Action::DataCentreOut {
            steps.push((at + OUT_OF_SERVICE_GRACE, Step::StartCounting(event.target.clone())));
        }
        steps.push((at, Step::Event(event.clone())));
    }
    if let Some(sheet) = &trace.morning_sheet {
        let at = Duration::from_millis(sheet.at_ms);
        steps.push((at, Step::MorningSheet(sheet.organisations.clone())));
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Waits until calls through the daemon at `address` reach the service.
fn await_service(address: SocketAddr) -> Result<()> {
    let until = Instant::now() + START_TIMEOUT;
    while Instant::now() < until {
        let res = minreq::get(format!("http://{address}/{SERVICE}/status"))
            .with_header("Authorization", format!("Bearer {API_KEY}"))
            .with_timeout(5)
            .send();
        if res.is_ok_and(|res| res.status_code == 200) {
            return Ok(());
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err(eyre!("daemon at {address} did not reach the service within {START_TIMEOUT:?}"))
}
