//! Messages between the daemons of a region.
//!
//! Each is encoded with `bincode` and travels over a link to the service that
//! [`service`] names.

use bincode::{Decode, Encode};
use wire::{
    IdempotencyKey, ModelId, OrganisationId, RequestId, ServiceId, Tokens, UpstreamId, Verdict,
};

/// Names of the services that answer messages.
pub mod service {
    /// The control group's voter: renewals, proposals, consensus messages.
    pub const CONTROL: &str = "control";
    /// The owner of upstreams: jobs, calls, announcements.
    pub const OWNER: &str = "owner";
    /// Consensus messages between voters.
    pub const RAFT: &str = "raft";
    /// Renewals for the relay of a data centre.
    pub const RELAY: &str = "relay";
    /// Digests of the owners and demand at the entries.
    pub const GOSSIP: &str = "gossip";
}

/// A request to an owner for a model engine.
#[derive(Clone, Debug, Decode, Encode)]
pub struct Job {
    /// Id of the request.
    pub request: RequestId,
    /// Organisation that pays for it.
    pub organisation: OrganisationId,
    /// Model to run.
    pub model: ModelId,
    /// Path of the engine's API.
    pub path: String,
    /// JSON body as the caller sent it.
    pub body: Vec<u8>,
    /// Whether it goes before ordinary requests.
    pub urgent: bool,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Bound on the answer.
    pub max_output_tokens: Tokens,
    /// Hashes of the prompt's beginnings, the shortest first.
    pub prefixes: Vec<PromptPrefix>,
    /// Offset of the first token wanted; those before it were sent already.
    pub first: Tokens,
    /// SHA-256 over the organisation and the body.
    pub fingerprint: control::RequestHash,
    /// Whether the request is suspected of crashing upstreams.
    pub is_suspect: bool,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Hash of the first `tokens` tokens of a prompt.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct PromptPrefix {
    /// Hash of the tokens.
    pub hash: u64,
    /// Number of tokens hashed.
    pub tokens: Tokens,
}

/// A call to an owner for a plain service.
#[derive(Clone, Debug, Decode, Encode)]
pub struct PlainCall {
    /// Id of the request.
    pub request: RequestId,
    /// Service to call.
    pub service: ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path below the service, with its query.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body as the caller sent it.
    pub body: Vec<u8>,
    /// Key that the service receives, where the caller sent one.
    pub key: Option<IdempotencyKey>,
    /// Whether it goes before ordinary calls.
    pub urgent: bool,
    /// Whether it may be sent more than once.
    pub is_idempotent: bool,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// What an entry daemon or an upstream asks of an owner.
#[derive(Clone, Debug, Decode, Encode)]
pub enum OwnerRequest {
    /// Runs a job; answered by a stream of [`JobFrame`].
    Job(Job),
    /// Calls a plain service; answered by one [`PlainReply`].
    Call(PlainCall),
    /// An upstream's announcement as JSON, passed on by the daemon that received it.
    Announce(Vec<u8>),
    /// An upstream repeated an announcement that this owner has taken before.
    Alive(Alive),
    /// Requests that the former owner of an upstream still has in flight there.
    Claim(Claimed),
}

/// A repeated announcement.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Alive {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Hash of the announcement as it came.
    pub hash: u64,
}

/// Requests that must not be cancelled, as a former owner waits for them.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Claimed {
    /// The upstream that runs them.
    pub upstream: UpstreamId,
    /// Ids of the requests.
    pub requests: Vec<RequestId>,
}

/// One frame of a job's answer.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum JobFrame {
    /// The request waits or its prompt is being processed.
    Waiting,
    /// One token of the answer.
    Token {
        /// Offset of the token in the answer.
        offset: Tokens,
        /// Text of the token.
        text: String,
    },
    /// The answer is whole.
    Finished {
        /// Why the engine ended: `stop` or `length`.
        reason: String,
        /// Tokens of the prompt, as the engine counted them.
        prompt_tokens: Tokens,
        /// Tokens of the answer.
        output_tokens: Tokens,
    },
    /// The request failed for good.
    Failed(Failure),
}

/// Why a request failed.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Failure {
    /// HTTP status for the caller.
    pub status: u16,
    /// Stable code for programs.
    pub code: String,
    /// Reason in one sentence.
    pub reason: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// When the caller may ask again, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Whether another owner may be able to take the request.
    pub is_local: bool,
}

/// Answer to a [`PlainCall`].
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum PlainReply {
    /// The service answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Body.
        body: Vec<u8>,
    },
    /// No answer.
    Failed(Failure),
}

/// Answer to [`OwnerRequest::Announce`].
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum AnnounceReply {
    /// The owner knows the upstream.
    Known,
    /// The owner does not know this announcement; it needs the whole one.
    Unknown,
    /// The announcement is refused.
    Refused(String),
}

/// What a daemon tells others at intervals.
#[derive(Clone, Debug, Decode, Encode)]
pub struct Gossip {
    /// What it can do as an owner.
    pub digest: route::OwnerDigest,
    /// Demand of the organisations at its entry.
    pub usage: Vec<Demand>,
}

/// Demand of one organisation.
#[derive(Clone, Debug, Decode, Encode)]
pub struct Demand {
    /// Name of the organisation.
    pub organisation: OrganisationId,
    /// Tokens a second, averaged over a few seconds.
    pub tokens_per_second: Tokens,
}
