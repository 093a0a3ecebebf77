//! `demo`: daemons and a few stand-in engines in one process.

use crate::{
    cli::{Command, Result},
    exit::{Exit, Failure},
    fleet::Fleet,
};
use fake::EngineConfig;
use getopts::Matches;
use std::thread;
use toucansilld::local::{API_KEY, LocalConfig, OPERATOR_TOKEN, data_centre, sheet};

/// Model that the engines serve.
const MODEL: &str = "small";
/// Number of stand-in engines.
const ENGINES: usize = 2;
/// Maximum number of daemons in one process.
const MAX_DAEMONS: usize = 9;

pub(crate) const COMMAND: Command = Command {
    name: "demo",
    arguments: "",
    summary: "Runs daemons and a few stand-in engines in one process.",
    examples: &["toucansill demo", "toucansill demo --daemons 3"],
    options: |options| {
        options.optopt("", "daemons", "number of daemons, 1 to 9 (default 1)", "N");
    },
    run,
};

fn run(matches: &Matches) -> Result<Exit> {
    let daemons = matches.opt_get_default("daemons", 1).unwrap_or(0);
    if daemons == 0 || daemons > MAX_DAEMONS {
        return Err(Failure::usage("demo: --daemons needs a number from 1 to 9").into());
    }
    let cfg = LocalConfig { daemons, data_centres: daemons.min(3), fresh_voters: 0 };
    let mut fleet = Fleet::start(&cfg)?;
    fleet.apply(&sheet(&cfg, 1, &[MODEL], &[]))?;
    for i in 0..ENGINES {
        fleet.add_engine(EngineConfig {
            id: format!("engine-{}", i + 1),
            data_centre: data_centre(&cfg, i),
            models: vec![String::from(MODEL)],
            ..EngineConfig::default()
        })?;
    }
    fleet.await_model(MODEL)?;
    print_guide(&fleet);
    loop {
        thread::park();
    }
}

/// Prints where the files are and example requests for callers and operators.
fn print_guide(fleet: &Fleet) {
    println!("The demo serves model {MODEL}. Its files are in {}.", fleet.dir().display());
    for address in fleet.callers_addresses() {
        println!(
            "curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer {API_KEY}' \
             -H 'Content-Type: application/json' -d '{{\"model\":\"{MODEL}\",\"stream\":true,\
             \"max_tokens\":8,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
        );
    }
    println!(
        "curl http://{}/status -H 'Authorization: Bearer {OPERATOR_TOKEN}'",
        fleet.operators_address()
    );
    println!("Press Ctrl-C to stop.");
}
