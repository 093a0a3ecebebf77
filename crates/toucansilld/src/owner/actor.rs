//! Owner's thread: holds the state of the upstreams and places requests on them.

use super::{
    OwnerContext, Placed, PlacedResult, convert, ownership_group_of, status::UpstreamStatus,
};
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

/// Time without an announcement after which an upstream is considered gone.
const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(7);
/// Maximum time between checks of deadlines and ownership while no message arrives.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Retry delay suggested to callers with [`no_upstream_refusal`].
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Message to the owner's thread.
pub(crate) enum OwnerMsg {
    /// Applies an upstream's announcement.
    Announce { announcement: Box<Announcement>, hash: u64, reply: flume::Sender<AnnouncementReply> },
    /// Renews an announcement by its hash.
    Alive { alive: AliveAnnouncement, reply: flume::Sender<AnnouncementReply> },
    /// Queues a job. The reply is sent once it is placed or refused.
    Submit { job: Box<Job>, reply: flume::Sender<PlacedResult> },
    /// The first token of a request was received, so its prefill has ended.
    FirstToken { request: RequestId },
    /// A request has finished.
    Finished { request: RequestId, used: TokenUsage },
    /// A request has failed on its upstream.
    Failed { request: RequestId, failure: FailureCause },
    /// The caller has disconnected, or the request was given up.
    Cancelled { request: RequestId },
    /// An upstream's load report.
    LoadReport { id: UpstreamId, report: LoadReport },
    /// Requests the load digest.
    Digest { reply: flume::Sender<OwnerDigest> },
    /// Requests the state of each upstream.
    Status { reply: flume::Sender<Vec<UpstreamStatus>> },
    /// Requests the number of requests queued or in flight.
    RequestCount { reply: flume::Sender<usize> },
    /// Requests the upstreams to poll.
    PollTargets { reply: flume::Sender<Vec<PollTarget>> },
    /// An upstream was reconciled: its inventory was compared with what the owner expects.
    Reconciled { id: UpstreamId, incarnation: Incarnation, epoch: u64 },
    /// Configuration, roster or lease has changed.
    ViewChanged,
    /// Ends the thread.
    Stop,
}

/// An announced upstream that the owner's daemon polls.
#[derive(Clone, Debug)]
pub(crate) struct PollTarget {
    /// Name and address.
    pub(crate) target: Target,
    /// Whether it is a model engine.
    pub(crate) is_engine: bool,
    /// Current incarnation.
    pub(crate) incarnation: Incarnation,
    /// Roster epoch of the ownership, or `None` if this daemon does not own it.
    pub(crate) epoch: Option<u64>,
    /// Whether it was reconciled in this roster epoch.
    pub(crate) is_reconciled: bool,
    /// Name of its ownership group.
    pub(crate) ownership_group: String,
    /// Requests that this daemon has in flight there.
    pub(crate) in_flight: Vec<InFlightRequest>,
}

/// A request that this daemon has in flight on an upstream.
#[derive(Clone, Debug)]
pub(crate) struct InFlightRequest {
    /// Id of the owner attempt.
    pub(crate) request: RequestId,
    /// When it was placed.
    pub(crate) placed_at: Instant,
    /// Number of upstreams that share it: 1 unless a gang runs it.
    pub(crate) upstream_count: usize,
}

/// State of the owner's thread.
pub(crate) struct Actor {
    cx: OwnerContext,
    fleet: Fleet,
    announced: AnnouncedUpstreams,
    /// Channel for the placement of each queued request.
    queued: HashMap<RequestId, flume::Sender<PlacedResult>>,
    /// When and on how many upstreams each request in flight was placed.
    in_flight: HashMap<RequestId, PlacedAt>,
    reconciled: HashMap<UpstreamId, ReconciledAt>,
    /// [`announcement_hash`](super::announcement_hash) of each upstream's last announcement.
    announcement_hashes: HashMap<UpstreamId, u64>,
    digest_sequence: u64,
}

/// When and on how many upstreams a request was placed.
#[derive(Clone, Copy)]
struct PlacedAt {
    at: Instant,
    upstream_count: usize,
}

/// Incarnation of an upstream and roster epoch of its ownership at its last reconciliation.
#[derive(Clone, Copy, Eq, PartialEq)]
struct ReconciledAt {
    incarnation: Incarnation,
    epoch: u64,
}

impl Actor {
    /// State without any upstream.
    pub(crate) fn new(cx: OwnerContext) -> Self {
        let cfg = Config {
            data_centre: cx.data_centre.clone(),
            region: cx.region.clone(),
            ..Config::default()
        };
        Self {
            cx,
            fleet: Fleet::new(cfg),
            announced: AnnouncedUpstreams::new(AnnouncedUpstreamsConfig {
                announcement_ttl: ANNOUNCEMENT_LEASE,
                ..AnnouncedUpstreamsConfig::default()
            }),
            queued: HashMap::new(),
            in_flight: HashMap::new(),
            reconciled: HashMap::new(),
            announcement_hashes: HashMap::new(),
            digest_sequence: 0,
        }
    }

    /// Handles messages until [`OwnerMsg::Stop`].
    pub(crate) fn run(mut self, rx: &flume::Receiver<OwnerMsg>) {
        loop {
            let now = self.cx.clock.now();
            let next_check = now + CHECK_INTERVAL;
            let wakeup =
                self.fleet.next_wakeup().map_or(next_check, |at| at.clamp(now, next_check));
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
                self.announcement_hashes.insert(announcement.id.clone(), hash);
                let _ = reply.send(self.announce(now, *announcement));
            }
            OwnerMsg::Alive { alive, reply } => {
                let _ = reply.send(self.renew_announcement(now, &alive));
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
                self.queued.remove(&request);
                self.fleet.request_cancelled(now, &request);
            }
            OwnerMsg::LoadReport { id, report } => {
                let (_, lost) = self.fleet.report(now, &id, report);
                log_lost(&lost);
            }
            OwnerMsg::Digest { reply } => {
                let _ = reply.send(self.digest(now));
            }
            OwnerMsg::Status { reply } => {
                let _ = reply.send(self.status(now));
            }
            OwnerMsg::RequestCount { reply } => {
                let _ = reply.send(self.fleet.queued_count() + self.fleet.in_flight_count());
            }
            OwnerMsg::PollTargets { reply } => {
                let _ = reply.send(self.poll_targets());
            }
            OwnerMsg::Reconciled { id, incarnation, epoch } => {
                self.reconciled.insert(id, ReconciledAt { incarnation, epoch });
                self.check_ownership();
            }
            OwnerMsg::ViewChanged => self.check_ownership(),
            OwnerMsg::Stop => {}
        }
    }

    /// Applies the last announcement of an upstream again, if it has the same hash.
    fn renew_announcement(&mut self, now: Instant, alive: &AliveAnnouncement) -> AnnouncementReply {
        if self.announcement_hashes.get(&alive.upstream) != Some(&alive.hash) {
            return AnnouncementReply::Unknown;
        }
        match self.announced.get(&alive.upstream).map(|announced| announced.announcement.clone()) {
            Some(announcement) => self.announce(now, announcement),
            None => AnnouncementReply::Unknown,
        }
    }

    /// Applies an announcement, unless another daemon owns the upstream. Changes are logged and
    /// recorded; a renewal without a change is not.
    fn announce(&mut self, now: Instant, announcement: Announcement) -> AnnouncementReply {
        if let Ownership::Other { owner } = self.cx.session.owns(&ownership_group_of(&announcement))
        {
            return AnnouncementReply::Refused(format!("the owner is {owner:?}"));
        }
        let info = convert::upstream_info(&announcement);
        let id = announcement.id.clone();
        let outcome = match self.announced.announce(announcement, now) {
            Ok(outcome) => outcome,
            Err(err) => return AnnouncementReply::Refused(err.to_string()),
        };
        match self.fleet.announce(now, info) {
            Ok(lost) => log_lost(&lost),
            Err(refusal) => return AnnouncementReply::Refused(refusal.to_string()),
        }
        if !matches!(outcome, AnnouncementOutcome::Kept) {
            log::info!("upstream {id}: {outcome:?}");
            self.record_announcement(&id, &outcome);
            self.check_ownership();
        }
        AnnouncementReply::Known
    }

    fn record_announcement(&self, id: &str, outcome: &AnnouncementOutcome) {
        let kind = match outcome {
            AnnouncementOutcome::Restarted { .. } => EventKind::UpstreamRestarted,
            _ => EventKind::UpstreamAnnounced,
        };
        let event = self.cx.recorder.event(kind).upstream(id);
        self.cx.recorder.record(event.data_centre(self.cx.data_centre.clone()));
    }

    /// Queues a job, or refuses it at once.
    fn submit(&mut self, now: Instant, job: Job, reply: flume::Sender<PlacedResult>) {
        if let Err(refusal) = self.cx.session.may_accept_requests() {
            log::info!("{} refused: {refusal}", job.request);
            let _ = reply.send(Err(no_upstream_refusal()));
            return;
        }
        let request = job.request.clone();
        match self.fleet.submit(now, job) {
            Ok(()) => {
                self.queued.insert(request, reply);
            }
            Err(refusal) => {
                let _ = reply.send(Err(refusal));
            }
        }
    }

    /// Places queued requests where there is room, and refuses those whose deadline can no longer
    /// be met.
    fn place(&mut self) {
        let now = self.cx.clock.now();
        if self.cx.session.may_accept_requests().is_err() {
            self.refuse_queued(now);
            return;
        }
        for dispatch in self.fleet.dispatch(now) {
            self.place_one(now, dispatch);
        }
        for refused in self.fleet.refuse_expired(now) {
            if let Some(reply) = self.queued.remove(&refused.request) {
                let _ = reply.send(Err(refused.refusal));
            }
        }
    }

    /// Passes on one placement. Its reservations are released if the request was given up or an
    /// upstream is no longer announced.
    fn place_one(&mut self, now: Instant, dispatch: Dispatch) {
        let placed = self.with_targets(&dispatch);
        let Some(reply) = self.queued.remove(&dispatch.request) else {
            self.fleet.request_cancelled(now, &dispatch.request);
            return;
        };
        let Some(placed) = placed else {
            self.fleet.request_failed(now, &dispatch.request, FailureCause::Upstream);
            let _ = reply.send(Err(no_upstream_refusal()));
            return;
        };
        let upstream_count = placed.targets.len();
        if reply.send(Ok(placed)).is_err() {
            self.fleet.request_cancelled(now, &dispatch.request);
            return;
        }
        self.in_flight.insert(dispatch.request, PlacedAt { at: now, upstream_count });
    }

    /// The placement with the addresses of its upstreams, or `None` if one of them is no longer
    /// announced.
    fn with_targets(&self, dispatch: &Dispatch) -> Option<Placed> {
        let reservations = dispatch.placement.reservations();
        let first = reservations.first()?;
        let in_flight = self.fleet.requests_on(&first.upstream).len();
        let targets: Option<Vec<Target>> =
            reservations.iter().map(|reservation| self.target(&reservation.upstream)).collect();
        Some(Placed { placement: dispatch.placement.clone(), targets: targets?, in_flight })
    }

    fn target(&self, id: &str) -> Option<Target> {
        let announced = self.announced.get(id)?;
        Some(Target::new(id, announced.announcement.address.clone()))
    }

    /// Refuses all queued requests: without a valid lease this daemon sends nothing new, and
    /// other owners may be able to serve them.
    fn refuse_queued(&mut self, now: Instant) {
        for (request, reply) in self.queued.drain() {
            self.fleet.request_cancelled(now, &request);
            let _ = reply.send(Err(no_upstream_refusal()));
        }
    }

    /// Forgets upstreams that have not renewed their announcement in time, and the placements of
    /// requests that have ended.
    fn expire(&mut self) {
        let now = self.cx.clock.now();
        for announced in self.announced.expire(now) {
            log::info!("upstream {} has not renewed its announcement", announced.announcement.id);
            self.announcement_hashes.remove(&announced.announcement.id);
            let event = self.cx.recorder.event(EventKind::UpstreamLost);
            self.cx.recorder.record(event.upstream(announced.announcement.id));
        }
        log_lost(&self.fleet.remove_silent(now));
        let fleet = &self.fleet;
        self.in_flight.retain(|request, _| fleet.is_in_flight(request));
    }

    /// Lets upstreams receive new requests only while this daemon owns them, they are
    /// reconciled, and the configuration keeps them in service.
    ///
    /// An upstream that another daemon owns is removed once its last request here has ended.
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
            let is_elsewhere = matches!(ownership, Ownership::Other { .. });
            if is_elsewhere && self.fleet.requests_on(&id).is_empty() {
                self.forget(now, &id);
            }
        }
    }

    /// Whether this daemon owns an upstream. One that is no longer announced has no known group;
    /// it receives nothing new, and stays here until it is removed as silent.
    fn ownership(&self, id: &str) -> Ownership {
        match self.announced.get(id) {
            Some(announced) => self.cx.session.owns(&ownership_group_of(&announced.announcement)),
            None => Ownership::Waiting,
        }
    }

    /// Carries a reconciliation over to a new roster epoch: while ownership continues without a
    /// gap, a change of the roster needs no new reconciliation.
    fn keep_reconciled(&mut self, id: &str, epoch: u64) {
        if let Some(reconciled) = self.reconciled.get_mut(id) {
            reconciled.epoch = epoch;
        }
    }

    /// Whether an upstream was reconciled since its start and since this daemon became its owner.
    /// Before that, nothing new is sent to it.
    fn is_reconciled(&self, id: &str, epoch: u64) -> bool {
        let Some(announced) = self.announced.get(id) else { return false };
        let incarnation = announced.announcement.incarnation;
        self.reconciled.get(id) == Some(&ReconciledAt { incarnation, epoch })
    }

    /// Removes an upstream that another daemon owns.
    fn forget(&mut self, now: Instant, id: &UpstreamId) {
        self.fleet.remove(now, id);
        self.fleet.set_desired_state(now, id, DesiredState::Up);
        self.announced.remove(id);
        self.reconciled.remove(id);
    }

    /// Load digest of this owner, with the next sequence number.
    fn digest(&mut self, now: Instant) -> OwnerDigest {
        self.digest_sequence += 1;
        let instance = self.cx.session.instance();
        self.fleet.digest(now, instance.daemon, instance.incarnation, self.digest_sequence)
    }

    fn status(&self, now: Instant) -> Vec<UpstreamStatus> {
        self.fleet
            .upstream_ids()
            .filter_map(|id| self.fleet.explain(now, id))
            .map(UpstreamStatus::of)
            .collect()
    }

    fn poll_targets(&self) -> Vec<PollTarget> {
        self.announced.iter().map(|announced| self.poll_target(&announced.announcement)).collect()
    }

    /// An upstream with its ownership and requests in flight.
    fn poll_target(&self, announcement: &Announcement) -> PollTarget {
        let epoch = match self.cx.session.owns(&ownership_group_of(announcement)) {
            Ownership::Owner { epoch } => Some(epoch),
            _ => None,
        };
        let requests = self.fleet.requests_on(&announcement.id);
        let in_flight = requests.into_iter().filter_map(|request| {
            let PlacedAt { at, upstream_count } = *self.in_flight.get(&request)?;
            Some(InFlightRequest { request, placed_at: at, upstream_count })
        });
        PollTarget {
            target: Target::new(announcement.id.clone(), announcement.address.clone()),
            is_engine: announcement.kind == upstream::UpstreamKind::Engine,
            incarnation: announcement.incarnation,
            epoch,
            is_reconciled: epoch.is_some_and(|epoch| self.is_reconciled(&announcement.id, epoch)),
            ownership_group: ownership_group_of(announcement),
            in_flight: in_flight.collect(),
        }
    }
}

/// Refusal of a job that another owner may be able to place: this daemon has no valid lease, or a
/// chosen upstream is no longer announced.
fn no_upstream_refusal() -> Refusal {
    Refusal { reason: RefusalReason::NoUpstream, retry_after: NO_UPSTREAM_RETRY_AFTER }
}

/// Logs requests that were lost with an upstream's former incarnation.
fn log_lost(lost: &[LostJob]) {
    for lost in lost {
        log::warn!(
            "{} was in flight on {}, which restarted or was removed",
            lost.request,
            lost.upstream
        );
    }
}
