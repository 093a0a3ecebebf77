//! Length classes of prompts.

use wire::Tokens;

/// Number of length classes.
pub const LENGTH_CLASS_COUNT: usize = 4;

/// Longest prompt of each class except the last, which has no limit, in tokens.
const MAX_PROMPT_TOKENS: [Tokens; LENGTH_CLASS_COUNT - 1] = [4_096, 32_768, 131_072];

/// Class of a prompt by its length. Classes are ordered from the shortest to the longest.
///
/// ```
/// use route::LengthClass;
///
/// assert_eq!(LengthClass::of(1_000), LengthClass::Short);
/// assert_eq!(LengthClass::of(1_000_000), LengthClass::Huge);
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LengthClass {
    /// Up to 4,096 tokens.
    Short,
    /// Up to 32,768 tokens.
    Medium,
    /// Up to 131,072 tokens.
    Long,
    /// Above 131,072 tokens.
    Huge,
}

impl LengthClass {
    /// All classes, the shortest first.
    pub const ALL: [Self; LENGTH_CLASS_COUNT] = [Self::Short, Self::Medium, Self::Long, Self::Huge];

    /// Returns the class of a prompt of this length.
    pub fn of(prompt_tokens: Tokens) -> Self {
        let index = MAX_PROMPT_TOKENS.iter().filter(|limit| prompt_tokens > **limit).count();
        Self::ALL[index]
    }

    /// Position in [`ALL`](Self::ALL), 0 for the shortest class.
    pub fn index(self) -> usize {
        self as usize
    }
}
