//! Why an upstream gets or does not get work, for operators.

use crate::{announce::DesiredState, class::LengthClass, fleet::Fleet};
use std::time::{Duration, Instant};
use wire::{Incarnation, RequestId, Tokens, UpstreamId};

/// One thing that keeps new work from an upstream, wholly or in part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Restriction {
    /// Operators have taken the data centre out of service.
    DataCentreOut,
    /// Operators have retired the upstream.
    Retired,
    /// The upstream has said that it leaves.
    Leaving,
    /// The upstream has not been heard for this time.
    Silent(Duration),
    /// The upstream has failed and is spared for this time.
    Paused(Duration),
    /// In cold start: so many requests are allowed now.
    ColdStart {
        /// Requests allowed at once.
        running: u32,
    },
    /// As many requests run as may.
    Full,
    /// Its memory is kept for this request.
    HeldFor(RequestId),
    /// A long prefill is outstanding; short prompts go elsewhere.
    LongPrefill,
}

/// State of one upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamExplanation {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Incarnation in force.
    pub incarnation: Incarnation,
    /// Requests in flight.
    pub running: u32,
    /// Memory promised, in tokens.
    pub reserved_tokens: Tokens,
    /// Memory that may be promised now, in tokens.
    pub free_tokens: Tokens,
    /// Prompt tokens in prefill.
    pub prefill_tokens: Tokens,
    /// Prefixes that it probably holds.
    pub cached_prefixes: usize,
    /// What keeps new work from it; empty if nothing does.
    pub restrictions: Vec<Restriction>,
}

impl Fleet {
    /// Explains one upstream, or nothing if it is not known.
    pub fn explain(&self, now: Instant, id: &UpstreamId) -> Option<UpstreamExplanation> {
        let u = self.upstream(*self.ids.get(id)?);
        Some(UpstreamExplanation {
            upstream: id.clone(),
            incarnation: u.ann.incarnation,
            running: u.running(),
            reserved_tokens: u.reserved,
            free_tokens: u.room(now),
            prefill_tokens: u.prefill_tokens,
            cached_prefixes: u.prefixes.len(),
            restrictions: self.restrictions(now, id),
        })
    }

    /// Names of all known upstreams, in order.
    pub fn upstream_ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.ids.keys()
    }

    fn restrictions(&self, now: Instant, id: &UpstreamId) -> Vec<Restriction> {
        let u = self.upstream(self.ids[id]);
        let unheard = now.saturating_duration_since(u.heard);
        let paused = u.paused_until.and_then(|until| until.checked_duration_since(now));
        let allowed = u.allowed_running(now);
        let long = u.has_prefill_from(LengthClass::Medium);
        [
            (!self.is_in_service).then_some(Restriction::DataCentreOut),
            (u.desired_state == DesiredState::Retired).then_some(Restriction::Retired),
            u.ann.is_leaving.then_some(Restriction::Leaving),
            (unheard >= self.cfg.silence_timeout).then_some(Restriction::Silent(unheard)),
            paused.filter(|left| !left.is_zero()).map(Restriction::Paused),
            u.is_ramping(now).then_some(Restriction::ColdStart { running: allowed }),
            (u.running() >= allowed).then_some(Restriction::Full),
            u.held_by.clone().map(Restriction::HeldFor),
            long.then_some(Restriction::LongPrefill),
        ]
        .into_iter()
        .flatten()
        .collect()
    }
}
