//! Renders a sheet as CSV.

use crate::{model::Sheet, table::COLUMNS};
use control::{DesiredState, KeyHash, Organisation, RetryPolicy, ServiceRoute};

/// Cells of one row, by column.
type Cells = Vec<(&'static str, String)>;

pub(crate) fn render(sheet: &Sheet) -> String {
    let cfg = &sheet.configuration;
    let mut writer = CsvWriter::default();
    writer.row("sheet", &cfg.region, vec![("number", sheet.number.to_string())]);
    cfg.organisations.iter().for_each(|(name, value)| writer.organisation(name, value));
    for (name, value) in &cfg.data_centres {
        writer.row("data_centre", name, vec![("state", in_out(value.in_service).to_string())]);
    }
    for (name, service) in &cfg.services {
        writer.row("service", name, Vec::new());
        service.routes.iter().for_each(|route| writer.route(name, route));
    }
    for (name, model) in &cfg.models {
        writer.row("model", name, vec![("max_prompt", model.max_prompt.to_string())]);
    }
    for (name, state) in &cfg.upstreams {
        writer.row("upstream", name, vec![("state", state_word(*state).to_string())]);
    }
    writer.finish()
}

/// Hash in lower-case hexadecimal digits.
pub(crate) fn hex(hash: &KeyHash) -> String {
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Name of an upstream's state in a sheet.
pub(crate) fn state_word(state: DesiredState) -> &'static str {
    match state {
        DesiredState::Up => "up",
        DesiredState::Retired => "retired",
    }
}

pub(crate) fn in_out(in_service: bool) -> &'static str {
    if in_service { "in" } else { "out" }
}

pub(crate) fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

/// Collects the rows of a CSV file.
#[derive(Default)]
struct CsvWriter {
    lines: Vec<String>,
}

impl CsvWriter {
    /// Adds a row. Cells need no quotes because the parser rejects names and paths that contain
    /// a comma or a quote.
    fn row(&mut self, kind: &str, name: &str, cells: Cells) {
        let cell = |column: &str| match column {
            "kind" => kind,
            "name" => name,
            column => cells.iter().find(|(name, _)| *name == column).map_or("", |(_, cell)| cell),
        };
        let line: Vec<&str> = COLUMNS.into_iter().map(cell).collect();
        self.lines.push(line.join(","));
    }

    fn organisation(&mut self, name: &str, organisation: &Organisation) {
        let keys: Vec<String> = organisation.key_hashes.iter().map(hex).collect();
        let cells = vec![
            ("priority", organisation.priority.as_str().to_string()),
            ("weight", organisation.weight.to_string()),
            ("tokens_per_second", organisation.tokens_per_second.to_string()),
            ("key_sha256", keys.join(" ")),
        ];
        self.row("organisation", name, cells);
    }

    fn route(&mut self, service: &str, route: &ServiceRoute) {
        let cells = vec![
            ("method", route.method.clone().unwrap_or_else(|| "*".to_string())),
            ("path", route.prefix.clone()),
            ("urgent", yes_no(route.urgent).to_string()),
            ("never_twice", yes_no(route.repeat == RetryPolicy::AtMostOnce).to_string()),
        ];
        self.row("route", service, cells);
    }

    fn finish(self) -> String {
        let header: Vec<&str> = COLUMNS.into_iter().collect();
        let lines = std::iter::once(header.join(",")).chain(self.lines);
        lines.map(|line| line + "\n").collect()
    }
}
