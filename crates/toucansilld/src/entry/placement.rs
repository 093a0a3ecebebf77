//! Chooses the owner for a request from the owners' load digests.

use crate::sync::lock;
use control::{Configuration, Roster};
use fastrand::Rng;
use limit::Capacity;
use route::{
    ModelDigest, OwnerChoice, OwnerDigest, OwnerDigests, OwnerQuery, Refusal, choose_owner,
};
use serde_json::json;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Mutex,
    time::Instant,
};
use wire::{DaemonId, ModelId};

/// Chooses owners by the digests that this entry has received.
pub(crate) struct OwnerChooser {
    state: Mutex<State>,
}

struct State {
    digests: OwnerDigests,
    /// Models of each owner in a data centre in service.
    models: BTreeMap<DaemonId, Vec<ModelDigest>>,
    rng: Rng,
}

impl OwnerChooser {
    /// Chooser without any digest, for an entry of this data centre and region.
    pub(crate) fn new(data_centre: &str, region: &str) -> Self {
        let digests = OwnerDigests::new(String::from(data_centre), String::from(region));
        let state = State { digests, models: BTreeMap::new(), rng: Rng::new() };
        Self { state: Mutex::new(state) }
    }

    /// Applies a digest, and returns this daemon's share of the region's capacity: an equal part
    /// for each of `live_daemons`.
    pub(crate) fn update(
        &self,
        now: Instant,
        digest: OwnerDigest,
        live_daemons: usize,
    ) -> Capacity {
        let mut state = lock(&self.state);
        let daemon = digest.daemon.clone();
        let models = if digest.is_in_service { digest.models.clone() } else { Vec::new() };
        if state.digests.update(now, digest) {
            state.models.insert(daemon, models);
        }
        state.capacity(live_daemons.max(1))
    }

    /// Applies the configuration and the roster: forgets owners that have left, and the models of
    /// data centres out of service.
    pub(crate) fn set_view(&self, cfg: &Configuration, roster: &Roster) {
        let mut state = lock(&self.state);
        for data_centre in cfg.data_centres.keys() {
            let is_in_service = cfg.is_in_service(data_centre);
            state.digests.set_data_centre_in_service(data_centre, is_in_service);
        }
        let has_left = |daemon: &DaemonId| roster.member(daemon).is_none();
        let departed: Vec<DaemonId> =
            state.models.keys().filter(|daemon| has_left(daemon)).cloned().collect();
        for daemon in departed {
            state.models.remove(&daemon);
            state.digests.remove(&daemon);
        }
        // `GET /v1/models` must not list models of data centres out of service.
        state.models.retain(|daemon, _| {
            let member = roster.member(daemon);
            member.is_some_and(|member| cfg.is_in_service(&member.data_centre))
        });
    }

    /// Chooses an owner, and counts the prompt as sent to it until its next digest arrives.
    pub(crate) fn choose(&self, now: Instant, query: &OwnerQuery) -> Result<OwnerChoice, Refusal> {
        let mut state = lock(&self.state);
        let mut rng = state.rng.fork();
        let choice = choose_owner(&state.digests, now, query, &mut rng)?;
        state.digests.record_sent(&choice.owner, &query.model, query.prompt_tokens);
        Ok(choice)
    }

    /// Response body of `GET /v1/models`: the models that any owner serves, without plain services,
    /// whose names start with a slash.
    pub(crate) fn models_json(&self) -> String {
        let state = lock(&self.state);
        let names: BTreeSet<&ModelId> = state
            .models
            .values()
            .flatten()
            .filter(|digest| digest.upstreams_in_service > 0)
            .map(|digest| &digest.model)
            .filter(|model| !model.starts_with('/'))
            .collect();
        let data: Vec<_> = names.iter().map(|id| json!({"id": id, "object": "model"})).collect();
        json!({"object": "list", "data": data}).to_string()
    }
}

impl State {
    /// This daemon's share of the capacity of all engines, or the default while none is known.
    fn capacity(&self, live_daemons: usize) -> Capacity {
        let default = Capacity::default();
        let engines = || {
            let all = self.models.values().flatten();
            all.filter(|digest| digest.prefill_tokens_per_second > 0)
        };
        let prefill_rate: u64 = engines().map(|digest| digest.prefill_tokens_per_second).sum();
        if prefill_rate == 0 {
            return default;
        }
        let memory_tokens: u64 = engines()
            .map(|digest| digest.largest_memory_tokens * u64::from(digest.upstreams_in_service))
            .sum();
        let max_prefill_rate = engines().map(|digest| digest.mean_prefill_tokens_per_second).max();
        let daemons = live_daemons as u64;
        Capacity {
            tokens_in_flight: (memory_tokens / daemons).max(1),
            tokens_per_second: (prefill_rate / daemons).max(1),
            prefill_tokens_per_second: max_prefill_rate
                .unwrap_or(default.prefill_tokens_per_second),
            ..default
        }
    }
}
