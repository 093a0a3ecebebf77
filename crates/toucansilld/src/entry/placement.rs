//! Choice of the owner for a request.

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

/// Digests of the owners as this entry knows them.
pub(crate) struct Placement {
    state: Mutex<State>,
}

struct State {
    digests: OwnerDigests,
    models: BTreeMap<DaemonId, Vec<ModelDigest>>,
    rng: Rng,
}

impl Placement {
    /// Without any digest.
    pub(crate) fn new(data_centre: &str, region: &str) -> Self {
        let digests = OwnerDigests::new(String::from(data_centre), String::from(region));
        let state = State { digests, models: BTreeMap::new(), rng: Rng::new() };
        Self { state: Mutex::new(state) }
    }

    /// Takes in a digest, and gives this daemon's part of the region's capacity.
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

    /// Takes in the configuration and the roster.
    pub(crate) fn set_view(&self, cfg: &Configuration, roster: &Roster) {
        let mut state = lock(&self.state);
        for data_centre in cfg.data_centres.keys() {
            let is_in = cfg.is_in_service(data_centre);
            state.digests.set_data_centre_in_service(data_centre, is_in);
        }
        let is_gone = |daemon: &DaemonId| roster.member(daemon).is_none();
        let gone: Vec<DaemonId> =
            state.models.keys().filter(|daemon| is_gone(daemon)).cloned().collect();
        for daemon in gone {
            state.models.remove(&daemon);
            state.digests.remove(&daemon);
        }
        // What stands in a data centre out of service is not on offer.
        state.models.retain(|daemon, _| {
            let member = roster.member(daemon);
            member.is_some_and(|member| cfg.is_in_service(&member.data_centre))
        });
    }

    /// Chooses an owner and counts the prompt as sent to it.
    pub(crate) fn choose(&self, now: Instant, ask: &OwnerQuery) -> Result<OwnerChoice, Refusal> {
        let mut state = lock(&self.state);
        let mut rng = state.rng.fork();
        let choice = choose_owner(&state.digests, now, ask, &mut rng)?;
        state.digests.record_sent(&choice.owner, &ask.model, ask.prompt_tokens);
        Ok(choice)
    }

    /// The models that any owner serves, as `GET /v1/models` gives them.
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
    fn capacity(&self, live_daemons: usize) -> Capacity {
        let default = Capacity::default();
        let engines = || {
            let all = self.models.values().flatten();
            all.filter(|digest| digest.prefill_tokens_per_second > 0)
        };
        let prefill: u64 = engines().map(|digest| digest.prefill_tokens_per_second).sum();
        if prefill == 0 {
            return default;
        }
        let memory: u64 = engines()
            .map(|digest| digest.largest_memory_tokens * u64::from(digest.upstreams_in_service))
            .sum();
        let fastest = engines().map(|digest| digest.mean_prefill_tokens_per_second).max();
        let daemons = live_daemons as u64;
        Capacity {
            tokens_in_flight: (memory / daemons).max(1),
            tokens_per_second: (prefill / daemons).max(1),
            prefill_tokens_per_second: fastest.unwrap_or(default.prefill_tokens_per_second),
            ..default
        }
    }
}
