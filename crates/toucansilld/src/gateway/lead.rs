//! State that only the leader of the control group holds, in memory, for one term.

use super::{
    forward::short_hash,
    messages::{FollowRequest, Progress, ViewChange},
    view::read_document,
};
use control::Watchlist;
use follow::{Followers, History, OrderTickets, ViewPosition};
use grant::{
    Decision, Directory, Dispatcher, DispatcherConfig, LimitReport, PlacementRequest,
    PlacementRequestId, PollSchedule, Registration, Revision, queued_reply_time,
};
use proxy::{AnnouncedRelays, RelayDaemon};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use wire::{DaemonId, Responder};

/// Longest time that the leader holds open the follow request of a daemon that is up to date.
/// Daemons notice the loss of a leader within this time and a margin.
pub(crate) const FOLLOW_WAIT: Duration = Duration::from_millis(400);
/// Time for which a daemon counts as a live follower after its last follow request; it sends
/// several within it. A daemon that is silent for longer is down, frozen or cut off.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time after which the grants of a silent daemon are released: its streams are dead, or it will
/// report them again.
const DAEMON_LOST_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which a new leader waits for upstreams that it lacks, as a multiple of the interval at
/// which they register: each has registered once by then, also if a registration is on its way late.
const AWAITED_REGISTRATIONS: f64 = 1.5;

/// Placement request that has no reply yet.
struct PendingPlacement {
    responder: Responder,
    /// When the reply [`Decision::Waiting`] is due.
    reply_at: Instant,
}

/// Load of the leader's dispatcher; all zero on a daemon that doesn't lead.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DispatcherLoad {
    waiting: usize,
    running: usize,
    /// Engines that are avoided because of failures.
    failed_engines: usize,
    /// Engines whose learnt pace is below their slots.
    paced_engines: usize,
    /// Number of times that an engine was examined for a request in this term.
    engines_examined: u64,
    /// Refused requests that have a place in the queue if they return in time.
    promises_open: usize,
    /// Requests that have returned to theirs in this term.
    promises_redeemed: u64,
}

impl DispatcherLoad {
    /// Sets the gauges of the load.
    pub(crate) fn record(&self) {
        metrics::gauge!("toucansill_streams_waiting").set(self.waiting as f64);
        metrics::gauge!("toucansill_streams_running").set(self.running as f64);
        metrics::gauge!("toucansill_engines_failed").set(self.failed_engines as f64);
        metrics::gauge!("toucansill_engines_paced").set(self.paced_engines as f64);
        metrics::gauge!("toucansill_engines_examined").set(self.engines_examined as f64);
        metrics::gauge!("toucansill_promises_open").set(self.promises_open as f64);
        metrics::gauge!("toucansill_promises_redeemed").set(self.promises_redeemed as f64);
    }
}

/// State of a leader during its term.
pub(crate) struct LeaderState {
    term: u64,
    since: Instant,
    /// Number of entry daemons that followed the former leader.
    former_entry_daemons: u32,
    history: History,
    pub(crate) directory: Directory,
    dispatcher: Dispatcher,
    pending: BTreeMap<PlacementRequestId, PendingPlacement>,
    /// Pending requests by when their reply is due.
    replies_due: BTreeSet<(Instant, PlacementRequestId)>,
    polls: PollSchedule,
    followers: Followers,
    /// Version and contents of the published routing.
    routing: Option<(u64, Arc<control::PublishedRouting>)>,
    out_of_service_changes: u64,
    relays: AnnouncedRelays,
    pub(crate) orders: OrderTickets,
}

/// Decision on a placement request, with the responder to send it to.
pub(crate) type PlacementReply = (Responder, Decision);

impl LeaderState {
    /// Creates the state of a new leader, with the directory that it has followed up to the position
    /// `base`, and the number of entry daemons that the former leader counted.
    pub(crate) fn new(
        now: Instant,
        term: u64,
        cfg: DispatcherConfig,
        (base, directory): (ViewPosition, Directory),
        former_entry_daemons: u32,
    ) -> Self {
        Self {
            term,
            since: now,
            former_entry_daemons,
            history: History::new(term, base),
            directory,
            dispatcher: Dispatcher::new(cfg),
            pending: BTreeMap::new(),
            replies_due: BTreeSet::new(),
            polls: PollSchedule::new(now),
            followers: Followers::new(FOLLOWER_TIMEOUT),
            routing: None,
            out_of_service_changes: 0,
            relays: AnnouncedRelays::default(),
            orders: OrderTickets::new(term),
        }
    }

    /// Records the announcement of a relay. Returns some of the others.
    pub(crate) fn announce_relay(&mut self, now: Instant, relay: RelayDaemon) -> Vec<RelayDaemon> {
        self.relays.announce(now, relay)
    }

    /// Addresses of a few daemons that have announced themselves as relays, from different data centres if
    /// possible.
    pub(crate) fn some_relays(&self, count: usize) -> Vec<SocketAddr> {
        self.relays.spread(count)
    }

    /// Lets requests for services without upstreams wait while each upstream registers once.
    pub(crate) fn await_upstreams(&mut self, now: Instant, registration_interval: Duration) {
        let until = now + registration_interval.mul_f64(AWAITED_REGISTRATIONS);
        self.dispatcher.await_upstreams(until);
    }

    /// Raft term of this leadership.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    /// Load of the dispatcher.
    pub(crate) fn load(&self, now: Instant) -> DispatcherLoad {
        let (promises_open, promises_redeemed) = self.dispatcher.promises(now);
        DispatcherLoad {
            waiting: self.dispatcher.waiting(),
            running: self.dispatcher.running(),
            failed_engines: self.dispatcher.failed_engines(now),
            paced_engines: self.dispatcher.paced_engines(),
            engines_examined: self.dispatcher.engines_examined(),
            promises_open,
            promises_redeemed,
        }
    }

    /// Applies the replicated routing, data centres and departures. Returns whether any of them
    /// changed.
    pub(crate) fn apply_state(&mut self, now: Instant, state: &control::State) -> bool {
        let mut is_changed = false;
        let known = self.routing.as_ref().map_or(0, |(version, _)| *version);
        if let Some(published) = state.routing().filter(|p| p.version > known) {
            match read_document(&published.document) {
                Ok(routing) => self.dispatcher.set_services(&routing.services),
                Err(err) => log::error!("routing document not read: {err}"),
            }
            self.routing = Some((published.version, Arc::clone(published)));
            is_changed = true;
        }
        if state.out_of_service() != self.directory.out_of_service() {
            self.directory.set_out_of_service(state.out_of_service().clone());
            self.out_of_service_changes += 1;
            is_changed = true;
        }
        let has_departures = self.directory.set_departures(now, state.departures());
        is_changed || has_departures
    }

    /// Sets the requests that are refused because they have crashed upstreams.
    pub(crate) fn set_quarantined(&mut self, watchlist: &Watchlist) {
        self.dispatcher.set_quarantined(watchlist.quarantined.iter().map(short_hash).collect());
    }

    /// Applies reports of limits that upstreams name. Returns whether the next poll is due sooner
    /// than it was.
    pub(crate) fn report_limits(&mut self, now: Instant, reports: &[LimitReport]) -> bool {
        for report in reports {
            self.dispatcher.report_limit(now, &self.directory, report);
        }
        self.polls.changed(now)
    }

    /// Records a change of the directory. Returns whether the next poll is due sooner than it was.
    pub(crate) fn directory_changed(&mut self, now: Instant) -> bool {
        self.polls.changed(now)
    }

    /// Counts a request that an entry sends to an upstream by its own placement, if the upstream's
    /// limit allows it. Returns the time until it does.
    pub(crate) fn reserve_request(&mut self, now: Instant, known: &LimitReport) -> Duration {
        self.dispatcher.reserve_request(now, &self.directory, known)
    }

    /// Position of an up-to-date view.
    pub(crate) fn position(&self) -> ViewPosition {
        ViewPosition {
            term: self.term,
            routing: self.routing.as_ref().map_or(0, |(version, _)| *version),
            directory: self.directory.revision(),
            out_of_service_changes: self.out_of_service_changes,
        }
    }

    /// Position from which on a view has the latest change of an upstream. Any view has it if the
    /// upstream is unknown.
    pub(crate) fn position_of(&self, id: &str) -> ViewPosition {
        let directory = self.directory.get(id).map_or(0, |entry| entry.revision);
        ViewPosition { term: self.term, directory, ..ViewPosition::default() }
    }

    /// Adds upstreams that a follower knows, unless the directory or the replicated departures know
    /// better. Returns how many were added.
    pub(crate) fn add_offered(&mut self, now: Instant, offered: Vec<Registration>) -> usize {
        let is_added = |registration| self.directory.register(now, registration).is_change();
        offered.into_iter().map(is_added).filter(|is_added| *is_added).count()
    }

    /// Records that a follower was heard, with its position and the requests that it reports as
    /// running. Returns whether the next poll is due sooner than it was.
    pub(crate) fn record_follower(&mut self, now: Instant, follow: &FollowRequest) -> bool {
        if self.followers.record(now, &follow.daemon, follow.is_entry, follow.position) {
            log::info!(daemon = follow.daemon.as_str(), term = self.term; "daemon follows");
        }
        let is_of_term = follow.position.term == self.term;
        let revision = if is_of_term { follow.position.directory } else { 0 };
        let has_more = self.dispatcher.revision_reported(&follow.daemon, revision);
        for running in &follow.running {
            self.dispatcher.adopt_running(now, &self.directory, running);
        }
        // Its waiting requests may get engines that it has learnt of.
        has_more && self.has_waiting() && self.polls.changed(now)
    }

    /// Changes that a follower with a view at `held` lacks. It gets the whole directory if its view
    /// doesn't continue as this leader's does, or is so old that departures since then have been
    /// purged.
    pub(crate) fn change_for(
        &self,
        now: Instant,
        held: ViewPosition,
        control_addresses: &[String],
    ) -> ViewChange {
        let since = self.common_revision(held);
        let newer = self.routing.as_ref().filter(|(version, _)| *version > held.routing);
        ViewChange {
            position: self.position(),
            routing: newer.map(|(_, published)| published.document.clone()),
            is_whole: since.is_none(),
            entries: self.directory.changes_since(now, since.unwrap_or_default()),
            out_of_service: self.directory.out_of_service().clone(),
            entry_daemons: self.entry_daemons(now),
            control_addresses: control_addresses.to_vec(),
        }
    }

    /// Revision up to which a view at `held` is the same as this leader's directory was; `None` if
    /// there is none with a known history.
    fn common_revision(&self, held: ViewPosition) -> Option<Revision> {
        let is_continued =
            self.history.continues(&held) && self.directory.has_history_since(held.directory);
        is_continued.then_some(held.directory)
    }

    /// The part of a position that decides what [`change_for`](Self::change_for) returns: followers
    /// for which it is the same get the same change.
    pub(crate) fn change_key(&self, held: ViewPosition) -> (Option<Revision>, u64) {
        (self.common_revision(held), held.routing)
    }

    /// Whether the views of all live followers cover `position`. False at the start of a term,
    /// until as many entry daemons follow as followed the former leader, or for
    /// [`FOLLOWER_TIMEOUT`].
    pub(crate) fn is_up_to_date(&self, now: Instant, position: &ViewPosition) -> bool {
        let has_followers = self.entry_daemons(now) >= self.former_entry_daemons
            || now.saturating_duration_since(self.since) >= FOLLOWER_TIMEOUT;
        has_followers && self.followers.all_cover(now, position)
    }

    /// Live followers whose views don't cover `position`.
    pub(crate) fn lagging(&self, now: Instant, position: &ViewPosition) -> Vec<DaemonId> {
        self.followers.lagging(now, position)
    }

    /// Decides on a placement request. One that has to wait is kept until [`poll`](Self::poll)
    /// decides on it.
    pub(crate) fn request_placement(
        &mut self,
        now: Instant,
        request: PlacementRequest,
        responder: Responder,
    ) -> Vec<PlacementReply> {
        let id = request.id.clone();
        let reply_at = now + queued_reply_time(request.first_event_target_remaining);
        let decision = self.dispatcher.request_placement(now, &self.directory, request);
        if decision != Decision::Waiting {
            return vec![(responder, decision)];
        }
        self.replies_due.insert((reply_at, id.clone()));
        if let Some(former) =
            self.pending.insert(id.clone(), PendingPlacement { responder, reply_at })
            && former.reply_at != reply_at
        {
            self.replies_due.remove(&(former.reply_at, id));
        }
        Vec::new()
    }

    /// Applies progress of requests. Returns whether the next poll is due sooner than it was.
    pub(crate) fn apply_progress(&mut self, now: Instant, progress: Vec<Progress>) -> bool {
        for report in progress {
            match report {
                Progress::FirstEvent(id) => self.dispatcher.first_event_received(now, &id),
                Progress::Ended(id, outcome) => self.dispatcher.request_ended(now, &id, outcome),
            }
        }
        self.polls.changed(now)
    }

    /// Time of the next poll; `None` while no placement request is waiting.
    pub(crate) fn next_poll(&self) -> Option<Instant> {
        self.has_waiting().then(|| self.polls.due())
    }

    /// Records that a poll was done.
    pub(crate) fn polled(&mut self, started: Instant, ended: Instant) {
        self.polls.polled(started, ended);
    }

    /// Replies to pending placement requests that are due: placements that have become possible,
    /// refusals, and `Waiting` for those whose reply is due.
    pub(crate) fn poll(&mut self, now: Instant) -> Vec<PlacementReply> {
        let mut replies = Vec::new();
        for (id, decision) in self.dispatcher.poll(now, &self.directory) {
            // Without a responder, the entry daemon is about to repeat its request, and will get
            // the same grant then.
            if let Some(pending) = self.pending.remove(&id) {
                self.replies_due.remove(&(pending.reply_at, id));
                replies.push((pending.responder, decision));
            }
        }
        while self.replies_due.first().is_some_and(|(at, _)| *at <= now) {
            let due = self.replies_due.pop_first();
            if let Some(pending) = due.and_then(|(_, id)| self.pending.remove(&id)) {
                replies.push((pending.responder, Decision::Waiting));
            }
        }
        replies
    }

    /// Whether any placement request is waiting.
    fn has_waiting(&self) -> bool {
        self.dispatcher.waiting() > 0 || !self.pending.is_empty()
    }

    /// Releases the grants of lost daemons, and purges old departures from the directory.
    pub(crate) fn clean_up(&mut self, now: Instant) {
        let lost = self.followers.remove_silent(now, DAEMON_LOST_TIMEOUT);
        for daemon in lost {
            log::warn!(daemon = daemon.as_str(), term = self.term; "daemon lost");
            self.dispatcher.daemon_lost(now, &daemon);
        }
        self.directory.purge_departed(now);
    }

    /// Number of live followers.
    pub(crate) fn live_follower_count(&self, now: Instant) -> usize {
        self.followers.live(now)
    }

    /// Number of live followers that accept requests of callers, at least 1.
    fn entry_daemons(&self, now: Instant) -> u32 {
        let entries = self.followers.live_entries(now);
        u32::try_from(entries.max(1)).unwrap_or(u32::MAX)
    }
}
