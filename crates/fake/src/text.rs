//! Text of completions, which is a pure function of the prompt.

use wire::Tokens;

/// Length of a token of a prompt, in bytes.
pub(crate) const BYTES_PER_TOKEN: u64 = 4;
/// Initial value of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Number of tokens in a prompt of `bytes` bytes, rounded up.
///
/// ```
/// assert_eq!(fake::count_tokens(9), 3);
/// ```
pub fn count_tokens(bytes: u64) -> Tokens {
    bytes.div_ceil(BYTES_PER_TOKEN)
}

/// Digest (FNV-1a) of a prompt, which can be extended segment by segment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PromptDigest(pub(crate) u64);

impl PromptDigest {
    /// Digest of the empty prompt.
    pub(crate) const EMPTY: Self = Self(FNV_OFFSET);

    /// Digest of this prompt followed by `bytes`.
    pub(crate) fn extend(self, bytes: &[u8]) -> Self {
        Self(
            bytes
                .iter()
                .fold(self.0, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)),
        )
    }

    /// Text of the token at `offset` of the completion.
    pub(crate) fn token(self, offset: Tokens) -> String {
        let mixed = self.extend(&offset.to_le_bytes()).0;
        format!("w{:04x} ", mixed >> 48)
    }
}

/// Completion of `prompt`, from token `from` up to but not including token `to`.
///
/// ```
/// let whole = fake::completion_text("hello", 0, 5);
/// let start = fake::completion_text("hello", 0, 2);
/// let rest = fake::completion_text("hello", 2, 5);
/// assert_eq!(whole, start + &rest);
/// ```
pub fn completion_text(prompt: &str, from: Tokens, to: Tokens) -> String {
    let digest = PromptDigest::EMPTY.extend(prompt.as_bytes());
    (from..to).map(|offset| digest.token(offset)).collect()
}
