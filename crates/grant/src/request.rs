//! Messages between entry daemons and the dispatcher.

use bincode::{Decode, Encode};
use route::RequestHash;
use std::{net::SocketAddr, time::Duration};
use wire::{DaemonId, ServiceId, Tokens, UpstreamId};

/// Number of a grant, unique within one leader's term.
pub type GrantId = u64;

/// Identifies a placement request. An entry daemon repeats a waiting request under the same id, and
/// the request keeps its place in the queue.
#[derive(Clone, Debug, Decode, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PlacementRequestId {
    /// Daemon that sent the request.
    pub daemon: DaemonId,
    /// Sequence number, which rises with each placement request of that daemon.
    pub number: u64,
}

/// A request to place a caller's request on an upstream.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct PlacementRequest {
    /// Id of the placement request.
    pub id: PlacementRequestId,
    /// Service that has to run the request.
    pub service: ServiceId,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Maximum number of tokens that the response may have.
    pub max_output_tokens: Tokens,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Remaining time until the first event counts as late.
    pub first_event_target_remaining: Duration,
    /// Longest pause between two events that counts as on time.
    pub pause_target: Duration,
    /// Remaining time until the caller gives up if no event has arrived.
    pub first_event_deadline_remaining: Duration,
    /// Remaining time until the response has to be complete.
    pub response_time_remaining: Duration,
    /// Upstreams that earlier attempts of the request were sent to.
    pub tried: Vec<UpstreamId>,
    /// Whether an earlier attempt of the request reached an upstream.
    pub is_retry: bool,
    /// Hash that identifies the request, the same each time it is sent; the caller chooses what it
    /// covers. It serves to recognise requests that crash upstreams.
    pub request_hash: RequestHash,
}

impl PlacementRequest {
    /// Creates a placement request with one minute for each time limit, for examples and tests.
    pub fn new(id: PlacementRequestId, service: &str, prompt: Tokens, output: Tokens) -> Self {
        const MINUTE: Duration = Duration::from_secs(60);
        Self {
            id,
            service: service.to_owned(),
            prompt_tokens: prompt,
            max_output_tokens: output,
            priority: 0,
            first_event_target_remaining: MINUTE,
            pause_target: MINUTE,
            first_event_deadline_remaining: MINUTE,
            response_time_remaining: MINUTE,
            tried: Vec::new(),
            is_retry: false,
            request_hash: 0,
        }
    }
}

/// What the choice of engines needs of a request, with its remaining times as of one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestNeeds {
    pub(crate) prompt_tokens: Tokens,
    pub(crate) max_output_tokens: Tokens,
    pub(crate) priority: u8,
    pub(crate) pause_target: Duration,
    pub(crate) first_event_target_remaining: Duration,
    pub(crate) first_event_deadline_remaining: Duration,
    pub(crate) response_time_remaining: Duration,
}

impl RequestNeeds {
    /// Needs of a request `passed` after it was received.
    pub(crate) fn of(request: &PlacementRequest, passed: Duration) -> Self {
        let remaining = |time: Duration| time.saturating_sub(passed);
        Self {
            prompt_tokens: request.prompt_tokens,
            max_output_tokens: request.max_output_tokens,
            priority: request.priority,
            pause_target: request.pause_target,
            first_event_target_remaining: remaining(request.first_event_target_remaining),
            first_event_deadline_remaining: remaining(request.first_event_deadline_remaining),
            response_time_remaining: remaining(request.response_time_remaining),
        }
    }
}

/// Reply to a placement request.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Decision {
    /// The request has to be sent to the granted upstream now.
    Granted(Grant),
    /// No upstream can take the request yet; the entry daemon has to repeat the placement request.
    Waiting,
    /// The request is not run.
    Refused {
        /// Cause of the refusal.
        reason: RefusalReason,
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum RefusalReason {
    /// No upstream of the service takes new requests.
    NoUpstream,
    /// The request needs more memory than an upstream and its helpers have together.
    TooLarge,
    /// The first event can't come before its deadline, or the prompts ahead of it take too long for
    /// its target.
    DeadlineUnmeetable,
    /// The retry budget is used up: there were too many retries in proportion to first attempts.
    RetryBudget,
    /// The request has crashed upstreams.
    Quarantined,
    /// The daemon that received the request is stopping.
    Stopping,
}

/// Permission to send one request to one upstream immediately.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Grant {
    /// Number of the grant.
    pub id: GrantId,
    /// Name of the upstream. The request has to carry it, as another upstream may listen on the
    /// address by then.
    pub upstream: UpstreamId,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Other upstreams that prefill part of the prompt.
    pub helpers: Vec<Helper>,
    /// Expected time from the grant to the first event.
    pub expected_first_event: Duration,
}

impl Grant {
    /// All upstreams that work on the request: the helpers, then the one that runs it.
    pub(crate) fn upstreams(&self) -> impl Iterator<Item = &UpstreamId> {
        self.helpers.iter().map(|helper| &helper.upstream).chain([&self.upstream])
    }
}

/// An upstream that prefills part of a prompt for another upstream.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Helper {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Memory that the upstream has to reserve for the request, in tokens; 0 if it only prefills.
    pub reserve_tokens: Tokens,
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The response is complete.
    Completed,
    /// The upstream proved that the request did not run.
    NotRun,
    /// No connection was made, so nothing was sent.
    Unreachable,
    /// The connection broke before the response was complete.
    Broken,
    /// The upstream responded with an error of its own.
    Failed,
    /// Nothing arrived within the time limit.
    Silent,
    /// The caller disconnected or its time limit passed.
    Abandoned,
}

impl RequestOutcome {
    /// Whether the outcome counts as a failure of the upstream.
    pub fn is_failure(self) -> bool {
        matches!(self, Self::Unreachable | Self::Broken | Self::Failed | Self::Silent)
    }
}

/// A granted request that is still running, as an entry daemon reports it to a new leader.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct RunningRequest {
    /// Placement request that was granted.
    pub request: PlacementRequest,
    /// Upstream that runs the request.
    pub upstream: UpstreamId,
    /// Upstreams that prefill part of its prompt.
    pub helpers: Vec<UpstreamId>,
    /// Whether its first event has arrived.
    pub has_first_event: bool,
}
