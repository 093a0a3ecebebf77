//! Whether a document can be put in force.

use crate::{
    document::{Route, RoutingDocument},
    error::{Error, Result},
};
use std::collections::HashSet;

impl RoutingDocument {
    /// Checks that each route leads somewhere and that each key names one organisation.
    ///
    /// # Errors
    ///
    /// Names the route or organisation at fault.
    pub fn check(&self) -> Result<()> {
        let services: HashSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        if services.len() != self.services.len() {
            return Err(Error::new("services", "two have the same name"));
        }
        let mut places = HashSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if !places.insert((route.host.as_str(), route.prefix.as_str())) {
                return Err(at(route, "another route has the same host and prefix"));
            }
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<()> {
        let mut keys = HashSet::new();
        for organisation in &self.organisations {
            let own: HashSet<&String> = organisation.keys.iter().collect();
            if !own.into_iter().all(|key| keys.insert(key)) {
                let place = format!("organisation {}", organisation.name);
                return Err(Error::new(place, "another organisation has the same key"));
            }
        }
        Ok(())
    }
}

fn check_route(route: &Route, services: &HashSet<&str>) -> Result<()> {
    if route.timeout.is_zero() {
        return Err(at(route, "the timeout is 0"));
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(at(route, "the prefix must begin and end with a slash"));
    }
    if let Some(unknown) = route.split.iter().find(|s| !services.contains(s.service.as_str())) {
        return Err(at(route, &format!("unknown service {}", unknown.service)));
    }
    if route.split.iter().all(|share| share.weight == 0) {
        return Err(at(route, "the weights add up to 0"));
    }
    Ok(())
}

fn at(route: &Route, reason: &str) -> Error {
    Error::new(format!("route {}", route.name), reason)
}
