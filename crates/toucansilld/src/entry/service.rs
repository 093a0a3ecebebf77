//! Serves a call to a plain service.
//!
//! A call that is not idempotent claims its idempotency key in the ledger of the control group
//! before it is sent, so that it runs at most once in the region. The ledger keeps its response for
//! resends.

use super::{AuthorisedRequest, Entry, admission, attempt::link_verdict, model};
use crate::{
    control_client::{ControlClient, ControlError},
    messages::{
        OwnerRequest, RequestFailure, ServiceCallReply, ServiceCallRequest, message_service,
    },
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

/// Time to the deadline of a call whose caller sets none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Maximum time to wait for a command to the ledger.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of attempts to release a key whose claim got no reply.
const MAX_RELEASE_ATTEMPTS: u32 = 60;
/// Time after the deadline for which to wait for the owner's report on how the call ended.
const OWNER_REPLY_MARGIN: Duration = Duration::from_millis(500);
/// Number of tokens that a call counts as in admission.
const CALL_TOKENS: u64 = 1;

/// Admits and runs a call, and responds to its caller.
pub(crate) fn run(
    entry: &Entry,
    req: CallerRequest,
    mut authorised: AuthorisedRequest,
    call: &ServiceCall,
) -> edge::Result<()> {
    if req.headers.deadline.is_none() {
        authorised.deadline = req.received + DEFAULT_DEADLINE;
    }
    match run_admitted(entry, &req, &authorised, call) {
        Ok(ServiceCallReply::Answered { status, content_type, body }) => {
            req.response.bytes(status, &content_type, body, Verdict::Ran)
        }
        Ok(ServiceCallReply::Failed(failure)) => req.response.error(to_api_error(&failure)),
        Err(err) => {
            entry.record_refusal(&authorised.request, &err);
            req.response.error(err)
        }
    }
}

/// Admits a call and runs it. Errors are those of calls that were not sent.
fn run_admitted(
    entry: &Entry,
    req: &CallerRequest,
    authorised: &AuthorisedRequest,
    call: &ServiceCall,
) -> Result<ServiceCallReply, ApiError> {
    let cfg = entry.cx.session.configuration();
    let service = cfg.services.get(&call.service).ok_or_else(|| unknown_service(&call.service))?;
    let path = call.target.split('?').next().unwrap_or_default();
    let route = service.route(req.method.as_str(), path);
    let is_idempotent = is_idempotent(route, call.idempotent);
    let default_priority = cfg.organisations.get(&authorised.organisation).map(|o| o.priority);
    let priority = admission::priority(req.headers.priority, default_priority.unwrap_or_default());
    let is_urgent = route.is_some_and(|route| route.urgent) || priority == limit::Priority::Urgent;
    let call_req = call_request(req, authorised, call, is_urgent, is_idempotent);
    let permit = entry
        .admission
        .admit(&admission_request(authorised, is_urgent))
        .map_err(|err| model::admission_error(&err))?;
    let reply = if is_idempotent {
        Ok(send(entry, authorised, &call_req))
    } else {
        send_once(entry, authorised, &call_req)
    };
    permit.finish(CALL_TOKENS);
    reply
}

/// Whether a call may be sent more than once. Without a route in the sheet, its method decides.
fn is_idempotent(route: Option<&ServiceRoute>, by_method: bool) -> bool {
    route.map_or(by_method, |route| route.repeat == RetryPolicy::Idempotent)
}

/// Request to the limiter. A call counts as a fixed number of tokens.
fn admission_request(authorised: &AuthorisedRequest, is_urgent: bool) -> limit::AdmissionRequest {
    limit::AdmissionRequest {
        organisation: authorised.organisation.clone(),
        priority: if is_urgent { limit::Priority::Urgent } else { limit::Priority::Ordinary },
        prompt_tokens: CALL_TOKENS,
        max_output_tokens: 0,
        deadline: authorised.deadline,
    }
}

/// Builds the request to the owner; its deadline is set for each attempt.
fn call_request(
    req: &CallerRequest,
    authorised: &AuthorisedRequest,
    call: &ServiceCall,
    is_urgent: bool,
    is_idempotent: bool,
) -> ServiceCallRequest {
    ServiceCallRequest {
        request: authorised.request.clone(),
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

/// Claims the key, sends the call at most once, and records its outcome in the ledger.
fn send_once(
    entry: &Entry,
    authorised: &AuthorisedRequest,
    call: &ServiceCallRequest,
) -> Result<ServiceCallReply, ApiError> {
    let key = call.key.clone().ok_or_else(missing_key)?;
    let id = claim_id(entry, authorised, call, key);
    let claim = Claim { id: id.clone(), body_hash: body_hash(call) };
    let claimed = entry.cx.control.propose(Command::ClaimKey(claim.clone()), LEDGER_TIMEOUT);
    if claimed.as_ref().is_err_and(ControlError::is_unknown) {
        release_claim_later(&entry.cx.control, claim);
    }
    if let Some(reply) = check_claim(claimed)? {
        return Ok(reply);
    }
    let reply = send(entry, authorised, call);
    record_outcome(entry, id, &reply);
    Ok(reply)
}

/// Releases a key whose claim got no reply. The claim may still be committed, although its call
/// will not be sent. Proposing the same claim again shows how it ended.
fn release_claim_later(control: &Arc<ControlClient>, claim: Claim) {
    let control = Arc::clone(control);
    thread::spawn(move || {
        for _ in 0..MAX_RELEASE_ATTEMPTS {
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
        log::warn!(
            "the key {} stays claimed until this daemon leaves the roster",
            claim.id.key.key
        );
    });
}

/// Id of a claim: the key in its scope, with the daemon and the request that claim it.
fn claim_id(
    entry: &Entry,
    authorised: &AuthorisedRequest,
    call: &ServiceCallRequest,
    key: IdempotencyKey,
) -> ClaimId {
    ClaimId {
        key: LedgerKey {
            organisation: authorised.organisation.clone(),
            service: call.service.clone(),
            key,
        },
        holder: entry.cx.session.instance(),
        request: authorised.request.clone(),
        at_ms: 0,
    }
}

/// Hash of method, path and body, which must be equal for all calls with one key.
fn body_hash(call: &ServiceCallRequest) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in [call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        hasher.update(part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// The stored response of a resend, or `None` if the call was claimed and may be sent.
fn check_claim(
    claimed: Result<Outcome, ControlError>,
) -> Result<Option<ServiceCallReply>, ApiError> {
    let outcome = match claimed {
        Ok(Outcome::Claim(outcome)) => outcome,
        Ok(other) => {
            return Err(no_claim(&format!("the ledger gave {other:?}")));
        }
        // The call is not sent, whether the claim is committed or not.
        Err(err) => return Err(no_claim(&err.to_string())),
    };
    match outcome {
        ClaimOutcome::Claimed => Ok(None),
        ClaimOutcome::Answered(res) => stored_reply(res).map(Some),
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

/// Reply with the stored response of an earlier call. Its body is missing if it was too long to
/// keep.
fn stored_reply(res: StoredResponse) -> Result<ServiceCallReply, ApiError> {
    let StoredResponse { status, content_type, body } = res;
    match body {
        Some(body) => Ok(ServiceCallReply::Answered { status, content_type, body }),
        None => {
            let reason = format!("the call ran with status {status}; its answer was too long");
            Err(ApiError::new(409, "answer_not_kept", reason, Verdict::Ran))
        }
    }
}

/// Records in the ledger how the call ended.
fn record_outcome(entry: &Entry, id: ClaimId, reply: &ServiceCallReply) {
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
        log::warn!("the outcome of a call was not recorded: {err}");
    }
}

/// Sends the call to an owner. Another owner is tried only if the first one provably has not sent
/// it, or if the call is idempotent.
fn send(
    entry: &Entry,
    authorised: &AuthorisedRequest,
    call: &ServiceCallRequest,
) -> ServiceCallReply {
    let mut avoid = Vec::new();
    let mut may_have_run = false;
    loop {
        let now = entry.cx.clock.now();
        let query = OwnerQuery {
            model: crate::owner::service_model(&call.service),
            prefix: None,
            prompt_tokens: 0,
            max_output_tokens: 0,
            avoid: avoid.clone(),
        };
        let owner = match entry.owners.choose(now, &query) {
            Ok(choice) => choice.owner,
            Err(refusal) => {
                return failed(crate::owner::placement_failure(&refusal), may_have_run);
            }
        };
        let failure = match send_to(entry, authorised, &owner, call) {
            ServiceCallReply::Answered { status, content_type, body } => {
                return ServiceCallReply::Answered { status, content_type, body };
            }
            ServiceCallReply::Failed(failure) => failure,
        };
        may_have_run |= failure.verdict != Verdict::NotRun;
        let may_resend = call.is_idempotent || !may_have_run;
        if !failure.may_try_another_owner
            || !may_resend
            || entry.cx.clock.now() >= authorised.deadline
        {
            return failed(failure, may_have_run);
        }
        avoid.push(owner);
    }
}

/// The failure with the verdict over all attempts: a refusal by the last owner does not prove that
/// no earlier attempt ran.
fn failed(mut failure: RequestFailure, may_have_run: bool) -> ServiceCallReply {
    if may_have_run && failure.verdict == Verdict::NotRun {
        failure.verdict = Verdict::MayHaveRun;
    }
    ServiceCallReply::Failed(failure)
}

/// Sends the call to one owner, on this daemon or behind a link.
fn send_to(
    entry: &Entry,
    authorised: &AuthorisedRequest,
    owner: &str,
    call: &ServiceCallRequest,
) -> ServiceCallReply {
    let remaining = authorised.deadline.saturating_duration_since(entry.cx.clock.now());
    let deadline_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    let call = ServiceCallRequest { deadline_ms, ..call.clone() };
    if owner == entry.cx.session.instance().daemon {
        return entry.cx.owner.call(&call);
    }
    let Some(address) = entry.cx.session.address_of(owner) else {
        return owner_lost(false, &format!("{owner} left the roster"));
    };
    let body = match wire::encode(&OwnerRequest::Call(call)) {
        Ok(body) => body,
        Err(err) => return owner_lost(false, &err.to_string()),
    };
    match entry.cx.net.request(
        &address,
        message_service::OWNER,
        body,
        remaining + OWNER_REPLY_MARGIN,
    ) {
        Ok(buf) => wire::decode(&buf).unwrap_or_else(|err| owner_lost(true, &err.to_string())),
        Err(err) => owner_lost(err.may_have_run(), &err.to_string()),
    }
}

/// Failure of a call whose owner could not be reached or was lost.
fn owner_lost(may_have_run: bool, reason: &str) -> ServiceCallReply {
    ServiceCallReply::Failed(RequestFailure {
        status: 502,
        code: String::from("owner_lost"),
        reason: String::from(reason),
        verdict: link_verdict(may_have_run),
        retry_after_ms: Some(1_000),
        may_try_another_owner: true,
    })
}

fn to_api_error(failure: &RequestFailure) -> ApiError {
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

/// Error of a call that was not sent, because its key was not claimed.
fn no_claim(reason: &str) -> ApiError {
    let reason = format!("the key was not claimed, so the call was not sent: {reason}");
    ApiError::refusal(503, "no_claim", reason).with_retry_after(Duration::from_secs(1))
}
