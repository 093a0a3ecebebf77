//! Load reports that lag behind.

use serde::Serialize;
use std::collections::VecDeque;
use wire::{Incarnation, Tokens};

/// Answer of `GET /load`.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Load {
    pub(crate) incarnation: Incarnation,
    pub(crate) running: usize,
    pub(crate) prefill_tokens_waiting: Tokens,
    pub(crate) memory_tokens: Tokens,
    pub(crate) memory_tokens_used: Tokens,
    pub(crate) cached_tokens: Tokens,
    /// Prompt tokens read since the start.
    pub(crate) prefilled_tokens: Tokens,
    /// Tokens generated since the start.
    pub(crate) decoded_tokens: Tokens,
}

/// The reports of the last steps.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    reports: VecDeque<Load>,
}

impl LoadHistory {
    /// Adds the report of a step, and forgets those older than `lag` steps.
    pub(crate) fn push(&mut self, load: Load, lag: usize) {
        self.reports.push_back(load);
        while self.reports.len() > lag + 1 {
            self.reports.pop_front();
        }
    }

    /// The oldest report that is kept.
    pub(crate) fn lagged(&self) -> Option<&Load> {
        self.reports.front()
    }
}
