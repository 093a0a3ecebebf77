//! Sends jobs that wait to upstreams that have become free.

use crate::{
    fleet::{Fleet, Part, Running},
    gang::{Member, segments},
    job::{Dispatch, Placement, Reservation},
    place::Chosen,
    pool::PoolId,
    queue::{Key, Lane, Queued},
};
use std::time::Instant;
use wire::Tokens;

/// Jobs of one queue that are tried, so that one that does not fit does not
/// stop those behind it.
const LOOK_AHEAD: usize = 4;

impl Fleet {
    /// Gives every job that can start now its place. Each job is dispatched at
    /// most once. Pools take turns, one job each.
    pub fn dispatch(&mut self, now: Instant) -> Vec<Dispatch> {
        self.run_timers(now);
        self.dispatched = Some(now);
        let mut dispatches = Vec::new();
        if !self.is_in_service || self.queued.is_empty() {
            return dispatches;
        }
        let pools = self.pools.len();
        let mut waiting: Vec<PoolId> = (0..pools)
            .map(|i| (self.first_pool + i) % pools)
            .filter(|pool| !self.pools[*pool].queues.is_empty())
            .collect();
        self.first_pool = (self.first_pool + 1) % pools;
        while !waiting.is_empty() {
            waiting.retain(|pool| match self.dispatch_one(now, *pool) {
                Some(dispatch) => {
                    dispatches.push(dispatch);
                    !self.pools[*pool].queues.is_empty()
                }
                None => false,
            });
        }
        dispatches
    }

    fn dispatch_one(&mut self, now: Instant, pool: PoolId) -> Option<Dispatch> {
        if self.pools[pool].open.is_empty() {
            return None;
        }
        let candidates = self.pools[pool].queues.candidates(now, LOOK_AHEAD);
        candidates.into_iter().find_map(|(lane, key)| self.try_job(now, pool, lane, key))
    }

    fn try_job(&mut self, now: Instant, pool: PoolId, lane: Lane, key: Key) -> Option<Dispatch> {
        let queued = self.pools[pool].queues.get(lane, key)?;
        if queued.latest_start < now || self.is_blocked(now, pool, queued) {
            return None;
        }
        let queued = queued.clone();
        if queued.is_gang {
            let Some(members) = self.place_gang(now, pool, &queued) else {
                self.hold(now, pool, &queued);
                return None;
            };
            return Some(self.start_gang(now, pool, &queued, &members));
        }
        match self.place(now, pool, &queued) {
            Some(chosen) => Some(self.start_single(now, pool, &queued, chosen)),
            None => {
                if self.pools[pool].largest_room() < queued.need {
                    self.hold(now, pool, &queued);
                }
                None
            }
        }
    }

    fn start_single(
        &mut self,
        now: Instant,
        pool: PoolId,
        queued: &Queued,
        chosen: Chosen,
    ) -> Dispatch {
        let slot = chosen.slot;
        let hit = self.upstream(slot).prefixes.hit(&queued.job.prefixes);
        let prefill = queued.prompt.saturating_sub(hit);
        let part = Part { slot, tokens: queued.need, prompt: queued.prompt };
        let placement = Placement::Single(self.reservation(&part));
        self.start(now, pool, queued, vec![part], prefill);
        self.dispatch_of(queued, placement, now + chosen.first_token)
    }

    fn start_gang(
        &mut self,
        now: Instant,
        pool: PoolId,
        queued: &Queued,
        members: &[Member],
    ) -> Dispatch {
        let mut prompt_left = queued.prompt;
        let parts: Vec<Part> = members
            .iter()
            .map(|member| {
                let prompt = member.tokens.min(prompt_left);
                prompt_left -= prompt;
                Part { slot: member.slot, tokens: member.tokens, prompt }
            })
            .collect();
        let reservations = parts.iter().map(|part| (self.reservation(part), part.prompt)).collect();
        let first = parts[0].prompt;
        self.start(now, pool, queued, parts, first);
        self.dispatch_of(queued, Placement::Gang(segments(reservations)), now + queued.prefill_time)
    }

    /// Reserves the memory of all parts and moves the job from its queue to the
    /// requests in flight.
    fn start(
        &mut self,
        now: Instant,
        pool: PoolId,
        queued: &Queued,
        parts: Vec<Part>,
        prefill: Tokens,
    ) {
        let request = &queued.job.request;
        self.unqueue(now, request);
        let first = parts[0].slot;
        let backlog_at_start = self.upstream(first).prefill_tokens;
        for part in &parts {
            let u = self.upstream_mut(part.slot);
            u.reserve(request, queued.class, part.tokens);
            u.suspects += u32::from(queued.job.is_suspect);
        }
        self.upstream_mut(first).add_prefill(now, queued.class, prefill);
        parts.iter().for_each(|part| self.touch(now, part.slot));
        let single = parts.len() == 1;
        if single {
            queued.job.prefixes.iter().for_each(|p| self.prefix_holders.add(p.hash, first));
        }
        self.deadlines.insert((queued.job.deadline, request.clone()));
        let running = Running {
            pool,
            class: queued.class,
            deadline: queued.job.deadline,
            estimated_prompt: queued.job.prompt_tokens,
            max_output: queued.job.max_output_tokens,
            prefixes: if single { queued.job.prefixes.clone() } else { Vec::new() },
            parts,
            prefill: Some((0, prefill)),
            prefill_started: now,
            backlog_at_start,
            is_suspect: queued.job.is_suspect,
        };
        self.running.insert(request.clone(), running);
    }

    fn reservation(&self, part: &Part) -> Reservation {
        let ann = &self.upstream(part.slot).ann;
        Reservation { upstream: ann.id.clone(), incarnation: ann.incarnation, tokens: part.tokens }
    }

    fn dispatch_of(&self, queued: &Queued, placement: Placement, expected: Instant) -> Dispatch {
        Dispatch {
            request: queued.job.request.clone(),
            placement,
            class: queued.class,
            priority: queued.job.priority,
            first_token_expected: expected,
        }
    }
}
