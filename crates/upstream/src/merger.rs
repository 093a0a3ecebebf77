//! Merges the tokens that arrive on successive connections into one stream: a pure
//! state machine.

use wire::{RequestId, Tokens};

/// What to do with a received token or end event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// It comes next in the stream.
    Forward,
    /// The token was forwarded before.
    Skip,
    /// It belongs to another request.
    OtherRequest,
    /// Tokens before it are missing, so the connection is unusable.
    Gap,
}

/// Merges the tokens of one stream, whichever connections they come from.
///
/// Each token is forwarded exactly once and in order.
///
/// ```
/// use upstream::{MergeOutcome, StreamMerger};
///
/// let mut merger = StreamMerger::new("r-1", 0);
/// assert_eq!(merger.accept_token("r-1", 0), MergeOutcome::Forward);
/// assert_eq!(merger.accept_token("r-2", 1), MergeOutcome::OtherRequest);
/// assert_eq!(merger.accept_token("r-1", 2), MergeOutcome::Gap);
/// // A new connection starts again from the first token.
/// assert_eq!(merger.accept_token("r-1", 0), MergeOutcome::Skip);
/// assert_eq!(merger.accept_token("r-1", 1), MergeOutcome::Forward);
/// assert_eq!(merger.next_offset(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct StreamMerger {
    id: RequestId,
    next: Tokens,
}

impl StreamMerger {
    /// Creates a merger for request `id` that expects the token at offset `next` first.
    pub fn new(id: impl Into<RequestId>, next: Tokens) -> Self {
        Self { id: id.into(), next }
    }

    /// Offset of the next token, from which an upstream should resume.
    pub fn next_offset(&self) -> Tokens {
        self.next
    }

    /// Classifies the token at `offset` of the response to request `id`, and advances
    /// past it if it is to be forwarded.
    pub fn accept_token(&mut self, id: &str, offset: Tokens) -> MergeOutcome {
        if id != self.id {
            return MergeOutcome::OtherRequest;
        }
        if offset < self.next {
            return MergeOutcome::Skip;
        }
        if offset > self.next {
            return MergeOutcome::Gap;
        }
        self.next += 1;
        MergeOutcome::Forward
    }

    /// Classifies the end of the response to request `id`, which has `total` tokens.
    pub fn accept_end(&self, id: &str, total: Tokens) -> MergeOutcome {
        if id != self.id {
            return MergeOutcome::OtherRequest;
        }
        if total > self.next {
            return MergeOutcome::Gap;
        }
        MergeOutcome::Forward
    }
}
