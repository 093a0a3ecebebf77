//! State of each upstream, with the reason why it gets no work.

use route::{Explanation, Hindrance};
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
    pub(crate) fn of(explanation: Explanation) -> Self {
        Self {
            id: explanation.upstream,
            incarnation: explanation.incarnation,
            running: explanation.running,
            reserved_tokens: explanation.reserved,
            room_tokens: explanation.room,
            hindrances: explanation.hindrances.iter().map(hindrance_text).collect(),
        }
    }
}

fn hindrance_text(hindrance: &Hindrance) -> String {
    match hindrance {
        Hindrance::DataCentreOut => String::from("the data centre is out of service"),
        Hindrance::Retired => String::from("retired by the sheet, or owned by another daemon"),
        Hindrance::Leaving => String::from("it is leaving"),
        Hindrance::Silent(time) => format!("not heard for {} ms", time.as_millis()),
        Hindrance::Paused(time) => format!("paused for {} ms after a failure", time.as_millis()),
        Hindrance::ColdStart { .. } => String::from("cold start"),
        Hindrance::Full => String::from("its memory is promised"),
        Hindrance::HeldFor(request) => format!("its memory is held for {request}"),
        Hindrance::LongPrefill => String::from("it prefills a long prompt"),
    }
}
