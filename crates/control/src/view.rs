//! A daemon's replica of configuration, roster and quarantine.

use crate::{
    changes::{ChangeSet, ChangeSetContents, ChangeStep, FullState},
    command::RequestHash,
    configuration::Configuration,
    error::{Error, Result},
    quarantine::QuarantineStatus,
    roster::Roster,
};
use std::sync::Arc;

/// What a daemon knows, as of one log index. A clone is cheap and stays as it is.
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
    whole: FullState,
}

/// Rosters that an advance led through, in order.
#[derive(Debug, Default)]
pub(crate) struct Passed {
    /// Whether rosters before these may have been missed.
    pub(crate) is_whole: bool,
    pub(crate) rosters: Vec<Arc<Roster>>,
}

impl RegionView {
    /// The view of a daemon that has just started: it knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Log index up to which everything is known.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Number of the sheet in force, 0 before the first.
    pub fn sheet(&self) -> u64 {
        self.whole.sheet
    }

    /// Configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.whole.configuration
    }

    /// Members.
    pub fn roster(&self) -> &Arc<Roster> {
        &self.whole.roster
    }

    /// How a request stands.
    pub fn quarantine_status(&self, fingerprint: &RequestHash) -> QuarantineStatus {
        self.whole.standings.get(fingerprint).copied().unwrap_or(QuarantineStatus::Clear)
    }

    /// Moves the view on. Changes that lead to nothing newer are ignored, so the
    /// view never goes back.
    ///
    /// # Errors
    ///
    /// [`Error::is_gap`] if the changes start above the view's index, and
    /// [`Error::is_older_sheet`] if they hold a sheet below the view's, as a group
    /// restored from an old back-up does. The view then stays as it is.
    pub fn advance(&mut self, changes: &ChangeSet) -> Result<()> {
        self.advance_through(changes).map(|_| ())
    }

    pub(crate) fn advance_through(&mut self, changes: &ChangeSet) -> Result<Passed> {
        if changes.to <= self.index {
            return Ok(Passed::default());
        }
        let passed = match &changes.contents {
            ChangeSetContents::Whole(whole) if whole.sheet < self.whole.sheet => {
                return Err(Error::older_sheet(self.whole.sheet, whole.sheet));
            }
            ChangeSetContents::Whole(whole) => self.replace(whole),
            ChangeSetContents::Steps(_) if changes.from > self.index => {
                return Err(Error::gap(self.index, changes.from));
            }
            ChangeSetContents::Steps(steps) => self.step_through(steps),
        };
        self.index = changes.to;
        Ok(passed)
    }

    fn replace(&mut self, whole: &FullState) -> Passed {
        self.whole = whole.clone();
        Passed { is_whole: true, rosters: vec![Arc::clone(&self.whole.roster)] }
    }

    fn step_through(&mut self, steps: &[(u64, Arc<ChangeStep>)]) -> Passed {
        let mut passed = Passed::default();
        let known = self.index;
        for (index, step) in steps.iter().filter(|(index, _)| *index > known) {
            self.step(*index, step);
            if matches!(**step, ChangeStep::Joined { .. } | ChangeStep::Removed { .. }) {
                passed.rosters.push(Arc::clone(&self.whole.roster));
            }
        }
        passed
    }

    fn step(&mut self, index: u64, step: &ChangeStep) {
        match step {
            ChangeStep::Sheet { number, delta } => {
                self.whole.sheet = *number;
                delta.apply(Arc::make_mut(&mut self.whole.configuration));
            }
            ChangeStep::Joined { daemon, member } => Arc::make_mut(&mut self.whole.roster).insert(
                index,
                daemon.clone(),
                Arc::clone(member),
            ),
            ChangeStep::Removed { daemon } => {
                Arc::make_mut(&mut self.whole.roster).remove(index, daemon);
            }
            ChangeStep::Standing { fingerprint, standing } => {
                let standings = Arc::make_mut(&mut self.whole.standings);
                match standing {
                    QuarantineStatus::Clear => standings.remove(fingerprint),
                    _ => standings.insert(*fingerprint, *standing),
                };
            }
        }
    }
}
