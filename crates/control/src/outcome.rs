//! Outcomes of committed commands.

use crate::{configuration::SheetHash, ledger::StoredResponse, quarantine::QuarantineStatus};
use bincode::{Decode, Encode};
use wire::{DaemonId, Incarnation};

/// Outcome of a command, which is the same on every voter.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum Outcome {
    /// Outcome of [`ApplySheet`](crate::Command::ApplySheet).
    Sheet(SheetOutcome),
    /// Outcome of a join, a leave or an expiry.
    Roster(RosterOutcome),
    /// Outcome of [`ClaimKey`](crate::Command::ClaimKey).
    Claim(ClaimOutcome),
    /// Outcome of completing, abandoning or giving up a claim.
    Key(LedgerOutcome),
    /// Quarantine status of a request after a charge or an acquittal.
    Standing(QuarantineStatus),
    /// Outcome of a request for a fencing token.
    Fence(FencingTokenOutcome),
    /// The clock of the state was advanced.
    Ticked,
    /// Outcomes of the commands of a batch, in their order.
    Batch(Vec<Outcome>),
    /// The command was not applied: its index is not above that of the last applied
    /// entry.
    Skipped,
    /// The command was not applied: it is a batch inside a batch.
    Nested,
    /// Outcome of [`PublishRouting`](crate::Command::PublishRouting).
    Routing(RoutingOutcome),
    /// The data centre is in or out of service, as requested.
    DataCentre,
    /// The departure, or a newer one of the same upstream, is recorded.
    Departure,
    /// A crash was charged to parts of prompts, or a part was cleared.
    Parts,
}

/// Outcome of publishing a routing document.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum RoutingOutcome {
    /// The document is now the current one.
    Accepted,
    /// Nothing changed: the current document has the same or a higher version.
    Held {
        /// Version of the current document.
        version: u64,
    },
}

/// Outcome of applying a sheet.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum SheetOutcome {
    /// The sheet is committed. Every resend of the same sheet has the same outcome.
    Accepted {
        /// State index (log index plus base, see [`State`](crate::State)) at which the
        /// sheet was accepted.
        index: u64,
    },
    /// Another sheet was accepted under this number.
    Conflict {
        /// Hash of the accepted sheet.
        digest: SheetHash,
        /// Operator who applied it.
        operator: String,
        /// State index at which it was accepted.
        index: u64,
    },
    /// The number is below that of the current sheet.
    Stale {
        /// Number of the current sheet.
        number: u64,
    },
    /// The sheet is for another region.
    WrongRegion {
        /// Region of this control group.
        region: String,
    },
}

/// Outcome of a join, a leave or an expiry.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum RosterOutcome {
    /// The daemon is a roster member from this index onwards.
    Joined {
        /// State index of the join.
        index: u64,
    },
    /// The daemon is no longer a member.
    Removed,
    /// Nothing changed: that instance of the daemon is not a member.
    NotMember,
    /// An instance with the same or a higher incarnation has been a member.
    StaleIncarnation {
        /// Highest incarnation seen. The daemon has to join with a higher one.
        last: Incarnation,
    },
    /// The roster is full.
    Full {
        /// Maximum number of members.
        limit: usize,
    },
}

/// Outcome of claiming an idempotency key.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The request holds the key and may send its call, once.
    Claimed,
    /// Another request holds the key and has no response yet.
    InProgress {
        /// Daemon that sends the call.
        daemon: DaemonId,
    },
    /// The call ran before and got this response.
    Answered(StoredResponse),
    /// A call may have been sent under this key, and its response is not known.
    MayHaveRun,
    /// The key was used before with another body.
    BodyMismatch,
    /// Nothing was claimed and nothing ran: the ledger is full.
    Full {
        /// Number of entries held.
        entries: usize,
        /// Bytes held or reserved.
        bytes: usize,
    },
    /// Nothing was claimed: the holder of the claim is not a member.
    NotMember,
    /// Nothing was claimed: the claim for this request was abandoned before.
    Ended,
}

/// Outcome of completing, abandoning or giving up a claim.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum LedgerOutcome {
    /// The response is stored.
    Stored,
    /// The call is recorded as having run, but its response is too long to keep.
    StoredWithoutAnswer,
    /// The key is free again.
    Freed,
    /// Nothing changed: the request does not hold the key.
    NotHeld,
    /// The call may have run, and its response will never be known.
    GivenUp,
}

/// Outcome of a request for a fencing token.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum FencingTokenOutcome {
    /// Epoch granted for orders to the upstream. Every later grant has a higher one.
    /// Daemons don't request it: their orders carry the roster epoch of
    /// [`Ownership::Owner`](crate::Ownership::Owner).
    Granted {
        /// Token epoch, which is the state index of the grant.
        epoch: u64,
    },
    /// The requesting instance does not own the upstream under the committed roster.
    NotOwner {
        /// The owner, which is the requesting daemon itself if another instance of it
        /// is the member, or `None` if no instance of it is a member.
        owner: Option<DaemonId>,
    },
}
