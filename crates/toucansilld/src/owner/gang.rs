//! Runs a prompt that needs more than one engine's memory on the engines of a gang.

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

/// Number of bytes by which a segment may exceed its share of the prompt, since a cut falls
/// only between characters of up to 4 bytes.
const SEGMENT_SLACK_BYTES: usize = 4;

/// The part of the request body that is cut into segments.
#[derive(Deserialize)]
struct Prompt {
    prompt: String,
}

/// Runs a job on a gang, passing its frames to `sink`. `targets` are the engines of `segments`,
/// in the same order.
pub(crate) fn run(
    owner: &Owner,
    job: &JobRequest,
    deadline: Instant,
    segments: &[PromptSegment],
    targets: &[Target],
    sink: &mut FrameSink<'_>,
) {
    let Some(segments) = split(job, segments, targets) else {
        owner.cancel(&job.request);
        sink(JobFrame::Failed(unsplittable()));
        return;
    };
    let req = GangRequest {
        id: job.request.clone(),
        model: job.model.clone(),
        segments,
        max_tokens: job.max_output_tokens,
        headers: Vec::new(),
        deadline,
    };
    let events = owner.client.stream_gang(req);
    job::forward(owner, job, events, None, sink);
}

/// Cuts the prompt in proportion to the token ranges of `segments`. Returns `None` if the body
/// has no raw prompt or it can't be cut so.
fn split(
    job: &JobRequest,
    segments: &[PromptSegment],
    targets: &[Target],
) -> Option<Vec<gang::PromptSegment>> {
    let Prompt { prompt } = serde_json::from_slice(&job.body).ok()?;
    let sizes: Vec<usize> = segments
        .iter()
        .map(|segment| segment_bytes(prompt.len(), segment.end - segment.start, job.prompt_tokens))
        .collect();
    let texts = gang::split_prompt(&prompt, &sizes)?;
    let pairs = texts.into_iter().zip(targets);
    Some(
        pairs
            .map(|(text, target)| gang::PromptSegment { target: target.clone(), text: text.into() })
            .collect(),
    )
}

/// Maximum length in bytes of a segment of `tokens` of the `prompt_tokens` tokens.
fn segment_bytes(prompt_bytes: usize, tokens: Tokens, prompt_tokens: Tokens) -> usize {
    let share = tokens as f64 / prompt_tokens.max(1) as f64;
    (prompt_bytes as f64 * share).ceil() as usize + SEGMENT_SLACK_BYTES
}

/// The failure of a prompt that can't be cut. Engines render chat prompts themselves, so only
/// raw prompts can be.
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
