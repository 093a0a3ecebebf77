//! Prompts that need the memory of several upstreams.

use crate::{
    class::LengthClass,
    fleet::Fleet,
    job::{PromptSegment, Reservation},
    place::SHORT_PART_OF_HELD,
    pool::PoolId,
    queue::Queued,
    upstream::{Slot, Upstream},
};
use std::time::Instant;
use wire::{RequestId, Tokens};

/// Upstreams looked at for a gang.
const LOOK: usize = 64;

/// Member of a gang that is about to be reserved.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    pub(crate) slot: Slot,
    pub(crate) tokens: Tokens,
}

impl Fleet {
    /// Memory that the largest gang of a pool can bring together, in tokens.
    pub(crate) fn gang_reach(&self, pool: PoolId) -> Tokens {
        let largest = self.pools[pool].capacity.iter().rev().map(|(_, slot)| self.upstream(*slot));
        largest
            .filter(|u| u.ann.transfers_kv_cache)
            .take(self.cfg.max_gang_members)
            .map(|u| u.ann.memory_tokens)
            .sum()
    }

    /// Members with enough memory together, or none. Nothing is reserved until
    /// all have been found, and then all at once in the order of their ids; so
    /// no two gangs can each wait for what the other holds.
    pub(crate) fn place_gang(
        &self,
        now: Instant,
        pool: PoolId,
        queued: &Queued,
    ) -> Option<Vec<Member>> {
        let mut left = queued.need;
        let mut members = Vec::new();
        for slot in self.gang_candidates(now, pool, queued) {
            let room = self.upstream(slot).room(now);
            if members.len() == self.cfg.max_gang_members
                || room < self.cfg.min_segment_tokens.min(left)
            {
                break;
            }
            members.push(Member { slot, tokens: room });
            left = left.saturating_sub(room);
            if left == 0 {
                break;
            }
        }
        if left > 0 {
            return None;
        }
        share_evenly(&mut members, queued.need);
        members.sort_by(|a, b| self.upstream(a.slot).ann.id.cmp(&self.upstream(b.slot).ann.id));
        self.keeps_shares(now, pool, members.first()?.slot, queued.class).then_some(members)
    }

    /// Keeps memory for a job that has waited long for much of it: the chosen
    /// upstreams take no other work, but for a part for short prompts, until it
    /// fits. One job per pool at a time holds, and an upstream is held by one.
    pub(crate) fn hold(&mut self, now: Instant, pool: PoolId, queued: &Queued) {
        let request = &queued.job.request;
        let waited = now.saturating_duration_since(queued.arrived);
        // Smaller jobs find room as others end; a hold for each of them would
        // keep the large ones from theirs.
        let is_large = queued.need > self.pools[pool].largest_memory() / 2;
        let may_hold_now = is_large && waited >= self.cfg.hold_memory_after;
        if self.pools[pool].holder.is_some() || !may_hold_now {
            return;
        }
        let mut slots: Vec<Slot> =
            self.pools[pool].capacity.iter().map(|(_, slot)| *slot).collect();
        slots.retain(|slot| may_hold(self.upstream(*slot), queued));
        let reach = |u: &Upstream| u.ann.memory_tokens - u.ann.memory_tokens / SHORT_PART_OF_HELD;
        // The least reserved first: they drain soonest.
        slots.sort_by_key(|slot| self.upstream(*slot).reserved);
        let mut left = queued.need;
        let mut chosen = Vec::new();
        for slot in slots {
            if left == 0 || chosen.len() == self.cfg.max_gang_members {
                break;
            }
            left = left.saturating_sub(reach(self.upstream(slot)));
            chosen.push(slot);
        }
        for slot in chosen {
            self.upstream_mut(slot).held_by = Some(request.clone());
        }
        self.pools[pool].holder = Some(request.clone());
    }

    /// Ends the hold of a job that no longer waits.
    pub(crate) fn drop_hold(&mut self, _now: Instant, pool: PoolId, request: &RequestId) {
        if self.pools[pool].holder.as_ref() != Some(request) {
            return;
        }
        self.pools[pool].holder = None;
        let held = self.upstreams.iter_mut().flatten();
        held.filter(|u| u.held_by.as_ref() == Some(request)).for_each(|u| u.held_by = None);
    }

    fn gang_candidates(&self, now: Instant, pool: PoolId, queued: &Queued) -> Vec<Slot> {
        let roomy = self.pools[pool].roomy.iter().rev().take(LOOK).map(|(_, slot)| *slot);
        let usable = |slot: &Slot| {
            let u = self.upstream(*slot);
            u.ann.transfers_kv_cache
                && u.running() < u.allowed_running(now)
                && !u.has_prefill_from(LengthClass::Medium)
                && !(queued.job.is_suspect && u.suspects > 0)
                && !queued.job.avoid.contains(&u.ann.id)
                && u.held_by.as_ref().is_none_or(|holder| *holder == queued.job.request)
        };
        roomy.filter(usable).collect()
    }
}

fn may_hold(u: &Upstream, queued: &Queued) -> bool {
    u.held_by.is_none()
        && !queued.job.avoid.contains(&u.ann.id)
        && if queued.is_gang {
            u.ann.transfers_kv_cache
        } else {
            u.ann.memory_tokens - u.ann.memory_tokens / SHORT_PART_OF_HELD >= queued.need
        }
}

/// Splits the need over the members as evenly as their memory allows, so that
/// each keeps some for short prompts.
fn share_evenly(members: &mut [Member], need: Tokens) {
    members.sort_by_key(|member| member.tokens);
    let mut left = need;
    let mut others = members.len() as Tokens;
    for member in members {
        member.tokens = member.tokens.min(left.div_ceil(others));
        left -= member.tokens;
        others -= 1;
    }
}

/// Cuts a prompt into the segments of a gang.
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
