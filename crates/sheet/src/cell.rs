//! Reads single cells of a row and notes their faults.

use crate::{fault::SheetFault, table::Row};
use control::{KeyHash, OrganisationPriority};

/// Longest name, in bytes.
const MAX_NAME: usize = 128;

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Cells of one row. Readers return `None` after they have noted a fault.
pub(crate) struct Cells<'a> {
    pub(crate) row: &'a Row,
    pub(crate) faults: &'a mut Vec<SheetFault>,
}

impl Cells<'_> {
    pub(crate) fn fault<T>(&mut self, column: &str, reason: impl Into<String>) -> Option<T> {
        self.faults.push(SheetFault::new(self.row.line, column, reason));
        None
    }

    /// Notes the cells that the row's kind does not use.
    pub(crate) fn only(&mut self, kind: &str, used: &[&str]) {
        let unused: Vec<&str> =
            self.row.columns().filter(|name| *name != "kind" && !used.contains(name)).collect();
        for column in unused {
            self.fault::<()>(column, format!("a row of kind {kind} does not use this column"));
        }
    }

    pub(crate) fn name(&mut self, extra: &str) -> Option<String> {
        let name = self.required("name")?;
        if name.len() > MAX_NAME {
            return self.fault("name", format!("longer than {MAX_NAME} bytes"));
        }
        let is_allowed =
            |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c) || extra.contains(c);
        match name.chars().find(|c| !is_allowed(*c)) {
            Some(c) => self.fault("name", format!("{c:?} is not allowed in a name")),
            None => Some(name),
        }
    }

    /// A whole number from 1 on.
    pub(crate) fn number(&mut self, column: &str) -> Option<u64> {
        let cell = self.required(column)?;
        self.parse_number(column, &cell)
    }

    pub(crate) fn weight(&mut self) -> Option<u32> {
        let Some(cell) = self.row.cell("weight").map(str::to_string) else { return Some(1) };
        let number = self.parse_number("weight", &cell)?;
        match u32::try_from(number) {
            Ok(weight) => Some(weight),
            Err(_) => self.fault("weight", format!("{number} is too large")),
        }
    }

    pub(crate) fn priority(&mut self) -> Option<OrganisationPriority> {
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
                self.fault("priority", reason)
            }
        }
    }

    /// A cell with one of two words; true for the first.
    pub(crate) fn either(&mut self, column: &str, yes: &str, no: &str) -> Option<bool> {
        let cell = self.required(column)?;
        if cell.eq_ignore_ascii_case(yes) {
            return Some(true);
        }
        if cell.eq_ignore_ascii_case(no) {
            return Some(false);
        }
        self.fault(column, format!("{cell:?} is neither {yes} nor {no}"))
    }

    pub(crate) fn method(&mut self) -> Option<Option<String>> {
        let Some(cell) = self.row.cell("method").filter(|cell| *cell != "*") else {
            return Some(None);
        };
        let method = cell.to_ascii_uppercase();
        if METHODS.contains(&method.as_str()) {
            return Some(Some(method));
        }
        let reason = format!("{cell:?} is no HTTP method; leave it empty for all methods");
        self.fault("method", reason)
    }

    /// A path prefix, without a slash at its end unless it is the root.
    pub(crate) fn path(&mut self) -> Option<String> {
        let cell = self.required("path")?;
        if !cell.starts_with('/') {
            return self.fault("path", format!("{cell:?} does not start with /"));
        }
        let is_plain = |c: char| c.is_ascii_graphic() && !"?#%\\".contains(c);
        if let Some(c) = cell.chars().find(|c| !is_plain(*c)) {
            return self.fault("path", format!("{c:?} is not allowed in a path"));
        }
        if cell.split('/').any(|segment| segment == "." || segment == "..") || cell.contains("//") {
            return self.fault("path", format!("{cell:?} has an empty, . or .. segment"));
        }
        let path = cell.trim_end_matches('/');
        Some(if path.is_empty() { "/".to_string() } else { path.to_string() })
    }

    /// Hashes of API keys, separated by spaces.
    pub(crate) fn key_hashes(&mut self) -> Option<Vec<KeyHash>> {
        let cell = self.row.cell("key_sha256").unwrap_or_default().to_string();
        let hashes: Vec<Option<KeyHash>> = cell
            .split_whitespace()
            .map(|hex| match parse_hash(hex) {
                Some(hash) => Some(hash),
                // The cell may hold a key by mistake, so it is not repeated.
                None => self.fault("key_sha256", "not a SHA-256 of 64 hexadecimal digits"),
            })
            .collect();
        hashes.into_iter().collect()
    }

    fn parse_number(&mut self, column: &str, cell: &str) -> Option<u64> {
        let is_plain = cell.bytes().all(|byte| byte.is_ascii_digit());
        match cell.parse::<u64>() {
            Ok(0) => self.fault(column, "must be at least 1"),
            Ok(number) if is_plain => Some(number),
            Err(_) if is_plain => self.fault(column, format!("{cell} is too large")),
            _ => self.fault(column, format!("{cell:?} is not a whole number in plain digits")),
        }
    }

    fn required(&mut self, column: &str) -> Option<String> {
        match self.row.cell(column) {
            Some(cell) => Some(cell.to_string()),
            None => self.fault(column, "must not be empty"),
        }
    }
}

fn parse_hash(hex: &str) -> Option<KeyHash> {
    let is_hex = hex.len() == 64 && hex.bytes().all(|byte| byte.is_ascii_hexdigit());
    let mut hash = KeyHash::default();
    if !is_hex {
        return None;
    }
    for (place, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * place..2 * place + 2], 16).ok()?;
    }
    Some(hash)
}
