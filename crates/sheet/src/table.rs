//! Reads CSV bytes into rows whose cells are looked up by column name.

use crate::fault::{Result, SheetFault};
use csv::{ReaderBuilder, StringRecord, Trim};

/// Maximum size of a sheet, in bytes.
pub const MAX_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of rows of a sheet, without the header.
pub const MAX_ROWS: usize = 100_000;

/// Maximum number of faults that are listed.
pub const MAX_FAULTS: usize = 1000;

/// Columns of a sheet, in the order in which they are rendered.
pub(crate) const COLUMNS: [&str; 13] = [
    "kind",
    "name",
    "number",
    "state",
    "priority",
    "weight",
    "tokens_per_second",
    "key_sha256",
    "method",
    "path",
    "urgent",
    "never_twice",
    "max_prompt",
];

/// Byte order mark of UTF-8, which some spreadsheets write at the start of a file.
const BOM: &[u8] = b"\xef\xbb\xbf";

/// First byte of a comment line.
const COMMENT: u8 = b'#';

/// One row: the line of the file at which it starts, and its non-empty cells by column.
#[derive(Debug)]
pub(crate) struct Row {
    pub(crate) line: u64,
    cells: Vec<(&'static str, String)>,
}

impl Row {
    /// Content of a column's cell, or `None` if it is empty.
    pub(crate) fn cell(&self, column: &str) -> Option<&str> {
        let cell = self.cells.iter().find(|(name, _)| *name == column);
        cell.map(|(_, value)| value.as_str())
    }

    /// Columns whose cells are not empty.
    pub(crate) fn columns(&self) -> impl Iterator<Item = &'static str> {
        self.cells.iter().map(|(name, _)| *name)
    }
}

/// Reads all rows that are not empty. Faults of single rows are added to `faults`.
///
/// # Errors
///
/// Faults that make the whole file unreadable, such as its size, encoding or header.
pub(crate) fn read(buf: &[u8], faults: &mut Vec<SheetFault>) -> Result<Vec<Row>> {
    let text = text(buf)?;
    let mut reader = ReaderBuilder::new()
        .flexible(true)
        .trim(Trim::All)
        .comment(Some(COMMENT))
        .delimiter(delimiter(text))
        .from_reader(text.as_bytes());
    let header =
        reader.headers().cloned().map_err(|err| vec![SheetFault::whole(err.to_string())])?;
    let columns = columns(&header)?;
    let mut rows = Vec::new();
    for record in reader.records() {
        let record = record.map_err(|err| vec![SheetFault::whole(err.to_string())])?;
        if rows.len() >= MAX_ROWS {
            return Err(vec![SheetFault::whole(format!("more than {MAX_ROWS} rows"))]);
        }
        rows.extend(row(&record, &columns, faults));
    }
    Ok(rows)
}

/// Checks size and encoding and strips the byte order mark.
fn text(buf: &[u8]) -> Result<&str> {
    if buf.len() > MAX_BYTES {
        return Err(vec![SheetFault::whole(format!("longer than {MAX_BYTES} bytes"))]);
    }
    let buf = buf.strip_prefix(BOM).unwrap_or(buf);
    std::str::from_utf8(buf).map_err(|err| {
        let line = 1 + buf[..err.valid_up_to()].iter().filter(|byte| **byte == b'\n').count();
        vec![SheetFault::new(line as u64, "", "not UTF-8; export the sheet as CSV in UTF-8")]
    })
}

/// Detects the delimiter. Spreadsheets in some locales write `;` or tabs. Column names contain
/// none of the delimiters, so the header shows which one is used.
fn delimiter(text: &str) -> u8 {
    let is_comment = |line: &&str| line.trim().is_empty() || line.starts_with(char::from(COMMENT));
    let header = text.lines().find(|line| !is_comment(line)).unwrap_or_default();
    let found = |delimiter: &u8| header.contains(char::from(*delimiter));
    [b',', b';', b'\t'].into_iter().find(found).unwrap_or(b',')
}

/// The known column at each position of the header; `None` for a position with an empty name.
fn columns(header: &StringRecord) -> Result<Vec<Option<&'static str>>> {
    let mut faults = Vec::new();
    let mut columns: Vec<Option<&'static str>> = Vec::new();
    for name in header {
        let known = COLUMNS.into_iter().find(|known| known.eq_ignore_ascii_case(name));
        if known.is_none() && !name.is_empty() {
            faults.push(SheetFault::new(0, name, "no such column"));
        }
        if known.is_some() && columns.contains(&known) {
            faults.push(SheetFault::new(0, name, "the column appears twice"));
        }
        columns.push(known);
    }
    let missing = ["kind", "name"].into_iter().filter(|name| !columns.contains(&Some(name)));
    faults.extend(missing.map(|name| SheetFault::new(0, name, "the column is missing")));
    if faults.is_empty() { Ok(columns) } else { Err(faults) }
}

/// Converts a record to a row, or returns `None` if all its cells are empty.
fn row(
    record: &StringRecord,
    columns: &[Option<&'static str>],
    faults: &mut Vec<SheetFault>,
) -> Option<Row> {
    let line = record.position().map_or(0, csv::Position::line);
    let mut cells = Vec::new();
    for (i, cell) in record.iter().enumerate().filter(|(_, cell)| !cell.is_empty()) {
        match columns.get(i).copied().flatten() {
            Some(column) => cells.push((column, cell.to_string())),
            None => faults.push(SheetFault::new(
                line,
                "",
                format!("cell {} has no column in the header", i + 1),
            )),
        }
    }
    (!cells.is_empty()).then_some(Row { line, cells })
}
