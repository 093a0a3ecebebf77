//! Tickets by which a leader recognises orders that were forwarded to it late.

use bincode::{Decode, Encode};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Permission to forward one order. It is valid for a limited time, on the leader's clock.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, Ord, PartialEq, PartialOrd)]
pub struct OrderTicket {
    /// Raft term of the leader that issued it.
    pub term: u64,
    /// Number within the term.
    pub number: u64,
}

/// Tickets that a leader has issued.
///
/// An order without a version of its own can't be told from a copy of an earlier one. A daemon that
/// forwards one first asks for a ticket, which is valid for as long as the caller waits. If the network
/// holds the order up, the ticket has expired when it arrives. By then its sender may have sent it again to
/// another daemon, and later orders after that.
///
/// ```
/// use follow::OrderTickets;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut tickets = OrderTickets::new(1);
/// let (first, second) = (
///     tickets.issue(now, Duration::from_millis(900)),
///     tickets.issue(now, Duration::from_millis(900)),
/// );
/// assert!(tickets.redeem(now, first));
/// assert!(!tickets.redeem(now, first));
/// assert!(!tickets.redeem(now + Duration::from_millis(900), second));
/// ```
#[derive(Debug)]
pub struct OrderTickets {
    term: u64,
    last_number: u64,
    /// Tickets that weren't redeemed, and when they expire.
    open: BTreeMap<OrderTicket, Instant>,
}

impl OrderTickets {
    /// Creates the tickets of a leader in its term; none is issued.
    pub fn new(term: u64) -> Self {
        Self { term, last_number: 0, open: BTreeMap::new() }
    }

    /// Issues a ticket.
    pub fn issue(&mut self, now: Instant, valid_for: Duration) -> OrderTicket {
        self.open.retain(|_, expires_at| *expires_at > now);
        self.last_number += 1;
        let ticket = OrderTicket { term: self.term, number: self.last_number };
        self.open.insert(ticket, now + valid_for);
        ticket
    }

    /// Whether a ticket is valid. It is used up by this.
    pub fn redeem(&mut self, now: Instant, ticket: OrderTicket) -> bool {
        self.open.remove(&ticket).is_some_and(|expires_at| expires_at > now)
    }
}
