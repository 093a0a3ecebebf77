//! What is wrong with a sheet, and where.

use std::fmt;

/// A value, or every fault of the sheet.
pub type Result<T> = std::result::Result<T, Vec<SheetFault>>;

/// One fault of a sheet.
///
/// ```
/// let faults = sheet::parse(b"kind,name\n").unwrap_err();
/// assert_eq!(faults[0].to_string(), "no row of kind sheet, which gives region and number");
/// ```
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SheetFault {
    /// Line of the file at which the row starts, counted from 1 with the header;
    /// 0 if the fault is in the file as a whole.
    pub row: u64,
    /// Name of the column, empty if the fault is in the row as a whole.
    pub column: String,
    /// What is wrong.
    pub reason: String,
}

impl SheetFault {
    pub(crate) fn new(row: u64, column: &str, reason: impl Into<String>) -> Self {
        Self { row, column: column.to_string(), reason: reason.into() }
    }

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
