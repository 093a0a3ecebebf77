//! Jobs that an owner places and the resulting placements.

use crate::{class::LengthClass, error::Refusal};
use limit::Priority;
use std::time::Instant;
use wire::{Incarnation, ModelId, RequestId, Tokens, UpstreamId};

/// Hash of a prompt's first tokens.
pub type PrefixHash = u64;

/// Beginning of a prompt that may be in the prefix cache of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Prefix {
    /// Hash of the tokens.
    pub hash: PrefixHash,
    /// Number of tokens hashed.
    pub tokens: Tokens,
}

/// One attempt of a request, to be placed on an upstream; once dispatched, a request in flight.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of this attempt, unique over all daemons.
    pub request: RequestId,
    /// Model, or name of a plain service.
    pub model: ModelId,
    /// Priority of the request; the greater one is served first.
    pub priority: Priority,
    /// Estimated length of the prompt, in tokens; 0 for a plain service.
    pub prompt_tokens: Tokens,
    /// Maximum length of the output, in tokens; 0 for a plain service.
    pub max_output_tokens: Tokens,
    /// Prefixes of the prompt, the shortest first.
    pub prefixes: Vec<Prefix>,
    /// Time by which the whole response must be received.
    pub deadline: Instant,
    /// Upstreams of earlier attempts, which are not chosen again.
    pub avoid: Vec<UpstreamId>,
    /// Whether it is suspected of crashing upstreams. No upstream runs two such requests at the
    /// same time.
    pub is_suspect: bool,
}

/// Memory reserved on one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reservation {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream; the reservation ends with it.
    pub incarnation: Incarnation,
    /// Memory reserved, in tokens.
    pub tokens: Tokens,
}

/// Part of a prompt that one member of a gang prefills.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptSegment {
    /// Memory reserved on the member.
    pub reservation: Reservation,
    /// Index of the first prompt token of the part.
    pub start: Tokens,
    /// Index after the last prompt token of the part.
    pub end: Tokens,
}

/// Where a request runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Placement {
    /// On one upstream.
    Single(Reservation),
    /// On several upstreams, in the order of their ids. The segments are prefilled in turn, each
    /// member transfers the KV cache to the next, and the last one decodes.
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

/// Instruction to send a request to its upstreams, returned once for each job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// Id of the attempt.
    pub request: RequestId,
    /// Upstreams and memory that the request is placed on.
    pub placement: Placement,
    /// Length class; the engine gives shorter prompts a higher priority.
    pub class: LengthClass,
    /// Priority of the request, passed on to the engine; the greater one is served first.
    pub priority: Priority,
    /// Predicted time of the first token.
    pub first_token_expected: Instant,
}

/// A queued job that was refused and has left the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusedJob {
    /// Id of the attempt.
    pub request: RequestId,
    /// Reason for the refusal and when the caller should retry.
    pub refusal: Refusal,
}

/// A request that was in flight on an upstream that restarted or was removed. Whether it may be
/// retried depends on what was sent to the upstream; its memory is already released.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostJob {
    /// Id of the attempt.
    pub request: RequestId,
    /// The upstream that restarted or was removed.
    pub upstream: UpstreamId,
    /// Number of other requests that were in flight there.
    pub concurrent_requests: usize,
}

/// Tokens that a request used, as the engine reports at its end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenUsage {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: Tokens,
    /// Part of the prompt found in the prefix cache.
    pub cached_tokens: Tokens,
    /// Length of the output, in tokens.
    pub output_tokens: Tokens,
}

/// What caused the failure of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureCause {
    /// The upstream: it is unreachable, silent or faulty, and is paused for a short time.
    Upstream,
    /// The request itself, which would fail on any other upstream too.
    Request,
}
