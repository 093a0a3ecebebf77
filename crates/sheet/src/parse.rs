//! Checks a sheet as a whole.

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

/// Reads a sheet.
///
/// # Errors
///
/// Every fault of the sheet, by row; at most [`MAX_FAULTS`] of them.
pub fn parse(buf: &[u8]) -> Result<Sheet> {
    let mut faults = Vec::new();
    let rows = table::read(buf, &mut faults)?;
    let mut builder = Builder { faults, ..Builder::default() };
    rows.iter().for_each(|row| builder.add(row));
    builder.finish()
}

/// What the rows so far have led to.
#[derive(Default)]
struct Builder {
    number: Option<u64>,
    cfg: Configuration,
    /// First row of each thing.
    seen: BTreeMap<(&'static str, String), u64>,
    /// Routes by service, each with its row.
    routes: BTreeMap<String, Vec<(u64, ServiceRoute)>>,
    /// Row and organisation of each key.
    keys: BTreeMap<KeyHash, (u64, String)>,
    faults: Vec<SheetFault>,
}

impl Builder {
    fn add(&mut self, row: &Row) {
        let kind = row.cell("kind").unwrap_or_default().to_ascii_lowercase();
        // A row that names a thing counts as its row even if other cells are at
        // fault, so that one mistake is not listed again at every row after it.
        let added = match kind.as_str() {
            "sheet" => self.add_sheet(row),
            "organisation" => self.add_organisation(row),
            "data_centre" => self.add_data_centre(row),
            "service" => self.add_service(row),
            "route" => self.add_route(row),
            "model" => self.add_model(row),
            "upstream" => self.add_upstream(row),
            "" => self.cells(row).fault("kind", "must not be empty"),
            other => {
                let reason = format!(
                    "{other:?} is none of sheet, organisation, data_centre, service, route, \
                     model and upstream"
                );
                self.cells(row).fault("kind", reason)
            }
        };
        debug_assert!(added.is_some() || !self.faults.is_empty());
    }

    fn add_sheet(&mut self, row: &Row) -> Option<()> {
        let mut cells = self.cells(row);
        cells.only("sheet", &["name", "number"]);
        let region = cells.name("");
        let number = cells.number("number");
        self.once("sheet", "", row)?;
        // Kept even at fault: the row is there, so it is not reported as missing.
        self.number = Some(number.unwrap_or(0));
        self.cfg.region = region?;
        Some(())
    }

    fn add_organisation(&mut self, row: &Row) -> Option<()> {
        let mut cells = self.cells(row);
        let used = ["name", "priority", "weight", "tokens_per_second", "key_sha256"];
        cells.only("organisation", &used);
        let name = cells.name("");
        let priority = cells.priority();
        let weight = cells.weight();
        let tokens_per_second = cells.number("tokens_per_second");
        let key_hashes = cells.key_hashes();
        let name = name?;
        self.once("organisation", &name, row)?;
        let mut key_hashes = key_hashes?;
        self.check_keys(&name, &key_hashes, row)?;
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
        let mut cells = self.cells(row);
        cells.only("data_centre", &["name", "state"]);
        let name = cells.name("");
        let in_service = cells.either("state", "in", "out");
        let name = name?;
        self.once("data_centre", &name, row)?;
        let data_centre = DataCentre { in_service: in_service.unwrap_or(false) };
        self.cfg.data_centres.insert(name, data_centre);
        Some(())
    }

    fn add_service(&mut self, row: &Row) -> Option<()> {
        let mut cells = self.cells(row);
        cells.only("service", &["name"]);
        let name = cells.name("")?;
        self.once("service", &name, row)?;
        self.cfg.services.entry(name).or_default();
        Some(())
    }

    fn add_route(&mut self, row: &Row) -> Option<()> {
        let mut cells = self.cells(row);
        cells.only("route", &["name", "method", "path", "urgent", "never_twice"]);
        let service = cells.name("");
        let method = cells.method();
        let prefix = cells.path();
        let urgent = cells.either("urgent", "yes", "no");
        let never_twice = cells.either("never_twice", "yes", "no");
        let (service, method, prefix) = (service?, method?, prefix?);
        let name = route_name(&service, method.as_deref(), &prefix);
        self.once("route", &name, row)?;
        let repeat = if never_twice? { RetryPolicy::AtMostOnce } else { RetryPolicy::Idempotent };
        let route = ServiceRoute { method, prefix, urgent: urgent?, repeat };
        self.routes.entry(service).or_default().push((row.line, route));
        Some(())
    }

    fn add_model(&mut self, row: &Row) -> Option<()> {
        let mut cells = self.cells(row);
        cells.only("model", &["name", "max_prompt"]);
        let name = cells.name("/:");
        let max_prompt = cells.number("max_prompt");
        let name = name?;
        self.once("model", &name, row)?;
        self.cfg.models.insert(name, Model { max_prompt: max_prompt? });
        Some(())
    }

    fn add_upstream(&mut self, row: &Row) -> Option<()> {
        let mut cells = self.cells(row);
        cells.only("upstream", &["name", "state"]);
        let name = cells.name("/:");
        let is_up = cells.either("state", "up", "retired");
        let name = name?;
        self.once("upstream", &name, row)?;
        let directive = if is_up? { DesiredState::Up } else { DesiredState::Retired };
        self.cfg.upstreams.insert(name, directive);
        Some(())
    }

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
            return Err(sorted(self.faults));
        };
        Ok(Sheet { number, configuration: self.cfg })
    }

    fn add_routes(&mut self, service: &str, mut routes: Vec<(u64, ServiceRoute)>) {
        let Some(known) = self.cfg.services.get_mut(service) else {
            let reason = format!("no row of kind service has the name {service}");
            let faults =
                routes.iter().map(|(line, _)| SheetFault::new(*line, "name", reason.clone()));
            self.faults.extend(faults);
            return;
        };
        routes.sort_by(|(_, a), (_, b)| (&a.prefix, &a.method).cmp(&(&b.prefix, &b.method)));
        known.routes = routes.into_iter().map(|(_, route)| route).collect();
    }

    /// Notes a second row for the same thing.
    fn once(&mut self, kind: &'static str, name: &str, row: &Row) -> Option<()> {
        match self.seen.get(&(kind, name.to_string())) {
            Some(first) => {
                let reason = match name {
                    "" => format!("a row of kind {kind} is already in row {first}"),
                    name => format!("{kind} {name} is already in row {first}"),
                };
                self.cells(row).fault("name", reason)
            }
            None => {
                self.seen.insert((kind, name.to_string()), row.line);
                Some(())
            }
        }
    }

    fn check_keys(&mut self, name: &str, hashes: &[KeyHash], row: &Row) -> Option<()> {
        let mut is_free = Some(());
        for hash in hashes {
            let owner = self.keys.insert(*hash, (row.line, name.to_string()));
            if let Some((line, other)) = owner {
                let reason = format!("the key is already in row {line}, for {other}");
                is_free = self.cells(row).fault("key_sha256", reason);
            }
        }
        is_free
    }

    fn cells<'a>(&'a mut self, row: &'a Row) -> Cells<'a> {
        Cells { row, faults: &mut self.faults }
    }
}

/// What identifies a route.
pub(crate) fn route_name(service: &str, method: Option<&str>, prefix: &str) -> String {
    format!("{service} {} {prefix}", method.unwrap_or("*"))
}

fn sorted(mut faults: Vec<SheetFault>) -> Vec<SheetFault> {
    faults.sort();
    let more = faults.len().saturating_sub(MAX_FAULTS);
    if more > 0 {
        faults.truncate(MAX_FAULTS);
        faults.push(SheetFault::whole(format!("and {more} more faults")));
    }
    faults
}
