//! Jobs that come in, wait, and are given up on.

use crate::{
    class::LengthClass,
    config::PlacementPolicy,
    error::{Refusal, RefusalReason, Result},
    fleet::Fleet,
    job::{Job, RefusedJob},
    pool::{Pool, PoolId},
    queue::{Lane, Queued},
    upstream::Slot,
};
use limit::Priority;
use std::time::{Duration, Instant};
use wire::{RequestId, Tokens};

/// Longest time that is ever predicted, in seconds.
const MAX_SECONDS: f64 = 86_400.0;

impl Fleet {
    /// Queues a job. It ends exactly once: by one [`Dispatch`](crate::Dispatch)
    /// and then an event, or by one [`RefusedJob`], or by `request_cancelled`.
    ///
    /// # Errors
    ///
    /// A [`Refusal`], at once, when the job could not end before its deadline,
    /// finds no upstream, or finds the queue full. It was not queued.
    pub fn submit(&mut self, now: Instant, job: Job) -> Result<()> {
        self.run_timers(now);
        let pool = self.check(&job)?;
        let queued = self.prepare(now, pool, job);
        self.pools[pool].demand[queued.class.index()].add(now, queued.prompt as f64);
        self.check_deadline(now, pool, &queued)?;
        self.make_room(now, &queued)?;
        self.next_sequence += 1;
        let at = if self.cfg.policy.holds_back() { queued.latest_start } else { now };
        let (key, lane) = ((at, self.next_sequence), (queued.job.priority, queued.class));
        self.queued.insert(queued.job.request.clone(), (pool, lane, key));
        self.pools[pool].queues.push(key, queued);
        Ok(())
    }

    /// Final answers for jobs that waited and can no longer end in time, or
    /// that nothing here may serve any more. Each is given once, at once.
    pub fn refuse_expired(&mut self, now: Instant) -> Vec<RefusedJob> {
        self.run_timers(now);
        let mut refused = std::mem::take(&mut self.shed);
        for pool in 0..self.pools.len() {
            let reason = self.closed_reason(pool);
            while let Some((latest, lane, key)) = self.pools[pool].queues.latest_start() {
                if latest >= now && reason.is_none() {
                    break;
                }
                let queued = self.pools[pool].queues.get(lane, key).expect("a late job waits");
                let request = queued.job.request.clone();
                let refusal = match reason {
                    Some(reason) => self.refusal(reason, self.cfg.min_retry_after),
                    None => {
                        let wait = self.predicted_wait(now, pool, lane);
                        self.refusal(RefusalReason::DeadlineUnmeetable, wait)
                    }
                };
                self.unqueue(now, &request);
                refused.push(RefusedJob { request, refusal });
            }
        }
        refused
    }

    /// Takes a job out of its queue.
    pub(crate) fn unqueue(&mut self, now: Instant, request: &RequestId) -> Option<Queued> {
        let (pool, lane, key) = self.queued.remove(request)?;
        let queued = self.pools[pool].queues.remove(lane, key)?;
        self.drop_hold(now, pool, request);
        Some(queued)
    }

    /// Time until what waits, of this class and shorter ones, has started: by
    /// prefill on the upstreams that the class may use, and by memory. Beyond
    /// the shortest class, longer prompts that wait count for memory too: they
    /// get their turn as well.
    pub(crate) fn predicted_wait(
        &self,
        now: Instant,
        pool: PoolId,
        (priority, class): Lane,
    ) -> Duration {
        let pool = &self.pools[pool];
        let work = pool.queues.work_up_to(priority, class);
        let tokens = (work.prompt_tokens + ahead_in_prefill(pool, class)) as f64;
        let usable = self.usable(now, pool, class) / f64::from(pool.serving.max(1));
        let by_prefill = tokens / (pool.prefill_rate * usable).max(1.0);
        let in_memory = match class {
            LengthClass::Short => work,
            _ => pool.queues.work_up_to(priority, LengthClass::Huge),
        };
        let by_memory = in_memory.memory_seconds / (pool.memory as f64).max(1.0);
        let seconds = if in_memory.prompt_tokens == 0 { 0.0 } else { by_prefill.max(by_memory) };
        Duration::from_secs_f64(seconds.min(MAX_SECONDS))
    }

    /// Upstreams that a class may use: not those kept free for shorter prompts
    /// nor those busy with longer ones.
    fn usable(&self, now: Instant, pool: &Pool, class: LengthClass) -> f64 {
        let kept = match class {
            LengthClass::Short => return f64::from(pool.serving),
            LengthClass::Medium => self.kept_free(now, pool, LengthClass::Short),
            LengthClass::Long => self.kept_free(now, pool, LengthClass::Medium),
            LengthClass::Huge => self.kept_free(now, pool, LengthClass::Long),
        };
        f64::from(pool.serving.saturating_sub(kept + pool.with_longer[class.index()]).max(1))
    }

    /// Why a pool can serve nothing, if so.
    fn closed_reason(&self, pool: PoolId) -> Option<RefusalReason> {
        if !self.is_in_service {
            return Some(RefusalReason::DataCentreOut);
        }
        (self.pools[pool].serving == 0).then_some(RefusalReason::NoUpstream)
    }

    fn check(&self, job: &Job) -> Result<PoolId> {
        if self.queued.contains_key(&job.request) || self.running.contains_key(&job.request) {
            return Err(self.refusal(RefusalReason::Duplicate, self.cfg.min_retry_after));
        }
        let Some(pool) = self.pool_ids.get(&job.model).copied() else {
            return Err(self.refusal(RefusalReason::NoUpstream, self.cfg.min_retry_after));
        };
        if let Some(reason) = self.closed_reason(pool) {
            return Err(self.refusal(reason, self.cfg.min_retry_after));
        }
        Ok(pool)
    }

    fn prepare(&self, now: Instant, pool: PoolId, job: Job) -> Queued {
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
        let latest_start = job.deadline.checked_sub(service_time).unwrap_or(now - TICK);
        let is_gang = need > pool.largest_memory();
        Queued {
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

    fn check_deadline(&self, now: Instant, pool: PoolId, queued: &Queued) -> Result<()> {
        if queued.is_gang && queued.need > self.gang_reach(pool) {
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

    /// In a full queue an urgent job takes the place of an ordinary one.
    fn make_room(&mut self, now: Instant, newcomer: &Queued) -> Result<()> {
        if self.queued.len() < self.cfg.max_waiting {
            return Ok(());
        }
        let full = self.refusal(RefusalReason::QueueFull, Duration::from_secs(1));
        if newcomer.job.priority == Priority::Ordinary {
            return Err(full);
        }
        let victim = self.pools.iter().find_map(|p| p.queues.last_ordinary()).ok_or(full)?;
        self.unqueue(now, &victim);
        self.shed.push(RefusedJob { request: victim, refusal: full });
        Ok(())
    }

    /// Mean decode rate of the upstreams of a pool, from one of them.
    fn decode_rate(&self, pool: &Pool) -> f64 {
        let any: Option<Slot> = pool.capacity.last().map(|(_, slot)| *slot);
        any.map_or(0.0, |slot| self.upstream(slot).ann.decode_tokens_per_second as f64)
    }
}

/// Prompt tokens of this class and shorter ones that are still to prefill on
/// upstreams: half of what is outstanding, as nothing tells how far each is.
/// Short prompts are left out: they keep to upstreams without a backlog.
fn ahead_in_prefill(pool: &Pool, class: LengthClass) -> Tokens {
    let from = LengthClass::Medium.index();
    let classes = pool.prefill_tokens.get(from..=class.index()).unwrap_or_default();
    classes.iter().sum::<Tokens>() / 2
}

/// Least step of time, to tell "before now".
const TICK: Duration = Duration::from_nanos(1);

fn time_for(tokens: Tokens, rate: f64) -> Duration {
    if tokens == 0 || rate <= 0.0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64((tokens as f64 / rate).min(MAX_SECONDS))
}

impl Refusal {
    /// Shorthand used by decisions outside a fleet.
    pub(crate) fn new(reason: RefusalReason, retry_after: Duration) -> Self {
        Self { reason, retry_after }
    }
}
