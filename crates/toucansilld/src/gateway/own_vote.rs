//! Lines in which a member of the control group without a vote says what it has got so far.

use super::{
    group_report::short_name,
    votes::{VoteNotes, seconds},
};
use group::{NodeId, Status};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Interval between lines of a member that has no vote.
const OWN_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// What a member without a vote knows of its progress to one.
#[derive(Debug)]
pub struct OwnVote {
    /// When this process started, or the member lost its vote.
    since: Instant,
    last_index: u64,
    rose_at: Instant,
    due: Instant,
}

impl OwnVote {
    /// Starts with the status as it is.
    pub fn new(status: &Status, now: Instant) -> Self {
        let due = now + OWN_REPORT_INTERVAL;
        Self { since: now, last_index: status.last_index, rose_at: now, due }
    }

    /// Reports, every 2 s while this member has no vote, for how long, when it last heard the leader,
    /// the last index that it knows to be committed and the last that it holds, since when, and the
    /// last answer to its request to join. `followed` is the address of the leader whose view it
    /// follows.
    pub fn report(
        &mut self,
        status: &Status,
        now: Instant,
        notes: &VoteNotes,
        followed: Option<SocketAddr>,
        address_of: impl Fn(NodeId) -> Option<String>,
    ) -> Option<String> {
        if status.last_index > self.last_index {
            self.rose_at = now;
        }
        self.last_index = status.last_index;
        if status.membership.is_voter(status.id) || status.failure.is_some() {
            self.since = now;
            self.due = now + OWN_REPORT_INTERVAL;
            return None;
        }
        if now < self.due {
            return None;
        }
        self.due = now + OWN_REPORT_INTERVAL;
        let ago = |at: Instant| seconds(now.saturating_duration_since(at));
        let name = |id: NodeId| short_name(id, address_of(id).as_deref());
        let latest = notes.heard.iter().max_by_key(|(_, at)| **at);
        let latest = latest.map(|(id, at)| format!("{} {} ago", name(*id), ago(*at)));
        let latest = latest.unwrap_or_else(|| String::from("no message"));
        let leader = match (status.leader, followed) {
            (Some(id), _) => match notes.heard.get(&id) {
                Some(at) => format!("leader {} {} ago", name(id), ago(*at)),
                None => format!("leader {} not heard", name(id)),
            },
            (None, Some(address)) => format!("leader {address}, {latest}"),
            (None, None) => format!("no leader, {latest}"),
        };
        let answer = match &notes.answer {
            Some((at, answer)) => format!("{answer} {} ago", ago(*at)),
            None => String::from("not asked"),
        };
        Some(format!(
            "no vote for {}: {leader}, {}/{} for {}, {answer}",
            ago(self.since),
            status.commit,
            status.last_index,
            ago(self.rose_at)
        ))
    }
}
