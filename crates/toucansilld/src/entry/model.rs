//! A request to a model, from admission to the end of its answer.

use super::{
    Accepted, Entry, admission,
    answer::{Answer, Received},
    attempt,
};
use crate::{
    messages::{JobRequest, PromptPrefix, RequestFailure},
    owner::Owner,
    sync::lock,
};
use control::QuarantineStatus;
use edge::{ApiError, CallerRequest, ModelCall};
use event::EventKind;
use route::OwnerQuery;
use serde_json::Value;
use std::{thread, time::Duration};
use wire::{DaemonId, Tokens, Verdict};

/// Tokens of an answer whose caller sets no bound.
const DEFAULT_MAX_TOKENS: Tokens = 1_024;
/// Tokens of one hashed block of the prompt.
const BLOCK_TOKENS: Tokens = 256;
/// Attempts at different owners for one request.
const ATTEMPTS_MAX: u32 = 8;
/// First pause before owners that failed are tried again. It doubles with each attempt.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// Doublings of the pause.
const PAUSE_DOUBLINGS_MAX: u32 = 4;

/// Runs a request.
pub(crate) fn run(
    entry: &Entry,
    req: CallerRequest,
    accepted: Accepted,
    call: &ModelCall,
    is_chat: bool,
) -> edge::Result<()> {
    let cfg = entry.cx.session.configuration();
    let usual = cfg.organisations.get(&accepted.organisation).map(|o| o.priority);
    let priority = admission::priority(req.headers.priority, usual.unwrap_or_default());
    let job = match job(entry, &req, &accepted, call, priority) {
        Ok(job) => job,
        Err(err) => return req.reply.error(err),
    };
    let received = Received { at: req.received, wall: entry.cx.clock.wall() };
    let mut answer = Answer::new(
        req.reply,
        accepted.request.clone(),
        call.model.clone(),
        is_chat,
        call.stream,
        received,
    );
    let ask = limit::AdmissionRequest {
        organisation: accepted.organisation.clone(),
        priority,
        prompt_tokens: job.prompt_tokens,
        max_output_tokens: job.max_output_tokens,
        deadline: accepted.deadline,
    };
    match entry.admission.admit(&ask) {
        Ok(pass) => {
            let size = format!("{} prompt tokens, {}", job.prompt_tokens, job.organisation);
            entry.record(EventKind::RequestAdmitted, &accepted.request, size);
            serve(entry, &accepted, job, &mut answer);
            pass.finish(answer.used());
        }
        Err(refusal) => {
            let err = refused(&refusal);
            entry.refused(&accepted.request, &err);
            answer.fail_with(err);
        }
    }
    Ok(())
}

fn job(
    entry: &Entry,
    req: &CallerRequest,
    accepted: &Accepted,
    call: &ModelCall,
    priority: limit::Priority,
) -> Result<JobRequest, ApiError> {
    let fingerprint = JobRequest::fingerprint_of(&accepted.organisation, &req.body);
    let is_suspect = match entry.cx.session.standing(&fingerprint) {
        QuarantineStatus::Clear => false,
        QuarantineStatus::Suspect => true,
        QuarantineStatus::Quarantined { .. } => {
            let reason = "upstreams died with this request in flight; it is refused for a time";
            return Err(ApiError::refusal(422, "quarantined", reason));
        }
    };
    let prefixes = (1..)
        .zip(&call.prefix)
        .map(|(blocks, hash)| PromptPrefix { hash: *hash, tokens: blocks * BLOCK_TOKENS })
        .collect();
    Ok(JobRequest {
        request: accepted.request.clone(),
        organisation: accepted.organisation.clone(),
        model: call.model.clone(),
        path: req.path.clone(),
        body: streamed_body(&req.body, &accepted.request)?,
        is_urgent: priority == limit::Priority::Urgent,
        prompt_tokens: call.prompt_tokens,
        max_output_tokens: call.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        prefixes,
        first_offset: 0,
        fingerprint,
        is_suspect,
        deadline_ms: 0,
    })
}

/// The body for the engine: always streamed.
fn streamed_body(body: &[u8], request: &str) -> Result<Vec<u8>, ApiError> {
    let unreadable = |err: serde_json::Error| {
        ApiError::refusal(400, "invalid_json", format!("{request}: {err}"))
    };
    let mut value: Value = serde_json::from_slice(body).map_err(unreadable)?;
    value["stream"] = Value::Bool(true);
    serde_json::to_vec(&value).map_err(unreadable)
}

/// Tries owners until the answer is whole, refused for good, or too late.
fn serve(entry: &Entry, accepted: &Accepted, mut job: JobRequest, answer: &mut Answer) {
    lock(&entry.budget).deposit();
    let mut avoid: Vec<DaemonId> = Vec::new();
    let mut may_have_run = false;
    for number in 0.. {
        let now = entry.cx.clock.now();
        let left = accepted.deadline.saturating_duration_since(now);
        job.deadline_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        job.first_offset = answer.next_offset();
        job.request = Owner::attempt_id(&accepted.request, number);
        let ask = OwnerQuery {
            model: job.model.clone(),
            prefix: job.prefixes.first().map(|prefix| prefix.hash),
            prompt_tokens: job.prompt_tokens,
            max_output_tokens: job.max_output_tokens,
            avoid: avoid.clone(),
        };
        let owner = match entry.placement.choose(now, &ask) {
            Ok(choice) => choice.owner,
            Err(refusal) if avoid.is_empty() || !pause(entry, number, accepted) => {
                let failure = crate::owner::placement_failure(&refusal);
                return answer.fail(&with_verdict(failure, may_have_run));
            }
            // Every owner in reach was tried: one may have recovered by now.
            Err(_) => {
                avoid.clear();
                continue;
            }
        };
        let end =
            attempt::run(entry, &owner, &job, accepted.deadline, &mut |frame| answer.take(frame));
        let failure = match end {
            attempt::End::Finished => {
                let tokens = format!("{} tokens", answer.used());
                return entry.record(EventKind::RequestAnswered, &accepted.request, tokens);
            }
            attempt::End::Gone => {
                return entry.record(EventKind::RequestCancelled, &accepted.request, "");
            }
            attempt::End::Failed(failure) => failure,
            attempt::End::LinkLost { is_sent, reason } => link_failure(is_sent, reason),
        };
        may_have_run |= failure.verdict != Verdict::NotRun;
        if !failure.may_try_another_owner || !may_retry(entry, number + 1, accepted) {
            let failure = with_verdict(failure, may_have_run);
            let text = format!("{}, {}: {}", failure.code, failure.verdict, failure.reason);
            entry.record(EventKind::RequestFailed, &accepted.request, text);
            return answer.fail(&failure);
        }
        let text = format!("{owner} failed, trying another: {}", failure.reason);
        entry.record(EventKind::RequestRetried, &accepted.request, text);
        avoid.push(owner);
    }
}

/// Waits before owners that failed are tried again. False if there is no time left.
fn pause(entry: &Entry, number: u32, accepted: &Accepted) -> bool {
    let pause = PAUSE_MIN * 2u32.saturating_pow(number.min(PAUSE_DOUBLINGS_MAX));
    let has_time = entry.cx.clock.now() + pause < accepted.deadline;
    if number >= ATTEMPTS_MAX || !has_time {
        return false;
    }
    thread::sleep(pause);
    true
}

/// Completions are idempotent, so only attempts, budget and deadline bound retries.
fn may_retry(entry: &Entry, attempts: u32, accepted: &Accepted) -> bool {
    attempts < ATTEMPTS_MAX
        && entry.cx.clock.now() < accepted.deadline
        && lock(&entry.budget).try_withdraw()
}

fn link_failure(is_sent: bool, reason: String) -> RequestFailure {
    RequestFailure {
        status: 502,
        code: String::from("owner_lost"),
        reason,
        verdict: attempt::link_verdict(is_sent),
        retry_after_ms: Some(1_000),
        may_try_another_owner: true,
    }
}

/// A refusal after an attempt that may have run does not prove anything.
fn with_verdict(mut failure: RequestFailure, may_have_run: bool) -> RequestFailure {
    if may_have_run && failure.verdict == Verdict::NotRun {
        failure.verdict = Verdict::MayHaveRun;
    }
    failure
}

/// A refusal by admission as the caller gets it.
pub(crate) fn refused(refusal: &limit::Refusal) -> ApiError {
    let (status, code) = match refusal.reason {
        limit::RefusalReason::UnknownOrganisation => (403, "unknown_organisation"),
        limit::RefusalReason::DeadlineTooShort => (422, "deadline_too_short"),
        limit::RefusalReason::DeadlineUnmeetable => (503, "deadline_unmeetable"),
        limit::RefusalReason::QuotaExceeded => (429, "quota_exceeded"),
        limit::RefusalReason::QueueFull => (503, "queue_full"),
        limit::RefusalReason::Shed => (503, "shed"),
    };
    let err = ApiError::new(status, code, refusal.to_string(), refusal.verdict());
    match refusal.retry_after {
        Duration::ZERO => err,
        after => err.with_retry_after(after),
    }
}
