//! Placement of prompts that need the memory of several upstreams.

use crate::{
    class::LengthClass,
    fleet::Fleet,
    job::{PromptSegment, Reservation},
    place::HELD_MEMORY_SHORT_DIVISOR,
    pool::PoolId,
    queue::QueuedJob,
    upstream::{Upstream, UpstreamIndex},
};
use std::time::Instant;
use wire::{RequestId, Tokens};

/// Maximum number of upstreams examined for a gang, those with the most free memory.
const MAX_GANG_CANDIDATES: usize = 64;

/// Member of a gang before its memory is reserved.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    pub(crate) upstream: UpstreamIndex,
    pub(crate) tokens: Tokens,
}

impl Fleet {
    /// Total memory of the largest possible gang of a pool, in tokens.
    pub(crate) fn largest_gang_tokens(&self, pool: PoolId) -> Tokens {
        let largest =
            self.pools[pool].by_memory.iter().rev().map(|(_, upstream)| self.upstream(*upstream));
        largest
            .filter(|u| u.info.transfers_kv_cache)
            .take(self.cfg.max_gang_members)
            .map(|u| u.info.memory_tokens)
            .sum()
    }

    /// Chooses members that together have enough free memory, or `None`. Nothing is reserved
    /// until all have been found, and then all at once in the order of their ids, so two gangs
    /// can't each wait for memory that the other one has reserved (a deadlock).
    pub(crate) fn place_gang(
        &self,
        now: Instant,
        pool: PoolId,
        queued: &QueuedJob,
    ) -> Option<Vec<Member>> {
        let mut remaining = queued.need;
        let mut members = Vec::new();
        for upstream in self.gang_candidates(now, pool, queued) {
            let free = self.upstream(upstream).free_tokens(now);
            if members.len() == self.cfg.max_gang_members
                || free < self.cfg.min_segment_tokens.min(remaining)
            {
                break;
            }
            members.push(Member { upstream, tokens: free });
            remaining = remaining.saturating_sub(free);
            if remaining == 0 {
                break;
            }
        }
        if remaining > 0 {
            return None;
        }
        split_evenly(&mut members, queued.need);
        members.sort_by(|a, b| {
            self.upstream(a.upstream).info.id.cmp(&self.upstream(b.upstream).info.id)
        });
        self.preserves_headroom(now, pool, members.first()?.upstream, queued.class)
            .then_some(members)
    }

    /// Holds back memory for a large job that has been queued for long: the chosen upstreams
    /// accept no other work until the job fits, except short prompts within a part of their
    /// memory. Memory is held for one job per pool at a time, and on an upstream for one job.
    pub(crate) fn hold_memory(&mut self, now: Instant, pool: PoolId, queued: &QueuedJob) {
        let request = &queued.job.request;
        let waited = now.saturating_duration_since(queued.arrived);
        // Smaller jobs find enough memory as others finish. Holding memory for them would
        // delay the large ones.
        let is_large = queued.need > self.pools[pool].largest_memory() / 2;
        let may_hold_now = is_large && waited >= self.cfg.hold_memory_after;
        if self.pools[pool].memory_held_for.is_some() || !may_hold_now {
            return;
        }
        let mut upstreams: Vec<UpstreamIndex> =
            self.pools[pool].by_memory.iter().map(|(_, upstream)| *upstream).collect();
        upstreams.retain(|upstream| may_hold(self.upstream(*upstream), queued));
        let usable_tokens =
            |u: &Upstream| u.info.memory_tokens - u.info.memory_tokens / HELD_MEMORY_SHORT_DIVISOR;
        // Upstreams with the least reserved memory drain soonest.
        upstreams.sort_by_key(|upstream| self.upstream(*upstream).reserved);
        let mut remaining = queued.need;
        let mut chosen = Vec::new();
        for upstream in upstreams {
            if remaining == 0 || chosen.len() == self.cfg.max_gang_members {
                break;
            }
            remaining = remaining.saturating_sub(usable_tokens(self.upstream(upstream)));
            chosen.push(upstream);
        }
        for upstream in chosen {
            self.upstream_mut(upstream).held_for = Some(request.clone());
        }
        self.pools[pool].memory_held_for = Some(request.clone());
    }

    /// Releases the memory held back for a job that is no longer queued.
    pub(crate) fn release_hold(&mut self, _now: Instant, pool: PoolId, request: &RequestId) {
        if self.pools[pool].memory_held_for.as_ref() != Some(request) {
            return;
        }
        self.pools[pool].memory_held_for = None;
        let held = self.upstreams.iter_mut().flatten();
        held.filter(|u| u.held_for.as_ref() == Some(request)).for_each(|u| u.held_for = None);
    }

    /// Upstreams that can be members of a gang for this job, the one with the most free memory
    /// first.
    fn gang_candidates(
        &self,
        now: Instant,
        pool: PoolId,
        queued: &QueuedJob,
    ) -> Vec<UpstreamIndex> {
        let by_free_tokens = self.pools[pool]
            .by_free_tokens
            .iter()
            .rev()
            .take(MAX_GANG_CANDIDATES)
            .map(|(_, upstream)| *upstream);
        let usable = |upstream: &UpstreamIndex| {
            let u = self.upstream(*upstream);
            u.info.transfers_kv_cache
                && u.running() < u.allowed_running(now)
                && !u.has_prefill_from(LengthClass::Medium)
                && !(queued.job.is_suspect && u.suspects > 0)
                && !queued.job.avoid.contains(&u.info.id)
                && u.held_for.as_ref().is_none_or(|request| *request == queued.job.request)
        };
        by_free_tokens.filter(usable).collect()
    }
}

/// Whether memory of an upstream may be held back for this job, and is of use to it.
fn may_hold(u: &Upstream, queued: &QueuedJob) -> bool {
    u.held_for.is_none()
        && !queued.job.avoid.contains(&u.info.id)
        && if queued.is_gang {
            u.info.transfers_kv_cache
        } else {
            u.info.memory_tokens - u.info.memory_tokens / HELD_MEMORY_SHORT_DIVISOR >= queued.need
        }
}

/// Splits the needed memory over the members as evenly as their memory allows, so that each keeps
/// some for short prompts.
fn split_evenly(members: &mut [Member], need: Tokens) {
    members.sort_by_key(|member| member.tokens);
    let mut remaining = need;
    let mut others = members.len() as Tokens;
    for member in members {
        member.tokens = member.tokens.min(remaining.div_ceil(others));
        remaining -= member.tokens;
        others -= 1;
    }
}

/// Splits a prompt into the segments of a gang, given the reservation and the prompt tokens of
/// each member.
pub(crate) fn segments(reservations: Vec<(Reservation, Tokens)>) -> Vec<PromptSegment> {
    let mut start = 0;
    reservations
        .into_iter()
        .map(|(reservation, prompt)| {
            let segment = PromptSegment { reservation, start, end: start + prompt };
            start += prompt;
            segment
        })
        .collect()
}
