//! Membership changes, one at a time.

use crate::{
    error::{Error, Result},
    message::LogPosition,
    node::Raft,
    progress::Progress,
    types::{EntryPayload, Membership, MembershipChange, NodeId},
};

impl Raft {
    /// Appends a membership change to the log. Returns its position.
    ///
    /// The change takes effect as soon as it is in a node's log, before it is committed.
    ///
    /// # Errors
    ///
    /// [`Error::is_not_leader`]; [`Error::is_busy`] while another change is uncommitted or a voter is
    /// being exchanged, while this leader hasn't committed an entry of its term, or while leadership is being
    /// transferred; [`Error::is_behind`] while the learner to promote hasn't caught up;
    /// [`Error::is_refused_change`] if the change is invalid for the current members, if the
    /// reachable voters would be no majority of the new members, or, for a promotion, if they would be
    /// none without the new voter.
    pub fn propose_change(&mut self, change: MembershipChange) -> Result<LogPosition> {
        if !self.is_leader() {
            return Err(Error::not_leader(self.leader));
        }
        let members = self.membership();
        if !self.is_membership_committed() || members.is_joint() {
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
        if let MembershipChange::Promote(id) | MembershipChange::Exchange { new: id, .. } = change {
            self.check_caught_up(id)?;
        }
        self.check_keeps_quorum(change, &next)?;
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

    /// Refuses a change after which the group might never commit again.
    ///
    /// The reachable voters have to be a majority of the new members. A change takes effect once it is
    /// appended and can't be taken back, so a new voter that is lost right after its promotion must not
    /// be needed for that majority, nor one that is exchanged. The second voter of a group is always needed.
    fn check_keeps_quorum(&self, change: MembershipChange, next: &Membership) -> Result<()> {
        let is_kept = match change {
            MembershipChange::Promote(id) => {
                let members = self.membership();
                let voters = members.voters.iter().filter(|id| self.is_reachable(**id));
                voters.count() >= members.voters_needed_to_grow() && self.is_reachable(id)
            }
            MembershipChange::Exchange { old, new } => {
                self.is_reachable(new)
                    && next.has_quorum(|id| ![old, new].contains(&id) && self.is_reachable(id))
            }
            _ => next.has_quorum(|id| self.is_reachable(id)),
        };
        match (is_kept, change) {
            (true, _) => Ok(()),
            (false, MembershipChange::Promote(_) | MembershipChange::Exchange { .. }) => {
                Err(Error::refused_change("too few of the other voters answer"))
            }
            (false, _) => Err(Error::refused_change("too few of the remaining voters answer")),
        }
    }

    /// On a leader: ends the exchange of a voter once the joint membership is committed. From then on the
    /// voters of afterwards decide alone.
    pub(crate) fn end_exchange(&mut self) {
        let members = self.membership();
        if self.is_leader()
            && members.is_joint()
            && self.is_membership_committed()
            && self.has_committed_in_term()
        {
            let next = members.after_exchange();
            self.append(EntryPayload::Membership(next));
            self.track_members();
        }
    }

    /// On a leader: whether a member was heard from in this term, and within the last few heartbeats.
    /// The leader itself always is.
    pub fn is_reachable(&self, id: NodeId) -> bool {
        /// Two heartbeats may be lost or late.
        const HEARTBEATS: u32 = 3;
        let ticks = HEARTBEATS * self.cfg.heartbeat_ticks;
        let has_answered = |p: &Progress| p.has_heard && p.is_active(ticks);
        id == self.cfg.id || self.progress.get(&id).is_some_and(has_answered)
    }

    /// On a leader: whether every reachable voter has answered since this member was added or,
    /// if that was earlier, since this node leads. A voter that was lost before may still count as reachable.
    pub fn is_confirmed_by_reachable(&self, id: NodeId) -> bool {
        let Some(member) = self.progress.get(&id) else { return false };
        let mut voters = self.membership().voters.iter().filter(|voter| self.is_reachable(**voter));
        voters.all(|voter| {
            let progress = self.progress.get(voter);
            progress.is_none_or(|p| p.silent_ticks < member.age_ticks)
        })
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
