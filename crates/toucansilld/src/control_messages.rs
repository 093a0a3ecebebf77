//! Messages to and from the control group's voters.

use bincode::{Decode, Encode};
use control::{
    Command, Outcome,
    relay::{RenewalBatch, ReplyBatch},
};
use group::NodeId;
use std::collections::BTreeMap;

/// Link addresses of voters by their ids.
pub(crate) type VoterAddresses = BTreeMap<NodeId, String>;

/// What a daemon or a voter asks of a voter.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) enum ControlRequest {
    /// Renews session leases.
    Renew(RenewalBatch),
    /// Proposes a command.
    Propose(Box<Command>),
    /// Whether a change is in force everywhere.
    InForce {
        /// Log index of the change.
        index: u64,
    },
    /// What the leader knows of the voters.
    Voters,
    /// Changes the voters by one step.
    ChangeVoters(VoterChange),
    /// The replicated state, for a back-up.
    BackUp,
}

/// A step of a change of voters.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) enum VoterChange {
    /// Adds a fresh voter, which must be running.
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
    /// Replaces a voter by a fresh one, which must be running.
    Replace {
        /// Id of the voter to remove.
        old: NodeId,
        /// Id of the fresh voter.
        new: NodeId,
        /// Link address of the fresh voter's daemon.
        address: String,
    },
}

/// A voter's answer.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) enum ControlReply {
    /// Leases were renewed, or refused one by one.
    Renewed(ReplyBatch),
    /// The command is committed and applied.
    Applied(Outcome),
    /// Whether the change is in force.
    InForce(ForceReport),
    /// The voters.
    Voters(VotersReport),
    /// The members were changed at this log index.
    VotersChanged(u64),
    /// The replicated state with its place in the log, in the format of a back-up file.
    BackUp(Vec<u8>),
    /// Another voter leads, or none. Nothing was applied.
    NotLeader {
        /// Link address of the leader, if known.
        leader: Option<String>,
    },
    /// Nothing was applied.
    Refused(String),
    /// The command may have been applied or may yet be.
    Unknown(String),
}

/// Whether a change is in force everywhere.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct ForceReport {
    /// No daemon can act under an older state.
    pub(crate) is_in_force: bool,
    /// Daemons that may still act under an older state.
    pub(crate) lagging: Vec<LaggingDaemon>,
    /// Whether leases of a former leader may still run.
    pub(crate) is_leader_new: bool,
}

/// A daemon that has not acknowledged a change.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct LaggingDaemon {
    /// Name of the daemon.
    pub(crate) daemon: String,
    /// Log index that it has acknowledged.
    pub(crate) acknowledged: u64,
    /// Time until its lease has run out, in milliseconds.
    pub(crate) runs_out_in_ms: u64,
}

/// What the leader knows of the voters.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct VotersReport {
    /// Id of the leader.
    pub(crate) leader: NodeId,
    /// Term of the leader.
    pub(crate) term: u64,
    /// Last committed index.
    pub(crate) commit: u64,
    /// Voters and learners.
    pub(crate) members: Vec<VoterReport>,
}

/// One voter or learner.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct VoterReport {
    /// Id of the voter.
    pub(crate) id: NodeId,
    /// Link address of its daemon, if known.
    pub(crate) address: Option<String>,
    /// Whether it has a vote.
    pub(crate) is_voter: bool,
    /// Log index that it holds, as the leader knows.
    pub(crate) matched: u64,
}

/// A consensus message between voters.
#[derive(Clone, Debug, Decode, Encode)]
pub(crate) struct RaftEnvelope {
    /// The message.
    pub(crate) message: raft::Message,
    /// Addresses of the voters, as the sender knows them.
    pub(crate) voters: VoterAddresses,
}
