//! Measures the cost of the control plane for each daemon, over the numbers of daemons, upstreams
//! and changes per second.
//!
//! ```text
//! cargo build --release && cargo run --release -p toucansilld --example capacity
//! ```
//!
//! Starts fleets of daemon processes on the loopback interface, one after the other, and reads the
//! CPU time, memory and link bytes of each process.

mod harness;

use fake::{Announcer, Engine, EngineConfig};
use harness::{Process, Result, Sample, Usage, apply, await_ready, sample, spawn, usage};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use toucansilld::local::{self, LocalConfig, data_centre, sheet};

/// Number of models that the engines of a data centre serve.
const MODEL_COUNT: usize = 4;
/// Time over which a fleet is measured.
const MEASURE_TIME: Duration = Duration::from_secs(10);

/// Size and load of one fleet.
struct Case {
    daemons: usize,
    upstreams_per_daemon: usize,
    changes_per_s: f64,
}

fn main() -> Result<()> {
    println!(
        "daemons upstreams/daemon changes/s | voter: %core MB B/s | other: %core MB B/s | leader %core"
    );
    for daemons in [2, 4, 8, 16, 32, 40] {
        measure(&Case { daemons, upstreams_per_daemon: 0, changes_per_s: 0.0 })?;
    }
    for upstreams_per_daemon in [4, 13] {
        measure(&Case { daemons: 8, upstreams_per_daemon, changes_per_s: 0.0 })?;
    }
    for changes_per_s in [1.0, 5.0] {
        measure(&Case { daemons: 8, upstreams_per_daemon: 0, changes_per_s })?;
    }
    Ok(())
}

/// Starts the fleet of a case, measures it and prints one line.
fn measure(case: &Case) -> Result<()> {
    let cfg = LocalConfig { daemons: case.daemons, data_centres: 3, fresh_voters: 0 };
    let dir = tempfile::tempdir()?;
    let files = local::prepare(dir.path(), &cfg)?;
    let processes: Result<Vec<Process>> = files.iter().map(spawn).collect();
    let processes = processes?;
    for process in &processes {
        await_ready(process.settings.listen.callers)?;
    }
    apply(&processes[0], &sheet(&cfg, 1, &["small"], &[]))?;
    let engines = engines(case, &cfg, &processes)?;
    thread::sleep(Duration::from_secs(3));
    let before: Result<Vec<Sample>> = processes.iter().map(sample).collect();
    let before = before?;
    let started = Instant::now();
    let mut number = 2;
    while started.elapsed() < MEASURE_TIME {
        if case.changes_per_s > 0.0 {
            apply(&processes[0], &sheet(&cfg, number, &["small"], &[]))?;
            number += 1;
            thread::sleep(Duration::from_secs_f64(1.0 / case.changes_per_s));
        } else {
            thread::sleep(Duration::from_millis(100));
        }
    }
    let elapsed = started.elapsed().as_secs_f64();
    let usages: Result<Vec<Usage>> = processes
        .iter()
        .zip(&before)
        .map(|(process, before)| Ok(usage(before, &sample(process)?, elapsed)))
        .collect();
    report(case, &usages?);
    drop(engines);
    Ok(())
}

/// Prints the mean usage of the daemons with and without a voter, and the CPU usage of the leader,
/// which is the highest of the voters.
fn report(case: &Case, usages: &[Usage]) {
    let (voters, others) = usages.split_at(usages.len().min(3));
    let voter = mean(voters);
    let other = mean(others);
    let leader = voters.iter().map(|usage| usage.core_percent).fold(0.0, f64::max);
    println!(
        "{:>7} {:>16} {:>9} | {:>6.2} {:>5.1} {:>7.0} | {:>6.2} {:>5.1} {:>7.0} | {:>6.2}",
        case.daemons,
        case.upstreams_per_daemon,
        case.changes_per_s,
        voter.core_percent,
        voter.memory_mb,
        voter.bytes_per_s,
        other.core_percent,
        other.memory_mb,
        other.bytes_per_s,
        leader,
    );
}

fn mean(usages: &[Usage]) -> Usage {
    let count = usages.len().max(1) as f64;
    let sum = |f: fn(&Usage) -> f64| usages.iter().map(f).sum::<f64>() / count;
    Usage {
        core_percent: sum(|usage| usage.core_percent),
        memory_mb: sum(|usage| usage.memory_mb),
        bytes_per_s: sum(|usage| usage.bytes_per_s),
    }
}

/// Starts fake engines: `upstreams_per_daemon` for each daemon, which announce themselves to it.
fn engines(case: &Case, cfg: &LocalConfig, processes: &[Process]) -> Result<Vec<FakeEngine>> {
    let mut fakes = Vec::new();
    for (i, process) in processes.iter().enumerate() {
        for n in 0..case.upstreams_per_daemon {
            let engine = Arc::new(Engine::start(EngineConfig {
                id: format!("engine-{i}-{n}"),
                data_centre: data_centre(cfg, i),
                models: vec![format!("model-{}", n % MODEL_COUNT)],
                ..EngineConfig::default()
            })?);
            let source = Arc::clone(&engine);
            let callers = process.settings.listen.callers.to_string();
            let announcer = Announcer::start(callers, move || Some(source.announcement()));
            fakes.push(FakeEngine { _announcer: announcer, _engine: engine });
        }
    }
    Ok(fakes)
}

/// A fake engine with its announcer.
struct FakeEngine {
    _announcer: Announcer,
    _engine: Arc<Engine>,
}
