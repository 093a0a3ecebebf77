//! Runs a call to a plain service on its owner.

use super::{Owner, OwnerMsg, convert, job};
use crate::messages::{RequestFailure, ServiceCallReply, ServiceCallRequest};
use fastrand::Rng;
use route::{FailureCause, TokenUsage};
use std::{
    thread,
    time::{Duration, Instant},
};
use upstream::{Backoff, RetryBudget, RetryDecision, RetryState, ServiceRequest};
use wire::{UpstreamId, Verdict};

/// Header with the idempotency key for the service.
const IDEMPOTENCY_KEY_HEADER: &str = "Idempotency-Key";
/// Refill rate of the retry budget. It has no effect, since each call has a budget of its own
/// that is never refilled.
const BUDGET_REFILL_RATE: f64 = 0.1;
/// Capacity of the retry budget, which starts full: a call is retried once.
const RETRY_BUDGET_CAPACITY: f64 = 1.0;

/// Runs a call, with retries on other upstreams where the call is idempotent or provably did not
/// run. A non-idempotent call runs at most once.
pub(crate) fn run(owner: &Owner, call: &ServiceCallRequest) -> ServiceCallReply {
    let deadline = owner.cx.clock.now() + Duration::from_millis(call.deadline_ms);
    let mut retry = RetryState::new(Backoff::default(), call.is_idempotent, deadline);
    let mut budget = RetryBudget::new(BUDGET_REFILL_RATE, RETRY_BUDGET_CAPACITY);
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
                let retry_after_ms = Some(job::to_millis(retry_after));
                return ServiceCallReply::Failed(RequestFailure {
                    verdict,
                    retry_after_ms,
                    ..failure
                });
            }
        }
    }
}

/// Places the call on an upstream that is not in `avoid`, sends it, and adds the upstream to
/// `avoid`.
fn attempt(
    owner: &Owner,
    call: &ServiceCallRequest,
    deadline: Instant,
    avoid: &mut Vec<UpstreamId>,
) -> Result<ServiceCallReply, RequestFailure> {
    let placed = owner.submit(placement_job(call, deadline, avoid)).recv_deadline(deadline);
    let placed = match placed {
        Ok(Ok(placed)) => placed,
        Ok(Err(refusal)) => return Err(job::placement_failure(&refusal)),
        Err(_) => {
            owner.cancel(&call.request);
            return Err(no_upstream_in_time());
        }
    };
    let Some(target) = placed.targets.first() else { return Err(no_upstream_in_time()) };
    avoid.push(target.upstream.clone());
    match owner.client.call(target, &service_request(call, deadline)) {
        Ok(res) => {
            let used = TokenUsage::default();
            owner.send(OwnerMsg::Finished { request: call.request.clone(), used });
            Ok(to_reply(res))
        }
        Err(err) => {
            let request = call.request.clone();
            owner.send(OwnerMsg::Failed { request, failure: FailureCause::Upstream });
            Err(job::upstream_failure(&err, Duration::ZERO))
        }
    }
}

/// The job to place for a call. It reserves no memory.
fn placement_job(call: &ServiceCallRequest, deadline: Instant, avoid: &[UpstreamId]) -> route::Job {
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

fn service_request(call: &ServiceCallRequest, deadline: Instant) -> ServiceRequest {
    let mut headers = Vec::new();
    if let Some(content_type) = &call.content_type {
        headers.push((String::from("Content-Type"), content_type.clone()));
    }
    if let Some(key) = &call.key {
        headers.push((String::from(IDEMPOTENCY_KEY_HEADER), key.clone()));
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

fn to_reply(res: upstream::ServiceResponse) -> ServiceCallReply {
    let is_content_type = |(name, _): &&(String, String)| name.eq_ignore_ascii_case("content-type");
    let content_type = res.headers.iter().find(is_content_type).map(|(_, value)| value.clone());
    ServiceCallReply::Answered {
        status: res.status,
        content_type: content_type.unwrap_or_else(|| String::from("application/octet-stream")),
        body: res.body,
    }
}

/// Failure of a call that was not placed before its deadline.
fn no_upstream_in_time() -> RequestFailure {
    RequestFailure {
        status: 504,
        code: String::from("deadline"),
        reason: String::from("no upstream was free before the deadline"),
        verdict: Verdict::NotRun,
        retry_after_ms: None,
        may_try_another_owner: false,
    }
}
