//! Requests that wait at an owner for one model.

use crate::{
    class::{LENGTH_CLASS_COUNT, LengthClass},
    job::Job,
};
use limit::Priority;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use wire::{RequestId, Tokens};

/// Place in a queue: the latest start (or the arrival, for policies that keep
/// the order of arrival), then the order of arrival.
pub(crate) type Key = (Instant, u64);

/// A job that waits.
#[derive(Clone, Debug)]
pub(crate) struct Queued {
    pub(crate) job: Job,
    pub(crate) class: LengthClass,
    /// Corrected estimate of the prompt's length.
    pub(crate) prompt: Tokens,
    /// Memory needed.
    pub(crate) need: Tokens,
    /// Expected time of its prefill on an idle upstream.
    pub(crate) prefill_time: Duration,
    /// Expected time of the whole request on an idle upstream.
    pub(crate) service_time: Duration,
    pub(crate) arrived: Instant,
    pub(crate) latest_start: Instant,
    pub(crate) is_gang: bool,
}

impl Queued {
    fn work(&self) -> Work {
        let memory_seconds = self.need as f64 * self.service_time.as_secs_f64();
        Work { prompt_tokens: self.prompt, memory_seconds }
    }
}

/// Work that waits.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Work {
    /// Prompt tokens to prefill.
    pub(crate) prompt_tokens: Tokens,
    /// Memory times the time that it will be in use, in token seconds.
    pub(crate) memory_seconds: f64,
}

/// Name of one queue.
pub(crate) type Lane = (Priority, LengthClass);

/// Queues by priority and length class.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    lanes: [[BTreeMap<Key, Queued>; LENGTH_CLASS_COUNT]; 2],
    late: BTreeMap<Key, (Lane, Key)>,
    work: [[Work; LENGTH_CLASS_COUNT]; 2],
}

/// How much more the wait of an urgent request counts.
const URGENT_FACTOR: f64 = 10.0;

/// Least service time in the response ratio, in seconds.
const MIN_SERVICE_SECONDS: f64 = 0.05;

impl Queues {
    pub(crate) fn is_empty(&self) -> bool {
        self.late.is_empty()
    }

    pub(crate) fn push(&mut self, key: Key, queued: Queued) {
        let lane = (queued.job.priority, queued.class);
        let work = &mut self.work[lane.0.index()][lane.1.index()];
        work.prompt_tokens += queued.prompt;
        work.memory_seconds += queued.work().memory_seconds;
        self.late.insert((queued.latest_start, key.1), (lane, key));
        self.lanes[lane.0.index()][lane.1.index()].insert(key, queued);
    }

    pub(crate) fn remove(&mut self, lane: Lane, key: Key) -> Option<Queued> {
        let queued = self.lanes[lane.0.index()][lane.1.index()].remove(&key)?;
        self.late.remove(&(queued.latest_start, key.1));
        let work = &mut self.work[lane.0.index()][lane.1.index()];
        work.prompt_tokens -= queued.prompt;
        work.memory_seconds = (work.memory_seconds - queued.work().memory_seconds).max(0.0);
        Some(queued)
    }

    pub(crate) fn get(&self, lane: Lane, key: Key) -> Option<&Queued> {
        self.lanes[lane.0.index()][lane.1.index()].get(&key)
    }

    /// The job whose latest start comes first.
    pub(crate) fn latest_start(&self) -> Option<(Instant, Lane, Key)> {
        self.late.first_key_value().map(|((at, _), (lane, key))| (*at, *lane, *key))
    }

    /// Work that waits, of this class and shorter ones, and of this priority and
    /// above.
    pub(crate) fn work_up_to(&self, priority: Priority, class: LengthClass) -> Work {
        let lanes = &self.work[priority.index()..];
        let work = lanes.iter().flat_map(|classes| &classes[..=class.index()]);
        work.fold(Work::default(), |sum, work| Work {
            prompt_tokens: sum.prompt_tokens + work.prompt_tokens,
            memory_seconds: sum.memory_seconds + work.memory_seconds,
        })
    }

    /// The ordinary job that would be sent last.
    pub(crate) fn last_ordinary(&self) -> Option<RequestId> {
        let lanes = &self.lanes[Priority::Ordinary.index()];
        let last = lanes.iter().rev().find_map(|queue| queue.last_key_value())?;
        Some(last.1.job.request.clone())
    }

    /// First jobs of each queue, the queue with the highest response ratio
    /// first. The ratio of wait to service time favours short prompts, yet grows
    /// without bound for each that waits, so none is starved.
    pub(crate) fn candidates(&self, now: Instant, per_lane: usize) -> Vec<(Lane, Key)> {
        let lanes = Priority::ALL.into_iter().flat_map(|p| LengthClass::ALL.map(|c| (p, c)));
        let mut heads: Vec<(f64, Lane)> = lanes
            .filter_map(|lane| {
                let queue = &self.lanes[lane.0.index()][lane.1.index()];
                let (_, head) = queue.first_key_value()?;
                Some((response_ratio(now, head), lane))
            })
            .collect();
        heads.sort_by(|a, b| b.0.total_cmp(&a.0));
        heads
            .into_iter()
            .flat_map(|(_, lane)| {
                let queue = &self.lanes[lane.0.index()][lane.1.index()];
                queue.keys().take(per_lane).map(move |key| (lane, *key))
            })
            .collect()
    }
}

fn response_ratio(now: Instant, queued: &Queued) -> f64 {
    let waited = now.saturating_duration_since(queued.arrived).as_secs_f64();
    let ratio = 1.0 + waited / queued.prefill_time.as_secs_f64().max(MIN_SERVICE_SECONDS);
    match queued.job.priority {
        Priority::Urgent => ratio * URGENT_FACTOR,
        Priority::Ordinary => ratio,
    }
}
