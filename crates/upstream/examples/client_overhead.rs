//! Measures the request rate and the processor time of the client, and compares them with
//! `minreq` and `ureq`. The fake upstreams run in a separate process:
//!
//! ```text
//! cargo run --release -p upstream --example client_overhead -- serve
//! cargo run --release -p upstream --example client_overhead -- run ENGINE PLAIN
//! ```
//!
//! `serve` prints the addresses ENGINE and PLAIN of the fake engine and the fake plain
//! service, and runs until its standard input is closed.

use fake::{Engine, EngineConfig, PlainService, PlainServiceConfig};
use std::{
    env, fs,
    io::{self, BufRead, BufReader, Read},
    thread,
    time::{Duration, Instant},
};
use upstream::{Client, ClientConfig, ServiceRequest, StreamEvent, StreamRequest, Target};

/// Number of requests of each round.
const REQUESTS: usize = 4_000;
/// Number of threads, each of which sends one request at a time.
const THREADS: usize = 4;
/// Lengths of the streamed responses, in tokens.
const TOKENS: [usize; 2] = [1, 64];
/// Clock ticks per second of the processor times in `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Number of rounds of each measurement; the median is printed.
const ROUNDS: usize = 5;

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args[..] {
        ["serve"] => serve(),
        ["run", engine, plain] => run(engine, plain),
        _ => eprintln!("usage: client_overhead serve | run ENGINE PLAIN"),
    }
}

fn serve() {
    let cfg = EngineConfig { memory_tokens: 10_000_000, ..EngineConfig::default() };
    let engine = Engine::start(cfg).expect("a free port");
    let plain = PlainService::start(PlainServiceConfig::default()).expect("a free port");
    println!("{} {}", engine.address(), plain.address());
    let _ = io::stdin().read_to_end(&mut Vec::new());
}

fn run(engine: &str, plain: &str) {
    let client = Client::new(ClientConfig::default());
    let agent = ureq::AgentBuilder::new()
        .timeout_read(Duration::from_secs(3))
        .max_idle_connections_per_host(THREADS)
        .no_delay(true)
        .build();
    let target = Target::new("plain-1", plain);
    let url = format!("http://{plain}/status");
    measure("call: minreq, one connection per request", |_| {
        minreq::post(&url).with_body("{}").with_timeout(10).send().expect("a response");
    });
    measure("call: ureq, reused connections", |_| {
        let response = agent.post(&url).send_string("{}").expect("a response");
        response.into_string().expect("UTF-8");
    });
    for (label, is_idempotent) in [
        ("call: Client, idempotent (reused connections)", true),
        ("call: Client, not idempotent (new connections)", false),
    ] {
        measure(label, |id| {
            client.call(&target, &call(id, is_idempotent)).expect("a response");
        });
    }
    TOKENS.into_iter().for_each(|tokens| run_streams(&client, &agent, engine, tokens));
}

fn run_streams(client: &Client, agent: &ureq::Agent, engine: &str, tokens: usize) {
    let url = format!("http://{engine}/v1/completions");
    measure(&format!("stream of {tokens}: minreq, one connection per request"), |_| {
        let body = stream_body(tokens);
        let response = minreq::post(&url).with_body(body).send_lazy().expect("a response");
        assert_eq!(count_tokens(response), tokens);
    });
    measure(&format!("stream of {tokens}: ureq, reused connections"), |_| {
        let response = agent.post(&url).send_bytes(&stream_body(tokens)).expect("a response");
        assert_eq!(count_tokens(response.into_reader()), tokens);
    });
    let target = Target::new("engine-1", engine);
    measure(&format!("stream of {tokens}: Client"), |id| {
        let deadline = Instant::now() + Duration::from_secs(10);
        let req = StreamRequest::new(id, "/v1/completions", stream_body(tokens), deadline);
        let target = target.clone();
        let stream = client.stream(req, move |failed| failed.is_none().then(|| target.clone()));
        let events: Vec<StreamEvent> = stream.collect();
        let received = events.iter().filter(|event| matches!(event, StreamEvent::Token(_)));
        assert_eq!(received.count(), tokens, "{:?}", events.last());
    });
}

fn call(id: String, is_idempotent: bool) -> ServiceRequest {
    ServiceRequest {
        id,
        method: "POST".to_string(),
        path: "/status".to_string(),
        headers: Vec::new(),
        body: b"{}".to_vec(),
        is_idempotent,
        deadline: Instant::now() + Duration::from_secs(10),
    }
}

fn stream_body(tokens: usize) -> Vec<u8> {
    let body = serde_json::json!({
        "model": "small", "prompt": "why does it ice up?", "max_tokens": tokens, "stream": true,
    });
    body.to_string().into_bytes()
}

/// Number of tokens of a streamed response. The event with the finish reason doesn't count.
fn count_tokens(reader: impl Read) -> usize {
    let events = BufReader::new(reader).lines().map_while(Result::ok);
    events.filter(|line| line.contains("\"finish_reason\":null")).count()
}

/// Measures `request`, and prints rate and processor time of the round with the median
/// processor time.
fn measure(label: &str, request: impl Fn(String) + Sync) {
    let mut rounds: Vec<(f64, f64)> =
        (0..ROUNDS).map(|round| run_round(label, round, &request)).collect();
    rounds.sort_by(|a, b| a.1.total_cmp(&b.1));
    let (rate, cpu_us) = rounds[ROUNDS / 2];
    println!("{label:50} {rate:9.0} requests/s {cpu_us:8.1} us of processor time each");
}

/// Runs one round, and returns the requests per second and the processor time of a request
/// in microseconds.
fn run_round(label: &str, round: usize, request: &(impl Fn(String) + Sync)) -> (f64, f64) {
    let label = label.replace(' ', "_");
    let run_thread = |thread: usize| {
        (0..REQUESTS / THREADS).for_each(|n| request(format!("{label}-{round}-{thread}-{n}")));
    };
    let (start, cpu) = (Instant::now(), cpu_s());
    thread::scope(|scope| {
        let run_thread = &run_thread;
        (0..THREADS).for_each(|thread| drop(scope.spawn(move || run_thread(thread))));
    });
    let (elapsed, cpu) = (start.elapsed().as_secs_f64(), cpu_s() - cpu);
    (REQUESTS as f64 / elapsed, cpu * 1e6 / REQUESTS as f64)
}

/// Processor time of this process so far, in seconds.
fn cpu_s() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("Linux");
    let after_name = stat.rsplit(')').next().expect("a name in brackets");
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |at: usize| fields[at].parse::<f64>().expect("a number");
    (ticks(11) + ticks(12)) / TICKS_PER_S
}
