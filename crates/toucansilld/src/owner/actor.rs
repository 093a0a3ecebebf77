//! The thread that holds the state of the upstreams.

use super::{OwnerContext, Placed, PlacedResult, convert, group_of, status::UpstreamStatus};
use crate::messages::{AliveAnnouncement, AnnouncementReply};
use control::Ownership;
use event::EventKind;
use route::{
    Config, DesiredState, Dispatch, FailureCause, Fleet, Job, LoadReport, LostJob, OwnerDigest,
    Refusal, RefusalReason, TokenUsage,
};
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};
use upstream::{
    AnnouncedUpstreams, Announcement, Target,
    announce::{AnnouncedUpstreamsConfig, AnnouncementOutcome},
};
use wire::{Incarnation, RequestId, UpstreamId};

/// Time without an announcement after which an upstream counts as gone.
const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(7);
/// Longest time between two looks at deadlines and ownership.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// When a caller may come back after the daemon lost its lease.
const LEASE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What the owner's thread is told or asked.
pub(crate) enum OwnerMsg {
    /// An upstream has announced itself.
    Announce { announcement: Box<Announcement>, hash: u64, reply: flume::Sender<AnnouncementReply> },
    /// An upstream has repeated its announcement.
    Alive { alive: AliveAnnouncement, reply: flume::Sender<AnnouncementReply> },
    /// Places a job; the answer may come later.
    Submit { job: Box<Job>, reply: flume::Sender<PlacedResult> },
    /// The prefill of a request is over.
    FirstToken { request: RequestId },
    /// A request has ended well.
    Finished { request: RequestId, used: TokenUsage },
    /// A request has failed.
    Failed { request: RequestId, failure: FailureCause },
    /// The caller has left, or the daemon gives the request up.
    Cancelled { request: RequestId },
    /// A load report of an upstream.
    Report { id: UpstreamId, report: LoadReport },
    /// Asks for the digest.
    Digest { reply: flume::Sender<OwnerDigest> },
    /// Asks for the state of each upstream.
    Status { reply: flume::Sender<Vec<UpstreamStatus>> },
    /// Asks for the number of requests that wait or run.
    Load { reply: flume::Sender<usize> },
    /// Asks for the upstreams to poll.
    Targets { reply: flume::Sender<Vec<PollTarget>> },
    /// An upstream's tables were compared with the owner's.
    Reconciled { id: UpstreamId, incarnation: Incarnation, epoch: u64 },
    /// Configuration, roster or lease have changed.
    ViewChanged,
    /// Ends the thread.
    Stop,
}

/// An upstream that the owner looks at from time to time.
#[derive(Clone, Debug)]
pub(crate) struct PollTarget {
    /// Where it is.
    pub(crate) target: Target,
    /// Whether it is a model engine.
    pub(crate) is_engine: bool,
    /// Number of its present start.
    pub(crate) incarnation: Incarnation,
    /// Epoch of the ownership, or nothing if this daemon does not own it.
    pub(crate) epoch: Option<u64>,
    /// Whether its tables were compared with the owner's in this epoch.
    pub(crate) is_reconciled: bool,
    /// Name of its group.
    pub(crate) group: String,
    /// Requests that this daemon has in flight there.
    pub(crate) held: Vec<HeldRequest>,
}

/// A request that this daemon has in flight on an upstream.
#[derive(Clone, Debug)]
pub(crate) struct HeldRequest {
    /// Id of the attempt.
    pub(crate) request: RequestId,
    /// When it was placed.
    pub(crate) placed_at: Instant,
    /// Upstreams that share it, 1 unless it is a gang.
    pub(crate) members: usize,
}

/// State of the owner's thread.
pub(crate) struct Actor {
    cx: OwnerContext,
    fleet: Fleet,
    directory: AnnouncedUpstreams,
    waiting: HashMap<RequestId, flume::Sender<PlacedResult>>,
    /// What each request in flight was placed on.
    placed: HashMap<RequestId, PlacedAt>,
    reconciled: HashMap<UpstreamId, Standing>,
    /// Hash of each upstream's last announcement as it came.
    hashes: HashMap<UpstreamId, u64>,
    digest_sequence: u64,
}

/// When and on how many upstreams a request was placed.
#[derive(Clone, Copy)]
struct PlacedAt {
    at: Instant,
    members: usize,
}

/// The start of an upstream and the epoch of its ownership.
#[derive(Clone, Copy, Eq, PartialEq)]
struct Standing {
    incarnation: Incarnation,
    epoch: u64,
}

impl Actor {
    pub(crate) fn new(cx: OwnerContext) -> Self {
        let cfg = Config {
            data_centre: cx.data_centre.clone(),
            region: cx.region.clone(),
            ..Config::default()
        };
        Self {
            cx,
            fleet: Fleet::new(cfg),
            directory: AnnouncedUpstreams::new(AnnouncedUpstreamsConfig {
                lease: ANNOUNCEMENT_LEASE,
                ..AnnouncedUpstreamsConfig::default()
            }),
            waiting: HashMap::new(),
            placed: HashMap::new(),
            reconciled: HashMap::new(),
            hashes: HashMap::new(),
            digest_sequence: 0,
        }
    }

    /// Handles messages until told to stop.
    pub(crate) fn run(mut self, rx: &flume::Receiver<OwnerMsg>) {
        loop {
            let now = self.cx.clock.now();
            let look = now + LOOK_EVERY;
            let wakeup = self.fleet.next_wakeup().map_or(look, |at| at.clamp(now, look));
            match rx.recv_deadline(wakeup) {
                Ok(OwnerMsg::Stop) | Err(flume::RecvTimeoutError::Disconnected) => return,
                Ok(msg) => self.handle(msg),
                Err(flume::RecvTimeoutError::Timeout) => {
                    self.expire();
                    self.check_ownership();
                }
            }
            self.place();
        }
    }

    fn handle(&mut self, msg: OwnerMsg) {
        let now = self.cx.clock.now();
        match msg {
            OwnerMsg::Announce { announcement, hash, reply } => {
                self.hashes.insert(announcement.id.clone(), hash);
                let _ = reply.send(self.announce(now, *announcement));
            }
            OwnerMsg::Alive { alive, reply } => {
                let _ = reply.send(self.alive(now, &alive));
            }
            OwnerMsg::Submit { job, reply } => self.submit(now, *job, reply),
            OwnerMsg::FirstToken { request } => {
                self.fleet.first_token_received(now, &request, None);
            }
            OwnerMsg::Finished { request, used } => {
                self.fleet.request_finished(now, &request, used);
            }
            OwnerMsg::Failed { request, failure } => {
                self.fleet.request_failed(now, &request, failure);
            }
            OwnerMsg::Cancelled { request } => {
                self.waiting.remove(&request);
                self.fleet.request_cancelled(now, &request);
            }
            OwnerMsg::Report { id, report } => {
                let (_, lost) = self.fleet.report(now, &id, report);
                log_lost(&lost);
            }
            OwnerMsg::Digest { reply } => {
                let _ = reply.send(self.digest(now));
            }
            OwnerMsg::Status { reply } => {
                let _ = reply.send(self.status(now));
            }
            OwnerMsg::Load { reply } => {
                let _ = reply.send(self.fleet.waiting_count() + self.fleet.in_flight_count());
            }
            OwnerMsg::Targets { reply } => {
                let _ = reply.send(self.targets());
            }
            OwnerMsg::Reconciled { id, incarnation, epoch } => {
                self.reconciled.insert(id, Standing { incarnation, epoch });
                self.check_ownership();
            }
            OwnerMsg::ViewChanged => self.check_ownership(),
            OwnerMsg::Stop => {}
        }
    }

    fn alive(&mut self, now: Instant, alive: &AliveAnnouncement) -> AnnouncementReply {
        if self.hashes.get(&alive.upstream) != Some(&alive.hash) {
            return AnnouncementReply::Unknown;
        }
        match self.directory.get(&alive.upstream).map(|entry| entry.announcement.clone()) {
            Some(announcement) => self.announce(now, announcement),
            None => AnnouncementReply::Unknown,
        }
    }

    fn announce(&mut self, now: Instant, announcement: Announcement) -> AnnouncementReply {
        if let Ownership::Other { owner } = self.cx.session.owns(&group_of(&announcement)) {
            return AnnouncementReply::Refused(format!("the owner is {owner:?}"));
        }
        let placed = convert::announcement(&announcement);
        let id = announcement.id.clone();
        let change = match self.directory.announce(announcement, now) {
            Ok(change) => change,
            Err(err) => return AnnouncementReply::Refused(err.to_string()),
        };
        match self.fleet.announce(now, placed) {
            Ok(lost) => log_lost(&lost),
            Err(refusal) => return AnnouncementReply::Refused(refusal.to_string()),
        }
        if !matches!(change, AnnouncementOutcome::Kept) {
            log::info!("upstream {id}: {change:?}");
            self.record_change(&id, &change);
            self.check_ownership();
        }
        AnnouncementReply::Known
    }

    fn record_change(&self, id: &str, change: &AnnouncementOutcome) {
        let kind = match change {
            AnnouncementOutcome::Restarted { .. } => EventKind::UpstreamRestarted,
            _ => EventKind::UpstreamAnnounced,
        };
        let event = self.cx.recorder.event(kind).upstream(id);
        self.cx.recorder.record(event.data_centre(self.cx.data_centre.clone()));
    }

    fn submit(&mut self, now: Instant, job: Job, reply: flume::Sender<PlacedResult>) {
        if let Err(refusal) = self.cx.session.may_take_work() {
            log::info!("{} is not taken: {refusal}", job.request);
            let _ = reply.send(Err(lease_refusal()));
            return;
        }
        let request = job.request.clone();
        match self.fleet.submit(now, job) {
            Ok(()) => {
                self.waiting.insert(request, reply);
            }
            Err(refusal) => {
                let _ = reply.send(Err(refusal));
            }
        }
    }

    /// Sends out what can be placed, and the final answers of what can't.
    fn place(&mut self) {
        let now = self.cx.clock.now();
        if self.cx.session.may_take_work().is_err() {
            self.refuse_waiting(now);
            return;
        }
        for dispatch in self.fleet.dispatch(now) {
            self.place_one(now, dispatch);
        }
        for refused in self.fleet.refuse_expired(now) {
            if let Some(reply) = self.waiting.remove(&refused.request) {
                let _ = reply.send(Err(refused.refusal));
            }
        }
    }

    fn place_one(&mut self, now: Instant, dispatch: Dispatch) {
        let placed = self.placed(&dispatch);
        let Some(reply) = self.waiting.remove(&dispatch.request) else {
            self.fleet.request_cancelled(now, &dispatch.request);
            return;
        };
        let Some(placed) = placed else {
            self.fleet.request_failed(now, &dispatch.request, FailureCause::Upstream);
            let _ = reply.send(Err(lease_refusal()));
            return;
        };
        let members = placed.targets.len();
        if reply.send(Ok(placed)).is_err() {
            self.fleet.request_cancelled(now, &dispatch.request);
            return;
        }
        self.placed.insert(dispatch.request, PlacedAt { at: now, members });
    }

    fn placed(&self, dispatch: &Dispatch) -> Option<Placed> {
        let grants = dispatch.placement.reservations();
        let first = grants.first()?;
        let in_flight = self.fleet.requests_on(&first.upstream).len();
        let targets: Option<Vec<Target>> =
            grants.iter().map(|grant| self.target(&grant.upstream)).collect();
        Some(Placed { placement: dispatch.placement.clone(), targets: targets?, in_flight })
    }

    fn target(&self, id: &str) -> Option<Target> {
        let entry = self.directory.get(id)?;
        Some(Target::new(id, entry.announcement.address.clone()))
    }

    /// Without a valid lease nothing new is sent: what waits can go elsewhere.
    fn refuse_waiting(&mut self, now: Instant) {
        for (request, reply) in self.waiting.drain() {
            self.fleet.request_cancelled(now, &request);
            let _ = reply.send(Err(lease_refusal()));
        }
    }

    fn expire(&mut self) {
        let now = self.cx.clock.now();
        for entry in self.directory.expire(now) {
            log::info!("upstream {} is silent", entry.announcement.id);
            self.hashes.remove(&entry.announcement.id);
            let event = self.cx.recorder.event(EventKind::UpstreamLost);
            self.cx.recorder.record(event.upstream(entry.announcement.id));
        }
        log_lost(&self.fleet.remove_silent(now));
        let fleet = &self.fleet;
        self.placed.retain(|request, _| fleet.is_in_flight(request));
    }

    /// Lets upstreams take new work only while this daemon owns them and the
    /// configuration wants them.
    fn check_ownership(&mut self) {
        let now = self.cx.clock.now();
        let configuration = self.cx.session.configuration();
        let is_in_service = configuration.is_in_service(&self.cx.data_centre);
        self.fleet.set_data_centre_in_service(now, is_in_service);
        let ids: Vec<UpstreamId> = self.fleet.upstream_ids().cloned().collect();
        for id in ids {
            let ownership = self.ownership(&id);
            let is_up = match &ownership {
                Ownership::Owner { epoch } => {
                    self.keep_reconciled(&id, *epoch);
                    self.is_reconciled(&id, *epoch) && !configuration.is_retired(&id)
                }
                _ => {
                    self.reconciled.remove(&id);
                    false
                }
            };
            let desired_state = if is_up { DesiredState::Up } else { DesiredState::Retired };
            self.fleet.set_desired_state(now, &id, desired_state);
            let is_lost = matches!(ownership, Ownership::Other { .. });
            if is_lost && self.fleet.requests_on(&id).is_empty() {
                self.forget(now, &id);
            }
        }
    }

    /// Whether this daemon owns an upstream. One that is no longer announced stays
    /// with its last owner until it is removed.
    fn ownership(&self, id: &str) -> Ownership {
        match self.directory.get(id) {
            Some(entry) => self.cx.session.owns(&group_of(&entry.announcement)),
            None => Ownership::Waiting,
        }
    }

    /// Ownership without a gap needs no new comparison when the roster changes.
    fn keep_reconciled(&mut self, id: &str, epoch: u64) {
        if let Some(standing) = self.reconciled.get_mut(id) {
            standing.epoch = epoch;
        }
    }

    /// Whether an upstream's tables were compared since its start and since this
    /// daemon became its owner. Before that, nothing new is sent to it.
    fn is_reconciled(&self, id: &str, epoch: u64) -> bool {
        let Some(entry) = self.directory.get(id) else { return false };
        let incarnation = entry.announcement.incarnation;
        self.reconciled.get(id) == Some(&Standing { incarnation, epoch })
    }

    fn forget(&mut self, now: Instant, id: &UpstreamId) {
        self.fleet.remove(now, id);
        self.fleet.set_desired_state(now, id, DesiredState::Up);
        self.directory.remove(id);
        self.reconciled.remove(id);
    }

    fn digest(&mut self, now: Instant) -> OwnerDigest {
        self.digest_sequence += 1;
        let holder = self.cx.session.holder();
        self.fleet.digest(now, holder.daemon, holder.incarnation, self.digest_sequence)
    }

    fn status(&self, now: Instant) -> Vec<UpstreamStatus> {
        self.fleet
            .upstream_ids()
            .filter_map(|id| self.fleet.explain(now, id))
            .map(UpstreamStatus::of)
            .collect()
    }

    fn targets(&self) -> Vec<PollTarget> {
        self.directory.iter().map(|entry| self.poll_target(&entry.announcement)).collect()
    }

    fn poll_target(&self, announcement: &Announcement) -> PollTarget {
        let epoch = match self.cx.session.owns(&group_of(announcement)) {
            Ownership::Owner { epoch } => Some(epoch),
            _ => None,
        };
        let requests = self.fleet.requests_on(&announcement.id);
        let held = requests.into_iter().filter_map(|request| {
            let PlacedAt { at, members } = *self.placed.get(&request)?;
            Some(HeldRequest { request, placed_at: at, members })
        });
        PollTarget {
            target: Target::new(announcement.id.clone(), announcement.address.clone()),
            is_engine: announcement.kind == upstream::UpstreamKind::Engine,
            incarnation: announcement.incarnation,
            epoch,
            is_reconciled: epoch.is_some_and(|epoch| self.is_reconciled(&announcement.id, epoch)),
            group: group_of(announcement),
            held: held.collect(),
        }
    }
}

fn lease_refusal() -> Refusal {
    Refusal { reason: RefusalReason::NoUpstream, retry_after: LEASE_RETRY_AFTER }
}

fn log_lost(lost: &[LostJob]) {
    for lost in lost {
        log::warn!("{} was in flight on {}, which is gone", lost.request, lost.upstream);
    }
}
