//! Plain-text tables.

/// Number of spaces between two columns.
const GAP: usize = 2;

/// A table with left-aligned columns, each as wide as its widest cell.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column headings and no rows.
    pub(crate) fn new(headings: &[&str]) -> Self {
        Self { rows: vec![headings.iter().map(|heading| String::from(*heading)).collect()] }
    }

    /// Adds a row.
    pub(crate) fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Renders the table as text, one line per row.
    pub(crate) fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let widths: Vec<usize> = (0..columns)
            .map(|i| self.rows.iter().filter_map(|row| row.get(i)).map(String::len).max())
            .map(Option::unwrap_or_default)
            .collect();
        self.rows.iter().map(|row| line(row, &widths)).collect()
    }
}

/// Renders one row, without trailing spaces.
fn line(row: &[String], widths: &[usize]) -> String {
    let cells: String = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<w$}", w = width + GAP))
        .collect();
    format!("{}\n", cells.trim_end())
}
