//! Parsing of the command line and the choice of the subcommand.

use crate::{
    command,
    exit::{Exit, Failure},
};
use getopts::{Matches, Options};

/// Result of a subcommand; an error determines the exit code (see [`Exit::from_error`]).
pub(crate) type Result<T> = eyre::Result<T>;

/// A subcommand and its help texts.
pub(crate) struct Command {
    /// Name on the command line.
    pub(crate) name: &'static str,
    /// Arguments after the options, for the usage line.
    pub(crate) arguments: &'static str,
    /// What the command does, in one line.
    pub(crate) summary: &'static str,
    /// Examples, one per line of the help text.
    pub(crate) examples: &'static [&'static str],
    /// Adds the options of the command; `--help` is added for all.
    pub(crate) options: fn(&mut Options),
    /// Runs the command.
    pub(crate) run: fn(&Matches) -> Result<Exit>,
}

/// Runs the subcommand that the first of `args` names.
pub(crate) fn run(args: &[String]) -> Result<Exit> {
    let Some(name) = args.first() else {
        print!("{}", overview());
        return Ok(Exit::Usage);
    };
    if matches!(name.as_str(), "--help" | "-h" | "help") {
        print!("{}", overview());
        return Ok(Exit::Done);
    }
    if matches!(name.as_str(), "--version" | "-V") {
        println!("toucansill {}", env!("CARGO_PKG_VERSION"));
        return Ok(Exit::Done);
    }
    let command = command::ALL
        .iter()
        .find(|command| command.name == name)
        .ok_or_else(|| Failure::usage(format!("unknown command '{name}'; see --help")))?;
    run_command(command, &args[1..])
}

fn run_command(command: &Command, args: &[String]) -> Result<Exit> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    (command.options)(&mut options);
    let matches =
        options.parse(args).map_err(|err| Failure::usage(format!("{}: {err}", command.name)))?;
    if matches.opt_present("help") {
        print!("{}", help(command, &options));
        return Ok(Exit::Done);
    }
    (command.run)(&matches)
}

/// Help text that lists the subcommands and exit codes.
fn overview() -> String {
    let rows: String = command::ALL
        .iter()
        .map(|command| format!("    {:<10} {}\n", command.name, command.summary))
        .collect();
    format!(
        "Usage: toucansill COMMAND [OPTIONS]\n\nCommands:\n{rows}\n\
         Run toucansill COMMAND --help for the options of a command.\n\n\
         Exit codes: 0 success, 1 faults in the input or an expected outcome was missed,\n\
         2 wrong command line, 3 no reply from a daemon, 4 refused by the daemon,\n\
         5 accepted but not yet in force everywhere.\n"
    )
}

/// Help text of one subcommand.
fn help(command: &Command, options: &Options) -> String {
    let brief = format!(
        "{}\n\nUsage: toucansill {} [OPTIONS] {}",
        command.summary, command.name, command.arguments
    );
    let examples: String =
        command.examples.iter().map(|example| format!("    {example}\n")).collect();
    format!("{}\nExamples:\n{examples}", options.usage(&brief))
}
