//! Streams through random sequences of faults yield exactly their text.

mod common;

use common::{collect, request, target};
use fake::{Engine, EngineConfig, completion_text};
use std::time::Duration;
use upstream::{Backoff, Client, ClientConfig, StreamEvent, TokenStream};

const PROMPT: &str = "which plug is free?";
/// Tokens of each answer.
const TOKENS: u64 = 24;
/// Sequences of faults.
const SEEDS: u64 = 24;

/// Short, as a crossed answer that is held says nothing more. A delay of a busy
/// machine only adds a fault.
const SILENCE: Duration = Duration::from_millis(200);

/// What happens to the engines while a stream is held.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The connections of both engines break.
    Cut,
    /// An engine crashes and starts again.
    Restart(usize),
    /// Both engines crash and start again.
    RestartBoth,
    /// The next answers of an engine belong to another request.
    Cross(usize),
}

impl Fault {
    fn random(rng: &mut fastrand::Rng) -> Self {
        match rng.u8(..4) {
            0 => Self::Cut,
            1 => Self::Restart(rng.usize(..2)),
            2 => Self::RestartBoth,
            _ => Self::Cross(rng.usize(..2)),
        }
    }

    fn cause(self, engines: &[Engine; 2]) {
        match self {
            Self::Cut => engines.iter().for_each(|engine| engine.relay().cut()),
            Self::Restart(which) => restart(&engines[which]),
            Self::RestartBoth => engines.iter().for_each(restart),
            Self::Cross(which) => {
                engines[which].cross_next(1);
                engines[which].relay().cut();
            }
        }
    }
}

fn restart(engine: &Engine) {
    engine.kill();
    engine.restart().expect("the same port");
}

fn engines() -> [Engine; 2] {
    ["engine-0", "engine-1"].map(|id| {
        let cfg = EngineConfig { id: id.to_string(), ..EngineConfig::default() };
        Engine::start(cfg).expect("a free port")
    })
}

/// A stream that goes to the other engine after each failure.
fn start(client: &Client, engines: &[Engine; 2], seed: u64) -> TokenStream {
    let targets = [target("engine-0", &engines[0]), target("engine-1", &engines[1])];
    let mut turn = 0;
    client.stream(request(&format!("r-{seed}"), PROMPT, TOKENS), move |_| {
        turn += 1;
        Some(targets[turn % 2].clone())
    })
}

#[test]
fn a_stream_yields_exactly_its_text_through_any_faults() {
    let backoff =
        Backoff { base: Duration::from_millis(1), max_attempts: 50, ..Backoff::default() };
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let client =
            Client::new(ClientConfig { io_timeout: SILENCE, backoff, ..ClientConfig::default() });
        let engines = engines();
        let mut holds: Vec<u64> = (0..3).map(|_| rng.u64(1..TOKENS)).collect();
        holds.sort_unstable();
        holds.dedup();
        engines.iter().for_each(|engine| engine.hold_at(holds[0]));
        let mut stream = start(&client, &engines, seed);
        let mut text = String::new();
        let mut faults = Vec::new();
        for (n, hold) in holds.iter().enumerate() {
            let received = text.split_whitespace().count() as u64;
            let collected = collect(&mut stream, (hold - received) as usize);
            assert_eq!(collected.last, None, "seed {seed}, {faults:?}");
            text += &collected.text;
            let next = holds.get(n + 1).copied().unwrap_or(TOKENS);
            engines.iter().for_each(|engine| engine.hold_at(next));
            let fault = Fault::random(&mut rng);
            faults.push(fault);
            fault.cause(&engines);
        }
        engines.iter().for_each(Engine::release);
        let rest = collect(&mut stream, usize::MAX);
        text += &rest.text;
        assert!(
            matches!(rest.last, Some(StreamEvent::Finished(_))),
            "seed {seed}, {faults:?}: {:?}",
            rest.last
        );
        assert_eq!(text, completion_text(PROMPT, 0, TOKENS), "seed {seed}, {faults:?}");
    }
}
