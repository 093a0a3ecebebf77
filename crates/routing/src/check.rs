//! Validation of routing documents.

use crate::{
    document::{Route, RoutingDocument},
    error::{Error, Result},
};
use std::collections::HashSet;

impl RoutingDocument {
    /// Checks that the document can be put in force: service names are unique, each route has a
    /// timeout, a valid prefix and known services with a weight, no two routes have the same host
    /// and prefix, and no two organisations have the same key.
    ///
    /// # Errors
    ///
    /// Names the route or organisation at fault.
    pub fn check(&self) -> Result<()> {
        let services: HashSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        if services.len() != self.services.len() {
            return Err(Error::new("services", "two have the same name"));
        }
        let mut hosts_and_prefixes = HashSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if !hosts_and_prefixes.insert((route.host.as_str(), route.prefix.as_str())) {
                return Err(route_error(route, "another route has the same host and prefix"));
            }
        }
        self.check_keys()
    }

    /// Checks that no two organisations have the same key.
    fn check_keys(&self) -> Result<()> {
        let mut keys = HashSet::new();
        for organisation in &self.organisations {
            let own_keys: HashSet<&String> = organisation.keys.iter().collect();
            if !own_keys.into_iter().all(|key| keys.insert(key)) {
                let place = format!("organisation {}", organisation.name);
                return Err(Error::new(place, "another organisation has the same key"));
            }
        }
        Ok(())
    }
}

fn check_route(route: &Route, services: &HashSet<&str>) -> Result<()> {
    if route.timeout.is_zero() {
        return Err(route_error(route, "the timeout is 0"));
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(route_error(route, "the prefix must begin and end with a slash"));
    }
    if let Some(unknown) = route.split.iter().find(|s| !services.contains(s.service.as_str())) {
        return Err(route_error(route, &format!("unknown service {}", unknown.service)));
    }
    if route.split.iter().all(|weighted| weighted.weight == 0) {
        return Err(route_error(route, "the weights add up to 0"));
    }
    Ok(())
}

/// An error at a route.
fn route_error(route: &Route, reason: &str) -> Error {
    Error::new(format!("route {}", route.name), reason)
}
