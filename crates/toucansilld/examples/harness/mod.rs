//! Starts daemon processes on the loopback interface and measures their resource usage.

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

/// Maximum time to wait for a daemon.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Clock ticks per second of the CPU times in `/proc`.
const TICKS_PER_S: f64 = 100.0;
/// Size of a page of memory, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Resource usage of one process over an interval.
#[derive(Clone, Copy, Default)]
pub(crate) struct Usage {
    /// CPU time, in percent of one core.
    pub(crate) core_percent: f64,
    /// Resident memory at the end, in MB (10^6 bytes).
    pub(crate) memory_mb: f64,
    /// Payload over links in both directions, in bytes per second.
    pub(crate) bytes_per_s: f64,
}

/// A daemon process, which is killed when the value is dropped.
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

/// Counters of one process at one time.
pub(crate) struct Sample {
    /// CPU time since the start, in clock ticks.
    pub(crate) ticks: u64,
    /// Resident memory, in pages.
    pub(crate) pages: u64,
    /// Payload over links since the start, in bytes.
    pub(crate) bytes: f64,
}

/// Reads the counters of a process.
pub(crate) fn sample(process: &Process) -> Result<Sample> {
    let id = process.child.id();
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let field = |at: usize| fields.get(at).and_then(|text| text.parse::<u64>().ok());
    // Indexes after the process name, where the text starts with a blank: 12 is the user time, 13
    // the system time and 22 the resident set size.
    let ticks = field(12).unwrap_or_default() + field(13).unwrap_or_default();
    let pages = field(22).unwrap_or_default();
    Ok(Sample { ticks, pages, bytes: link_bytes(process.settings.listen.operators)? })
}

/// Usage between two samples that are `elapsed` seconds apart.
pub(crate) fn usage(before: &Sample, after: &Sample, elapsed: f64) -> Usage {
    let cpu_seconds = (after.ticks - before.ticks) as f64 / TICKS_PER_S;
    Usage {
        core_percent: 100.0 * cpu_seconds / elapsed,
        memory_mb: (after.pages * PAGE_BYTES) as f64 / 1e6,
        bytes_per_s: (after.bytes - before.bytes) / elapsed,
    }
}

/// Payload sent and received over links, in bytes, from the daemon's metrics.
pub(crate) fn link_bytes(operators: SocketAddr) -> Result<f64> {
    let res = minreq::get(format!("http://{operators}/metrics")).with_timeout(5).send()?;
    let values = res
        .as_str()?
        .lines()
        .filter(|line| line.starts_with("toucansill_link_bytes_total"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    Ok(values.sum())
}

/// Starts a daemon with a settings file. The program must be built in the same profile.
pub(crate) fn spawn(file: &PathBuf) -> Result<Process> {
    let program = std::env::current_exe()?;
    let folder = program
        .parent()
        .and_then(|folder| folder.parent())
        .ok_or("the build folder was not found")?;
    let child = Command::new(folder.join("toucansilld"))
        .arg(file)
        .env("TOUCANSILL_LOG", "error")
        .stdin(Stdio::null())
        .spawn()?;
    Ok(Process { child, settings: Settings::load(file)? })
}

/// Waits until the daemon with this callers' address is ready.
pub(crate) fn await_ready(callers: SocketAddr) -> Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    let url = format!("http://{callers}/readyz");
    while !minreq::get(&url).with_timeout(2).send().is_ok_and(|res| res.status_code == 200) {
        if Instant::now() >= deadline {
            return Err(format!("the daemon at {callers} did not become ready in time").into());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Applies a sheet through a daemon.
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
