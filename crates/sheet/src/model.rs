//! A sheet that has passed all checks.

use control::{Configuration, ProposedSheet, SheetHash, encode};
use sha2::{Digest as _, Sha256};

/// Domain separator: keeps digests of sheets apart from digests of other data and of later
/// formats.
const DIGEST_PREFIX: &[u8] = b"toucansill sheet 1\0";

/// A sheet without faults.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sheet {
    /// Number of the sheet. The control group accepts a sheet only if its number is higher than
    /// that of the current sheet.
    pub number: u64,
    /// The configuration that the sheet declares.
    pub configuration: Configuration,
}

impl Sheet {
    /// The configuration that the sheet declares, as the control group stores it.
    pub fn to_configuration(&self) -> Configuration {
        self.configuration.clone()
    }

    /// SHA-256 of the number and the configuration. It does not depend on the order of rows
    /// and columns, spaces, line endings or quotes, so a second export of the same content
    /// counts as the same sheet.
    pub fn digest(&self) -> SheetHash {
        Sha256::new()
            .chain_update(DIGEST_PREFIX)
            .chain_update(encode(&(self.number, &self.configuration)))
            .finalize()
            .into()
    }

    /// The change that makes this sheet the current one, for a control command. `operator` is the
    /// name to record with it.
    pub fn to_change(&self, operator: impl Into<String>) -> ProposedSheet {
        ProposedSheet {
            number: self.number,
            digest: self.digest(),
            configuration: self.to_configuration(),
            operator: operator.into(),
        }
    }

    /// Renders the sheet as CSV, with rows in a fixed order. Parsing the result returns an
    /// equal sheet, so operators can fetch the current sheet and edit it.
    pub fn to_csv(&self) -> String {
        crate::render::render(self)
    }
}
