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
    /// [`Error::is_not_leader`]; [`Error::is_busy`] while another change is uncommitted or the
    /// voters are joint, while this leader hasn't committed an entry of its term, or while
    /// leadership is being transferred; [`Error::is_behind`] while the learner to promote hasn't
    /// caught up, unless it takes the place of a voter whose disk is [known to be
    /// lost](Self::note_lost_disk); [`Error::is_refused_change`] if the change is invalid for the
    /// current members, or if the reachable voters would be no quorum without a new one.
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
        match change {
            MembershipChange::Exchange { old, .. } if self.known_lost.contains(&old) => {}
            MembershipChange::Promote(id)
            | MembershipChange::Exchange { new: id, .. }
            | MembershipChange::ExchangeTwo { new: id, .. } => self.check_caught_up(id)?,
            _ => {}
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

    /// Refuses a change of the voters after which the group might never commit again.
    ///
    /// The reachable voters have to be a quorum. A change takes effect once it is
    /// appended and can't be taken back, so a new voter that is lost right after that must not
    /// be needed, nor one that is exchanged. The second voter of a group is always needed.
    fn check_keeps_quorum(&self, change: MembershipChange, next: &Membership) -> Result<()> {
        if !next.is_joint() {
            return Ok(());
        }
        let (new, old) = match change {
            MembershipChange::Exchange { old, new } => (Some(new), vec![old]),
            MembershipChange::ExchangeTwo { old, new } => (Some(new), old.to_vec()),
            MembershipChange::Promote(new) => (Some(new), Vec::new()),
            _ => (None, Vec::new()),
        };
        let is_second = self.membership().voters.len() == 1;
        let is_caught_up = |id: NodeId| self.check_caught_up(id).is_ok();
        let is_moving = |id: NodeId| new == Some(id) || old.contains(&id);
        let counts = |id| self.is_reachable(id) && (is_second || !is_moving(id));
        // A node that takes the place of a lost one is known to be lost, too, if its disk is lost
        // right after that.
        // One that has yet to catch up acknowledges nothing, lost or not.
        let mut lost = self.excluded.clone();
        let caught_up = new.filter(|id| is_caught_up(*id));
        lost.extend(caught_up.filter(|_| old.iter().any(|id| self.excluded.contains(id))));
        let is_kept = next.has_quorum_without(&lost, counts);
        match is_kept && caught_up.is_none_or(|id| self.is_reachable(id)) {
            true => Ok(()),
            false => Err(Error::refused_change("too few of the other voters answer")),
        }
    }

    /// On a leader: ends the change of the voters once the joint membership is committed. From then
    /// on the voters of afterwards decide alone.
    pub(crate) fn end_joint(&mut self) {
        let members = self.membership();
        if self.is_leader()
            && members.is_joint()
            && self.is_membership_committed()
            && self.has_committed_in_term()
        {
            let next = members.after_joint();
            self.append(EntryPayload::Membership(next));
            self.track_members();
        }
    }

    /// On a leader: whether a member was heard from in this term, and within the last few
    /// heartbeats. The leader itself always is.
    pub fn is_reachable(&self, id: NodeId) -> bool {
        /// Two heartbeats may be lost or late.
        const HEARTBEATS: u32 = 3;
        let ticks = HEARTBEATS * self.cfg.heartbeat_ticks;
        let has_answered = |p: &Progress| p.has_heard && p.is_active(ticks);
        id == self.cfg.id || self.progress.get(&id).is_some_and(has_answered)
    }

    /// On a leader: whether every reachable voter has answered since this member was added or, if
    /// that was earlier, since this node leads. A voter that was lost before may still count as
    /// reachable.
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
