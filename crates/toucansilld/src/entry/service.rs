//! A call to a plain service. One that may not be repeated claims its key first.

use super::{Accepted, Entry, admission, attempt::link_verdict, model};
use crate::{
    control_client::{ControlClient, ControlError},
    messages::{OwnerRequest, RequestFailure, ServiceCallReply, ServiceCallRequest, service},
};
use control::{
    Claim, ClaimId, ClaimOutcome, Command, Completion, LedgerKey, Outcome, RetryPolicy,
    ServiceRoute, StoredResponse,
};
use edge::{ApiError, CallerRequest, ServiceCall};
use route::OwnerQuery;
use sha2::{Digest, Sha256};
use std::{sync::Arc, thread, time::Duration};
use wire::{IdempotencyKey, Verdict};

/// Deadline of a call that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Longest wait for the ledger.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(5);
/// Attempts to free a key whose claim got no answer.
const RELEASE_ATTEMPTS: u32 = 60;
/// Time after the deadline in which the owner may still say how the call ended.
const OWNER_GRACE: Duration = Duration::from_millis(500);
/// Tokens that a call counts for in admission.
const CALL_TOKENS: u64 = 1;

/// Runs a call.
pub(crate) fn run(
    entry: &Entry,
    req: CallerRequest,
    mut accepted: Accepted,
    call: &ServiceCall,
) -> edge::Result<()> {
    if req.headers.deadline.is_none() {
        accepted.deadline = req.received + DEFAULT_DEADLINE;
    }
    match answer(entry, &req, &accepted, call) {
        Ok(ServiceCallReply::Answered { status, content_type, body }) => {
            req.reply.bytes(status, &content_type, body, Verdict::Ran)
        }
        Ok(ServiceCallReply::Failed(failure)) => req.reply.error(error_of(&failure)),
        Err(err) => {
            entry.refused(&accepted.request, &err);
            req.reply.error(err)
        }
    }
}

fn answer(
    entry: &Entry,
    req: &CallerRequest,
    accepted: &Accepted,
    call: &ServiceCall,
) -> Result<ServiceCallReply, ApiError> {
    let cfg = entry.cx.session.configuration();
    let service = cfg.services.get(&call.service).ok_or_else(|| unknown_service(&call.service))?;
    let path = call.target.split('?').next().unwrap_or_default();
    let route = service.route(req.method.as_str(), path);
    let is_repeatable = is_repeatable(route, call.idempotent);
    let usual = cfg.organisations.get(&accepted.organisation).map(|o| o.priority);
    let priority = admission::priority(req.headers.priority, usual.unwrap_or_default());
    let is_urgent = route.is_some_and(|route| route.urgent) || priority == limit::Priority::Urgent;
    let plain = plain_call(req, accepted, call, is_urgent, is_repeatable);
    let pass =
        entry.admission.admit(&ask(accepted, is_urgent)).map_err(|err| model::refused(&err))?;
    let reply = if is_repeatable {
        Ok(send(entry, accepted, &plain))
    } else {
        send_once(entry, accepted, &plain)
    };
    pass.finish(CALL_TOKENS);
    reply
}

/// Without a route in the sheet, the method decides.
fn is_repeatable(route: Option<&ServiceRoute>, by_method: bool) -> bool {
    route.map_or(by_method, |route| route.repeat == RetryPolicy::Idempotent)
}

fn ask(accepted: &Accepted, is_urgent: bool) -> limit::AdmissionRequest {
    limit::AdmissionRequest {
        organisation: accepted.organisation.clone(),
        priority: if is_urgent { limit::Priority::Urgent } else { limit::Priority::Ordinary },
        prompt_tokens: CALL_TOKENS,
        max_output_tokens: 0,
        deadline: accepted.deadline,
    }
}

fn plain_call(
    req: &CallerRequest,
    accepted: &Accepted,
    call: &ServiceCall,
    is_urgent: bool,
    is_idempotent: bool,
) -> ServiceCallRequest {
    ServiceCallRequest {
        request: accepted.request.clone(),
        service: call.service.clone(),
        method: req.method.to_string(),
        path: call.target.clone(),
        content_type: req.headers.content_type.clone(),
        body: req.body.clone(),
        key: req.headers.idempotency_key.clone(),
        is_urgent,
        is_idempotent,
        deadline_ms: 0,
    }
}

/// Claims the key, sends the call once, and stores what is known of its end.
fn send_once(
    entry: &Entry,
    accepted: &Accepted,
    plain: &ServiceCallRequest,
) -> Result<ServiceCallReply, ApiError> {
    let key = plain.key.clone().ok_or_else(missing_key)?;
    let id = claim_id(entry, accepted, plain, key);
    let claim = Claim { id: id.clone(), body_hash: body_hash(plain) };
    let claimed = entry.cx.control.propose(Command::ClaimKey(claim.clone()), LEDGER_TIMEOUT);
    if claimed.as_ref().is_err_and(ControlError::is_unknown) {
        release_later(&entry.cx.control, claim);
    }
    if let Some(reply) = after_claim(claimed)? {
        return Ok(reply);
    }
    let reply = send(entry, accepted, plain);
    settle(entry, id, &reply);
    Ok(reply)
}

/// Frees a key whose claim got no answer: the claim may be committed yet, though
/// its call will not be sent. Asking for the same claim again shows how it ended.
fn release_later(control: &Arc<ControlClient>, claim: Claim) {
    let control = Arc::clone(control);
    thread::spawn(move || {
        for _ in 0..RELEASE_ATTEMPTS {
            let claimed = control.propose(Command::ClaimKey(claim.clone()), LEDGER_TIMEOUT);
            let is_settled = match claimed {
                Ok(Outcome::Claim(ClaimOutcome::Claimed)) => {
                    let abandon = Command::AbandonKey(claim.id.clone());
                    control.propose(abandon, LEDGER_TIMEOUT).is_ok()
                }
                Ok(_) => true,
                Err(_) => false,
            };
            if is_settled {
                return;
            }
        }
        log::warn!("the key {} stays claimed until this daemon leaves", claim.id.key.key);
    });
}

fn claim_id(
    entry: &Entry,
    accepted: &Accepted,
    plain: &ServiceCallRequest,
    key: IdempotencyKey,
) -> ClaimId {
    ClaimId {
        key: LedgerKey {
            organisation: accepted.organisation.clone(),
            service: plain.service.clone(),
            key,
        },
        holder: entry.cx.session.holder(),
        request: accepted.request.clone(),
        at_ms: 0,
    }
}

/// Over method, path and body: a key names one call.
fn body_hash(plain: &ServiceCallRequest) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in [plain.method.as_bytes(), plain.path.as_bytes(), &plain.body] {
        hasher.update(part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// The stored answer of a resend, or nothing if the call may go out.
fn after_claim(
    claimed: Result<Outcome, ControlError>,
) -> Result<Option<ServiceCallReply>, ApiError> {
    let outcome = match claimed {
        Ok(Outcome::Claim(outcome)) => outcome,
        Ok(other) => {
            return Err(no_claim(&format!("the ledger gave {other:?}")));
        }
        // The call was not sent, whatever became of the claim.
        Err(err) => return Err(no_claim(&err.to_string())),
    };
    match outcome {
        ClaimOutcome::Claimed => Ok(None),
        ClaimOutcome::Answered(answer) => stored(answer).map(Some),
        ClaimOutcome::InProgress { daemon } => {
            let reason = format!("a call with this key is in progress at {daemon}");
            Err(ApiError::new(409, "in_progress", reason, Verdict::MayHaveRun)
                .with_retry_after(Duration::from_secs(1)))
        }
        ClaimOutcome::MayHaveRun => {
            let reason = "a call with this key was sent and its answer is not known";
            Err(ApiError::new(409, "may_have_run", reason, Verdict::MayHaveRun))
        }
        ClaimOutcome::BodyMismatch => {
            let reason = "the key was used with another method, path or body";
            Err(ApiError::refusal(422, "key_reused", reason))
        }
        ClaimOutcome::Full { entries, .. } => {
            let reason = format!("the ledger holds {entries} keys and takes no more for now");
            Err(ApiError::refusal(503, "ledger_full", reason)
                .with_retry_after(Duration::from_secs(60)))
        }
        ClaimOutcome::NotMember | ClaimOutcome::Ended => {
            Err(no_claim("the daemon's session ended"))
        }
    }
}

fn stored(answer: StoredResponse) -> Result<ServiceCallReply, ApiError> {
    let StoredResponse { status, content_type, body } = answer;
    match body {
        Some(body) => Ok(ServiceCallReply::Answered { status, content_type, body }),
        None => {
            let reason = format!("the call ran with status {status}; its answer was too long");
            Err(ApiError::new(409, "answer_not_kept", reason, Verdict::Ran))
        }
    }
}

/// Tells the ledger how the call ended.
fn settle(entry: &Entry, id: ClaimId, reply: &ServiceCallReply) {
    let command = match reply {
        ServiceCallReply::Answered { status, content_type, body } => {
            let answer = StoredResponse {
                status: *status,
                content_type: content_type.clone(),
                body: Some(body.clone()),
            };
            Command::CompleteKey(Completion { id, answer })
        }
        ServiceCallReply::Failed(failure) if failure.verdict == Verdict::NotRun => {
            Command::AbandonKey(id)
        }
        ServiceCallReply::Failed(_) => Command::GiveUpKey(id),
    };
    if let Err(err) = entry.cx.control.propose(command, LEDGER_TIMEOUT) {
        log::warn!("the end of a call was not recorded: {err}");
    }
}

/// Sends the call to an owner. Another owner is tried only if the first one
/// proves that nothing was sent, or if the call is idempotent.
fn send(entry: &Entry, accepted: &Accepted, plain: &ServiceCallRequest) -> ServiceCallReply {
    let mut avoid = Vec::new();
    let mut may_have_run = false;
    loop {
        let now = entry.cx.clock.now();
        let ask = OwnerQuery {
            model: crate::owner::service_model(&plain.service),
            prefix: None,
            prompt_tokens: 0,
            max_output_tokens: 0,
            avoid: avoid.clone(),
        };
        let owner = match entry.placement.choose(now, &ask) {
            Ok(choice) => choice.owner,
            Err(refusal) => {
                return failed(crate::owner::placement_failure(&refusal), may_have_run);
            }
        };
        let failure = match send_to(entry, accepted, &owner, plain) {
            ServiceCallReply::Answered { status, content_type, body } => {
                return ServiceCallReply::Answered { status, content_type, body };
            }
            ServiceCallReply::Failed(failure) => failure,
        };
        may_have_run |= failure.verdict != Verdict::NotRun;
        let may_repeat = plain.is_idempotent || !may_have_run;
        if !failure.may_try_another_owner
            || !may_repeat
            || entry.cx.clock.now() >= accepted.deadline
        {
            return failed(failure, may_have_run);
        }
        avoid.push(owner);
    }
}

fn failed(mut failure: RequestFailure, may_have_run: bool) -> ServiceCallReply {
    if may_have_run && failure.verdict == Verdict::NotRun {
        failure.verdict = Verdict::MayHaveRun;
    }
    ServiceCallReply::Failed(failure)
}

fn send_to(
    entry: &Entry,
    accepted: &Accepted,
    owner: &str,
    plain: &ServiceCallRequest,
) -> ServiceCallReply {
    let left = accepted.deadline.saturating_duration_since(entry.cx.clock.now());
    let deadline_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let call = ServiceCallRequest { deadline_ms, ..plain.clone() };
    if owner == entry.cx.session.holder().daemon {
        return entry.cx.owner.call(&call);
    }
    let Some(address) = entry.cx.session.address_of(owner) else {
        return lost(false, &format!("{owner} left the roster"));
    };
    let body = match wire::encode(&OwnerRequest::Call(call)) {
        Ok(body) => body,
        Err(err) => return lost(false, &err.to_string()),
    };
    match entry.cx.net.ask(&address, service::OWNER, body, left + OWNER_GRACE) {
        Ok(buf) => wire::decode(&buf).unwrap_or_else(|err| lost(true, &err.to_string())),
        Err(err) => lost(err.is_sent(), &err.to_string()),
    }
}

fn lost(is_sent: bool, reason: &str) -> ServiceCallReply {
    ServiceCallReply::Failed(RequestFailure {
        status: 502,
        code: String::from("owner_lost"),
        reason: String::from(reason),
        verdict: link_verdict(is_sent),
        retry_after_ms: Some(1_000),
        may_try_another_owner: true,
    })
}

fn error_of(failure: &RequestFailure) -> ApiError {
    let (code, reason) = (failure.code.clone(), failure.reason.clone());
    let err = ApiError::new(failure.status, code, reason, failure.verdict);
    match failure.retry_after_ms {
        Some(after) => err.with_retry_after(Duration::from_millis(after)),
        None => err,
    }
}

fn unknown_service(name: &str) -> ApiError {
    ApiError::refusal(404, "unknown_service", format!("the sheet names no service {name}"))
}

fn missing_key() -> ApiError {
    let reason = "this call may not be repeated: send an Idempotency-Key";
    ApiError::refusal(400, "missing_idempotency_key", reason)
}

fn no_claim(reason: &str) -> ApiError {
    let reason = format!("the key was not claimed, so the call was not sent: {reason}");
    ApiError::refusal(503, "no_claim", reason).with_retry_after(Duration::from_secs(1))
}
