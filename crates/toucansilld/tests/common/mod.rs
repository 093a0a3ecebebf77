//! A fleet of real daemon processes with stand-ins in the test's process.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use fake::{Announcer, Engine, EngineConfig, Plain, PlainConfig};
use serde_json::Value;
use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use tempfile::TempDir;
use toucansilld::{
    Settings,
    local::{self, API_KEY, LocalConfig, OPERATOR_TOKEN},
};

/// Bound on each wait, far above what any step needs.
const PATIENCE: Duration = Duration::from_secs(60);
/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(25);

/// Daemon processes and stand-ins; all end when it is dropped.
pub(crate) struct Fleet {
    pub(crate) cfg: LocalConfig,
    pub(crate) dir: TempDir,
    files: Vec<PathBuf>,
    settings: Vec<Settings>,
    processes: Vec<Option<Child>>,
    announcers: Vec<Announcer>,
}

impl Fleet {
    /// Starts daemons in as many data centres and waits for their leases.
    pub(crate) fn start(daemons: usize) -> Self {
        Self::start_with(daemons, daemons)
    }

    /// The same; those from `first_fresh` on have a voter that is not yet a member.
    pub(crate) fn start_with(daemons: usize, first_fresh: usize) -> Self {
        let fresh_voters = daemons - first_fresh;
        let cfg = LocalConfig { daemons, data_centres: daemons.min(3), fresh_voters };
        let dir = tempfile::tempdir().expect("a temporary folder");
        let files = local::prepare(dir.path(), &cfg).expect("settings");
        let settings =
            files.iter().map(|file| Settings::load(file).expect("valid settings")).collect();
        let processes = (0..daemons).map(|_| None).collect();
        let mut fleet = Self { cfg, dir, files, settings, processes, announcers: Vec::new() };
        (0..daemons).for_each(|i| fleet.spawn(i));
        (0..daemons).for_each(|i| fleet.await_ready(i));
        fleet
    }

    /// Starts the process of daemon `i`.
    pub(crate) fn spawn(&mut self, i: usize) {
        let log = self.dir.path().join(format!("daemon-{}.log", i + 1));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_toucansilld"))
            .arg(&self.files[i])
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        self.processes[i] = Some(child);
    }

    /// Ends the process of daemon `i` without notice.
    pub(crate) fn kill(&mut self, i: usize) {
        let mut child = self.processes[i].take().expect("a running daemon");
        child.kill().expect("a process to end");
        child.wait().expect("its end");
    }

    /// Sends a signal to daemon `i` by its process id.
    pub(crate) fn signal(&self, i: usize, signal: &str) {
        let id = self.processes[i].as_ref().expect("a running daemon").id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status().expect("a signal");
        assert!(sent.success());
    }

    /// Waits until daemon `i` has ended by itself.
    pub(crate) fn await_exit(&mut self, i: usize) -> bool {
        let mut child = self.processes[i].take().expect("a running daemon");
        child.wait().expect("its end").success()
    }

    pub(crate) fn callers(&self, i: usize) -> SocketAddr {
        self.settings[i].listen.callers
    }

    pub(crate) fn links(&self, i: usize) -> SocketAddr {
        self.settings[i].listen.links
    }

    pub(crate) fn operators(&self, i: usize) -> SocketAddr {
        self.settings[i].listen.operators
    }

    /// Status of `/readyz` of daemon `i`.
    pub(crate) fn ready_status(&self, i: usize) -> i32 {
        let url = format!("http://{}/readyz", self.callers(i));
        minreq::get(&url).with_timeout(2).send().map_or(0, |res| res.status_code.into())
    }

    pub(crate) fn await_ready(&self, i: usize) {
        let url = format!("http://{}/readyz", self.callers(i));
        await_that("the daemon is ready", || {
            minreq::get(&url).with_timeout(2).send().is_ok_and(|res| res.status_code == 200)
        });
    }

    /// Starts an engine that announces itself to daemon `via`.
    pub(crate) fn add_engine(&mut self, cfg: EngineConfig, via: usize) -> Arc<Engine> {
        let engine = Arc::new(Engine::start(cfg).expect("a free port"));
        let source = Arc::clone(&engine);
        let daemon = self.callers(via).to_string();
        self.announcers.push(Announcer::start(daemon, move || Some(source.announcement())));
        engine
    }

    /// Announces an engine to one more daemon.
    pub(crate) fn announce_also(&mut self, engine: &Arc<Engine>, via: usize) {
        let source = Arc::clone(engine);
        let daemon = self.callers(via).to_string();
        self.announcers.push(Announcer::start(daemon, move || Some(source.announcement())));
    }

    /// Starts a plain service that announces itself to daemon `via`.
    pub(crate) fn add_plain(&mut self, cfg: PlainConfig, via: usize) -> Arc<Plain> {
        let plain = Arc::new(Plain::start(cfg).expect("a free port"));
        let source = Arc::clone(&plain);
        let daemon = self.callers(via).to_string();
        self.announcers.push(Announcer::start(daemon, move || Some(source.announcement())));
        plain
    }

    /// A call to the service `yard` through daemon `i`.
    pub(crate) fn book(&self, i: usize, key: &str, body: &str) -> Booked {
        let res = minreq::post(format!("http://{}/yard/bookings", self.callers(i)))
            .with_header("Authorization", format!("Bearer {API_KEY}"))
            .with_header("Content-Type", "application/json")
            .with_header("Idempotency-Key", key)
            .with_header("toucansill-deadline-ms", "3000")
            .with_body(body)
            .with_timeout(30)
            .send();
        let Ok(res) = res else { return Booked::default() };
        let verdict = res.header("toucansill-verdict").unwrap_or_default();
        Booked {
            status: res.status_code,
            verdict: String::from(verdict),
            body: String::from(res.as_str().unwrap_or_default()),
        }
    }

    /// Waits until daemon `i` reaches the service `yard`.
    pub(crate) fn await_yard(&self, i: usize) {
        let url = format!("http://{}/yard/status", self.callers(i));
        await_that("the service is reached", || {
            minreq::get(&url)
                .with_header("Authorization", format!("Bearer {API_KEY}"))
                .with_timeout(5)
                .send()
                .is_ok_and(|res| res.header("toucansill-verdict") == Some("ran"))
        });
    }

    /// An operators' request to daemon `i`.
    pub(crate) fn operate(&self, i: usize, method: &str, path: &str, body: &str) -> (u16, Value) {
        let url = format!("http://{}{path}", self.settings[i].listen.operators);
        let res = minreq::Request::new(minreq::Method::Custom(String::from(method)), url)
            .with_header("Authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .with_body(body)
            .with_timeout(30)
            .send();
        match res {
            Ok(res) => {
                (res.status_code, serde_json::from_slice(res.as_bytes()).unwrap_or(Value::Null))
            }
            Err(_) => (0, Value::Null),
        }
    }

    /// Puts a sheet in force through daemon `i`, and gives its log index.
    pub(crate) fn apply(&self, i: usize, csv: &str) -> u64 {
        let mut index = None;
        await_that("the sheet is accepted", || {
            let (status, body) = self.operate(i, "POST", "/sheet/apply?operator=test", csv);
            index = body["index"].as_u64().filter(|_| status == 200);
            index.is_some()
        });
        index.expect("an index")
    }

    pub(crate) fn status(&self, i: usize) -> Value {
        self.operate(i, "GET", "/status", "").1
    }

    /// Waits until daemon `i` sees a model or service served.
    pub(crate) fn await_model(&self, i: usize, model: &str) {
        let url = format!("http://{}/v1/models", self.callers(i));
        await_that("the model is served", || {
            minreq::get(&url)
                .with_header("Authorization", format!("Bearer {API_KEY}"))
                .with_timeout(2)
                .send()
                .is_ok_and(|res| res.as_str().is_ok_and(|body| body.contains(model)))
        });
    }

    /// A whole completion through daemon `i`: status and text, or the error's code.
    pub(crate) fn complete(
        &self,
        i: usize,
        model: &str,
        prompt: &str,
        tokens: u32,
    ) -> (u16, String) {
        let body = serde_json::json!({"model": model, "prompt": prompt, "max_tokens": tokens});
        let res = minreq::post(format!("http://{}/v1/completions", self.callers(i)))
            .with_header("Authorization", format!("Bearer {API_KEY}"))
            .with_header("Content-Type", "application/json")
            .with_body(body.to_string())
            .with_timeout(60)
            .send();
        let Ok(res) = res else { return (0, String::new()) };
        let value: Value = serde_json::from_slice(res.as_bytes()).unwrap_or(Value::Null);
        let text = match res.status_code {
            200 => &value["choices"][0]["text"],
            _ => &value["error"]["code"],
        };
        (res.status_code, String::from(text.as_str().unwrap_or_default()))
    }
}

/// Answer to a booking.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Booked {
    pub(crate) status: u16,
    pub(crate) verdict: String,
    pub(crate) body: String,
}

/// A streamed completion under way.
pub(crate) struct Caller {
    thread: thread::JoinHandle<Streamed>,
}

/// How a streamed completion ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Streamed {
    pub(crate) text: String,
    /// Whether the end mark came.
    pub(crate) is_whole: bool,
    /// Code of the error, empty without one.
    pub(crate) error: String,
}

impl Caller {
    /// Starts a streamed completion through daemon `i`.
    pub(crate) fn start(fleet: &Fleet, i: usize, prompt: &str, tokens: u32) -> Self {
        Self::start_with(fleet, i, prompt, tokens, "60000")
    }

    /// The same with a deadline in milliseconds.
    pub(crate) fn start_with(
        fleet: &Fleet,
        i: usize,
        prompt: &str,
        tokens: u32,
        deadline_ms: &str,
    ) -> Self {
        let body = serde_json::json!({
            "model": "small", "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        let req = minreq::post(format!("http://{}/v1/completions", fleet.callers(i)))
            .with_header("Authorization", format!("Bearer {API_KEY}"))
            .with_header("Content-Type", "application/json")
            .with_header("toucansill-deadline-ms", deadline_ms)
            .with_body(body.to_string())
            .with_timeout(60);
        Self { thread: thread::spawn(move || streamed(req)) }
    }

    /// Waits for the end.
    pub(crate) fn end(self) -> Streamed {
        self.thread.join().expect("no panic")
    }
}

fn streamed(req: minreq::Request) -> Streamed {
    let Ok(res) = req.send() else { return Streamed::default() };
    let text = String::from(res.as_str().unwrap_or_default());
    let mut end = Streamed::default();
    if res.status_code != 200 {
        let value: Value = serde_json::from_str(&text).unwrap_or_default();
        end.error = String::from(value["error"]["code"].as_str().unwrap_or("none"));
        return end;
    }
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        end.is_whole |= data == "[DONE]";
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        end.text += event["choices"][0]["text"].as_str().unwrap_or_default();
        end.error += event["error"]["code"].as_str().unwrap_or_default();
    }
    end
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.announcers.clear();
        for child in self.processes.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Looks until the condition holds; the bound only ends a test that hangs.
pub(crate) fn await_that(what: &str, mut is_so: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !is_so() {
        assert!(Instant::now() < until, "waited in vain until {what}");
        thread::sleep(LOOK_EVERY);
    }
}
