//! Messages between the nodes of a group.

use crate::types::{GroupId, Index, LogEntry, NodeId, SnapshotMeta, Term};
use bincode::{Decode, Encode};

/// A message from one node to another.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct Message {
    /// Group id of the sender.
    pub group: GroupId,
    /// Id of the sender.
    pub from: NodeId,
    /// Id of the receiver.
    pub to: NodeId,
    /// Term of the sender. In a pre-vote, and in a response that grants one, the term in which the
    /// candidate would campaign.
    pub term: Term,
    /// Content of the message.
    pub body: MessageBody,
}

/// Content of a message.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum MessageBody {
    /// Asks whether the receiver would vote for the sender. Neither side changes its term.
    PreVote {
        /// Last entry of the candidate's log.
        last: LogPosition,
    },
    /// Response to a pre-vote.
    PreVoteResponse {
        /// Whether the responding node would vote for the candidate.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Last entry of the candidate's log.
        last: LogPosition,
        /// Whether the current leader asked for this campaign by [`MessageBody::TimeoutNow`].
        transfer: bool,
    },
    /// Response to a vote request.
    VoteResponse {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates entries and the commit index.
    Append {
        /// Position of the entry before the first one in `entries`.
        prev: LogPosition,
        /// Entries to append, possibly none.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: Index,
        /// Whether the leader's membership lists the receiver as a voter.
        voter: bool,
    },
    /// Response to an append or a complete snapshot: the sender's log on disk equals the leader's
    /// up to `matched`.
    AppendAccepted {
        /// Last index up to which the logs are equal.
        matched: Index,
    },
    /// Response to an append whose `prev` isn't in the sender's log.
    AppendRejected {
        /// Index of the rejected `prev`.
        rejected: Index,
        /// Last position in the sender's log at which the two logs may be equal.
        hint: LogPosition,
    },
    /// Sent by the leader to reset election timers and to confirm its leadership for reads.
    Heartbeat {
        /// The leader's commit index, limited to what the receiver is known to hold.
        commit: Index,
        /// Number of the heartbeat round.
        round: u64,
        /// Whether the leader's membership lists the receiver as a voter.
        voter: bool,
    },
    /// Response to a heartbeat.
    HeartbeatResponse {
        /// Number of the heartbeat round that this responds to.
        round: u64,
        /// Last index of the responding node's log.
        last: Index,
    },
    /// One chunk of a snapshot.
    SnapshotChunk {
        /// Position and membership of the snapshot.
        meta: SnapshotMeta,
        /// Offset of this chunk in bytes.
        offset: u64,
        /// Length of the whole snapshot in bytes.
        total: u64,
        /// Bytes of this chunk.
        data: Vec<u8>,
        /// Whether the leader's membership lists the receiver as a voter.
        voter: bool,
    },
    /// Response to a snapshot chunk: how much of the snapshot has been received.
    SnapshotProgress {
        /// Index of the snapshot's last entry.
        index: Index,
        /// Bytes received.
        offset: u64,
    },
    /// Response to a leader of an older term; [`Message::term`] is the current term.
    StaleTerm,
    /// Tells the receiver to campaign immediately, without a pre-vote.
    TimeoutNow,
}

/// Index and term of an entry. Two logs that both contain the position are equal up to it.
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct LogPosition {
    /// Index of the entry.
    pub index: Index,
    /// Term of the entry.
    pub term: Term,
}

impl LogPosition {
    /// Whether a log that ends at this position is at least as up to date as one that ends at
    /// `other`, as the election rule requires of a candidate: it then holds every committed entry
    /// that the other log holds.
    pub fn is_up_to_date_with(self, other: Self) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}
