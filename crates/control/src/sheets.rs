//! Which sheets were accepted, and what a further one is answered with.

use crate::{command::SheetChange, configuration::SheetHash, outcome::SheetOutcome};
use bincode::{Decode, Encode};
use std::collections::BTreeMap;

/// Accepted sheets that are remembered, so that a late resend gets its first
/// answer and the loser of a race learns what won.
const MAX_SHEETS: usize = 4096;

/// A sheet that was accepted.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct AcceptedSheet {
    /// Number of the sheet.
    pub number: u64,
    /// Digest of the sheet.
    pub digest: SheetHash,
    /// Who applied it.
    pub operator: String,
    /// Log index from which it is in force.
    pub index: u64,
}

#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub(crate) struct Sheets {
    accepted: BTreeMap<u64, AcceptedSheet>,
}

impl Sheets {
    pub(crate) fn last(&self) -> Option<&AcceptedSheet> {
        self.accepted.values().next_back()
    }

    /// The answer that a sheet gets without being applied, if it gets one.
    pub(crate) fn answer(&self, sheet: &SheetChange) -> Option<SheetOutcome> {
        let known = self.accepted.get(&sheet.number);
        known.map(|winner| winner.answer(&sheet.digest)).or_else(|| self.stale(sheet.number))
    }

    fn stale(&self, number: u64) -> Option<SheetOutcome> {
        let last = self.last()?;
        (number < last.number).then_some(SheetOutcome::Stale { number: last.number })
    }

    pub(crate) fn accept(&mut self, index: u64, sheet: &SheetChange) {
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
    fn answer(&self, digest: &SheetHash) -> SheetOutcome {
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
