//! Short prompts alone and beside long ones, through one daemon.

use super::{
    load::{Load, run as run_load},
    summary::{self, Row},
};
use crate::{cli::Result, exit::Exit, fleet::Fleet};
use fake::EngineConfig;
use std::{thread, time::Duration};
use toucansilld::local::{LocalConfig, data_centre, sheet};

/// Model of the engines.
const MODEL: &str = super::MODEL;
/// Engines of the one owner.
const ENGINES: usize = 6;
/// Tokens that each engine reads a second.
const PREFILL_TOKENS_PER_S: f64 = 40_000.0;
/// Tokens that it generates a second for each request.
const DECODE_TOKENS_PER_S: f64 = 200.0;
/// Memory of each engine, in tokens.
const MEMORY_TOKENS: u64 = 1_000_000;
/// Callers with long prompts.
const LONG_CALLERS: usize = 6;
/// Length of a long prompt, in tokens.
const LONG_TOKENS: usize = 100_000;

/// Runs the short load alone, then beside long prompts.
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
    // The other engines are reconciled within a moment of the first.
    thread::sleep(Duration::from_secs(1));
    let address = fleet.callers()[0];
    let alone = run_load(short, address);
    let long = Load { callers: LONG_CALLERS, prompt_tokens: LONG_TOKENS, tokens: 5, ..*short };
    let longs = thread::spawn(move || run_load(&long, address));
    let beside = run_load(short, address);
    let longs = longs.join().unwrap_or_default();
    let rows = [
        Row::of("short, alone", alone),
        Row::of("short, beside long", beside),
        Row::of("long", longs),
    ];
    summary::print(&rows, as_json)?;
    Ok(Exit::Done)
}
