//! `replay`: runs a trace of requests and faults against daemons and stand-ins in this process
//! and checks its expected outcomes.

mod call;
mod generate;
mod report;
mod run;
mod trace;

use crate::{
    cli::{Command, Result},
    exit::{Exit, Failure},
};
use getopts::{Matches, Options};
use trace::Trace;

/// Model that the engines serve.
const MODEL: &str = "small";

pub(crate) const COMMAND: Command = Command {
    name: "replay",
    arguments: "TRACE.yaml",
    summary: "Replays a trace in one process and checks its expected outcomes.",
    examples: &[
        "toucansill replay traces/pacifico.yaml",
        "toucansill replay --json traces/kaltbrunn.yaml",
        "toucansill replay --generate pacifico --seed 7 pacifico.yaml",
    ],
    options,
    run,
};

fn options(options: &mut Options) {
    options.optflag("", "json", "print one JSON document");
    options.optopt("", "generate", "write a trace instead: pacifico or kaltbrunn", "NAME");
    options.optopt("", "seed", "seed of the trace to write (default 1), with --generate", "N");
}

fn run(matches: &Matches) -> Result<Exit> {
    let [file] = matches.free.as_slice() else {
        return Err(Failure::usage("replay: give one trace file (TRACE.yaml)").into());
    };
    if let Some(name) = matches.opt_str("generate") {
        return write_generated(matches, &name, file);
    }
    if matches.opt_present("seed") {
        return Err(Failure::usage("replay: --seed needs --generate").into());
    }
    let trace = Trace::load(file)?;
    let record = run::run(&trace)?;
    let rows = report::rows(&trace.outcomes, &record);
    report::print(&rows, &record, matches.opt_present("json"))?;
    Ok(if rows.iter().all(|row| row.met) { Exit::Done } else { Exit::Faults })
}

/// Generates a trace and writes it to a file.
fn write_generated(matches: &Matches, name: &str, file: &str) -> Result<Exit> {
    let seed = matches
        .opt_get_default("seed", 1)
        .map_err(|_| Failure::usage("replay: --seed needs a whole number"))?;
    let trace = generate::generate(name, seed)
        .ok_or_else(|| Failure::usage("replay: --generate needs pacifico or kaltbrunn"))?;
    let text = serde_yaml_ng::to_string(&trace)?;
    std::fs::write(file, text)
        .map_err(|err| Failure::new(Exit::Faults, format!("{file}: {err}")))?;
    println!("wrote {file}");
    Ok(Exit::Done)
}
