//! Whether a failed request may have run.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a failed request may have run on an upstream. On links: whether the other daemon may
/// have acted on the message.
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
    /// Certainly did not run: it was never sent, or the upstream reported that it refused it.
    NotRun,
    /// Was sent, and no response shows whether it ran.
    MayHaveRun,
    /// Ran to completion.
    Ran,
}

impl Verdict {
    /// Whether the request can be sent again even if it is not idempotent.
    pub fn is_safe_to_retry(self) -> bool {
        self == Self::NotRun
    }

    /// Value of the `toucansill-verdict` response header.
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
