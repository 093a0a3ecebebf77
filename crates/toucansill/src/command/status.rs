//! `status`: one daemon's view of its current sheet, the members, and the upstreams with the
//! reasons why they receive no requests.

use crate::{
    cli::{Command, Result},
    exit::Exit,
    operator::{self, OperatorClient},
    table::Table,
};
use getopts::Matches;
use serde_json::Value;

pub(crate) const COMMAND: Command = Command {
    name: "status",
    arguments: "",
    summary: "Shows one daemon's view: sheet, members, upstreams and why they receive no requests.",
    examples: &["toucansill status -a 10.0.0.1:8082 -t operator.token"],
    options: operator::options,
    run,
};

fn run(matches: &Matches) -> Result<Exit> {
    let status: Value = OperatorClient::from_options(matches)?.get("/status")?;
    if matches.opt_present("json") {
        println!("{status:#}");
    } else {
        print!("{}", describe(&status));
    }
    Ok(Exit::Done)
}

/// Renders the reply to `/status` for a terminal.
fn describe(status: &Value) -> String {
    let takes_work = match status["refusal"].as_str() {
        Some(refusal) => format!("no: {refusal}"),
        None if status["draining"] == true => String::from("no: draining"),
        None => String::from("yes"),
    };
    let mut text = format!(
        "daemon {} takes new work: {takes_work}\nsheet {} in force here, log index {}\n",
        plain_text(&status["daemon"]),
        status["sheet"],
        status["index"]
    );
    text += &voter(&status["voter"]);
    text += &format!(
        "callers' requests in flight {}, of them waiting for admission {}, at this owner {}\n\n",
        status["in_flight"], status["waiting_admission"], status["owner_load"]
    );
    text += &data_centres(&status["data_centres"]);
    text += &members(&status["members"]);
    text += &upstreams(&status["upstreams"]);
    text
}

/// Line about the daemon's voter of the control group; empty if it has none.
fn voter(voter: &Value) -> String {
    if voter.is_null() {
        return String::new();
    }
    let fault = match voter["fault"].as_str() {
        Some(fault) => format!(", STOPPED: {fault}"),
        None => String::new(),
    };
    let lost = match voter["lost_disk"] == true {
        true => ", LOST ITS DISK: replace it under a new id",
        false => "",
    };
    let others = match voter["lost_logs"].as_array() {
        Some(ids) if !ids.is_empty() => format!(", voters that lost their disk: {ids:?}"),
        _ => String::new(),
    };
    format!(
        "voter {} is {} in term {}, leader {}, committed {}{fault}{lost}{others}\n",
        voter["id"],
        plain_text(&voter["role"]),
        voter["term"],
        voter["leader"],
        voter["commit"]
    )
}

fn data_centres(data_centres: &Value) -> String {
    let mut table = Table::new(&["DATA CENTRE", "STATE"]);
    for (name, in_service) in data_centres.as_object().into_iter().flatten() {
        let state = if in_service == true { "in service" } else { "out of service" };
        table.add_row(vec![name.clone(), String::from(state)]);
    }
    format!("{}\n", table.render())
}

fn members(members: &Value) -> String {
    let mut table = Table::new(&["MEMBER", "DATA CENTRE", "LINKS", "INCARNATION"]);
    for member in members.as_array().into_iter().flatten() {
        let cells = ["daemon", "data_centre", "address", "incarnation"];
        table.add_row(cells.iter().map(|cell| plain_text(&member[*cell])).collect());
    }
    format!("{}\n", table.render())
}

fn upstreams(upstreams: &Value) -> String {
    let headings = ["UPSTREAM", "RUNNING", "PROMISED", "ROOM", "HINDRANCES"];
    let mut table = Table::new(&headings);
    for upstream in upstreams.as_array().into_iter().flatten() {
        let cells = ["id", "running", "reserved_tokens", "room_tokens"];
        let hindrances: Vec<String> =
            upstream["hindrances"].as_array().into_iter().flatten().map(plain_text).collect();
        let mut row: Vec<String> = cells.iter().map(|cell| plain_text(&upstream[*cell])).collect();
        row.push(if hindrances.is_empty() { String::from("-") } else { hindrances.join("; ") });
        table.add_row(row);
    }
    table.render()
}

/// Text of a JSON value; a string without its quotes.
fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), String::from)
}
