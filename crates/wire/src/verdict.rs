//! Whether a request may have run.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Says whether a failed request may have run on an upstream.
///
/// ```
/// use wire::Verdict;
///
/// assert!(Verdict::NotRun.is_safe_to_retry());
/// assert!(!Verdict::MayHaveRun.is_safe_to_retry());
/// ```
#[derive(Clone, Copy, Debug, Decode, Deserialize, Encode, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Proven not to have run: never sent, or refused by an upstream that says so.
    NotRun,
    /// Sent, and no answer proves whether it ran.
    MayHaveRun,
    /// Ran to its end.
    Ran,
}

impl Verdict {
    /// Whether even a non-idempotent request may be sent again.
    pub fn is_safe_to_retry(self) -> bool {
        self == Self::NotRun
    }

    /// The value of the `toucansill-verdict` response header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
