//! Ids, verdicts, border types and messages between daemons.

pub mod border;
mod id;
mod verdict;

pub use id::{
    DaemonId, DataCentreId, Fence, IdempotencyKey, Incarnation, ModelId, OrganisationId, RegionId,
    RequestId, ServiceId, Tokens, UpstreamId,
};
pub use verdict::Verdict;
