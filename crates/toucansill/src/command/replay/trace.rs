//! The trace file: deployment, load, events and expected outcomes.

use crate::{
    cli::Result,
    exit::{Exit, Failure},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fs};

/// Maximum number of requests of a trace.
const MAX_REQUESTS: u64 = 10_000;
/// Latest start of a request or event, in milliseconds since the start of the run.
const MAX_START_MS: u64 = 600_000;
/// Longest deadline of a request, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;
/// Longest prompt, in tokens.
const MAX_PROMPT_TOKENS: usize = 1_000_000;
/// Longest response, in tokens.
const MAX_OUTPUT_TOKENS: usize = 100_000;
/// Maximum number of daemons and of data centres.
const MAX_DAEMONS: usize = 9;
/// Maximum number of engines.
const MAX_ENGINES: usize = 64;

/// A trace: a deployment, the requests and events of a run, and the outcomes to check.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Trace {
    pub(crate) deployment: Deployment,
    /// Sheet that replaces the first one during the run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) morning_sheet: Option<MorningSheet>,
    pub(crate) load: Vec<RequestSeries>,
    #[serde(default)]
    pub(crate) events: Vec<Event>,
    pub(crate) outcomes: Outcomes,
}

/// The daemons, organisations, engines and service that a trace runs against.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Deployment {
    pub(crate) daemons: usize,
    /// Number of data centres, which are named `dc-1`, `dc-2` and so on.
    pub(crate) data_centres: usize,
    pub(crate) organisations: Vec<Organisation>,
    pub(crate) engines: Vec<EngineSpec>,
    pub(crate) service: ServiceSpec,
}

/// An organisation in the sheet.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Organisation {
    pub(crate) name: String,
    pub(crate) priority: Priority,
    pub(crate) weight: u32,
    pub(crate) tokens_per_second: u64,
}

/// Priority of an organisation.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Priority {
    Urgent,
    Ordinary,
    Low,
}

impl Priority {
    /// Name of the priority in a sheet.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Ordinary => "ordinary",
            Self::Low => "low",
        }
    }
}

/// A stand-in engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct EngineSpec {
    pub(crate) id: String,
    pub(crate) data_centre: String,
    pub(crate) prefill_tokens_per_s: f64,
    pub(crate) decode_tokens_per_s: f64,
    pub(crate) memory_tokens: u64,
}

/// The stand-in for a plain service (bookings and status).
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServiceSpec {
    pub(crate) data_centre: String,
    /// Time that each call takes, in milliseconds.
    pub(crate) delay_ms: u64,
}

/// Organisations of a sheet that is applied during the run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MorningSheet {
    /// Time at which the sheet is applied, in milliseconds since the start of the run.
    pub(crate) at_ms: u64,
    pub(crate) organisations: Vec<Organisation>,
}

/// Kind of a request: a streamed chat completion, or a booking or status call to the service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RequestKind {
    Chat,
    Booking,
    Status,
}

/// A series of equal requests, sent every `every_ms` from `at_ms` on; a single request without
/// `count`. Series may overlap.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RequestSeries {
    /// Start of the first request, in milliseconds since the start of the run.
    pub(crate) at_ms: u64,
    pub(crate) kind: RequestKind,
    pub(crate) organisation: String,
    pub(crate) deadline_ms: u64,
    #[serde(default = "one", skip_serializing_if = "is_one")]
    pub(crate) count: u64,
    #[serde(default, skip_serializing_if = "is_zero")]
    pub(crate) every_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) prompt_tokens: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) output_tokens: Option<usize>,
    /// Idempotency key of the booking; with a `count` above 1 each booking appends its number.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) key: Option<String>,
}

/// What an event does to the deployment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Action {
    DataCentreOut,
    DataCentreIn,
    EngineKilled,
    EngineRestarted,
}

/// An event of the trace.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Event {
    /// Time of the event, in milliseconds since the start of the run.
    pub(crate) at_ms: u64,
    pub(crate) action: Action,
    /// Name of the data centre or engine.
    pub(crate) target: String,
}

/// Expected outcomes. Those left out are not checked.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Outcomes {
    /// Minimum share of requests with a complete response, in percent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) answered_percent_min: Option<f64>,
    /// Maximum number of requests that ended with neither a complete response, nor a refusal with
    /// the verdict `not-run`, nor a passed deadline.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) lost_max: Option<u64>,
    /// Maximum number of requests that the system ended because of their deadline.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) deadline_verdicts_max: Option<u64>,
    /// Maximum number of responses that were complete only after the deadline, by the caller's
    /// clock.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) late_max: Option<u64>,
    /// Maximum number of responses with a missing, repeated or foreign token.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) wrong_text_max: Option<u64>,
    /// Maximum number of executions of any booking.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) executions_per_booking_max: Option<u64>,
    /// Maximum number of requests newly sent to a data centre that has been out of service for more
    /// than 3 s.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) sent_to_out_max: Option<u64>,
    /// Bounds on the 95th percentile of the time to the first token, by length of the prompt.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) first_token_p95: Vec<FirstTokenBound>,
}

/// Bound on the time to the first token, in milliseconds, for prompts longer than the previous
/// bound's `up_to_tokens` and up to this one.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FirstTokenBound {
    pub(crate) up_to_tokens: usize,
    pub(crate) ms: f64,
}

fn one() -> u64 {
    1
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde's signature")]
fn is_one(n: &u64) -> bool {
    *n == 1
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde's signature")]
fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// Result of a check; a fault is the path of the key and the reason.
type Checked = std::result::Result<(), (String, String)>;

impl Trace {
    /// Reads and checks a trace. An error is one line with the file, the key and the reason.
    pub(crate) fn load(file: &str) -> Result<Self> {
        let text = fs::read_to_string(file)
            .map_err(|err| Failure::new(Exit::Faults, format!("{file}: {err}")))?;
        let trace: Self = serde_yaml_ng::from_str(&text).map_err(|err| {
            let reason = err.to_string();
            let line = reason.lines().next().unwrap_or_default();
            Failure::new(Exit::Faults, format!("{file}: {line}"))
        })?;
        trace.check().map_err(|(key, reason)| {
            Failure::new(Exit::Faults, format!("{file}: {key}: {reason}"))
        })?;
        Ok(trace)
    }

    fn check(&self) -> Checked {
        let deployment = &self.deployment;
        within("deployment.daemons", deployment.daemons, 1, MAX_DAEMONS)?;
        within("deployment.data_centres", deployment.data_centres, 1, MAX_DAEMONS)?;
        within("deployment.engines", deployment.engines.len(), 1, MAX_ENGINES)?;
        let data_centre_names = self.data_centre_names();
        check_declared(
            "deployment.service.data_centre",
            &deployment.service.data_centre,
            &data_centre_names,
        )?;
        for (i, engine) in deployment.engines.iter().enumerate() {
            check_engine(&format!("deployment.engines[{i}]"), engine, &data_centre_names)?;
        }
        check_organisations("deployment.organisations", &deployment.organisations)?;
        if let Some(sheet) = &self.morning_sheet {
            within("morning_sheet.at_ms", sheet.at_ms, 0, MAX_START_MS)?;
            check_organisations("morning_sheet.organisations", &sheet.organisations)?;
        }
        self.check_load()?;
        self.check_events(&data_centre_names)?;
        self.outcomes.check()
    }

    fn check_load(&self) -> Checked {
        let later = self.morning_sheet.iter().flat_map(|sheet| &sheet.organisations);
        let names: BTreeSet<String> =
            self.deployment.organisations.iter().chain(later).map(|o| o.name.clone()).collect();
        for (i, series) in self.load.iter().enumerate() {
            series.check(&format!("load[{i}]"), &names)?;
        }
        let requests = self.load.iter().map(|series| series.count).sum();
        within("load", requests, 1, MAX_REQUESTS)
    }

    fn check_events(&self, data_centre_names: &BTreeSet<String>) -> Checked {
        let engines = self.deployment.engines.iter().map(|engine| engine.id.clone()).collect();
        for (i, event) in self.events.iter().enumerate() {
            within(&format!("events[{i}].at_ms"), event.at_ms, 0, MAX_START_MS)?;
            let names = match event.action {
                Action::DataCentreOut | Action::DataCentreIn => data_centre_names,
                Action::EngineKilled | Action::EngineRestarted => &engines,
            };
            check_declared(&format!("events[{i}].target"), &event.target, names)?;
        }
        Ok(())
    }

    fn data_centre_names(&self) -> BTreeSet<String> {
        (1..=self.deployment.data_centres).map(|i| format!("dc-{i}")).collect()
    }
}

impl RequestSeries {
    fn check(&self, at: &str, organisations: &BTreeSet<String>) -> Checked {
        check_declared(&format!("{at}.organisation"), &self.organisation, organisations)?;
        within(&format!("{at}.count"), self.count, 1, MAX_REQUESTS)?;
        within(&format!("{at}.every_ms"), self.every_ms, 0, MAX_START_MS)?;
        let last_ms = self.at_ms.saturating_add((self.count - 1) * self.every_ms);
        within(&format!("{at}.at_ms of the last request"), last_ms, 0, MAX_START_MS)?;
        within(&format!("{at}.deadline_ms"), self.deadline_ms, 1, MAX_DEADLINE_MS)?;
        let is_chat = self.kind == RequestKind::Chat;
        check_kind_key(
            &format!("{at}.prompt_tokens"),
            self.prompt_tokens.is_some(),
            is_chat,
            "chat",
        )?;
        check_kind_key(
            &format!("{at}.output_tokens"),
            self.output_tokens.is_some(),
            is_chat,
            "chat",
        )?;
        let is_booking = self.kind == RequestKind::Booking;
        check_kind_key(&format!("{at}.key"), self.key.is_some(), is_booking, "booking")?;
        within(
            &format!("{at}.prompt_tokens"),
            self.prompt_tokens.unwrap_or(10),
            10,
            MAX_PROMPT_TOKENS,
        )?;
        within(
            &format!("{at}.output_tokens"),
            self.output_tokens.unwrap_or(1),
            1,
            MAX_OUTPUT_TOKENS,
        )
    }
}

impl Outcomes {
    fn check(&self) -> Checked {
        let percent = self.answered_percent_min.unwrap_or_default();
        within("outcomes.answered_percent_min", percent, 0.0, 100.0)?;
        for (i, bound) in self.first_token_p95.iter().enumerate() {
            let at = format!("outcomes.first_token_p95[{i}]");
            within(&format!("{at}.up_to_tokens"), bound.up_to_tokens, 1, MAX_PROMPT_TOKENS)?;
            within(&format!("{at}.ms"), bound.ms, f64::MIN_POSITIVE, f64::MAX)?;
        }
        Ok(())
    }
}

fn check_engine(at: &str, engine: &EngineSpec, data_centre_names: &BTreeSet<String>) -> Checked {
    check_declared(&format!("{at}.data_centre"), &engine.data_centre, data_centre_names)?;
    let rates = [
        ("prefill_tokens_per_s", engine.prefill_tokens_per_s),
        ("decode_tokens_per_s", engine.decode_tokens_per_s),
    ];
    for (key, rate) in rates {
        within(&format!("{at}.{key}"), rate, 1.0, 1e9)?;
    }
    within(&format!("{at}.memory_tokens"), engine.memory_tokens, 1, 1_000_000_000)
}

fn check_organisations(at: &str, organisations: &[Organisation]) -> Checked {
    within(at, organisations.len(), 1, 1_000)?;
    for (i, organisation) in organisations.iter().enumerate() {
        let is_name = |c: char| c.is_ascii_alphanumeric() || c == '-';
        if organisation.name.is_empty() || !organisation.name.chars().all(is_name) {
            let reason = String::from("must consist of letters, digits and hyphens");
            return Err((format!("{at}[{i}].name"), reason));
        }
    }
    Ok(())
}

/// Checks that a number lies between `min` and `max`, both included.
fn within<T: PartialOrd + std::fmt::Display>(key: &str, value: T, min: T, max: T) -> Checked {
    match value >= min && value <= max {
        true => Ok(()),
        false => Err((key.to_string(), format!("{value} is not within {min} to {max}"))),
    }
}

/// Checks that the deployment declares a name.
fn check_declared(key: &str, name: &str, names: &BTreeSet<String>) -> Checked {
    match names.contains(name) {
        true => Ok(()),
        false => Err((key.to_string(), format!("'{name}' is not in the deployment"))),
    }
}

/// Checks that a key is given if the kind of request needs it, and only then.
fn check_kind_key(key: &str, is_given: bool, is_needed: bool, kind: &str) -> Checked {
    match (is_given, is_needed) {
        (false, true) => Err((key.to_string(), format!("is missing; kind {kind} needs it"))),
        (true, false) => Err((key.to_string(), format!("belongs to kind {kind} only"))),
        _ => Ok(()),
    }
}
