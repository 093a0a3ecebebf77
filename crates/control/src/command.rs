//! Commands of the replicated log, which [`State::apply`](crate::State::apply)
//! applies after they are committed.

use crate::{
    configuration::{Configuration, SheetHash},
    departures::UpstreamDeparture,
    ledger::{LedgerKey, StoredResponse},
    parts::PartHash,
    roster::DaemonInstance,
};
use bincode::{Decode, Encode};
use wire::{DataCentreId, Incarnation, RequestId, UpstreamId};

/// SHA-256 over the organisation and the body of a request. A request that is
/// sent again has the same hash. It is not the `RequestHash` of the crate
/// `route`, which has 64 bits.
pub type RequestHash = [u8; 32];

/// A command of the replicated log.
///
/// Timestamps `at_ms` come from the leader's [`LeaderClock`](crate::LeaderClock): they
/// are the milliseconds for which the group has had a leader, not wall-clock time.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Command {
    /// Makes a sheet the current one.
    ApplySheet(ProposedSheet),
    /// Adds a daemon to the roster, or replaces its former instance.
    Join(JoinRequest),
    /// Removes a daemon that is shutting down. The daemon ends its session before it
    /// sends this, so nobody has to wait for its lease to expire.
    Leave(DaemonInstance),
    /// Removes a daemon whose lease has expired at the leader.
    Expire(DaemonInstance),
    /// Claims an idempotency key before the first byte of the call is sent to an
    /// upstream.
    ClaimKey(Claim),
    /// Stores the response to a call whose key was claimed.
    CompleteKey(Completion),
    /// Frees a key whose call certainly did not run.
    AbandonKey(ClaimId),
    /// Records that an upstream crashed while this request was in flight there.
    Charge(CrashCharge),
    /// Clears a suspected request that ran to its end without a crash.
    Acquit {
        /// Hash of the request.
        fingerprint: RequestHash,
        /// Timestamp of the leader, in milliseconds.
        at_ms: u64,
    },
    /// Requests a fencing token for orders to an upstream. Daemons don't send this
    /// command: their orders carry the roster epoch of
    /// [`Ownership::Owner`](crate::Ownership::Owner).
    GrantFence(FencingTokenRequest),
    /// Advances the clock of the state, so that entries whose time has passed expire.
    Tick {
        /// Timestamp of the leader, in milliseconds.
        at_ms: u64,
    },
    /// Several commands that share one log entry and one disk sync. A batch inside
    /// a batch is not applied.
    Batch(Vec<Command>),
    /// Gives up a claim: its call was sent, but the response will never be known.
    GiveUpKey(ClaimId),
    /// Makes a routing document the current one, unless the current one has the same
    /// or a higher version.
    PublishRouting(PublishedRouting),
    /// Takes a data centre out of service, or puts it back into service.
    CloseDataCentre {
        /// Name of the data centre.
        data_centre: DataCentreId,
        /// Whether the data centre is out of service, that is, gets no new work.
        is_closed: bool,
    },
    /// Records that an upstream takes no new requests any more.
    RecordDeparture(UpstreamDeparture),
    /// Records that an upstream has deregistered whose run the leader does not know, because the
    /// group has restarted since the run registered.
    RecordUnknownDeparture {
        /// Name of the upstream.
        upstream: UpstreamId,
        /// Timestamp of the leader, in milliseconds.
        at_ms: u64,
    },
    /// Records that an upstream crashed under a request whose prompt has parts that other requests may
    /// share.
    ChargeParts(PartsCharge),
    /// Clears a part of prompts: a request with it got a complete response.
    AcquitPart {
        /// The part.
        part: PartHash,
        /// Timestamp of the leader, in milliseconds.
        at_ms: u64,
    },
}

/// A routing document that an operator published.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct PublishedRouting {
    /// Version of the document. The document with the highest version is the current
    /// one.
    pub version: u64,
    /// The document as the operator sent it, compressed by the daemons. This crate
    /// does not read it.
    pub document: Vec<u8>,
}

/// A sheet that an operator wants to make the current one.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct ProposedSheet {
    /// Number of the sheet. It must be above that of the current sheet.
    pub number: u64,
    /// Hash of the whole sheet.
    pub digest: SheetHash,
    /// The configuration that the sheet describes.
    pub configuration: Configuration,
    /// Name of the operator. If two operators apply different sheets under one
    /// number, the second one learns the name of the first.
    pub operator: String,
}

/// A daemon's request to join the region as a roster member.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct JoinRequest {
    /// The daemon and its incarnation, which must be above every earlier one.
    pub holder: DaemonInstance,
    /// Address at which other daemons reach it, as `ip:port`.
    pub address: String,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
}

/// Identifies a claim by its key, its holder and its request.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct ClaimId {
    /// The claimed key.
    pub key: LedgerKey,
    /// The daemon that sends the call.
    pub holder: DaemonInstance,
    /// The request that the claim was made for. Two claims of one holder for the
    /// same request are one claim, so proposing a claim again is safe.
    pub request: RequestId,
    /// Timestamp of the leader, in milliseconds.
    pub at_ms: u64,
}

/// A claim of an idempotency key.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Claim {
    /// Key, holder and request.
    pub id: ClaimId,
    /// SHA-256 of the body, which tells a resend from another call under the same key.
    pub body_hash: [u8; 32],
}

/// The response to a call whose key was claimed.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Completion {
    /// The claim that this ends.
    pub id: ClaimId,
    /// The response that a resend of the call gets.
    pub answer: StoredResponse,
}

/// A crash of an upstream, charged to a request that was in flight there.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct CrashCharge {
    /// Hash of the request.
    pub fingerprint: RequestHash,
    /// The upstream that crashed.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream that crashed. The crash of one incarnation counts
    /// once.
    pub incarnation: Incarnation,
    /// Whether no other request was in flight at the upstream.
    pub alone: bool,
    /// Timestamp of the leader, in milliseconds.
    pub at_ms: u64,
}

/// A crash of an upstream, charged to the shared parts of the prompt of a request that was in flight
/// there and had got no event yet.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct PartsCharge {
    /// The parts, in the order of the prompt.
    pub parts: Vec<PartHash>,
    /// Hash of the request.
    pub request: RequestHash,
    /// The upstream that crashed.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream that crashed.
    pub incarnation: Incarnation,
    /// Timestamp of the leader, in milliseconds.
    pub at_ms: u64,
}

/// An owner's request for a fencing token with a token epoch of its own.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct FencingTokenRequest {
    /// The upstream that the orders are for.
    pub upstream: UpstreamId,
    /// The owner of the upstream.
    pub holder: DaemonInstance,
}

impl Command {
    /// Returns the leader's timestamp, for commands that have one. A batch has the
    /// latest of its commands.
    pub(crate) fn at_ms(&self) -> Option<u64> {
        match self {
            Self::ClaimKey(claim) => Some(claim.id.at_ms),
            Self::CompleteKey(completion) => Some(completion.id.at_ms),
            Self::AbandonKey(id) | Self::GiveUpKey(id) => Some(id.at_ms),
            Self::Charge(charge) => Some(charge.at_ms),
            Self::ChargeParts(charge) => Some(charge.at_ms),
            Self::Acquit { at_ms, .. }
            | Self::AcquitPart { at_ms, .. }
            | Self::Tick { at_ms }
            | Self::RecordUnknownDeparture { at_ms, .. } => Some(*at_ms),
            Self::RecordDeparture(departure) => Some(departure.at_ms),
            Self::Batch(cmds) => cmds.iter().filter_map(Self::at_ms).max(),
            _ => None,
        }
    }

    /// Sets the timestamp of the command, in milliseconds. The daemon that creates a
    /// command leaves it at zero; the leader sets it when it proposes the command.
    pub fn stamp(&mut self, now_ms: u64) {
        match self {
            Self::ClaimKey(claim) => claim.id.at_ms = now_ms,
            Self::CompleteKey(completion) => completion.id.at_ms = now_ms,
            Self::AbandonKey(id) | Self::GiveUpKey(id) => id.at_ms = now_ms,
            Self::Charge(charge) => charge.at_ms = now_ms,
            Self::ChargeParts(charge) => charge.at_ms = now_ms,
            Self::Acquit { at_ms, .. }
            | Self::AcquitPart { at_ms, .. }
            | Self::Tick { at_ms }
            | Self::RecordUnknownDeparture { at_ms, .. } => *at_ms = now_ms,
            Self::RecordDeparture(departure) => departure.at_ms = now_ms,
            Self::Batch(cmds) => cmds.iter_mut().for_each(|cmd| cmd.stamp(now_ms)),
            _ => {}
        }
    }
}
