//! The operators' command.

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
            exit::Exit::of(&err).into()
        }
    }
}
