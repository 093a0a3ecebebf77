//! `check`: faults of a settings file or a sheet, without contact.

use crate::{
    cli::{Command, Result},
    exit::{Exit, Failure},
};
use getopts::Matches;
use std::path::Path;
use toucansilld::Settings;

pub(crate) const COMMAND: Command = Command {
    name: "check",
    arguments: "FILE",
    summary: "Checks a settings file (.yaml) without contact.",
    examples: &["toucansill check entry-1.yaml"],
    options: |_| {},
    run,
};

fn run(matches: &Matches) -> Result<Exit> {
    let [file] = matches.free.as_slice() else {
        return Err(Failure::usage("check: give one file").into());
    };
    Settings::load(Path::new(file))?;
    println!("{file}: no faults");
    Ok(Exit::Done)
}
