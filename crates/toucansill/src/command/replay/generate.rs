//! Seeded traces of the two deployments.

use super::trace::{
    Action, Deployment, EngineSpec, Event, Kind, MorningSheet, Organisation, Outcomes, Phase,
    Priority, ServiceSpec, Trace,
};
use fastrand::Rng;

/// Deadline of a chat, in milliseconds: far above what the engines need.
const CHAT_DEADLINE_MS: u64 = 120_000;
/// Deadline of a call to the service, in milliseconds.
const CALL_DEADLINE_MS: u64 = 60_000;
/// Tokens that an engine reads a second.
const PREFILL_TOKENS_PER_S: f64 = 2_000_000.0;
/// Tokens that an engine generates a second for a request.
const DECODE_TOKENS_PER_S: f64 = 500.0;
/// Memory of an engine, in tokens: more than the longest prompt.
const MEMORY_TOKENS: u64 = 3_000_000;
/// Tokens that an organisation may use a second.
const TOKENS_PER_SECOND: u64 = 100_000_000;
/// Most milliseconds by which a start differs from its plan.
const JITTER_MS: u64 = 200;

/// Bookings that are sent a second time with the same key.
const REPEATED_BOOKINGS: u64 = 6;
/// Time from a booking to its repetition, in milliseconds.
const REPEATED_AFTER_MS: u64 = 5_000;

/// What tells one deployment from the other.
struct Mix {
    organisations: [&'static str; 3],
    bookings: u64,
    lookups: u64,
    /// Prompts of 1k, 10k, 100k and 1M tokens.
    chats: [u64; 4],
    /// Short prompts of the weekend's surge.
    surge: u64,
    data_centre_out: bool,
}

/// The trace of a deployment, the same for the same seed.
pub(crate) fn generate(deployment: &str, seed: u64) -> Option<Trace> {
    let mix = match deployment {
        "pacifico" => Mix {
            organisations: ["yards", "gates", "planners"],
            bookings: 24,
            lookups: 40,
            chats: [40, 12, 4, 1],
            surge: 60,
            data_centre_out: true,
        },
        "kaltbrunn" => Mix {
            organisations: ["fitters", "estimators", "bids"],
            bookings: 12,
            lookups: 24,
            chats: [60, 16, 6, 2],
            surge: 30,
            data_centre_out: false,
        },
        _ => return None,
    };
    Some(trace(&mix, &mut Rng::with_seed(seed)))
}

fn trace(mix: &Mix, rng: &mut Rng) -> Trace {
    Trace {
        deployment: Deployment {
            daemons: 3,
            data_centres: 3,
            organisations: organisations(mix, 1),
            engines: (1..=3).map(engine).collect(),
            service: ServiceSpec { data_centre: String::from("dc-1"), delay_ms: 5 },
        },
        morning_sheet: Some(MorningSheet { at_ms: 500, organisations: organisations(mix, 4) }),
        load: load(mix, rng),
        events: events(mix),
        outcomes: Outcomes {
            answered_percent_min: Some(99.0),
            lost_max: Some(0),
            deadline_verdicts_max: Some(0),
            late_max: Some(0),
            wrong_text_max: Some(0),
            executions_per_booking_max: Some(1),
            sent_to_out_max: mix.data_centre_out.then_some(0),
            first_token_p95: Vec::new(),
        },
    }
}

/// The first organisation is urgent and gets `weight`.
fn organisations(mix: &Mix, weight: u32) -> Vec<Organisation> {
    let priorities = [Priority::Urgent, Priority::Ordinary, Priority::Low];
    mix.organisations
        .iter()
        .zip(priorities)
        .zip([weight, 1, 1])
        .map(|((name, priority), weight)| Organisation {
            name: String::from(*name),
            priority,
            weight,
            tokens_per_second: TOKENS_PER_SECOND,
        })
        .collect()
}

fn engine(number: usize) -> EngineSpec {
    EngineSpec {
        id: format!("engine-{number}"),
        data_centre: format!("dc-{number}"),
        prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
        decode_tokens_per_s: DECODE_TOKENS_PER_S,
        memory_tokens: MEMORY_TOKENS,
    }
}

fn load(mix: &Mix, rng: &mut Rng) -> Vec<Phase> {
    let [first, second, third] = mix.organisations;
    let [short, middle, long, longest] = mix.chats;
    let mut load = vec![
        chat(rng, first, 0, short, 150, 1_000),
        chat(rng, second, 300, middle, 600, 10_000),
        chat(rng, second, 1_000, long, 1_500, 100_000),
        chat(rng, third, 2_000, longest, 4_000, 1_000_000),
        call(rng, Kind::Booking, first, mix.bookings, 350),
        call(rng, Kind::Status, first, mix.lookups, 200),
        // The weekend's migration: many short prompts of one organisation at once. It
        // falls into the time in which a data centre must get nothing new.
        chat(rng, third, 5_500, mix.surge, 20, 1_000),
    ];
    // Callers that repeat their first bookings, as after a lost answer.
    let mut repeats = call(rng, Kind::Booking, first, REPEATED_BOOKINGS, 350);
    repeats.at_ms += REPEATED_AFTER_MS;
    load.push(repeats);
    load.sort_by_key(|phase| phase.at_ms);
    load
}

fn chat(
    rng: &mut Rng,
    organisation: &str,
    at_ms: u64,
    count: u64,
    every_ms: u64,
    tokens: usize,
) -> Phase {
    // Lengths lie up to a tenth below the stated one.
    let prompt_tokens = tokens - rng.usize(0..=tokens / 10);
    Phase {
        at_ms: at_ms + rng.u64(0..=JITTER_MS),
        kind: Kind::Chat,
        organisation: String::from(organisation),
        deadline_ms: CHAT_DEADLINE_MS,
        count,
        every_ms,
        prompt_tokens: Some(prompt_tokens),
        output_tokens: Some(rng.usize(8..=32)),
        key: None,
    }
}

fn call(rng: &mut Rng, kind: Kind, organisation: &str, count: u64, every_ms: u64) -> Phase {
    Phase {
        at_ms: rng.u64(0..=JITTER_MS),
        kind,
        organisation: String::from(organisation),
        deadline_ms: CALL_DEADLINE_MS,
        count,
        every_ms,
        prompt_tokens: None,
        output_tokens: None,
        key: (kind == Kind::Booking).then(|| String::from("booking")),
    }
}

/// Pacífico loses a data centre for a while, Kaltbrunn an engine.
fn events(mix: &Mix) -> Vec<Event> {
    let (gone, back, target) = match mix.data_centre_out {
        true => (Action::DataCentreOut, Action::DataCentreIn, "dc-2"),
        false => (Action::EngineKilled, Action::EngineRestarted, "engine-2"),
    };
    let event = |at_ms, action| Event { at_ms, action, target: String::from(target) };
    vec![event(2_500, gone), event(7_000, back)]
}
