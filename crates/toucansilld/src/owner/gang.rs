//! A prompt beyond one engine's memory, over the engines of a gang.

use super::{Owner, job};
use crate::messages::{JobFrame, JobRequest, RequestFailure};
use job::FrameSink;
use route::PromptSegment;
use serde::Deserialize;
use std::time::Instant;
use upstream::{
    Target,
    gang::{self, GangRequest},
};
use wire::{Tokens, Verdict};

/// Bytes by which a segment may be longer than its share of the prompt, for
/// characters of several bytes at its end.
const SLACK_BYTES: usize = 4;

#[derive(Deserialize)]
struct Prompt {
    prompt: String,
}

/// Runs a job over a gang and hands its frames to `sink`.
pub(crate) fn run(
    owner: &Owner,
    job: &JobRequest,
    deadline: Instant,
    segments: &[PromptSegment],
    targets: &[Target],
    sink: &mut FrameSink<'_>,
) {
    let Some(parts) = parts(job, segments, targets) else {
        owner.cancelled(&job.request);
        sink(JobFrame::Failed(unsplittable()));
        return;
    };
    let req = GangRequest {
        id: job.request.clone(),
        model: job.model.clone(),
        segments: parts,
        max_tokens: job.max_output_tokens,
        headers: Vec::new(),
        deadline,
    };
    let events = owner.client.stream_gang(req);
    job::forward(owner, job, events, None, sink);
}

/// The prompt cut by the shares that were promised, or nothing if it is no raw text.
fn parts(
    job: &JobRequest,
    segments: &[PromptSegment],
    targets: &[Target],
) -> Option<Vec<gang::PromptSegment>> {
    let Prompt { prompt } = serde_json::from_slice(&job.body).ok()?;
    let sizes: Vec<usize> = segments
        .iter()
        .map(|segment| bytes_of(prompt.len(), segment.end - segment.start, job.prompt_tokens))
        .collect();
    let texts = gang::split_prompt(&prompt, &sizes)?;
    let parts = texts.into_iter().zip(targets);
    Some(
        parts
            .map(|(text, target)| gang::PromptSegment { target: target.clone(), text: text.into() })
            .collect(),
    )
}

fn bytes_of(prompt_bytes: usize, tokens: Tokens, prompt_tokens: Tokens) -> usize {
    let share = tokens as f64 / prompt_tokens.max(1) as f64;
    (prompt_bytes as f64 * share).ceil() as usize + SLACK_BYTES
}

/// Chat prompts are rendered by the engine, so only raw prompts can be cut.
fn unsplittable() -> RequestFailure {
    RequestFailure {
        status: 422,
        code: String::from("prompt_too_long"),
        reason: String::from(
            "the prompt needs the memory of several engines; send it to /v1/completions",
        ),
        verdict: Verdict::NotRun,
        retry_after_ms: None,
        may_try_another_owner: false,
    }
}
