//! Ids, verdicts, border types and messages between daemons.

pub mod border;
mod error;
mod id;
mod link;
mod message;
mod secret;
mod verdict;

pub use error::{Error, Result};
pub use id::{
    DaemonId, DataCentreId, FencingToken, IdempotencyKey, Incarnation, ModelId, OrganisationId,
    RegionId, RequestId, ServiceId, Tokens, UpstreamId,
};
pub use link::{
    FrameDecoder, Inbound, InboundHandler, LinkConfig, LinkCounters, Links, Responder, StreamIn,
    VersionRange,
};
pub use message::{MAX_MESSAGE_BYTES, Message, decode, encode};
pub use secret::{RegionSecret, read_secret_file};
pub use verdict::Verdict;
