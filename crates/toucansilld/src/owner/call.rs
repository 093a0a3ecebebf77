//! One call to a plain service on an owner.

use super::{Owner, OwnerMsg, convert, job};
use crate::messages::{ServiceCallReply, ServiceCallRequest};
use fastrand::Rng;
use route::{FailureCause, TokenUsage};
use std::{
    thread,
    time::{Duration, Instant},
};
use upstream::{Backoff, RetryBudget, RetryDecision, RetryState, ServiceRequest};
use wire::{UpstreamId, Verdict};

/// Header that carries the idempotency key to the service.
const KEY_HEADER: &str = "Idempotency-Key";
/// Retries allowed for each call, as a share of all calls.
const RETRY_SHARE: f64 = 0.1;
/// Retries that may be saved up.
const RETRY_RESERVE: f64 = 1.0;

/// Runs a call: a non-idempotent one is sent at most once.
pub(crate) fn run(owner: &Owner, call: &ServiceCallRequest) -> ServiceCallReply {
    let deadline = owner.cx.clock.now() + Duration::from_millis(call.deadline_ms);
    let mut retry = RetryState::new(Backoff::default(), call.is_idempotent, deadline);
    let mut budget = RetryBudget::new(RETRY_SHARE, RETRY_RESERVE);
    let mut rng = Rng::new();
    let mut avoid = Vec::new();
    loop {
        let failure = match attempt(owner, call, deadline, &mut avoid) {
            Ok(reply) => return reply,
            Err(failure) => failure,
        };
        if failure.may_try_another_owner {
            return ServiceCallReply::Failed(failure);
        }
        match retry.on_failure(failure.verdict, owner.cx.clock.now(), &mut budget, &mut rng) {
            RetryDecision::RetryAt(at) => {
                thread::sleep(at.saturating_duration_since(owner.cx.clock.now()));
            }
            RetryDecision::GiveUp { verdict, retry_after, .. } => {
                let retry_after_ms = Some(job::millis(retry_after));
                return ServiceCallReply::Failed(crate::messages::RequestFailure {
                    verdict,
                    retry_after_ms,
                    ..failure
                });
            }
        }
    }
}

fn attempt(
    owner: &Owner,
    call: &ServiceCallRequest,
    deadline: Instant,
    avoid: &mut Vec<UpstreamId>,
) -> Result<ServiceCallReply, crate::messages::RequestFailure> {
    let placed = owner.submit(placement(call, deadline, avoid)).recv_deadline(deadline);
    let placed = match placed {
        Ok(Ok(placed)) => placed,
        Ok(Err(refusal)) => return Err(job::refused(&refusal)),
        Err(_) => {
            owner.cancelled(&call.request);
            return Err(late());
        }
    };
    let Some(target) = placed.targets.first() else { return Err(late()) };
    avoid.push(target.upstream.clone());
    match owner.client.call(target, &request(call, deadline)) {
        Ok(answer) => {
            let used = TokenUsage::default();
            owner.send(OwnerMsg::Finished { request: call.request.clone(), used });
            Ok(answered(answer))
        }
        Err(err) => {
            let request = call.request.clone();
            owner.send(OwnerMsg::Failed { request, failure: FailureCause::Upstream });
            Err(job::failure(&err, Duration::ZERO))
        }
    }
}

fn placement(call: &ServiceCallRequest, deadline: Instant, avoid: &[UpstreamId]) -> route::Job {
    route::Job {
        request: call.request.clone(),
        model: convert::service_model(&call.service),
        priority: if call.is_urgent { route::Priority::Urgent } else { route::Priority::Ordinary },
        prompt_tokens: 0,
        max_output_tokens: 0,
        prefixes: Vec::new(),
        deadline,
        avoid: avoid.to_vec(),
        is_suspect: false,
    }
}

fn request(call: &ServiceCallRequest, deadline: Instant) -> ServiceRequest {
    let mut headers = Vec::new();
    if let Some(content_type) = &call.content_type {
        headers.push((String::from("Content-Type"), content_type.clone()));
    }
    if let Some(key) = &call.key {
        headers.push((String::from(KEY_HEADER), key.clone()));
    }
    ServiceRequest {
        id: call.request.clone(),
        method: call.method.clone(),
        path: call.path.clone(),
        headers,
        body: call.body.clone(),
        is_idempotent: call.is_idempotent,
        deadline,
    }
}

fn answered(answer: upstream::ServiceResponse) -> ServiceCallReply {
    let is_type = |(name, _): &&(String, String)| name.eq_ignore_ascii_case("content-type");
    let content_type = answer.headers.iter().find(is_type).map(|(_, value)| value.clone());
    ServiceCallReply::Answered {
        status: answer.status,
        content_type: content_type.unwrap_or_else(|| String::from("application/octet-stream")),
        body: answer.body,
    }
}

fn late() -> crate::messages::RequestFailure {
    crate::messages::RequestFailure {
        status: 504,
        code: String::from("deadline"),
        reason: String::from("no upstream was free before the deadline"),
        verdict: Verdict::NotRun,
        retry_after_ms: None,
        may_try_another_owner: false,
    }
}
