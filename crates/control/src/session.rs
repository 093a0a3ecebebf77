//! The daemon's side of its session lease.

use crate::{
    changes::ChangeSetContents,
    error::{Error, Result},
    lease::{ACKNOWLEDGE_INTERVAL, LeaseGrant, RENEWAL_INTERVAL, Renewal, RenewalReply},
    roster::{DaemonInstance, Roster, owner_of},
    view::{Passed, RegionView},
};
use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};
use wire::{DaemonId, DataCentreId, Incarnation};

/// Renewals whose reply may still be used.
const MAX_OUTSTANDING: usize = 16;

/// Rosters that are remembered while they settle. With more changes than this
/// under way, ownership waits until the newest has settled.
const MAX_ROSTERS: usize = 64;

/// Why a daemon takes no new work. All of these mean that nothing has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SessionRefusal {
    /// The session was ended for a planned stop.
    Ended,
    /// No renewal was confirmed since the start.
    NotConfirmed,
    /// The lease has run out.
    LeaseRunOut,
    /// The view has not reached the index that the lease names.
    Behind,
    /// The roster does not hold this run of the daemon.
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
    /// It does. Orders carry this epoch in their fencing number; a later owner's
    /// epoch is higher.
    Owner {
        /// Roster epoch.
        epoch: u64,
    },
    /// It will, as soon as the former owner has surely stopped.
    Waiting,
    /// Another daemon does, or will.
    Other {
        /// That daemon, if the data centre has a member.
        owner: Option<DaemonId>,
    },
    /// This daemon may not act.
    Refused(SessionRefusal),
}

/// A daemon's lease, its view, and what follows from both.
///
/// It starts empty at each start of the process. It takes work only after the
/// group has confirmed it, and only while the lease runs, which is measured from
/// the moment before the renewal was sent.
#[derive(Clone, Debug)]
pub struct Session {
    holder: DaemonInstance,
    data_centre: DataCentreId,
    view: RegionView,
    sequence: u64,
    outstanding: BTreeMap<u64, Instant>,
    last_sent: Option<Instant>,
    /// Whether changes have arrived since the last renewal.
    has_unacknowledged: bool,
    valid_until: Option<Instant>,
    named: u64,
    settled: u64,
    /// The roster in force at the settled index, if known, and all later ones.
    rosters: VecDeque<Arc<Roster>>,
    is_ended: bool,
}

impl Session {
    /// A session of a daemon that has just started.
    pub fn new(holder: DaemonInstance, data_centre: impl Into<DataCentreId>) -> Self {
        Self {
            holder,
            data_centre: data_centre.into(),
            view: RegionView::new(),
            sequence: 0,
            outstanding: BTreeMap::new(),
            last_sent: None,
            has_unacknowledged: false,
            valid_until: None,
            named: 0,
            settled: 0,
            rosters: VecDeque::new(),
            is_ended: false,
        }
    }

    /// The daemon and its run.
    pub fn instance(&self) -> &DaemonInstance {
        &self.holder
    }

    /// What the daemon knows.
    pub fn view(&self) -> &RegionView {
        &self.view
    }

    /// Index that every other daemon with a lease has reached, as far as known here.
    pub fn settled(&self) -> u64 {
        self.settled
    }

    /// Time for which the lease still runs, zero without one.
    pub fn lease_remaining(&self, now: Instant) -> Duration {
        self.valid_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Whether a renewal is due: after [`RENEWAL_INTERVAL`], or sooner if changes
    /// wait to be acknowledged, as others may wait for that.
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        let interval =
            if self.has_unacknowledged { ACKNOWLEDGE_INTERVAL } else { RENEWAL_INTERVAL };
        self.last_sent.is_none_or(|sent| now.saturating_duration_since(sent) >= interval)
    }

    /// Makes a renewal. `now` is read before the renewal is sent.
    pub fn renew(&mut self, now: Instant) -> Renewal {
        self.sequence += 1;
        self.last_sent = Some(now);
        self.has_unacknowledged = false;
        self.outstanding.insert(self.sequence, now);
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.outstanding.pop_first();
        }
        Renewal { holder: self.holder.clone(), sequence: self.sequence, applied: self.view.index() }
    }

    /// Takes a reply in.
    ///
    /// # Errors
    ///
    /// [`Error::is_not_member`] if the daemon has to join again,
    /// [`Error::is_unknown_reply`] for a copy or a reply that came too late,
    /// [`Error::is_gap`] if the changes do not fit the view, which the next renewal
    /// mends, and [`Error::is_older_sheet`] if the group was restored from a back-up
    /// older than the view; the lease then does not count.
    pub fn accept(&mut self, reply: &RenewalReply) -> Result<()> {
        let sequence = reply.sequence();
        let sent = self.outstanding.remove(&sequence);
        let sent = sent.ok_or_else(|| Error::unknown_reply(sequence))?;
        match reply {
            RenewalReply::Granted(grant) => self.accept_grant(sent, grant),
            RenewalReply::Behind { .. } => Ok(()),
            RenewalReply::NotMember { last_incarnation, .. } => {
                self.valid_until = None;
                Err(Error::not_member(*last_incarnation))
            }
        }
    }

    /// Whether new work may be taken.
    ///
    /// # Errors
    ///
    /// The reason why not.
    pub fn may_take_work(&self, now: Instant) -> std::result::Result<(), SessionRefusal> {
        if self.is_ended {
            return Err(SessionRefusal::Ended);
        }
        let valid_until = self.valid_until.ok_or(SessionRefusal::NotConfirmed)?;
        if now >= valid_until {
            return Err(SessionRefusal::LeaseRunOut);
        }
        if self.view.index() < self.named {
            return Err(SessionRefusal::Behind);
        }
        self.view.roster().contains(&self.holder).then_some(()).ok_or(SessionRefusal::NotMember)
    }

    /// Whether this daemon owns an upstream of its data centre.
    ///
    /// It does if it was the owner when everyone was last known to agree, and
    /// under each roster since. If it was not, it waits until every other daemon
    /// with a lease has seen the roster that makes it the owner.
    pub fn owns(&self, upstream: &str, now: Instant) -> Ownership {
        if let Err(refusal) = self.may_take_work(now) {
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

    /// Ends the session for a planned stop. Only then may the daemon ask to leave.
    pub fn end(&mut self) {
        self.is_ended = true;
    }

    /// Starts over under a higher incarnation, after the group has dropped the
    /// former one. The view stays, as it never goes back.
    pub fn rejoin(&mut self, incarnation: Incarnation) {
        self.holder.incarnation = incarnation;
        self.outstanding.clear();
        self.last_sent = None;
        self.valid_until = None;
    }

    fn accept_grant(&mut self, sent: Instant, grant: &LeaseGrant) -> Result<()> {
        self.named = self.named.max(grant.committed);
        let passed = self.view.advance_through(&grant.changes)?;
        self.remember(passed);
        self.has_unacknowledged |= match &grant.changes.contents {
            ChangeSetContents::Steps(steps) => !steps.is_empty(),
            ChangeSetContents::Whole(_) => true,
        };
        self.settled = self.settled.max(grant.settled);
        self.forget_settled();
        if self.view.index() >= grant.committed {
            let until = sent + Duration::from_millis(grant.lease_ms);
            self.valid_until = Some(self.valid_until.map_or(until, |before| before.max(until)));
        }
        Ok(())
    }

    fn remember(&mut self, passed: Passed) {
        if passed.is_whole {
            self.rosters.clear();
        }
        self.rosters.extend(passed.rosters);
        while self.rosters.len() > MAX_ROSTERS {
            self.rosters.pop_front();
        }
    }

    /// Drops the rosters before the one in force at the settled index.
    fn forget_settled(&mut self) {
        while self.rosters.get(1).is_some_and(|next| next.epoch() <= self.settled) {
            self.rosters.pop_front();
        }
    }

    fn is_owner(&self, upstream: &str, roster: &Roster) -> bool {
        roster.contains(&self.holder)
            && owner_of(upstream, &self.data_centre, roster).as_ref() == Some(&self.holder.daemon)
    }
}
