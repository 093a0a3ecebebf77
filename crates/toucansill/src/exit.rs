//! Exit codes.

use eyre::Report;
use std::{fmt, process::ExitCode};

/// How the command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Exit {
    /// All went well: 0.
    Done,
    /// The input (settings, sheet, trace) has faults, or an outcome was missed: 1.
    Faults,
    /// The command line is wrong: 2.
    Usage,
    /// No daemon answered: 3.
    NoContact,
    /// The system refused, with its reason: 4.
    Refused,
    /// The change was accepted but is not yet in force everywhere: 5.
    NotInForce,
}

impl Exit {
    /// The exit code for an error: that of its [`Failure`], 1 without one.
    pub(crate) fn of(err: &Report) -> Self {
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

/// An error with its exit code.
#[derive(Debug)]
pub(crate) struct Failure {
    exit: Exit,
    text: String,
}

impl Failure {
    pub(crate) fn new(exit: Exit, text: impl Into<String>) -> Self {
        Self { exit, text: text.into() }
    }

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
