//! Commands of the replicated log.

use crate::{
    configuration::{Configuration, SheetHash},
    ledger::{LedgerKey, StoredResponse},
    roster::DaemonInstance,
};
use bincode::{Decode, Encode};
use wire::{DataCentreId, Incarnation, RequestId, UpstreamId};

/// SHA-256 over an organisation and a request body, which names a request that
/// is sent again.
pub type RequestHash = [u8; 32];

/// One entry of the replicated log.
///
/// Stamps `at_ms` come from the leader's [`LeaderClock`](crate::LeaderClock).
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Command {
    /// Puts a sheet in force.
    ApplySheet(SheetChange),
    /// Adds a daemon to the roster, or replaces its former run.
    Join(JoinRequest),
    /// A daemon has stopped as planned. It ended its session before it asked.
    Leave(DaemonInstance),
    /// The leader saw the daemon's lease run out.
    Expire(DaemonInstance),
    /// Claims an idempotency key before the first byte goes to an upstream.
    ClaimKey(Claim),
    /// Stores the answer of a call whose key was claimed.
    CompleteKey(Completion),
    /// Frees a key whose call is proven not to have run.
    AbandonKey(ClaimId),
    /// An upstream died with this request in flight.
    Charge(CrashCharge),
    /// A request that was under suspicion ran to its end.
    Acquit {
        /// The request.
        fingerprint: RequestHash,
        /// Stamp of the leader, in milliseconds.
        at_ms: u64,
    },
    /// Asks for a fencing number for orders to an upstream.
    GrantFence(FencingTokenRequest),
    /// Moves the state's time on, so that what is due expires.
    Tick {
        /// Stamp of the leader, in milliseconds.
        at_ms: u64,
    },
    /// Several commands that share one log entry and one disk sync. A batch
    /// inside a batch is refused.
    Batch(Vec<Command>),
    /// A call was sent and its answer will never be known.
    GiveUpKey(ClaimId),
    /// Puts a routing document in force, unless one as high is held.
    PublishRouting(PublishedRouting),
    /// Takes a data centre out of service, or back into it.
    CloseDataCentre {
        /// The data centre.
        data_centre: DataCentreId,
        /// Whether it gets no new work from now on.
        is_closed: bool,
    },
}

/// A routing document.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct PublishedRouting {
    /// Number of the document. The highest one is in force.
    pub version: u64,
    /// The document as the operator sent it, packed by the daemons.
    pub document: Vec<u8>,
}

/// A sheet that an operator asks to put in force.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct SheetChange {
    /// Number of the sheet. Each accepted sheet has a higher one.
    pub number: u64,
    /// Digest of the whole sheet.
    pub digest: SheetHash,
    /// What the sheet says.
    pub configuration: Configuration,
    /// Who asked, for the other operator in a race.
    pub operator: String,
}

/// A daemon that wants to become a member.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct JoinRequest {
    /// The daemon and its run. The run's number must be above every earlier one.
    pub holder: DaemonInstance,
    /// Where other daemons reach it, as `ip:port`.
    pub address: String,
    /// Where it runs.
    pub data_centre: DataCentreId,
}

/// Names one claim: the key, who holds it and for which request.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct ClaimId {
    /// The claimed key.
    pub key: LedgerKey,
    /// The daemon that sends the call.
    pub holder: DaemonInstance,
    /// The request that the claim was made for. A claim that is proposed twice
    /// for one request is one claim.
    pub request: RequestId,
    /// Stamp of the leader, in milliseconds.
    pub at_ms: u64,
}

/// A claim of an idempotency key.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Claim {
    /// Key, holder and request.
    pub id: ClaimId,
    /// SHA-256 of the body, to tell a resend from another call under one key.
    pub body_hash: [u8; 32],
}

/// The answer of a claimed call.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Completion {
    /// The claim that it ends.
    pub id: ClaimId,
    /// What a resend is answered with.
    pub answer: StoredResponse,
}

/// A death of an upstream, charged to a request that was in flight there.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct CrashCharge {
    /// The request.
    pub fingerprint: RequestHash,
    /// The upstream that died.
    pub upstream: UpstreamId,
    /// The run of the upstream that died. One death counts once.
    pub incarnation: Incarnation,
    /// Whether the request was alone in flight.
    pub alone: bool,
    /// Stamp of the leader, in milliseconds.
    pub at_ms: u64,
}

/// An owner that asks for a fencing number.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct FencingTokenRequest {
    /// The upstream that the orders are for.
    pub upstream: UpstreamId,
    /// The owner of the upstream.
    pub holder: DaemonInstance,
}

impl Command {
    /// The leader's stamp, for commands that carry one.
    pub(crate) fn at_ms(&self) -> Option<u64> {
        match self {
            Self::ClaimKey(claim) => Some(claim.id.at_ms),
            Self::CompleteKey(completion) => Some(completion.id.at_ms),
            Self::AbandonKey(id) | Self::GiveUpKey(id) => Some(id.at_ms),
            Self::Charge(charge) => Some(charge.at_ms),
            Self::Acquit { at_ms, .. } | Self::Tick { at_ms } => Some(*at_ms),
            Self::Batch(cmds) => cmds.iter().filter_map(Self::at_ms).max(),
            _ => None,
        }
    }

    /// Puts the leader's stamp on the command. The daemon that makes a command
    /// leaves it at zero; the leader sets it as it proposes.
    pub fn stamp(&mut self, now_ms: u64) {
        match self {
            Self::ClaimKey(claim) => claim.id.at_ms = now_ms,
            Self::CompleteKey(completion) => completion.id.at_ms = now_ms,
            Self::AbandonKey(id) | Self::GiveUpKey(id) => id.at_ms = now_ms,
            Self::Charge(charge) => charge.at_ms = now_ms,
            Self::Acquit { at_ms, .. } | Self::Tick { at_ms } => *at_ms = now_ms,
            Self::Batch(cmds) => cmds.iter_mut().for_each(|cmd| cmd.stamp(now_ms)),
            _ => {}
        }
    }
}
