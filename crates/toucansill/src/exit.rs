//! Exit codes of the command and errors that carry one.

use eyre::Report;
use std::{fmt, process::ExitCode};

/// How the command ended. Each variant has a fixed exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Exit {
    /// The command succeeded: 0.
    Done,
    /// The input (settings, sheet, trace) has faults, a replay missed an expected outcome, or any
    /// error without a code of its own occurred: 1.
    Faults,
    /// The command line is wrong: 2.
    Usage,
    /// The daemon could not be reached or did not reply: 3.
    NoContact,
    /// The daemon refused the request and gave a reason: 4.
    Refused,
    /// The change was accepted but is not yet in force everywhere: 5.
    NotInForce,
}

impl Exit {
    /// Exit code for an error: that of its [`Failure`], or 1 if it holds none.
    pub(crate) fn from_error(err: &Report) -> Self {
        err.downcast_ref::<Failure>().map_or(Self::Faults, |failure| failure.exit)
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Done => Self::from(0),
            Exit::Faults => Self::from(1),
            Exit::Usage => Self::from(2),
            Exit::NoContact => Self::from(3),
            Exit::Refused => Self::from(4),
            Exit::NotInForce => Self::from(5),
        }
    }
}

/// An error message with its exit code.
#[derive(Debug)]
pub(crate) struct Failure {
    exit: Exit,
    text: String,
}

impl Failure {
    pub(crate) fn new(exit: Exit, text: impl Into<String>) -> Self {
        Self { exit, text: text.into() }
    }

    /// An error of the command line.
    pub(crate) fn usage(text: impl Into<String>) -> Self {
        Self::new(Exit::Usage, text)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl std::error::Error for Failure {}
