//! Why a routing document is refused.

use std::fmt;

/// Result of this crate's functions.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A routing document that can't be put in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
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
