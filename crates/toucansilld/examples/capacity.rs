//! Measures what control costs each daemon, as slopes over daemons, upstreams and changes.
//!
//! ```text
//! cargo build --release && cargo run --release -p toucansilld --example capacity
//! ```
//!
//! Starts real daemons on the loopback interface, one fleet after the other, and
//! reads processor time and memory of each process and its link bytes.

use serde_json::json;
use std::{
    error::Error,
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};
use toucansilld::{
    Settings,
    local::{self, LocalConfig, OPERATOR_TOKEN, data_centre, sheet},
};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Time over which a fleet is watched.
const WATCH: Duration = Duration::from_secs(10);
/// Longest wait for a daemon.
const PATIENCE: Duration = Duration::from_secs(60);
/// Clock ticks a second in the process table.
const TICKS_PER_S: f64 = 100.0;
/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;

/// One case.
struct Case {
    daemons: usize,
    upstreams_per_daemon: usize,
    changes_per_s: f64,
}

fn main() -> Result<()> {
    println!(
        "daemons upstreams/daemon changes/s | voter: %core MB B/s | other: %core MB B/s | leader %core"
    );
    for daemons in [2, 4, 8, 16, 32] {
        measure(&Case { daemons, upstreams_per_daemon: 0, changes_per_s: 0.0 })?;
    }
    for upstreams_per_daemon in [4, 13, 40] {
        measure(&Case { daemons: 8, upstreams_per_daemon, changes_per_s: 0.0 })?;
    }
    for changes_per_s in [1.0, 5.0] {
        measure(&Case { daemons: 8, upstreams_per_daemon: 0, changes_per_s })?;
    }
    Ok(())
}

/// What one process used.
#[derive(Clone, Copy, Default)]
struct Usage {
    core_percent: f64,
    memory_mb: f64,
    bytes_per_s: f64,
}

struct Process {
    child: Child,
    settings: Settings,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

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
    let engines = announcers(case, &cfg, &processes)?;
    thread::sleep(Duration::from_secs(3));
    let before: Result<Vec<Sample>> = processes.iter().map(sample).collect();
    let before = before?;
    let started = Instant::now();
    let mut number = 2;
    while started.elapsed() < WATCH {
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

/// Readings of one process at one moment.
struct Sample {
    ticks: u64,
    pages: u64,
    bytes: f64,
}

fn sample(process: &Process) -> Result<Sample> {
    let id = process.child.id();
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let field = |at: usize| fields.get(at).and_then(|text| text.parse::<u64>().ok());
    // Counted after the name: user time is the 12th field, system time the 13th.
    let ticks = field(12).unwrap_or_default() + field(13).unwrap_or_default();
    let pages = field(22).unwrap_or_default();
    Ok(Sample { ticks, pages, bytes: link_bytes(process.settings.listen.operators)? })
}

fn usage(before: &Sample, after: &Sample, elapsed: f64) -> Usage {
    let seconds = (after.ticks - before.ticks) as f64 / TICKS_PER_S;
    Usage {
        core_percent: 100.0 * seconds / elapsed,
        memory_mb: (after.pages * PAGE_BYTES) as f64 / 1e6,
        bytes_per_s: (after.bytes - before.bytes) / elapsed,
    }
}

/// Payload bytes in and out over links.
fn link_bytes(operators: SocketAddr) -> Result<f64> {
    let res = minreq::get(format!("http://{operators}/metrics")).with_timeout(5).send()?;
    let values = res
        .as_str()?
        .lines()
        .filter(|line| line.starts_with("toucansill_link_bytes_total"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    Ok(values.sum())
}

fn spawn(file: &PathBuf) -> Result<Process> {
    let program = std::env::current_exe()?;
    let folder = program.parent().and_then(|folder| folder.parent()).ok_or("no build folder")?;
    let child = Command::new(folder.join("toucansilld"))
        .arg(file)
        .env("TOUCANSILL_LOG", "error")
        .stdin(Stdio::null())
        .spawn()?;
    Ok(Process { child, settings: Settings::load(file)? })
}

fn await_ready(callers: SocketAddr) -> Result<()> {
    let until = Instant::now() + PATIENCE;
    let url = format!("http://{callers}/readyz");
    while !minreq::get(&url).with_timeout(2).send().is_ok_and(|res| res.status_code == 200) {
        if Instant::now() >= until {
            return Err(format!("{callers} is not ready in time").into());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

fn apply(process: &Process, csv: &str) -> Result<()> {
    let operators = process.settings.listen.operators;
    let res = minreq::post(format!("http://{operators}/sheet/apply?operator=capacity"))
        .with_header("Authorization", format!("Bearer {OPERATOR_TOKEN}"))
        .with_body(csv)
        .with_timeout(10)
        .send()?;
    match res.status_code {
        200 => Ok(()),
        _ => Err(format!("the sheet was refused: {}", res.as_str()?).into()),
    }
}

/// Ends the announcing thread when dropped.
struct Announcing {
    _stop: flume::Sender<()>,
}

/// One thread that announces all upstreams each second. They are not polled with
/// success, as nothing listens at their addresses; only control is measured.
fn announcers(case: &Case, cfg: &LocalConfig, processes: &[Process]) -> Result<Announcing> {
    let (stop, stopped) = flume::bounded::<()>(0);
    let mut posts = Vec::new();
    for (i, process) in processes.iter().enumerate() {
        for n in 0..case.upstreams_per_daemon {
            let body = json!({
                "id": format!("service-{i}-{n}"), "kind": "service", "service": "yard",
                "address": "127.0.0.1:9", "data_centre": data_centre(cfg, i),
                "incarnation": 1, "checks_fences": false,
            });
            posts.push((process.settings.listen.callers, body.to_string()));
        }
    }
    thread::spawn(move || {
        loop {
            for (callers, body) in &posts {
                let _ = minreq::post(format!("http://{callers}/upstreams"))
                    .with_header("Content-Type", "application/json")
                    .with_body(body.as_str())
                    .with_timeout(2)
                    .send();
            }
            if stopped.recv_timeout(Duration::from_millis(900))
                == Err(flume::RecvTimeoutError::Disconnected)
            {
                return;
            }
        }
    });
    Ok(Announcing { _stop: stop })
}
