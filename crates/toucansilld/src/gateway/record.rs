//! What is logged of one request.

use super::{forward::AttemptOutcome, placer::GrantGuard};
use http::StatusCode;
use kernel::SharedClock;
use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};
use wire::{OrganisationId, RequestId, ServiceId, Tokens, UpstreamId};

/// Collects what decided a request. It becomes one line of the log and one sample of each
/// metric when the request ends, or when it is dropped because the caller has left.
pub(crate) struct RequestRecord {
    request: RequestId,
    arrived: Instant,
    clock: SharedClock,
    /// Version of the routing document that the request was handled by.
    pub(crate) version: u64,
    /// Its route.
    pub(crate) route: String,
    /// Its organisation, empty without one.
    pub(crate) organisation: OrganisationId,
    /// Its service.
    pub(crate) service: ServiceId,
    /// Length of its prompt.
    pub(crate) prompt: Tokens,
    sends: Vec<String>,
    first_event_ms: Option<u64>,
    outcome: Option<(StatusCode, String)>,
    is_transferred: bool,
}

impl RequestRecord {
    /// A request that has just come.
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
            sends: Vec::new(),
            first_event_ms: None,
            outcome: None,
            is_transferred: false,
        }
    }

    /// Notes how a send ended: where, who decided, after which time, and how.
    pub(crate) fn add_attempt(
        &mut self,
        placement: &PlacementSummary,
        ms: u64,
        outcome: &AttemptOutcome,
    ) {
        self.sends.push(format!("{placement}: {outcome} after {ms} ms"));
    }

    /// Notes the first event of a stream.
    pub(crate) fn first_event_received(&mut self) {
        if self.first_event_ms.is_none() {
            self.first_event_ms = Some(self.elapsed_ms());
        }
    }

    /// Notes how the request ended.
    pub(crate) fn finish(&mut self, status: StatusCode, reason: impl Into<String>) {
        self.outcome = Some((status, reason.into()));
    }

    /// The record for a task that goes on with the request; this one logs nothing.
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
            sends: std::mem::take(&mut self.sends),
            first_event_ms: self.first_event_ms,
            outcome: None,
            is_transferred: false,
        }
    }

    fn elapsed_ms(&self) -> u64 {
        let elapsed = self.clock.now().saturating_duration_since(self.arrived);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Where a request was sent, for the log.
pub(crate) struct PlacementSummary {
    upstream: UpstreamId,
    by: &'static str,
    readers: usize,
    expected_ms: u128,
    waited_ms: u128,
}

impl PlacementSummary {
    /// Notes a grant, and the time that it took.
    pub(crate) fn new(guard: &GrantGuard, waited: Duration) -> Self {
        Self {
            upstream: guard.upstream().clone(),
            by: if guard.is_local() { "entry" } else { "leader" },
            readers: guard.grant.helpers.len() + 1,
            expected_ms: guard.grant.expected_first_event.as_millis(),
            waited_ms: waited.as_millis(),
        }
    }
}

impl fmt::Display for PlacementSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { upstream, by, readers, expected_ms, waited_ms } = self;
        write!(
            f,
            "{upstream} by {by} after {waited_ms} ms, {readers} read, {expected_ms} ms expected"
        )
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if self.is_transferred {
            return;
        }
        let ms = self.elapsed_ms();
        let (status, reason) = match self.outcome.take() {
            Some((status, reason)) => (status.as_u16(), reason),
            None => (0, String::from("the caller left")),
        };
        log::info!(
            request = self.request.as_str(), route = self.route.as_str(),
            organisation = self.organisation.as_str(), service = self.service.as_str(),
            version = self.version, prompt = self.prompt, status = status, ms = ms,
            first_event_ms = self.first_event_ms.unwrap_or(0), sends:? = self.sends;
            "request ended: {reason}"
        );
        let labels = [("route", self.route.clone()), ("status", status.to_string())];
        metrics::counter!("toucansill_requests_total", &labels).increment(1);
        let route = [("route", self.route.clone())];
        metrics::histogram!("toucansill_request_seconds", &route).record(ms as f64 / 1e3);
        if let Some(first) = self.first_event_ms {
            metrics::histogram!("toucansill_first_event_seconds", &route)
                .record(first as f64 / 1e3);
        }
    }
}
