//! Choice of a single upstream for a job.

use crate::{
    class::LengthClass,
    config::PlacementPolicy,
    fleet::Fleet,
    job::Job,
    pool::{Pool, PoolId},
    queue::QueuedJob,
    upstream::{Upstream, UpstreamIndex},
};
use std::time::{Duration, Instant};
use wire::Tokens;

/// Maximum number of upstreams examined, those with the least prefill work first and, if none of
/// them fits, those with the most free memory.
const MAX_CANDIDATES: usize = 8;

/// Slowdown of a prefill by a full batch of requests in flight, as a fraction of its time.
const BATCH_SLOWDOWN: f64 = 0.3;

/// Divisor of an upstream's memory that gives the part which short prompts may still use while
/// the memory is held back for a large job.
pub(crate) const HELD_MEMORY_SHORT_DIVISOR: Tokens = 8;

/// A chosen upstream with the predicted time to first token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpstreamChoice {
    pub(crate) upstream: UpstreamIndex,
    pub(crate) first_token: Duration,
}

impl Fleet {
    /// Chooses an upstream by the configured policy, or `None` if the job should stay queued.
    pub(crate) fn place(
        &mut self,
        now: Instant,
        pool: PoolId,
        queued: &QueuedJob,
    ) -> Option<UpstreamChoice> {
        match self.cfg.policy {
            PlacementPolicy::Predicted | PlacementPolicy::NoLengthClasses => {
                self.place_predicted(now, pool, queued)
            }
            PlacementPolicy::LeastOutstanding => self.place_least_outstanding(now, pool, queued),
            PlacementPolicy::RoundRobin => self.place_round_robin(now, pool, queued),
        }
    }

    /// Chooses the upstream with the least predicted time to first token, unless it has too much
    /// prefill work ahead.
    fn place_predicted(
        &self,
        now: Instant,
        pool: PoolId,
        queued: &QueuedJob,
    ) -> Option<UpstreamChoice> {
        let p = &self.pools[pool];
        if p.largest_free_tokens() < queued.need {
            return None;
        }
        // Only upstreams indexed for the prefix are checked for a hit; others most likely have
        // none.
        let holders = self.holders(&queued.job);
        let holders = holders.map(|upstream| {
            (upstream, self.upstream(upstream).prefixes.longest_hit(&queued.job.prefixes))
        });
        let holders = holders.filter(|(_, hit)| *hit > 0);
        let by_work =
            p.by_prefill_done.iter().take(MAX_CANDIDATES).map(|(_, upstream)| (*upstream, 0));
        let best = self.best_of(now, queued, holders.chain(by_work)).or_else(|| {
            let by_memory = p
                .by_free_tokens
                .iter()
                .rev()
                .take(MAX_CANDIDATES)
                .map(|(_, upstream)| (*upstream, 0));
            self.best_of(now, queued, by_memory)
        })?;
        let backlog = self.upstream(best.upstream).backlog(now, queued.class);
        (backlog <= self.cfg.max_backlog).then_some(best)
    }

    /// The candidate with the least predicted time to first token. Each candidate comes with the
    /// prompt tokens that its cache probably holds.
    fn best_of(
        &self,
        now: Instant,
        queued: &QueuedJob,
        candidates: impl Iterator<Item = (UpstreamIndex, Tokens)>,
    ) -> Option<UpstreamChoice> {
        candidates
            .filter(|(upstream, _)| self.can_run_on(now, *upstream, queued))
            .filter(|(upstream, _)| self.is_free_for(*upstream, queued.class))
            .map(|(upstream, hit)| UpstreamChoice {
                upstream,
                first_token: self.predict(now, upstream, queued, hit),
            })
            .min_by_key(|chosen| chosen.first_token)
    }

    /// Whether no upstream can be chosen, regardless of memory: all have too much prefill work, or
    /// the remaining ones must be kept free for shorter classes.
    fn has_no_usable_upstream(&self, now: Instant, pool: &Pool, class: LengthClass) -> bool {
        let least = pool.by_prefill_done.first().map_or(now, |(done, _)| *done);
        let is_busy = least.saturating_duration_since(now) > self.cfg.max_backlog;
        let may_overtake = class == LengthClass::Short && pool.honouring_priority > 0;
        (is_busy && !may_overtake) || !self.leaves_enough_free(now, pool, class)
    }

    /// Whether this job can't be placed on any upstream, under a policy that queues requests while
    /// upstreams are busy. This is a cheap check that saves examining upstreams one by one.
    pub(crate) fn is_blocked(&self, now: Instant, pool: PoolId, queued: &QueuedJob) -> bool {
        let queues_while_busy = self.cfg.policy.queues_while_busy();
        queues_while_busy
            && !queued.is_gang
            && self.has_no_usable_upstream(now, &self.pools[pool], queued.class)
    }

    /// Chooses, among the upstreams that can run the job, the one with the fewest requests in
    /// flight.
    fn place_least_outstanding(
        &self,
        now: Instant,
        pool: PoolId,
        queued: &QueuedJob,
    ) -> Option<UpstreamChoice> {
        let upstreams = self.pools[pool].by_prefill_done.iter().map(|(_, upstream)| *upstream);
        upstreams
            .filter(|upstream| self.can_run_on(now, *upstream, queued))
            .min_by_key(|upstream| self.upstream(*upstream).running())
            .map(|upstream| UpstreamChoice {
                upstream,
                first_token: self.predict(now, upstream, queued, 0),
            })
    }

    /// Chooses the next upstream that can run the job, in the order of indices.
    fn place_round_robin(
        &mut self,
        now: Instant,
        pool: PoolId,
        queued: &QueuedJob,
    ) -> Option<UpstreamChoice> {
        let mut upstreams: Vec<UpstreamIndex> =
            self.pools[pool].by_prefill_done.iter().map(|(_, upstream)| *upstream).collect();
        upstreams.sort_unstable();
        let next = self.pools[pool].next_round_robin_upstream;
        let start = upstreams.partition_point(|upstream| *upstream < next);
        upstreams.rotate_left(start);
        let upstream =
            upstreams.into_iter().find(|upstream| self.can_run_on(now, *upstream, queued))?;
        self.pools[pool].next_round_robin_upstream = upstream + 1;
        Some(UpstreamChoice { upstream, first_token: self.predict(now, upstream, queued, 0) })
    }

    /// Whether a job may be sent to an upstream, regardless of the policy.
    fn can_run_on(&self, now: Instant, upstream: UpstreamIndex, queued: &QueuedJob) -> bool {
        let u = self.upstream(upstream);
        u.indexed.is_some_and(|keys| keys.is_below_running_limit)
            && u.fits(now, queued.need)
            && !queued.job.avoid.contains(&u.info.id)
            && !(queued.job.is_suspect && u.suspects > 0)
            && !self.is_held_for_other(u, queued)
    }

    /// Whether placing a job of this class on an upstream leaves enough upstreams free of long
    /// prefills. An upstream has at most one prefill above the shortest class outstanding, and for
    /// each shorter class as many upstreams as its demand needs stay free of longer prefills.
    pub(crate) fn preserves_headroom(
        &self,
        now: Instant,
        pool: PoolId,
        upstream: UpstreamIndex,
        class: LengthClass,
    ) -> bool {
        self.is_free_for(upstream, class) && self.leaves_enough_free(now, &self.pools[pool], class)
    }

    /// Whether an upstream can take a prefill of this class: a short one, or the only one above
    /// the shortest class.
    fn is_free_for(&self, upstream: UpstreamIndex, class: LengthClass) -> bool {
        class == LengthClass::Short
            || !self.upstream(upstream).has_prefill_from(LengthClass::Medium)
    }

    /// Whether, for each class shorter than this one, one more upstream can be given a longer
    /// prefill without dropping below the number to keep free.
    fn leaves_enough_free(&self, now: Instant, pool: &Pool, class: LengthClass) -> bool {
        LengthClass::ALL[..class.index()].iter().all(|shorter| {
            let free = pool.upstreams_in_service - pool.with_longer_prefill[shorter.index()];
            free > self.upstreams_kept_free(now, pool, *shorter)
        })
    }

    /// Number of upstreams to keep free of prefills longer than this class: as many as its demand
    /// keeps busy, and headroom in proportion to the square root of that number, which is the
    /// spare capacity that keeps waits short in a pool of servers (square-root staffing).
    pub(crate) fn upstreams_kept_free(&self, now: Instant, pool: &Pool, class: LengthClass) -> u32 {
        let demand: f64 = pool.demand[..=class.index()].iter().map(|m| m.rate(now)).sum();
        let busy = demand / pool.mean_rate().max(1.0);
        let headroom = match class {
            LengthClass::Short => self.cfg.short_headroom,
            _ => self.cfg.long_headroom,
        };
        let headroom = (headroom * busy.sqrt()).min(self.cfg.max_headroom);
        let needed = (busy + headroom).ceil() as u32;
        needed.min(pool.upstreams_in_service.saturating_sub(1))
    }

    /// Whether an upstream's memory is held back for another job, and this one is not a short
    /// prompt that fits into the part left to those.
    fn is_held_for_other(&self, u: &Upstream, queued: &QueuedJob) -> bool {
        let Some(request) = &u.held_for else { return false };
        if *request == queued.job.request {
            return false;
        }
        let short_share = u.info.memory_tokens / HELD_MEMORY_SHORT_DIVISOR;
        queued.class != LengthClass::Short || u.reserved_short + queued.need > short_share
    }

    /// Predicted time to first token on an upstream that has `hit` prompt tokens in its cache.
    fn predict(
        &self,
        now: Instant,
        upstream: UpstreamIndex,
        queued: &QueuedJob,
        hit: Tokens,
    ) -> Duration {
        let u = self.upstream(upstream);
        let uncached = queued.prompt.saturating_sub(hit);
        let batch = f64::from(u.running()) / f64::from(u.info.max_running.max(1));
        let own = u.prefill_time(uncached).mul_f64(1.0 + BATCH_SLOWDOWN * batch);
        u.backlog(now, queued.class) + own
    }

    /// Upstreams that may hold the longest indexed prefix of the job.
    fn holders<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = UpstreamIndex> + 'a {
        self.prefix_holders
            .find(&job.prefixes)
            .filter(|upstream| self.upstreams.get(*upstream as usize).is_some_and(Option::is_some))
    }

    /// Length of the longest prefix of the job that some upstream probably holds, in tokens.
    pub(crate) fn best_hit(&self, job: &Job) -> Tokens {
        let hits = self
            .holders(job)
            .map(|upstream| self.upstream(upstream).prefixes.longest_hit(&job.prefixes));
        hits.max().unwrap_or(0)
    }
}
