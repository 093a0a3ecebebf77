//! A daemon's replica of configuration, roster and quarantine.

use crate::{
    changes::{ChangeSet, ChangeSetContents, ChangeStep, FullView},
    command::RequestHash,
    configuration::Configuration,
    error::{Error, Result},
    quarantine::QuarantineStatus,
    roster::Roster,
};
use std::sync::Arc;

/// A daemon's replica of configuration, roster and quarantine, as of one state index.
///
/// A clone is cheap, and does not change when the original advances.
///
/// ```
/// use control::{RegionView, State};
///
/// let state = State::new();
/// let mut view = RegionView::new();
/// view.advance(&state.changes_since(view.index())).unwrap();
/// assert!(view.configuration().data_centres.is_empty());
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RegionView {
    index: u64,
    state: FullView,
}

/// Rosters that a view passed through as it advanced, in order.
#[derive(Debug, Default)]
pub(crate) struct PassedRosters {
    /// Whether the view was replaced as a whole, so that rosters before these may
    /// be missing.
    pub(crate) was_replaced: bool,
    pub(crate) rosters: Vec<Arc<Roster>>,
}

impl RegionView {
    /// Creates the empty view of a daemon that has just started.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the state index up to which the view holds all changes.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the number of the current sheet, 0 before the first.
    pub fn sheet(&self) -> u64 {
        self.state.sheet
    }

    /// Returns the current configuration.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.state.configuration
    }

    /// Returns the members of the region.
    pub fn roster(&self) -> &Arc<Roster> {
        &self.state.roster
    }

    /// Returns the quarantine status of a request.
    pub fn quarantine_status(&self, request_hash: &RequestHash) -> QuarantineStatus {
        self.state.standings.get(request_hash).copied().unwrap_or(QuarantineStatus::Clear)
    }

    /// Advances the view. Changes that end at or below its index are ignored, so the
    /// view never goes back.
    ///
    /// # Errors
    ///
    /// [`Error::is_gap`] if the changes start above the view's index, and
    /// [`Error::is_older_sheet`] if they hold a sheet below the view's, as after the
    /// group was restored from an old back-up. The view is then unchanged.
    pub fn advance(&mut self, changes: &ChangeSet) -> Result<()> {
        self.advance_with_rosters(changes).map(|_| ())
    }

    /// Advances the view, and returns the rosters that it passed through.
    pub(crate) fn advance_with_rosters(&mut self, changes: &ChangeSet) -> Result<PassedRosters> {
        if changes.to <= self.index {
            return Ok(PassedRosters::default());
        }
        let passed = match &changes.contents {
            ChangeSetContents::Whole(full) if full.sheet < self.state.sheet => {
                return Err(Error::older_sheet(self.state.sheet, full.sheet));
            }
            ChangeSetContents::Whole(full) => self.replace(full),
            ChangeSetContents::Steps(_) if changes.from > self.index => {
                return Err(Error::gap(self.index, changes.from));
            }
            ChangeSetContents::Steps(steps) => self.apply_steps(steps),
        };
        self.index = changes.to;
        Ok(passed)
    }

    fn replace(&mut self, full: &FullView) -> PassedRosters {
        self.state = full.clone();
        PassedRosters { was_replaced: true, rosters: vec![Arc::clone(&self.state.roster)] }
    }

    fn apply_steps(&mut self, steps: &[(u64, Arc<ChangeStep>)]) -> PassedRosters {
        let mut passed = PassedRosters::default();
        let start = self.index;
        for (index, step) in steps.iter().filter(|(index, _)| *index > start) {
            self.apply_step(*index, step);
            if matches!(**step, ChangeStep::Joined { .. } | ChangeStep::Removed { .. }) {
                passed.rosters.push(Arc::clone(&self.state.roster));
            }
        }
        passed
    }

    fn apply_step(&mut self, index: u64, step: &ChangeStep) {
        match step {
            ChangeStep::Sheet { number, delta } => {
                self.state.sheet = *number;
                delta.apply(Arc::make_mut(&mut self.state.configuration));
            }
            ChangeStep::Joined { daemon, member } => Arc::make_mut(&mut self.state.roster).insert(
                index,
                daemon.clone(),
                Arc::clone(member),
            ),
            ChangeStep::Removed { daemon } => {
                Arc::make_mut(&mut self.state.roster).remove(index, daemon);
            }
            ChangeStep::Standing { fingerprint, standing: status } => {
                let standings = Arc::make_mut(&mut self.state.standings);
                match status {
                    QuarantineStatus::Clear => standings.remove(fingerprint),
                    _ => standings.insert(*fingerprint, *status),
                };
            }
        }
    }
}
