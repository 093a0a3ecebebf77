//! JSON bodies of the HTTP interfaces, generated from the JSON Schema files in `schema/`.
//!
//! ```
//! use wire::border::chat::ChatCompletionRequest;
//!
//! let text = r#"{"model":"m","messages":[{"role":"user","content":"hi"}],"seed":7}"#;
//! let req: ChatCompletionRequest = serde_json::from_str(text)?;
//! // Fields that the schema does not name are preserved.
//! assert_eq!(req.extra["seed"], 7);
//! # Ok::<(), serde_json::Error>(())
//! ```

use crate::Verdict;

/// Requests and responses of completions and chat completions.
#[allow(clippy::all, missing_docs)]
#[path = "generated/chat.rs"]
#[rustfmt::skip]
pub mod chat;

/// Bodies of error responses.
#[allow(clippy::all, missing_docs)]
#[path = "generated/error.rs"]
#[rustfmt::skip]
pub mod error;

/// State of daemons and upstreams, as shown to operators.
#[allow(clippy::all, missing_docs)]
#[path = "generated/status.rs"]
#[rustfmt::skip]
pub mod status;

/// Announcements and load reports that upstreams send, and orders that they receive.
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
