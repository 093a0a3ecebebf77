//! A small deployment on loopback addresses: the daemons as separate processes, and stand-ins of an
//! operator, replicas and clients that follow the pages of the platform.
//!
//! Each machine has an address of its own in 127.0.0.0/8, as the daemons use the same ports everywhere.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const CONTROL_PORT: u16 = 8229;
pub const LINK_PORT: u16 = 7340;
pub const RELAY_PORT: u16 = 7341;
pub const FRONT_PORT: u16 = 8227;
pub const READY_PORT: u16 = 8220;
pub const METRICS_PORT: u16 = 9464;
pub const REPLICA_PORT: u16 = 8080;
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Exit status of a case that could not run.
pub const NOT_RUN: i32 = 2;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Path or header of the platform, by its name in `messages/names.txt`.
pub fn name_of(key: &str) -> &'static str {
    let mut names = include_str!("messages/names.txt").lines().filter_map(|l| l.split_once(' '));
    names.find(|(name, _)| *name == key).map_or("", |(_, value)| value)
}

/// A message with its placeholders filled in.
pub fn filled(template: &str, values: &[(&str, &str)]) -> String {
    let fill =
        |text: String, (name, value): &(&str, &str)| text.replace(&format!("{{{name}}}"), value);
    values.iter().fold(template.trim().to_owned(), fill)
}

/// Lines of `record.txt`, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    f: Arc<Mutex<File>>,
    pub started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let f = File::create(path).unwrap_or_else(|err| {
            eprintln!("{path}: {err}");
            exit(NOT_RUN)
        });
        Self { f: Arc::new(Mutex::new(f)), started: Instant::now() }
    }

    pub fn at(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn say(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3}  {}\n", self.at(), text.as_ref());
        let _ = self.f.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Status, headers and body of a response.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body came whole.
    pub is_whole: bool,
}

/// Reads one message's head: its first line and its headers, with names in lower case. The bytes after it
/// stay in `buf`.
pub fn read_head(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> io::Result<Option<(String, BTreeMap<String, String>)>> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head: Vec<u8> = buf.drain(..end + 4).collect();
            let text = String::from_utf8_lossy(&head[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers =
                headers.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
            return Ok(Some((first, headers.collect())));
        }
        let mut chunk = [0; 16 << 10];
        match stream.read(&mut chunk)? {
            0 if buf.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => buf.extend_from_slice(&chunk[..n]),
        }
    }
}

/// Reads a body as the headers state its length. Returns whether it is whole.
pub fn read_body(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    headers: &BTreeMap<String, String>,
    until_close: bool,
) -> (Vec<u8>, bool) {
    let mut more = |buf: &mut Vec<u8>| {
        let mut chunk = [0; 16 << 10];
        match stream.read(&mut chunk) {
            Ok(0) => Ok(false),
            Ok(n) => {
                buf.extend_from_slice(&chunk[..n]);
                Ok(true)
            }
            Err(err) => Err(err),
        }
    };
    if headers.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = buf.windows(2).position(|w| w == b"\r\n") {
                    break end;
                }
                if !matches!(more(buf), Ok(true)) {
                    return (body, false);
                }
            };
            let size = String::from_utf8_lossy(&buf[..end]).into_owned();
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return (body, false) };
            while buf.len() < end + 2 + size + 2 {
                if !matches!(more(buf), Ok(true)) {
                    return (body, false);
                }
            }
            body.extend_from_slice(&buf[end + 2..end + 2 + size]);
            buf.drain(..end + 2 + size + 2);
            if size == 0 {
                return (body, true);
            }
        }
    }
    if let Some(length) = headers.get("content-length").and_then(|v| v.parse::<usize>().ok()) {
        while buf.len() < length {
            if !matches!(more(buf), Ok(true)) {
                return (std::mem::take(buf), false);
            }
        }
        return (buf.drain(..length).collect(), true);
    }
    if !until_close {
        return (Vec::new(), true);
    }
    loop {
        match more(buf) {
            Ok(true) => {}
            Ok(false) => return (std::mem::take(buf), true),
            Err(_) => return (std::mem::take(buf), false),
        }
    }
}

/// Sends one request on a new connection and reads its response, within `limit` in all.
pub fn exchange(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, limit.min(ms(1_000)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" || method == "PUT" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_answer(&mut stream)
}

pub fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut buf = Vec::new();
    let Some((first, headers)) = read_head(stream, &mut buf)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let (body, is_whole) = read_body(stream, &mut buf, &headers, true);
    Ok(Answer { status, headers, body, is_whole })
}

/// One daemon, as a process of its own.
pub struct Daemon {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    is_entry: bool,
    child: Option<Child>,
}

impl Daemon {
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }

    pub fn signal(&self, name: &str) {
        let pid = self.pid();
        if pid != 0 {
            let _ = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status();
        }
    }
}

pub struct Fleet {
    pub record: Record,
    pub core: Vec<Daemon>,
    pub entries: Vec<Daemon>,
    net: (u8, u8),
    dir: PathBuf,
    program: String,
    tolerated: usize,
}

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

impl Fleet {
    /// Starts five members of the control group and `entries` entry daemons, with empty disks. The machines
    /// of `core` beyond five are spare.
    pub fn start(record: &Record, core: usize, entries: usize) -> Self {
        let program = String::from("target/release/toucansilld");
        if !PathBuf::from(&program).exists() {
            record.say("the daemon isn't built");
            exit(NOT_RUN);
        }
        let net = free_net();
        watch_time();
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let daemon = |i: usize, is_entry: bool| Daemon {
            name: format!("{}-{i}", if is_entry { "entry" } else { "core" }),
            ip: Ipv4Addr::new(127, net.0, net.1, (if is_entry { 50 } else { 10 }) + i as u8),
            zone: ZONES[i % 3].to_owned(),
            is_entry,
            child: None,
        };
        let mut fleet = Self {
            record: record.clone(),
            core: (0..core).map(|i| daemon(i, false)).collect(),
            entries: (0..entries).map(|i| daemon(i, true)).collect(),
            net,
            dir,
            program,
            tolerated: 2,
        };
        for i in 0..core.min(5) {
            fleet.start_core(i, true);
        }
        for i in 0..entries {
            fleet.start_entry(i);
        }
        fleet
    }

    pub fn start_core(&mut self, i: usize, is_first: bool) {
        self.spawn(false, i, is_first);
    }

    pub fn start_entry(&mut self, i: usize) {
        self.spawn(true, i, true);
    }

    fn spawn(&mut self, is_entry: bool, i: usize, is_first: bool) {
        let seeds: Vec<String> =
            self.core.iter().take(3).map(|d| format!("\"{}\"", d.at(CONTROL_PORT))).collect();
        let seeds = seeds.join(",");
        let daemons = if is_entry { &mut self.entries } else { &mut self.core };
        let d = &mut daemons[i];
        let (ip, name) = (d.ip, d.name.clone());
        // deploy/settings.yaml, filled in.
        let mut text = format!(
            "daemon: \"{name}\"\ndata_centre: \"{}\"\nlinks: \"{ip}:{LINK_PORT}\"\n\
             metrics: \"{ip}:{METRICS_PORT}\"\nseeds: [{seeds}]\n",
            d.zone
        );
        if is_entry {
            text += &format!(
                "entry:\n  callers: \"{ip}:{FRONT_PORT}\"\n  readiness: \"{ip}:{READY_PORT}\"\n  \
                 relay: \"{ip}:{RELAY_PORT}\"\n  max_connections: 1800\n  memory_mb: 260\n"
            );
        } else {
            let data = self.dir.join(format!("{name}-data"));
            fs::create_dir_all(&data).expect("a data folder");
            text += &format!(
                "control:\n  listen: \"{ip}:{CONTROL_PORT}\"\n  data_folder: \"{}\"\n  \
                 founds_group: {is_first}\n  tolerated_losses: {}\n",
                data.display(),
                self.tolerated
            );
        }
        text += "bounds:\n  registration_interval_ms: 1200\n  stop_ms: 8e3\n  apply_ms: 2000\n  \
                 retry_ratio: 0.2\n  retry_slack: 100\n  recover_ms: 12e3\n";
        let path = self.dir.join(format!("{name}.yaml"));
        fs::write(&path, text).expect("a settings file");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.log")))
            .expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new(&self.program)
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => {
                PIDS.lock().unwrap().push(child.id());
                d.child = Some(child);
            }
            Err(err) => {
                self.record.say(format!("{name} not started: {err}"));
                self.end(NOT_RUN);
            }
        }
    }

    /// Kills a daemon and waits for its end.
    pub fn kill(&mut self, is_entry: bool, i: usize) {
        let daemons = if is_entry { &mut self.entries } else { &mut self.core };
        if let Some(mut child) = daemons[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            PIDS.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    /// Takes the disk of a member whose process has ended.
    pub fn wipe(&self, i: usize) {
        let _ = fs::remove_dir_all(self.dir.join(format!("{}-data", self.core[i].name)));
    }

    /// Waits until a member logs a line with `text`.
    pub fn await_log(&self, i: usize, text: &str, limit: Duration) -> bool {
        let path = self.dir.join(format!("{}.log", self.core[i].name));
        let since = Instant::now();
        while since.elapsed() < limit {
            if fs::read_to_string(&path).is_ok_and(|log| log.contains(text)) {
                return true;
            }
            thread::sleep(ms(2));
        }
        false
    }

    /// Whether the process of a daemon has ended by itself.
    pub fn has_ended(&mut self, is_entry: bool, i: usize) -> bool {
        let daemons = if is_entry { &mut self.entries } else { &mut self.core };
        daemons[i].child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.core.iter().map(|d| d.at(CONTROL_PORT)).collect()
    }

    /// Address of replica `n`.
    pub fn replica_address(&self, n: u8) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::new(127, self.net.0, self.net.1, 100 + n).into(), REPLICA_PORT)
    }

    /// Member that leads, by its own metrics.
    pub fn leader(&self) -> Option<usize> {
        let leads = |d: &Daemon| {
            let metrics = exchange(d.at(METRICS_PORT), "GET", "/metrics", &[], &[], ms(500));
            let text = metrics.map(|a| String::from_utf8_lossy(&a.body).into_owned());
            let text = text.unwrap_or_default();
            let line = text.lines().find(|l| l.starts_with("toucansill_group_members "));
            line.and_then(|l| l.split(' ').nth(1)?.parse::<f64>().ok()).is_some_and(|n| n > 0.0)
        };
        self.core.iter().position(leads)
    }

    /// Waits until an entry says that it is ready.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let since = Instant::now();
        let is_ready = |d: &Daemon| {
            let answer = exchange(d.at(READY_PORT), "GET", name_of("ready"), &[], &[], ms(500));
            answer.is_ok_and(|a| a.status == 200)
        };
        while since.elapsed() < limit {
            if self.entries.iter().all(is_ready) {
                return true;
            }
            thread::sleep(ms(50));
        }
        false
    }

    /// Ends all processes and exits.
    pub fn end(&mut self, status: i32) -> ! {
        for d in self.core.iter_mut().chain(&mut self.entries) {
            d.signal("CONT");
            if let Some(mut child) = d.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("{}", self.dir.display());
        }
        exit(status)
    }
}

/// Longest run of a case.
const MAX_RUN: Duration = Duration::from_secs(114);

/// Processes that were started and have not been ended.
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes, and the case as one that could not run.
fn give_up(reason: &str) -> ! {
    eprintln!("{reason}");
    for pid in PIDS.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
    exit(NOT_RUN)
}

/// Gives up if the case takes too long.
fn watch_time() {
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        give_up("the case took too long")
    });
}

/// A /24 of loopback addresses on which the ports are free.
fn free_net() -> (u8, u8) {
    let seed = std::process::id() as u64 * 7_919
        + SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.subsec_nanos() as u64);
    for i in 0..200u64 {
        let n = seed.wrapping_add(i.wrapping_mul(104_729));
        let net = ((n % 200 + 20) as u8, ((n / 200) % 250 + 2) as u8);
        let ports = [CONTROL_PORT, LINK_PORT, FRONT_PORT, METRICS_PORT, REPLICA_PORT, READY_PORT];
        let is_free = ports
            .iter()
            .all(|port| TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, 10), *port)).is_ok());
        if is_free {
            return net;
        }
    }
    eprintln!("no free loopback addresses");
    exit(NOT_RUN)
}

/// Makes one call as an operator or a replica does: to one daemon after the other, a second each, until
/// there is a clear response. Returns the status.
pub fn call(
    record: &Record,
    who: &str,
    daemons: &[SocketAddr],
    method: &str,
    path: &str,
    body: &[u8],
) -> u16 {
    let mut pause = ms(50);
    for to in daemons.iter().cycle().take(40) {
        record.say(format!("{who}: {method} {path} to {to}"));
        let headers = [("Content-Type", String::from("application/json"))];
        match exchange(*to, method, path, &headers, body, ms(1_000)) {
            Ok(a) if a.status < 500 && a.status != 408 && a.status != 429 => {
                record.say(format!("{who}: {method} {path} answered {} by {to}", a.status));
                return a.status;
            }
            Ok(a) => record.say(format!("{who}: {method} {path} got {} of {to}", a.status)),
            Err(err) => record.say(format!("{who}: {method} {path} no answer of {to}: {err}")),
        }
        thread::sleep(pause);
        pause = (pause * 2).min(ms(500));
    }
    0
}

pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// A request that reached a replica and was run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub replica: String,
    pub zone: String,
    pub attempt: String,
    /// Value of `Tenant`, if there was one.
    pub tenant: Option<String>,
}

/// A replica of a plain service.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub born: u64,
    pub work: Duration,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub is_up: Arc<AtomicBool>,
    pub is_draining: Arc<AtomicBool>,
    pub beats: Arc<AtomicBool>,
    pub sequence: Arc<AtomicU64>,
}

impl Replica {
    pub fn new(id: &str, service: &str, zone: &str, address: SocketAddr) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots: 6,
            born: now_ms(),
            work: ms(20),
            runs: Arc::default(),
            is_up: Arc::new(AtomicBool::new(true)),
            is_draining: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            sequence: Arc::default(),
        }
    }

    pub fn beat_body(&self) -> Vec<u8> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        self.beat_of(&self.service, "\"v1\"", sequence)
    }

    /// Heartbeat for this replica that states another service, version or sequence number.
    pub fn beat_of(&self, service: &str, version: &str, sequence: u64) -> Vec<u8> {
        let state = if self.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let body = filled(
            include_str!("messages/beat.json"),
            &[
                ("service", service),
                ("address", &self.address.to_string()),
                ("zone", &self.zone),
                ("version", version),
                ("slots", &self.slots.to_string()),
                ("state", state),
                ("sequence", &sequence.to_string()),
                ("born", &self.born.to_string()),
            ],
        );
        body.into_bytes()
    }

    pub fn beat_path(&self) -> String {
        format!("{}{}", name_of("replicas"), self.id)
    }

    /// Serves requests and sends heartbeats, starting with the daemon `first`, until the process ends.
    pub fn start(&self, record: &Record, daemons: Vec<SocketAddr>, first: usize) {
        let listener = TcpListener::bind(self.address)
            .unwrap_or_else(|err| give_up(&format!("{}: {err}", self.address)));
        listener.set_nonblocking(true).expect("a listener");
        let server = self.clone();
        let to = record.clone();
        thread::spawn(move || {
            // The listener is closed when the replica ends.
            while server.is_up.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ms(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let (server, record) = (server.clone(), to.clone());
                thread::spawn(move || server.serve(stream, &record));
            }
        });
        let beater = self.clone();
        thread::spawn(move || {
            let mut next = first;
            while beater.is_up.load(Ordering::Relaxed) {
                if beater.beats.load(Ordering::Relaxed) {
                    let headers = [("Content-Type", String::from("application/json"))];
                    let (path, body) = (beater.beat_path(), beater.beat_body());
                    let to = daemons[next % daemons.len()];
                    let answer = exchange(to, "PUT", &path, &headers, &body, ms(1_000));
                    if !answer.is_ok_and(|a| (200..300).contains(&a.status)) {
                        next += 1;
                        thread::sleep(ms(50));
                        continue;
                    }
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Ends the replica without a word to anyone.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::Relaxed);
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Ok(Some((first, headers))) = read_head(&mut stream, &mut buf) {
            let (_, is_whole) = read_body(&mut stream, &mut buf, &headers, false);
            if !is_whole {
                return;
            }
            let path = first.split(' ').nth(1).unwrap_or_default();
            let header = |name: &str| headers.get(&name_of(name).to_ascii_lowercase());
            let id = header("id").cloned().unwrap_or_default();
            let expected = header("instance");
            let id_line = format!("{}: {id}\r\n", name_of("id"));
            let answer = if path == "/healthz" {
                format!("HTTP/1.1 200 OK\r\nReplica-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id)
            } else if expected.is_some_and(|e| *e != self.id) {
                let not_run = name_of("not-run");
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\n{id_line}{not_run}: 1\r\n\
                     Content-Length: 0\r\n\r\n"
                )
            } else {
                let tenant = headers.get("tenant").map(|t| format!(" for {t}")).unwrap_or_default();
                record.say(format!("replica {} in {} runs {id}{tenant}", self.id, self.zone));
                let run = Run {
                    at: Instant::now(),
                    replica: self.id.clone(),
                    zone: self.zone.clone(),
                    attempt: id.clone(),
                    tenant: headers.get("tenant").cloned(),
                };
                self.runs.lock().unwrap().push(run);
                let until = Instant::now() + self.work;
                while Instant::now() < until && self.is_up.load(Ordering::Relaxed) {
                    thread::sleep(ms(5).min(self.work));
                }
                if !self.is_up.load(Ordering::Relaxed) {
                    // It has crashed: its connections close.
                    return;
                }
                let body = format!("{} ran {id}\n", self.id);
                let signature = name_of("signature");
                format!(
                    "HTTP/1.1 200 OK\r\n{id_line}{signature}: {}.{id}\r\nContent-Length: {}\r\n\r\n\
                     {body}",
                    self.id,
                    body.len()
                )
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// A route of a configuration, which needs no key.
pub fn route(name: &str, host: &str, prefix: &str, service: &str) -> String {
    filled(
        include_str!("messages/route.json"),
        &[("name", name), ("host", host), ("prefix", prefix), ("service", service)],
    )
}

/// A configuration of these routes and plain services.
pub fn configuration_of(version: u64, routes: &[String], services: &[&str]) -> Vec<u8> {
    let service = |name: &&str| filled(include_str!("messages/service.json"), &[("name", name)]);
    let services: Vec<String> = services.iter().map(service).collect();
    let body = filled(
        include_str!("messages/configuration.json"),
        &[
            ("version", &version.to_string()),
            ("routes", &routes.join(",")),
            ("services", &services.join(",")),
        ],
    );
    body.into_bytes()
}

/// A configuration with one plain service, `app`, and one route to it, `app.example/get/`.
pub fn configuration(version: u64) -> Vec<u8> {
    configuration_of(version, &[route("r-get", "app.example", "/get/", "app")], &["app"])
}

/// Requests of one kind, and what became of them.
#[derive(Clone)]
pub struct Traffic {
    pub name: &'static str,
    pub path: &'static str,
    pub headers: Vec<(&'static str, String)>,
    pub per_s: u64,
    /// When each request was sent, and the status of its answer, 0 without one.
    pub answers: Arc<Mutex<Vec<(Instant, u16)>>>,
}

impl Traffic {
    pub fn new(name: &'static str, path: &'static str, per_s: u64) -> Self {
        Self { name, path, headers: Vec::new(), per_s, answers: Arc::default() }
    }

    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sends requests to the entries in turn, each on a connection of its own, until `is_over`.
    pub fn start(&self, record: &Record, entries: Vec<SocketAddr>, is_over: Arc<AtomicBool>) {
        let (traffic, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            let traffic_per_s = traffic.per_s;
            for n in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let to = entries[n % entries.len()];
                let (traffic, record) = (traffic.clone(), record.clone());
                thread::spawn(move || traffic.send(&record, to, n));
                thread::sleep(ms(1_000 / traffic_per_s));
            }
        });
    }

    fn send(&self, record: &Record, to: SocketAddr, n: usize) {
        let id = format!("{}-{n:06}", self.name);
        let mut headers = vec![
            ("Host", String::from("app.example")),
            (name_of("id"), id.clone()),
            (name_of("deadline"), String::from("4000")),
        ];
        headers.extend(self.headers.iter().cloned());
        let sent = Instant::now();
        let status = match exchange(to, "GET", self.path, &headers, &[], ms(4_500)) {
            Ok(a) => {
                record.say(format!("client: {id} answered {}", a.status));
                a.status
            }
            Err(err) => {
                record.say(format!("client: {id} no answer: {err}"));
                0
            }
        };
        self.answers.lock().unwrap().push((sent, status));
    }

    /// Numbers of requests sent from `since` on, and of those answered with `status`.
    pub fn count(&self, since: Instant, status: u16) -> (usize, usize) {
        let answers = self.answers.lock().unwrap();
        let sent = answers.iter().filter(|(at, _)| *at >= since);
        (sent.clone().count(), sent.filter(|(_, s)| *s == status).count())
    }
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// A path to a daemon that can be cut: what is sent meanwhile is held up, and delivered in order once it
/// is whole again.
pub struct Path {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Path {
    pub fn start(address: SocketAddr, to: SocketAddr) -> Self {
        let listener =
            TcpListener::bind(address).unwrap_or_else(|err| give_up(&format!("{address}: {err}")));
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let cut = Arc::clone(&cut);
                thread::spawn(move || {
                    let Ok(far) = TcpStream::connect(to) else { return };
                    let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) else {
                        return;
                    };
                    let cut_2 = Arc::clone(&cut);
                    let back = thread::spawn(move || pass(far_2, near_2, &cut_2));
                    pass(near, far, &cut);
                    let _ = back.join();
                });
            }
        });
        Self { address, is_cut }
    }

    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

/// Time there and back of the path. After a cut, TCP sends what was lost first one packet at a time, the
/// next one when the one before it has been acknowledged.
const ROUND_TRIP: Duration = Duration::from_millis(6);

/// Passes bytes and the end of a connection on, as long as the path isn't cut.
fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut chunk = [0; 16 << 10];
    let mut was_cut = false;
    loop {
        let n = from.read(&mut chunk).unwrap_or(0);
        if was_cut {
            thread::sleep(ROUND_TRIP);
        }
        while is_cut.load(Ordering::SeqCst) {
            was_cut = true;
            thread::sleep(ms(2));
        }
        if n == 0 || to.write_all(&chunk[..n]).is_err() {
            let _ = to.shutdown(std::net::Shutdown::Write);
            return;
        }
    }
}
