//! Events of requests in flight. Every event that ends a request releases its memory.

use crate::{
    fleet::{Fleet, RunningRequest},
    job::{FailureCause, TokenUsage},
};
use std::time::{Duration, Instant};
use wire::{RequestId, Tokens};

/// Shortest and longest pause of an upstream after a failure that it caused. The pause doubles
/// with each consecutive failure.
const FAILURE_PAUSE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(5));

/// Minimum length of a prefill from which a rate is learnt; shorter ones are too inexact.
const MIN_SAMPLE_TOKENS: Tokens = 512;

impl Fleet {
    /// Records the first token of a request, which ends its prefill. `cached_tokens` is the part
    /// of the prompt that the engine found in its cache, if it reports that. Returns `false` if
    /// the request is not in flight.
    ///
    /// The prefill rate is learnt only from a prefill that found no other one on its upstream and
    /// used no cache as far as reported; the time of any other includes waiting or skipped work.
    pub fn first_token_received(
        &mut self,
        now: Instant,
        request: &RequestId,
        cached_tokens: Option<Tokens>,
    ) -> bool {
        let Some(running) = self.running.get(request) else { return false };
        let Some((index, tokens)) = running.prefill else { return true };
        let (class, upstream) = (running.class, running.parts[index].upstream);
        let prefixes = running.prefixes.clone();
        let alone = running.backlog_at_start == 0 && cached_tokens.is_none_or(|c| c == 0);
        let elapsed = now.saturating_duration_since(running.prefill_started);
        let max = self.cfg.max_prefixes;
        let u = self.upstream_mut(upstream);
        u.remove_prefill(now, class, tokens);
        u.consecutive_failures = 0;
        u.prefixes.record_prefill(&prefixes, max);
        if alone && tokens >= MIN_SAMPLE_TOKENS && u.info.prefill_tokens_per_second > 0 {
            let rate = tokens as f64 / elapsed.as_secs_f64().max(1e-6);
            u.prefill_factor.add(rate / u.info.prefill_tokens_per_second as f64);
        }
        self.running.get_mut(request).expect("the request is in flight").prefill = None;
        self.reindex(now, upstream);
        true
    }

    /// Records that a member of a gang has prefilled its segment and transferred the KV cache, so
    /// that the prefill of the next member begins. Returns `false` if the segment at `index` was
    /// not outstanding or is the last one, which ends with the first token.
    pub fn segment_prefilled(&mut self, now: Instant, request: &RequestId, index: usize) -> bool {
        let Some(running) = self.running.get(request) else { return false };
        let Some((current, tokens)) = running.prefill else { return false };
        if current != index || index + 1 >= running.parts.len() {
            return false;
        }
        let class = running.class;
        let (from, to) = (running.parts[index].upstream, running.parts[index + 1].clone());
        self.upstream_mut(from).remove_prefill(now, class, tokens);
        self.upstream_mut(to.upstream).add_prefill(now, class, to.prompt);
        self.running.get_mut(request).expect("the request is in flight").prefill =
            Some((index + 1, to.prompt));
        self.reindex(now, from);
        self.reindex(now, to.upstream);
        true
    }

    /// Updates how many prompt tokens of an outstanding prefill remain, as the engine reports. A
    /// value that is not lower than the known one is ignored, as reports may be late. Returns
    /// `false` if the request is not in flight.
    pub fn prefill_progressed(
        &mut self,
        now: Instant,
        request: &RequestId,
        remaining_tokens: Tokens,
    ) -> bool {
        let Some(running) = self.running.get_mut(request) else { return false };
        let Some((index, tokens)) = running.prefill else { return true };
        if remaining_tokens >= tokens {
            return true;
        }
        running.prefill = Some((index, remaining_tokens));
        let (class, upstream) = (running.class, running.parts[index].upstream);
        let u = self.upstream_mut(upstream);
        u.shrink_prefill(now, class, tokens - remaining_tokens);
        self.reindex(now, upstream);
        true
    }

    /// Ends a request whose whole response has been received, and learns from the tokens used.
    /// Returns `false` if the request is not in flight.
    pub fn request_finished(
        &mut self,
        now: Instant,
        request: &RequestId,
        used: TokenUsage,
    ) -> bool {
        let Some(running) = self.release(now, request) else { return false };
        let estimator = &mut self.pools[running.pool].estimator;
        estimator.observe(running.estimated_prompt, running.max_output, used);
        running
            .parts
            .iter()
            .for_each(|part| self.upstream_mut(part.upstream).consecutive_failures = 0);
        true
    }

    /// Ends a failed request. If the upstream caused the failure, every upstream of the placement
    /// is paused, for longer after each consecutive failure. Returns `false` if the request is
    /// not in flight.
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
            let u = self.upstream_mut(part.upstream);
            let pause = FAILURE_PAUSE.0 * 2u32.saturating_pow(u.consecutive_failures.min(8));
            u.consecutive_failures += 1;
            u.paused_until = Some(now + pause.min(FAILURE_PAUSE.1));
            self.reindex(now, part.upstream);
        }
        true
    }

    /// Ends a request because the caller has disconnected or the daemon gives it up. Returns
    /// `false` if the request is neither queued nor in flight.
    pub fn request_cancelled(&mut self, now: Instant, request: &RequestId) -> bool {
        self.unqueue(now, request).is_some() || self.release(now, request).is_some()
    }

    /// Requests in flight whose deadline has passed. The caller cancels them at their upstreams
    /// and then calls [`request_cancelled`](Self::request_cancelled).
    pub fn overdue_requests(&self, now: Instant) -> Vec<RequestId> {
        self.deadlines.iter().take_while(|(at, _)| *at <= now).map(|(_, r)| r.clone()).collect()
    }

    /// Removes a request in flight and releases its memory on all upstreams.
    pub(crate) fn release(&mut self, now: Instant, request: &RequestId) -> Option<RunningRequest> {
        let running = self.running.remove(request)?;
        self.deadlines.remove(&(running.deadline, request.clone()));
        if let Some((index, tokens)) = running.prefill {
            let upstream = running.parts[index].upstream;
            self.upstream_mut(upstream).remove_prefill(now, running.class, tokens);
        }
        for part in &running.parts {
            let u = self.upstream_mut(part.upstream);
            u.release(request, running.class, part.tokens);
            u.suspects -= u32::from(running.is_suspect);
            self.reindex(now, part.upstream);
        }
        Some(running)
    }
}
