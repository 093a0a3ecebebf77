//! Parses the cells of one row and collects their faults.

use crate::{fault::SheetFault, table::Row};
use control::{KeyHash, OrganisationPriority};

/// Maximum length of a name, in bytes.
const MAX_NAME: usize = 128;

/// HTTP methods that a route may match.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Parser for the cells of one row. Each method that finds a fault adds it to `faults` and
/// returns `None`.
pub(crate) struct Cells<'a> {
    pub(crate) row: &'a Row,
    pub(crate) faults: &'a mut Vec<SheetFault>,
}

impl Cells<'_> {
    /// Adds a fault of this row and returns `None`.
    pub(crate) fn add_fault<T>(&mut self, column: &str, reason: impl Into<String>) -> Option<T> {
        self.faults.push(SheetFault::new(self.row.line, column, reason));
        None
    }

    /// Adds a fault for each non-empty cell in a column that rows of this kind do not use.
    pub(crate) fn reject_unused_columns(&mut self, kind: &str, used: &[&str]) {
        let unused: Vec<&str> =
            self.row.columns().filter(|name| *name != "kind" && !used.contains(name)).collect();
        for column in unused {
            self.add_fault::<()>(column, format!("a row of kind {kind} does not use this column"));
        }
    }

    /// Name of the item: ASCII letters, digits, `-`, `_`, `.` and the characters of
    /// `extra_chars`.
    pub(crate) fn parse_name(&mut self, extra_chars: &str) -> Option<String> {
        let name = self.required("name")?;
        if name.len() > MAX_NAME {
            return self.add_fault("name", format!("longer than {MAX_NAME} bytes"));
        }
        let is_allowed =
            |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c) || extra_chars.contains(c);
        match name.chars().find(|c| !is_allowed(*c)) {
            Some(c) => self.add_fault("name", format!("{c:?} is not allowed in a name")),
            None => Some(name),
        }
    }

    /// Required whole number of at least 1.
    pub(crate) fn parse_positive(&mut self, column: &str) -> Option<u64> {
        let cell = self.required(column)?;
        self.parse_digits(column, &cell)
    }

    /// Weight of an organisation: 1 if the cell is empty.
    pub(crate) fn parse_weight(&mut self) -> Option<u32> {
        let Some(cell) = self.row.cell("weight").map(str::to_string) else { return Some(1) };
        let number = self.parse_digits("weight", &cell)?;
        match u32::try_from(number) {
            Ok(weight) => Some(weight),
            Err(_) => self.add_fault("weight", format!("{number} is too large")),
        }
    }

    /// Priority of an organisation: the default if the cell is empty.
    pub(crate) fn parse_priority(&mut self) -> Option<OrganisationPriority> {
        let Some(cell) = self.row.cell("priority") else {
            return Some(OrganisationPriority::default());
        };
        let known = [
            OrganisationPriority::Urgent,
            OrganisationPriority::Ordinary,
            OrganisationPriority::Low,
        ];
        match known.into_iter().find(|known| known.as_str().eq_ignore_ascii_case(cell)) {
            Some(priority) => Some(priority),
            None => {
                let reason = format!("{cell:?} is none of urgent, ordinary and low");
                self.add_fault("priority", reason)
            }
        }
    }

    /// Required cell that holds one of the two given words, regardless of letter case. Returns
    /// true for the word `yes`.
    pub(crate) fn parse_choice(&mut self, column: &str, yes: &str, no: &str) -> Option<bool> {
        let cell = self.required(column)?;
        if cell.eq_ignore_ascii_case(yes) {
            return Some(true);
        }
        if cell.eq_ignore_ascii_case(no) {
            return Some(false);
        }
        self.add_fault(column, format!("{cell:?} is neither {yes} nor {no}"))
    }

    /// HTTP method of a route. The inner `None`, from an empty cell or `*`, stands for all
    /// methods.
    pub(crate) fn parse_method(&mut self) -> Option<Option<String>> {
        let Some(cell) = self.row.cell("method").filter(|cell| *cell != "*") else {
            return Some(None);
        };
        let method = cell.to_ascii_uppercase();
        if METHODS.contains(&method.as_str()) {
            return Some(Some(method));
        }
        let reason = format!("{cell:?} is no HTTP method; leave it empty for all methods");
        self.add_fault("method", reason)
    }

    /// Path prefix of a route, without a trailing slash unless it is the root.
    pub(crate) fn parse_path(&mut self) -> Option<String> {
        let cell = self.required("path")?;
        if !cell.starts_with('/') {
            return self.add_fault("path", format!("{cell:?} does not start with /"));
        }
        let is_allowed = |c: char| c.is_ascii_graphic() && !"?#%\\".contains(c);
        if let Some(c) = cell.chars().find(|c| !is_allowed(*c)) {
            return self.add_fault("path", format!("{c:?} is not allowed in a path"));
        }
        if cell.split('/').any(|segment| segment == "." || segment == "..") || cell.contains("//") {
            return self.add_fault("path", format!("{cell:?} has an empty, . or .. segment"));
        }
        let path = cell.trim_end_matches('/');
        Some(if path.is_empty() { "/".to_string() } else { path.to_string() })
    }

    /// SHA-256 hashes of API keys, separated by spaces.
    pub(crate) fn parse_key_hashes(&mut self) -> Option<Vec<KeyHash>> {
        let cell = self.row.cell("key_sha256").unwrap_or_default().to_string();
        let hashes: Vec<Option<KeyHash>> = cell
            .split_whitespace()
            .map(|hex| match parse_hash(hex) {
                Some(hash) => Some(hash),
                // The cell may hold an API key by mistake, so the message must not show it.
                None => self.add_fault("key_sha256", "not a SHA-256 of 64 hexadecimal digits"),
            })
            .collect();
        hashes.into_iter().collect()
    }

    fn parse_digits(&mut self, column: &str, cell: &str) -> Option<u64> {
        let is_digits = cell.bytes().all(|byte| byte.is_ascii_digit());
        match cell.parse::<u64>() {
            Ok(0) => self.add_fault(column, "must be at least 1"),
            Ok(number) if is_digits => Some(number),
            Err(_) if is_digits => self.add_fault(column, format!("{cell} is too large")),
            _ => self.add_fault(column, format!("{cell:?} is not a whole number in plain digits")),
        }
    }

    fn required(&mut self, column: &str) -> Option<String> {
        match self.row.cell(column) {
            Some(cell) => Some(cell.to_string()),
            None => self.add_fault(column, "must not be empty"),
        }
    }
}

fn parse_hash(hex: &str) -> Option<KeyHash> {
    let is_hex = hex.len() == 64 && hex.bytes().all(|byte| byte.is_ascii_hexdigit());
    let mut hash = KeyHash::default();
    if !is_hex {
        return None;
    }
    for (i, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(hash)
}
