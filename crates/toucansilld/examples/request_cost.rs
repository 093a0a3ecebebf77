//! Measures the cost of requests for a daemon: CPU time per request at a fixed rate, and memory per
//! request in flight.
//!
//! ```text
//! cargo build --release && cargo run --release -p toucansilld --example request_cost
//! ```

mod harness;

use fake::{Announcer, Engine, EngineConfig};
use harness::{Process, Result, apply, await_ready, sample, spawn, usage};
use serde_json::json;
use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use toucansilld::local::{self, API_KEY, LocalConfig, data_centre, sheet};

/// Requests per second that one daemon receives at the target load.
const RATE_PER_S: f64 = 63.0;
/// Duration of each run.
const RUN_TIME: Duration = Duration::from_secs(10);
/// Number of tokens in each answer.
const ANSWER_TOKENS: u32 = 50;
/// Number of requests held in flight for the memory measurement.
const HELD_REQUESTS: usize = 200;

fn main() -> Result<()> {
    println!("{RATE_PER_S} requests/s of 1,000 prompt tokens and {ANSWER_TOKENS} answer tokens:");
    for (name, entry) in [("entry and owner in one", 0), ("entry and owner apart", 1)] {
        let fleet = Fleet::start()?;
        let idle = fleet.measure(|| thread::sleep(RUN_TIME))?;
        let busy = fleet.measure(|| fleet.send_requests(entry))?;
        // Percent of a core to milliseconds per request.
        let cost_ms = |i: usize| (busy[i] - idle[i]) / RATE_PER_S * 10.0;
        println!(
            "{name}: first daemon {:.2} ms, second {:.2} ms of CPU time per request (idle {:.2}% and {:.2}%)",
            cost_ms(0),
            cost_ms(1),
            idle[0],
            idle[1]
        );
    }
    measure_memory()
}

/// Prints the memory per request in flight.
fn measure_memory() -> Result<()> {
    let fleet = Fleet::start()?;
    fleet.engine.hold_at(1);
    let before = sample(&fleet.processes[0])?;
    let address = fleet.processes[0].settings.listen.callers;
    for n in 0..HELD_REQUESTS {
        thread::spawn(move || call(address, &format!("held {n}")));
    }
    fleet.engine.wait_admitted(HELD_REQUESTS as u64);
    thread::sleep(Duration::from_secs(2));
    let after = sample(&fleet.processes[0])?;
    let used = usage(&before, &after, 1.0).memory_mb - usage(&before, &before, 1.0).memory_mb;
    println!(
        "memory of a request in flight: {:.0} KB ({HELD_REQUESTS} held)",
        used * 1_000.0 / HELD_REQUESTS as f64
    );
    Ok(())
}

/// Two daemons in two data centres, with an engine in the first.
struct Fleet {
    processes: Vec<Process>,
    engine: Arc<Engine>,
    _announcer: Announcer,
    _dir: tempfile::TempDir,
}

impl Fleet {
    fn start() -> Result<Self> {
        let cfg = LocalConfig { daemons: 2, data_centres: 2, fresh_voters: 0 };
        let dir = tempfile::tempdir()?;
        let files = local::prepare(dir.path(), &cfg)?;
        let processes: Result<Vec<Process>> = files.iter().map(spawn).collect();
        let processes = processes?;
        for process in &processes {
            await_ready(process.settings.listen.callers)?;
        }
        apply(&processes[0], &sheet(&cfg, 1, &["small"], &[]))?;
        let engine = Arc::new(Engine::start(EngineConfig {
            data_centre: data_centre(&cfg, 0),
            prefill_tokens_per_s: 1e6,
            decode_tokens_per_s: 1e3,
            memory_tokens: 4_000_000,
            time_scale: 1.0,
            ..EngineConfig::default()
        })?);
        let source = Arc::clone(&engine);
        let callers = processes[0].settings.listen.callers.to_string();
        let announcer = Announcer::start(callers, move || Some(source.announcement()));
        for process in &processes {
            await_model(process.settings.listen.callers)?;
        }
        Ok(Self { processes, engine, _announcer: announcer, _dir: dir })
    }

    /// CPU usage of each daemon while `f` runs, in percent of one core.
    fn measure(&self, f: impl FnOnce()) -> Result<Vec<f64>> {
        let before: Result<Vec<_>> = self.processes.iter().map(sample).collect();
        let before = before?;
        let started = Instant::now();
        f();
        let elapsed = started.elapsed().as_secs_f64();
        self.processes
            .iter()
            .zip(&before)
            .map(|(process, before)| Ok(usage(before, &sample(process)?, elapsed).core_percent))
            .collect()
    }

    /// Sends requests at a fixed rate to the daemon at index `entry`, and waits until all have
    /// ended.
    fn send_requests(&self, entry: usize) {
        let address = self.processes[entry].settings.listen.callers;
        let started = Instant::now();
        let total = (RATE_PER_S * RUN_TIME.as_secs_f64()) as u32;
        let calls: Vec<_> = (0..total)
            .map(|n| {
                let due = started + Duration::from_secs_f64(f64::from(n) / RATE_PER_S);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                thread::spawn(move || call(address, &format!("{entry} {n}")))
            })
            .collect();
        let failed = calls.into_iter().filter_map(|call| call.join().ok()).filter(|ok| !ok).count();
        if failed > 0 {
            println!("{failed} requests failed");
        }
    }
}

/// Waits until requests to a daemon succeed.
fn await_model(callers: SocketAddr) -> Result<()> {
    let deadline = Instant::now() + Duration::from_secs(30);
    while !call(callers, "is it there") {
        if Instant::now() >= deadline {
            return Err(format!("the daemon at {callers} does not serve the model").into());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// Runs one streamed completion, and returns whether it was answered completely.
fn call(address: SocketAddr, name: &str) -> bool {
    let prompt = format!("{name} {}", "word".repeat(1_000));
    let body =
        json!({"model": "small", "prompt": prompt, "max_tokens": ANSWER_TOKENS, "stream": true});
    let sent = minreq::post(format!("http://{address}/v1/completions"))
        .with_header("Authorization", format!("Bearer {API_KEY}"))
        .with_header("Content-Type", "application/json")
        .with_body(body.to_string())
        .with_timeout(60)
        .send_lazy();
    let Ok(res) = sent else { return false };
    let mut lines = BufReader::new(res).lines().map_while(std::result::Result::ok);
    lines.any(|line| line == "data: [DONE]")
}
