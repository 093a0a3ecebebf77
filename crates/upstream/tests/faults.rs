//! Streams yield exactly their text through random sequences of faults.

mod common;

use common::{collect, request, target};
use fake::{Engine, EngineConfig, completion_text};
use std::time::Duration;
use upstream::{Backoff, Client, ClientConfig, StreamEvent, TokenStream};

const PROMPT: &str = "which plug is free?";
/// Number of tokens of each response.
const TOKENS: u64 = 24;
/// Number of random sequences of faults, one for each seed from 0.
const SEEDS: u64 = 24;

/// I/O timeout of the client. It is short because a test waits for it whenever a held
/// engine sends the response to another request. If a delay on a busy computer makes it
/// expire, the client sees one more fault.
const IO_TIMEOUT: Duration = Duration::from_millis(200);

/// A fault while the engines are held at a token.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The connections of both engines break.
    Cut,
    /// An engine crashes and starts again.
    Restart(usize),
    /// Both engines crash and start again.
    RestartBoth,
    /// The connections of an engine break, and its next response belongs to another request.
    MismatchResponse(usize),
}

impl Fault {
    fn random(rng: &mut fastrand::Rng) -> Self {
        match rng.u8(..4) {
            0 => Self::Cut,
            1 => Self::Restart(rng.usize(..2)),
            2 => Self::RestartBoth,
            _ => Self::MismatchResponse(rng.usize(..2)),
        }
    }

    fn inject(self, engines: &[Engine; 2]) {
        match self {
            Self::Cut => engines.iter().for_each(|engine| engine.fault_proxy().cut()),
            Self::Restart(which) => restart(&engines[which]),
            Self::RestartBoth => engines.iter().for_each(restart),
            Self::MismatchResponse(which) => {
                engines[which].respond_with_wrong_id(1);
                engines[which].fault_proxy().cut();
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

/// A stream that moves to the other engine after each failure that it can't recover from
/// on the same one.
fn start(client: &Client, engines: &[Engine; 2], seed: u64) -> TokenStream {
    let targets = [target("engine-0", &engines[0]), target("engine-1", &engines[1])];
    let mut choices = 0;
    client.stream(request(&format!("r-{seed}"), PROMPT, TOKENS), move |_| {
        choices += 1;
        Some(targets[choices % 2].clone())
    })
}

#[test]
fn a_stream_yields_exactly_its_text_through_random_faults() {
    let backoff =
        Backoff { base: Duration::from_millis(1), max_attempts: 50, ..Backoff::default() };
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let client = Client::new(ClientConfig {
            io_timeout: IO_TIMEOUT,
            backoff,
            ..ClientConfig::default()
        });
        let engines = engines();
        let mut hold_offsets: Vec<u64> = (0..3).map(|_| rng.u64(1..TOKENS)).collect();
        hold_offsets.sort_unstable();
        hold_offsets.dedup();
        engines.iter().for_each(|engine| engine.hold_at(hold_offsets[0]));
        let mut stream = start(&client, &engines, seed);
        let mut text = String::new();
        let mut faults = Vec::new();
        for (n, offset) in hold_offsets.iter().enumerate() {
            let received = text.split_whitespace().count() as u64;
            let collected = collect(&mut stream, (offset - received) as usize);
            assert_eq!(collected.last, None, "seed {seed}, {faults:?}");
            text += &collected.text;
            let next = hold_offsets.get(n + 1).copied().unwrap_or(TOKENS);
            engines.iter().for_each(|engine| engine.hold_at(next));
            let fault = Fault::random(&mut rng);
            faults.push(fault);
            fault.inject(&engines);
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
