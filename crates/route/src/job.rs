//! Requests as an owner sees them and where they are placed.

use crate::{class::LengthClass, error::Refusal};
use limit::Priority;
use std::time::Instant;
use wire::{Incarnation, ModelId, RequestId, Tokens, UpstreamId};

/// Hash of a prompt's first tokens.
pub type PrefixHash = u64;

/// Hash of the first `tokens` tokens of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Prefix {
    /// Hash of the tokens.
    pub hash: PrefixHash,
    /// Number of tokens hashed.
    pub tokens: Tokens,
}

/// A request to be placed on an upstream.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of this attempt, unique over all daemons.
    pub request: RequestId,
    /// Model, or name of a plain service.
    pub model: ModelId,
    /// How urgent the request is.
    pub priority: Priority,
    /// Estimated length of the prompt; 0 for a plain service.
    pub prompt_tokens: Tokens,
    /// Most tokens that the answer may have; 0 for a plain service.
    pub max_output_tokens: Tokens,
    /// Hashes of the prompt's beginnings, the shortest first.
    pub prefixes: Vec<Prefix>,
    /// When the whole answer must be there.
    pub deadline: Instant,
    /// Upstreams that were tried already.
    pub avoid: Vec<UpstreamId>,
    /// Whether it is suspected of crashing upstreams; no upstream gets two such
    /// requests at once.
    pub is_suspect: bool,
}

/// Memory promised on one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reservation {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Incarnation that the reservation holds for; no reservation outlives it.
    pub incarnation: Incarnation,
    /// Memory promised, in tokens.
    pub tokens: Tokens,
}

/// Part of a prompt that one member of a gang prefills.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptSegment {
    /// Memory promised.
    pub reservation: Reservation,
    /// First token of the part.
    pub start: Tokens,
    /// One past the last prompt token of the part.
    pub end: Tokens,
}

/// Where a request runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Placement {
    /// On one upstream.
    Single(Reservation),
    /// On several upstreams, in the order of their ids. Segments are prefilled
    /// in turn, the KV cache handed on; the last one decodes.
    Gang(Vec<PromptSegment>),
}

impl Placement {
    /// All reservations of the placement.
    pub fn reservations(&self) -> Vec<&Reservation> {
        match self {
            Self::Single(reservation) => vec![reservation],
            Self::Gang(segments) => segments.iter().map(|s| &s.reservation).collect(),
        }
    }
}

/// Order to send a request, given once per job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// Id of the attempt.
    pub request: RequestId,
    /// Where it runs.
    pub placement: Placement,
    /// Length class, for the engine's priority: shorter goes first.
    pub class: LengthClass,
    /// How urgent the request is, for the engine's priority.
    pub priority: Priority,
    /// When the first token is expected.
    pub first_token_expected: Instant,
}

/// Final answer to a job that waited and was given up on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusedJob {
    /// Id of the attempt.
    pub request: RequestId,
    /// Why, and when to come back.
    pub refusal: Refusal,
}

/// A request that was in flight on an upstream that is gone. Whether it may be
/// retried depends on what was sent; the memory is already returned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostJob {
    /// Id of the attempt.
    pub request: RequestId,
    /// The upstream that is gone.
    pub upstream: UpstreamId,
    /// Other requests that were in flight there.
    pub concurrent_requests: usize,
}

/// Tokens that a request really used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenUsage {
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Part of the prompt found in the prefix cache.
    pub cached_tokens: Tokens,
    /// Length of the answer.
    pub output_tokens: Tokens,
}

/// Who caused a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureCause {
    /// The upstream: unreachable, silent or broken. It is spared for a moment.
    Upstream,
    /// The request itself, which no other upstream would answer either.
    Request,
}
