//! Requests queued at an owner for one model.

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

/// Position in a queue: the latest start (or the arrival, for policies that keep
/// the order of arrival), then the arrival number.
pub(crate) type QueuePosition = (Instant, u64);

/// A queued job with its estimates.
#[derive(Clone, Debug)]
pub(crate) struct QueuedJob {
    pub(crate) job: Job,
    pub(crate) class: LengthClass,
    /// Corrected estimate of the prompt's length, in tokens.
    pub(crate) prompt: Tokens,
    /// Memory needed, in tokens: the prompt and the output limit.
    pub(crate) need: Tokens,
    /// Expected duration of its prefill on an idle upstream.
    pub(crate) prefill_time: Duration,
    /// Expected duration of the whole request on an idle upstream.
    pub(crate) service_time: Duration,
    pub(crate) arrived: Instant,
    /// Latest time of dispatch at which it can still finish before its deadline.
    pub(crate) latest_start: Instant,
    /// Whether it needs more memory than any single upstream has.
    pub(crate) is_gang: bool,
}

impl QueuedJob {
    fn work(&self) -> QueuedWork {
        let memory_seconds = self.need as f64 * self.service_time.as_secs_f64();
        QueuedWork { prompt_tokens: self.prompt, memory_seconds }
    }
}

/// Sum of the work of queued jobs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QueuedWork {
    /// Prompt tokens to prefill.
    pub(crate) prompt_tokens: Tokens,
    /// Memory multiplied by the time for which it will be in use, in token seconds.
    pub(crate) memory_seconds: f64,
}

/// Priority and length class of the jobs in one queue.
pub(crate) type QueueId = (Priority, LengthClass);

/// Queues of one model, by priority and length class.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    /// Queues, indexed by priority and then by class.
    queues: [[BTreeMap<QueuePosition, QueuedJob>; LENGTH_CLASS_COUNT]; 2],
    /// All queued jobs by latest start and arrival number.
    by_latest_start: BTreeMap<QueuePosition, (QueueId, QueuePosition)>,
    /// Sum of the work in each queue, indexed like `queues`.
    work: [[QueuedWork; LENGTH_CLASS_COUNT]; 2],
}

/// Factor by which the response ratio of an urgent request is raised.
const URGENT_FACTOR: f64 = 10.0;

/// Minimum service time in the response ratio, in seconds. It bounds the ratio of jobs that need
/// almost no prefill.
const MIN_SERVICE_SECONDS: f64 = 0.05;

impl Queues {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_latest_start.is_empty()
    }

    pub(crate) fn push(&mut self, position: QueuePosition, queued: QueuedJob) {
        let queue_id = (queued.job.priority, queued.class);
        let work = &mut self.work[queue_id.0.index()][queue_id.1.index()];
        work.prompt_tokens += queued.prompt;
        work.memory_seconds += queued.work().memory_seconds;
        self.by_latest_start.insert((queued.latest_start, position.1), (queue_id, position));
        self.queues[queue_id.0.index()][queue_id.1.index()].insert(position, queued);
    }

    pub(crate) fn remove(
        &mut self,
        queue_id: QueueId,
        position: QueuePosition,
    ) -> Option<QueuedJob> {
        let queued = self.queues[queue_id.0.index()][queue_id.1.index()].remove(&position)?;
        self.by_latest_start.remove(&(queued.latest_start, position.1));
        let work = &mut self.work[queue_id.0.index()][queue_id.1.index()];
        work.prompt_tokens -= queued.prompt;
        work.memory_seconds = (work.memory_seconds - queued.work().memory_seconds).max(0.0);
        Some(queued)
    }

    pub(crate) fn get(&self, queue_id: QueueId, position: QueuePosition) -> Option<&QueuedJob> {
        self.queues[queue_id.0.index()][queue_id.1.index()].get(&position)
    }

    /// The job with the earliest `latest_start`: that time, its queue and its position there.
    pub(crate) fn latest_start(&self) -> Option<(Instant, QueueId, QueuePosition)> {
        self.by_latest_start
            .first_key_value()
            .map(|((at, _), (queue_id, position))| (*at, *queue_id, *position))
    }

    /// Queued work of this class and shorter ones, and of this priority and higher ones.
    pub(crate) fn work_up_to(&self, priority: Priority, class: LengthClass) -> QueuedWork {
        let by_priority = &self.work[priority.index()..];
        let work = by_priority.iter().flat_map(|classes| &classes[..=class.index()]);
        work.fold(QueuedWork::default(), |sum, work| QueuedWork {
            prompt_tokens: sum.prompt_tokens + work.prompt_tokens,
            memory_seconds: sum.memory_seconds + work.memory_seconds,
        })
    }

    /// The ordinary job that is displaced first: the last one in the queue of the longest class
    /// that has any.
    pub(crate) fn last_ordinary(&self) -> Option<RequestId> {
        let by_class = &self.queues[Priority::Ordinary.index()];
        let last = by_class.iter().rev().find_map(|queue| queue.last_key_value())?;
        Some(last.1.job.request.clone())
    }

    /// The first `per_queue` jobs of each queue, the queue with the highest response ratio first.
    /// The ratio of waiting time to service time favours short prompts, yet grows without bound
    /// for every waiting job, so none is starved.
    pub(crate) fn candidates(
        &self,
        now: Instant,
        per_queue: usize,
    ) -> Vec<(QueueId, QueuePosition)> {
        let ids = Priority::ALL.into_iter().flat_map(|p| LengthClass::ALL.map(|c| (p, c)));
        let mut heads: Vec<(f64, QueueId)> = ids
            .filter_map(|queue_id| {
                let queue = &self.queues[queue_id.0.index()][queue_id.1.index()];
                let (_, head) = queue.first_key_value()?;
                Some((response_ratio(now, head), queue_id))
            })
            .collect();
        heads.sort_by(|a, b| b.0.total_cmp(&a.0));
        heads
            .into_iter()
            .flat_map(|(_, queue_id)| {
                let queue = &self.queues[queue_id.0.index()][queue_id.1.index()];
                queue.keys().take(per_queue).map(move |position| (queue_id, *position))
            })
            .collect()
    }
}

/// Response ratio as in highest-response-ratio-next scheduling, with the prefill as service time.
fn response_ratio(now: Instant, queued: &QueuedJob) -> f64 {
    let waited = now.saturating_duration_since(queued.arrived).as_secs_f64();
    let ratio = 1.0 + waited / queued.prefill_time.as_secs_f64().max(MIN_SERVICE_SECONDS);
    match queued.job.priority {
        Priority::Urgent => ratio * URGENT_FACTOR,
        Priority::Ordinary => ratio,
    }
}
