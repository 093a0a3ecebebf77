//! Differences between two configurations.

use crate::configuration::{Configuration, DataCentre, DesiredState, Model, Organisation, Service};
use bincode::{Decode, Encode};
use std::collections::BTreeMap;
use wire::RegionId;

/// Difference between two versions of one section of the configuration.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct MapDelta<V> {
    /// Entries that are new or whose value changed, with the new value.
    pub put: BTreeMap<String, V>,
    /// Names of entries that were removed.
    pub removed: Vec<String>,
}

impl<V: Clone + PartialEq> MapDelta<V> {
    fn between(old: &BTreeMap<String, V>, new: &BTreeMap<String, V>) -> Self {
        let put = new
            .iter()
            .filter(|(name, value)| old.get(*name) != Some(*value))
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect();
        let removed = old.keys().filter(|name| !new.contains_key(*name)).cloned().collect();
        Self { put, removed }
    }

    fn apply(&self, map: &mut BTreeMap<String, V>) {
        self.removed.iter().for_each(|name| {
            map.remove(name);
        });
        map.extend(self.put.iter().map(|(name, value)| (name.clone(), value.clone())));
    }
}

/// Difference between two configurations.
///
/// The sheet that operators apply in the morning changes a few rows out of
/// hundreds, so daemons are sent only the changed entries.
///
/// ```
/// use control::{Configuration, ConfigurationDelta, DataCentre};
///
/// let old = Configuration::new("west-java");
/// let mut new = old.clone();
/// new.data_centres.insert("bandung".to_string(), DataCentre { in_service: true });
/// let delta = ConfigurationDelta::between(&old, &new);
/// let mut replica = old;
/// delta.apply(&mut replica);
/// assert_eq!(replica, new);
/// ```
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct ConfigurationDelta {
    /// Region of the newer configuration.
    pub region: RegionId,
    /// Changed organisations.
    pub organisations: MapDelta<Organisation>,
    /// Changed data centres.
    pub data_centres: MapDelta<DataCentre>,
    /// Changed services.
    pub services: MapDelta<Service>,
    /// Changed models.
    pub models: MapDelta<Model>,
    /// Changed desired states of upstreams.
    pub upstreams: MapDelta<DesiredState>,
}

impl ConfigurationDelta {
    /// Returns the difference that turns `old` into `new`.
    pub fn between(old: &Configuration, new: &Configuration) -> Self {
        Self {
            region: new.region.clone(),
            organisations: MapDelta::between(&old.organisations, &new.organisations),
            data_centres: MapDelta::between(&old.data_centres, &new.data_centres),
            services: MapDelta::between(&old.services, &new.services),
            models: MapDelta::between(&old.models, &new.models),
            upstreams: MapDelta::between(&old.upstreams, &new.upstreams),
        }
    }

    /// Turns the older configuration into the newer one.
    pub fn apply(&self, configuration: &mut Configuration) {
        configuration.region.clone_from(&self.region);
        self.organisations.apply(&mut configuration.organisations);
        self.data_centres.apply(&mut configuration.data_centres);
        self.services.apply(&mut configuration.services);
        self.models.apply(&mut configuration.models);
        self.upstreams.apply(&mut configuration.upstreams);
    }
}
