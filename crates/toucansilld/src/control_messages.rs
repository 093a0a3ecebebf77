//! Messages to and from the voters of the control group.
//!
//! They are encoded with `bincode` by position. Variants and fields that can be reached from
//! [`ControlRequest`] and [`ControlReply`] also appear by name in logs and error texts.

use bincode::{Decode, Encode};
use control::{
    Command, Outcome,
    relay::{RenewalBatch, ReplyBatch},
};
use group::NodeId;
use std::collections::BTreeMap;

/// Link addresses of voters by their ids.
pub(crate) type VoterAddresses = BTreeMap<NodeId, String>;

/// Request to a voter, which only the leader can serve.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) enum ControlRequest {
    /// Renews session leases.
    Renew(RenewalBatch),
    /// Proposes a command.
    Propose(Box<Command>),
    /// Reads whether a change is in force everywhere.
    InForce {
        /// Log index of the change.
        index: u64,
    },
    /// Reads the leader's view of the voters.
    Voters,
    /// Changes the membership of the group by one step.
    ChangeVoters(VoterChange),
    /// Reads the replicated state for a back-up.
    BackUp,
}

/// One step of a membership change.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) enum VoterChange {
    /// Adds a new voter, which must be running.
    Add {
        /// Id of the new voter.
        id: NodeId,
        /// Link address of its daemon.
        address: String,
    },
    /// Removes a voter.
    Remove {
        /// Id of the voter.
        id: NodeId,
    },
    /// Replaces a voter by a new one, which must be running.
    Replace {
        /// Id of the voter to remove.
        old: NodeId,
        /// Id of the new voter.
        new: NodeId,
        /// Link address of the new voter's daemon.
        address: String,
    },
}

/// Reply of a voter.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) enum ControlReply {
    /// Result of each renewal in the batch: renewed or refused.
    Renewed(ReplyBatch),
    /// The command is committed and applied.
    Applied(Outcome),
    /// Whether the change is in force everywhere.
    InForce(InForceReport),
    /// The voters.
    Voters(VotersReport),
    /// The membership change was committed at this log index.
    VotersChanged(u64),
    /// The replicated state with its log position, in the format of a back-up file.
    BackUp(Vec<u8>),
    /// This voter does not lead the group. Nothing was applied.
    NotLeader {
        /// Link address of the leader, if known.
        leader: Option<String>,
    },
    /// The leader refused the request for this reason. Nothing was applied.
    Refused(String),
    /// The command may have been applied, or may be applied later.
    Unknown(String),
}

/// Whether a change is in force everywhere.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct InForceReport {
    /// No daemon can act under an older state.
    pub(crate) is_in_force: bool,
    /// Daemons that may still act under an older state.
    pub(crate) lagging: Vec<LaggingDaemonReport>,
    /// Whether leases that a former leader granted may still be valid.
    pub(crate) is_leader_new: bool,
}

/// A daemon that has not acknowledged a change.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct LaggingDaemonReport {
    /// Name of the daemon.
    pub(crate) daemon: String,
    /// Last log index that the daemon has acknowledged.
    pub(crate) acknowledged: u64,
    /// Time until the daemon's lease expires, in milliseconds.
    pub(crate) runs_out_in_ms: u64,
}

/// The leader's view of the voters.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct VotersReport {
    /// Id of the leader.
    pub(crate) leader: NodeId,
    /// Term of the leader.
    pub(crate) term: u64,
    /// Last committed log index.
    pub(crate) commit: u64,
    /// Voters and learners.
    pub(crate) members: Vec<VoterReport>,
}

/// One voter or learner.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct VoterReport {
    /// Id of the member.
    pub(crate) id: NodeId,
    /// Link address of its daemon, if known.
    pub(crate) address: Option<String>,
    /// Whether it votes; a learner does not.
    pub(crate) is_voter: bool,
    /// Last log index that the leader knows it to hold.
    pub(crate) matched: u64,
}

/// A consensus message between voters.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct RaftEnvelope {
    /// The message.
    pub(crate) message: raft::Message,
    /// Addresses of the voters, as known to the sender.
    pub(crate) voters: VoterAddresses,
}
