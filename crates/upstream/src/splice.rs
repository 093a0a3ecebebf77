//! Joins the tokens of several connections into one stream: a pure state machine.

use wire::{RequestId, Tokens};

/// What becomes of one received token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Spliced {
    /// The next token of the stream.
    Forward,
    /// The stream has it already.
    Skip,
    /// It belongs to another request.
    Foreign,
    /// Tokens before it are missing: the connection can't be used further.
    Gap,
}

/// The tokens of one stream, from whichever connections they come.
///
/// Each token is forwarded exactly once and in order.
///
/// ```
/// use upstream::{Splice, Spliced};
///
/// let mut splice = Splice::new("r-1", 0);
/// assert_eq!(splice.token("r-1", 0), Spliced::Forward);
/// assert_eq!(splice.token("r-2", 1), Spliced::Foreign);
/// assert_eq!(splice.token("r-1", 2), Spliced::Gap);
/// // A new connection starts over.
/// assert_eq!(splice.token("r-1", 0), Spliced::Skip);
/// assert_eq!(splice.token("r-1", 1), Spliced::Forward);
/// assert_eq!(splice.next(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct Splice {
    id: RequestId,
    next: Tokens,
}

impl Splice {
    /// A stream whose tokens before `next` are known already.
    pub fn new(id: impl Into<RequestId>, next: Tokens) -> Self {
        Self { id: id.into(), next }
    }

    /// Offset of the next token, at which an upstream should resume.
    pub fn next(&self) -> Tokens {
        self.next
    }

    /// Takes in the token at `offset` of the answer to request `id`.
    pub fn token(&mut self, id: &str, offset: Tokens) -> Spliced {
        if id != self.id {
            return Spliced::Foreign;
        }
        if offset < self.next {
            return Spliced::Skip;
        }
        if offset > self.next {
            return Spliced::Gap;
        }
        self.next += 1;
        Spliced::Forward
    }

    /// Takes in the end of the answer to request `id`, after `total` tokens.
    pub fn end(&self, id: &str, total: Tokens) -> Spliced {
        if id != self.id {
            return Spliced::Foreign;
        }
        if total > self.next {
            return Spliced::Gap;
        }
        Spliced::Forward
    }
}
