//! `drain`: the graceful shutdown of a daemon.

use crate::{
    cli::{Command, Result},
    exit::Exit,
    operator::{self, OperatorClient},
};
use getopts::Matches;
use serde_json::Value;

pub(crate) const COMMAND: Command = Command {
    name: "drain",
    arguments: "",
    summary: "Starts the graceful shutdown of a daemon: it finishes its requests, then leaves.",
    examples: &["toucansill drain -a 10.0.0.1:8082 -t operator.token"],
    options: operator::options,
    run,
};

fn run(matches: &Matches) -> Result<Exit> {
    let _: Value = OperatorClient::from_options(matches)?.post("/drain", Vec::new())?;
    println!("draining");
    Ok(Exit::Done)
}
