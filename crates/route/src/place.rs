//! Choice of one upstream for a job.

use crate::{
    class::LengthClass,
    config::Policy,
    fleet::Fleet,
    job::Job,
    pool::{Pool, PoolId},
    queue::Queued,
    upstream::{Slot, Upstream},
};
use std::time::{Duration, Instant};
use wire::Tokens;

/// Upstreams looked at by least prefill work, and again by most memory.
const LOOK: usize = 16;

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
            Policy::Predicted | Policy::NoLengthClasses => self.place_predicted(now, pool, queued),
            Policy::LeastOutstanding => self.place_least_outstanding(now, pool, queued),
            Policy::RoundRobin => self.place_round_robin(now, pool, queued),
        }
    }

    fn place_predicted(&self, now: Instant, pool: PoolId, queued: &Queued) -> Option<Chosen> {
        let p = &self.pools[pool];
        if p.largest_room() < queued.need {
            return None;
        }
        let by_work = p.open.iter().take(LOOK).map(|(_, slot)| *slot);
        let by_room = p
            .roomy
            .iter()
            .rev()
            .take(LOOK)
            .take_while(|(room, _)| *room >= queued.need)
            .map(|(_, slot)| *slot);
        let holders = self.holders(&queued.job);
        let best = holders
            .chain(by_work)
            .chain(by_room)
            .filter(|slot| self.may_take(now, pool, *slot, queued))
            .map(|slot| Chosen { slot, first_token: self.predict(now, slot, queued) })
            .min_by_key(|chosen| chosen.first_token)?;
        let backlog = self.upstream(best.slot).backlog(now, queued.class);
        (backlog <= self.cfg.max_backlog).then_some(best)
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
            .map(|slot| Chosen { slot, first_token: self.predict(now, slot, queued) })
    }

    fn place_round_robin(&mut self, now: Instant, pool: PoolId, queued: &Queued) -> Option<Chosen> {
        let mut slots: Vec<Slot> = self.pools[pool].open.iter().map(|(_, slot)| *slot).collect();
        slots.sort_unstable();
        let next = self.pools[pool].next_turn;
        let start = slots.partition_point(|slot| *slot < next);
        slots.rotate_left(start);
        let slot = slots.into_iter().find(|slot| self.is_possible(now, *slot, queued))?;
        self.pools[pool].next_turn = slot + 1;
        Some(Chosen { slot, first_token: self.predict(now, slot, queued) })
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

    /// Whether a job may go to an upstream under the length classes too.
    fn may_take(&self, now: Instant, pool: PoolId, slot: Slot, queued: &Queued) -> bool {
        self.is_possible(now, slot, queued) && self.keeps_shares(now, pool, slot, queued.class)
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
        if class == LengthClass::Short {
            return true;
        }
        let u = self.upstream(slot);
        if u.has_prefill_from(LengthClass::Medium) {
            return false;
        }
        let pool = &self.pools[pool];
        LengthClass::ALL[..class.index()].iter().all(|shorter| {
            let free = pool.serving - pool.with_longer[shorter.index()];
            free > self.kept_free(now, pool, *shorter)
        })
    }

    /// Upstreams to keep free of prefills longer than this class.
    pub(crate) fn kept_free(&self, now: Instant, pool: &Pool, class: LengthClass) -> u32 {
        let demand: f64 = pool.demand[..=class.index()].iter().map(|m| m.rate(now)).sum();
        let percent = match class {
            LengthClass::Short => self.cfg.short_utilisation_percent,
            _ => self.cfg.long_utilisation_percent,
        };
        let needed = demand / pool.mean_rate().max(1.0) * 100.0 / f64::from(percent.max(1));
        (needed.ceil() as u32).min(pool.serving.saturating_sub(1))
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
    fn predict(&self, now: Instant, slot: Slot, queued: &Queued) -> Duration {
        let u = self.upstream(slot);
        let uncached = queued.prompt.saturating_sub(u.prefixes.hit(&queued.job.prefixes));
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
