//! Membership changes, one node at a time.

use crate::{
    error::{Error, Result},
    message::LogPosition,
    node::Raft,
    types::{EntryPayload, Membership, MembershipChange, NodeId},
};

impl Raft {
    /// Appends a membership change to the log. Returns its position.
    ///
    /// The change takes effect as soon as it is in a node's log, before it is committed.
    ///
    /// # Errors
    ///
    /// [`Error::is_not_leader`]; [`Error::is_busy`] while another change is uncommitted, while
    /// this leader hasn't committed an entry of its term, or while leadership is being
    /// transferred; [`Error::is_behind`] while the learner to promote hasn't caught up;
    /// [`Error::is_refused_change`] if the change is invalid for the current members, or if the
    /// reachable voters would be no majority of the new members.
    pub fn propose_change(&mut self, change: MembershipChange) -> Result<LogPosition> {
        if !self.is_leader() {
            return Err(Error::not_leader(self.leader));
        }
        let (changed_at, members) = &self.memberships[self.memberships.len() - 1];
        if *changed_at > self.commit {
            return Err(Error::busy("another membership change is under way"));
        }
        // Until an entry of its own term is committed, a leader may not know of a change that was
        // committed by its predecessor.
        if !self.has_committed_in_term() {
            return Err(Error::busy("the new leader has yet to commit"));
        }
        if self.transfer.is_some() {
            return Err(Error::busy("leadership is being transferred"));
        }
        let next = members.after(change)?;
        if let MembershipChange::Promote(id) = change {
            self.check_caught_up(id)?;
        }
        self.check_keeps_quorum(&next)?;
        let position = self.append(EntryPayload::Membership(next));
        self.track_members();
        Ok(position)
    }

    /// Refuses to promote a learner that lacks more than `max_promote_lag` entries or all of them.
    fn check_caught_up(&self, id: NodeId) -> Result<()> {
        let matched = self.matched(id).unwrap_or(0);
        match matched + self.cfg.max_promote_lag >= self.log.last_index() && matched > 0 {
            true => Ok(()),
            false => Err(Error::learner_behind()),
        }
    }

    /// Refuses a change that the reachable voters couldn't commit: it would block the group
    /// permanently.
    fn check_keeps_quorum(&self, next: &Membership) -> Result<()> {
        match self.count_active(next.voters.iter().copied()) >= next.quorum() {
            true => Ok(()),
            false => Err(Error::refused_change("too few of the remaining voters answer")),
        }
    }

    /// Whether the last committed entry is of the current term.
    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.log.term(self.commit) == Some(self.hard_state.term)
    }

    /// Whether this node leads and another node's log is close enough to its end to be promoted:
    /// it lacks at most [`Config::max_promote_lag`](crate::Config::max_promote_lag) entries.
    pub fn is_caught_up(&self, id: NodeId) -> bool {
        self.is_leader() && self.check_caught_up(id).is_ok()
    }
}
