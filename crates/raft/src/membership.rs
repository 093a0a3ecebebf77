//! Changes of members, one at a time.

use crate::{
    error::{Error, Result},
    message::LogPosition,
    node::Raft,
    types::{EntryPayload, Membership, MembershipChange, NodeId},
};

impl Raft {
    /// Proposes a change of members. It counts as soon as it is in the log.
    ///
    /// # Errors
    ///
    /// [`Error::is_not_leader`]; [`Error::is_busy`] while another change is under way;
    /// [`Error::is_behind`] while a learner hasn't caught up;
    /// [`Error::is_refused_change`] when the change makes no sense or when the remaining voters that answer would be no majority.
    pub fn propose_change(&mut self, change: MembershipChange) -> Result<LogPosition> {
        if !self.is_leader() {
            return Err(Error::not_leader(self.leader));
        }
        let (changed_at, members) = &self.memberships[self.memberships.len() - 1];
        if *changed_at > self.commit {
            return Err(Error::busy("another membership change is under way"));
        }
        // Without an entry of its own term a leader may not know of a committed change.
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
        self.sync_progress();
        Ok(position)
    }

    fn check_caught_up(&self, id: NodeId) -> Result<()> {
        let matched = self.matched(id).unwrap_or(0);
        match matched + self.cfg.max_promote_lag >= self.log.last_index() && matched > 0 {
            true => Ok(()),
            false => Err(Error::behind()),
        }
    }

    /// A change that the answering voters couldn't commit would stop the group for good.
    fn check_keeps_quorum(&self, next: &Membership) -> Result<()> {
        match self.active_voters(next.voters.iter().copied()) >= next.quorum() {
            true => Ok(()),
            false => Err(Error::refused("too few of the remaining voters answer")),
        }
    }

    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.log.term(self.commit) == Some(self.hard_state.term)
    }

    /// Whether another node is a learner that may be promoted.
    pub fn is_caught_up(&self, id: NodeId) -> bool {
        self.is_leader() && self.check_caught_up(id).is_ok()
    }
}
