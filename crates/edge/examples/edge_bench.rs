//! Measures the edge alone, with a handler that answers at once.
//!
//! In one terminal `cargo run --release -p edge --example edge_bench serve`,
//! in another the same with `load` and the address that the first one prints.

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

const CONNECTIONS: usize = 8;
const REQUESTS: usize = 2000;
const TOKENS: usize = 20;
/// Streams that are open at once.
const HELD: usize = 1000;
/// Prompt of about a thousand tokens.
const PROMPT_BYTES: usize = 4000;
/// Prompt of about a million tokens.
const LONG_PROMPT_BYTES: usize = 4_000_000;
const LONG_REQUESTS: usize = 10;
/// Processor time unit of `/proc/self/stat` on Linux.
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
        "/cpu" => return req.reply.json(200, cpu_seconds().to_string(), Verdict::Ran),
        "/memory" => return req.reply.json(200, resident_kb().to_string(), Verdict::Ran),
        "/hold" => return hold(req),
        _ => (),
    }
    match ApiCall::parse(&req) {
        Ok(ApiCall::Chat(call)) if call.stream => {
            let stream = req.reply.stream()?;
            (0..TOKENS).try_for_each(|_| stream.send(r#"{"choices":[{"delta":"token"}]}"#))?;
            stream.finish()
        }
        Ok(_) => req.reply.json(200, "{}", Verdict::Ran),
        Err(e) => req.reply.error(e),
    }
}

/// Keeps a stream open, and its worker busy, until the caller leaves.
fn hold(req: CallerRequest) -> Result<()> {
    let stream = req.reply.stream()?;
    stream.send("held")?;
    let (tx, gone) = flume::bounded::<()>(1);
    stream.on_cancel(move || drop(tx));
    let _ = gone.recv();
    Ok(())
}

fn resident_kb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok()).unwrap_or_default()
}

fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> =
        after_name.split_whitespace().map(|f| f.parse().unwrap_or_default()).collect();
    // User and system time are fields 14 and 15; the name is field 2.
    fields.get(11..13).map_or(0.0, |t| t.iter().sum::<f64>() / TICKS_PER_SECOND)
}

fn load(address: SocketAddr) {
    measure("unary, 1k tokens", address, PROMPT_BYTES, false, CONNECTIONS, REQUESTS);
    measure("streamed 20 tokens, 1k tokens", address, PROMPT_BYTES, true, CONNECTIONS, REQUESTS);
    measure_memory(address);
    measure("unary, 1M tokens", address, LONG_PROMPT_BYTES, false, 1, LONG_REQUESTS);
}

fn measure(
    what: &str,
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
    let cpu_before = server_figure(address, "cpu");
    let started = Instant::now();
    thread::scope(|scope| {
        for _ in 0..connections {
            scope.spawn(|| send_all(address, &body, requests));
        }
    });
    let elapsed = started.elapsed();
    let total = (connections * requests) as f64;
    let cpu = Duration::from_secs_f64((server_figure(address, "cpu") - cpu_before) / total);
    println!("{what}: {:.0} requests/s, {cpu:?} CPU a request", total / elapsed.as_secs_f64());
}

fn measure_memory(address: SocketAddr) {
    let before = server_figure(address, "memory");
    let held: Vec<_> = (0..HELD).map(|_| open_held(address)).collect();
    let kb = (server_figure(address, "memory") - before) / held.len() as f64;
    println!("memory of an open stream: {kb:.1} KB");
}

fn open_held(address: SocketAddr) -> BufReader<TcpStream> {
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

fn server_figure(address: SocketAddr, name: &str) -> f64 {
    let url = format!("http://{address}/{name}");
    let res = minreq::get(url).send().expect(name);
    res.as_str().ok().and_then(|s| s.parse().ok()).expect("figure")
}

/// Sends requests one after another on one connection.
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
        read_answer(&mut reader);
    }
}

fn read_answer(reader: &mut BufReader<TcpStream>) {
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

fn read_chunk(reader: &mut BufReader<TcpStream>) -> usize {
    let mut line = String::new();
    reader.read_line(&mut line).expect("chunk size");
    let size = usize::from_str_radix(line.trim(), 16).expect("size");
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).expect("chunk");
    size
}
