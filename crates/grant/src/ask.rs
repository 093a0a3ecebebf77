//! What an entry daemon asks the dispatcher, and what it is told.

use bincode::{Decode, Encode};
use route::RequestHash;
use std::{net::SocketAddr, time::Duration};
use wire::{DaemonId, ServiceId, Tokens, UpstreamId};

/// Number of a grant, unique in one leader's term.
pub type GrantId = u64;

/// Names one question. Asked again, it keeps its place.
#[derive(Clone, Debug, Decode, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AskId {
    /// The daemon that asks.
    pub daemon: DaemonId,
    /// Rises with each question of that daemon.
    pub number: u64,
}

/// A request that wants an upstream.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Ask {
    /// Names the question.
    pub id: AskId,
    /// Service that is to run it.
    pub service: ServiceId,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Most tokens of the answer.
    pub output: Tokens,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Time left until the first event counts as late.
    pub target_left: Duration,
    /// Longest pause between two events that counts as on time.
    pub pause_target: Duration,
    /// Time left until the caller gives up, if no event has come by then.
    pub deadline_left: Duration,
    /// Time left until the whole answer has to be there.
    pub time_left: Duration,
    /// Upstreams that it was sent to before.
    pub tried: Vec<UpstreamId>,
    /// Whether an earlier send of this request reached an upstream.
    pub is_retry: bool,
    /// Hash of organisation, path and body.
    pub fingerprint: RequestHash,
}

impl Ask {
    /// A request with a minute's time.
    pub fn new(id: AskId, service: &str, prompt: Tokens, output: Tokens) -> Self {
        const MINUTE: Duration = Duration::from_secs(60);
        Self {
            id,
            service: service.to_owned(),
            prompt,
            output,
            priority: 0,
            target_left: MINUTE,
            pause_target: MINUTE,
            deadline_left: MINUTE,
            time_left: MINUTE,
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
        refusal: Refusal,
        /// Time after which it is worth trying again.
        retry_after: Duration,
    },
}

/// Why a request is not run.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Refusal {
    /// No upstream of the service takes work.
    NoUpstream,
    /// No upstream has the memory, however long it waits.
    TooLarge,
    /// It can't be finished before its deadline.
    NoTime,
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
    pub expected_first: Duration,
}

/// An upstream that reads a part of a prompt for another one.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Helper {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Memory that it has to reserve for the prompt; 0 if it only reads.
    pub reserve: Tokens,
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum End {
    /// With a whole answer.
    Whole,
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

impl End {
    /// Whether it speaks against the upstream.
    pub fn is_failure(self) -> bool {
        matches!(self, Self::Unreachable | Self::Broken | Self::Failed | Self::Silent)
    }
}

/// A granted request that runs, as told to a new leader.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Running {
    /// The question that it was granted for.
    pub ask: Ask,
    /// Where it runs.
    pub upstream: UpstreamId,
    /// Who reads with it.
    pub helpers: Vec<UpstreamId>,
    /// Whether its first event has come.
    pub has_begun: bool,
}
