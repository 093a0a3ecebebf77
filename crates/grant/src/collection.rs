//! Idle engines that a very long prompt collects.
//!
//! A prompt beyond the memory of one engine needs several idle ones at once, and rarely finds them:
//! each engine that becomes idle is taken by a shorter prompt first. So the first such prompt in the
//! queue that has waited for a while has engines kept for it as they become idle.

use crate::{
    place::helper_reservations,
    place_long::idle_engines_needed,
    request::{PlacementRequest, PlacementRequestId, RequestNeeds},
};
use routing::EngineProfile;

/// Share of the target for its first event that a prompt waits before engines are kept for it.
const COLLECTING_WAIT_SHARE: f64 = 0.15;
/// Largest share of the engines that is kept idle for a prompt.
const MAX_COLLECTED_SHARE: f64 = 0.25;

/// Engines of a service that are kept for a waiting prompt.
#[derive(Clone, Debug, Default)]
pub(crate) struct Collection {
    kept: Option<(PlacementRequestId, usize)>,
}

impl Collection {
    /// Keeps the engines for a waiting prompt beyond the memory of one engine that it needs to be on time, if it has waited long
    /// enough and none are kept for another. `engines` is the number that takes requests.
    pub(crate) fn collect(
        &mut self,
        profile: &EngineProfile,
        request: &PlacementRequest,
        needs: &RequestNeeds,
        engines: usize,
    ) {
        let target = request.first_event_target_remaining;
        let waited = target.saturating_sub(needs.first_event_target_remaining);
        let exceeds_engine = !helper_reservations(profile, needs).is_empty();
        if self.kept.is_some() || !exceeds_engine || waited < target.mul_f64(COLLECTING_WAIT_SHARE)
        {
            return;
        }
        let max = (engines as f64 * MAX_COLLECTED_SHARE) as usize;
        if let Some(needed) = idle_engines_needed(profile, needs, max) {
            self.kept = Some((request.id.clone(), needed));
        }
    }

    /// Number of idle engines that a request has to leave for another.
    pub(crate) fn kept_from(&self, request: &PlacementRequestId) -> usize {
        self.kept.as_ref().map_or(0, |(id, needed)| if id == request { 0 } else { *needed })
    }
}
