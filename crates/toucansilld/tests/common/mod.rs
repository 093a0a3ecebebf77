//! A fleet of daemon processes, with fake upstreams in the test's process.

#![allow(dead_code, reason = "each test file uses a part of this module")]

use fake::{Announcer, Engine, EngineConfig, PlainService, PlainServiceConfig};
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

/// Maximum time of each wait, far above what any step needs.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Daemon processes and announcers of fake upstreams. Dropping it ends all of them.
pub(crate) struct Fleet {
    pub(crate) cfg: LocalConfig,
    pub(crate) dir: TempDir,
    files: Vec<PathBuf>,
    settings: Vec<Settings>,
    processes: Vec<Option<Child>>,
    announcers: Vec<Announcer>,
}

impl Fleet {
    /// Starts daemons in up to three data centres, and waits until all hold a lease.
    pub(crate) fn start(daemons: usize) -> Self {
        Self::start_with(daemons, daemons)
    }

    /// Starts daemons like [`start`](Self::start). Those from index `first_fresh` on have a voter
    /// that is not a member yet.
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

    /// Starts the process of daemon `i`, whose log goes to a file in `dir`.
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

    /// Kills the process of daemon `i`, as in a crash.
    pub(crate) fn kill(&mut self, i: usize) {
        let mut child = self.processes[i].take().expect("a running daemon");
        child.kill().expect("a process to end");
        child.wait().expect("its end");
    }

    /// Sends a signal, such as `-TERM`, to daemon `i`.
    pub(crate) fn signal(&self, i: usize, signal: &str) {
        let id = self.processes[i].as_ref().expect("a running daemon").id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status().expect("a signal");
        assert!(sent.success());
    }

    /// Waits until daemon `i` has exited by itself, and returns whether it succeeded.
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

    /// HTTP status of `/readyz` of daemon `i`, or 0 without a response.
    pub(crate) fn ready_status(&self, i: usize) -> i32 {
        let url = format!("http://{}/readyz", self.callers(i));
        minreq::get(&url).with_timeout(2).send().map_or(0, |res| res.status_code.into())
    }

    /// Waits until daemon `i` is ready.
    pub(crate) fn await_ready(&self, i: usize) {
        let url = format!("http://{}/readyz", self.callers(i));
        wait_until("the daemon is ready", || {
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

    /// Announces an engine to one more daemon, `via`.
    pub(crate) fn announce_also(&mut self, engine: &Arc<Engine>, via: usize) {
        let source = Arc::clone(engine);
        let daemon = self.callers(via).to_string();
        self.announcers.push(Announcer::start(daemon, move || Some(source.announcement())));
    }

    /// Starts a plain service that announces itself to daemon `via`.
    pub(crate) fn add_plain(&mut self, cfg: PlainServiceConfig, via: usize) -> Arc<PlainService> {
        let plain = Arc::new(PlainService::start(cfg).expect("a free port"));
        let source = Arc::clone(&plain);
        let daemon = self.callers(via).to_string();
        self.announcers.push(Announcer::start(daemon, move || Some(source.announcement())));
        plain
    }

    /// Calls the service `yard` through daemon `i`, with this idempotency key.
    pub(crate) fn book(&self, i: usize, key: &str, body: &str) -> BookingReply {
        let res = minreq::post(format!("http://{}/yard/bookings", self.callers(i)))
            .with_header("Authorization", format!("Bearer {API_KEY}"))
            .with_header("Content-Type", "application/json")
            .with_header("Idempotency-Key", key)
            .with_header("toucansill-deadline-ms", "3000")
            .with_body(body)
            .with_timeout(30)
            .send();
        let Ok(res) = res else { return BookingReply::default() };
        let verdict = res.header("toucansill-verdict").unwrap_or_default();
        BookingReply {
            status: res.status_code,
            verdict: String::from(verdict),
            body: String::from(res.as_str().unwrap_or_default()),
        }
    }

    /// Waits until calls through daemon `i` reach the service `yard`.
    pub(crate) fn await_yard(&self, i: usize) {
        let url = format!("http://{}/yard/status", self.callers(i));
        wait_until("the service is reached", || {
            minreq::get(&url)
                .with_header("Authorization", format!("Bearer {API_KEY}"))
                .with_timeout(5)
                .send()
                .is_ok_and(|res| res.header("toucansill-verdict") == Some("ran"))
        });
    }

    /// Sends an operators' request to daemon `i`. Returns status and JSON body, or 0 without a
    /// response.
    pub(crate) fn operator_request(
        &self,
        i: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> (u16, Value) {
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

    /// Applies a sheet through daemon `i`, and returns its log index.
    pub(crate) fn apply(&self, i: usize, csv: &str) -> u64 {
        let mut index = None;
        wait_until("the sheet is accepted", || {
            let (status, body) =
                self.operator_request(i, "POST", "/sheet/apply?operator=test", csv);
            index = body["index"].as_u64().filter(|_| status == 200);
            index.is_some()
        });
        index.expect("an index")
    }

    /// JSON status of daemon `i`.
    pub(crate) fn status(&self, i: usize) -> Value {
        self.operator_request(i, "GET", "/status", "").1
    }

    /// Waits until daemon `i` lists a model as served.
    pub(crate) fn await_model(&self, i: usize, model: &str) {
        let url = format!("http://{}/v1/models", self.callers(i));
        wait_until("the model is served", || {
            minreq::get(&url)
                .with_header("Authorization", format!("Bearer {API_KEY}"))
                .with_timeout(2)
                .send()
                .is_ok_and(|res| res.as_str().is_ok_and(|body| body.contains(model)))
        });
    }

    /// Runs a completion through daemon `i` that is not streamed. Returns the status with the text,
    /// or with the error code.
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

/// Response to a booking; all fields are empty without one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct BookingReply {
    pub(crate) status: u16,
    pub(crate) verdict: String,
    pub(crate) body: String,
}

/// A streamed completion on a thread of its own.
pub(crate) struct Caller {
    thread: thread::JoinHandle<StreamResult>,
}

/// How a streamed completion ended.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct StreamResult {
    pub(crate) text: String,
    /// Whether the `[DONE]` event was received.
    pub(crate) is_complete: bool,
    /// Error code, empty without an error.
    pub(crate) error: String,
}

impl Caller {
    /// Starts a streamed completion through daemon `i`.
    pub(crate) fn start(fleet: &Fleet, i: usize, prompt: &str, tokens: u32) -> Self {
        Self::start_with(fleet, i, prompt, tokens, "60000")
    }

    /// Starts a streamed completion with this deadline in milliseconds.
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
        Self { thread: thread::spawn(move || run_stream(req)) }
    }

    /// Waits until the stream has ended.
    pub(crate) fn finish(self) -> StreamResult {
        self.thread.join().expect("no panic")
    }
}

/// Sends the request and collects its events.
fn run_stream(req: minreq::Request) -> StreamResult {
    let Ok(res) = req.send() else { return StreamResult::default() };
    let text = String::from(res.as_str().unwrap_or_default());
    let mut end = StreamResult::default();
    if res.status_code != 200 {
        let value: Value = serde_json::from_str(&text).unwrap_or_default();
        end.error = String::from(value["error"]["code"].as_str().unwrap_or("none"));
        return end;
    }
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        end.is_complete |= data == "[DONE]";
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

/// Waits until the condition holds. The timeout only ends a test that hangs.
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        thread::sleep(POLL_INTERVAL);
    }
}
