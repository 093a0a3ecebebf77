//! `check`: lists the faults of a settings file or a sheet, without contacting a daemon.

use crate::{
    cli::{Command, Result},
    exit::{Exit, Failure},
};
use getopts::Matches;
use std::{fs, path::Path};
use toucansilld::{Settings, gateway::GatewaySettings};

pub(crate) const COMMAND: Command = Command {
    name: "check",
    arguments: "FILE",
    summary: "Checks a settings file (.yaml) or a sheet (.csv) without contacting a daemon.",
    examples: &["toucansill check entry-1.yaml", "toucansill check morning.csv"],
    options: |_| {},
    run,
};

fn run(matches: &Matches) -> Result<Exit> {
    let [file] = matches.free.as_slice() else {
        return Err(Failure::usage(
            "check: give one FILE, either settings (.yaml) or a sheet (.csv)",
        )
        .into());
    };
    if file.ends_with(".csv") {
        return check_sheet(file);
    }
    let path = Path::new(file);
    match GatewaySettings::is_gateway(path) {
        true => drop(GatewaySettings::load(path)?),
        false => drop(Settings::load(path)?),
    }
    println!("{file}: no faults");
    Ok(Exit::Done)
}

fn check_sheet(file: &str) -> Result<Exit> {
    let buf = fs::read(file).map_err(|err| Failure::new(Exit::Faults, format!("{file}: {err}")))?;
    match sheet::parse(&buf) {
        Ok(sheet) => {
            println!("{file}: no faults, sheet {}", sheet.number);
            Ok(Exit::Done)
        }
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{file}: {fault}"));
            Ok(Exit::Faults)
        }
    }
}
