//! Identifiers and units shared by all crates.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Name of a daemon, unique in its region.
pub type DaemonId = String;
/// Name of a data centre, unique across all regions.
pub type DataCentreId = String;
/// Value of the `Idempotency-Key` request header, with which a non-idempotent call runs at most
/// once.
pub type IdempotencyKey = String;
/// Number that an upstream increases each time it starts.
pub type Incarnation = u64;
/// Name of a model.
pub type ModelId = String;
/// Name of an organisation.
pub type OrganisationId = String;
/// Name of a region.
pub type RegionId = String;
/// Identifier of a request, unique across all daemons.
pub type RequestId = String;
/// Name of a service other than a model.
pub type ServiceId = String;
/// Number of tokens.
pub type Tokens = u64;
/// Name of an upstream, unique in its region.
pub type UpstreamId = String;

/// Fencing token of an order to an upstream.
///
/// The token of a later owner compares greater than any token of an earlier one, so an upstream
/// can reject an order that is out of date.
///
/// ```
/// use wire::FencingToken;
///
/// assert!(FencingToken { epoch: 2, sequence: 0 } > FencingToken { epoch: 1, sequence: 9 });
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Decode,
    Default,
    Deserialize,
    Encode,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct FencingToken {
    /// Epoch of the ownership, committed in the replicated log of the control group.
    pub epoch: u64,
    /// Sequence number of the order within the epoch.
    pub sequence: u64,
}
