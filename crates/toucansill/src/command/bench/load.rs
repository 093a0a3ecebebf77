//! Concurrent callers, each of which sends streamed completions one after the other.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};
use toucansilld::local::API_KEY;

/// Longest time of one request, in seconds.
const REQUEST_TIMEOUT_S: u64 = 60;

/// A load of equal requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Number of concurrent callers.
    pub(crate) callers: usize,
    /// Time during which requests are started.
    pub(crate) time: Duration,
    /// Length of each prompt, in tokens.
    pub(crate) prompt_tokens: usize,
    /// Maximum length of each response, in tokens.
    pub(crate) tokens: usize,
}

/// Times of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    /// Time from the start to the first token.
    pub(crate) first_token: Duration,
    /// Time from the start to the end of the stream.
    pub(crate) whole: Duration,
}

/// Results of a load.
#[derive(Clone, Debug, Default)]
pub(crate) struct Samples {
    /// Requests with a complete response.
    pub(crate) answered: Vec<Sample>,
    /// Number of requests that were refused or whose stream ended early.
    pub(crate) failed: usize,
    /// Duration of the run, until the last request ended.
    pub(crate) elapsed: Duration,
}

/// Sends the load to one address.
pub(crate) fn run(load: &Load, address: SocketAddr) -> Samples {
    let started = Instant::now();
    let until = started + load.time;
    let callers: Vec<_> = (0..load.callers)
        .map(|caller| {
            let load = *load;
            thread::spawn(move || call_until(&load, address, caller, until))
        })
        .collect();
    let mut samples = Samples::default();
    for caller in callers {
        let one = caller.join().unwrap_or_default();
        samples.answered.extend(one.answered);
        samples.failed += one.failed;
    }
    samples.elapsed = started.elapsed();
    samples
}

/// Requests of one caller, until no more may start.
fn call_until(load: &Load, address: SocketAddr, caller: usize, until: Instant) -> Samples {
    let mut samples = Samples::default();
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        // The address makes the prompts of each run differ from those of other runs, which
        // would otherwise be found in the engine's prefix cache.
        match call(load, address, &format!("{address} {caller} {number} ")) {
            Some(sample) => samples.answered.push(sample),
            None => samples.failed += 1,
        }
    }
    samples
}

/// Sends one streamed completion; `None` if it fails. `name` makes its prompt unique.
fn call(load: &Load, address: SocketAddr, name: &str) -> Option<Sample> {
    // One token is about four characters.
    let prompt = format!("{name}{}", "word".repeat(load.prompt_tokens));
    let body = serde_json::json!({
        "model": super::MODEL, "prompt": prompt, "max_tokens": load.tokens, "stream": true,
    });
    let started = Instant::now();
    let res = minreq::post(format!("http://{address}/v1/completions"))
        .with_header("Authorization", format!("Bearer {API_KEY}"))
        .with_header("Content-Type", "application/json")
        .with_body(body.to_string())
        .with_timeout(REQUEST_TIMEOUT_S)
        .send_lazy()
        .ok()?;
    if res.status_code != 200 {
        return None;
    }
    let mut first_token = None;
    for line in BufReader::new(res).lines() {
        let line = line.ok()?;
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            return Some(Sample { first_token: first_token?, whole: started.elapsed() });
        }
        first_token.get_or_insert_with(|| started.elapsed());
    }
    None
}
