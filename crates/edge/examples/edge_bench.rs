//! Measures the throughput, CPU time and memory of a [`Server`] whose handler responds at once.
//!
//! Run `cargo run --release -p edge --example edge_bench serve` in one terminal, and the same
//! command with `load ADDRESS` in another, where `ADDRESS` is the one that the first command
//! prints.

use edge::{ApiCall, CallerRequest, EdgeConfig, Result, Server};
use std::{
    env, fs,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use wire::Verdict;

/// Connections that send requests concurrently.
const CONNECTIONS: usize = 8;
/// Requests on each connection.
const REQUESTS_PER_CONNECTION: usize = 2000;
/// Events in a streamed response.
const TOKENS_PER_STREAM: usize = 20;
/// Streams that are open at once while memory is measured.
const OPEN_STREAMS: usize = 1000;
/// Prompt of about a thousand tokens.
const PROMPT_BYTES: usize = 4000;
/// Prompt of about a million tokens.
const LONG_PROMPT_BYTES: usize = 4_000_000;
/// Requests with the long prompt.
const LONG_REQUESTS: usize = 10;
/// Unit of the CPU times in `/proc/self/stat` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    match args.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["serve"] => serve(),
        ["load", address] => load(address.parse().expect("address")),
        _ => eprintln!("usage: edge_bench serve | edge_bench load ADDRESS"),
    }
}

fn serve() {
    let cfg = EdgeConfig::new(SocketAddr::from(([127, 0, 0, 1], 0)));
    let server = Server::start(cfg, Arc::new(|req| drop(handle(req)))).expect("start");
    println!("{}", server.address());
    loop {
        thread::park();
    }
}

fn handle(req: CallerRequest) -> Result<()> {
    match req.path.as_str() {
        "/cpu" => return req.response.json(200, cpu_seconds().to_string(), Verdict::Ran),
        "/memory" => return req.response.json(200, resident_kb().to_string(), Verdict::Ran),
        "/hold" => return hold_stream(req),
        _ => (),
    }
    match ApiCall::parse(&req) {
        Ok(ApiCall::Chat(call)) if call.stream => {
            let stream = req.response.stream()?;
            (0..TOKENS_PER_STREAM)
                .try_for_each(|_| stream.send(r#"{"choices":[{"delta":"token"}]}"#))?;
            stream.finish()
        }
        Ok(_) => req.response.json(200, "{}", Verdict::Ran),
        Err(e) => req.response.error(e),
    }
}

/// Keeps a stream open, and its worker busy, until the caller disconnects.
fn hold_stream(req: CallerRequest) -> Result<()> {
    let stream = req.response.stream()?;
    stream.send("held")?;
    let (tx, disconnected) = flume::bounded::<()>(1);
    stream.on_cancel(move || drop(tx));
    let _ = disconnected.recv();
    Ok(())
}

/// Resident memory of this process, in KB.
fn resident_kb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok()).unwrap_or_default()
}

/// User and system CPU time of this process.
fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> =
        after_name.split_whitespace().map(|f| f.parse().unwrap_or_default()).collect();
    // User and system time are fields 14 and 15. The fields here start after field 2, the name.
    fields.get(11..13).map_or(0.0, |t| t.iter().sum::<f64>() / TICKS_PER_SECOND)
}

fn load(address: SocketAddr) {
    measure("unary, 1k tokens", address, PROMPT_BYTES, false, CONNECTIONS, REQUESTS_PER_CONNECTION);
    measure(
        "streamed 20 tokens, 1k tokens",
        address,
        PROMPT_BYTES,
        true,
        CONNECTIONS,
        REQUESTS_PER_CONNECTION,
    );
    measure_memory(address);
    measure("unary, 1M tokens", address, LONG_PROMPT_BYTES, false, 1, LONG_REQUESTS);
}

/// Sends `requests` requests on each connection, and prints the throughput and the server's CPU
/// time for each request.
fn measure(
    label: &str,
    address: SocketAddr,
    prompt_bytes: usize,
    stream: bool,
    connections: usize,
    requests: usize,
) {
    let text = "word ".repeat(prompt_bytes / 5);
    let body = format!(
        r#"{{"model":"m","stream":{stream},"messages":[{{"role":"user","content":"{text}"}}]}}"#
    );
    let cpu_before = read_server_metric(address, "cpu");
    let started = Instant::now();
    thread::scope(|scope| {
        for _ in 0..connections {
            scope.spawn(|| send_all(address, &body, requests));
        }
    });
    let elapsed = started.elapsed();
    let total = (connections * requests) as f64;
    let cpu = Duration::from_secs_f64((read_server_metric(address, "cpu") - cpu_before) / total);
    println!("{label}: {:.0} requests/s, {cpu:?} CPU per request", total / elapsed.as_secs_f64());
}

/// Prints the server's memory for each open stream.
fn measure_memory(address: SocketAddr) {
    let before = read_server_metric(address, "memory");
    let streams: Vec<_> = (0..OPEN_STREAMS).map(|_| open_held_stream(address)).collect();
    let kb = (read_server_metric(address, "memory") - before) / streams.len() as f64;
    println!("memory of an open stream: {kb:.1} KB");
}

/// Opens a stream that stays open, and reads its first event.
fn open_held_stream(address: SocketAddr) -> BufReader<TcpStream> {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.write_all(b"GET /hold HTTP/1.1\r\nHost: x\r\n\r\n").expect("head");
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    while line.trim() != "data: held" {
        line.clear();
        reader.read_line(&mut line).expect("event");
    }
    reader
}

/// Reads a metric of the server process, `cpu` in seconds or `memory` in KB.
fn read_server_metric(address: SocketAddr, name: &str) -> f64 {
    let url = format!("http://{address}/{name}");
    let res = minreq::get(url).send().expect(name);
    res.as_str().ok().and_then(|s| s.parse().ok()).expect("figure")
}

/// Sends requests on one connection, each after the response to the previous one.
fn send_all(address: SocketAddr, body: &str, requests: usize) {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.set_nodelay(true).expect("nodelay");
    let mut reader = BufReader::new(stream.try_clone().expect("clone"));
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    for _ in 0..requests {
        stream.write_all(head.as_bytes()).expect("head");
        stream.write_all(body.as_bytes()).expect("body");
        read_response(&mut reader);
    }
}

/// Reads a response to its end.
fn read_response(reader: &mut BufReader<TcpStream>) {
    let mut length = None;
    let mut line = String::new();
    loop {
        line.clear();
        reader.read_line(&mut line).expect("header");
        let header = line.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(n) = header.strip_prefix("content-length:") {
            length = n.trim().parse::<usize>().ok();
        }
    }
    match length {
        Some(n) => {
            let mut body = vec![0; n];
            reader.read_exact(&mut body).expect("body");
        }
        None => while read_chunk(reader) > 0 {},
    }
}

/// Reads one chunk and returns its length, 0 for the last one.
fn read_chunk(reader: &mut BufReader<TcpStream>) -> usize {
    let mut line = String::new();
    reader.read_line(&mut line).expect("chunk size");
    let size = usize::from_str_radix(line.trim(), 16).expect("size");
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).expect("chunk");
    size
}
