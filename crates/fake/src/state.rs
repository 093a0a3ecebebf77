//! State of an engine.

use crate::{
    batch::{Batch, FinishedJobs, Job, Rates, StepResult},
    cache::PrefixCache,
    config::EngineConfig,
    kv::{KvState, KvStore, RetainedKv},
    load::LoadHistory,
    orders::OrderLog,
};
use std::time::{Duration, Instant};
use wire::{Incarnation, RequestId, Tokens, border::upstream::LoadReport};

/// Counters of an engine since its first start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stats {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests refused before running.
    pub refused: u64,
    /// Requests that generated all their tokens.
    pub finished: u64,
    /// Requests cancelled through the management API.
    pub cancelled: u64,
    /// Streams resumed at an offset.
    pub resumed: u64,
    /// Prompt tokens prefilled.
    pub prefilled: Tokens,
    /// Tokens generated.
    pub decoded: Tokens,
    /// Crashes for any reason.
    pub crashes: u64,
    /// Crashes because more memory was in use than the cold-start ramp allows.
    pub overloads: u64,
}

/// State of an engine.
///
/// A crash loses the requests, the KV caches, the executed orders and the load reports. It keeps
/// the incarnation, the counters, the models loaded by orders, and what a test has set: holds,
/// pauses and wrong ids.
pub(crate) struct EngineState {
    pub(crate) cfg: EngineConfig,
    pub(crate) incarnation: Incarnation,
    pub(crate) is_running: bool,
    pub(crate) is_draining: bool,
    pub(crate) batch: Batch,
    pub(crate) kv: KvStore,
    pub(crate) cache: PrefixCache,
    pub(crate) orders: OrderLog,
    /// Time of the current start.
    started_at: Instant,
    load_history: LoadHistory,
    /// Number of load reports since the current start.
    report_count: u64,
    /// Requests that have finished, whose streams can still be resumed.
    pub(crate) finished_jobs: FinishedJobs,
    /// Number of responses that are still to be sent with a wrong id.
    pub(crate) wrong_id_responses: u64,
    pub(crate) stats: Stats,
}

impl EngineState {
    pub(crate) fn new(cfg: EngineConfig) -> Self {
        Self {
            incarnation: cfg.incarnation,
            is_running: true,
            is_draining: false,
            batch: Batch::default(),
            kv: KvStore::default(),
            cache: PrefixCache::default(),
            orders: OrderLog::default(),
            started_at: cfg.clock.now(),
            load_history: LoadHistory::default(),
            report_count: 0,
            finished_jobs: FinishedJobs::default(),
            wrong_id_responses: 0,
            stats: Stats::default(),
            cfg,
        }
    }

    /// Starts the next incarnation, with a cold start.
    pub(crate) fn restart(&mut self) {
        self.is_running = true;
        self.is_draining = false;
        self.incarnation += 1;
        self.started_at = self.cfg.clock.now();
    }

    /// KV memory in use, in tokens, without the prefix cache.
    pub(crate) fn memory_used(&self) -> Tokens {
        self.batch.memory_used() + self.kv.memory_used()
    }

    /// KV memory that the prefix cache may use, in tokens.
    pub(crate) fn cache_capacity(&self) -> Tokens {
        self.cfg.memory_tokens.saturating_sub(self.memory_used())
    }

    /// Whether a running request or a retained KV cache has this id.
    pub(crate) fn holds_id(&self, id: &RequestId) -> bool {
        self.batch.iter().any(|job| job.id == *id) || self.kv.retained.contains_key(id)
    }

    /// Id for the response to a request: its own, or a wrong one while `wrong_id_responses` is
    /// above 0.
    pub(crate) fn response_id(&mut self, id: &RequestId) -> RequestId {
        if self.wrong_id_responses == 0 {
            return id.clone();
        }
        self.wrong_id_responses -= 1;
        format!("not-{id}")
    }

    /// The load report to publish: the oldest one kept, which lags behind as the settings require.
    pub(crate) fn published_load(&self) -> LoadReport {
        self.load_history.oldest().cloned().unwrap_or_else(|| self.current_load())
    }

    /// Load report of this moment.
    fn current_load(&self) -> LoadReport {
        LoadReport {
            id: self.cfg.id.clone(),
            incarnation: self.incarnation,
            sequence: self.report_count,
            age_ms: 0,
            running: self.batch.iter().map(|job| job.id.clone()).collect(),
            memory_used_tokens: self.memory_used(),
            prefill_waiting_tokens: self.batch.prefill_remaining(),
            exported: self.kv.retained.keys().cloned().collect(),
        }
    }

    /// Whether more memory is in use than the cold-start ramp allows.
    pub(crate) fn is_overloaded(&self) -> bool {
        let Some(ramp) = self.cfg.ramp else {
            return false;
        };
        let age = self.cfg.clock.now().saturating_duration_since(self.started_at);
        self.memory_used() as f64 > ramp.share(age) * self.cfg.memory_tokens as f64
    }

    /// Runs one step. Returns the simulated time that it takes, and whether nothing could run.
    pub(crate) fn step(&mut self) -> (Duration, bool) {
        let rates = Rates {
            prefill_tokens_per_s: self.cfg.prefill_tokens_per_s,
            decode_tokens_per_s: self.cfg.decode_tokens_per_s,
            prefill_chunk: self.cfg.prefill_chunk,
        };
        let mut step = self.batch.step(&rates);
        let is_stalled = step.prefilled + step.decoded == 0 && step.finished.is_empty();
        self.apply_step(&mut step);
        (step.duration, is_stalled)
    }

    /// Applies the result of a step of the batch to the counters and caches.
    fn apply_step(&mut self, step: &mut StepResult) {
        self.stats.prefilled += step.prefilled;
        self.stats.decoded += step.decoded;
        self.stats.finished += step.finished.len() as u64;
        for job in step.finished.drain(..) {
            self.finished_jobs.push(&job);
            if job.kv_retain {
                self.retain_kv(job);
            }
        }
        if let Some(prompt) = step.prefilled_prompt.take() {
            let capacity = self.cache_capacity();
            self.cache.store(&prompt.id, &prompt.block_digests, capacity);
        }
        self.record_load();
    }

    /// Keeps the KV cache of a finished job until it is released.
    fn retain_kv(&mut self, job: Job) {
        let state =
            KvState { handle: job.id.clone(), tokens: job.prompt_tokens, digest: job.digest.0 };
        let retained = RetainedKv { state, memory_tokens: job.memory_tokens, fence: job.fence };
        self.kv.retained.insert(job.id, retained);
    }

    /// Adds a load report to the history.
    pub(crate) fn record_load(&mut self) {
        self.report_count += 1;
        let load = self.current_load();
        let lag = self.cfg.load_lag_steps;
        self.load_history.push(load, lag);
    }

    /// Drops everything that a crash loses.
    pub(crate) fn reset(&mut self) {
        self.batch.clear();
        self.kv = KvStore::default();
        self.cache = PrefixCache::default();
        self.orders = OrderLog::default();
        self.load_history = LoadHistory::default();
        self.report_count = 0;
        self.finished_jobs = FinishedJobs::default();
    }
}
