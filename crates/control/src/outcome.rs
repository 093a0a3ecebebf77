//! What a committed command led to.

use crate::{configuration::SheetHash, ledger::StoredResponse, quarantine::QuarantineStatus};
use bincode::{Decode, Encode};
use wire::{DaemonId, Incarnation};

/// Answer to a command, the same on every voter.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Outcome {
    /// Answer to a sheet.
    Sheet(SheetOutcome),
    /// Answer to a join, a leave or an expiry.
    Roster(RosterOutcome),
    /// Answer to a claim.
    Claim(ClaimOutcome),
    /// Answer to a completion or abandonment.
    Key(LedgerOutcome),
    /// How a request stands after a charge or an acquittal.
    Standing(QuarantineStatus),
    /// Answer to a request for a fencing number.
    Fence(FencingTokenOutcome),
    /// Time has moved on.
    Ticked,
    /// Answers to a batch, in its order.
    Batch(Vec<Outcome>),
    /// The command was not applied: its index is not above the applied one.
    Skipped,
    /// The command was not applied: a batch stood inside a batch.
    Nested,
    /// Answer to a routing document.
    Routing(RoutingOutcome),
    /// The data centre is as it was asked to be.
    DataCentre,
}

/// What became of a routing document.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum RoutingOutcome {
    /// It is in force.
    Accepted,
    /// Nothing changed: a version as high or higher is in force.
    Held {
        /// The version in force.
        version: u64,
    },
}

/// What became of a sheet.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum SheetOutcome {
    /// Committed; the same answer goes to every resend of the same sheet.
    Accepted {
        /// Log index from which the sheet is in force.
        index: u64,
    },
    /// Another sheet took this number.
    Conflict {
        /// Digest of the sheet that won.
        digest: SheetHash,
        /// Who applied it.
        operator: String,
        /// Log index from which it is in force.
        index: u64,
    },
    /// The number is below that of the sheet in force.
    Stale {
        /// Number of the sheet in force.
        number: u64,
    },
    /// The sheet is for another region.
    WrongRegion {
        /// Region of this control group.
        region: String,
    },
}

/// What became of a join, a leave or an expiry.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum RosterOutcome {
    /// The daemon is a member from this index on.
    Joined {
        /// Log index of the join.
        index: u64,
    },
    /// The daemon is no member any more.
    Removed,
    /// That run of the daemon was no member, so nothing changed.
    NotMember,
    /// A run with this number or a higher one was a member before.
    StaleIncarnation {
        /// Highest number seen; the daemon joins again above it.
        last: Incarnation,
    },
    /// The roster is at its bound.
    Full {
        /// The bound, in members.
        limit: usize,
    },
}

/// What a claim was answered with.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The call may be sent, once, by the request that asked.
    Claimed,
    /// Another request holds the key and has no answer yet.
    InProgress {
        /// The daemon that sends the call.
        daemon: DaemonId,
    },
    /// The call ran before; here is its answer.
    Answered(StoredResponse),
    /// A call was sent under this key and its answer is not known.
    MayHaveRun,
    /// The key was used with another body.
    BodyMismatch,
    /// Nothing was claimed and nothing ran: the ledger is at its bound.
    Full {
        /// Entries held.
        entries: usize,
        /// Bytes held or reserved.
        bytes: usize,
    },
    /// Nothing was claimed: the asking process is no member any more.
    NotMember,
    /// Nothing was claimed: the claim for this request ended before.
    Ended,
}

/// What a completion or an abandonment led to.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum LedgerOutcome {
    /// The answer is stored.
    Stored,
    /// The call is recorded as run, but its answer was too long to keep.
    StoredWithoutAnswer,
    /// The key is free again.
    Freed,
    /// The request does not hold the key, so nothing changed.
    NotHeld,
    /// The call may have run; its answer will never be known.
    GivenUp,
}

/// What a request for a fencing number was answered with.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum FencingTokenOutcome {
    /// Orders may carry this epoch; every later grant has a higher one.
    Granted {
        /// Epoch of the fencing number.
        epoch: u64,
    },
    /// The committed roster gives the upstream to another daemon.
    NotOwner {
        /// The owner, if the data centre has a member.
        owner: Option<DaemonId>,
    },
}
