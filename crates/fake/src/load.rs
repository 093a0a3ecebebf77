//! Load reports that lag behind.

use std::collections::VecDeque;
use wire::border::upstream::LoadReport;

/// The reports of the last steps.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    reports: VecDeque<LoadReport>,
}

impl LoadHistory {
    /// Adds the report of a step, and forgets those older than `lag` steps.
    pub(crate) fn push(&mut self, report: LoadReport, lag: usize) {
        self.reports.push_back(report);
        while self.reports.len() > lag + 1 {
            self.reports.pop_front();
        }
    }

    /// The oldest report that is kept.
    pub(crate) fn lagged(&self) -> Option<&LoadReport> {
        self.reports.front()
    }
}
