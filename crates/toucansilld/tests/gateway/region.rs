//! A region of gateway daemons as separate processes on this machine.

use platform::stand_in::{
    caller_headers_for, parse_attempt_id, registration_body, response_headers,
};
use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use tempfile::TempDir;

/// Longest wait for an event that a test expects. Reached only by a failure.
const PATIENCE: Duration = Duration::from_secs(60);
/// Pause between two looks for such an event.
const PAUSE: Duration = Duration::from_millis(20);

/// Ports and addresses of one daemon. Each has a loopback address of its own, as all use
/// the same ports.
struct Place {
    ip: String,
    name: String,
    is_control: bool,
}

/// Daemons, with their folders.
pub(crate) struct Region {
    dir: TempDir,
    base_port: u16,
    places: Vec<Place>,
    controls: usize,
    seeds: usize,
    running: Vec<Option<Child>>,
    attempts: AtomicU64,
}

impl Region {
    /// A region of control daemons and one entry, all stopped.
    pub(crate) fn new(controls: usize) -> Self {
        Self::with_entries(controls, 1)
    }

    /// A region of control daemons and entries, all stopped.
    pub(crate) fn with_entries(controls: usize, entries: usize) -> Self {
        let (subnet, base_port) = free_subnet();
        let place = |i: usize, is_control| Place {
            ip: format!("127.{}.{}.{}", subnet.0, subnet.1, i + 1),
            name: format!("{}-{i}", if is_control { "control" } else { "entry" }),
            is_control,
        };
        let mut places: Vec<Place> = (0..controls).map(|i| place(i, true)).collect();
        places.extend((controls..controls + entries).map(|i| place(i, false)));
        let running = places.iter().map(|_| None).collect();
        let dir = tempfile::tempdir().expect("a folder");
        let attempts = AtomicU64::new(1);
        Self { dir, base_port, places, controls, seeds: controls.min(3), running, attempts }
    }

    /// Number of the first entry.
    pub(crate) fn entry(&self) -> usize {
        self.controls
    }

    /// Address of a control daemon for operators and upstreams.
    pub(crate) fn control_address(&self, i: usize) -> String {
        format!("{}:{}", self.places[i].ip, self.base_port + 1)
    }

    /// Starts daemons that have ended by themselves.
    pub(crate) fn restart_ended(&mut self) {
        for i in 0..self.places.len() {
            let has_ended = |child: &mut Child| child.try_wait().expect("known").is_some();
            if self.running[i].as_mut().is_none_or(has_ended) {
                self.start(i, false);
            }
        }
    }

    /// Address of an entry for callers.
    pub(crate) fn callers_address(&self, i: usize) -> String {
        format!("{}:{}", self.places[i].ip, self.base_port + 2)
    }

    /// Starts a daemon. `founds_group` is true only at a region's first start.
    pub(crate) fn start(&mut self, i: usize, founds_group: bool) {
        let file = self.dir.path().join(format!("{}.yaml", self.places[i].name));
        fs::write(&file, self.settings(i, founds_group)).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_toucansilld"))
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("started");
        self.running[i] = Some(child);
    }

    /// Starts all daemons.
    pub(crate) fn start_all(&mut self, founds_group: bool) {
        (0..self.places.len()).for_each(|i| self.start(i, founds_group));
    }

    /// Kills a daemon.
    pub(crate) fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.running[i].take() {
            child.kill().expect("killed");
            child.wait().expect("ended");
        }
    }

    /// Kills all daemons.
    pub(crate) fn kill_all(&mut self) {
        (0..self.places.len()).for_each(|i| self.kill(i));
    }

    /// Sends SIGTERM to a daemon.
    pub(crate) fn terminate(&self, i: usize) {
        self.signal(i, "-TERM");
    }

    /// Sends a signal to a daemon, if it runs.
    pub(crate) fn signal(&self, i: usize, signal: &str) {
        let Some(child) = &self.running[i] else { return };
        let id = child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status().expect("sent");
        assert!(sent.success(), "{signal} to a child of this process");
    }

    /// Sends SIGTERM to a daemon and waits for its end.
    pub(crate) fn stop(&mut self, i: usize) {
        self.terminate(i);
        if let Some(mut child) = self.running[i].take() {
            child.wait().expect("ended");
        }
    }

    /// Empties the folder of a control daemon, as a lost disk does.
    pub(crate) fn lose_disk(&self, i: usize) {
        fs::remove_dir_all(self.data_folder(i)).expect("removed");
    }

    /// Calls the control address of a daemon: status and body, or nothing.
    pub(crate) fn call(
        &self,
        i: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let address = self.control_address(i);
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        exchange(&address, &format!("{head}{body}"))
    }

    /// Repeats a call to a daemon until it is answered 200; returns the body.
    pub(crate) fn call_until_done(&self, i: usize, method: &str, path: &str, body: &str) -> String {
        eventually(path, || {
            let answer = self.call(i, method, path, body);
            answer.filter(|(status, _)| *status == 200).map(|(_, body)| body)
        })
    }

    /// Whether the leader says that a request waits for an upstream.
    pub(crate) fn is_waiting(&self) -> bool {
        self.metrics().any(|page| page.lines().any(|l| l == "toucansill_streams_waiting 1"))
    }

    /// Waits until a leader hears exactly this many members.
    pub(crate) fn await_members(&self, count: usize) {
        self.await_group(count, count);
    }

    /// Waits until a leader has this many members and hears so many of them.
    pub(crate) fn await_group(&self, members: usize, heard: usize) {
        eventually("members", || self.is_group(members, heard).then_some(()));
    }

    /// Whether a leader has this many members and hears so many of them.
    pub(crate) fn is_group(&self, members: usize, heard: usize) -> bool {
        let expected = [
            format!("toucansill_group_members {members}"),
            format!("toucansill_group_members_heard {heard}"),
        ];
        let is_expected =
            |page: &String| expected.iter().all(|line| page.lines().any(|l| l == line));
        self.metrics().any(|page| is_expected(&page))
    }

    fn metrics(&self) -> impl Iterator<Item = String> {
        const HEAD: &str = "GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n";
        self.places.iter().filter_map(|place| {
            let address = format!("{}:{}", place.ip, self.base_port + 4);
            exchange(&address, HEAD).map(|(_, page)| page)
        })
    }

    /// Sends a request of a caller to the entry.
    pub(crate) fn request(&self, path: &str) -> Option<(u16, String)> {
        self.request_of(path, 1_000)
    }

    /// The same with a prompt of so many tokens.
    pub(crate) fn request_of(&self, path: &str, prompt: u64) -> Option<(u16, String)> {
        let address = self.callers_address(self.entry());
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        exchange(
            &address,
            &format!(
                "POST {path} HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n{}Content-Length: 2\r\n\r\nhi",
                caller_headers_for(&format!("r{attempt}"), 30_000, prompt)
            ),
        )
    }

    fn data_folder(&self, i: usize) -> PathBuf {
        self.dir.path().join(&self.places[i].name)
    }

    fn settings(&self, i: usize, founds_group: bool) -> String {
        let Place { ip, name, is_control } = &self.places[i];
        let port = self.base_port;
        let seeds = self.places[..self.seeds].iter();
        let seeds: Vec<String> = seeds.map(|p| format!("'{}:{}'", p.ip, port + 1)).collect();
        let part = if *is_control {
            format!(
                "control: {{listen: '{ip}:{}', data_folder: '{}', founds_group: {founds_group}, \
                 tolerated_losses: {}}}",
                port + 1,
                self.data_folder(i).display(),
                (self.controls - 1) / 2
            )
        } else {
            format!(
                "entry: {{callers: '{ip}:{}', readiness: '{ip}:{}', max_connections: 64}}",
                port + 2,
                port + 3
            )
        };
        format!(
            "daemon: {name}\ndata_centre: dc-1\nlinks: '{ip}:{port}'\nmetrics: '{ip}:{}'\n\
             seeds: [{}]\n{part}\nbounds: {{stop_ms: 4000}}\n",
            port + 4,
            seeds.join(", ")
        )
    }
}

impl Drop for Region {
    fn drop(&mut self) {
        self.kill_all();
    }
}

/// Waits until `look` finds something.
pub(crate) fn eventually<T>(what: &str, look: impl FnMut() -> Option<T>) -> T {
    let mut look = look;
    let start = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(start.elapsed() < PATIENCE, "not in time: {what}");
        thread::sleep(PAUSE);
    }
}

/// Sends one request on a connection of its own: status and body, or nothing.
pub(crate) fn exchange(address: &str, request: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.split(' ').nth(1)?.parse().ok()?, body.to_owned()))
}

/// Loopback addresses and ports that nobody else uses: the process id makes the addresses
/// its own, and the system names a free port below which five are tried.
fn free_subnet() -> ((u8, u8), u16) {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let turn = NEXT.fetch_add(1, Ordering::Relaxed);
    let id = u64::from(std::process::id()) * 8 + turn;
    let subnet = (1 + (id / 250 % 250) as u8, 1 + (id % 250) as u8);
    let ip = format!("127.{}.{}.1", subnet.0, subnet.1);
    let listener = TcpListener::bind((ip.as_str(), 0)).expect("a port");
    let port = listener.local_addr().expect("an address").port();
    (subnet, port.min(u16::MAX - 8))
}

/// A stand-in for an upstream. It answers every request with its name, echoes the
/// attempt's id and counts what it runs.
pub(crate) struct Upstream {
    pub(crate) address: SocketAddr,
    runs: Arc<Mutex<Vec<String>>>,
}

impl Upstream {
    pub(crate) fn start(name: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let runs = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&runs);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let seen = Arc::clone(&seen);
                thread::spawn(move || answer(stream, name, &seen));
            }
        });
        Self { address, runs }
    }

    /// One that answers as `script` says, by the head and the body of a request, and closes
    /// the connection then.
    pub(crate) fn scripted(script: fn(&str, &str) -> String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let runs = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&runs);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let seen = Arc::clone(&seen);
                thread::spawn(move || follow(stream, script, &seen));
            }
        });
        Self { address, runs }
    }

    /// One that takes requests and never answers.
    pub(crate) fn silent() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let runs = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&runs);
        thread::spawn(move || {
            let mut kept = Vec::new();
            for stream in listener.incoming().flatten() {
                seen.lock().expect("not poisoned").push(String::new());
                kept.push(stream);
            }
        });
        Self { address, runs }
    }

    /// Ids of the attempts that it ran, or all heads and bodies if it is scripted.
    pub(crate) fn runs(&self) -> Vec<String> {
        self.runs.lock().expect("not poisoned").clone()
    }

    /// What it says of itself.
    pub(crate) fn statement(&self, service: &str, sequence: u64, state: &str) -> String {
        self.statement_at(self.address, service, sequence, state)
    }

    /// What it says of itself behind another address.
    pub(crate) fn statement_at(
        &self,
        address: SocketAddr,
        service: &str,
        sequence: u64,
        state: &str,
    ) -> String {
        registration_body(address, service, sequence, state)
    }
}

/// Head and body of a request; nothing if the connection ends within it.
fn read_request(stream: &TcpStream) -> Option<(String, String)> {
    let mut rx = BufReader::new(stream.try_clone().ok()?);
    let (mut head, mut length) = (String::new(), 0);
    let mut line = String::new();
    while rx.read_line(&mut line).is_ok_and(|n| n > 0) && line != "\r\n" {
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
        head.push_str(&line);
        line.clear();
    }
    let mut body = vec![0; length];
    let is_whole = line == "\r\n" && rx.read_exact(&mut body).is_ok();
    is_whole.then(|| (head, String::from_utf8_lossy(&body).into_owned()))
}

fn follow(mut stream: TcpStream, script: fn(&str, &str) -> String, seen: &Mutex<Vec<String>>) {
    let Some((head, body)) = read_request(&stream) else { return };
    let answer = script(&head, &body);
    seen.lock().expect("not poisoned").push(format!("{head}\r\n{body}"));
    // A caller that has left needs no answer.
    let _ = stream.write_all(answer.as_bytes());
}

fn answer(mut stream: TcpStream, name: &str, runs: &Mutex<Vec<String>>) {
    let Some((head, _)) = read_request(&stream) else { return };
    let attempt = head.lines().find_map(parse_attempt_id).unwrap_or_default().to_owned();
    runs.lock().expect("not poisoned").push(attempt.clone());
    let body = format!("{name} {attempt}");
    let answer = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{body}",
        response_headers(&attempt),
        body.len()
    );
    // A caller that has left needs no answer.
    let _ = stream.write_all(answer.as_bytes());
}
