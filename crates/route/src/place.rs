//! Choice of one upstream for a job.

use crate::{
    class::LengthClass,
    config::PlacementPolicy,
    fleet::Fleet,
    job::Job,
    pool::{Pool, PoolId},
    queue::Queued,
    upstream::{Slot, Upstream},
};
use std::time::{Duration, Instant};
use wire::Tokens;

/// Upstreams looked at by least prefill work and, if none of them fits, by most
/// memory.
const LOOK: usize = 8;

/// How much a fully used batch slows down a prefill, as a part of its time.
const BATCH_SLOWDOWN: f64 = 0.3;

/// Part of a held upstream's memory that stays open to short prompts: one in
/// so many.
pub(crate) const SHORT_PART_OF_HELD: Tokens = 8;

/// A choice with what it is expected to cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Chosen {
    pub(crate) slot: Slot,
    pub(crate) first_token: Duration,
}

impl Fleet {
    /// Chooses an upstream, or none if the job should go on waiting.
    pub(crate) fn place(&mut self, now: Instant, pool: PoolId, queued: &Queued) -> Option<Chosen> {
        match self.cfg.policy {
            PlacementPolicy::Predicted | PlacementPolicy::NoLengthClasses => {
                self.place_predicted(now, pool, queued)
            }
            PlacementPolicy::LeastOutstanding => self.place_least_outstanding(now, pool, queued),
            PlacementPolicy::RoundRobin => self.place_round_robin(now, pool, queued),
        }
    }

    fn place_predicted(&self, now: Instant, pool: PoolId, queued: &Queued) -> Option<Chosen> {
        let p = &self.pools[pool];
        if p.largest_room() < queued.need {
            return None;
        }
        // Only holders are asked for a hit: elsewhere it is most likely none.
        let holders = self.holders(&queued.job);
        let holders =
            holders.map(|slot| (slot, self.upstream(slot).prefixes.hit(&queued.job.prefixes)));
        let holders = holders.filter(|(_, hit)| *hit > 0);
        let by_work = p.open.iter().take(LOOK).map(|(_, slot)| (*slot, 0));
        let best = self.best_of(now, queued, holders.chain(by_work)).or_else(|| {
            let by_room = p.roomy.iter().rev().take(LOOK).map(|(_, slot)| (*slot, 0));
            self.best_of(now, queued, by_room)
        })?;
        let backlog = self.upstream(best.slot).backlog(now, queued.class);
        (backlog <= self.cfg.max_backlog).then_some(best)
    }

    /// The upstream with the least predicted time, of some with their hits.
    fn best_of(
        &self,
        now: Instant,
        queued: &Queued,
        candidates: impl Iterator<Item = (Slot, Tokens)>,
    ) -> Option<Chosen> {
        candidates
            .filter(|(slot, _)| self.is_possible(now, *slot, queued))
            .filter(|(slot, _)| self.is_free_for(*slot, queued.class))
            .map(|(slot, hit)| Chosen { slot, first_token: self.predict(now, slot, queued, hit) })
            .min_by_key(|chosen| chosen.first_token)
    }

    /// Whether no upstream would do, whatever the memory: all have too much
    /// prefill work, or the shorter classes' upstreams must be kept free.
    fn is_hopeless(&self, now: Instant, pool: &Pool, class: LengthClass) -> bool {
        let least = pool.open.first().map_or(now, |(done, _)| *done);
        let is_busy = least.saturating_duration_since(now) > self.cfg.max_backlog;
        let may_overtake = class == LengthClass::Short && pool.honouring_priority > 0;
        (is_busy && !may_overtake) || !self.leaves_enough_free(now, pool, class)
    }

    /// Whether a policy with a queue would not place this job whatever the
    /// upstream; cheap, and asked before the job is looked at closely.
    pub(crate) fn is_blocked(&self, now: Instant, pool: PoolId, queued: &Queued) -> bool {
        let holds_back = self.cfg.policy.holds_back();
        holds_back && !queued.is_gang && self.is_hopeless(now, &self.pools[pool], queued.class)
    }

    fn place_least_outstanding(
        &self,
        now: Instant,
        pool: PoolId,
        queued: &Queued,
    ) -> Option<Chosen> {
        let slots = self.pools[pool].open.iter().map(|(_, slot)| *slot);
        slots
            .filter(|slot| self.is_possible(now, *slot, queued))
            .min_by_key(|slot| self.upstream(*slot).running())
            .map(|slot| Chosen { slot, first_token: self.predict(now, slot, queued, 0) })
    }

    fn place_round_robin(&mut self, now: Instant, pool: PoolId, queued: &Queued) -> Option<Chosen> {
        let mut slots: Vec<Slot> = self.pools[pool].open.iter().map(|(_, slot)| *slot).collect();
        slots.sort_unstable();
        let next = self.pools[pool].next_turn;
        let start = slots.partition_point(|slot| *slot < next);
        slots.rotate_left(start);
        let slot = slots.into_iter().find(|slot| self.is_possible(now, *slot, queued))?;
        self.pools[pool].next_turn = slot + 1;
        Some(Chosen { slot, first_token: self.predict(now, slot, queued, 0) })
    }

    /// Whether a job may go to an upstream at all.
    fn is_possible(&self, now: Instant, slot: Slot, queued: &Queued) -> bool {
        let u = self.upstream(slot);
        u.indexed.is_some_and(|keys| keys.is_open)
            && u.fits(now, queued.need)
            && !queued.job.avoid.contains(&u.ann.id)
            && !(queued.job.is_suspect && u.suspects > 0)
            && !self.is_held_against(u, queued)
    }

    /// Keeps enough upstreams free of long prefills. One upstream has at most
    /// one prefill beyond the shortest class outstanding; for each shorter
    /// class, as many upstreams as its demand needs stay free of longer ones.
    pub(crate) fn keeps_shares(
        &self,
        now: Instant,
        pool: PoolId,
        slot: Slot,
        class: LengthClass,
    ) -> bool {
        self.is_free_for(slot, class) && self.leaves_enough_free(now, &self.pools[pool], class)
    }

    fn is_free_for(&self, slot: Slot, class: LengthClass) -> bool {
        class == LengthClass::Short || !self.upstream(slot).has_prefill_from(LengthClass::Medium)
    }

    fn leaves_enough_free(&self, now: Instant, pool: &Pool, class: LengthClass) -> bool {
        LengthClass::ALL[..class.index()].iter().all(|shorter| {
            let free = pool.serving - pool.with_longer[shorter.index()];
            free > self.kept_free(now, pool, *shorter)
        })
    }

    /// Upstreams to keep free of prefills longer than this class: as many as
    /// its demand keeps busy, and headroom that grows with the square root, as
    /// the waits of a pool of servers do.
    pub(crate) fn kept_free(&self, now: Instant, pool: &Pool, class: LengthClass) -> u32 {
        let demand: f64 = pool.demand[..=class.index()].iter().map(|m| m.rate(now)).sum();
        let busy = demand / pool.mean_rate().max(1.0);
        let headroom = match class {
            LengthClass::Short => self.cfg.short_headroom,
            _ => self.cfg.long_headroom,
        };
        let headroom = (headroom * busy.sqrt()).min(self.cfg.max_headroom);
        let needed = (busy + headroom).ceil() as u32;
        needed.min(pool.serving.saturating_sub(1))
    }

    /// Whether an upstream's memory is kept for another job.
    fn is_held_against(&self, u: &Upstream, queued: &Queued) -> bool {
        let Some(holder) = &u.held_by else { return false };
        if *holder == queued.job.request {
            return false;
        }
        let open = u.ann.memory_tokens / SHORT_PART_OF_HELD;
        queued.class != LengthClass::Short || u.reserved_short + queued.need > open
    }

    /// Predicted time to first token on an upstream.
    fn predict(&self, now: Instant, slot: Slot, queued: &Queued, hit: Tokens) -> Duration {
        let u = self.upstream(slot);
        let uncached = queued.prompt.saturating_sub(hit);
        let batch = f64::from(u.running()) / f64::from(u.ann.max_running.max(1));
        let own = u.prefill_time(uncached).mul_f64(1.0 + BATCH_SLOWDOWN * batch);
        u.backlog(now, queued.class) + own
    }

    /// Upstreams that probably hold the job's longest known prefix.
    fn holders<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = Slot> + 'a {
        self.prefix_holders
            .find(&job.prefixes)
            .filter(|slot| self.upstreams.get(*slot as usize).is_some_and(Option::is_some))
    }

    /// Tokens of the longest prefix that some upstream probably holds.
    pub(crate) fn best_hit(&self, job: &Job) -> Tokens {
        let hits = self.holders(job).map(|slot| self.upstream(slot).prefixes.hit(&job.prefixes));
        hits.max().unwrap_or(0)
    }
}
