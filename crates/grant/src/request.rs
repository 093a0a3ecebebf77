//! What an entry daemon asks the dispatcher, and what it is told.

use bincode::{Decode, Encode};
use route::RequestHash;
use std::{net::SocketAddr, time::Duration};
use wire::{DaemonId, ServiceId, Tokens, UpstreamId};

/// Number of a grant, unique in one leader's term.
pub type GrantId = u64;

/// Names one question. Asked again, it keeps its place.
#[derive(Clone, Debug, Decode, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PlacementRequestId {
    /// The daemon that asks.
    pub daemon: DaemonId,
    /// Rises with each question of that daemon.
    pub number: u64,
}

/// A request that wants an upstream.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct PlacementRequest {
    /// Names the question.
    pub id: PlacementRequestId,
    /// Service that is to run it.
    pub service: ServiceId,
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Most tokens of the answer.
    pub max_output_tokens: Tokens,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Time left until the first event counts as late.
    pub target_remaining: Duration,
    /// Longest pause between two events that counts as on time.
    pub pause_target: Duration,
    /// Time left until the caller gives up, if no event has come by then.
    pub deadline_remaining: Duration,
    /// Time left until the whole answer has to be there.
    pub time_remaining: Duration,
    /// Upstreams that it was sent to before.
    pub tried: Vec<UpstreamId>,
    /// Whether an earlier send of this request reached an upstream.
    pub is_retry: bool,
    /// Hash of organisation, path and body.
    pub fingerprint: RequestHash,
}

impl PlacementRequest {
    /// A request with a minute's time.
    pub fn new(id: PlacementRequestId, service: &str, prompt: Tokens, output: Tokens) -> Self {
        const MINUTE: Duration = Duration::from_secs(60);
        Self {
            id,
            service: service.to_owned(),
            prompt_tokens: prompt,
            max_output_tokens: output,
            priority: 0,
            target_remaining: MINUTE,
            pause_target: MINUTE,
            deadline_remaining: MINUTE,
            time_remaining: MINUTE,
            tried: Vec::new(),
            is_retry: false,
            fingerprint: 0,
        }
    }
}

/// Answer to a question.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Decision {
    /// Send it there now.
    Granted(Grant),
    /// It waits; ask again.
    Waiting,
    /// It will not be run.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Time after which it is worth trying again.
        retry_after: Duration,
    },
}

/// Why a request is not run.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum RefusalReason {
    /// No upstream of the service takes work.
    NoUpstream,
    /// No upstream has the memory, however long it waits.
    TooLarge,
    /// It can't be finished before its deadline.
    DeadlineUnmeetable,
    /// Too many repeats beside first sends.
    RetryBudget,
    /// It has crashed upstreams.
    Quarantined,
    /// The daemon that it came to stops.
    Stopping,
}

/// The right to send one request to one upstream, now.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Grant {
    /// Number of the grant.
    pub id: GrantId,
    /// Name of the upstream, which the request must carry.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Other upstreams that read a part of the prompt.
    pub helpers: Vec<Helper>,
    /// Time until the first event, as expected.
    pub expected_first_event: Duration,
}

/// An upstream that reads a part of a prompt for another one.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Helper {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Memory that it has to reserve for the prompt; 0 if it only reads.
    pub reserve_tokens: Tokens,
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum RequestOutcome {
    /// With a whole answer.
    Completed,
    /// The upstream proved that it did not run.
    NotRun,
    /// No connection was made, so nothing was sent.
    Unreachable,
    /// The connection broke before a whole answer.
    Broken,
    /// The upstream answered with a failure of its own.
    Failed,
    /// Nothing came for too long.
    Silent,
    /// The caller left, or its time was over.
    Abandoned,
}

impl RequestOutcome {
    /// Whether it speaks against the upstream.
    pub fn is_failure(self) -> bool {
        matches!(self, Self::Unreachable | Self::Broken | Self::Failed | Self::Silent)
    }
}

/// A granted request that runs, as told to a new leader.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct RunningRequest {
    /// The question that it was granted for.
    pub request: PlacementRequest,
    /// Where it runs.
    pub upstream: UpstreamId,
    /// Who reads with it.
    pub helpers: Vec<UpstreamId>,
    /// Whether its first event has come.
    pub has_first_event: bool,
}
