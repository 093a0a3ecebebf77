//! Results of several runs with different seeds.

use crate::{
    pattern::Pattern,
    play::{KindResult, RunResult, play},
    policy::Policy,
};
use std::collections::BTreeMap;
use wire::Tokens;

/// Cost of a request that is retried and refused again, as a share of its worth; from the users'
/// requirements.
const REFUSED_AGAIN_COST: f64 = 0.3;
/// Upper bounds of the buckets of prompt length, in tokens: drafts, reviews, digests that one
/// engine can prefill in time, and all longer prompts.
const BUCKET_LIMITS: [Tokens; 4] = [24_000, 110_000, 160_000, Tokens::MAX];

/// Results of one policy under one pattern, over all seeds.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Name of the policy.
    pub policy: &'static str,
    /// Mean of [`RunResult::earned_share`].
    pub earned_share: f64,
    /// Sums over all runs, by the name of the kind.
    pub kinds: BTreeMap<&'static str, KindResult>,
    /// Times to the first event, by length of the prompt.
    pub first_events: Vec<PromptLengthBucket>,
    /// Times to the first event of all requests with a response, in milliseconds, sorted.
    pub first_event_times_ms: Vec<f64>,
}

/// Times to the first event of prompts whose length lies in one bucket.
#[derive(Clone, Copy, Debug)]
pub struct PromptLengthBucket {
    /// Longest prompt of the bucket, in tokens. The bucket starts above the longest prompt of the
    /// previous one.
    pub max_tokens: Tokens,
    /// Number of requests that got a response.
    pub answered: usize,
    /// Median time to the first event, in milliseconds; 0 without a response.
    pub median_ms: f64,
    /// 95th percentile of the time to the first event, in milliseconds; 0 without a response.
    pub p95_ms: f64,
}

/// Simulates a pattern under a policy on `engines` engines, once for each seed from 1 to `seeds`.
pub fn summarize(policy: &Policy, pattern: &Pattern, engines: usize, seeds: u64) -> Summary {
    let runs: Vec<RunResult> =
        (1..=seeds).map(|seed| play(policy, pattern, engines, seed)).collect();
    let mut kinds: BTreeMap<&'static str, KindResult> = BTreeMap::new();
    for (name, result) in runs.iter().flat_map(|run| &run.kinds) {
        kinds.entry(name).or_default().add(result);
    }
    let first_times: Vec<(Tokens, f64)> =
        runs.iter().flat_map(|run| run.first_events.clone()).collect();
    let mut min_tokens = 0;
    let first_events = BUCKET_LIMITS.iter().map(|max_tokens| {
        let is_in_bucket =
            |(prompt, _): &&(Tokens, f64)| (min_tokens..=*max_tokens).contains(prompt);
        let times = sorted(first_times.iter().filter(is_in_bucket).map(|(_, ms)| *ms));
        min_tokens = max_tokens.saturating_add(1);
        PromptLengthBucket {
            max_tokens: *max_tokens,
            answered: times.len(),
            median_ms: quantile(&times, 0.5),
            p95_ms: quantile(&times, 0.95),
        }
    });
    Summary {
        policy: policy.name,
        earned_share: runs.iter().map(RunResult::earned_share).sum::<f64>()
            / runs.len().max(1) as f64,
        first_events: first_events.collect(),
        first_event_times_ms: sorted(first_times.iter().map(|(_, ms)| *ms)),
        kinds,
    }
}

impl RunResult {
    /// Earned worth less the costs of requests that were held long or refused again, as a share
    /// of the worth that all requests would have had on time.
    pub fn earned_share(&self) -> f64 {
        let sum = |part: fn(&KindResult) -> f64| self.kinds.values().map(part).sum::<f64>();
        let penalty = sum(|result| result.holding_cost)
            + REFUSED_AGAIN_COST * sum(|result| result.refused_again_worth);
        (sum(|result| result.earned_worth) - penalty)
            / sum(|result| result.total_worth).max(f64::MIN_POSITIVE)
    }
}

impl KindResult {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.on_time += other.on_time;
        self.late += other.late;
        self.refused += other.refused;
        self.retried += other.retried;
        self.refused_again_worth += other.refused_again_worth;
        self.total_worth += other.total_worth;
        self.holding_cost += other.holding_cost;
        self.earned_worth += other.earned_worth;
    }
}

/// Sorts times in ascending order.
fn sorted(times: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut times: Vec<f64> = times.collect();
    times.sort_by(f64::total_cmp);
    times
}

/// Quantile `q` (0 to 1) of sorted values: the one at the nearest index, or 0 without values.
fn quantile(sorted: &[f64], q: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * q).round() as usize).copied().unwrap_or_default()
}
