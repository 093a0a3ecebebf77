//! Limits on an upstream that has just started.

use bincode::{Decode, Encode};
use std::time::Duration;
use wire::Tokens;

/// Cold-start ramp: limits on the concurrent requests and the memory of an upstream that grow
/// linearly from their initial values to the full ones. Each upstream announces its own ramp.
///
/// ```
/// use route::Ramp;
/// use std::time::Duration;
///
/// let ramp =
///     Ramp { initial_running: 2, initial_tokens: 8_000, duration: Duration::from_secs(60) };
/// assert_eq!(ramp.running_after(Duration::ZERO, 32), 2);
/// assert_eq!(ramp.running_after(Duration::from_secs(30), 32), 17);
/// assert_eq!(ramp.running_after(Duration::from_secs(60), 32), 32);
/// ```
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Ramp {
    /// Maximum number of concurrent requests right after a start.
    pub initial_running: u32,
    /// Memory that can be reserved right after a start, in tokens.
    pub initial_tokens: Tokens,
    /// Time from a start until the full limits apply.
    pub duration: Duration,
}

impl Ramp {
    /// No ramp: the full limits apply from the start.
    pub const NONE: Self =
        Self { initial_running: u32::MAX, initial_tokens: Tokens::MAX, duration: Duration::ZERO };

    /// Whether the ramp has ended at this time since the start.
    pub fn is_over(&self, age: Duration) -> bool {
        age >= self.duration
    }

    /// Maximum number of concurrent requests at this time since the start, where `full` is the
    /// limit after the ramp.
    pub fn running_after(&self, age: Duration, full: u32) -> u32 {
        let allowed = self.grow(u64::from(self.initial_running), u64::from(full), age);
        u32::try_from(allowed).unwrap_or(u32::MAX)
    }

    /// Memory that can be reserved at this time since the start, in tokens, where `full` is the
    /// limit after the ramp.
    pub fn tokens_after(&self, age: Duration, full: Tokens) -> Tokens {
        self.grow(self.initial_tokens, full, age)
    }

    /// Interpolates linearly from `start` to `full`; a start above `full` counts as `full`.
    fn grow(&self, start: u64, full: u64, age: Duration) -> u64 {
        let start = start.min(full);
        if self.is_over(age) {
            return full;
        }
        let grown = u128::from(full - start) * age.as_nanos() / self.duration.as_nanos().max(1);
        start + grown as u64
    }
}
