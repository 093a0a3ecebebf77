//! Lookup of routes and keys.

use crate::document::{Organisation, Route, RoutingDocument, Service};
use std::collections::HashMap;
use wire::ServiceId;

/// A routing document with the indices that the lookups for each request need.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    document: RoutingDocument,
    /// Indices of the routes by lower-case host, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Indices of the organisations by key.
    by_key: HashMap<String, usize>,
}

impl RoutingTable {
    /// Builds the indices of a document that [`RoutingDocument::check`] accepts.
    pub fn new(document: RoutingDocument) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (i, route) in document.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(i);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|i| std::cmp::Reverse(document.routes[*i].prefix.len()));
        }
        let keys = document.organisations.iter().enumerate();
        let by_key = keys.flat_map(|(i, o)| o.keys.iter().map(move |k| (k.clone(), i))).collect();
        Self { document, by_host, by_key }
    }

    /// The document that the table was built from.
    pub fn document(&self) -> &RoutingDocument {
        &self.document
    }

    /// The route of a host with the longest prefix that matches the path. The case of `host` and a
    /// port in it are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.by_host.get(&name)?.iter().map(|i| &self.document.routes[*i]);
        routes.into_iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The organisation that a key belongs to.
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        self.by_key.get(key).map(|i| &self.document.organisations[*i])
    }

    /// Whether requests on a route need a key: the route requires one and the document has
    /// organisations.
    pub fn needs_key(&self, route: &Route) -> bool {
        route.needs_key && !self.document.organisations.is_empty()
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.document.service(name)
    }
}

impl Route {
    /// The service for a request, chosen by the weights of the split: `point`, from `[0, 1)`, is a
    /// position in the range of all weights. `None` if all weights are 0.
    pub fn pick(&self, point: f64) -> Option<&ServiceId> {
        let total: u64 = self.split.iter().map(|weighted| weighted.weight).sum();
        let mut remaining = point * total as f64;
        let mut positive = self.split.iter().filter(|weighted| weighted.weight > 0);
        let chosen = positive.clone().find(|weighted| {
            remaining -= weighted.weight as f64;
            remaining < 0.0
        });
        chosen.or(positive.next_back()).map(|weighted| &weighted.service)
    }
}
