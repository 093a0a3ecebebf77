//! `plan` shows what a sheet would change; `apply` applies it and can wait until it is in force
//! everywhere.

use crate::{
    cli::{Command, Result},
    exit::{Exit, Failure},
    operator::{self, OperatorClient},
};
use getopts::{Matches, Options};
use serde::{Deserialize, Serialize};
use std::{
    env, fs, thread,
    time::{Duration, Instant},
};

/// Interval at which `--wait` checks whether the sheet is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait with `--wait` but without `--seconds`, in seconds.
const DEFAULT_WAIT_S: u64 = 13;

pub(crate) const PLAN: Command = Command {
    name: "plan",
    arguments: "SHEET.csv",
    summary: "Shows what a sheet would change, without applying it.",
    examples: &["toucansill plan -a 10.0.0.1:8082 -t operator.token morning.csv"],
    options: operator::options,
    run: plan,
};

pub(crate) const APPLY: Command = Command {
    name: "apply",
    arguments: "SHEET.csv",
    summary: "Applies a sheet. Safe to repeat if the reply was lost.",
    examples: &[
        "toucansill apply -a 10.0.0.1:8082 -t operator.token --wait morning.csv",
        "toucansill apply --wait --seconds 30 morning.csv",
    ],
    options: apply_options,
    run: apply,
};

/// Reply to `/sheet/plan`.
#[derive(Deserialize, Serialize)]
struct Plan {
    number: u64,
    digest: String,
    changes: Vec<String>,
}

/// Reply to `/sheet/apply`: the sheet, and the log index at which it was committed.
#[derive(Deserialize, Serialize)]
struct Applied {
    number: u64,
    digest: String,
    index: u64,
}

/// Reply to `/in-force`.
#[derive(Deserialize, Serialize)]
struct InForceStatus {
    in_force: bool,
    lagging: Vec<LaggingDaemon>,
    leader_is_new: bool,
}

/// Daemon that has not acknowledged the log index, with the last index that it acknowledged and
/// the time until its lease expires.
#[derive(Deserialize, Serialize)]
struct LaggingDaemon {
    daemon: String,
    acknowledged: u64,
    runs_out_in_ms: u64,
}

fn apply_options(options: &mut Options) {
    operator::options(options);
    options.optflag("w", "wait", "wait until the sheet is in force everywhere");
    options.optopt("", "seconds", "longest wait with --wait, in seconds (default 13)", "N");
    options.optopt(
        "",
        "operator",
        "operator's name to record with the sheet (default $USER)",
        "NAME",
    );
}

fn plan(matches: &Matches) -> Result<Exit> {
    let operator = OperatorClient::from_options(matches)?;
    let plan: Plan = operator.post("/sheet/plan", read_sheet(matches)?)?;
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
    let operator = OperatorClient::from_options(matches)?;
    let name = matches.opt_str("operator").or_else(|| env::var("USER").ok()).unwrap_or_default();
    let name: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
    let path = format!("/sheet/apply?operator={name}");
    let applied: Applied = operator.post(&path, read_sheet(matches)?)?;
    if matches.opt_present("json") {
        println!("{}", serde_json::to_string_pretty(&applied)?);
    } else {
        println!("sheet {} is accepted at log index {}", applied.number, applied.index);
    }
    if !matches.opt_present("wait") {
        return Ok(Exit::Done);
    }
    let seconds = matches
        .opt_get_default("seconds", DEFAULT_WAIT_S)
        .map_err(|_| Failure::usage("apply: --seconds needs a whole number"))?;
    wait(&operator, applied.index, Duration::from_secs(seconds))
}

/// Polls until the change at `index` is in force everywhere, or `limit` has passed.
fn wait(operator: &OperatorClient, index: u64, limit: Duration) -> Result<Exit> {
    let started = Instant::now();
    loop {
        let status: InForceStatus = operator.get(&format!("/in-force?index={index}"))?;
        if status.in_force {
            println!("in force everywhere after {} ms", started.elapsed().as_millis());
            return Ok(Exit::Done);
        }
        if started.elapsed() >= limit {
            print_lagging(&status);
            return Ok(Exit::NotInForce);
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Prints which daemons lag behind.
fn print_lagging(status: &InForceStatus) {
    println!("not yet in force everywhere:");
    if status.leader_is_new {
        println!("  the leader is new; leases granted by its predecessor may not have expired yet");
    }
    for lagging in &status.lagging {
        println!(
            "  {} has acknowledged log index {}, its lease expires in {} ms",
            lagging.daemon, lagging.acknowledged, lagging.runs_out_in_ms
        );
    }
}

fn read_sheet(matches: &Matches) -> Result<Vec<u8>> {
    let [file] = matches.free.as_slice() else {
        return Err(Failure::usage("give one sheet file (SHEET.csv)").into());
    };
    fs::read(file).map_err(|err| Failure::new(Exit::Faults, format!("{file}: {err}")).into())
}
