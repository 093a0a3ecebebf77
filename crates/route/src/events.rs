//! What happens to requests in flight. Every way out returns the memory.

use crate::{
    fleet::{Fleet, Running},
    job::{FailureCause, TokenUsage},
};
use std::time::{Duration, Instant};
use wire::{RequestId, Tokens};

/// Shortest and longest pause of an upstream after a failure of its own.
const PAUSE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(5));

/// Fewest prompt tokens that say anything about a rate.
const MIN_SAMPLE: Tokens = 512;

impl Fleet {
    /// The first token of a request has come, so its prefill is over.
    /// `cached_tokens` is the part of the prompt that the engine found in its
    /// cache, if it says so. `false` if the request is not in flight.
    pub fn first_token_received(
        &mut self,
        now: Instant,
        request: &RequestId,
        cached_tokens: Option<Tokens>,
    ) -> bool {
        let Some(running) = self.running.get(request) else { return false };
        let Some((index, tokens)) = running.prefill else { return true };
        let (class, slot) = (running.class, running.parts[index].slot);
        let prefixes = running.prefixes.clone();
        let alone = running.backlog_at_start == 0 && cached_tokens.is_none_or(|c| c == 0);
        let elapsed = now.saturating_duration_since(running.prefill_started);
        let max = self.cfg.max_prefixes;
        let u = self.upstream_mut(slot);
        u.remove_prefill(now, class, tokens);
        u.failures = 0;
        u.prefixes.prefilled(&prefixes, max);
        if alone && tokens >= MIN_SAMPLE && u.ann.prefill_tokens_per_second > 0 {
            let rate = tokens as f64 / elapsed.as_secs_f64().max(1e-6);
            u.prefill_factor.add(rate / u.ann.prefill_tokens_per_second as f64);
        }
        self.running.get_mut(request).expect("it is in flight").prefill = None;
        self.touch(now, slot);
        true
    }

    /// A gang's segment is prefilled and its KV cache handed on; the next
    /// member's prefill begins. `false` if that segment was not outstanding.
    pub fn segment_prefilled(&mut self, now: Instant, request: &RequestId, index: usize) -> bool {
        let Some(running) = self.running.get(request) else { return false };
        let Some((current, tokens)) = running.prefill else { return false };
        if current != index || index + 1 >= running.parts.len() {
            return false;
        }
        let class = running.class;
        let (from, to) = (running.parts[index].slot, running.parts[index + 1].clone());
        self.upstream_mut(from).remove_prefill(now, class, tokens);
        self.upstream_mut(to.slot).add_prefill(now, class, to.prompt);
        self.running.get_mut(request).expect("it is in flight").prefill =
            Some((index + 1, to.prompt));
        self.touch(now, from);
        self.touch(now, to.slot);
        true
    }

    /// The engine reports how many prompt tokens of an outstanding prefill are
    /// left. More than was outstanding is ignored: reports may be late.
    pub fn prefill_progressed(
        &mut self,
        now: Instant,
        request: &RequestId,
        prefill_left: Tokens,
    ) -> bool {
        let Some(running) = self.running.get_mut(request) else { return false };
        let Some((index, tokens)) = running.prefill else { return true };
        if prefill_left >= tokens {
            return true;
        }
        running.prefill = Some((index, prefill_left));
        let (class, slot) = (running.class, running.parts[index].slot);
        let u = self.upstream_mut(slot);
        u.shrink_prefill(now, class, tokens - prefill_left);
        self.touch(now, slot);
        true
    }

    /// The whole answer has come. `false` if the request is not in flight.
    pub fn request_finished(
        &mut self,
        now: Instant,
        request: &RequestId,
        used: TokenUsage,
    ) -> bool {
        let Some(running) = self.release(now, request) else { return false };
        let estimator = &mut self.pools[running.pool].estimator;
        estimator.observe(running.estimated_prompt, running.max_output, used);
        running.parts.iter().for_each(|part| self.upstream_mut(part.slot).failures = 0);
        true
    }

    /// The request failed. `false` if it is not in flight.
    pub fn request_failed(
        &mut self,
        now: Instant,
        request: &RequestId,
        failure: FailureCause,
    ) -> bool {
        let Some(running) = self.release(now, request) else { return false };
        if failure == FailureCause::Request {
            return true;
        }
        for part in &running.parts {
            let u = self.upstream_mut(part.slot);
            let pause = PAUSE.0 * 2u32.saturating_pow(u.failures.min(8));
            u.failures += 1;
            u.paused_until = Some(now + pause.min(PAUSE.1));
            self.touch(now, part.slot);
        }
        true
    }

    /// The caller has left, or the daemon gives the request up. `false` if the
    /// request neither waits nor is in flight.
    pub fn request_cancelled(&mut self, now: Instant, request: &RequestId) -> bool {
        self.unqueue(now, request).is_some() || self.release(now, request).is_some()
    }

    /// Requests in flight whose deadline has passed; the caller cancels them at
    /// their upstreams and then calls [`request_cancelled`](Self::request_cancelled).
    pub fn overdue_requests(&self, now: Instant) -> Vec<RequestId> {
        self.deadlines.iter().take_while(|(at, _)| *at <= now).map(|(_, r)| r.clone()).collect()
    }

    /// Returns all memory of a request in flight.
    pub(crate) fn release(&mut self, now: Instant, request: &RequestId) -> Option<Running> {
        let running = self.running.remove(request)?;
        self.deadlines.remove(&(running.deadline, request.clone()));
        if let Some((index, tokens)) = running.prefill {
            let slot = running.parts[index].slot;
            self.upstream_mut(slot).remove_prefill(now, running.class, tokens);
        }
        for part in &running.parts {
            let u = self.upstream_mut(part.slot);
            u.release(request, running.class, part.tokens);
            u.suspects -= u32::from(running.is_suspect);
            self.touch(now, part.slot);
        }
        Some(running)
    }
}
