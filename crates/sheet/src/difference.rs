//! What a sheet would change, in lines that operators read.

use crate::render::{directive_word, hex, in_out, yes_no};
use control::{Configuration, DesiredState, Model, Organisation, RetryPolicy, ServiceRoute};
use std::{collections::BTreeMap, fmt};

/// Digits of a key's hash that are shown.
const KEY_DIGITS: usize = 8;

/// One thing that differs between two configurations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Difference {
    /// Kind of the thing, such as `data centre`.
    pub kind: &'static str,
    /// Its name.
    pub name: String,
    /// How it differs.
    pub change: DifferenceKind,
}

/// How a thing differs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DifferenceKind {
    /// It is only in the newer configuration.
    Added(Vec<Field>),
    /// It is only in the older configuration.
    Removed,
    /// Some of its fields differ.
    Changed(Vec<FieldChange>),
}

/// A field and its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Field {
    /// Name of the field.
    pub name: &'static str,
    /// Its value.
    pub value: String,
}

/// A field whose value differs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldChange {
    /// Name of the field.
    pub name: &'static str,
    /// Value in the older configuration.
    pub from: String,
    /// Value in the newer configuration.
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

/// What differs between two configurations, by kind and name.
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
    let (old, new) = (things(old), things(new));
    let removed = old
        .iter()
        .filter(|(id, _)| !new.contains_key(*id))
        .map(|(id, _)| id.differs(DifferenceKind::Removed));
    let changed = new.iter().filter_map(|(id, fields)| match old.get(id) {
        None => Some(id.differs(DifferenceKind::Added(fields.clone()))),
        Some(before) if before == fields => None,
        Some(before) => Some(id.differs(DifferenceKind::Changed(field_changes(before, fields)))),
    });
    let mut differences: Vec<Difference> = removed.chain(changed).collect();
    differences.sort_by(|a, b| (a.kind, &a.name).cmp(&(b.kind, &b.name)));
    differences
}

/// Kind and name of a thing.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct Id {
    kind: &'static str,
    name: String,
}

impl Id {
    fn differs(&self, change: DifferenceKind) -> Difference {
        Difference { kind: self.kind, name: self.name.clone(), change }
    }
}

/// All things of a configuration with their fields; a kind's fields are always
/// the same and in the same order.
fn things(cfg: &Configuration) -> BTreeMap<Id, Vec<Field>> {
    let region = (id("region", &cfg.region), Vec::new());
    let organisations = cfg
        .organisations
        .iter()
        .map(|(name, value)| (id("organisation", name), of_organisation(value)));
    let data_centres = cfg.data_centres.iter().map(|(name, value)| {
        (id("data centre", name), vec![field("state", in_out(value.in_service))])
    });
    let services = cfg.services.keys().map(|name| (id("service", name), Vec::new()));
    let routes = cfg.services.iter().flat_map(|(name, service)| {
        service.routes.iter().map(move |route| (route_id(name, route), of_route(route)))
    });
    let models = cfg.models.iter().map(|(name, value)| (id("model", name), of_model(*value)));
    let upstreams =
        cfg.upstreams.iter().map(|(name, value)| (id("upstream", name), of_upstream(*value)));
    std::iter::once(region)
        .chain(organisations)
        .chain(data_centres)
        .chain(services)
        .chain(routes)
        .chain(models)
        .chain(upstreams)
        .collect()
}

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

fn id(kind: &'static str, name: &str) -> Id {
    Id { kind, name: name.to_string() }
}

fn route_id(service: &str, route: &ServiceRoute) -> Id {
    id("route", &crate::parse::route_name(service, route.method.as_deref(), &route.prefix))
}

fn field(name: &'static str, value: impl fmt::Display) -> Field {
    Field { name, value: value.to_string() }
}

fn of_organisation(organisation: &Organisation) -> Vec<Field> {
    let keys: Vec<String> = organisation
        .key_hashes
        .iter()
        .map(|hash| hex(hash).chars().take(KEY_DIGITS).collect())
        .collect();
    let keys = if keys.is_empty() { "none".to_string() } else { keys.join(" ") };
    vec![
        field("priority", organisation.priority.as_str()),
        field("weight", organisation.weight),
        field("tokens_per_second", organisation.tokens_per_second),
        field("keys", keys),
    ]
}

fn of_route(route: &ServiceRoute) -> Vec<Field> {
    vec![
        field("urgent", yes_no(route.urgent)),
        field("never_twice", yes_no(route.repeat == RetryPolicy::AtMostOnce)),
    ]
}

fn of_model(model: Model) -> Vec<Field> {
    vec![field("max_prompt", model.max_prompt)]
}

fn of_upstream(directive: DesiredState) -> Vec<Field> {
    vec![field("state", directive_word(directive))]
}
