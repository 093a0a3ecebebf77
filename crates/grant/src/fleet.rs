//! The engines of one service, as the dispatcher knows them.

use crate::{
    directory::{Directory, Revision, TimestampSlot},
    engine::Engine,
    pace::Pace,
};
use routing::EngineProfile;
use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};
use wire::UpstreamId;

/// An upstream with the state of its engine.
#[derive(Debug)]
pub(crate) struct FleetEngine {
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    /// Start time of the run that the state belongs to.
    started_at_ms: u64,
    pub(crate) slots: usize,
    /// Whether the upstream may get new requests.
    pub(crate) is_available: bool,
    /// Place of its timestamps in the directory.
    pub(crate) timestamps: TimestampSlot,
    /// Revision from which on a copy of the directory has this run.
    pub(crate) run_revision: Revision,
    pub(crate) engine: Engine,
    /// Pace of its run, learnt from its answers.
    pub(crate) pace: Pace,
    /// Whether it was cold when the directory was last compared.
    was_cold: bool,
}

/// Engines of the upstreams of a service that have not departed, ordered by their names.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    engines: Vec<FleetEngine>,
    by_upstream: HashMap<UpstreamId, usize>,
    available: usize,
    /// Highest [`FleetEngine::run_revision`].
    newest_run: Revision,
    /// Generation of the directory that the engines were last compared with.
    generation: Option<u64>,
    /// Time that all engines were last advanced to.
    advanced_to: Option<Instant>,
}

impl Fleet {
    /// Takes over the upstreams of a service from the directory, if it has changed. An upstream that
    /// has restarted has none of its former run's requests. Returns whether the directory has
    /// changed.
    pub(crate) fn sync(
        &mut self,
        service: &str,
        profile: &EngineProfile,
        directory: &Directory,
    ) -> bool {
        if self.generation == Some(directory.generation()) {
            return false;
        }
        self.generation = Some(directory.generation());
        self.advanced_to = None;
        let mut known: HashMap<UpstreamId, FleetEngine> =
            self.engines.drain(..).map(|known| (known.upstream.clone(), known)).collect();
        let present = directory.present();
        let present = present.filter(|record| record.entry.registration.service == service);
        self.engines = present
            .map(|record| {
                let registration = &record.entry.registration;
                let former = known.remove(&registration.id);
                let is_cold = !registration.cold_remaining.is_zero();
                let slots = registration.slots as usize;
                let pace = pace_of(former.as_ref(), registration.started_at_ms, slots, is_cold);
                let known =
                    former.filter(|known| known.started_at_ms == registration.started_at_ms);
                FleetEngine {
                    upstream: registration.id.clone(),
                    address: registration.address,
                    started_at_ms: registration.started_at_ms,
                    slots,
                    is_available: directory.is_available(&record.entry),
                    timestamps: record.timestamps,
                    run_revision: record.run_revision,
                    engine: known.map_or_else(|| Engine::new(profile), |known| known.engine),
                    pace,
                    was_cold: is_cold,
                }
            })
            .collect();
        let numbered = self.engines.iter().enumerate();
        self.by_upstream = numbered.map(|(i, engine)| (engine.upstream.clone(), i)).collect();
        self.available = self.engines.iter().filter(|engine| engine.is_available).count();
        let runs = self.engines.iter().map(|engine| engine.run_revision);
        self.newest_run = runs.max().unwrap_or_default();
        true
    }

    /// Advances the engines to `now`. Those whose work changes meanwhile are advanced then.
    pub(crate) fn advance(&mut self, now: Instant) {
        if self.advanced_to.replace(now) == Some(now) {
            return;
        }
        self.engines.iter_mut().for_each(|engine| engine.engine.advance(now));
    }

    /// All engines, ordered by the names of their upstreams.
    pub(crate) fn engines(&self) -> &[FleetEngine] {
        &self.engines
    }

    /// Number of engines whose upstreams may get new requests.
    pub(crate) fn available(&self) -> usize {
        self.available
    }

    /// Revision from which on a copy of the directory has all runs.
    pub(crate) fn newest_run(&self) -> Revision {
        self.newest_run
    }

    /// Index of the engine of an upstream.
    pub(crate) fn index_of(&self, upstream: &str) -> Option<usize> {
        self.by_upstream.get(upstream).copied()
    }

    /// Pace of the engine of an upstream.
    pub(crate) fn pace_mut(&mut self, upstream: &str) -> Option<&mut Pace> {
        let index = self.index_of(upstream)?;
        self.engines.get_mut(index).map(|engine| &mut engine.pace)
    }

    /// State of the engine of an upstream.
    pub(crate) fn engine_mut(&mut self, upstream: &str) -> Option<&mut Engine> {
        let index = self.index_of(upstream)?;
        self.engines.get_mut(index).map(|engine| &mut engine.engine)
    }

    /// Shortest time until an engine has prefilled all prompts assigned to it.
    pub(crate) fn min_prefill_remaining(&self) -> Option<Duration> {
        self.engines.iter().map(|engine| engine.engine.prefill_remaining()).min()
    }
}

/// Pace of a run of an engine, after its former state, if that is known. A run that is not known and
/// doesn't say that it is cold has served before.
fn pace_of(former: Option<&FleetEngine>, started_at_ms: u64, slots: usize, is_cold: bool) -> Pace {
    let Some(former) = former else {
        let mut pace = Pace::full(slots);
        if is_cold {
            pace.start();
        }
        return pace;
    };
    if former.started_at_ms == started_at_ms {
        let mut pace = former.pace.clone();
        if is_cold && !former.was_cold {
            pace.start();
        }
        return pace;
    }
    let mut pace = Pace::full(slots);
    pace.succeed(&former.pace);
    pace.start();
    pace
}
