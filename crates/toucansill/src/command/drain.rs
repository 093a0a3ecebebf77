//! `drain`: a planned stop.

use crate::{
    cli::{Command, Result},
    exit::Exit,
    operator::{self, Operator},
};
use getopts::Matches;
use serde_json::Value;

pub(crate) const COMMAND: Command = Command {
    name: "drain",
    arguments: "",
    summary: "Asks one daemon to stop as planned: requests finish, then it leaves.",
    examples: &["toucansill drain -a 10.0.0.1:8082 -t operator.token"],
    options: operator::options,
    run,
};

fn run(matches: &Matches) -> Result<Exit> {
    let _: Value = Operator::of(matches)?.post("/drain", Vec::new())?;
    println!("draining");
    Ok(Exit::Done)
}
