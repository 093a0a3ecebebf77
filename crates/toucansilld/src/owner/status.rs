//! State of each upstream, with the reason why it gets no work.

use route::{Restriction, UpstreamExplanation};
use serde::Serialize;
use wire::{Tokens, UpstreamId};

/// One upstream in `status`.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct UpstreamStatus {
    /// Name of the upstream.
    pub(crate) id: UpstreamId,
    /// Number of its start.
    pub(crate) incarnation: u64,
    /// Requests in flight.
    pub(crate) running: u32,
    /// Memory promised, in tokens.
    pub(crate) reserved_tokens: Tokens,
    /// Memory that may still be promised, in tokens.
    pub(crate) room_tokens: Tokens,
    /// Why it gets no new work or only some, empty if nothing hinders it.
    pub(crate) hindrances: Vec<String>,
}

impl UpstreamStatus {
    /// What the owner says of an upstream.
    pub(crate) fn of(explanation: UpstreamExplanation) -> Self {
        Self {
            id: explanation.upstream,
            incarnation: explanation.incarnation,
            running: explanation.running,
            reserved_tokens: explanation.reserved_tokens,
            room_tokens: explanation.free_tokens,
            hindrances: explanation.restrictions.iter().map(hindrance_text).collect(),
        }
    }
}

fn hindrance_text(hindrance: &Restriction) -> String {
    match hindrance {
        Restriction::DataCentreOut => String::from("the data centre is out of service"),
        Restriction::Retired => String::from("retired by the sheet, or owned by another daemon"),
        Restriction::Leaving => String::from("it is leaving"),
        Restriction::Silent(time) => format!("not heard for {} ms", time.as_millis()),
        Restriction::Paused(time) => format!("paused for {} ms after a failure", time.as_millis()),
        Restriction::ColdStart { .. } => String::from("cold start"),
        Restriction::Full => String::from("its memory is promised"),
        Restriction::HeldFor(request) => format!("its memory is held for {request}"),
        Restriction::LongPrefill => String::from("it prefills a long prompt"),
    }
}
