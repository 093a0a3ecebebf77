//! The subcommands.

mod check;
mod demo;

use crate::cli::Command;

/// Every subcommand, in the order of the overview.
pub(crate) const ALL: &[Command] = &[check::COMMAND, demo::COMMAND];
