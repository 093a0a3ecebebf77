//! Errors of invalid routing documents.

use std::fmt;

/// Result of this crate's functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reason why a routing document can't be put in force, and the part of it that is at fault.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// Route, organisation or section at fault.
    place: String,
    reason: String,
}

impl Error {
    pub(crate) fn new(place: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { place: place.into(), reason: reason.into() }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.reason)
    }
}

impl std::error::Error for Error {}
