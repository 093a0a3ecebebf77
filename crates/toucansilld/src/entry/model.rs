//! Serves a request for a model, from admission to the end of its response.

use super::{
    AuthorisedRequest, Entry, admission,
    answer::{CallerResponse, ReceivedAt},
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

/// Maximum length of an answer for which the caller sets none.
const DEFAULT_MAX_TOKENS: Tokens = 1_024;
/// Number of tokens in a hashed block of the prompt; prefixes are multiples of it.
const PREFIX_BLOCK_TOKENS: Tokens = 256;
/// Maximum number of owner attempts for one request.
const MAX_OWNER_ATTEMPTS: u32 = 8;
/// Shortest pause before owners that failed are tried again. It doubles with each attempt.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of times that the pause doubles.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// Admits and runs a request, and responds to its caller.
pub(crate) fn run(
    entry: &Entry,
    req: CallerRequest,
    authorised: AuthorisedRequest,
    call: &ModelCall,
    is_chat: bool,
) -> edge::Result<()> {
    let cfg = entry.cx.session.configuration();
    let default_priority = cfg.organisations.get(&authorised.organisation).map(|o| o.priority);
    let priority = admission::priority(req.headers.priority, default_priority.unwrap_or_default());
    let job = match job_request(entry, &req, &authorised, call, priority) {
        Ok(job) => job,
        Err(err) => return req.response.error(err),
    };
    let received = ReceivedAt { monotonic: req.received, wall: entry.cx.clock.wall() };
    let mut response = CallerResponse::new(
        req.response,
        authorised.request.clone(),
        call.model.clone(),
        is_chat,
        call.stream,
        received,
    );
    let admission = limit::AdmissionRequest {
        organisation: authorised.organisation.clone(),
        priority,
        prompt_tokens: job.prompt_tokens,
        max_output_tokens: job.max_output_tokens,
        deadline: authorised.deadline,
    };
    match entry.admission.admit(&admission) {
        Ok(permit) => {
            let size = format!("{} prompt tokens, {}", job.prompt_tokens, job.organisation);
            entry.record(EventKind::RequestAdmitted, &authorised.request, size);
            run_attempts(entry, &authorised, job, &mut response);
            permit.finish(response.used_tokens());
        }
        Err(refusal) => {
            let err = admission_error(&refusal);
            entry.record_refusal(&authorised.request, &err);
            response.fail_with(err);
        }
    }
    Ok(())
}

/// Builds the request to the owner. Fails if the request is in quarantine or its body is no JSON.
fn job_request(
    entry: &Entry,
    req: &CallerRequest,
    authorised: &AuthorisedRequest,
    call: &ModelCall,
    priority: limit::Priority,
) -> Result<JobRequest, ApiError> {
    let request_hash = JobRequest::hash_of(&authorised.organisation, &req.body);
    let is_suspect = match entry.cx.session.quarantine_status(&request_hash) {
        QuarantineStatus::Clear => false,
        QuarantineStatus::Suspect => true,
        QuarantineStatus::Quarantined { .. } => {
            let reason = "upstreams died with this request in flight; it is refused for a time";
            return Err(ApiError::refusal(422, "quarantined", reason));
        }
    };
    let prefixes = (1..)
        .zip(&call.prefix_hashes)
        .map(|(blocks, hash)| PromptPrefix { hash: *hash, tokens: blocks * PREFIX_BLOCK_TOKENS })
        .collect();
    Ok(JobRequest {
        request: authorised.request.clone(),
        organisation: authorised.organisation.clone(),
        model: call.model.clone(),
        path: req.path.clone(),
        body: streamed_body(&req.body, &authorised.request)?,
        is_urgent: priority == limit::Priority::Urgent,
        prompt_tokens: call.prompt_tokens,
        max_output_tokens: call.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        prefixes,
        first_offset: 0,
        request_hash,
        is_suspect,
        deadline_ms: 0,
    })
}

/// The body for the engine, whose answer is always streamed.
fn streamed_body(body: &[u8], request: &str) -> Result<Vec<u8>, ApiError> {
    let invalid = |err: serde_json::Error| {
        ApiError::refusal(400, "invalid_json", format!("{request}: {err}"))
    };
    let mut value: Value = serde_json::from_slice(body).map_err(invalid)?;
    value["stream"] = Value::Bool(true);
    serde_json::to_vec(&value).map_err(invalid)
}

/// Tries owners until the answer is complete, the request is refused for good, or its deadline has
/// passed.
fn run_attempts(
    entry: &Entry,
    authorised: &AuthorisedRequest,
    mut job: JobRequest,
    response: &mut CallerResponse,
) {
    lock(&entry.retry_budget).deposit();
    let mut avoid: Vec<DaemonId> = Vec::new();
    let mut may_have_run = false;
    for number in 0.. {
        let now = entry.cx.clock.now();
        let remaining = authorised.deadline.saturating_duration_since(now);
        job.deadline_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        job.first_offset = response.next_offset();
        job.request = Owner::owner_attempt_id(&authorised.request, number);
        let query = OwnerQuery {
            model: job.model.clone(),
            prefix: job.prefixes.first().map(|prefix| prefix.hash),
            prompt_tokens: job.prompt_tokens,
            max_output_tokens: job.max_output_tokens,
            avoid: avoid.clone(),
        };
        let owner = match entry.owners.choose(now, &query) {
            Ok(choice) => choice.owner,
            Err(refusal) if avoid.is_empty() || !pause_before_retry(entry, number, authorised) => {
                let failure = crate::owner::placement_failure(&refusal);
                return response.fail(&with_verdict(failure, may_have_run));
            }
            // Every known owner has failed; one of them may have recovered during the pause.
            Err(_) => {
                avoid.clear();
                continue;
            }
        };
        let outcome = attempt::run(entry, &owner, &job, authorised.deadline, &mut |frame| {
            response.apply_frame(frame)
        });
        let failure = match outcome {
            attempt::AttemptOutcome::Finished => {
                let tokens = format!("{} tokens", response.used_tokens());
                return entry.record(EventKind::RequestAnswered, &authorised.request, tokens);
            }
            attempt::AttemptOutcome::CallerDisconnected => {
                return entry.record(EventKind::RequestCancelled, &authorised.request, "");
            }
            attempt::AttemptOutcome::Failed(failure) => failure,
            attempt::AttemptOutcome::LinkLost { may_have_run, reason } => {
                link_failure(may_have_run, reason)
            }
        };
        may_have_run |= failure.verdict != Verdict::NotRun;
        if !failure.may_try_another_owner || !may_retry(entry, number + 1, authorised) {
            let failure = with_verdict(failure, may_have_run);
            let text = format!("{}, {}: {}", failure.code, failure.verdict, failure.reason);
            entry.record(EventKind::RequestFailed, &authorised.request, text);
            return response.fail(&failure);
        }
        let text = format!("{owner} failed, trying another: {}", failure.reason);
        entry.record(EventKind::RequestRetried, &authorised.request, text);
        avoid.push(owner);
    }
}

/// Waits before owners that failed are tried again. Returns false without a wait if the attempts
/// are used up or the deadline would pass.
fn pause_before_retry(entry: &Entry, number: u32, authorised: &AuthorisedRequest) -> bool {
    let pause = MIN_PAUSE * 2u32.saturating_pow(number.min(MAX_PAUSE_DOUBLINGS));
    let is_in_time = entry.cx.clock.now() + pause < authorised.deadline;
    if number >= MAX_OWNER_ATTEMPTS || !is_in_time {
        return false;
    }
    thread::sleep(pause);
    true
}

/// Whether another attempt is allowed. Completions are idempotent, so only the number of attempts,
/// the retry budget and the deadline limit retries.
fn may_retry(entry: &Entry, attempts: u32, authorised: &AuthorisedRequest) -> bool {
    attempts < MAX_OWNER_ATTEMPTS
        && entry.cx.clock.now() < authorised.deadline
        && lock(&entry.retry_budget).try_withdraw()
}

/// Failure of a request whose owner could not be reached or was lost.
fn link_failure(may_have_run: bool, reason: String) -> RequestFailure {
    RequestFailure {
        status: 502,
        code: String::from("owner_lost"),
        reason,
        verdict: attempt::link_verdict(may_have_run),
        retry_after_ms: Some(1_000),
        may_try_another_owner: true,
    }
}

/// Sets the verdict over all attempts: a refusal by the last owner does not prove that no earlier
/// attempt ran.
fn with_verdict(mut failure: RequestFailure, may_have_run: bool) -> RequestFailure {
    if may_have_run && failure.verdict == Verdict::NotRun {
        failure.verdict = Verdict::MayHaveRun;
    }
    failure
}

/// Converts a refusal by the limiter to the error reported to the caller.
pub(crate) fn admission_error(refusal: &limit::Refusal) -> ApiError {
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
