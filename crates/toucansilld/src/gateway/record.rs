//! Log line and metrics of one request.

use super::{attempt::LoggedAttemptOutcome, guard::GrantGuard, view::ViewAge};
use http::StatusCode;
use kernel::SharedClock;
use platform::head::PromptPartId;
use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};
use wire::{DaemonId, DataCentreId, OrganisationId, RequestId, ServiceId, Tokens, UpstreamId};

/// Collects what is logged about a request. On drop it writes one log line and one sample of
/// each metric: when the request has ended, or when its future is dropped because the caller
/// has disconnected.
pub(crate) struct RequestRecord {
    request: RequestId,
    arrived: Instant,
    clock: SharedClock,
    /// Version of the routing document that applied to the request.
    pub(crate) version: u64,
    /// Name of the route, empty if none matched.
    pub(crate) route: String,
    /// Organisation of the caller, empty without one.
    pub(crate) organisation: OrganisationId,
    /// Service that the route chose.
    pub(crate) service: ServiceId,
    /// Length of the prompt that the caller stated, 0 without one.
    pub(crate) prompt: Tokens,
    /// First 8 bytes of the hash by which the request is recognised when the caller sends it again;
    /// 0 until its body has been read.
    pub(crate) hash: u64,
    /// Parts of the prompt that other requests may share.
    pub(crate) parts: Vec<PromptPartId>,
    /// Attempts in order, as text.
    attempts: Vec<String>,
    /// Attempt that is under way, and when it began.
    current: Option<(PlacementSummary, Instant)>,
    first_event_ms: Option<u64>,
    /// Longest pauses of the stream so far.
    pauses: StreamPauses,
    outcome: Option<(StatusCode, String)>,
    /// Whether another record, which will be logged, has taken over.
    is_transferred: bool,
}

impl RequestRecord {
    /// Creates the record of a request that has just arrived.
    pub(crate) fn new(arrived: Instant, clock: &SharedClock, request: Option<RequestId>) -> Self {
        Self {
            request: request.unwrap_or_default(),
            arrived,
            clock: Arc::clone(clock),
            version: 0,
            route: String::new(),
            organisation: String::new(),
            service: String::new(),
            prompt: 0,
            hash: 0,
            parts: Vec::new(),
            attempts: Vec::new(),
            current: None,
            first_event_ms: None,
            pauses: StreamPauses::default(),
            outcome: None,
            is_transferred: false,
        }
    }

    /// Records that an attempt begins. If the caller disconnects meanwhile, it is logged without an
    /// end.
    pub(crate) fn start_attempt(&mut self, placement: &PlacementSummary) {
        self.current = Some((placement.clone(), self.clock.now()));
    }

    /// Records an attempt: where it was sent, by whose placement and through which other daemon, if
    /// any, its duration in ms, with reservations and connecting, and how it ended.
    pub(crate) fn add_attempt(
        &mut self,
        placement: &PlacementSummary,
        relay: Option<&DaemonId>,
        ms: u64,
        outcome: &LoggedAttemptOutcome,
    ) {
        self.current = None;
        if let LoggedAttemptOutcome::Failed(failure, _) = outcome {
            let labels = [("service", self.service.clone()), ("failure", format!("{failure:?}"))];
            metrics::counter!("toucansill_attempt_failures_total", &labels).increment(1);
        }
        let through = relay.map(|relay| format!(" through {relay}")).unwrap_or_default();
        self.attempts.push(format!("{placement}: {outcome}{through} after {ms} ms"));
    }

    /// Records the time of the first event of a stream. Later calls change nothing.
    pub(crate) fn first_event_received(&mut self) {
        if self.first_event_ms.is_none() {
            self.first_event_ms = Some(self.elapsed_ms());
        }
    }

    /// Records that the upstream sent nothing for this time between two events.
    pub(crate) fn upstream_paused(&mut self, pause: Duration) {
        self.pauses.upstream = self.pauses.upstream.max(pause);
    }

    /// Records that the caller's connection took this time to accept events.
    pub(crate) fn caller_paused(&mut self, pause: Duration) {
        self.pauses.caller = self.pauses.caller.max(pause);
    }

    /// Records the response status and how the request ended.
    pub(crate) fn finish(&mut self, status: StatusCode, reason: impl Into<String>) {
        self.outcome = Some((status, reason.into()));
    }

    /// Moves the contents to a new record, for a task that continues the request. This one then
    /// logs nothing.
    pub(crate) fn transfer(&mut self) -> Self {
        self.is_transferred = true;
        Self {
            request: std::mem::take(&mut self.request),
            arrived: self.arrived,
            clock: Arc::clone(&self.clock),
            version: self.version,
            route: std::mem::take(&mut self.route),
            organisation: std::mem::take(&mut self.organisation),
            service: std::mem::take(&mut self.service),
            prompt: self.prompt,
            hash: self.hash,
            parts: std::mem::take(&mut self.parts),
            attempts: std::mem::take(&mut self.attempts),
            current: self.current.take(),
            first_event_ms: self.first_event_ms,
            pauses: self.pauses,
            outcome: None,
            is_transferred: false,
        }
    }

    fn elapsed_ms(&self) -> u64 {
        let elapsed = self.clock.now().saturating_duration_since(self.arrived);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Longest pauses of a stream, by where they arose: which hop made it late.
#[derive(Clone, Copy, Default)]
struct StreamPauses {
    /// Between two events as they arrive from upstreams, a resumption included.
    upstream: Duration,
    /// Until the caller's connection accepted events.
    caller: Duration,
}

/// Placement of one attempt, for the log.
#[derive(Clone)]
pub(crate) struct PlacementSummary {
    upstream: UpstreamId,
    /// Data centre of the upstream, empty if this daemon's view lacks it.
    data_centre: DataCentreId,
    /// View by which the entry placed it; `None` if the leader did.
    local_view: Option<ViewAge>,
    /// Number of engines that prefill the prompt.
    engines: usize,
    /// Expected time to the first event.
    expected_ms: u128,
    waited_ms: u128,
}

impl PlacementSummary {
    /// Describes a grant. `waited` is the time that it took to get it.
    pub(crate) fn new(guard: &GrantGuard, waited: Duration) -> Self {
        Self {
            upstream: guard.upstream().clone(),
            data_centre: guard.data_centre(),
            local_view: guard.local_view(),
            engines: guard.grant.helpers.len() + 1,
            expected_ms: guard.grant.expected_first_event.as_millis(),
            waited_ms: waited.as_millis(),
        }
    }
}

impl fmt::Display for PlacementSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { upstream, data_centre, local_view, engines, expected_ms, waited_ms } = self;
        write!(f, "{upstream} by ")?;
        match local_view {
            Some(ViewAge { term, revision, age }) => {
                write!(f, "entry (view {term}/{revision}, {} ms old)", age.as_millis())?;
            }
            None => f.write_str("leader")?,
        }
        write!(
            f,
            " after {waited_ms} ms, {engines} prefill, {expected_ms} ms expected, in {data_centre}"
        )
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if self.is_transferred {
            return;
        }
        let ms = self.elapsed_ms();
        if let Some((placement, started)) = self.current.take() {
            let ms = self.clock.now().saturating_duration_since(started).as_millis();
            self.attempts.push(format!("{placement}: no response, under way for {ms} ms"));
        }
        let (status, reason) = match self.outcome.take() {
            Some((status, reason)) => (status.as_u16(), reason),
            None => (0, String::from("the caller left")),
        };
        log::info!(
            request = self.request.as_str(), route = self.route.as_str(),
            organisation = self.organisation.as_str(), service = self.service.as_str(),
            version = self.version, prompt = self.prompt, hash:% = format!("{:016x}", self.hash),
            parts = self.parts.join(","),
            status = status, ms = ms, first_event_ms = self.first_event_ms.unwrap_or(0),
            pause_ms = self.pauses.upstream.as_millis() as u64,
            caller_pause_ms = self.pauses.caller.as_millis() as u64, sends:? = self.attempts;
            "request ended: {reason}"
        );
        let labels = [("route", self.route.clone()), ("status", status.to_string())];
        metrics::counter!("toucansill_requests_total", &labels).increment(1);
        let route = [("route", self.route.clone())];
        metrics::histogram!("toucansill_request_seconds", &route).record(ms as f64 / 1e3);
        if let Some(first) = self.first_event_ms {
            metrics::histogram!("toucansill_first_event_seconds", &route)
                .record(first as f64 / 1e3);
            let StreamPauses { upstream, caller } = self.pauses;
            for (at, pause) in [("upstream", upstream), ("caller", caller)] {
                let labels = [("route", self.route.clone()), ("at", at.to_owned())];
                metrics::histogram!("toucansill_stream_pause_seconds", &labels).record(pause);
            }
        }
    }
}
