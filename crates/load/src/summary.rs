//! Figures of several runs.

use crate::{
    pattern::Pattern,
    play::{KindResult, RunResult, play},
    policy::Policy,
};
use std::collections::BTreeMap;
use wire::Tokens;

/// Part of its worth that a request which came back and is refused again costs the users,
/// by their sheets.
const REFUSED_AGAIN: f64 = 0.3;
/// Upper bounds of the classes of length, in tokens: a draft, a review, a digest that one
/// engine reads in time, and any.
const LENGTHS: [Tokens; 4] = [24_000, 110_000, 160_000, Tokens::MAX];

/// Figures of one policy under one pattern, over all seeds.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Name of the policy.
    pub policy: &'static str,
    /// Mean part of the owed worth that is earned, less the worth of requests that were held
    /// for long or refused again.
    pub earned_share: f64,
    /// What became of each kind.
    pub kinds: BTreeMap<&'static str, KindResult>,
    /// For each class of length: its longest prompt, answered requests, and the median and
    /// the 95th percentile of the time to the first event, in milliseconds.
    pub first_events: Vec<PromptLengthBucket>,
    /// Times to the first event in milliseconds, in order, for a plot.
    pub first_event_times_ms: Vec<f64>,
}

/// First events of prompts of like length.
#[derive(Clone, Copy, Debug)]
pub struct PromptLengthBucket {
    /// Longest prompt, in tokens.
    pub max_tokens: Tokens,
    /// Requests that were answered.
    pub answered: usize,
    /// Median time to the first event, in milliseconds; 0 if none was answered.
    pub median_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
}

/// Plays a pattern under a policy with seeds from 1.
pub fn summarize(policy: &Policy, pattern: &Pattern, engines: usize, seeds: u64) -> Summary {
    let runs: Vec<RunResult> =
        (1..=seeds).map(|seed| play(policy, pattern, engines, seed)).collect();
    let mut kinds: BTreeMap<&'static str, KindResult> = BTreeMap::new();
    for (name, tally) in runs.iter().flat_map(|run| &run.kinds) {
        kinds.entry(name).or_default().add(tally);
    }
    let firsts: Vec<(Tokens, f64)> = runs.iter().flat_map(|run| run.first_events.clone()).collect();
    let mut shorter = 0;
    let first_events = LENGTHS.iter().map(|up_to| {
        let is_of_class = |(prompt, _): &&(Tokens, f64)| (shorter..=*up_to).contains(prompt);
        let times = sorted(firsts.iter().filter(is_of_class).map(|(_, ms)| *ms));
        shorter = up_to.saturating_add(1);
        PromptLengthBucket {
            max_tokens: *up_to,
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
        first_event_times_ms: sorted(firsts.iter().map(|(_, ms)| *ms)),
        kinds,
    }
}

impl RunResult {
    /// Part of the owed worth that is earned, less the worth of requests that were held for
    /// long or refused again.
    pub fn earned_share(&self) -> f64 {
        let sum = |part: fn(&KindResult) -> f64| self.kinds.values().map(part).sum::<f64>();
        let lost = sum(|t| t.holding_cost) + REFUSED_AGAIN * sum(|t| t.refused_again_worth);
        (sum(|t| t.earned_worth) - lost) / sum(|t| t.total_worth).max(f64::MIN_POSITIVE)
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

fn sorted(times: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut times: Vec<f64> = times.collect();
    times.sort_by(f64::total_cmp);
    times
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * share).round() as usize).copied().unwrap_or_default()
}
