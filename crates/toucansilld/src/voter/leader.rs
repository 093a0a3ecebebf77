//! Volatile state of the leader of the control group, which ends with its term.

use control::{Command, LeaderClock, Leases, State};
use std::time::Instant;

/// Leases and clock of one term.
pub(crate) struct Leader {
    term: u64,
    leases: Leases,
    clock: LeaderClock,
}

impl Leader {
    /// State of the leader of a term. `state` must have applied all entries of earlier terms.
    pub(crate) fn new(term: u64, now: Instant, state: &State) -> Self {
        let leases = Leases::new(now, state.roster());
        let clock = LeaderClock::new(now, state.clock_ms());
        Self { term, leases, clock }
    }

    /// Term of this leader.
    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    /// Session leases.
    pub(crate) fn leases(&mut self) -> &mut Leases {
        &mut self.leases
    }

    /// Timestamp of a command proposed at `now`, in milliseconds.
    pub(crate) fn at_ms(&self, now: Instant) -> u64 {
        self.clock.at_ms(now)
    }

    /// Commands that are due by time: the end of each expired session, and a tick if an entry of
    /// the ledger or the quarantine has expired.
    pub(crate) fn due_commands(&mut self, now: Instant, state: &State) -> Vec<Command> {
        let at_ms = self.at_ms(now);
        let is_tick_due = state.next_expiry_ms().is_some_and(|due| due <= at_ms);
        let tick = is_tick_due.then_some(Command::Tick { at_ms });
        let expired = self.leases.expired(now, state.roster());
        expired.into_iter().map(Command::Expire).chain(tick).collect()
    }
}
