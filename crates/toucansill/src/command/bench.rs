//! `bench`: compares load through daemons with the same load sent directly to the engine.

mod load;
mod mix;
mod summary;

use crate::{
    cli::{Command, Result},
    exit::{Exit, Failure},
    fleet::Fleet,
};
use fake::EngineConfig;
use getopts::{Matches, Options};
use load::{Load, run as run_load};
use std::{net::SocketAddr, time::Duration};
use summary::Row;
use toucansilld::local::{LocalConfig, data_centre, sheet};

/// Model that the engines serve.
const MODEL: &str = "small";
/// Prompt tokens that the stand-in engine prefills per second.
const PREFILL_TOKENS_PER_S: f64 = 200_000.0;
/// Tokens that it decodes per second for each request.
const DECODE_TOKENS_PER_S: f64 = 2_000.0;
/// Memory of the engine, in tokens.
const MEMORY_TOKENS: u64 = 4_000_000;

pub(crate) const COMMAND: Command = Command {
    name: "bench",
    arguments: "",
    summary: "Measures the same load sent directly to an engine and through one and two daemons.",
    examples: &[
        "toucansill bench",
        "toucansill bench --callers 32 --seconds 10 --json",
        "toucansill bench --mix --callers 8 --seconds 10",
    ],
    options,
    run,
};

fn options(options: &mut Options) {
    options.optopt("", "callers", "number of concurrent callers (default 16)", "N");
    options.optopt("", "seconds", "length of each run in seconds (default 5)", "N");
    options.optopt("", "prompt-tokens", "length of each prompt in tokens (default 1000)", "N");
    options.optopt("", "tokens", "length of each response in tokens (default 20)", "N");
    options.optflag(
        "",
        "mix",
        "run short prompts alone and concurrent with long ones, through one daemon",
    );
    options.optflag("", "json", "print JSON lines");
}

fn run(matches: &Matches) -> Result<Exit> {
    let load = Load {
        callers: number(matches, "callers", 16)?,
        time: Duration::from_secs(number(matches, "seconds", 5)? as u64),
        prompt_tokens: number(matches, "prompt-tokens", 1_000)?,
        tokens: number(matches, "tokens", 20)?,
    };
    if matches.opt_present("mix") {
        return mix::run(&load, matches.opt_present("json"));
    }
    let cfg = LocalConfig { daemons: 2, data_centres: 2, fresh_voters: 0 };
    let mut fleet = Fleet::start(&cfg)?;
    fleet.apply(&sheet(&cfg, 1, &[MODEL], &[]))?;
    let engine = fleet.add_engine(EngineConfig {
        data_centre: data_centre(&cfg, 0),
        models: vec![String::from(MODEL)],
        prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
        decode_tokens_per_s: DECODE_TOKENS_PER_S,
        memory_tokens: MEMORY_TOKENS,
        time_scale: 1.0,
        ..EngineConfig::default()
    })?;
    fleet.await_model(MODEL)?;
    let callers = fleet.callers_addresses();
    let paths: [(&'static str, SocketAddr); 3] = [
        ("engine directly", engine.address()),
        ("one daemon", callers[0]),
        ("two daemons", callers[1]),
    ];
    let rows: Vec<Row> =
        paths.into_iter().map(|(name, address)| Row::of(name, run_load(&load, address))).collect();
    summary::print(&rows, matches.opt_present("json"))?;
    Ok(Exit::Done)
}

/// Value of a numeric option.
fn number(matches: &Matches, name: &str, default: usize) -> Result<usize> {
    matches
        .opt_get_default(name, default)
        .map_err(|_| Failure::usage(format!("bench: --{name} needs a whole number")).into())
}
