//! Messages between nodes.

use crate::types::{GroupId, Index, LogEntry, NodeId, SnapshotMeta, Term};
use bincode::{Decode, Encode};

/// One message from a node to another.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Message {
    /// Group of the sender.
    pub group: GroupId,
    /// The sender.
    pub from: NodeId,
    /// The receiver.
    pub to: NodeId,
    /// Term of the sender; for a pre-vote the term that it would campaign in.
    pub term: Term,
    /// What it says.
    pub body: MessageBody,
}

/// What a message says.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum MessageBody {
    /// Asks whether a campaign would succeed; changes no term.
    PreVote {
        /// Last entry of the candidate's log.
        last: LogPosition,
    },
    /// Answers a pre-vote.
    PreVoteResponse {
        /// Whether the sender would vote for the candidate.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Last entry of the candidate's log.
        last: LogPosition,
        /// Set when the leader itself asked for this campaign.
        transfer: bool,
    },
    /// Answers a vote request.
    VoteResponse {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Carries entries and the commit index.
    Append {
        /// The entry before the first one.
        prev: LogPosition,
        /// New entries, possibly none.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: Index,
        /// Whether the leader counts the receiver's vote.
        voter: bool,
    },
    /// The receiver's log equals the leader's up to this index, on disk.
    AppendAccepted {
        /// Last index known to be equal.
        matched: Index,
    },
    /// The receiver's log has no entry equal to `prev`.
    AppendRejected {
        /// Index of the rejected `prev`.
        rejected: Index,
        /// Where the two logs may still be equal.
        hint: LogPosition,
    },
    /// Keeps followers from campaigning and confirms reads.
    Heartbeat {
        /// Commit index, never beyond what the receiver is known to hold.
        commit: Index,
        /// Number of the confirmation round.
        round: u64,
        /// Whether the leader counts the receiver's vote.
        voter: bool,
    },
    /// Answers a heartbeat.
    HeartbeatResponse {
        /// Round of the heartbeat.
        round: u64,
        /// Last index of the sender's log.
        last: Index,
    },
    /// One piece of a snapshot.
    SnapshotChunk {
        /// Which part of the log the snapshot replaces.
        meta: SnapshotMeta,
        /// Position of this piece in bytes.
        offset: u64,
        /// Length of the whole in bytes.
        total: u64,
        /// The piece.
        data: Vec<u8>,
        /// Whether the leader counts the receiver's vote.
        voter: bool,
    },
    /// Says how much of a snapshot has arrived.
    SnapshotProgress {
        /// Index of the snapshot.
        index: Index,
        /// Bytes received.
        offset: u64,
    },
    /// Tells a leader or candidate of an older term about the current one.
    StaleTerm,
    /// Asks the receiver to campaign at once.
    TimeoutNow,
}

/// Index and term of an entry. Two logs with the same entry are equal up to it.
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct LogPosition {
    /// Index of the entry.
    pub index: Index,
    /// Term of the entry.
    pub term: Term,
}

impl LogPosition {
    /// Whether a log that ends here holds every committed entry that the other may hold.
    pub fn is_up_to_date_with(self, other: Self) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}
