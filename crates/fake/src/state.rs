//! What an engine holds.

use crate::{
    batch::{Batch, FinishedJobs, Job, Rates, Step},
    cache::PrefixCache,
    config::EngineConfig,
    kv::{KvState, KvStore, Retained},
    load::LoadHistory,
    orders::OrderLog,
};
use std::time::{Duration, Instant};
use wire::{Incarnation, RequestId, Tokens, border::upstream::LoadReport};

/// What an engine has done since its first start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stats {
    /// Requests taken in.
    pub admitted: u64,
    /// Requests refused without having run.
    pub refused: u64,
    /// Requests that generated all their tokens.
    pub finished: u64,
    /// Requests cancelled by order.
    pub cancelled: u64,
    /// Streams taken up again at an offset.
    pub resumed: u64,
    /// Prompt tokens read.
    pub prefilled: Tokens,
    /// Tokens generated.
    pub decoded: Tokens,
    /// Crashes, for whatever reason.
    pub crashes: u64,
    /// Crashes from more load than the cold-start ramp allows.
    pub overloads: u64,
}

/// Everything that an engine holds, lost at a crash but for the counters.
pub(crate) struct Core {
    pub(crate) cfg: EngineConfig,
    pub(crate) incarnation: Incarnation,
    pub(crate) running: bool,
    pub(crate) draining: bool,
    pub(crate) batch: Batch,
    pub(crate) kv: KvStore,
    pub(crate) cache: PrefixCache,
    pub(crate) orders: OrderLog,
    /// When the present start was.
    started: Instant,
    history: LoadHistory,
    /// Load reports since the start.
    reports: u64,
    /// Requests that ended while their client was away.
    pub(crate) finished: FinishedJobs,
    /// Streams to come that answer with another request's id.
    pub(crate) cross_next: u64,
    pub(crate) stats: Stats,
}

impl Core {
    pub(crate) fn new(cfg: EngineConfig) -> Self {
        Self {
            incarnation: cfg.incarnation,
            running: true,
            draining: false,
            batch: Batch::default(),
            kv: KvStore::default(),
            cache: PrefixCache::default(),
            orders: OrderLog::default(),
            started: cfg.clock.now(),
            history: LoadHistory::default(),
            reports: 0,
            finished: FinishedJobs::default(),
            cross_next: 0,
            stats: Stats::default(),
            cfg,
        }
    }

    /// Runs under the next incarnation, in cold start.
    pub(crate) fn start_again(&mut self) {
        self.running = true;
        self.draining = false;
        self.incarnation += 1;
        self.started = self.cfg.clock.now();
    }

    /// Memory in use, but for the prefix cache.
    pub(crate) fn memory_used(&self) -> Tokens {
        self.batch.memory() + self.kv.memory()
    }

    /// Memory that is left for the prefix cache.
    pub(crate) fn cache_capacity(&self) -> Tokens {
        self.cfg.memory_tokens.saturating_sub(self.memory_used())
    }

    /// Whether a request or a KV cache has this id.
    pub(crate) fn holds(&self, id: &RequestId) -> bool {
        self.batch.iter().any(|job| job.id == *id) || self.kv.retained.contains_key(id)
    }

    /// The id to answer a request with.
    pub(crate) fn shown_id(&mut self, id: &RequestId) -> RequestId {
        if self.cross_next == 0 {
            return id.clone();
        }
        self.cross_next -= 1;
        format!("not-{id}")
    }

    /// The load report, as old as the settings say.
    pub(crate) fn load(&self) -> LoadReport {
        self.history.lagged().cloned().unwrap_or_else(|| self.load_now())
    }

    fn load_now(&self) -> LoadReport {
        LoadReport {
            id: self.cfg.id.clone(),
            incarnation: self.incarnation,
            sequence: self.reports,
            age_ms: 0,
            running: self.batch.iter().map(|job| job.id.clone()).collect(),
            memory_used_tokens: self.memory_used(),
            prefill_waiting_tokens: self.batch.prefill_left(),
            exported: self.kv.retained.keys().cloned().collect(),
        }
    }

    /// Whether more is in use than the cold-start ramp allows.
    pub(crate) fn is_overloaded(&self) -> bool {
        let Some(ramp) = self.cfg.ramp else {
            return false;
        };
        let age = self.cfg.clock.now().saturating_duration_since(self.started);
        self.memory_used() as f64 > ramp.share(age) * self.cfg.memory_tokens as f64
    }

    /// Runs one step: the time that it takes, and whether nothing could run.
    pub(crate) fn step(&mut self) -> (Duration, bool) {
        let rates = Rates {
            prefill_tokens_per_s: self.cfg.prefill_tokens_per_s,
            decode_tokens_per_s: self.cfg.decode_tokens_per_s,
            prefill_chunk: self.cfg.prefill_chunk,
        };
        let mut step = self.batch.step(&rates);
        let is_stuck = step.prefilled + step.decoded == 0 && step.finished.is_empty();
        self.apply(&mut step);
        (step.duration, is_stuck)
    }

    /// Takes in what a step of the batch did.
    fn apply(&mut self, step: &mut Step) {
        self.stats.prefilled += step.prefilled;
        self.stats.decoded += step.decoded;
        self.stats.finished += step.finished.len() as u64;
        for job in step.finished.drain(..) {
            self.finished.push(&job);
            if job.kv_retain {
                self.retain(job);
            }
        }
        if let Some(read) = step.read.take() {
            let capacity = self.cache_capacity();
            self.cache.store(&read.id, &read.blocks, capacity);
        }
        self.note_load();
    }

    fn retain(&mut self, job: Job) {
        let state =
            KvState { handle: job.id.clone(), tokens: job.prompt_tokens, digest: job.digest.0 };
        let retained = Retained { state, memory: job.memory, fence: job.fence };
        self.kv.retained.insert(job.id, retained);
    }

    pub(crate) fn note_load(&mut self) {
        self.reports += 1;
        let load = self.load_now();
        let lag = self.cfg.load_lag_steps;
        self.history.push(load, lag);
    }

    /// Loses everything but the counters.
    pub(crate) fn reset(&mut self) {
        self.batch.clear();
        self.kv = KvStore::default();
        self.cache = PrefixCache::default();
        self.orders = OrderLog::default();
        self.history = LoadHistory::default();
        self.reports = 0;
        self.finished = FinishedJobs::default();
    }
}
