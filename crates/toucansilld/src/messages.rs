//! Messages between the daemons of a region.
//!
//! A daemon sends each message over a link to one of the message services in [`message_service`].
//! Messages are encoded with `bincode`, which writes fields and variants by position: their order
//! is part of the protocol, their names are not.

use bincode::{Decode, Encode};
use wire::{
    IdempotencyKey, ModelId, OrganisationId, RequestId, ServiceId, Tokens, UpstreamId, Verdict,
};

/// Names of the message services, which address the components of a daemon.
pub mod message_service {
    /// Control group: renewals of session leases, proposals and operators' queries.
    pub const CONTROL: &str = "control";
    /// Owner of upstreams: model requests, service calls and announcements.
    pub const OWNER: &str = "owner";
    /// Consensus messages between voters.
    pub const RAFT: &str = "raft";
    /// Relay of a data centre, which batches the renewals of its daemons.
    pub const RELAY: &str = "relay";
    /// Load digests of owners and demand of organisations.
    pub const GOSSIP: &str = "gossip";
}

/// Request from an entry daemon to an owner to run a model.
#[derive(Clone, Debug, Decode, Encode)]
pub struct JobRequest {
    /// Id of the owner attempt: the caller's request id, with a suffix from the second owner
    /// attempt on.
    pub request: RequestId,
    /// Organisation that pays for the request.
    pub organisation: OrganisationId,
    /// Model to run.
    pub model: ModelId,
    /// Path of the engine's HTTP API.
    pub path: String,
    /// JSON body for the engine: the caller's body with `stream` set.
    pub body: Vec<u8>,
    /// Whether the request is placed before ordinary ones.
    pub is_urgent: bool,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Upper bound on the length of the answer.
    pub max_output_tokens: Tokens,
    /// Hashes of prefixes of the prompt, the shortest first.
    pub prefixes: Vec<PromptPrefix>,
    /// Offset of the first token to send; the caller has received those before it.
    pub first_offset: Tokens,
    /// SHA-256 of the organisation and the caller's body.
    pub request_hash: control::RequestHash,
    /// Whether the request is suspected of crashing upstreams.
    pub is_suspect: bool,
    /// Time remaining until the deadline, in milliseconds.
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

/// Request from an entry daemon to an owner to call a plain service.
#[derive(Clone, Debug, Decode, Encode)]
pub struct ServiceCallRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Plain service to call.
    pub service: ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path below the service, with its query.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body as the caller sent it.
    pub body: Vec<u8>,
    /// Idempotency key for the service, if the caller sent one.
    pub key: Option<IdempotencyKey>,
    /// Whether the call is placed before ordinary ones.
    pub is_urgent: bool,
    /// Whether the call may be sent more than once.
    pub is_idempotent: bool,
    /// Time remaining until the deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Message to an owner, from an entry daemon or a former owner.
#[derive(Clone, Debug, Decode, Encode)]
pub enum OwnerRequest {
    /// Runs a model; the response is a stream of [`JobFrame`]s.
    Job(JobRequest),
    /// Calls a plain service; the response is one [`ServiceCallReply`].
    Call(ServiceCallRequest),
    /// An upstream's announcement as JSON, forwarded by the daemon that received it; the
    /// response is an [`AnnouncementReply`].
    Announce(Vec<u8>),
    /// Renews an announcement by its hash; the response is an [`AnnouncementReply`].
    Alive(AliveAnnouncement),
    /// Requests that a former owner of an upstream still has in flight there.
    Reclaim(ReclaimedRequests),
}

/// Renewal of an announcement that has not changed, sent in place of the whole one.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct AliveAnnouncement {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Hash of the announcement's JSON as received.
    pub hash: u64,
}

/// Requests that the new owner of an upstream must not cancel, because a former owner still
/// waits for them.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct ReclaimedRequests {
    /// Upstream that runs the requests.
    pub upstream: UpstreamId,
    /// Ids of the requests.
    pub requests: Vec<RequestId>,
}

/// One frame of the response to a [`JobRequest`].
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum JobFrame {
    /// No new token yet: queued, in prefill or being resumed. The owner sends it to notice a
    /// disconnected entry daemon.
    Waiting,
    /// One token of the answer.
    Token {
        /// Offset of the token in the answer.
        offset: Tokens,
        /// Text of the token.
        text: String,
    },
    /// The answer is complete.
    Finished {
        /// Why the engine stopped: `stop` or `length`.
        reason: String,
        /// Tokens of the prompt, as counted by the engine.
        prompt_tokens: Tokens,
        /// Tokens of the answer.
        output_tokens: Tokens,
    },
    /// This owner has given the request up.
    Failed(RequestFailure),
}

/// Why an owner gave up a request.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct RequestFailure {
    /// HTTP status for the caller.
    pub status: u16,
    /// Stable error code for programs.
    pub code: String,
    /// Reason in one sentence.
    pub reason: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Delay after which the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Whether another owner may be able to serve the request.
    pub may_try_another_owner: bool,
}

/// Response to a [`ServiceCallRequest`].
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum ServiceCallReply {
    /// The plain service responded.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type of the body.
        content_type: String,
        /// Body of the response.
        body: Vec<u8>,
    },
    /// No response of the plain service is known.
    Failed(RequestFailure),
}

/// Response to [`OwnerRequest::Announce`] and [`OwnerRequest::Alive`].
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum AnnouncementReply {
    /// The owner holds the announcement and has renewed its lease.
    Known,
    /// The owner has no announcement with this hash and needs the whole one.
    Unknown,
    /// The announcement is refused for this reason.
    Refused(String),
}

/// State that a daemon sends to the others at intervals.
#[derive(Clone, Debug, Decode, Encode)]
pub struct GossipMessage {
    /// Load and capacity of the sender's owner.
    pub digest: route::OwnerDigest,
    /// Demand at the sender's entry.
    pub demand: Vec<OrganisationDemand>,
}

/// Demand of one organisation at one entry.
#[derive(Clone, Debug, Decode, Encode)]
pub struct OrganisationDemand {
    /// Name of the organisation.
    pub organisation: OrganisationId,
    /// Tokens per second, averaged over a few seconds.
    pub tokens_per_second: Tokens,
}
