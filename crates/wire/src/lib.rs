//! Types shared by all crates, and the transport between daemons.
//!
//! The crate has three parts:
//!
//! * Identifiers ([`RequestId`], [`UpstreamId`] and others), [`FencingToken`], and [`Verdict`],
//!   which states whether a failed request may have run on an upstream.
//! * [`border`]: the JSON bodies that callers, upstreams and operators exchange with the daemons.
//! * [`Links`]: authenticated connections over which a daemon sends a [`Message`] to a named
//!   service of another daemon and receives a reply as a stream of frames. Every [`Error`] states
//!   whether the other daemon may have acted on the message.

pub mod border;
mod error;
mod id;
mod link;
mod message;
mod secret;
mod verdict;

pub use error::{Error, PassFailure, Result};
pub use id::{
    DaemonId, DataCentreId, FencingToken, IdempotencyKey, Incarnation, ModelId, OrganisationId,
    RegionId, RequestId, ServiceId, Tokens, UpstreamId,
};
pub use link::{
    FrameDecoder, Inbound, InboundHandler, LinkConfig, LinkCounters, LinkFailure, LinkFailureKind,
    Links, PeerRoute, ProbeOutcome, Responder, StreamIn, VersionRange, probe,
};
pub use message::{MAX_MESSAGE_BYTES, Message, decode, encode};
pub use secret::{RegionSecret, read_secret_file};
pub use verdict::Verdict;
