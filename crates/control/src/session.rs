//! The daemon's side of its session lease, which decides whether the daemon may
//! accept new work and which upstreams it owns.

use crate::{
    changes::ChangeSetContents,
    error::{Error, Result},
    lease::{ACKNOWLEDGE_INTERVAL, LeaseGrant, RENEWAL_INTERVAL, Renewal, RenewalReply},
    roster::{DaemonInstance, Roster, owner_of},
    view::{PassedRosters, RegionView},
};
use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};
use wire::{DaemonId, DataCentreId, Incarnation};

/// Maximum number of renewals that wait for a reply. The reply to an older one is
/// ignored.
const MAX_OUTSTANDING: usize = 16;

/// Maximum number of rosters that are kept until they have settled. While more roster
/// changes than this are under way, the daemon owns no upstream until the oldest kept
/// roster has settled.
const MAX_ROSTERS: usize = 64;

/// Reason why a daemon accepts no new work. In all of these cases nothing has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SessionRefusal {
    /// The session was ended because the daemon is shutting down.
    Ended,
    /// No lease has become valid since the start, or since the leader last replied that this
    /// instance is not a member.
    NotConfirmed,
    /// The lease has expired.
    LeaseRunOut,
    /// The daemon is behind the leader: its view has not reached the committed index that a
    /// granted lease names.
    Behind,
    /// This instance of the daemon is not a roster member.
    NotMember,
}

impl fmt::Display for SessionRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ended => "the daemon is stopping",
            Self::NotConfirmed => "the control group has not confirmed this daemon yet",
            Self::LeaseRunOut => "the session lease has run out",
            Self::Behind => "the configuration is behind the control group",
            Self::NotMember => "the daemon is not in the roster",
        })
    }
}

/// Whether this daemon owns an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ownership {
    /// This daemon owns the upstream. Its orders carry the roster epoch in their fencing
    /// token. A later owner's epoch is higher.
    Owner {
        /// Roster epoch; see [`Roster::epoch`].
        epoch: u64,
    },
    /// This daemon will own the upstream as soon as the former owner has certainly
    /// stopped.
    Waiting,
    /// Another daemon owns the upstream, or will own it.
    Other {
        /// Name of that daemon, if the data centre has a member.
        owner: Option<DaemonId>,
    },
    /// This daemon may not act.
    Refused(SessionRefusal),
}

/// A daemon's lease and view, which decide what the daemon may do.
///
/// The session is empty at each start of the process. The daemon accepts new work
/// only after the leader has granted it a lease, and only while the lease is valid. The
/// duration of the lease is measured from just before the renewal is sent.
#[derive(Clone, Debug)]
pub struct Session {
    instance: DaemonInstance,
    data_centre: DataCentreId,
    view: RegionView,
    /// Sequence number of the last renewal.
    sequence: u64,
    /// Sequence numbers of renewals without a reply, and when each was sent.
    outstanding: BTreeMap<u64, Instant>,
    last_renewal_at: Option<Instant>,
    /// Whether changes have arrived since the last renewal, which acknowledged those
    /// before.
    has_unacknowledged_changes: bool,
    lease_valid_until: Option<Instant>,
    /// Highest committed index that a granted lease named. The lease is not valid before
    /// the view has reached it.
    required_index: u64,
    /// Index that every other daemon with a lease has reached, as far as known here.
    settled: u64,
    /// The roster as of the settled index, if known, and all later ones, oldest first.
    rosters: VecDeque<Arc<Roster>>,
    is_ended: bool,
}

impl Session {
    /// Creates the session of a daemon that has just started.
    pub fn new(instance: DaemonInstance, data_centre: impl Into<DataCentreId>) -> Self {
        Self {
            instance,
            data_centre: data_centre.into(),
            view: RegionView::new(),
            sequence: 0,
            outstanding: BTreeMap::new(),
            last_renewal_at: None,
            has_unacknowledged_changes: false,
            lease_valid_until: None,
            required_index: 0,
            settled: 0,
            rosters: VecDeque::new(),
            is_ended: false,
        }
    }

    /// Returns the daemon and its incarnation.
    pub fn instance(&self) -> &DaemonInstance {
        &self.instance
    }

    /// Returns the daemon's view of the region.
    pub fn view(&self) -> &RegionView {
        &self.view
    }

    /// Returns the index that every other daemon with a lease has reached, as far as
    /// known here.
    pub fn settled(&self) -> u64 {
        self.settled
    }

    /// Returns the remaining time of the lease, zero without one.
    pub fn lease_remaining(&self, now: Instant) -> Duration {
        self.lease_valid_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns whether a renewal is due: after [`RENEWAL_INTERVAL`], or after
    /// [`ACKNOWLEDGE_INTERVAL`] if changes are to be acknowledged, because other daemons
    /// and operators may be waiting for that.
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        let interval =
            if self.has_unacknowledged_changes { ACKNOWLEDGE_INTERVAL } else { RENEWAL_INTERVAL };
        self.last_renewal_at
            .is_none_or(|sent_at| now.saturating_duration_since(sent_at) >= interval)
    }

    /// Creates a renewal. `now` must be read before the renewal is sent, because the
    /// lease is measured from it.
    pub fn renew(&mut self, now: Instant) -> Renewal {
        self.sequence += 1;
        self.last_renewal_at = Some(now);
        self.has_unacknowledged_changes = false;
        self.outstanding.insert(self.sequence, now);
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.outstanding.pop_first();
        }
        Renewal {
            holder: self.instance.clone(),
            sequence: self.sequence,
            applied: self.view.index(),
        }
    }

    /// Applies a reply to a renewal: extends the lease and advances the view.
    ///
    /// `Ok` doesn't mean that the lease is valid: a reply [`RenewalReply::Behind`], or a
    /// grant whose index the view hasn't reached, extends nothing.
    ///
    /// # Errors
    ///
    /// In each of these cases the lease is not extended:
    ///
    /// * [`Error::is_not_member`] if the daemon has to join again. The lease ends.
    /// * [`Error::is_unknown_reply`] if the reply is a copy or came too late.
    /// * [`Error::is_gap`] if the changes start after the view's index. The reply to the
    ///   next renewal brings the missing ones.
    /// * [`Error::is_older_sheet`] if the group was restored from a back-up with an older
    ///   sheet than the view's.
    ///
    /// After the last two the daemon accepts no new work until its view has reached the
    /// committed index that the grant names.
    pub fn accept(&mut self, reply: &RenewalReply) -> Result<()> {
        let sequence = reply.sequence();
        let sent_at = self.outstanding.remove(&sequence);
        let sent_at = sent_at.ok_or_else(|| Error::unknown_reply(sequence))?;
        match reply {
            RenewalReply::Granted(grant) => self.accept_grant(sent_at, grant),
            RenewalReply::Behind { .. } => Ok(()),
            RenewalReply::NotMember { last_incarnation, .. } => {
                self.lease_valid_until = None;
                Err(Error::not_member(*last_incarnation))
            }
        }
    }

    /// Checks whether the daemon may accept new work.
    ///
    /// # Errors
    ///
    /// The reason why it may not.
    pub fn may_accept_work(&self, now: Instant) -> std::result::Result<(), SessionRefusal> {
        if self.is_ended {
            return Err(SessionRefusal::Ended);
        }
        let lease_valid_until = self.lease_valid_until.ok_or(SessionRefusal::NotConfirmed)?;
        if now >= lease_valid_until {
            return Err(SessionRefusal::LeaseRunOut);
        }
        if self.view.index() < self.required_index {
            return Err(SessionRefusal::Behind);
        }
        self.view.roster().contains(&self.instance).then_some(()).ok_or(SessionRefusal::NotMember)
    }

    /// Returns whether this daemon owns an upstream of its data centre.
    ///
    /// It owns the upstream if it is the owner under the roster as of the settled index and
    /// under every later roster. Otherwise another daemon may still act as the owner, so
    /// this one waits until every other daemon with a lease has seen the roster that makes
    /// this one the owner.
    pub fn owns(&self, upstream: &str, now: Instant) -> Ownership {
        if let Err(refusal) = self.may_accept_work(now) {
            return Ownership::Refused(refusal);
        }
        let roster = self.view.roster();
        if !self.is_owner(upstream, roster) {
            return Ownership::Other { owner: owner_of(upstream, &self.data_centre, roster) };
        }
        let is_settled = self.rosters.front().is_some_and(|first| first.epoch() <= self.settled);
        if is_settled && self.rosters.iter().all(|roster| self.is_owner(upstream, roster)) {
            return Ownership::Owner { epoch: roster.epoch() };
        }
        Ownership::Waiting
    }

    /// Ends the session, after which the daemon accepts no new work. A daemon that shuts down
    /// must do this before it sends [`Leave`](crate::Command::Leave).
    pub fn end(&mut self) {
        self.is_ended = true;
    }

    /// Restarts the session under a higher incarnation, after the group has removed the
    /// former one. The view is kept, because it never goes back.
    pub fn rejoin(&mut self, incarnation: Incarnation) {
        self.instance.incarnation = incarnation;
        self.outstanding.clear();
        self.last_renewal_at = None;
        self.lease_valid_until = None;
    }

    /// Advances the view by the changes of a grant, and extends the lease if the view
    /// has then reached the committed index.
    fn accept_grant(&mut self, sent_at: Instant, grant: &LeaseGrant) -> Result<()> {
        self.required_index = self.required_index.max(grant.committed);
        let passed = self.view.advance_with_rosters(&grant.changes)?;
        self.record_rosters(passed);
        self.has_unacknowledged_changes |= match &grant.changes.contents {
            ChangeSetContents::Steps(steps) => !steps.is_empty(),
            ChangeSetContents::Whole(_) => true,
        };
        self.settled = self.settled.max(grant.settled);
        self.drop_settled_rosters();
        if self.view.index() >= grant.committed {
            let until = sent_at + Duration::from_millis(grant.lease_ms);
            self.lease_valid_until =
                Some(self.lease_valid_until.map_or(until, |current| current.max(until)));
        }
        Ok(())
    }

    /// Adds the rosters that the view passed through. Former ones are dropped if
    /// rosters between them and these may be missing.
    fn record_rosters(&mut self, passed: PassedRosters) {
        if passed.was_replaced {
            self.rosters.clear();
        }
        self.rosters.extend(passed.rosters);
        while self.rosters.len() > MAX_ROSTERS {
            self.rosters.pop_front();
        }
    }

    /// Drops the rosters before the one as of the settled index.
    fn drop_settled_rosters(&mut self) {
        while self.rosters.get(1).is_some_and(|next| next.epoch() <= self.settled) {
            self.rosters.pop_front();
        }
    }

    /// Returns whether this instance owns the upstream under a roster.
    fn is_owner(&self, upstream: &str, roster: &Roster) -> bool {
        roster.contains(&self.instance)
            && owner_of(upstream, &self.data_centre, roster).as_ref() == Some(&self.instance.daemon)
    }
}
