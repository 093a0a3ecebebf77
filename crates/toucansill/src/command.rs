//! The subcommands.

mod backup;
mod bench;
mod check;
mod demo;
mod drain;
mod play;
mod replay;
mod sheet;
mod status;
mod timeline;
mod voters;

use crate::cli::Command;

/// Every subcommand, in the order of the overview.
pub(crate) const ALL: &[Command] = &[
    demo::COMMAND,
    check::COMMAND,
    sheet::PLAN,
    sheet::APPLY,
    status::COMMAND,
    timeline::COMMAND,
    voters::COMMAND,
    backup::BACKUP,
    backup::RESTORE,
    drain::COMMAND,
    bench::COMMAND,
    play::COMMAND,
    replay::COMMAND,
];
