//! Types at the border, generated from the JSON Schema files in `schema/`.
//!
//! ```
//! use wire::border::chat::ChatCompletionRequest;
//!
//! let text = r#"{"model":"m","messages":[{"role":"user","content":"hi"}],"seed":7}"#;
//! let req: ChatCompletionRequest = serde_json::from_str(text)?;
//! // A field that the schema does not name is kept.
//! assert_eq!(req.extra["seed"], 7);
//! # Ok::<(), serde_json::Error>(())
//! ```

use crate::Verdict;

/// Completions and chat completions.
#[allow(clippy::all, missing_docs)]
#[path = "generated/chat.rs"]
#[rustfmt::skip]
pub mod chat;

/// Errors.
#[allow(clippy::all, missing_docs)]
#[path = "generated/error.rs"]
#[rustfmt::skip]
pub mod error;

/// What operators see.
#[allow(clippy::all, missing_docs)]
#[path = "generated/status.rs"]
#[rustfmt::skip]
pub mod status;

/// Announcements, load reports and orders of upstreams.
#[allow(clippy::all, missing_docs)]
#[path = "generated/upstream.rs"]
#[rustfmt::skip]
pub mod upstream;

impl From<Verdict> for error::ErrorVerdict {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::NotRun => Self::NotRun,
            Verdict::MayHaveRun => Self::MayHaveRun,
            Verdict::Ran => Self::Ran,
        }
    }
}

impl From<error::ErrorVerdict> for Verdict {
    fn from(verdict: error::ErrorVerdict) -> Self {
        match verdict {
            error::ErrorVerdict::NotRun => Self::NotRun,
            error::ErrorVerdict::MayHaveRun => Self::MayHaveRun,
            error::ErrorVerdict::Ran => Self::Ran,
        }
    }
}
