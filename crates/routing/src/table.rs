//! Lookup of routes and keys.

use crate::document::{Organisation, Route, RoutingDocument, Service};
use std::collections::HashMap;
use wire::ServiceId;

/// A document with the indexes that the data path needs.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    routing: RoutingDocument,
    /// Indexes of routes by host, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
}

impl RoutingTable {
    /// Indexes a checked document.
    pub fn new(routing: RoutingDocument) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (i, route) in routing.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(i);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|i| std::cmp::Reverse(routing.routes[*i].prefix.len()));
        }
        let keys = routing.organisations.iter().enumerate();
        let by_key = keys.flat_map(|(i, o)| o.keys.iter().map(move |k| (k.clone(), i))).collect();
        Self { routing, by_host, by_key }
    }

    /// The document.
    pub fn document(&self) -> &RoutingDocument {
        &self.routing
    }

    /// The route with the longest prefix that begins the path, among those of the host.
    /// A port in `host` is ignored, as is its case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.by_host.get(&name)?.iter().map(|i| &self.routing.routes[*i]);
        routes.into_iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        self.by_key.get(key).map(|i| &self.routing.organisations[*i])
    }

    /// Whether requests on a route need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        route.needs_key && !self.routing.organisations.is_empty()
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.routing.service(name)
    }
}

impl Route {
    /// The service that a point in `[0, 1)` falls on, by the weights of the split.
    pub fn pick(&self, point: f64) -> Option<&ServiceId> {
        let total: u64 = self.split.iter().map(|share| share.weight).sum();
        let mut left = point * total as f64;
        let mut weighted = self.split.iter().filter(|share| share.weight > 0);
        let hit = weighted.clone().find(|share| {
            left -= share.weight as f64;
            left < 0.0
        });
        hit.or(weighted.next_back()).map(|share| &share.service)
    }
}
