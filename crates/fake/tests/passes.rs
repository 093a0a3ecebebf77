//! Order in which an engine prefills, as the users' engines do.

use fake::PassEngines;
use routing::EngineProfile;

/// Prompts whose prefill takes some seconds.
const PROMPT: u64 = 200_000;
const OUTPUT: u64 = 34;

fn first_event(engines: &PassEngines, request: usize) -> f64 {
    let times = engines.request_times(request).expect("submitted");
    times.first_event.expect("a first event")
}

/// A part that an engine gets later is prefilled before the rest of the earlier one, which ends after
/// both. In a day of the users, prompts whose engines got another part shortly before they were done
/// ended with that part.
#[test]
fn the_newest_part_of_a_shared_prompt_is_prefilled_first() {
    let mut alone = PassEngines::new(EngineProfile::example(), 3);
    alone.submit(0.0, 0, 0, &[1], PROMPT, OUTPUT);
    alone.advance(60_000.0);
    let undisturbed = first_event(&alone, 0);

    let mut engines = PassEngines::new(EngineProfile::example(), 3);
    engines.submit(0.0, 0, 0, &[1], PROMPT, OUTPUT);
    let shortly_before = undisturbed * 0.9;
    engines.advance(shortly_before);
    engines.submit(shortly_before, 1, 2, &[1], PROMPT, OUTPUT);
    engines.advance(60_000.0);
    assert!(first_event(&engines, 0) > undisturbed * 1.8, "it waits for the other part");
    assert!(first_event(&engines, 1) - shortly_before < undisturbed * 1.05, "it doesn't wait");
}

/// Whole prompts are prefilled in order of arrival, after parts of shared ones.
#[test]
fn whole_prompts_are_prefilled_in_order_after_parts() {
    let mut engines = PassEngines::new(EngineProfile::example(), 2);
    engines.submit(0.0, 0, 0, &[], PROMPT, OUTPUT);
    engines.submit(0.0, 1, 0, &[], PROMPT, OUTPUT);
    engines.submit(0.0, 2, 1, &[0], PROMPT, OUTPUT);
    engines.advance(60_000.0);
    let [a, b, c] = [0, 1, 2].map(|request| first_event(&engines, request));
    assert!(c < a && a < b, "{c} {a} {b}");
}
