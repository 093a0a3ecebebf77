//! Load reports that are published late.

use std::collections::VecDeque;
use wire::border::upstream::LoadReport;

/// Load reports of the last steps, oldest first.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    reports: VecDeque<LoadReport>,
}

impl LoadHistory {
    /// Adds the report of a step, and drops those that are more than `lag` steps older.
    pub(crate) fn push(&mut self, report: LoadReport, lag: usize) {
        self.reports.push_back(report);
        while self.reports.len() > lag + 1 {
            self.reports.pop_front();
        }
    }

    /// The oldest report that is kept: the one to publish.
    pub(crate) fn oldest(&self) -> Option<&LoadReport> {
        self.reports.front()
    }
}
