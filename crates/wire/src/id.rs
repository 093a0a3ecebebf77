//! Ids and units that every crate shares.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Name of a daemon, unique in its region.
pub type DaemonId = String;
/// Name of a data centre, unique over all regions.
pub type DataCentreId = String;
/// Key that a caller sends so that a non-idempotent call runs at most once.
pub type IdempotencyKey = String;
/// Number that an upstream raises at each of its starts.
pub type Incarnation = u64;
/// Name of a model.
pub type ModelId = String;
/// Name of an organisation.
pub type OrganisationId = String;
/// Name of a region.
pub type RegionId = String;
/// Id of one request, unique over all daemons.
pub type RequestId = String;
/// Name of a plain service.
pub type ServiceId = String;
/// A count of tokens.
pub type Tokens = u64;
/// Name of an upstream, unique in its region.
pub type UpstreamId = String;

/// Fencing number of an order: a later owner's orders compare greater.
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
    /// Ownership epoch, committed by the control group.
    pub epoch: u64,
    /// Number of the order within the epoch.
    pub sequence: u64,
}
