//! A sheet that has passed the check.

use control::{Configuration, SheetChange, SheetHash, encode};
use sha2::{Digest as _, Sha256};

/// Separates digests of sheets from other digests, and of this format from later
/// ones.
const DIGEST_PREFIX: &[u8] = b"toucansill sheet 1\0";

/// A sheet without faults.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sheet {
    /// Number of the sheet; each accepted sheet has a higher one.
    pub number: u64,
    /// What the sheet says.
    pub configuration: Configuration,
}

impl Sheet {
    /// What the sheet says, as the control group keeps it.
    pub fn to_configuration(&self) -> Configuration {
        self.configuration.clone()
    }

    /// SHA-256 over number and content. Order of rows and columns, spaces, line
    /// ends and quotes do not matter, so a second export of the same content is
    /// the same sheet.
    pub fn digest(&self) -> SheetHash {
        Sha256::new()
            .chain_update(DIGEST_PREFIX)
            .chain_update(encode(&(self.number, &self.configuration)))
            .finalize()
            .into()
    }

    /// The command content that puts the sheet in force.
    pub fn to_change(&self, operator: impl Into<String>) -> SheetChange {
        SheetChange {
            number: self.number,
            digest: self.digest(),
            configuration: self.to_configuration(),
            operator: operator.into(),
        }
    }

    /// The sheet as CSV, in a fixed order of rows. Parsing it gives the same
    /// sheet, so operators can fetch what is in force and go on from it.
    pub fn to_csv(&self) -> String {
        crate::render::render(self)
    }
}
