//! State of each upstream for operators, with the reasons why it receives fewer requests.

use route::{Restriction, UpstreamExplanation};
use serde::Serialize;
use wire::{Tokens, UpstreamId};

/// One upstream in the response to `GET /status`.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct UpstreamStatus {
    /// Name of the upstream.
    pub(crate) id: UpstreamId,
    /// Incarnation of the upstream.
    pub(crate) incarnation: u64,
    /// Number of requests in flight from this owner.
    pub(crate) running: u32,
    /// Memory reserved, in tokens.
    pub(crate) reserved_tokens: Tokens,
    /// Memory that can be reserved now, in tokens.
    pub(crate) room_tokens: Tokens,
    /// Reasons why it receives no new requests or fewer of them; empty if nothing restricts it.
    pub(crate) hindrances: Vec<String>,
}

impl UpstreamStatus {
    /// Status of an upstream as its owner explains it.
    pub(crate) fn of(explanation: UpstreamExplanation) -> Self {
        Self {
            id: explanation.upstream,
            incarnation: explanation.incarnation,
            running: explanation.running,
            reserved_tokens: explanation.reserved_tokens,
            room_tokens: explanation.free_tokens,
            hindrances: explanation.restrictions.iter().map(restriction_text).collect(),
        }
    }
}

/// Text of a restriction for operators.
fn restriction_text(restriction: &Restriction) -> String {
    match restriction {
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
