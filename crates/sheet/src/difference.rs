//! Differences between two configurations, written as lines for operators.

use crate::render::{hex, in_out, state_word, yes_no};
use control::{Configuration, DesiredState, Model, Organisation, RetryPolicy, ServiceRoute};
use std::{collections::BTreeMap, fmt};

/// Number of hexadecimal digits of a key hash that are shown.
const SHOWN_KEY_DIGITS: usize = 8;

/// An item (data centre, organisation, route, ...) that differs between two configurations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Difference {
    /// Kind of the item, such as `data centre`.
    pub kind: &'static str,
    /// Name of the item. For a route: service, method (`*` for all) and path prefix.
    pub name: String,
    /// How it differs.
    pub change: DifferenceKind,
}

/// How an item differs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DifferenceKind {
    /// The item exists only in the new configuration; holds all its fields.
    Added(Vec<Field>),
    /// The item exists only in the old configuration.
    Removed,
    /// The item exists in both; holds the fields whose values differ.
    Changed(Vec<FieldChange>),
}

/// A field of an item and its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Field {
    /// Name of the field.
    pub name: &'static str,
    /// Value, as operators read it.
    pub value: String,
}

/// A field whose value differs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldChange {
    /// Name of the field.
    pub name: &'static str,
    /// Value in the old configuration.
    pub from: String,
    /// Value in the new configuration.
    pub to: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: ", self.kind, self.name)?;
        match &self.change {
            DifferenceKind::Removed => write!(f, "removed"),
            DifferenceKind::Added(fields) if fields.is_empty() => write!(f, "added"),
            DifferenceKind::Added(fields) => {
                let fields = fields.iter().map(|field| format!("{} {}", field.name, field.value));
                write!(f, "added with {}", fields.collect::<Vec<String>>().join(", "))
            }
            DifferenceKind::Changed(changes) => {
                let changes = changes
                    .iter()
                    .map(|FieldChange { name, from, to }| format!("{name} {from} -> {to}"));
                write!(f, "{}", changes.collect::<Vec<String>>().join(", "))
            }
        }
    }
}

/// Lists what differs between two configurations, sorted by kind and name.
///
/// ```
/// use control::{Configuration, DesiredState};
///
/// let old = Configuration::new("west-java");
/// let mut new = old.clone();
/// new.upstreams.insert("engine-4".to_string(), DesiredState::Retired);
/// let lines: Vec<String> =
///     sheet::difference(&old, &new).iter().map(ToString::to_string).collect();
/// assert_eq!(lines, ["upstream engine-4: added with state retired"]);
/// ```
pub fn difference(old: &Configuration, new: &Configuration) -> Vec<Difference> {
    let (old, new) = (items(old), items(new));
    let removed = old
        .iter()
        .filter(|(id, _)| !new.contains_key(*id))
        .map(|(id, _)| id.to_difference(DifferenceKind::Removed));
    let changed = new.iter().filter_map(|(id, fields)| match old.get(id) {
        None => Some(id.to_difference(DifferenceKind::Added(fields.clone()))),
        Some(before) if before == fields => None,
        Some(before) => {
            Some(id.to_difference(DifferenceKind::Changed(field_changes(before, fields))))
        }
    });
    let mut differences: Vec<Difference> = removed.chain(changed).collect();
    differences.sort_by(|a, b| (a.kind, &a.name).cmp(&(b.kind, &b.name)));
    differences
}

/// Kind and name of an item.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct ItemId {
    kind: &'static str,
    name: String,
}

impl ItemId {
    fn to_difference(&self, change: DifferenceKind) -> Difference {
        Difference { kind: self.kind, name: self.name.clone(), change }
    }
}

/// All items of a configuration with their fields. Items of one kind have the same fields in
/// the same order, which [`field_changes`] relies on.
fn items(cfg: &Configuration) -> BTreeMap<ItemId, Vec<Field>> {
    let region = (item_id("region", &cfg.region), Vec::new());
    let organisations = cfg
        .organisations
        .iter()
        .map(|(name, value)| (item_id("organisation", name), organisation_fields(value)));
    let data_centres = cfg.data_centres.iter().map(|(name, value)| {
        (item_id("data centre", name), vec![field("state", in_out(value.in_service))])
    });
    let services = cfg.services.keys().map(|name| (item_id("service", name), Vec::new()));
    let routes = cfg.services.iter().flat_map(|(name, service)| {
        service.routes.iter().map(move |route| (route_id(name, route), route_fields(route)))
    });
    let models =
        cfg.models.iter().map(|(name, value)| (item_id("model", name), model_fields(*value)));
    let upstreams = cfg
        .upstreams
        .iter()
        .map(|(name, value)| (item_id("upstream", name), upstream_fields(*value)));
    std::iter::once(region)
        .chain(organisations)
        .chain(data_centres)
        .chain(services)
        .chain(routes)
        .chain(models)
        .chain(upstreams)
        .collect()
}

/// Fields whose values differ, of two items of the same kind.
fn field_changes(old: &[Field], new: &[Field]) -> Vec<FieldChange> {
    old.iter()
        .zip(new)
        .filter(|(old, new)| old.value != new.value)
        .map(|(old, new)| FieldChange {
            name: new.name,
            from: old.value.clone(),
            to: new.value.clone(),
        })
        .collect()
}

fn item_id(kind: &'static str, name: &str) -> ItemId {
    ItemId { kind, name: name.to_string() }
}

fn route_id(service: &str, route: &ServiceRoute) -> ItemId {
    item_id("route", &crate::parse::route_name(service, route.method.as_deref(), &route.prefix))
}

fn field(name: &'static str, value: impl fmt::Display) -> Field {
    Field { name, value: value.to_string() }
}

fn organisation_fields(organisation: &Organisation) -> Vec<Field> {
    let keys: Vec<String> = organisation
        .key_hashes
        .iter()
        .map(|hash| hex(hash).chars().take(SHOWN_KEY_DIGITS).collect())
        .collect();
    let keys = if keys.is_empty() { "none".to_string() } else { keys.join(" ") };
    vec![
        field("priority", organisation.priority.as_str()),
        field("weight", organisation.weight),
        field("tokens_per_second", organisation.tokens_per_second),
        field("keys", keys),
    ]
}

fn route_fields(route: &ServiceRoute) -> Vec<Field> {
    vec![
        field("urgent", yes_no(route.urgent)),
        field("never_twice", yes_no(route.repeat == RetryPolicy::AtMostOnce)),
    ]
}

fn model_fields(model: Model) -> Vec<Field> {
    vec![field("max_prompt", model.max_prompt)]
}

fn upstream_fields(state: DesiredState) -> Vec<Field> {
    vec![field("state", state_word(state))]
}
