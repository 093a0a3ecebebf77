//! Length classes of prompts.

use wire::Tokens;

/// Number of length classes.
pub const LENGTH_CLASS_COUNT: usize = 4;

/// Longest prompt of each class but the last, in tokens.
const LIMITS: [Tokens; LENGTH_CLASS_COUNT - 1] = [4_096, 32_768, 131_072];

/// Class of a prompt by its length. Shorter compares less.
///
/// ```
/// use route::LengthClass;
///
/// assert_eq!(LengthClass::of(1_000), LengthClass::Short);
/// assert_eq!(LengthClass::of(1_000_000), LengthClass::Huge);
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LengthClass {
    /// Up to 4k tokens.
    Short,
    /// Up to 32k tokens.
    Medium,
    /// Up to 128k tokens.
    Long,
    /// Above 128k tokens.
    Huge,
}

impl LengthClass {
    /// All classes, the shortest first.
    pub const ALL: [Self; LENGTH_CLASS_COUNT] = [Self::Short, Self::Medium, Self::Long, Self::Huge];

    /// The class of a prompt of this length.
    pub fn of(prompt_tokens: Tokens) -> Self {
        let index = LIMITS.iter().filter(|limit| prompt_tokens > **limit).count();
        Self::ALL[index]
    }

    /// A small index, 0 for the shortest.
    pub fn index(self) -> usize {
        self as usize
    }
}
