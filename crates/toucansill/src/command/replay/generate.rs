//! Generates the traces of the two deployments, Pacífico and Kaltbrunn, from a seed.

use super::trace::{
    Action, Deployment, EngineSpec, Event, MorningSheet, Organisation, Outcomes, Priority,
    RequestKind, RequestSeries, ServiceSpec, Trace,
};
use fastrand::Rng;

/// Deadline of a chat, in milliseconds: far more than the engines need.
const CHAT_DEADLINE_MS: u64 = 120_000;
/// Deadline of a call to the service, in milliseconds.
const SERVICE_DEADLINE_MS: u64 = 60_000;
/// Prompt tokens that an engine prefills per second.
const PREFILL_TOKENS_PER_S: f64 = 2_000_000.0;
/// Tokens that an engine decodes per second for each request.
const DECODE_TOKENS_PER_S: f64 = 500.0;
/// Memory of an engine, in tokens: more than the longest prompt.
const MEMORY_TOKENS: u64 = 3_000_000;
/// Tokens per second that an organisation may use.
const TOKENS_PER_SECOND: u64 = 100_000_000;
/// Longest random delay of the start of a series, in milliseconds.
const JITTER_MS: u64 = 200;

/// Number of bookings that callers retry with the same key.
const RETRIED_BOOKINGS: u64 = 6;
/// Delay from a booking to its retry, in milliseconds.
const RETRY_DELAY_MS: u64 = 5_000;

/// Parameters in which the two deployments differ. The numbers count requests.
struct LoadParameters {
    organisations: [&'static str; 3],
    bookings: u64,
    lookups: u64,
    /// Chats with prompts of 1k, 10k, 100k and 1M tokens.
    chats: [u64; 4],
    /// Chats with short prompts in the surge of the weekend's migration.
    surge: u64,
    /// Whether a data centre goes out of service; otherwise an engine is killed.
    data_centre_out: bool,
}

/// Generates the trace of a deployment; `None` for an unknown name. Equal seeds give equal traces.
pub(crate) fn generate(deployment: &str, seed: u64) -> Option<Trace> {
    let params = match deployment {
        "pacifico" => LoadParameters {
            organisations: ["yards", "gates", "planners"],
            bookings: 24,
            lookups: 40,
            chats: [40, 12, 4, 1],
            surge: 60,
            data_centre_out: true,
        },
        "kaltbrunn" => LoadParameters {
            organisations: ["fitters", "estimators", "bids"],
            bookings: 12,
            lookups: 24,
            chats: [60, 16, 6, 2],
            surge: 30,
            data_centre_out: false,
        },
        _ => return None,
    };
    Some(trace(&params, &mut Rng::with_seed(seed)))
}

fn trace(params: &LoadParameters, rng: &mut Rng) -> Trace {
    Trace {
        deployment: Deployment {
            daemons: 3,
            data_centres: 3,
            organisations: organisations(params, 1),
            engines: (1..=3).map(engine).collect(),
            service: ServiceSpec { data_centre: String::from("dc-1"), delay_ms: 5 },
        },
        morning_sheet: Some(MorningSheet { at_ms: 500, organisations: organisations(params, 4) }),
        load: load(params, rng),
        events: events(params),
        outcomes: Outcomes {
            answered_percent_min: Some(99.0),
            lost_max: Some(0),
            deadline_verdicts_max: Some(0),
            late_max: Some(0),
            wrong_text_max: Some(0),
            executions_per_booking_max: Some(1),
            sent_to_out_max: params.data_centre_out.then_some(0),
            first_token_p95: Vec::new(),
        },
    }
}

/// The three organisations: the first is urgent and has the given weight, the others have weight 1.
fn organisations(params: &LoadParameters, weight: u32) -> Vec<Organisation> {
    let priorities = [Priority::Urgent, Priority::Ordinary, Priority::Low];
    params
        .organisations
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

fn load(params: &LoadParameters, rng: &mut Rng) -> Vec<RequestSeries> {
    let [first, second, third] = params.organisations;
    let [short, middle, long, longest] = params.chats;
    let mut load = vec![
        chat_calls(rng, first, 0, short, 150, 1_000),
        chat_calls(rng, second, 300, middle, 600, 10_000),
        chat_calls(rng, second, 1_000, long, 1_500, 100_000),
        chat_calls(rng, third, 2_000, longest, 4_000, 1_000_000),
        service_calls(rng, RequestKind::Booking, first, params.bookings, 350),
        service_calls(rng, RequestKind::Status, first, params.lookups, 200),
        // The weekend's migration: many short prompts of one organisation at once, while a data
        // centre is out of service and must receive nothing new, or an engine is down.
        chat_calls(rng, third, 5_500, params.surge, 20, 1_000),
    ];
    // Callers retry their first bookings, as they do after a lost response.
    let mut retries = service_calls(rng, RequestKind::Booking, first, RETRIED_BOOKINGS, 350);
    retries.at_ms += RETRY_DELAY_MS;
    load.push(retries);
    load.sort_by_key(|series| series.at_ms);
    load
}

fn chat_calls(
    rng: &mut Rng,
    organisation: &str,
    at_ms: u64,
    count: u64,
    every_ms: u64,
    tokens: usize,
) -> RequestSeries {
    // The length is up to a tenth below `tokens`.
    let prompt_tokens = tokens - rng.usize(0..=tokens / 10);
    RequestSeries {
        at_ms: at_ms + rng.u64(0..=JITTER_MS),
        kind: RequestKind::Chat,
        organisation: String::from(organisation),
        deadline_ms: CHAT_DEADLINE_MS,
        count,
        every_ms,
        prompt_tokens: Some(prompt_tokens),
        output_tokens: Some(rng.usize(8..=32)),
        key: None,
    }
}

fn service_calls(
    rng: &mut Rng,
    kind: RequestKind,
    organisation: &str,
    count: u64,
    every_ms: u64,
) -> RequestSeries {
    RequestSeries {
        at_ms: rng.u64(0..=JITTER_MS),
        kind,
        organisation: String::from(organisation),
        deadline_ms: SERVICE_DEADLINE_MS,
        count,
        every_ms,
        prompt_tokens: None,
        output_tokens: None,
        key: (kind == RequestKind::Booking).then(|| String::from("booking")),
    }
}

/// In Pacífico a data centre goes out of service for a while, in Kaltbrunn an engine is killed and
/// restarted.
fn events(params: &LoadParameters) -> Vec<Event> {
    let (gone, back, target) = match params.data_centre_out {
        true => (Action::DataCentreOut, Action::DataCentreIn, "dc-2"),
        false => (Action::EngineKilled, Action::EngineRestarted, "engine-2"),
    };
    let event = |at_ms, action| Event { at_ms, action, target: String::from(target) };
    vec![event(2_500, gone), event(7_000, back)]
}
