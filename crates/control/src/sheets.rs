//! Record of accepted sheets, which decides whether a further sheet is accepted.

use crate::{command::ProposedSheet, configuration::SheetHash, outcome::SheetOutcome};
use bincode::{Decode, Encode};
use std::collections::BTreeMap;

/// Maximum number of accepted sheets that are remembered, so that a late resend
/// gets its first outcome and the operator who loses a race learns which sheet was
/// accepted. The one with the lowest number is forgotten first.
const MAX_SHEETS: usize = 4096;

/// A sheet that was accepted.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct AcceptedSheet {
    /// Number of the sheet.
    pub number: u64,
    /// Hash of the sheet.
    pub digest: SheetHash,
    /// Operator who applied it.
    pub operator: String,
    /// State index at which it was accepted.
    pub index: u64,
}

/// Accepted sheets by number.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub(crate) struct Sheets {
    accepted: BTreeMap<u64, AcceptedSheet>,
}

impl Sheets {
    /// Returns the current sheet, which is the one with the highest number.
    pub(crate) fn last(&self) -> Option<&AcceptedSheet> {
        self.accepted.values().next_back()
    }

    /// Returns the outcome of a sheet that must not be applied: a resend, a sheet
    /// whose number is taken, or one whose number is too low. Returns `None` for a
    /// sheet to apply.
    pub(crate) fn known_outcome(&self, sheet: &ProposedSheet) -> Option<SheetOutcome> {
        let known = self.accepted.get(&sheet.number);
        known
            .map(|accepted| accepted.outcome_for(&sheet.digest))
            .or_else(|| self.stale(sheet.number))
    }

    /// Returns [`SheetOutcome::Stale`] if the number is below that of the current
    /// sheet.
    fn stale(&self, number: u64) -> Option<SheetOutcome> {
        let last = self.last()?;
        (number < last.number).then_some(SheetOutcome::Stale { number: last.number })
    }

    /// Records a sheet that was accepted at the state index `index`.
    pub(crate) fn accept(&mut self, index: u64, sheet: &ProposedSheet) {
        let accepted = AcceptedSheet {
            number: sheet.number,
            digest: sheet.digest,
            operator: sheet.operator.clone(),
            index,
        };
        self.accepted.insert(sheet.number, accepted);
        if self.accepted.len() > MAX_SHEETS {
            self.accepted.pop_first();
        }
    }
}

impl AcceptedSheet {
    /// Returns the outcome of a further sheet with the same number.
    fn outcome_for(&self, digest: &SheetHash) -> SheetOutcome {
        if self.digest == *digest {
            return SheetOutcome::Accepted { index: self.index };
        }
        SheetOutcome::Conflict {
            digest: self.digest,
            operator: self.operator.clone(),
            index: self.index,
        }
    }
}
