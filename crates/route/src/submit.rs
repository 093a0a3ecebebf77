//! Admission of jobs to the queues, and refusal of queued jobs that can't be served in time.

use crate::{
    class::LengthClass,
    config::PlacementPolicy,
    error::{Refusal, RefusalReason, Result},
    fleet::Fleet,
    job::{Job, RefusedJob},
    pool::{Pool, PoolId},
    queue::{QueueId, QueuedJob},
    upstream::UpstreamIndex,
};
use limit::Priority;
use std::time::{Duration, Instant};
use wire::{RequestId, Tokens};

/// Upper limit of predicted durations, in seconds.
const MAX_PREDICTED_SECONDS: f64 = 86_400.0;

impl Fleet {
    /// Queues a job. It ends exactly once: by one [`Dispatch`](crate::Dispatch) and a later event
    /// that ends the request, by one [`RefusedJob`], or by
    /// [`request_cancelled`](Self::request_cancelled).
    ///
    /// # Errors
    ///
    /// A [`Refusal`] when the job could not finish before its deadline, no upstream can serve it,
    /// the queue is full, or a job with this id is already known. The job is not queued then.
    pub fn submit(&mut self, now: Instant, job: Job) -> Result<()> {
        self.run_timers(now);
        let pool = self.find_pool(&job)?;
        let queued = self.estimate_job(now, pool, job);
        self.pools[pool].demand[queued.class.index()].add(now, queued.prompt as f64);
        self.check_deadline(now, pool, &queued)?;
        self.make_room(now, &queued)?;
        self.next_sequence += 1;
        let at = if self.cfg.policy.queues_while_busy() { queued.latest_start } else { now };
        let (position, queue_id) = ((at, self.next_sequence), (queued.job.priority, queued.class));
        self.queued.insert(queued.job.request.clone(), (pool, queue_id, position));
        self.pools[pool].queues.push(position, queued);
        Ok(())
    }

    /// Removes queued jobs that can no longer finish in time or have no upstream any more, and
    /// returns them with those displaced from a full queue. Each job is returned once, as soon as
    /// this is known and not only at its deadline.
    pub fn refuse_expired(&mut self, now: Instant) -> Vec<RefusedJob> {
        self.run_timers(now);
        let mut refused = std::mem::take(&mut self.displaced);
        for pool in 0..self.pools.len() {
            let reason = self.unavailable_reason(pool);
            while let Some((latest, queue_id, position)) = self.pools[pool].queues.latest_start() {
                if latest >= now && reason.is_none() {
                    break;
                }
                let queued =
                    self.pools[pool].queues.get(queue_id, position).expect("the job is queued");
                let request = queued.job.request.clone();
                let refusal = match reason {
                    Some(reason) => self.refusal(reason, self.cfg.min_retry_after),
                    None => {
                        let wait = self.predicted_wait(now, pool, queue_id);
                        self.refusal(RefusalReason::DeadlineUnmeetable, wait)
                    }
                };
                self.unqueue(now, &request);
                refused.push(RefusedJob { request, refusal });
            }
        }
        refused
    }

    /// Removes a job from its queue and releases the memory held back for it.
    pub(crate) fn unqueue(&mut self, now: Instant, request: &RequestId) -> Option<QueuedJob> {
        let (pool, queue_id, position) = self.queued.remove(request)?;
        let queued = self.pools[pool].queues.remove(queue_id, position)?;
        self.release_hold(now, pool, request);
        Some(queued)
    }

    /// Predicted time until the queued jobs of this class and shorter ones have started: the
    /// longer of the time for their prefills on the upstreams that the class may use, and the
    /// time for their memory to become free. Above the shortest class, queued jobs of longer
    /// classes count for memory too, as some of them start first.
    pub(crate) fn predicted_wait(
        &self,
        now: Instant,
        pool: PoolId,
        (priority, class): QueueId,
    ) -> Duration {
        let pool = &self.pools[pool];
        let work = pool.queues.work_up_to(priority, class);
        let tokens = (work.prompt_tokens + ahead_in_prefill(pool, class)) as f64;
        let usable =
            self.usable_upstreams(now, pool, class) / f64::from(pool.upstreams_in_service.max(1));
        let by_prefill = tokens / (pool.prefill_rate * usable).max(1.0);
        let in_memory = match class {
            LengthClass::Short => work,
            _ => pool.queues.work_up_to(priority, LengthClass::Huge),
        };
        let by_memory = in_memory.memory_seconds / (pool.memory as f64).max(1.0);
        let seconds = if in_memory.prompt_tokens == 0 { 0.0 } else { by_prefill.max(by_memory) };
        Duration::from_secs_f64(seconds.min(MAX_PREDICTED_SECONDS))
    }

    /// Number of upstreams that a class may use, without those kept free for shorter prompts and
    /// those busy with longer ones.
    fn usable_upstreams(&self, now: Instant, pool: &Pool, class: LengthClass) -> f64 {
        let kept = match class {
            LengthClass::Short => return f64::from(pool.upstreams_in_service),
            LengthClass::Medium => self.upstreams_kept_free(now, pool, LengthClass::Short),
            LengthClass::Long => self.upstreams_kept_free(now, pool, LengthClass::Medium),
            LengthClass::Huge => self.upstreams_kept_free(now, pool, LengthClass::Long),
        };
        f64::from(
            pool.upstreams_in_service
                .saturating_sub(kept + pool.with_longer_prefill[class.index()])
                .max(1),
        )
    }

    /// Why a pool can serve no request at all, or `None` if it can.
    fn unavailable_reason(&self, pool: PoolId) -> Option<RefusalReason> {
        if !self.is_in_service {
            return Some(RefusalReason::DataCentreOut);
        }
        (self.pools[pool].upstreams_in_service == 0).then_some(RefusalReason::NoUpstream)
    }

    /// Finds the pool of a job, or refuses a known id or a model that can't be served.
    fn find_pool(&self, job: &Job) -> Result<PoolId> {
        if self.queued.contains_key(&job.request) || self.running.contains_key(&job.request) {
            return Err(self.refusal(RefusalReason::Duplicate, self.cfg.min_retry_after));
        }
        let Some(pool) = self.pool_ids.get(&job.model).copied() else {
            return Err(self.refusal(RefusalReason::NoUpstream, self.cfg.min_retry_after));
        };
        if let Some(reason) = self.unavailable_reason(pool) {
            return Err(self.refusal(reason, self.cfg.min_retry_after));
        }
        Ok(pool)
    }

    /// Estimates tokens, memory and durations of a job, and from them its latest start.
    fn estimate_job(&self, now: Instant, pool: PoolId, job: Job) -> QueuedJob {
        let pool = &self.pools[pool];
        let prompt = pool.estimator.prompt_tokens(job.prompt_tokens);
        let class = match self.cfg.policy {
            PlacementPolicy::Predicted => LengthClass::of(prompt),
            _ => LengthClass::Short,
        };
        let need = prompt.saturating_add(job.max_output_tokens);
        let uncached = prompt.saturating_sub(self.best_hit(&job));
        let prefill_time = time_for(uncached, pool.mean_rate());
        let output = pool.estimator.output_tokens(job.max_output_tokens);
        let service_time = prefill_time + time_for(output, self.decode_rate(pool));
        let latest_start = job.deadline.checked_sub(service_time).unwrap_or(now - MIN_STEP);
        let is_gang = need > pool.largest_memory();
        QueuedJob {
            class,
            prompt,
            need,
            prefill_time,
            service_time,
            arrived: now,
            latest_start,
            is_gang,
            job,
        }
    }

    /// Refuses a job that no gang has the memory for or that would finish after its deadline.
    fn check_deadline(&self, now: Instant, pool: PoolId, queued: &QueuedJob) -> Result<()> {
        if queued.is_gang && queued.need > self.largest_gang_tokens(pool) {
            return Err(self.refusal(RefusalReason::PromptTooLong, self.cfg.max_retry_after));
        }
        if queued.latest_start < now {
            return Err(self.refusal(RefusalReason::DeadlineTooShort, self.cfg.min_retry_after));
        }
        let slack = queued.latest_start - now;
        let wait = self.predicted_wait(now, pool, (queued.job.priority, queued.class));
        if wait > slack {
            return Err(self.refusal(RefusalReason::DeadlineUnmeetable, wait - slack));
        }
        Ok(())
    }

    /// Displaces an ordinary job if the queue is full and the incoming one is urgent; refuses the
    /// incoming one if it is ordinary or no ordinary job is queued.
    fn make_room(&mut self, now: Instant, incoming: &QueuedJob) -> Result<()> {
        if self.queued.len() < self.cfg.max_queued {
            return Ok(());
        }
        let full = self.refusal(RefusalReason::QueueFull, Duration::from_secs(1));
        if incoming.job.priority == Priority::Ordinary {
            return Err(full);
        }
        let displaced = self.pools.iter().find_map(|p| p.queues.last_ordinary()).ok_or(full)?;
        self.unqueue(now, &displaced);
        self.displaced.push(RefusedJob { request: displaced, refusal: full });
        Ok(())
    }

    /// Decode rate of a pool's upstreams, in tokens per second: the announced rate of one of them,
    /// used for all.
    fn decode_rate(&self, pool: &Pool) -> f64 {
        let any: Option<UpstreamIndex> = pool.by_memory.last().map(|(_, upstream)| *upstream);
        any.map_or(0.0, |upstream| self.upstream(upstream).info.decode_tokens_per_second as f64)
    }
}

/// Estimated prompt tokens of this class and shorter ones that remain to be prefilled on the
/// upstreams: half of the outstanding prefills, as the progress of each is not known. Short prompts
/// are left out, since they are sent only to upstreams with almost no backlog.
fn ahead_in_prefill(pool: &Pool, class: LengthClass) -> Tokens {
    let from = LengthClass::Medium.index();
    let classes = pool.prefill_tokens.get(from..=class.index()).unwrap_or_default();
    classes.iter().sum::<Tokens>() / 2
}

/// Smallest step of time. If the latest start of a job is too early to be represented, it is set to
/// this long before now, so that the job is refused.
const MIN_STEP: Duration = Duration::from_nanos(1);

/// Time for this number of tokens at a rate in tokens per second; zero without a rate.
fn time_for(tokens: Tokens, rate: f64) -> Duration {
    if tokens == 0 || rate <= 0.0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64((tokens as f64 / rate).min(MAX_PREDICTED_SECONDS))
}

impl Refusal {
    /// Creates a refusal with a fixed delay, for decisions outside a fleet.
    pub(crate) fn new(reason: RefusalReason, retry_after: Duration) -> Self {
        Self { reason, retry_after }
    }
}
