//! Measures the rate and latency of commits and confirmed reads, compared with plain syncs of the
//! same disk, and the time of recovery and the cost of an idle group.
//!
//! ```text
//! cargo run --release -p group --example measure [folder]
//! ```

use bincode::enc::write::SizeWriter;
use group::{Config, Group, Handle, Membership, OutgoingMessage, StartMode, StateMachine};
use std::{
    collections::BTreeMap,
    env, error,
    fs::{self, File},
    io::Write as _,
    path::Path,
    result,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

type Result<T> = result::Result<T, Box<dyn error::Error>>;

const COMMAND_BYTES: usize = 256;
/// Duration of each measurement.
const PERIOD: Duration = Duration::from_secs(2);
const TIMEOUT: Duration = Duration::from_secs(60);

/// Voters of one group in this process, connected by channels.
struct Voters {
    handles: Vec<Handle>,
    leader: Handle,
    applied: Arc<AtomicU64>,
    sent_bytes: Arc<AtomicU64>,
}

/// Latencies of many operations.
struct Latencies {
    sorted: Vec<Duration>,
    elapsed: Duration,
}

impl Latencies {
    fn new(mut times: Vec<Duration>, elapsed: Duration) -> Self {
        times.sort_unstable();
        Self { sorted: times, elapsed }
    }

    fn print(&self, label: &str) {
        let quantile_ms = |q: f64| {
            let index = (self.sorted.len() as f64 * q) as usize;
            self.sorted.get(index).copied().unwrap_or_default().as_secs_f64() * 1e3
        };
        let rate = self.sorted.len() as f64 / self.elapsed.as_secs_f64();
        println!(
            "{label:<44} {rate:>9.0}/s  p50 {:>7.2} ms  p99 {:>7.2} ms",
            quantile_ms(0.5),
            quantile_ms(0.99)
        );
    }
}

fn state_machine(applied: &Arc<AtomicU64>) -> StateMachine {
    let count = applied.clone();
    StateMachine {
        apply: Box::new(move |_, _| {
            count.fetch_add(1, Ordering::Relaxed);
            Ok(Vec::new())
        }),
        snapshot: Box::new(Vec::new),
        restore: Box::new(|_, _| Ok(())),
    }
}

fn start(dir: &Path, count: u64, adjust: fn(&mut Config)) -> Result<Voters> {
    let members = Membership::initial(1, 1..=count);
    let applied = Arc::new(AtomicU64::new(0));
    let (outbox, outgoing) = flume::bounded::<OutgoingMessage>(65_536);
    let mut handles = BTreeMap::new();
    for id in 1..=count {
        let mut cfg = Config::new(id, dir.join(id.to_string()));
        cfg.start_mode = StartMode::Bootstrap(members.clone());
        adjust(&mut cfg);
        handles.insert(id, Group::start(cfg, state_machine(&applied), outbox.clone())?);
    }
    let targets = handles.clone();
    let sent_bytes = Arc::new(AtomicU64::new(0));
    let count = sent_bytes.clone();
    thread::spawn(move || {
        for OutgoingMessage { to, message } in outgoing {
            let mut size = SizeWriter::default();
            if bincode::encode_into_writer(&message, &mut size, bincode::config::standard()).is_ok()
            {
                count.fetch_add(size.bytes_written as u64, Ordering::Relaxed);
            }
            if let Some(handle) = targets.get(&to) {
                handle.step(message);
            }
        }
    });
    let first = &handles[&1];
    first.await_leader(TIMEOUT)?;
    let leader = first.status().leader.ok_or("no leader")?;
    let leader = handles[&leader].clone();
    leader.confirm_leadership(TIMEOUT)?;
    Ok(Voters { handles: handles.into_values().collect(), leader, applied, sent_bytes })
}

impl Voters {
    fn stop(self) {
        self.handles.iter().for_each(Handle::stop);
    }

    /// Runs an operation from `callers` threads for [`PERIOD`].
    fn load(&self, callers: usize, operation: fn(&Handle) -> group::Result<()>) -> Latencies {
        let begin = Instant::now();
        let threads: Vec<_> = (0..callers)
            .map(|_| {
                let leader = self.leader.clone();
                thread::spawn(move || {
                    let mut times = Vec::new();
                    while begin.elapsed() < PERIOD {
                        let start = Instant::now();
                        operation(&leader).expect("a healthy group completes the operation");
                        times.push(start.elapsed());
                    }
                    times
                })
            })
            .collect();
        let times = threads.into_iter().flat_map(|t| t.join().expect("no panic")).collect();
        Latencies::new(times, begin.elapsed())
    }
}

fn propose(leader: &Handle) -> group::Result<()> {
    leader.propose(vec![7; COMMAND_BYTES], TIMEOUT).map(drop)
}

fn confirm(leader: &Handle) -> group::Result<()> {
    leader.confirm_leadership(TIMEOUT).map(drop)
}

/// Appends and syncs one command at a time to a plain file.
fn raw_syncs(dir: &Path) -> Result<Latencies> {
    let mut f = File::create(dir.join("raw"))?;
    let begin = Instant::now();
    let mut times = Vec::new();
    while begin.elapsed() < PERIOD {
        let start = Instant::now();
        f.write_all(&[7; COMMAND_BYTES])?;
        f.sync_data()?;
        times.push(start.elapsed());
    }
    Ok(Latencies::new(times, begin.elapsed()))
}

fn measure_commits(dir: &Path, voters: u64) -> Result<()> {
    let group = start(&dir.join(format!("of-{voters}")), voters, |_| ())?;
    for callers in [1, 16, 128, 512] {
        let times = group.load(callers, propose);
        times.print(&format!("group of {voters}: commits, {callers} callers"));
    }
    for callers in [1, 128] {
        let times = group.load(callers, confirm);
        times.print(&format!("group of {voters}: confirmed reads, {callers} callers"));
    }
    group.stop();
    Ok(())
}

fn measure_recovery(dir: &Path, entries: u64) -> Result<()> {
    let dir = dir.join(format!("log-{entries}"));
    let without_snapshots: fn(&mut Config) = |cfg| cfg.snapshot_interval_entries = u64::MAX;
    let group = start(&dir, 1, without_snapshots)?;
    for _ in 0..entries.div_ceil(1_000) {
        let pending: Vec<_> = (0..entries.min(1_000))
            .map(|_| group.leader.submit(vec![7; COMMAND_BYTES], TIMEOUT))
            .collect::<group::Result<_>>()?;
        pending.into_iter().try_for_each(|proposal| proposal.wait().map(drop))?;
    }
    group.stop();

    let begin = Instant::now();
    let (store, recovered) = disk::Store::open(dir.join("1"))?;
    let read = begin.elapsed();
    drop((store, recovered));
    let begin = Instant::now();
    let group = start(&dir, 1, without_snapshots)?;
    let ready = begin.elapsed();
    assert_eq!(group.applied.load(Ordering::Relaxed), entries);
    println!(
        "recovery of {entries:>7} entries: read in {read:>10.1?}, leads and has applied in {ready:.1?}"
    );
    group.stop();
    Ok(())
}

/// Measures the processor time and the message bytes of three idle voters.
fn measure_idle(dir: &Path) -> Result<()> {
    let group = start(&dir.join("idle"), 3, |_| ())?;
    let sent = |group: &Voters| group.sent_bytes.load(Ordering::Relaxed);
    let (cpu, bytes, begin) = (cpu_time()?, sent(&group), Instant::now());
    thread::sleep(PERIOD * 3);
    let seconds = begin.elapsed().as_secs_f64();
    let cpu_percent = (cpu_time()? - cpu).as_secs_f64() / seconds / 3.0 * 100.0;
    let rate = (sent(&group) - bytes) as f64 / seconds;
    println!(
        "idle: {cpu_percent:.2}% of a core for each voter, {rate:.0} bytes/s between all three"
    );
    group.stop();
    Ok(())
}

/// Processor time that this process has used so far.
fn cpu_time() -> Result<Duration> {
    /// Linux reports times in units of 1/100 s.
    const TICK: Duration = Duration::from_millis(10);
    let stat = fs::read_to_string("/proc/self/stat")?;
    let (_, fields) = stat.rsplit_once(')').ok_or("no process name")?;
    let ticks = |at| fields.split_whitespace().nth(at).and_then(|f| f.parse().ok());
    let total: u32 = ticks(11).zip(ticks(12)).map(|(a, b): (u32, u32)| a + b).ok_or("no times")?;
    Ok(TICK * total)
}

fn main() -> Result<()> {
    let base = env::args().nth(1).unwrap_or_else(|| env::temp_dir().display().to_string());
    let dir = tempfile::tempdir_in(base)?;
    raw_syncs(dir.path())?.print("raw: append 256 bytes and sync");
    measure_idle(dir.path())?;
    measure_commits(dir.path(), 1)?;
    measure_commits(dir.path(), 3)?;
    raw_syncs(dir.path())?.print("raw again");
    for entries in [1_000, 10_000, 100_000] {
        measure_recovery(dir.path(), entries)?;
    }
    Ok(())
}
