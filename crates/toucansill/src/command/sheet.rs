//! `plan` and `apply`: sheets.

use crate::{
    cli::{Command, Result},
    exit::{Exit, Failure},
    operator::{self, Operator},
};
use getopts::{Matches, Options};
use serde::{Deserialize, Serialize};
use std::{
    env, fs, thread,
    time::{Duration, Instant},
};

/// Time between two looks whether a sheet is in force.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// Longest wait with `--wait`, when no other is given, in seconds.
const WAIT_S: u64 = 13;

pub(crate) const PLAN: Command = Command {
    name: "plan",
    arguments: "SHEET.csv",
    summary: "Shows what a sheet would change. Changes nothing.",
    examples: &["toucansill plan -a 10.0.0.1:8082 -t operator.token morning.csv"],
    options: operator::options,
    run: plan,
};

pub(crate) const APPLY: Command = Command {
    name: "apply",
    arguments: "SHEET.csv",
    summary: "Puts a sheet in force. Safe to repeat after a lost answer.",
    examples: &[
        "toucansill apply -a 10.0.0.1:8082 -t operator.token --wait morning.csv",
        "toucansill apply --wait --seconds 30 morning.csv",
    ],
    options: apply_options,
    run: apply,
};

#[derive(Deserialize, Serialize)]
struct Plan {
    number: u64,
    digest: String,
    changes: Vec<String>,
}

#[derive(Deserialize, Serialize)]
struct Applied {
    number: u64,
    digest: String,
    index: u64,
}

#[derive(Deserialize, Serialize)]
struct Force {
    in_force: bool,
    lagging: Vec<Lagging>,
    leader_is_new: bool,
}

#[derive(Deserialize, Serialize)]
struct Lagging {
    daemon: String,
    acknowledged: u64,
    runs_out_in_ms: u64,
}

fn apply_options(options: &mut Options) {
    operator::options(options);
    options.optflag("w", "wait", "wait until the sheet is in force everywhere");
    options.optopt("", "seconds", "longest wait (default 13)", "N");
    options.optopt("", "operator", "name to record (default $USER)", "NAME");
}

fn plan(matches: &Matches) -> Result<Exit> {
    let operator = Operator::of(matches)?;
    let plan: Plan = operator.post("/sheet/plan", read(matches)?)?;
    if matches.opt_present("json") {
        println!("{}", serde_json::to_string_pretty(&plan)?);
        return Ok(Exit::Done);
    }
    println!("sheet {} (digest {}) would change:", plan.number, plan.digest);
    plan.changes.iter().for_each(|change| println!("  {change}"));
    println!("{} changes", plan.changes.len());
    Ok(Exit::Done)
}

fn apply(matches: &Matches) -> Result<Exit> {
    let operator = Operator::of(matches)?;
    let name = matches.opt_str("operator").or_else(|| env::var("USER").ok()).unwrap_or_default();
    let name: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
    let path = format!("/sheet/apply?operator={name}");
    let applied: Applied = operator.post(&path, read(matches)?)?;
    if matches.opt_present("json") {
        println!("{}", serde_json::to_string_pretty(&applied)?);
    } else {
        println!("sheet {} is accepted at log index {}", applied.number, applied.index);
    }
    if !matches.opt_present("wait") {
        return Ok(Exit::Done);
    }
    let seconds = matches
        .opt_get_default("seconds", WAIT_S)
        .map_err(|_| Failure::usage("apply: --seconds takes a whole number"))?;
    wait(&operator, applied.index, Duration::from_secs(seconds))
}

fn wait(operator: &Operator, index: u64, limit: Duration) -> Result<Exit> {
    let started = Instant::now();
    loop {
        let force: Force = operator.get(&format!("/in-force?index={index}"))?;
        if force.in_force {
            println!("in force everywhere after {} ms", started.elapsed().as_millis());
            return Ok(Exit::Done);
        }
        if started.elapsed() >= limit {
            report(&force);
            return Ok(Exit::NotInForce);
        }
        thread::sleep(LOOK_EVERY);
    }
}

fn report(force: &Force) {
    println!("not yet in force everywhere:");
    if force.leader_is_new {
        println!("  the leader is new; leases of its predecessor may still run");
    }
    for lagging in &force.lagging {
        println!(
            "  {} is at {}, its lease runs out in {} ms",
            lagging.daemon, lagging.acknowledged, lagging.runs_out_in_ms
        );
    }
}

fn read(matches: &Matches) -> Result<Vec<u8>> {
    let [file] = matches.free.as_slice() else {
        return Err(Failure::usage("give one sheet").into());
    };
    fs::read(file).map_err(|err| Failure::new(Exit::Faults, format!("{file}: {err}")).into())
}
