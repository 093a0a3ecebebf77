//! Grant of an upstream for one request, and what its end tells about the upstream and the request.

use super::{
    messages::{Progress, RunReport},
    paths::CONNECT_TIMEOUT,
    placer::Placer,
    relay::Target,
    reports::Report,
    view::{ViewAge, ViewState},
    watchlist::RequestFingerprint,
};
use grant::{Grant, PlacementRequestId, RequestOutcome};
use platform::head::ResponseHead;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use wire::{DaemonId, DataCentreId, UpstreamId};

/// Time without a response after which an abandoned attempt raises the suspicion that its upstream
/// has crashed: longer than nearly all responses take.
const SILENCE_MIN: Duration = Duration::from_millis(1_600);

/// Grant of an upstream for one request, until the request ends. If it is dropped before
/// [`GrantGuard::end`], the request counts as abandoned.
pub(crate) struct GrantGuard {
    placer: Arc<Placer>,
    request_id: PlacementRequestId,
    fingerprint: RequestFingerprint,
    /// Upstream and helpers to send the request to.
    pub(crate) grant: Grant,
    /// Start time of the upstream's run, in milliseconds since the Unix epoch on its clock; 0 if
    /// this daemon's view lacks the upstream.
    started_at_ms: u64,
    granted_at: Instant,
    /// View by which this daemon placed the request itself; `None` if the leader placed it.
    local_view: Option<ViewAge>,
    /// Daemon through which the response came; `None` on an own connection.
    pub(crate) relay: Option<DaemonId>,
    has_first_event: bool,
    has_ended: bool,
}

impl GrantGuard {
    /// Creates the guard of a grant for the request with this fingerprint, which was placed just now.
    pub(super) fn new(
        placer: Arc<Placer>,
        request_id: PlacementRequestId,
        fingerprint: RequestFingerprint,
        grant: Grant,
        started_at_ms: u64,
        local_view: Option<ViewAge>,
    ) -> Self {
        let granted_at = placer.clock.now();
        Self {
            placer,
            request_id,
            fingerprint,
            grant,
            started_at_ms,
            granted_at,
            local_view,
            relay: None,
            has_first_event: false,
            has_ended: false,
        }
    }

    /// View by which this daemon placed the request itself; `None` if the leader placed it.
    pub(crate) fn local_view(&self) -> Option<ViewAge> {
        self.local_view
    }

    /// Name for the request's reservations on helpers, unique in the region.
    pub(crate) fn reservation_name(&self) -> String {
        format!("{}-{:x}", self.request_id.daemon, self.request_id.number)
    }

    /// Upstream that runs the request.
    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.grant.upstream
    }

    /// Data centre of the upstream; empty if this daemon's view lacks it.
    pub(crate) fn data_centre(&self) -> DataCentreId {
        let registration = |state: &mut ViewState| {
            let entry = state.directory.get(&self.grant.upstream);
            entry.map(|entry| entry.registration.data_centre.clone())
        };
        self.placer.view.with(registration).unwrap_or_default()
    }

    /// Reports the first event of the response to the leader. Later calls change nothing.
    pub(crate) fn first_event_received(&mut self) {
        if std::mem::replace(&mut self.has_first_event, true) || self.local_view.is_some() {
            return;
        }
        self.placer.leader_placed.first_event_received(&self.request_id);
        self.placer.report(Progress::FirstEvent(self.request_id.clone()));
    }

    /// Ends the grant: reports the outcome to the leader, or to the local placer.
    pub(crate) fn end(mut self, outcome: RequestOutcome) {
        self.end_once(outcome);
    }

    /// Upstream to send the request to.
    pub(crate) fn target(&self) -> Target {
        Target { upstream: self.grant.upstream.clone(), address: self.grant.address }
    }

    /// Report that the upstream crashed under the request.
    fn crash(&self) -> RunReport {
        let (upstream, started_at_ms) = (self.grant.upstream.clone(), self.started_at_ms);
        RunReport::Crashed { request: self.fingerprint.request, upstream, started_at_ms }
    }

    /// Report of the same for the shared parts of the prompt, if it has any and there was no event: a
    /// part that crashes upstreams does so as the response begins.
    fn crash_of_parts(&self) -> Option<RunReport> {
        let RequestFingerprint { request, ref parts } = self.fingerprint;
        let (upstream, started_at_ms) = (self.grant.upstream.clone(), self.started_at_ms);
        let is_charged = !self.has_first_event && !parts.is_empty();
        is_charged.then(|| RunReport::CrashedBeforeEvent {
            parts: parts.to_vec(),
            request,
            upstream,
            started_at_ms,
        })
    }

    /// Records what the upstream's response says about the upstream: the limit that it names, if any,
    /// whether it leaves, and for how long it turns requests away.
    pub(crate) fn response_received(&self, head: &ResponseHead) {
        let now = self.placer.clock.now();
        let (upstream, started_at_ms) = (&self.grant.upstream, self.started_at_ms);
        let (limits, limit) = (&self.placer.limits, head.requests_per_s);
        let report = limits.response_received(now, upstream, started_at_ms, self.granted_at, limit);
        if let Some(report) = report {
            self.placer.queue(Report::Limit(report));
        }
        self.placer.record_exclusions(upstream, started_at_ms, head);
    }

    /// Checks whether the upstream, which gave no response, still accepts connections, and reports
    /// a crash if it does not.
    fn report_if_crashed(&self) {
        let (placer, crash) = (Arc::clone(&self.placer), self.crash());
        let target = self.target();
        tokio::spawn(async move {
            if !placer.paths.is_reachable(&target, CONNECT_TIMEOUT).await {
                placer.watchlist.report_crash(crash, None);
            }
        });
    }

    /// Reports a crash of the upstream, as the connection broke, unless this daemon has lost its path
    /// to it: it can't connect, and another daemon can. What broke on the way through another daemon
    /// counts only if the upstream accepts no connections any more.
    fn report_crash_unless_path_lost(&self) {
        let (crash, crash_of_parts) = (self.crash(), self.crash_of_parts());
        let (placer, target) = (Arc::clone(&self.placer), self.target());
        let is_relayed = self.relay.is_some();
        let request = self.fingerprint.request;
        placer.watchlist.crash_suspected(request);
        tokio::spawn(async move {
            let is_path_kept =
                !is_relayed && placer.paths.connect(target.address, CONNECT_TIMEOUT).await.is_ok();
            if !is_path_kept && placer.paths.is_reached_by_others(&target).await {
                placer.watchlist.crash_disproved(&request);
                return log::info!(
                    upstream = target.upstream.as_str();
                    "no crash reported: the upstream accepts connections of other daemons"
                );
            }
            if !placer.watchlist.report_crash(crash, crash_of_parts) {
                placer.watchlist.crash_disproved(&request);
            }
        });
    }

    fn end_once(&mut self, outcome: RequestOutcome) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        match outcome {
            RequestOutcome::Broken => self.report_crash_unless_path_lost(),
            RequestOutcome::Silent => self.report_if_crashed(),
            RequestOutcome::Abandoned if !self.has_first_event => {
                let elapsed = self.placer.clock.now().saturating_duration_since(self.granted_at);
                if elapsed >= SILENCE_MIN {
                    self.report_if_crashed();
                }
            }
            RequestOutcome::Completed => self.placer.watchlist.completed(&self.fingerprint),
            _ => {}
        }
        if self.local_view.is_some() {
            let now = self.placer.clock.now();
            let id = &self.grant.upstream;
            return self
                .placer
                .view
                .with(|state| state.local.request_ended(now, id, outcome.is_failure()));
        }
        self.placer.leader_placed.remove(&self.request_id);
        self.placer.report(Progress::Ended(self.request_id.clone(), outcome));
    }
}

impl Drop for GrantGuard {
    fn drop(&mut self) {
        self.end_once(RequestOutcome::Abandoned);
    }
}
