//! Continuous batching: a state machine of jobs that advances in steps, without clock or I/O.

use crate::{body::Usage, text::PromptDigest};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use wire::{FencingToken, RequestId, Tokens};

/// Number of events that a slow client may leave unread before its job pauses.
pub(crate) const EVENT_QUEUE_CAPACITY: usize = 256;

/// Event of a job, sent to the thread that writes the response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum JobEvent {
    /// Part of the prompt was prefilled.
    PrefillProgress,
    /// The token at this offset was generated.
    Token(Tokens),
    /// The last token was generated.
    Finished(Usage),
    /// The request was cancelled.
    Cancelled,
}

/// A running request.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: RequestId,
    /// Fencing token of the request, if it has one.
    pub(crate) fence: Option<FencingToken>,
    /// A lower number is more urgent.
    pub(crate) priority: u8,
    pub(crate) digest: PromptDigest,
    pub(crate) prompt_tokens: Tokens,
    /// Prompt tokens found in the prefix cache.
    pub(crate) cached_tokens: Tokens,
    /// Prompt tokens that are not yet prefilled.
    pub(crate) prefill_remaining: Tokens,
    /// Offset of the next token.
    pub(crate) next_offset: Tokens,
    pub(crate) max_tokens: Tokens,
    /// KV memory that the job holds, in tokens.
    pub(crate) memory_tokens: Tokens,
    /// Whether to keep the KV cache under this job's id after it has finished.
    pub(crate) kv_retain: bool,
    /// Digests of the prompt's blocks, for the prefix cache.
    pub(crate) block_digests: Vec<u64>,
    /// Where events go; `None` once the client has disconnected. The job then continues.
    pub(crate) tx: Option<flume::Sender<JobEvent>>,
}

impl Job {
    /// A job that sends the completion of a finished request again from `next_offset` on. It
    /// needs no memory, because the text is a function of the prompt.
    pub(crate) fn replay(
        id: &RequestId,
        next_offset: Tokens,
        usage: Usage,
        tx: flume::Sender<JobEvent>,
    ) -> Self {
        Self {
            id: id.clone(),
            fence: None,
            priority: 0,
            digest: PromptDigest::EMPTY,
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.cached_tokens,
            prefill_remaining: 0,
            next_offset,
            max_tokens: usage.completion_tokens,
            memory_tokens: 0,
            kv_retain: false,
            block_digests: Vec::new(),
            tx: Some(tx),
        }
    }

    /// Tokens used so far.
    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.next_offset,
            cached_tokens: self.cached_tokens,
        }
    }

    /// Whether an event can be sent without waiting for the client, or the client has
    /// disconnected.
    fn can_send(&self) -> bool {
        self.tx.as_ref().is_none_or(|tx| !tx.is_full())
    }

    /// Sends an event, which is dropped if the queue is full. If the client has disconnected, the
    /// job continues without sending events.
    fn send(&mut self, event: JobEvent) {
        let is_disconnected = self.tx.as_ref().is_some_and(|tx| {
            matches!(tx.try_send(event), Err(flume::TrySendError::Disconnected(_)))
        });
        if is_disconnected {
            self.tx = None;
        }
    }
}

/// Rates of a batch, in tokens per second, and the most prompt tokens of one step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rates {
    pub(crate) prefill_tokens_per_s: f64,
    pub(crate) decode_tokens_per_s: f64,
    pub(crate) prefill_chunk: Tokens,
}

/// Result of one step.
#[derive(Debug, Default)]
pub(crate) struct StepResult {
    /// Simulated time that the step takes; zero if nothing could run.
    pub(crate) duration: Duration,
    /// Prompt tokens prefilled.
    pub(crate) prefilled: Tokens,
    /// Tokens generated.
    pub(crate) decoded: Tokens,
    /// Jobs that finished in this step.
    pub(crate) finished: Vec<Job>,
    /// The prompt whose prefill was completed in this step.
    pub(crate) prefilled_prompt: Option<PrefilledPrompt>,
}

/// A completely prefilled prompt, which can be cached.
#[derive(Debug)]
pub(crate) struct PrefilledPrompt {
    pub(crate) id: RequestId,
    pub(crate) block_digests: Vec<u64>,
}

impl PrefilledPrompt {
    fn new(job: &Job) -> Self {
        Self { id: job.id.clone(), block_digests: job.block_digests.clone() }
    }
}

/// The running jobs, in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    /// By number of arrival.
    jobs: BTreeMap<u64, Job>,
    next_arrival: u64,
    /// If set, no job generates the token at this offset or a later one.
    pub(crate) hold_at: Option<Tokens>,
    /// If set, no job makes progress.
    pub(crate) is_paused: bool,
}

impl Batch {
    pub(crate) fn push(&mut self, job: Job) {
        self.jobs.insert(self.next_arrival, job);
        self.next_arrival += 1;
    }

    /// Drops all jobs, as a crash does.
    pub(crate) fn clear(&mut self) {
        self.jobs.clear();
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Job> {
        self.jobs.values_mut().find(|job| job.id == id)
    }

    pub(crate) fn remove(&mut self, id: &str) -> Option<Job> {
        let arrival = self.jobs.iter().find(|(_, job)| job.id == id).map(|(n, _)| *n)?;
        self.jobs.remove(&arrival)
    }

    /// KV memory that the jobs hold, in tokens.
    pub(crate) fn memory_used(&self) -> Tokens {
        self.jobs.values().map(|job| job.memory_tokens).sum()
    }

    /// Prompt tokens of all jobs that are not yet prefilled.
    pub(crate) fn prefill_remaining(&self) -> Tokens {
        self.jobs.values().map(|job| job.prefill_remaining).sum()
    }

    /// Runs one step: decodes a token for each job whose prompt is prefilled, and prefills one
    /// chunk of the most urgent prompt that waits, or of the oldest among equally urgent ones.
    pub(crate) fn step(&mut self, rates: &Rates) -> StepResult {
        if self.is_paused {
            return StepResult::default();
        }
        let decoded = self.decode();
        let (prefilled, completed) = self.prefill(rates.prefill_chunk);
        let prefilled_prompt =
            completed.and_then(|arrival| self.jobs.get(&arrival)).map(PrefilledPrompt::new);
        let finished = self.remove_finished();
        let mut seconds = prefilled as f64 / rates.prefill_tokens_per_s;
        if decoded > 0 {
            seconds += 1.0 / rates.decode_tokens_per_s;
        }
        StepResult {
            duration: Duration::from_secs_f64(seconds),
            prefilled,
            decoded,
            finished,
            prefilled_prompt,
        }
    }

    /// Generates a token for each job that can decode, and returns their number.
    fn decode(&mut self) -> Tokens {
        let hold_at = self.hold_at.unwrap_or(Tokens::MAX);
        let mut decoded = 0;
        let ready = self.jobs.values_mut().filter(|job| {
            job.prefill_remaining == 0
                && job.next_offset < job.max_tokens.min(hold_at)
                && job.can_send()
        });
        for job in ready {
            job.send(JobEvent::Token(job.next_offset));
            job.next_offset += 1;
            decoded += 1;
        }
        decoded
    }

    /// Prefills one chunk. Returns its length, and the arrival number of its job if that
    /// completes the prompt.
    fn prefill(&mut self, chunk: Tokens) -> (Tokens, Option<u64>) {
        let waiting = self.jobs.iter_mut().filter(|(_, job)| job.prefill_remaining > 0);
        let next = waiting.min_by_key(|(arrival, job)| (job.priority, **arrival));
        let Some((arrival, job)) = next else {
            return (0, None);
        };
        let tokens = job.prefill_remaining.min(chunk);
        job.prefill_remaining -= tokens;
        if job.can_send() {
            job.send(JobEvent::PrefillProgress);
        }
        (tokens, (job.prefill_remaining == 0).then_some(*arrival))
    }

    /// Removes the jobs that have generated all their tokens, and sends their last event.
    fn remove_finished(&mut self) -> Vec<Job> {
        let arrivals: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.prefill_remaining == 0 && job.next_offset >= job.max_tokens)
            .filter(|(_, job)| job.can_send())
            .map(|(arrival, _)| *arrival)
            .collect();
        let mut finished: Vec<Job> =
            arrivals.iter().filter_map(|arrival| self.jobs.remove(arrival)).collect();
        for job in &mut finished {
            job.send(JobEvent::Finished(job.usage()));
        }
        finished
    }
}

/// Number of finished requests that are kept, so that a client whose connection broke near the
/// end can resume the stream.
const FINISHED_CAPACITY: usize = 1024;

/// The last finished requests with their usage, oldest first.
#[derive(Debug, Default)]
pub(crate) struct FinishedJobs {
    jobs: VecDeque<(RequestId, Usage)>,
}

impl FinishedJobs {
    pub(crate) fn push(&mut self, job: &Job) {
        if self.jobs.len() == FINISHED_CAPACITY {
            self.jobs.pop_front();
        }
        self.jobs.push_back((job.id.clone(), job.usage()));
    }

    pub(crate) fn usage(&self, id: &RequestId) -> Option<Usage> {
        self.jobs.iter().rev().find(|(finished, _)| finished == id).map(|(_, usage)| *usage)
    }
}
