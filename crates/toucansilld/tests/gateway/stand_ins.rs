//! Upstreams that tests simulate.

use platform::stand_in::{parse_request_id, registration_body, response_header_lines};
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Requests that an upstream has run, with the time at which it began to.
type Runs = Arc<Mutex<Vec<(Instant, String)>>>;

fn record(runs: &Runs, run: String) {
    runs.lock().expect("not poisoned").push((Instant::now(), run));
}

/// Script of an upstream that responds to every request with a stream of one event.
pub(crate) fn one_event(head: &str, _: &str) -> String {
    let attempt = head.lines().find_map(parse_request_id).unwrap_or_default();
    let event = "id: 1\ndata: x\n\n";
    format!(
        "HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{event}",
        response_header_lines(attempt),
        event.len()
    )
}

/// What an upstream that may crash does with a request.
pub(crate) enum Reaction {
    /// It sends this response.
    Respond(String),
    /// It crashes, and its connections are closed.
    Crash,
    /// It crashes, and its connections stay open.
    FallSilent,
    /// It sends the first part, and the second one after this pause.
    Pause(String, Duration, String),
    /// It sends this, and then bytes that never end an event, with this pause between two writes,
    /// until the connection is closed. Then it records `flooded N` with the number of bytes.
    Flood(String, Duration),
}

/// Simulated upstream, which records the requests that it runs.
pub(crate) struct Upstream {
    pub(crate) address: SocketAddr,
    runs: Runs,
}

impl Upstream {
    /// Starts an upstream that responds to every request with its name and the attempt's id. At a
    /// request with the body `crash` it closes the connection instead.
    pub(crate) fn start(name: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let runs = Runs::default();
        let seen = Arc::clone(&runs);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let seen = Arc::clone(&seen);
                thread::spawn(move || respond(stream, name, &seen));
            }
        });
        Self { address, runs }
    }

    /// Starts an upstream whose responses `script` creates from the head and the body of a request.
    /// It closes the connection after each.
    pub(crate) fn scripted(script: impl Fn(&str, &str) -> String + Send + Sync + 'static) -> Self {
        let script = Arc::new(script);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let runs = Runs::default();
        let seen = Arc::clone(&runs);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (seen, script) = (Arc::clone(&seen), Arc::clone(&script));
                thread::spawn(move || respond_by_script(stream, &*script, &seen));
            }
        });
        Self { address, runs }
    }

    /// Starts an upstream that reacts as `react` says of the head and the body of a request, to one
    /// after the other. If it crashes, it neither responds nor accepts connections any more.
    pub(crate) fn crashing(react: fn(&str, &str) -> Reaction) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let runs = Runs::default();
        let seen = Arc::clone(&runs);
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let Some((head, body)) = read_request(&stream) else { continue };
                record(&seen, format!("{head}\r\n{body}"));
                match react(&head, &body) {
                    // A failure means that the caller has disconnected and needs no response.
                    Reaction::Respond(response) => drop(stream.write_all(response.as_bytes())),
                    Reaction::Pause(first, pause, second) => {
                        drop(stream.write_all(first.as_bytes()));
                        thread::sleep(pause);
                        drop(stream.write_all(second.as_bytes()));
                    }
                    Reaction::Crash => return,
                    Reaction::Flood(start, pause) => {
                        let count = flood(&mut stream, &start, pause);
                        record(&seen, format!("flooded {count}"));
                    }
                    Reaction::FallSilent => {
                        drop(listener);
                        thread::park();
                        return;
                    }
                }
            }
        });
        Self { address, runs }
    }

    /// Starts an upstream that accepts connections and never responds.
    pub(crate) fn silent() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let runs = Runs::default();
        let seen = Arc::clone(&runs);
        thread::spawn(move || {
            let mut connections = Vec::new();
            for stream in listener.incoming().flatten() {
                record(&seen, String::new());
                connections.push(stream);
            }
        });
        Self { address, runs }
    }

    /// Ids of the attempts that it ran; if it is scripted or may crash, heads and bodies of all
    /// requests; if it is silent, an empty text for each connection.
    pub(crate) fn runs(&self) -> Vec<String> {
        self.timed_runs().into_iter().map(|(_, run)| run).collect()
    }

    /// Like [`runs`](Self::runs), with the time at which each began.
    pub(crate) fn timed_runs(&self) -> Vec<(Instant, String)> {
        self.runs.lock().expect("not poisoned").clone()
    }

    /// Its registration, as a JSON body.
    pub(crate) fn registration(&self, service: &str, sequence: u64, state: &str) -> String {
        registration_body(self.address, service, 1, sequence, state)
    }
}

/// Writes `start` and then bytes that never end an event until the connection is closed. Returns the
/// number of bytes written.
fn flood(stream: &mut TcpStream, start: &str, pause: Duration) -> usize {
    let rest: &[u8] = if pause.is_zero() { &[b'x'; 64 << 10] } else { b"x" };
    let mut count = 0;
    let mut next = start.as_bytes();
    while stream.write_all(next).is_ok() {
        count += next.len();
        next = rest;
        thread::sleep(pause);
    }
    count
}

/// Reads head and body of a request; `None` if the connection ends within it.
pub(crate) fn read_request(stream: &TcpStream) -> Option<(String, String)> {
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

/// Serves one connection by a script.
fn respond_by_script(mut stream: TcpStream, script: &impl Fn(&str, &str) -> String, seen: &Runs) {
    let Some((head, body)) = read_request(&stream) else { return };
    let response = script(&head, &body);
    record(seen, format!("{head}\r\n{body}"));
    // A failure means that the caller has disconnected and needs no response.
    let _ = stream.write_all(response.as_bytes());
}

/// Serves one connection. A request counts as run only once it was received whole.
fn respond(mut stream: TcpStream, name: &str, runs: &Runs) {
    let Some((head, body)) = read_request(&stream) else { return };
    let attempt = head.lines().find_map(parse_request_id).unwrap_or_default().to_owned();
    record(runs, attempt.clone());
    if body == "crash" {
        return;
    }
    let body = format!("{name} {attempt}");
    let response = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{body}",
        response_header_lines(&attempt),
        body.len()
    );
    // A failure means that the caller has disconnected and needs no response.
    let _ = stream.write_all(response.as_bytes());
}
