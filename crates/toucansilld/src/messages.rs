//! Messages between the daemons of a region.
//!
//! Each is encoded with `bincode` and travels over a link to the service that
//! [`service`] names.

use bincode::{Decode, Encode};
use wire::{
    DataCentreId, IdempotencyKey, ModelId, OrganisationId, RequestId, ServiceId, Tokens, Verdict,
};

/// Names of the services that answer messages.
pub mod service {
    /// The control group's voter: renewals, proposals, consensus messages.
    pub const CONTROL: &str = "control";
    /// The owner of upstreams: jobs, calls, announcements.
    pub const OWNER: &str = "owner";
    /// Digests of the owners.
    pub const DIGEST: &str = "digest";
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
    /// Hash of the prompt's first blocks.
    pub prefix: u64,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
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
}

/// One frame of a job's answer.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum JobFrame {
    /// One chunk of the answer, as the engine's JSON.
    Chunk {
        /// Offset of its token in the answer.
        offset: Tokens,
        /// The JSON text of the event.
        json: String,
    },
    /// The answer is whole.
    Finished {
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
    /// The announcement is refused.
    Refused(String),
}

/// An owner's digest as it travels between daemons.
#[derive(Clone, Debug, Decode, Encode)]
pub struct OwnerDigest {
    /// Data centre of the owner.
    pub data_centre: DataCentreId,
    /// The digest, encoded by the `route` crate's type.
    pub digest: Vec<u8>,
}
