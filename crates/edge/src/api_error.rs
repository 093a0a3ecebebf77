//! Error in the response to a caller or operator.

use std::time::Duration;
use wire::{
    Verdict,
    border::error::{ErrorBody, ErrorDetail},
};

/// Refusal or failure of a request, as the response reports it.
///
/// ```
/// use edge::ApiError;
/// use std::time::Duration;
/// use wire::Verdict;
///
/// let e = ApiError::new(503, "overloaded", "every worker is busy", Verdict::NotRun)
///     .with_retry_after(Duration::from_millis(1500));
/// assert_eq!(
///     e.to_json(),
///     concat!(
///         r#"{"error":{"code":"overloaded","message":"every worker is busy","#,
///         r#""retry_after_ms":1500,"verdict":"not-run"}}"#,
///     ),
/// );
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApiError {
    /// HTTP status, 400 to 599.
    pub status: u16,
    /// Stable identifier of the kind of error, for programs.
    pub code: String,
    /// Description of the error, for people.
    pub message: String,
    /// Whether the request may have run, and so whether a retry may run it twice.
    pub verdict: Verdict,
    /// Delay after which the caller may retry; `None` if a retry is not known to help.
    pub retry_after: Option<Duration>,
}

impl ApiError {
    /// Error without a retry delay.
    pub fn new(
        status: u16,
        code: impl Into<String>,
        message: impl Into<String>,
        verdict: Verdict,
    ) -> Self {
        Self { status, code: code.into(), message: message.into(), verdict, retry_after: None }
    }

    /// Sets the delay after which the caller may retry.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// JSON body of the response. The retry delay is in whole milliseconds.
    pub fn to_json(&self) -> String {
        let error = ErrorDetail {
            code: self.code.clone(),
            message: self.message.clone(),
            verdict: self.verdict.into(),
            retry_after_ms: self.retry_after.map(|d| d.as_millis() as u64),
        };
        serde_json::to_string(&ErrorBody { error }).unwrap_or_default()
    }

    /// Refusal of a request that was never sent to an upstream: its verdict is [`Verdict::NotRun`].
    pub fn refusal(status: u16, code: &str, message: impl Into<String>) -> Self {
        Self::new(status, code, message, Verdict::NotRun)
    }
}
