//! Joins the tokens of several connections into one stream: a pure state machine.

use wire::{RequestId, Tokens};

/// What becomes of one received token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergedToken {
    /// The next token of the stream.
    Forward,
    /// The stream has it already.
    Skip,
    /// It belongs to another request.
    OtherRequest,
    /// Tokens before it are missing: the connection can't be used further.
    Gap,
}

/// The tokens of one stream, from whichever connections they come.
///
/// Each token is forwarded exactly once and in order.
///
/// ```
/// use upstream::{MergedToken, StreamMerger};
///
/// let mut merger = StreamMerger::new("r-1", 0);
/// assert_eq!(merger.accept_token("r-1", 0), MergedToken::Forward);
/// assert_eq!(merger.accept_token("r-2", 1), MergedToken::OtherRequest);
/// assert_eq!(merger.accept_token("r-1", 2), MergedToken::Gap);
/// // A new connection starts over.
/// assert_eq!(merger.accept_token("r-1", 0), MergedToken::Skip);
/// assert_eq!(merger.accept_token("r-1", 1), MergedToken::Forward);
/// assert_eq!(merger.next_offset(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct StreamMerger {
    id: RequestId,
    next: Tokens,
}

impl StreamMerger {
    /// A stream whose tokens before `next` are known already.
    pub fn new(id: impl Into<RequestId>, next: Tokens) -> Self {
        Self { id: id.into(), next }
    }

    /// Offset of the next token, at which an upstream should resume.
    pub fn next_offset(&self) -> Tokens {
        self.next
    }

    /// Takes in the token at `offset` of the answer to request `id`.
    pub fn accept_token(&mut self, id: &str, offset: Tokens) -> MergedToken {
        if id != self.id {
            return MergedToken::OtherRequest;
        }
        if offset < self.next {
            return MergedToken::Skip;
        }
        if offset > self.next {
            return MergedToken::Gap;
        }
        self.next += 1;
        MergedToken::Forward
    }

    /// Takes in the end of the answer to request `id`, after `total` tokens.
    pub fn accept_end(&self, id: &str, total: Tokens) -> MergedToken {
        if id != self.id {
            return MergedToken::OtherRequest;
        }
        if total > self.next {
            return MergedToken::Gap;
        }
        MergedToken::Forward
    }
}
