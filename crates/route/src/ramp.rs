//! Cold-start ramp of an upstream.

use bincode::{Decode, Encode};
use std::time::Duration;
use wire::Tokens;

/// What an upstream bears after a start, growing in a straight line from the
/// first to the last value. An upstream states its own ramp.
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
    /// Requests that it bears at once just after a start.
    pub initial_running: u32,
    /// Tokens that it bears at once just after a start.
    pub initial_tokens: Tokens,
    /// Time from a start until it bears its full load.
    pub duration: Duration,
}

impl Ramp {
    /// A ramp for upstreams that bear their full load at once.
    pub const NONE: Self =
        Self { initial_running: u32::MAX, initial_tokens: Tokens::MAX, duration: Duration::ZERO };

    /// Whether the ramp has ended at this age.
    pub fn is_over(&self, age: Duration) -> bool {
        age >= self.duration
    }

    /// Requests allowed at once at this age, where `full` is the final value.
    pub fn running_after(&self, age: Duration, full: u32) -> u32 {
        let allowed = self.grow(u64::from(self.initial_running), u64::from(full), age);
        u32::try_from(allowed).unwrap_or(u32::MAX)
    }

    /// Tokens allowed at once at this age, where `full` is the final value.
    pub fn tokens_after(&self, age: Duration, full: Tokens) -> Tokens {
        self.grow(self.initial_tokens, full, age)
    }

    fn grow(&self, start: u64, full: u64, age: Duration) -> u64 {
        let start = start.min(full);
        if self.is_over(age) {
            return full;
        }
        let grown = u128::from(full - start) * age.as_nanos() / self.duration.as_nanos().max(1);
        start + grown as u64
    }
}
