//! Messages that gateway daemons exchange over their links.
//!
//! They are encoded by position: the order of fields and variants is part of the format.

use crate::control_messages::RaftEnvelope;
use bincode::{Decode, Encode};
use control::{Departures, PartHash, RequestHash, Watchlist};
use follow::{OrderTicket, ViewPosition};
use grant::{
    Decision, DirectoryEntry, LimitReport, PlacementRequest, PlacementRequestId, Registration,
    RequestOutcome, RunningRequest,
};
use proxy::RelayDaemon;
use std::{collections::BTreeSet, time::Duration};
use wire::{DaemonId, DataCentreId, PassFailure, UpstreamId};

/// Names of the message services, which address the parts of a daemon.
pub(crate) mod message_service {
    /// [`LeaderRequest`](super::LeaderRequest)s, which members of the control group serve.
    pub(crate) const LEADER: &str = "leader";
    /// Raft messages between voters.
    pub(crate) const RAFT: &str = "raft";
}

/// Request of a daemon to a member of the control group, mostly to its leader.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) enum LeaderRequest {
    /// Requests what has changed since the daemon's view. Held open while nothing has.
    Follow(FollowRequest),
    /// Requests an upstream for a request.
    Place(PlacementRequest),
    /// Reports progress of placed requests. The leader confirms it, so that the sender notices
    /// lost reports, which are logged, not repeated. The leader releases a grant without a
    /// reported end when it expires; a new leader learns from the entry daemons which requests
    /// are running.
    Progress(Vec<Progress>),
    /// HTTP control request of an operator or an upstream, forwarded by the daemon that received
    /// it.
    Control(ControlHttpRequest),
    /// Request of a daemon that is not a member to join the control group.
    Join {
        /// Id that the daemon has as a voter.
        id: u64,
        /// Link address of the daemon.
        address: String,
    },
    /// Requests the replicated part of the region's state. Unlike the others, any member of the
    /// control group serves it, for daemons that don't reach the leader.
    ReadReplicated {
        /// Version of the routing document that the daemon has, 0 without one.
        routing: u64,
    },
    /// Reports which requests upstreams have crashed under, and which requests and parts of prompts on
    /// the watchlist have ended well.
    ReportRuns(Vec<RunReport>),
    /// Requests the watchlist. Held open while the receiver has none that is newer. Any member of
    /// the control group serves it.
    FollowWatchlist {
        /// State index at which the daemon's watchlist was read, 0 without one.
        index: u64,
    },
    /// Reports limits that responses of upstreams have named, or that they no longer name.
    ReportLimits(Vec<LimitReport>),
    /// Requests permission to send a request to an upstream without a grant. The daemon knows this
    /// limit of the upstream.
    ReserveRequest(LimitReport),
    /// Reports that a run of an upstream leaves, as its response to the daemon says.
    ReportLeaving {
        /// Name of the upstream.
        upstream: UpstreamId,
        /// Start time of the run, in milliseconds since the Unix epoch on its clock.
        started_at_ms: u64,
    },
    /// Announces that the sender relays messages to upstreams for other daemons, and asks for others
    /// that do.
    AnnounceRelay(ListedRelay),
    /// Tells the leader of runs of upstreams that have registered at the sender with nothing new.
    RefreshUpstreams(Vec<RefreshedUpstream>),
    /// Offers upstreams that the sender knows and the directory of a new leader lacks.
    OfferUpstreams(Vec<Registration>),
    /// Requests the receiver's copy of the directory, for a new leader that has none.
    ReadDirectory,
    /// Request of a member that is about to stop to be removed from the control group, if its successor
    /// has joined.
    Leave {
        /// Id that the daemon has as a voter.
        id: u64,
        /// Link address of the daemon.
        address: String,
    },
    /// Requests a ticket for an order that arrives late if the network holds it up.
    RequestTicket {
        /// Time for which the caller still waits.
        valid_for: Duration,
    },
    /// As [`LeaderRequest::Control`], for an order that counts only if its ticket is valid.
    Order {
        /// Ticket from the leader.
        ticket: OrderTicket,
        /// The order.
        request: ControlHttpRequest,
    },
    /// Asks any daemon whether it sees the process of a member that doesn't answer the leader.
    Probe {
        /// Link address of the member.
        address: String,
    },
    /// Asks a member of the control group for its id. If it isn't the one that is expected at its address, the disk of
    /// that one is lost.
    Identify,
    /// Asks a member to send a Raft message to another one, which the sender doesn't reach.
    RelayRaft {
        /// Link address of the receiver.
        address: String,
        /// The message.
        envelope: Box<RaftEnvelope>,
    },
    /// [`LeaderRequest::Join`] of a daemon that doesn't reach the leader. The receiver passes it to the leader that
    /// it knows.
    PassJoin {
        /// Id that the daemon has as a voter.
        id: u64,
        /// Link address of the daemon.
        address: String,
    },
    /// Asks a member to send [`LeaderRequest::Identify`] to another one, which the sender doesn't reach.
    PassIdentify {
        /// Link address of that one.
        address: String,
    },
    /// Asks a member to send a request to another one, which the sender doesn't reach.
    PassRequest {
        /// Link address of that one.
        address: String,
        /// Time for which the sender waits for the reply.
        timeout: Duration,
        /// The request, encoded.
        request: Vec<u8>,
    },
}

impl LeaderRequest {
    /// Whether the request asks for another message to be passed on. It isn't passed on itself.
    pub(crate) fn passes_on(&self) -> bool {
        matches!(
            self,
            Self::RelayRaft { .. }
                | Self::PassJoin { .. }
                | Self::PassIdentify { .. }
                | Self::PassRequest { .. }
        )
    }
}

/// Run of an upstream that has registered again with nothing new.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct RefreshedUpstream {
    /// Name of the upstream.
    pub(crate) upstream: UpstreamId,
    /// Start time of the run, in milliseconds since the Unix epoch on its clock.
    pub(crate) started_at_ms: u64,
    /// Sequence number of the registration.
    pub(crate) sequence: u64,
}

/// Reply to a [`LeaderRequest`].
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) enum LeaderReply {
    /// Reply to [`LeaderRequest::Follow`].
    View(Box<ViewChange>),
    /// Reply to [`LeaderRequest::Place`].
    Placement(Decision),
    /// Reply to [`LeaderRequest::Progress`].
    ProgressRecorded,
    /// Reply to [`LeaderRequest::Control`].
    Control(ControlHttpResponse),
    /// Reply to [`LeaderRequest::Join`] and [`LeaderRequest::Leave`]: a membership change was made,
    /// attempted or is under way. The daemon repeats its request until it is a member, or may stop.
    ChangePending,
    /// Reply to [`LeaderRequest::Join`] and [`LeaderRequest::Leave`]: the id was removed from the group
    /// and can't be used again.
    Retired,
    /// The receiver does not lead the control group.
    NotLeader {
        /// Link address of the leader, if the receiver knows one.
        leader: Option<String>,
    },
    /// Reply to [`LeaderRequest::ReadReplicated`].
    Replicated(ReplicatedState),
    /// Reply to [`LeaderRequest::ReportRuns`]: the reports are replicated.
    RunsRecorded,
    /// Reply to [`LeaderRequest::FollowWatchlist`].
    Watchlist {
        /// State index at which `watchlist` was read.
        index: u64,
        /// The watchlist, if it has changed since the index of the request.
        watchlist: Option<Watchlist>,
    },
    /// Reply to [`LeaderRequest::ReportLimits`].
    LimitsRecorded,
    /// Reply to [`LeaderRequest::ReserveRequest`].
    RequestReserved {
        /// Time until the limit allows the request; zero if it may be sent, and is counted.
        wait: Duration,
    },
    /// Reply to [`LeaderRequest::ReportLeaving`]: the departure is replicated.
    LeavingRecorded,
    /// Reply to [`LeaderRequest::AnnounceRelay`]: some of the other relays.
    Relays(Vec<ListedRelay>),
    /// Reply to [`LeaderRequest::RefreshUpstreams`].
    UpstreamsRefreshed {
        /// Those that the leader doesn't know so, and whose whole registrations it needs.
        unknown: Vec<UpstreamId>,
    },
    /// Reply to [`LeaderRequest::OfferUpstreams`].
    UpstreamsOffered,
    /// Reply to [`LeaderRequest::ReadDirectory`].
    Directory {
        /// Position of the copy.
        position: ViewPosition,
        /// Its entries.
        entries: Vec<DirectoryEntry>,
        /// Number of entry daemons, as the last leader counted them.
        entry_daemons: u32,
    },
    /// Reply to [`LeaderRequest::Leave`]: the daemon may stop. The group keeps it as a member, as no other
    /// has come in its place.
    Retained,
    /// Reply to [`LeaderRequest::RequestTicket`].
    Ticket(OrderTicket),
    /// Reply to [`LeaderRequest::Order`]: the ticket has expired, and the order was not carried out.
    TicketExpired,
    /// Reply to [`LeaderRequest::Probe`].
    Probed {
        /// Whether the member's process accepts connections.
        is_listening: bool,
    },
    /// Reply to [`LeaderRequest::Identify`] and [`LeaderRequest::PassIdentify`].
    Identified {
        /// Id that the daemon has as a voter.
        id: u64,
    },
    /// Reply to [`LeaderRequest::RelayRaft`].
    RaftRelayed {
        /// Whether the member sent it, and isn't known not to reach the receiver.
        is_reached: bool,
    },
    /// Reply to [`LeaderRequest::PassRequest`]: the encoded reply of the other member.
    Passed(Vec<u8>),
    /// Reply to [`LeaderRequest::PassRequest`]: the other member has not replied.
    NotPassed {
        /// Whether it may have acted on the request.
        failure: PassFailure,
        /// Cause, for the error of the sender.
        reason: String,
    },
}

/// Daemon that relays messages to upstreams.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct ListedRelay {
    /// Name of the daemon.
    pub(crate) daemon: DaemonId,
    /// Data centre of the daemon.
    pub(crate) data_centre: DataCentreId,
    /// Address at which it takes messages to relay.
    pub(crate) address: String,
}

impl ListedRelay {
    /// The relay; `None` if its address can't be read.
    pub(crate) fn relay(&self) -> Option<RelayDaemon> {
        let Self { daemon, data_centre, address } = self.clone();
        match address.parse() {
            Ok(address) => Some(RelayDaemon { daemon, data_centre, address }),
            Err(err) => {
                log::warn!(daemon = daemon.as_str(); "address of a relay not read: {err}");
                None
            }
        }
    }
}

impl From<RelayDaemon> for ListedRelay {
    fn from(relay: RelayDaemon) -> Self {
        let RelayDaemon { daemon, data_centre, address } = relay;
        Self { daemon, data_centre, address: address.to_string() }
    }
}

/// Request for what has changed since a daemon's view, which is also the daemon's heartbeat.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct FollowRequest {
    /// Daemon that sent the request.
    pub(crate) daemon: DaemonId,
    /// Whether it accepts requests of callers.
    pub(crate) is_entry: bool,
    /// Position of its view.
    pub(crate) position: ViewPosition,
    /// Its running requests that an earlier leader placed and that this leader has not been
    /// told of.
    pub(crate) running: Vec<RunningRequest>,
}

/// Changes that bring a view up to date.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct ViewChange {
    /// Position of the view once the change is applied.
    pub(crate) position: ViewPosition,
    /// Routing document, compressed, if it is newer than that of the view.
    pub(crate) routing: Option<Vec<u8>>,
    /// Whether `entries` replace the whole directory of the view.
    pub(crate) is_whole: bool,
    /// Changed entries of the directory.
    pub(crate) entries: Vec<DirectoryEntry>,
    /// All data centres out of service.
    pub(crate) out_of_service: BTreeSet<DataCentreId>,
    /// Number of daemons that accept requests of callers.
    pub(crate) entry_daemons: u32,
    /// Link addresses of the control group's members.
    pub(crate) control_addresses: Vec<String>,
}

/// What a member of the control group has applied of the replicated log. It may lag behind the
/// leader's.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct ReplicatedState {
    /// Routing document, compressed, if it is newer than that of the requester.
    pub(crate) routing: Option<Vec<u8>>,
    /// All data centres out of service.
    pub(crate) out_of_service: BTreeSet<DataCentreId>,
    /// Upstreams that have announced their departure.
    pub(crate) departures: Departures,
}

/// Progress of a request that the leader placed.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) enum Progress {
    /// The upstream has sent the first event of the response.
    FirstEvent(PlacementRequestId),
    /// The request has ended.
    Ended(PlacementRequestId, RequestOutcome),
}

/// What a run of a request says about whether the request crashes upstreams.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub(crate) enum RunReport {
    /// The upstream crashed while the request ran there.
    Crashed {
        /// Hash of the request.
        request: RequestHash,
        /// Upstream that crashed.
        upstream: UpstreamId,
        /// Start time of the upstream's run, in milliseconds since the Unix epoch on its clock.
        started_at_ms: u64,
    },
    /// The request, a suspect, got a complete response.
    Completed {
        /// Hash of the request.
        request: RequestHash,
    },
    /// The upstream crashed before it had sent any event of the response.
    CrashedBeforeEvent {
        /// Parts of the prompt that other requests may share, in order.
        parts: Vec<PartHash>,
        /// Hash of the request.
        request: RequestHash,
        /// Upstream that crashed.
        upstream: UpstreamId,
        /// Start time of the upstream's run, in milliseconds since the Unix epoch on its clock.
        started_at_ms: u64,
    },
    /// A request with this part, which is on the watchlist, got a complete response.
    PartCompleted {
        /// The part.
        part: PartHash,
    },
}

/// HTTP control request of an operator or an upstream, not decoded yet.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct ControlHttpRequest {
    /// HTTP method.
    pub(crate) method: String,
    /// Path without query.
    pub(crate) path: String,
    /// Body, unchanged.
    pub(crate) body: Vec<u8>,
}

/// Response to an HTTP control request.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct ControlHttpResponse {
    /// HTTP status.
    pub(crate) status: u16,
    /// JSON body.
    pub(crate) body: Vec<u8>,
}

impl ControlHttpResponse {
    /// Creates a response with the body `{"reason": reason}`.
    pub(crate) fn new(status: u16, reason: &str) -> Self {
        let body = serde_json::json!({ "reason": reason }).to_string().into_bytes();
        Self { status, body }
    }

    /// The reason that [`new`](Self::new) has put into the body; of any other body, its text.
    pub(crate) fn reason(&self) -> String {
        let value = serde_json::from_slice::<serde_json::Value>(&self.body).ok();
        let reason = value.as_ref().and_then(|value| value.get("reason")?.as_str());
        reason.map_or_else(|| String::from_utf8_lossy(&self.body).into_owned(), String::from)
    }
}
