//! Load reports that are published late.

use std::collections::VecDeque;
use wire::border::upstream::LoadReport;

/// The last load reports, oldest first.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    reports: VecDeque<LoadReport>,
}

impl LoadHistory {
    /// Adds a report, and drops those with more than `lag` newer ones.
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
