//! Admission requests, and the tickets that they get.

use crate::refusal::Result;
use bincode::{Decode, Encode};
use std::time::{Duration, Instant};
use wire::{OrganisationId, Tokens};

/// Priority of a request. The greater one is served first.
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Served when no urgent request waits, and for a minimum share of the tokens.
    #[default]
    Ordinary,
    /// Served before ordinary requests, except for their minimum share.
    Urgent,
}

impl Priority {
    /// Both priorities, the most urgent first.
    pub const ALL: [Self; 2] = [Self::Urgent, Self::Ordinary];

    /// Index into arrays by priority; 0 for ordinary.
    pub fn index(self) -> usize {
        self as usize
    }
}

/// A request for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Organisation that is charged for the tokens.
    pub organisation: OrganisationId,
    /// Priority of the request; the greater one is served first.
    pub priority: Priority,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: Tokens,
    /// Maximum number of tokens that the response may have.
    pub max_output_tokens: Tokens,
    /// Time at which the whole response must have arrived.
    pub deadline: Instant,
}

impl AdmissionRequest {
    /// Tokens that the request is charged until its usage is known: those of the prompt and of the
    /// longest response, at least 1.
    pub fn cost(&self) -> Tokens {
        self.prompt_tokens.saturating_add(self.max_output_tokens).max(1)
    }
}

/// Number of a ticket, unique within one limiter.
pub type TicketId = u64;

/// State of an admission ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketState {
    /// The request is admitted.
    Granted,
    /// The request waits; [`Limiter::poll`](crate::Limiter::poll) returns its outcome.
    Waiting {
        /// Wait that was predicted when the request was queued.
        predicted_wait: Duration,
    },
}

/// Admission ticket of a request that is admitted or waits. It ends with
/// [`Limiter::finish`](crate::Limiter::finish) or [`Limiter::cancel`](crate::Limiter::cancel).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Number of the ticket.
    pub id: TicketId,
    /// Whether the request is admitted or waits.
    pub state: TicketState,
}

impl Ticket {
    /// Whether the request is admitted.
    pub fn is_granted(&self) -> bool {
        self.state == TicketState::Granted
    }
}

/// Final outcome of a ticket that was waiting.
#[derive(Clone, Debug)]
pub struct QueuedOutcome {
    /// Number of the ticket.
    pub ticket: TicketId,
    /// `Ok` if the request is admitted, otherwise the refusal.
    pub result: Result<()>,
}
