//! Durations of an engine's work, for any rates that a configuration may state.

use routing::EngineProfile;
use std::time::Duration;

/// Rates that no engine has must not make a daemon panic when it places a request.
#[test]
fn durations_of_any_rates_are_limited() {
    const DAY: Duration = Duration::from_secs(86_400);
    let profile = EngineProfile {
        steps_per_pass: u32::MAX,
        step_ms: 1e308,
        step_ms_per_sequence: -1e308,
        step_ms_per_thousand_context_tokens: -1e308,
        prefill_tokens_per_s: -1.0,
        prefill_ms_per_million_pairs: 1e308,
        chunk_tokens: u64::MAX,
        ..EngineProfile::example()
    };
    for time in [
        profile.prefill_time(u64::MAX),
        profile.pass_time(),
        profile.decode_time(usize::MAX, u64::MAX),
        profile.full_pass_prefill_time(1),
        profile.full_pass_prefill_time(u64::MAX),
    ] {
        assert!(time <= DAY, "{time:?}");
    }
}
