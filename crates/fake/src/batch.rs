//! Continuous batching: a pure state machine over jobs and steps.

use crate::{body::Usage, text::Digest};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use wire::{FencingToken, RequestId, Tokens};

/// Emissions that wait for a slow client before its job pauses.
pub(crate) const EMISSION_QUEUE: usize = 256;

/// What a job tells the connection that serves it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Emission {
    /// A part of the prompt was read.
    Prefilled,
    /// The token at this offset was generated.
    Token(Tokens),
    /// All tokens were generated.
    Finished(Usage),
    /// The request was cancelled.
    Cancelled,
}

/// A request inside the engine.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) id: RequestId,
    pub(crate) fence: Option<FencingToken>,
    /// Urgent jobs have the lower number.
    pub(crate) priority: u8,
    pub(crate) digest: Digest,
    pub(crate) prompt_tokens: Tokens,
    pub(crate) cached_tokens: Tokens,
    /// Prompt tokens still to be read.
    pub(crate) prefill_left: Tokens,
    /// Offset of the next token.
    pub(crate) next: Tokens,
    pub(crate) max_tokens: Tokens,
    pub(crate) memory: Tokens,
    /// Keeps the KV cache under this job's id once it has finished.
    pub(crate) kv_retain: bool,
    /// Digests of the prompt's blocks, for the prefix cache.
    pub(crate) blocks: Vec<u64>,
    /// `None` once the client has gone; the job goes on.
    pub(crate) tx: Option<flume::Sender<Emission>>,
}

impl Job {
    /// Sends the end of an answer again, which needs no memory.
    pub(crate) fn replay(
        id: &RequestId,
        next: Tokens,
        usage: Usage,
        tx: flume::Sender<Emission>,
    ) -> Self {
        Self {
            id: id.clone(),
            fence: None,
            priority: 0,
            digest: Digest::EMPTY,
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.cached_tokens,
            prefill_left: 0,
            next,
            max_tokens: usage.completion_tokens,
            memory: 0,
            kv_retain: false,
            blocks: Vec::new(),
            tx: Some(tx),
        }
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.next,
            cached_tokens: self.cached_tokens,
        }
    }

    /// Whether the client can take another emission, or has gone.
    fn can_emit(&self) -> bool {
        self.tx.as_ref().is_none_or(|tx| !tx.is_full())
    }

    /// Sends an emission; a client that has gone leaves the job detached.
    fn emit(&mut self, emission: Emission) {
        let gone = self.tx.as_ref().is_some_and(|tx| {
            matches!(tx.try_send(emission), Err(flume::TrySendError::Disconnected(_)))
        });
        if gone {
            self.tx = None;
        }
    }
}

/// Rates of a batch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rates {
    pub(crate) prefill_tokens_per_s: f64,
    pub(crate) decode_tokens_per_s: f64,
    pub(crate) prefill_chunk: Tokens,
}

/// What one step did.
#[derive(Debug, Default)]
pub(crate) struct Step {
    /// Time that the engine spends on the step; zero when nothing could run.
    pub(crate) duration: Duration,
    pub(crate) prefilled: Tokens,
    pub(crate) decoded: Tokens,
    /// Jobs that ended with this step.
    pub(crate) finished: Vec<Job>,
    /// The prompt that has been read to its end with this step.
    pub(crate) read: Option<ReadPrompt>,
}

/// A prompt that can be cached.
#[derive(Debug)]
pub(crate) struct ReadPrompt {
    pub(crate) id: RequestId,
    pub(crate) blocks: Vec<u64>,
}

impl ReadPrompt {
    fn of(job: &Job) -> Self {
        Self { id: job.id.clone(), blocks: job.blocks.clone() }
    }
}

/// The running jobs, in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    jobs: BTreeMap<u64, Job>,
    next_arrival: u64,
    /// No job generates the token at this offset or a later one while this is set.
    pub(crate) hold_at: Option<Tokens>,
    /// No job gets anywhere while this is set.
    pub(crate) is_paused: bool,
}

impl Batch {
    pub(crate) fn push(&mut self, job: Job) {
        self.jobs.insert(self.next_arrival, job);
        self.next_arrival += 1;
    }

    /// Forgets all jobs, as a crash does.
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

    /// Memory that the jobs hold.
    pub(crate) fn memory(&self) -> Tokens {
        self.jobs.values().map(|job| job.memory).sum()
    }

    /// Prompt tokens still to be read.
    pub(crate) fn prefill_left(&self) -> Tokens {
        self.jobs.values().map(|job| job.prefill_left).sum()
    }

    /// Runs one step: a token for each job whose prompt is read, and one chunk
    /// of the most urgent prompt that is not.
    pub(crate) fn step(&mut self, rates: &Rates) -> Step {
        if self.is_paused {
            return Step::default();
        }
        let decoded = self.decode();
        let (prefilled, read) = self.prefill(rates.prefill_chunk);
        let read = read.and_then(|arrival| self.jobs.get(&arrival)).map(ReadPrompt::of);
        let finished = self.take_finished();
        let mut seconds = prefilled as f64 / rates.prefill_tokens_per_s;
        if decoded > 0 {
            seconds += 1.0 / rates.decode_tokens_per_s;
        }
        Step { duration: Duration::from_secs_f64(seconds), prefilled, decoded, finished, read }
    }

    fn decode(&mut self) -> Tokens {
        let hold_at = self.hold_at.unwrap_or(Tokens::MAX);
        let mut decoded = 0;
        let ready = self.jobs.values_mut().filter(|job| {
            job.prefill_left == 0 && job.next < job.max_tokens.min(hold_at) && job.can_emit()
        });
        for job in ready {
            job.emit(Emission::Token(job.next));
            job.next += 1;
            decoded += 1;
        }
        decoded
    }

    /// Reads a chunk, and names the job whose prompt is then read to its end.
    fn prefill(&mut self, chunk: Tokens) -> (Tokens, Option<u64>) {
        let waiting = self.jobs.iter_mut().filter(|(_, job)| job.prefill_left > 0);
        let next = waiting.min_by_key(|(arrival, job)| (job.priority, **arrival));
        let Some((arrival, job)) = next else {
            return (0, None);
        };
        let read = job.prefill_left.min(chunk);
        job.prefill_left -= read;
        if job.can_emit() {
            job.emit(Emission::Prefilled);
        }
        (read, (job.prefill_left == 0).then_some(*arrival))
    }

    fn take_finished(&mut self) -> Vec<Job> {
        let done: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.prefill_left == 0 && job.next >= job.max_tokens)
            .filter(|(_, job)| job.can_emit())
            .map(|(arrival, _)| *arrival)
            .collect();
        let mut finished: Vec<Job> =
            done.iter().filter_map(|arrival| self.jobs.remove(arrival)).collect();
        for job in &mut finished {
            job.emit(Emission::Finished(job.usage()));
        }
        finished
    }
}

/// Finished requests that are remembered, so that a client whose connection
/// broke near the end can ask for the rest.
const FINISHED_CAPACITY: usize = 1024;

/// The requests that finished last, with their usage.
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
