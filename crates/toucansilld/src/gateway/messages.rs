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
pub(crate) enum Question {
    /// Brings this daemon's view up to date.
    Follow(Follow),
    /// Asks where a request runs.
    Place(PlacementRequest),
    /// Tells how granted requests go on. Answered, so that a loss is noticed.
    Progress(Vec<Progress>),
    /// A call of an operator or an upstream that came to another daemon.
    Call(Call),
    /// A daemon with an empty disk wants to join the control group.
    Admit {
        /// Its id in the group.
        id: u64,
        /// Its link address.
        address: String,
    },
}

/// The leader's answer.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) enum Reply {
    /// Answer to [`Question::Follow`].
    View(Box<ViewChange>),
    /// Answer to [`Question::Place`].
    Placed(Decision),
    /// Answer to [`Question::Progress`].
    Noted,
    /// Answer to [`Question::Call`].
    Called(CallAnswer),
    /// Answer to [`Question::Admit`]: it is being added.
    Admitted,
    /// Answer to [`Question::Admit`]: the id was removed from the group for good.
    Retired,
    /// Another daemon leads, or none that this one knows of.
    NotLeader {
        /// Link address of the leader, if known.
        leader: Option<String>,
    },
}

/// How far a daemon's view goes. Numbers but the first two count within one term.
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub(crate) struct Position {
    /// Term of the leader that the view came from.
    pub(crate) term: u64,
    /// Version of the routing document.
    pub(crate) routing: u64,
    /// Revision of the directory.
    pub(crate) directory: Revision,
    /// Changes of the data centres out of service.
    pub(crate) closed: u64,
}

impl Position {
    /// Whether a view at this position has all that one at `other` has.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        self.term == other.term
            && self.routing >= other.routing
            && self.directory >= other.directory
            && self.closed >= other.closed
    }
}

/// A daemon's position, which also says that it is there.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct Follow {
    /// The daemon.
    pub(crate) daemon: DaemonId,
    /// Whether it takes requests of callers.
    pub(crate) is_entry: bool,
    /// What it has.
    pub(crate) position: Position,
    /// Requests under way, for a leader that does not know them.
    pub(crate) running: Vec<RunningRequest>,
}

/// What a daemon's view lacks.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct ViewChange {
    /// Where the view is after the change.
    pub(crate) position: Position,
    /// The routing document, packed, if newer.
    pub(crate) routing: Option<Vec<u8>>,
    /// Whether the entries replace all that the view holds.
    pub(crate) is_whole: bool,
    /// Entries of the directory that have changed.
    pub(crate) entries: Vec<DirectoryEntry>,
    /// Data centres out of service.
    pub(crate) closed: BTreeSet<DataCentreId>,
    /// Daemons that take requests of callers.
    pub(crate) entry_daemons: u32,
    /// Link addresses of the control group.
    pub(crate) controls: Vec<String>,
}

/// How a granted request goes on.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) enum Progress {
    /// Its first event has come.
    Began(PlacementRequestId),
    /// It has ended.
    Ended(PlacementRequestId, RequestOutcome),
}

/// A call of an operator or an upstream, as it came.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct Call {
    /// HTTP method.
    pub(crate) method: String,
    /// Path.
    pub(crate) path: String,
    /// Body.
    pub(crate) body: Vec<u8>,
}

/// Answer to a call.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct CallAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// JSON body.
    pub(crate) body: Vec<u8>,
}

impl CallAnswer {
    /// An answer with a body that holds a reason.
    pub(crate) fn new(status: u16, reason: &str) -> Self {
        let body = serde_json::json!({ "reason": reason }).to_string().into_bytes();
        Self { status, body }
    }
}
