//! Runs a trace against daemons and stand-ins in this process.

use super::{
    call::{Call, End, Seen},
    trace::{Action, EngineSpec, Event, Organisation, Trace},
};
use crate::{cli::Result, fleet::Fleet};
use eyre::eyre;
use fake::{Announcer, Engine, EngineConfig, Plain, PlainConfig};
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
/// Time after which nothing new may go to a data centre that is out.
const OUT_AFTER: Duration = Duration::from_secs(3);
/// Longest wait until the service is reached.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Everything that was seen in a run.
pub(crate) struct Record {
    pub(crate) seen: Vec<Seen>,
    /// Executions of each booking, by its key.
    pub(crate) executions: BTreeMap<String, u64>,
    /// Requests that upstreams in a data centre got later than 3 s after it was out.
    pub(crate) sent_to_out: u64,
    pub(crate) elapsed: Duration,
}

/// What runs for the trace.
struct Site {
    cfg: LocalConfig,
    fleet: Fleet,
    engines: Vec<(EngineSpec, Arc<Engine>)>,
    plain: Arc<Plain>,
    _announcers: Vec<Announcer>,
}

/// What happens at a time of the trace. Changes come before calls of the same time.
enum Step {
    Change(Event),
    Morning(Vec<Organisation>),
    /// From now on the data centre must get nothing new, unless it is in again.
    Watch(String),
}

/// What the steps have led to.
struct Progress {
    number: u64,
    organisations: Vec<Organisation>,
    /// Data centres that are out, with the time at which the sheet was accepted.
    out: BTreeMap<String, Instant>,
    /// Requests that a watched data centre had got when the watch began.
    watched: BTreeMap<String, u64>,
    sent_to_out: u64,
}

/// Runs the trace to its end.
pub(crate) fn run(trace: &Trace) -> Result<Record> {
    let site = Site::start(trace)?;
    let calls = calls(trace);
    let addresses = site.fleet.callers();
    let started = Instant::now();
    let (progress, mut seen) = thread::scope(|scope| {
        let steps = scope.spawn(|| site.follow(trace, started));
        let callers: Vec<_> = calls
            .iter()
            .zip(addresses.iter().cycle())
            .map(|(call, address)| {
                sleep_until(started + call.at);
                scope.spawn(move || call.run(*address, &api_key(&call.phase.organisation)))
            })
            .collect();
        let seen: Vec<Seen> = callers.into_iter().filter_map(|caller| caller.join().ok()).collect();
        (steps.join(), seen)
    });
    let progress = progress.map_err(|_| eyre!("the events ended early"))??;
    let sent_to_out = site.sent_to_out(progress);
    if seen.len() != calls.len() {
        return Err(eyre!("{} callers ended early", calls.len() - seen.len()));
    }
    site.find_lost_bookings(&calls, &mut seen);
    let executions = calls
        .iter()
        .filter_map(Call::key)
        .map(|key| (key.clone(), site.plain.executions(&key)))
        .collect();
    Ok(Record { seen, executions, sent_to_out, elapsed: started.elapsed() })
}

impl Site {
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
        let plain = Arc::new(Plain::start(PlainConfig {
            data_centre: deployment.service.data_centre.clone(),
            service: String::from(SERVICE),
            delay: Duration::from_millis(deployment.service.delay_ms),
            ..PlainConfig::default()
        })?);
        let source = Arc::clone(&plain);
        let daemon = fleet.callers()[0].to_string();
        let announcers = vec![Announcer::start(daemon, move || Some(source.announcement()))];
        fleet.await_model(super::MODEL)?;
        fleet.callers().into_iter().try_for_each(await_service)?;
        Ok(Self { cfg, fleet, engines: engines?, plain, _announcers: announcers })
    }

    /// Takes the steps in order of time.
    fn follow(&self, trace: &Trace, started: Instant) -> Result<Progress> {
        let mut progress = Progress {
            number: 1,
            organisations: trace.deployment.organisations.clone(),
            out: BTreeMap::new(),
            watched: BTreeMap::new(),
            sent_to_out: 0,
        };
        for (at, step) in steps(trace) {
            sleep_until(started + at);
            self.take(step, &mut progress)?;
        }
        Ok(progress)
    }

    /// Requests sent to data centres that were out, once all requests have ended.
    fn sent_to_out(&self, mut progress: Progress) -> u64 {
        let watched: Vec<String> = progress.watched.keys().cloned().collect();
        watched.iter().for_each(|name| self.unwatch(name, &mut progress));
        progress.sent_to_out
    }

    /// Counts bookings that were answered without an execution as lost.
    fn find_lost_bookings(&self, calls: &[Call], seen: &mut [Seen]) {
        for (call, seen) in calls.iter().zip(seen) {
            let is_executed = call.key().is_none_or(|key| self.plain.executions(&key) > 0);
            if seen.end == End::Answered && !is_executed {
                seen.end = End::Lost;
                seen.reason = String::from("a booking was answered but not executed");
            }
        }
    }

    fn take(&self, step: Step, progress: &mut Progress) -> Result<()> {
        match step {
            Step::Morning(organisations) => {
                progress.organisations = organisations;
                self.apply(progress)
            }
            Step::Watch(name) => {
                if let Some(since) = progress.out.get(&name) {
                    sleep_until(*since + OUT_AFTER);
                    let received = self.received(&name);
                    progress.watched.insert(name, received);
                }
                Ok(())
            }
            Step::Change(event) => self.change(event, progress),
        }
    }

    fn change(&self, event: Event, progress: &mut Progress) -> Result<()> {
        match event.action {
            Action::DataCentreOut => {
                progress.out.insert(event.target.clone(), Instant::now());
                self.apply(progress)?;
                progress.out.insert(event.target, Instant::now());
                Ok(())
            }
            Action::DataCentreIn => {
                self.unwatch(&event.target, progress);
                progress.out.remove(&event.target);
                self.apply(progress)
            }
            Action::EngineKilled => {
                self.engine(&event.target)?.kill();
                Ok(())
            }
            Action::EngineRestarted => Ok(self.engine(&event.target)?.restart()?),
        }
    }

    fn apply(&self, progress: &mut Progress) -> Result<()> {
        progress.number += 1;
        let out: Vec<&str> = progress.out.keys().map(String::as_str).collect();
        self.fleet.apply(&sheet(&self.cfg, progress.number, &progress.organisations, &out))
    }

    fn unwatch(&self, name: &str, progress: &mut Progress) {
        if let Some(before) = progress.watched.remove(name) {
            progress.sent_to_out += self.received(name).saturating_sub(before);
        }
    }

    fn engine(&self, id: &str) -> Result<&Engine> {
        let found = self.engines.iter().find(|(spec, _)| spec.id == id);
        found.map(|(_, engine)| engine.as_ref()).ok_or_else(|| eyre!("no engine '{id}'"))
    }

    /// Requests that the upstreams of a data centre have got so far.
    fn received(&self, data_centre: &str) -> u64 {
        let engines = self
            .engines
            .iter()
            .filter(|(spec, _)| spec.data_centre == data_centre)
            .map(|(_, engine)| engine.stats().admitted);
        let is_plain_there = self.plain.announcement().data_centre == data_centre;
        engines.sum::<u64>() + if is_plain_there { self.plain.received() } else { 0 }
    }
}

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

/// The API key of an organisation in a replay.
fn api_key(organisation: &str) -> String {
    format!("replay-key-of-{organisation}")
}

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

/// The requests in order of their start.
fn calls(trace: &Trace) -> Vec<Call> {
    let mut calls: Vec<Call> = trace
        .load
        .iter()
        .enumerate()
        .flat_map(|(phase_number, phase)| {
            (0..phase.count).map(move |number| Call {
                at: Duration::from_millis(phase.at_ms + number * phase.every_ms),
                phase: phase.clone(),
                number,
                phase_number,
            })
        })
        .collect();
    calls.sort_by_key(|call| call.at);
    calls
}

fn steps(trace: &Trace) -> Vec<(Duration, Step)> {
    let mut steps = Vec::new();
    for event in &trace.events {
        let at = Duration::from_millis(event.at_ms);
        if event.action == Action::DataCentreOut {
            steps.push((at + OUT_AFTER, Step::Watch(event.target.clone())));
        }
        steps.push((at, Step::Change(event.clone())));
    }
    if let Some(sheet) = &trace.morning_sheet {
        let at = Duration::from_millis(sheet.at_ms);
        steps.push((at, Step::Morning(sheet.organisations.clone())));
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

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
        thread::sleep(LOOK_EVERY);
    }
    Err(eyre!("{address} does not reach the service in time"))
}
