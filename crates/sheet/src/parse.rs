//! Builds a configuration from the rows of a sheet and checks that they are consistent.

use crate::{
    cell::Cells,
    fault::{Result, SheetFault},
    model::Sheet,
    table::{self, MAX_FAULTS, Row},
};
use control::{
    Configuration, DataCentre, DesiredState, KeyHash, Model, Organisation, RetryPolicy,
    ServiceRoute,
};
use std::collections::BTreeMap;

/// Parses a sheet from the bytes of a CSV file.
///
/// # Errors
///
/// All faults of the sheet, sorted by row. After [`MAX_FAULTS`] of them, one more entry
/// states how many were left out. If the file as a whole can't be read, only the faults that
/// prevent it, such as those of its size, encoding or header.
pub fn parse(buf: &[u8]) -> Result<Sheet> {
    let mut faults = Vec::new();
    let rows = table::read(buf, &mut faults)?;
    let mut builder = Builder { faults, ..Builder::default() };
    rows.iter().for_each(|row| builder.add_row(row));
    builder.finish()
}

/// State accumulated over the rows read so far.
#[derive(Default)]
struct Builder {
    number: Option<u64>,
    cfg: Configuration,
    /// Line of the first row of each item, by kind and name.
    first_rows: BTreeMap<(&'static str, String), u64>,
    /// Routes by service, each with the line of its row. They are attached to their services
    /// at the end, as rows may come in any order.
    routes: BTreeMap<String, Vec<(u64, ServiceRoute)>>,
    /// Line and organisation of each key hash.
    key_owners: BTreeMap<KeyHash, (u64, String)>,
    faults: Vec<SheetFault>,
}

impl Builder {
    fn add_row(&mut self, row: &Row) {
        let kind = row.cell("kind").unwrap_or_default().to_ascii_lowercase();
        // A row with a valid name registers its item even if other cells have faults, so that
        // later rows that refer to the item do not repeat the fault.
        let added = match kind.as_str() {
            "sheet" => self.add_sheet(row),
            "organisation" => self.add_organisation(row),
            "data_centre" => self.add_data_centre(row),
            "service" => self.add_service(row),
            "route" => self.add_route(row),
            "model" => self.add_model(row),
            "upstream" => self.add_upstream(row),
            "" => self.row_cells(row).add_fault("kind", "must not be empty"),
            other => {
                let reason = format!(
                    "{other:?} is none of sheet, organisation, data_centre, service, route, \
                     model and upstream"
                );
                self.row_cells(row).add_fault("kind", reason)
            }
        };
        debug_assert!(added.is_some() || !self.faults.is_empty());
    }

    fn add_sheet(&mut self, row: &Row) -> Option<()> {
        let mut cells = self.row_cells(row);
        cells.reject_unused_columns("sheet", &["name", "number"]);
        let region = cells.parse_name("");
        let number = cells.parse_positive("number");
        self.register_item("sheet", "", row)?;
        // Set even if the number has a fault, so that the sheet row is not reported as missing.
        self.number = Some(number.unwrap_or(0));
        self.cfg.region = region?;
        Some(())
    }

    fn add_organisation(&mut self, row: &Row) -> Option<()> {
        let mut cells = self.row_cells(row);
        let used = ["name", "priority", "weight", "tokens_per_second", "key_sha256"];
        cells.reject_unused_columns("organisation", &used);
        let name = cells.parse_name("");
        let priority = cells.parse_priority();
        let weight = cells.parse_weight();
        let tokens_per_second = cells.parse_positive("tokens_per_second");
        let key_hashes = cells.parse_key_hashes();
        let name = name?;
        self.register_item("organisation", &name, row)?;
        let mut key_hashes = key_hashes?;
        self.check_key_owners(&name, &key_hashes, row)?;
        key_hashes.sort_unstable();
        let organisation = Organisation {
            priority: priority?,
            weight: weight?,
            tokens_per_second: tokens_per_second?,
            key_hashes,
        };
        self.cfg.organisations.insert(name, organisation);
        Some(())
    }

    fn add_data_centre(&mut self, row: &Row) -> Option<()> {
        let mut cells = self.row_cells(row);
        cells.reject_unused_columns("data_centre", &["name", "state"]);
        let name = cells.parse_name("");
        let in_service = cells.parse_choice("state", "in", "out");
        let name = name?;
        self.register_item("data_centre", &name, row)?;
        let data_centre = DataCentre { in_service: in_service.unwrap_or(false) };
        self.cfg.data_centres.insert(name, data_centre);
        Some(())
    }

    fn add_service(&mut self, row: &Row) -> Option<()> {
        let mut cells = self.row_cells(row);
        cells.reject_unused_columns("service", &["name"]);
        let name = cells.parse_name("")?;
        self.register_item("service", &name, row)?;
        self.cfg.services.entry(name).or_default();
        Some(())
    }

    fn add_route(&mut self, row: &Row) -> Option<()> {
        let mut cells = self.row_cells(row);
        cells.reject_unused_columns("route", &["name", "method", "path", "urgent", "never_twice"]);
        let service = cells.parse_name("");
        let method = cells.parse_method();
        let prefix = cells.parse_path();
        let urgent = cells.parse_choice("urgent", "yes", "no");
        let never_twice = cells.parse_choice("never_twice", "yes", "no");
        let (service, method, prefix) = (service?, method?, prefix?);
        let name = route_name(&service, method.as_deref(), &prefix);
        self.register_item("route", &name, row)?;
        let repeat = if never_twice? { RetryPolicy::AtMostOnce } else { RetryPolicy::Idempotent };
        let route = ServiceRoute { method, prefix, urgent: urgent?, repeat };
        self.routes.entry(service).or_default().push((row.line, route));
        Some(())
    }

    fn add_model(&mut self, row: &Row) -> Option<()> {
        let mut cells = self.row_cells(row);
        cells.reject_unused_columns("model", &["name", "max_prompt"]);
        let name = cells.parse_name("/:");
        let max_prompt = cells.parse_positive("max_prompt");
        let name = name?;
        self.register_item("model", &name, row)?;
        self.cfg.models.insert(name, Model { max_prompt: max_prompt? });
        Some(())
    }

    fn add_upstream(&mut self, row: &Row) -> Option<()> {
        let mut cells = self.row_cells(row);
        cells.reject_unused_columns("upstream", &["name", "state"]);
        let name = cells.parse_name("/:");
        let is_up = cells.parse_choice("state", "up", "retired");
        let name = name?;
        self.register_item("upstream", &name, row)?;
        let state = if is_up? { DesiredState::Up } else { DesiredState::Retired };
        self.cfg.upstreams.insert(name, state);
        Some(())
    }

    /// Attaches the routes to their services and checks what concerns the whole sheet.
    fn finish(mut self) -> Result<Sheet> {
        let routes = std::mem::take(&mut self.routes);
        routes.into_iter().for_each(|(service, routes)| self.add_routes(&service, routes));
        if self.number.is_none() {
            let reason = "no row of kind sheet, which gives region and number";
            self.faults.push(SheetFault::whole(reason));
        } else if self.cfg.data_centres.is_empty() {
            self.faults.push(SheetFault::whole("no row of kind data_centre"));
        }
        let Some(number) = self.number.filter(|_| self.faults.is_empty()) else {
            return Err(sort_and_truncate(self.faults));
        };
        Ok(Sheet { number, configuration: self.cfg })
    }

    /// Attaches the routes of a service, in a fixed order so that the digest does not depend
    /// on the order of rows.
    fn add_routes(&mut self, service: &str, mut routes: Vec<(u64, ServiceRoute)>) {
        let Some(declared) = self.cfg.services.get_mut(service) else {
            let reason = format!("no row of kind service has the name {service}");
            let faults =
                routes.iter().map(|(line, _)| SheetFault::new(*line, "name", reason.clone()));
            self.faults.extend(faults);
            return;
        };
        routes.sort_by(|(_, a), (_, b)| (&a.prefix, &a.method).cmp(&(&b.prefix, &b.method)));
        declared.routes = routes.into_iter().map(|(_, route)| route).collect();
    }

    /// Registers an item, or adds a fault if an earlier row has the same kind and name.
    fn register_item(&mut self, kind: &'static str, name: &str, row: &Row) -> Option<()> {
        match self.first_rows.get(&(kind, name.to_string())) {
            Some(first) => {
                let reason = match name {
                    "" => format!("a row of kind {kind} is already in row {first}"),
                    name => format!("{kind} {name} is already in row {first}"),
                };
                self.row_cells(row).add_fault("name", reason)
            }
            None => {
                self.first_rows.insert((kind, name.to_string()), row.line);
                Some(())
            }
        }
    }

    /// Adds a fault for each key hash that an earlier row already has: a key identifies one
    /// organisation.
    fn check_key_owners(&mut self, name: &str, hashes: &[KeyHash], row: &Row) -> Option<()> {
        let mut result = Some(());
        for hash in hashes {
            let owner = self.key_owners.insert(*hash, (row.line, name.to_string()));
            if let Some((line, other)) = owner {
                let reason = format!("the key is already in row {line}, for {other}");
                result = self.row_cells(row).add_fault("key_sha256", reason);
            }
        }
        result
    }

    fn row_cells<'a>(&'a mut self, row: &'a Row) -> Cells<'a> {
        Cells { row, faults: &mut self.faults }
    }
}

/// Name that identifies a route: service, method (`*` for all) and path prefix.
pub(crate) fn route_name(service: &str, method: Option<&str>, prefix: &str) -> String {
    format!("{service} {} {prefix}", method.unwrap_or("*"))
}

/// Sorts the faults by row and keeps at most [`MAX_FAULTS`], plus one that counts the rest.
fn sort_and_truncate(mut faults: Vec<SheetFault>) -> Vec<SheetFault> {
    faults.sort();
    let more = faults.len().saturating_sub(MAX_FAULTS);
    if more > 0 {
        faults.truncate(MAX_FAULTS);
        faults.push(SheetFault::whole(format!("and {more} more faults")));
    }
    faults
}
