//! Command line for operators.
//!
//! Some subcommands send requests to the operators' HTTP interface of a running daemon: they
//! plan and apply sheets, show status, events and voters, back up the control group and
//! drain a daemon. Others need no daemon: they check files, restore a backup, and run
//! demos, benchmarks, traces and simulations in this process.

mod cli;
mod command;
mod exit;
mod fleet;
mod operator;
mod table;

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    match cli::run(&args) {
        Ok(exit) => exit.into(),
        Err(err) => {
            eprintln!("toucansill: {err:#}");
            exit::Exit::from_error(&err).into()
        }
    }
}
