//! Dispatches queued jobs to upstreams.

use crate::{
    fleet::{Fleet, Part, RunningRequest},
    gang::{Member, segments},
    job::{Dispatch, Placement, Reservation},
    place::UpstreamChoice,
    pool::PoolId,
    queue::{QueueId, QueuePosition, QueuedJob},
};
use std::time::Instant;
use wire::Tokens;

/// Maximum number of jobs tried from the front of one queue. More than one, so that a job that
/// does not fit does not block those behind it.
const MAX_TRIED_PER_QUEUE: usize = 4;

impl Fleet {
    /// Places every queued job that can start now. Each job is dispatched at most once. Pools
    /// take turns with one job each.
    pub fn dispatch(&mut self, now: Instant) -> Vec<Dispatch> {
        self.run_timers(now);
        self.last_dispatch = Some(now);
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

    /// Dispatches the first job of a pool that can start, among those at the front of its queues.
    fn dispatch_one(&mut self, now: Instant, pool: PoolId) -> Option<Dispatch> {
        if self.pools[pool].by_prefill_done.is_empty() {
            return None;
        }
        let candidates = self.pools[pool].queues.candidates(now, MAX_TRIED_PER_QUEUE);
        candidates
            .into_iter()
            .find_map(|(queue_id, position)| self.try_job(now, pool, queue_id, position))
    }

    /// Dispatches a job if it can still finish in time and an upstream or a gang can take it.
    /// For a job that found no memory, memory may be held back.
    fn try_job(
        &mut self,
        now: Instant,
        pool: PoolId,
        queue_id: QueueId,
        position: QueuePosition,
    ) -> Option<Dispatch> {
        let queued = self.pools[pool].queues.get(queue_id, position)?;
        if queued.latest_start < now || self.is_blocked(now, pool, queued) {
            return None;
        }
        let queued = queued.clone();
        if queued.is_gang {
            let Some(members) = self.place_gang(now, pool, &queued) else {
                self.hold_memory(now, pool, &queued);
                return None;
            };
            return Some(self.start_gang(now, pool, &queued, &members));
        }
        match self.place(now, pool, &queued) {
            Some(chosen) => Some(self.start_single(now, pool, &queued, chosen)),
            None => {
                if self.pools[pool].largest_free_tokens() < queued.need {
                    self.hold_memory(now, pool, &queued);
                }
                None
            }
        }
    }

    /// Starts a job on one upstream; the prefix that the upstream probably holds is not counted as
    /// prefill.
    fn start_single(
        &mut self,
        now: Instant,
        pool: PoolId,
        queued: &QueuedJob,
        chosen: UpstreamChoice,
    ) -> Dispatch {
        let upstream = chosen.upstream;
        let hit = self.upstream(upstream).prefixes.longest_hit(&queued.job.prefixes);
        let prefill = queued.prompt.saturating_sub(hit);
        let part = Part { upstream, tokens: queued.need, prompt: queued.prompt };
        let placement = Placement::Single(self.reservation(&part));
        self.start(now, pool, queued, vec![part], prefill);
        self.dispatch_of(queued, placement, now + chosen.first_token)
    }

    /// Starts a job on a gang. The prompt is split over the members in turn; each gets as much
    /// as the memory reserved on it holds.
    fn start_gang(
        &mut self,
        now: Instant,
        pool: PoolId,
        queued: &QueuedJob,
        members: &[Member],
    ) -> Dispatch {
        let mut remaining_prompt = queued.prompt;
        let parts: Vec<Part> = members
            .iter()
            .map(|member| {
                let prompt = member.tokens.min(remaining_prompt);
                remaining_prompt -= prompt;
                Part { upstream: member.upstream, tokens: member.tokens, prompt }
            })
            .collect();
        let reservations = parts.iter().map(|part| (self.reservation(part), part.prompt)).collect();
        let first = parts[0].prompt;
        self.start(now, pool, queued, parts, first);
        self.dispatch_of(queued, Placement::Gang(segments(reservations)), now + queued.prefill_time)
    }

    /// Reserves the memory of all parts and moves the job from its queue to the requests in
    /// flight. `prefill` is the number of tokens that the first part has to prefill.
    fn start(
        &mut self,
        now: Instant,
        pool: PoolId,
        queued: &QueuedJob,
        parts: Vec<Part>,
        prefill: Tokens,
    ) {
        let request = &queued.job.request;
        self.unqueue(now, request);
        let first = parts[0].upstream;
        let backlog_at_start = self.upstream(first).prefill_tokens;
        for part in &parts {
            let u = self.upstream_mut(part.upstream);
            u.reserve(request, queued.class, part.tokens);
            u.suspects += u32::from(queued.job.is_suspect);
        }
        self.upstream_mut(first).add_prefill(now, queued.class, prefill);
        parts.iter().for_each(|part| self.reindex(now, part.upstream));
        let single = parts.len() == 1;
        if single {
            queued.job.prefixes.iter().for_each(|p| self.prefix_holders.add(p.hash, first));
        }
        self.deadlines.insert((queued.job.deadline, request.clone()));
        let running = RunningRequest {
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

    /// Reservation of a part, with the current incarnation of its upstream.
    fn reservation(&self, part: &Part) -> Reservation {
        let info = &self.upstream(part.upstream).info;
        Reservation {
            upstream: info.id.clone(),
            incarnation: info.incarnation,
            tokens: part.tokens,
        }
    }

    fn dispatch_of(&self, queued: &QueuedJob, placement: Placement, expected: Instant) -> Dispatch {
        Dispatch {
            request: queued.job.request.clone(),
            placement,
            class: queued.class,
            priority: queued.job.priority,
            first_token_expected: expected,
        }
    }
}
