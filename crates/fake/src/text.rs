//! The text that an engine answers with: a pure function of the prompt.

use wire::Tokens;

/// Bytes of prompt text that count as one token.
pub(crate) const BYTES_PER_TOKEN: u64 = 4;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Number of tokens in a prompt of `bytes` bytes, rounded up.
///
/// ```
/// assert_eq!(fake::count_tokens(9), 3);
/// ```
pub fn count_tokens(bytes: u64) -> Tokens {
    bytes.div_ceil(BYTES_PER_TOKEN)
}

/// Digest of a prompt, which can be continued segment by segment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Digest(pub(crate) u64);

impl Digest {
    /// Digest of the empty prompt.
    pub(crate) const EMPTY: Self = Self(FNV_OFFSET);

    /// Digest of this prompt followed by `bytes`.
    pub(crate) fn extend(self, bytes: &[u8]) -> Self {
        Self(bytes.iter().fold(self.0, |h, b| (h ^ u64::from(*b)).wrapping_mul(FNV_PRIME)))
    }

    /// Text of the token at `offset` of the answer.
    pub(crate) fn token(self, offset: Tokens) -> String {
        let mixed = self.extend(&offset.to_le_bytes()).0;
        format!("w{:04x} ", mixed >> 48)
    }
}

/// The answer to `prompt` from token `from` up to, not including, token `to`.
///
/// ```
/// let whole = fake::completion_text("hello", 0, 5);
/// let start = fake::completion_text("hello", 0, 2);
/// let rest = fake::completion_text("hello", 2, 5);
/// assert_eq!(whole, start + &rest);
/// ```
pub fn completion_text(prompt: &str, from: Tokens, to: Tokens) -> String {
    let digest = Digest::EMPTY.extend(prompt.as_bytes());
    (from..to).map(|offset| digest.token(offset)).collect()
}
