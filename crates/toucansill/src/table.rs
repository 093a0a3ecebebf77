//! Tables for people.

/// Space between two columns.
const GAP: usize = 2;

/// A table whose columns are as wide as their widest cell.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these heads and no rows.
    pub(crate) fn new(heads: &[&str]) -> Self {
        Self { rows: vec![heads.iter().map(|head| String::from(*head)).collect()] }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The table as text, one line a row.
    pub(crate) fn text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let widths: Vec<usize> = (0..columns)
            .map(|i| self.rows.iter().filter_map(|row| row.get(i)).map(String::len).max())
            .map(Option::unwrap_or_default)
            .collect();
        self.rows.iter().map(|row| line(row, &widths)).collect()
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells: String = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<w$}", w = width + GAP))
        .collect();
    format!("{}\n", cells.trim_end())
}
