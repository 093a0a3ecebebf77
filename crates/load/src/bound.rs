//! What engines could earn at most, from their capacity alone.

use crate::pattern::RequestKind;
use routing::EngineProfile;
use std::time::Duration;

/// Time that one request of a kind takes of an engine on average, in seconds: its prefill, and its share
/// of the passes that decode it in a full batch.
///
/// The prefill grows with the square of the length, so it is the mean over the lengths, not that of the
/// mean length. The batch is limited by the slots and by the memory for prompts and responses.
pub fn engine_seconds(profile: &EngineProfile, kind: &RequestKind, tokens_per_event: f64) -> f64 {
    let mean = kind.prompt_mean;
    let mean_square = mean * mean * kind.prompt_spread.powi(2).exp();
    let prefill_s = mean / profile.prefill_tokens_per_s.max(1.0)
        + mean_square / 2e6 * profile.prefill_ms_per_million_pairs / 1e3;
    let tokens = mean + kind.events * tokens_per_event;
    let batch = (profile.memory_tokens as f64 / tokens.max(1.0)).min(f64::from(profile.slots));
    let batch = batch.max(1.0);
    let pass: Duration = profile.decode_time(batch as usize, (mean * batch) as u64);
    prefill_s + kind.events * pass.as_secs_f64() / batch
}

/// Upper bound of the share of the possible worth that `engines` engines can earn in time from these
/// kinds at their rates: as if nothing were known too late, lost, or in the way of anything else, and
/// the kinds with the most worth for their time went first.
///
/// ```
/// use load::{earnable_share, patterns};
/// use routing::EngineProfile;
///
/// let (_, ordinary) = patterns().into_iter().find(|(name, _)| *name == "ordinary").unwrap();
/// let share = |engines| earnable_share(&EngineProfile::example(), engines, &ordinary.phases[0], 34.0);
/// assert!(share(100.0) > 0.999);
/// assert!(share(9.0) < share(18.0));
/// ```
pub fn earnable_share(
    profile: &EngineProfile,
    engines: f64,
    kinds: &[RequestKind],
    tokens_per_event: f64,
) -> f64 {
    let mut demands: Vec<(f64, f64)> = kinds
        .iter()
        .map(|kind| {
            let seconds = engine_seconds(profile, kind, tokens_per_event) * kind.per_s;
            (kind.worth * kind.per_s, seconds.max(f64::MIN_POSITIVE))
        })
        .collect();
    demands.sort_by(|a, b| (b.0 / b.1).total_cmp(&(a.0 / a.1)));
    let total: f64 = demands.iter().map(|(worth, _)| worth).sum();
    let mut left = engines;
    let mut earned = 0.0;
    for (worth, seconds) in demands {
        let share = (left / seconds).clamp(0.0, 1.0);
        earned += worth * share;
        left -= seconds * share;
    }
    earned / total.max(f64::MIN_POSITIVE)
}
