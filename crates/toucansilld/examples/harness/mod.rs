//! Daemon processes on the loopback interface, and what they use.

#![allow(dead_code, reason = "each example uses a part of this module")]

use std::{
    error::Error,
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};
use toucansilld::{Settings, local::OPERATOR_TOKEN};

/// Result of the examples.
pub(crate) type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Longest wait for a daemon.
const PATIENCE: Duration = Duration::from_secs(60);
/// Clock ticks a second in the process table.
const TICKS_PER_S: f64 = 100.0;
/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;

/// What one process used.
#[derive(Clone, Copy, Default)]
pub(crate) struct Usage {
    pub(crate) core_percent: f64,
    pub(crate) memory_mb: f64,
    pub(crate) bytes_per_s: f64,
}

/// A daemon process; it ends when it is dropped.
pub(crate) struct Process {
    pub(crate) child: Child,
    pub(crate) settings: Settings,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Readings of one process at one moment.
pub(crate) struct Sample {
    pub(crate) ticks: u64,
    pub(crate) pages: u64,
    pub(crate) bytes: f64,
}

pub(crate) fn sample(process: &Process) -> Result<Sample> {
    let id = process.child.id();
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let field = |at: usize| fields.get(at).and_then(|text| text.parse::<u64>().ok());
    // Counted after the name: user time is the 12th field, system time the 13th.
    let ticks = field(12).unwrap_or_default() + field(13).unwrap_or_default();
    let pages = field(22).unwrap_or_default();
    Ok(Sample { ticks, pages, bytes: link_bytes(process.settings.listen.operators)? })
}

pub(crate) fn usage(before: &Sample, after: &Sample, elapsed: f64) -> Usage {
    let seconds = (after.ticks - before.ticks) as f64 / TICKS_PER_S;
    Usage {
        core_percent: 100.0 * seconds / elapsed,
        memory_mb: (after.pages * PAGE_BYTES) as f64 / 1e6,
        bytes_per_s: (after.bytes - before.bytes) / elapsed,
    }
}

/// Payload bytes in and out over links.
pub(crate) fn link_bytes(operators: SocketAddr) -> Result<f64> {
    let res = minreq::get(format!("http://{operators}/metrics")).with_timeout(5).send()?;
    let values = res
        .as_str()?
        .lines()
        .filter(|line| line.starts_with("toucansill_link_bytes_total"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    Ok(values.sum())
}

pub(crate) fn spawn(file: &PathBuf) -> Result<Process> {
    let program = std::env::current_exe()?;
    let folder = program.parent().and_then(|folder| folder.parent()).ok_or("no build folder")?;
    let child = Command::new(folder.join("toucansilld"))
        .arg(file)
        .env("TOUCANSILL_LOG", "error")
        .stdin(Stdio::null())
        .spawn()?;
    Ok(Process { child, settings: Settings::load(file)? })
}

pub(crate) fn await_ready(callers: SocketAddr) -> Result<()> {
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

pub(crate) fn apply(process: &Process, csv: &str) -> Result<()> {
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
