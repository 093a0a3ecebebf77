//! Messages between the daemons of a gateway.

use bincode::{Decode, Encode};
use grant::{
    Decision, DirectoryEntry, PlacementRequest, PlacementRequestId, RequestOutcome, Revision,
    RunningRequest,
};
use std::collections::BTreeSet;
use wire::{DaemonId, DataCentreId};

/// Names of the services that answer messages.
pub(crate) mod service {
    /// Questions for the leader of the control group.
    pub(crate) const LEADER: &str = "leader";
    /// Consensus messages between voters.
    pub(crate) const RAFT: &str = "raft";
}

/// What a daemon asks of the leader.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) enum LeaderRequest {
    /// Brings this daemon's view up to date.
    Follow(FollowRequest),
    /// Asks where a request runs.
    Place(PlacementRequest),
    /// Tells how granted requests go on. Answered, so that a loss is noticed.
    Progress(Vec<Progress>),
    /// A call of an operator or an upstream that came to another daemon.
    Control(ControlHttpRequest),
    /// A daemon with an empty disk wants to join the control group.
    Join {
        /// Its id in the group.
        id: u64,
        /// Its link address.
        address: String,
    },
}

/// The leader's answer.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) enum LeaderReply {
    /// Answer to [`LeaderRequest::Follow`].
    View(Box<ViewChange>),
    /// Answer to [`LeaderRequest::Place`].
    Placement(Decision),
    /// Answer to [`LeaderRequest::Progress`].
    ProgressRecorded,
    /// Answer to [`LeaderRequest::Control`].
    Control(ControlHttpResponse),
    /// Answer to [`LeaderRequest::Join`]: it is being added.
    Admitted,
    /// Answer to [`LeaderRequest::Join`]: the id was removed from the group for good.
    Retired,
    /// Another daemon leads, or none that this one knows of.
    NotLeader {
        /// Link address of the leader, if known.
        leader: Option<String>,
    },
}

/// How far a daemon's view goes. Numbers but the first two count within one term.
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub(crate) struct ViewPosition {
    /// Term of the leader that the view came from.
    pub(crate) term: u64,
    /// Version of the routing document.
    pub(crate) routing: u64,
    /// Revision of the directory.
    pub(crate) directory: Revision,
    /// Changes of the data centres out of service.
    pub(crate) out_of_service_changes: u64,
}

impl ViewPosition {
    /// Whether a view at this position has all that one at `other` has.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        self.term == other.term
            && self.routing >= other.routing
            && self.directory >= other.directory
            && self.out_of_service_changes >= other.out_of_service_changes
    }
}

/// A daemon's position, which also says that it is there.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct FollowRequest {
    /// The daemon.
    pub(crate) daemon: DaemonId,
    /// Whether it takes requests of callers.
    pub(crate) is_entry: bool,
    /// What it has.
    pub(crate) position: ViewPosition,
    /// Requests under way, for a leader that does not know them.
    pub(crate) running: Vec<RunningRequest>,
}

/// What a daemon's view lacks.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct ViewChange {
    /// Where the view is after the change.
    pub(crate) position: ViewPosition,
    /// The routing document, packed, if newer.
    pub(crate) routing: Option<Vec<u8>>,
    /// Whether the entries replace all that the view holds.
    pub(crate) is_whole: bool,
    /// Entries of the directory that have changed.
    pub(crate) entries: Vec<DirectoryEntry>,
    /// Data centres out of service.
    pub(crate) out_of_service: BTreeSet<DataCentreId>,
    /// Daemons that take requests of callers.
    pub(crate) entry_daemons: u32,
    /// Link addresses of the control group.
    pub(crate) control_addresses: Vec<String>,
}

/// How a granted request goes on.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) enum Progress {
    /// Its first event has come.
    FirstEvent(PlacementRequestId),
    /// It has ended.
    Ended(PlacementRequestId, RequestOutcome),
}

/// A call of an operator or an upstream, as it came.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct ControlHttpRequest {
    /// HTTP method.
    pub(crate) method: String,
    /// Path.
    pub(crate) path: String,
    /// Body.
    pub(crate) body: Vec<u8>,
}

/// Answer to a call.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct ControlHttpResponse {
    /// HTTP status.
    pub(crate) status: u16,
    /// JSON body.
    pub(crate) body: Vec<u8>,
}

impl ControlHttpResponse {
    /// An answer with a body that holds a reason.
    pub(crate) fn new(status: u16, reason: &str) -> Self {
        let body = serde_json::json!({ "reason": reason }).to_string().into_bytes();
        Self { status, body }
    }
}
