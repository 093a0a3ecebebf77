//! Short prompts alone and concurrent with long ones, through one daemon.

use super::{
    load::{Load, run as run_load},
    summary::{self, Row},
};
use crate::{cli::Result, exit::Exit, fleet::Fleet};
use fake::EngineConfig;
use std::{thread, time::Duration};
use toucansilld::local::{LocalConfig, data_centre, sheet};

/// Model that the engines serve.
const MODEL: &str = super::MODEL;
/// Number of engines, all with the same owner.
const ENGINES: usize = 6;
/// Prompt tokens that each engine prefills per second.
const PREFILL_TOKENS_PER_S: f64 = 40_000.0;
/// Tokens that it decodes per second for each request.
const DECODE_TOKENS_PER_S: f64 = 200.0;
/// Memory of each engine, in tokens.
const MEMORY_TOKENS: u64 = 1_000_000;
/// Number of callers with long prompts.
const LONG_CALLERS: usize = 6;
/// Length of a long prompt, in tokens.
const LONG_TOKENS: usize = 100_000;

/// Runs the short load alone, then concurrent with long prompts.
pub(crate) fn run(short: &Load, as_json: bool) -> Result<Exit> {
    let cfg = LocalConfig { daemons: 1, data_centres: 1, fresh_voters: 0 };
    let mut fleet = Fleet::start(&cfg)?;
    fleet.apply(&sheet(&cfg, 1, &[MODEL], &[]))?;
    for i in 0..ENGINES {
        fleet.add_engine(EngineConfig {
            id: format!("engine-{}", i + 1),
            data_centre: data_centre(&cfg, 0),
            models: vec![String::from(MODEL)],
            prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
            decode_tokens_per_s: DECODE_TOKENS_PER_S,
            memory_tokens: MEMORY_TOKENS,
            time_scale: 1.0,
            ..EngineConfig::default()
        })?;
    }
    fleet.await_model(MODEL)?;
    // `await_model` waits for one engine; the others are reconciled shortly after it.
    thread::sleep(Duration::from_secs(1));
    let address = fleet.callers_addresses()[0];
    let alone = run_load(short, address);
    let long = Load { callers: LONG_CALLERS, prompt_tokens: LONG_TOKENS, tokens: 5, ..*short };
    let long_samples = thread::spawn(move || run_load(&long, address));
    let concurrent = run_load(short, address);
    let long_samples = long_samples.join().unwrap_or_default();
    let rows = [
        Row::of("short, alone", alone),
        Row::of("short, beside long", concurrent),
        Row::of("long", long_samples),
    ];
    summary::print(&rows, as_json)?;
    Ok(Exit::Done)
}
