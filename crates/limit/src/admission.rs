//! What a caller asks for and the ticket it gets.

use crate::refusal::Result;
use bincode::{Decode, Encode};
use std::time::{Duration, Instant};
use wire::{OrganisationId, Tokens};

/// How urgent a request is. Greater is served first.
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// Served in turn.
    #[default]
    Ordinary,
    /// Served before ordinary requests, up to a part that stays for those.
    Urgent,
}

impl Priority {
    /// Both priorities, the most urgent first.
    pub const ALL: [Self; 2] = [Self::Urgent, Self::Ordinary];

    /// A small index, 0 for ordinary.
    pub fn index(self) -> usize {
        self as usize
    }
}

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Who pays for the tokens.
    pub organisation: OrganisationId,
    /// How urgent the request is.
    pub priority: Priority,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: Tokens,
    /// Most tokens that the answer may have.
    pub max_output_tokens: Tokens,
    /// When the whole answer must be there.
    pub deadline: Instant,
}

impl AdmissionRequest {
    /// Tokens that the request is charged with until its use is known.
    pub fn cost(&self) -> Tokens {
        self.prompt_tokens.saturating_add(self.max_output_tokens).max(1)
    }
}

/// Number of a ticket, unique within one limiter.
pub type TicketId = u64;

/// Whether a ticket's request may go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketState {
    /// The request may go on now.
    Granted,
    /// The request waits; [`Limiter::poll`](crate::Limiter::poll) gives its answer.
    Waiting {
        /// Wait that was predicted at the time of asking.
        predicted_wait: Duration,
    },
}

/// Proof of admission, to be given back with `finish` or `cancel`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Number of the ticket.
    pub id: TicketId,
    /// Whether the request may go on now.
    pub state: TicketState,
}

impl Ticket {
    /// Whether the request may go on now.
    pub fn is_granted(&self) -> bool {
        self.state == TicketState::Granted
    }
}

/// Final answer to a ticket that was waiting.
#[derive(Clone, Debug)]
pub struct QueuedOutcome {
    /// Number of the ticket.
    pub ticket: TicketId,
    /// `Ok` when the request may go on, else why it was refused.
    pub result: Result<()>,
}
