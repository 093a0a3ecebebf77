//! `voters`: lists and changes the members of the control group.

use crate::{
    cli::{Command, Result},
    exit::{Exit, Failure},
    operator::{self, OperatorClient},
    table::Table,
};
use getopts::Matches;
use serde_json::Value;

pub(crate) const COMMAND: Command = Command {
    name: "voters",
    arguments: "list | add ID IP:PORT | remove ID | replace OLD NEW IP:PORT",
    summary: "Shows or changes the voters of the control group.",
    examples: &[
        "toucansill voters list",
        "toucansill voters add 4 10.0.0.4:8083",
        "toucansill voters replace 2 4 10.0.0.4:8083",
    ],
    options: operator::options,
    run,
};

fn run(matches: &Matches) -> Result<Exit> {
    let operator = OperatorClient::from_options(matches)?;
    let args: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["list"] | [] => list(&operator, matches.opt_present("json")),
        ["add", id, address] => {
            change(&operator, &format!("/voters/add?id={id}&address={address}"))
        }
        ["remove", id] => change(&operator, &format!("/voters/remove?id={id}")),
        ["replace", old, new, address] => {
            change(&operator, &format!("/voters/replace?old={old}&new={new}&address={address}"))
        }
        _ => Err(Failure::usage(
            "voters: unknown or incomplete action; see toucansill voters --help",
        )
        .into()),
    }
}

fn list(operator: &OperatorClient, as_json: bool) -> Result<Exit> {
    let voters: Value = operator.get("/voters")?;
    if as_json {
        println!("{voters:#}");
        return Ok(Exit::Done);
    }
    println!("term {}, committed {}", voters["term"], voters["commit"]);
    let mut table = Table::new(&["ID", "ROLE", "LINKS", "HOLDS LOG TO"]);
    for member in voters["members"].as_array().into_iter().flatten() {
        let role = match (member["id"] == voters["leader"], member["votes"] == true) {
            (true, _) => "leader",
            (false, true) => "voter",
            (false, false) => "learner",
        };
        table.add_row(vec![
            member["id"].to_string(),
            String::from(role),
            String::from(member["address"].as_str().unwrap_or("unknown")),
            member["holds_log_to"].to_string(),
        ]);
    }
    print!("{}", table.render());
    Ok(Exit::Done)
}

/// Sends a membership change and prints the log index at which it is committed.
fn change(operator: &OperatorClient, path: &str) -> Result<Exit> {
    let changed: Value = operator.post(path, Vec::new())?;
    println!("changed at log index {}", changed["index"]);
    Ok(Exit::Done)
}
