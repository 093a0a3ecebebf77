//! Explains to operators why an upstream does or does not receive new work.

use crate::{announce::DesiredState, class::LengthClass, fleet::Fleet};
use std::time::{Duration, Instant};
use wire::{Incarnation, RequestId, Tokens, UpstreamId};

/// A reason why an upstream receives no new work, or less than it could serve.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Restriction {
    /// Operators have taken the data centre out of service.
    DataCentreOut,
    /// The upstream is retired by operators, or this daemon doesn't place requests on it: another
    /// one owns it, or the requests already in flight there are not reconciled yet.
    Retired,
    /// The upstream has announced that it is about to shut down.
    Leaving,
    /// The upstream has sent no announcement or report for this time.
    Silent(Duration),
    /// The upstream has failed and is paused for this remaining time.
    Paused(Duration),
    /// The upstream has started recently and is limited by its [`Ramp`](crate::Ramp).
    ColdStart {
        /// Maximum number of concurrent requests at this time.
        running: u32,
    },
    /// The maximum number of concurrent requests is in flight.
    Full,
    /// Its memory is held back for this queued request.
    HeldFor(RequestId),
    /// A prefill above [`LengthClass::Short`] is outstanding. The upstream is not given another
    /// one, and short prompts are sent to others unless it prefills them first.
    LongPrefill,
}

/// State of one upstream as its owner sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamExplanation {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Latest known incarnation.
    pub incarnation: Incarnation,
    /// Number of requests in flight from this owner.
    pub running: u32,
    /// Memory reserved, in tokens.
    pub reserved_tokens: Tokens,
    /// Memory that can be reserved now, in tokens, within the ramp.
    pub free_tokens: Tokens,
    /// Prompt tokens of the outstanding prefills.
    pub prefill_tokens: Tokens,
    /// Number of prompt prefixes that its cache probably holds.
    pub cached_prefixes: usize,
    /// Why it receives no new work or less of it; empty if nothing restricts it.
    pub restrictions: Vec<Restriction>,
}

impl Fleet {
    /// Explains one upstream; `None` if it is not known.
    pub fn explain(&self, now: Instant, id: &UpstreamId) -> Option<UpstreamExplanation> {
        let u = self.upstream(*self.ids.get(id)?);
        Some(UpstreamExplanation {
            upstream: id.clone(),
            incarnation: u.info.incarnation,
            running: u.running(),
            reserved_tokens: u.reserved,
            free_tokens: u.free_tokens(now),
            prefill_tokens: u.prefill_tokens,
            cached_prefixes: u.prefixes.len(),
            restrictions: self.restrictions(now, id),
        })
    }

    /// Names of all known upstreams, sorted.
    pub fn upstream_ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.ids.keys()
    }

    fn restrictions(&self, now: Instant, id: &UpstreamId) -> Vec<Restriction> {
        let u = self.upstream(self.ids[id]);
        let silent_for = now.saturating_duration_since(u.last_heard);
        let paused = u.paused_until.and_then(|until| until.checked_duration_since(now));
        let allowed = u.allowed_running(now);
        let long = u.has_prefill_from(LengthClass::Medium);
        [
            (!self.is_in_service).then_some(Restriction::DataCentreOut),
            (u.desired_state == DesiredState::Retired).then_some(Restriction::Retired),
            u.info.is_draining.then_some(Restriction::Leaving),
            (silent_for >= self.cfg.silence_timeout).then_some(Restriction::Silent(silent_for)),
            paused.filter(|remaining| !remaining.is_zero()).map(Restriction::Paused),
            u.is_ramping(now).then_some(Restriction::ColdStart { running: allowed }),
            (u.running() >= allowed).then_some(Restriction::Full),
            u.held_for.clone().map(Restriction::HeldFor),
            long.then_some(Restriction::LongPrefill),
        ]
        .into_iter()
        .flatten()
        .collect()
    }
}
