//! Leader election: election timeouts, pre-votes and votes.

use crate::{
    message::{LogPosition, MessageBody},
    node::{Raft, Role},
    types::{NodeId, Term},
};

/// Factors of a candidate's election timeout, by the number of its campaigns that have failed since
/// it last knew a leader. The last one is for all further campaigns.
const CAMPAIGN_TIMEOUT_FACTORS: [u32; 3] = [1, 4, 8];

impl Raft {
    /// When the election timeout has passed without a leader's message, starts a pre-vote, or, on a
    /// node that may not campaign, only forgets the leader.
    pub(crate) fn tick_election(&mut self) {
        self.election_elapsed = self.election_elapsed.saturating_add(1);
        if self.election_elapsed < self.election_timeout && !self.is_sole_voter() {
            return self.resend_vote_requests();
        }
        if self.role == Role::Candidate {
            self.failed_campaigns += 1;
        }
        self.reset_election_timer();
        match self.may_campaign() {
            true => self.pre_campaign(),
            // With the new timer, a leader that is still known would count as live again.
            false => self.leader = None,
        }
    }

    /// Whether this node is the only voter and knows of no leader, so that it needn't wait for
    /// the election timeout. If a leader that removed itself is still known, the node waits for the
    /// election timeout, so that the leader can commit its last entries.
    fn is_sole_voter(&self) -> bool {
        let members = self.membership();
        members.voters.len() == 1 && members.is_voter(self.cfg.id) && self.leader.is_none()
    }

    /// Restarts the election timer with a new random timeout, so that candidates rarely compete.
    pub(crate) fn reset_election_timer(&mut self) {
        let base = self.cfg.election_ticks;
        self.election_elapsed = 0;
        self.election_timeout = base + self.rng.u32(0..base.max(1));
    }

    /// Whether the node may campaign: it is a voter, or its removal isn't known to be committed.
    ///
    /// In the second case it may be the only node that holds the entry of its removal. Its log is
    /// then the most up to date, so it votes for no other node, and under the former membership
    /// the others may not be able to win without its vote.
    fn may_campaign(&self) -> bool {
        let mut latest = self.memberships.iter().rev();
        let is_voter = latest.next().is_some_and(|(_, m)| m.is_voter(self.cfg.id));
        let was_voter = latest.next().is_some_and(|(_, m)| m.is_voter(self.cfg.id));
        let (changed_at, _) = self.memberships[self.memberships.len() - 1];
        (is_voter || (was_voter && changed_at > self.commit)) && !self.lost_disk
    }

    /// Whether the leader was heard from within the minimum election timeout.
    pub(crate) fn has_live_leader(&self) -> bool {
        self.is_leader()
            || (self.leader.is_some() && self.election_elapsed < self.cfg.election_ticks)
    }

    /// Becomes a follower and drops all state of a candidate or leader. A newer term clears the
    /// vote.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<NodeId>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.excluded.clear();
        self.progress.clear();
        self.transfer = None;
        self.reads.clear();
        self.reset_election_timer();
    }

    /// Asks the voters whether they would vote for this node. Only with a majority does it start a
    /// new term, so that a node that was cut off can't disturb a live leader.
    fn pre_campaign(&mut self) {
        self.role = Role::PreCandidate;
        self.leader = None;
        let body = MessageBody::PreVote { last: self.log.last() };
        self.request_votes(self.hard_state.term + 1, body);
        if self.has_won() {
            self.campaign(false);
        }
    }

    /// Starts a new term and requests votes in it. `transfer` means that the leader asked for
    /// the campaign; voters then grant their votes although that leader is live.
    pub(crate) fn campaign(&mut self, transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.hard_state.term += 1;
        self.hard_state.vote = Some(self.cfg.id);
        self.reset_election_timer();
        // A vote waits for the voter's disk. If that takes longer than the timeout, the votes of
        // each term come too late, as the next one has begun by then.
        self.election_timeout *= self.campaign_timeout_factor();
        let body = MessageBody::Vote { last: self.log.last(), transfer };
        self.request_votes(self.hard_state.term, body);
        if self.has_won() {
            self.become_leader();
        }
    }

    fn campaign_timeout_factor(&self) -> u32 {
        let last = CAMPAIGN_TIMEOUT_FACTORS.len() - 1;
        CAMPAIGN_TIMEOUT_FACTORS[self.failed_campaigns.min(last)]
    }

    /// Begins a pre-vote or a vote. Losses of disks that become known later don't count in it: of
    /// the votes that it has by then, some may have been cast before.
    fn request_votes(&mut self, term: Term, body: MessageBody) {
        self.excluded = self.known_lost.clone();
        self.votes.clear();
        self.votes.insert(self.cfg.id, true);
        self.request_missing_votes(term, &body);
    }

    /// Sends the request to the voters that have not answered it.
    fn request_missing_votes(&mut self, term: Term, body: &MessageBody) {
        let voters = self.membership().voters.clone();
        for id in voters.into_iter().filter(|id| !self.votes.contains_key(id)) {
            let message = self.message(id, term, body.clone());
            self.outbox.messages.push(message);
        }
    }

    /// On a candidate that waits for longer than the minimum election timeout: requests the missing
    /// votes once more after each of these, as messages may have been lost.
    fn resend_vote_requests(&mut self) {
        if self.role == Role::Candidate
            && self.election_elapsed.is_multiple_of(self.cfg.election_ticks)
        {
            let body = MessageBody::Vote { last: self.log.last(), transfer: false };
            self.request_missing_votes(self.hard_state.term, &body);
        }
    }

    /// Whether a quorum of voters has granted the running pre-vote or vote.
    fn has_won(&self) -> bool {
        self.has_quorum(|id| self.votes.get(&id) == Some(&true))
    }

    /// Whether the voters that haven't refused the running vote are a quorum.
    fn can_win(&self) -> bool {
        self.has_quorum(|id| self.votes.get(&id) != Some(&false))
    }

    /// Whether the node may vote for a candidate whose log ends at `last`.
    ///
    /// A node whose log is empty, or holds only the bootstrap entry, may have lost its disk after
    /// it had acknowledged further entries, unless its id [is new](crate::Config::has_new_id). It
    /// therefore never votes with an empty log, and with only the bootstrap entry it doesn't vote
    /// for a candidate with a longer log.
    fn may_vote(&self, last: LogPosition) -> bool {
        let own = self.log.last();
        let is_longer = own.index <= 1 && last.index > own.index;
        let may_have_lost_disk = !self.cfg.has_new_id && (own.index == 0 || is_longer);
        !may_have_lost_disk && last.is_up_to_date_with(own)
    }

    fn note_candidate(&mut self, from: NodeId, last: LogPosition) {
        if self.membership().contains(from) {
            self.candidate_logs.insert(from, last.index);
        }
    }

    pub(crate) fn handle_pre_vote(&mut self, from: NodeId, term: Term, last: LogPosition) {
        self.note_candidate(from, last);
        let granted = term > self.hard_state.term && !self.has_live_leader() && self.may_vote(last);
        let response_term = if granted { term } else { self.hard_state.term };
        let message = self.message(from, response_term, MessageBody::PreVoteResponse { granted });
        self.outbox.messages.push(message);
    }

    pub(crate) fn handle_pre_vote_response(&mut self, from: NodeId, term: Term, granted: bool) {
        let is_expected = !granted || term == self.hard_state.term + 1;
        if self.role != Role::PreCandidate || !is_expected {
            return;
        }
        self.votes.insert(from, granted);
        if self.has_won() {
            self.campaign(false);
        }
    }

    pub(crate) fn handle_vote(&mut self, from: NodeId, last: LogPosition) {
        self.note_candidate(from, last);
        let is_free = match self.hard_state.vote {
            None => self.leader.is_none(),
            Some(id) => id == from,
        };
        let granted = is_free && self.may_vote(last);
        // A request that is sent again says nothing new of the candidate's chances.
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from);
            self.reset_election_timer();
        }
        self.send(from, MessageBody::VoteResponse { granted });
    }

    pub(crate) fn handle_vote_response(&mut self, from: NodeId, granted: bool) {
        if self.role != Role::Candidate {
            return;
        }
        let could_win = self.can_win();
        self.votes.insert(from, granted);
        if self.has_won() {
            self.become_leader();
        } else if could_win && !self.can_win() {
            // There are no late votes to wait for.
            self.election_timeout /= self.campaign_timeout_factor();
        }
    }

    /// Campaigns immediately, as the leader asked.
    pub(crate) fn handle_timeout_now(&mut self) {
        if self.role == Role::Follower && self.may_campaign() {
            self.campaign(true);
        }
    }
}
