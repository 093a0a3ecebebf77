//! Prints what the engines of two deployments could earn at most in the phases of their heaviest days,
//! with all engines and with a third of them out of service.
//!
//! Rates, lengths and profiles come from the users' requirements for these deployments.

use load::{RequestKind, earnable_share, engine_seconds};
use routing::EngineProfile;

/// Number of engines of each deployment.
const ENGINES: f64 = 45.0;

/// A kind with its rate per second, mean length, its deviation and number of events, and worth.
fn kind(
    name: &'static str,
    per_s: f64,
    (prompt_mean, prompt_spread, events): (f64, f64, f64),
    worth: f64,
) -> RequestKind {
    RequestKind {
        name,
        per_s,
        prompt_mean,
        prompt_spread,
        prompt_max: f64::MAX,
        events,
        first_event_target_ms: 0,
        pause_target_ms: 0,
        patience_ms: 0,
        deadline_ms: 0,
        worth,
        late_worth: 0.0,
    }
}

/// Rates of the kinds multiplied by these factors.
fn phase(kinds: &[RequestKind], factors: [f64; 3]) -> Vec<RequestKind> {
    let scaled = kinds.iter().zip(factors);
    scaled.map(|(kind, factor)| RequestKind { per_s: kind.per_s * factor, ..*kind }).collect()
}

fn print(name: &str, profile: &EngineProfile, tokens_per_event: f64, kinds: &[RequestKind]) {
    for kind in kinds {
        let seconds = engine_seconds(profile, kind, tokens_per_event);
        println!("{name}: {} takes {seconds:.2} s of an engine", kind.name);
    }
    let phases =
        [("ordinary", [1.0; 3]), ("drafts", [2.5, 0.5, 0.05]), ("dossiers", [0.38, 1.3, 2.7])];
    for (phase_name, factors) in phases {
        let kinds = phase(kinds, factors);
        let share = |engines| earnable_share(profile, engines, &kinds, tokens_per_event);
        let (all, reduced) = (share(ENGINES), share(ENGINES * 2.0 / 3.0));
        println!("{name}, {phase_name}: {all:.3}, with a third out of service {reduced:.3}");
    }
}

fn main() {
    let arv = EngineProfile {
        slots: 12,
        memory_tokens: 267_750,
        steps_per_pass: 57,
        step_ms: 0.85,
        step_ms_per_sequence: 0.004_25,
        step_ms_per_thousand_context_tokens: 0.002_85,
        prefill_tokens_per_s: 177_000.0,
        prefill_ms_per_million_pairs: 0.184,
        chunk_tokens: 2_048,
    };
    let kinds = [
        kind("draft", 54.4, (4_960.0, 0.9, 32.0), 1.8),
        kind("review", 5.98, (45_000.0, 0.5, 19.0), 2.5),
        kind("dossier", 1.47, (220_000.0, 0.55, 16.0), 11.0),
    ];
    print("arv-herhaal-grown", &arv, 57.0, &kinds);
    let cndc = EngineProfile {
        slots: 12,
        memory_tokens: 232_000,
        steps_per_pass: 48,
        step_ms: 1.02,
        step_ms_per_sequence: 0.002_26,
        step_ms_per_thousand_context_tokens: 0.004_31,
        prefill_tokens_per_s: 206_000.0,
        prefill_ms_per_million_pairs: 0.138,
        chunk_tokens: 2_048,
    };
    let kinds = [
        kind("draft", 65.7, (4_960.0, 0.9, 31.0), 1.3),
        kind("review", 4.48, (45_000.0, 0.5, 18.0), 3.3),
        kind("dossier", 2.13, (190_000.0, 0.55, 15.0), 20.0),
    ];
    print("cndc-wire-grown", &cndc, 48.0, &kinds);
}
