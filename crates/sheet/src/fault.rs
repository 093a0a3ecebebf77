//! Faults of a sheet and their positions.

use std::fmt;

/// A value, or the faults of the sheet.
pub type Result<T> = std::result::Result<T, Vec<SheetFault>>;

/// One fault of a sheet, with its position.
///
/// ```
/// let faults = sheet::parse(b"kind,name\n").unwrap_err();
/// assert_eq!(faults[0].to_string(), "no row of kind sheet, which gives region and number");
/// ```
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SheetFault {
    /// Line of the file at which the row starts, counted from 1 and including the header;
    /// 0 if the fault concerns the header or the whole file.
    pub row: u64,
    /// Name of the column; empty if the fault concerns the whole row or file.
    pub column: String,
    /// What is wrong and, where it helps, what to do.
    pub reason: String,
}

impl SheetFault {
    pub(crate) fn new(row: u64, column: &str, reason: impl Into<String>) -> Self {
        Self { row, column: column.to_string(), reason: reason.into() }
    }

    /// A fault of the whole file.
    pub(crate) fn whole(reason: impl Into<String>) -> Self {
        Self::new(0, "", reason)
    }
}

impl fmt::Display for SheetFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { row, column, reason } = self;
        match (row, column.as_str()) {
            (0, "") => write!(f, "{reason}"),
            (0, column) => write!(f, "column {column}: {reason}"),
            (row, "") => write!(f, "row {row}: {reason}"),
            (row, column) => write!(f, "row {row}, column {column}: {reason}"),
        }
    }
}
