//! Choice of the next upstream after a failure, and charges for deaths.

use super::{Owner, OwnerMsg, Placed, job::refused};
use crate::{
    control_client::ControlClient,
    messages::{JobRequest, RequestFailure},
    session::SessionService,
    sync::lock,
};
use control::{Command, CrashCharge, Outcome, QuarantineStatus};
use kernel::Mailbox;
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use upstream::{ErrorReason, FailedAttempt, Target};
use wire::{UpstreamId, Verdict};

/// Longest wait for the answer to a charge.
const CHARGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for room in the owner's mailbox.
const TELL_TIMEOUT: Duration = Duration::from_secs(2);

/// Chooses the upstreams of one job: the placed one, then others after failures.
pub(crate) struct Chooser {
    tx: Mailbox<OwnerMsg>,
    control: Arc<ControlClient>,
    session: Arc<SessionService>,
    job: JobRequest,
    deadline: Instant,
    next: Mutex<ChooserState>,
    refusal: Mutex<Option<RequestFailure>>,
}

struct ChooserState {
    placed: Option<Placed>,
    avoid: Vec<UpstreamId>,
    current: Option<Placed>,
    is_suspect: bool,
}

impl Chooser {
    pub(crate) fn new(owner: &Owner, job: &JobRequest, deadline: Instant, placed: Placed) -> Self {
        let state = ChooserState {
            placed: Some(placed),
            avoid: Vec::new(),
            current: None,
            is_suspect: job.is_suspect,
        };
        Self {
            tx: owner.tx.clone(),
            control: Arc::clone(&owner.cx.control),
            session: Arc::clone(&owner.cx.session),
            job: job.clone(),
            deadline,
            next: Mutex::new(state),
            refusal: Mutex::default(),
        }
    }

    pub(crate) fn choose(&self, failed: Option<&FailedAttempt>) -> Option<Target> {
        let mut state = lock(&self.next);
        if let Some(placed) = state.placed.take() {
            let target = placed.targets.first().cloned();
            state.current = Some(placed);
            return target;
        }
        let failed = failed?;
        self.tell(OwnerMsg::Failed {
            request: self.job.request.clone(),
            failure: blame(&failed.error),
        });
        if blame(&failed.error) == route::FailureCause::Request {
            return None;
        }
        if is_death(&failed.error) && !self.charge(&mut state, &failed.target.upstream) {
            return None;
        }
        state.avoid.push(failed.target.upstream.clone());
        self.place_again(&mut state)
    }

    /// The final answer after the stream has given up, if it is not the failure itself.
    pub(crate) fn end(&self, err: &upstream::Error) -> Option<RequestFailure> {
        let mut state = lock(&self.next);
        let current = state.current.as_ref().and_then(|placed| placed.targets.first().cloned());
        if let Some(target) = current
            && is_death(err)
        {
            self.charge(&mut state, &target.upstream);
        }
        lock(&self.refusal).take()
    }

    /// Charges the death of an upstream to this request. False if the request is
    /// refused everywhere from now on.
    fn charge(&self, state: &mut ChooserState, upstream: &str) -> bool {
        let current = state.current.as_ref();
        let grant =
            current.and_then(|placed| placed.placement.reservations().first().copied().cloned());
        let charge = CrashCharge {
            fingerprint: self.job.fingerprint,
            upstream: String::from(upstream),
            incarnation: grant.map_or(0, |grant| grant.incarnation),
            alone: current.is_some_and(|placed| placed.in_flight <= 1),
            at_ms: 0,
        };
        let charged = self.control.propose(Command::Charge(charge), CHARGE_TIMEOUT);
        // This daemon refuses the same request from now on, others within a renewal.
        self.session.refresh();
        match charged {
            Ok(Outcome::Standing(QuarantineStatus::Quarantined { .. })) => {
                *lock(&self.refusal) = Some(quarantined());
                false
            }
            Ok(Outcome::Standing(QuarantineStatus::Suspect)) => {
                state.is_suspect = true;
                true
            }
            Ok(_) => true,
            Err(err) => {
                log::warn!("a charge was not recorded: {err}");
                state.is_suspect = true;
                true
            }
        }
    }

    fn place_again(&self, state: &mut ChooserState) -> Option<Target> {
        let (reply, placed) = flume::bounded(1);
        let job = route::Job {
            request: self.job.request.clone(),
            model: self.job.model.clone(),
            priority: route::Priority::Urgent,
            prompt_tokens: self.job.prompt_tokens,
            max_output_tokens: self.job.max_output_tokens,
            prefixes: Vec::new(),
            deadline: self.deadline,
            avoid: state.avoid.clone(),
            is_suspect: state.is_suspect,
        };
        self.tell(OwnerMsg::Submit { job: Box::new(job), reply });
        match placed.recv_deadline(self.deadline) {
            Ok(Ok(placed)) if placed.targets.len() > 1 => {
                // What was sent to one engine can't go on over several.
                self.tell(OwnerMsg::Cancelled { request: self.job.request.clone() });
                None
            }
            Ok(Ok(placed)) => {
                let target = placed.targets.first().cloned();
                state.current = Some(placed);
                target
            }
            Ok(Err(refusal)) => {
                let mut failure = refused(&refusal);
                failure.verdict = Verdict::MayHaveRun;
                *lock(&self.refusal) = Some(failure);
                None
            }
            Err(_) => None,
        }
    }

    fn tell(&self, msg: OwnerMsg) {
        if let Err(err) = self.tx.send_timeout(msg, TELL_TIMEOUT) {
            log::error!("{err}");
        }
    }
}

/// Whether the failure is the fault of the request itself.
fn blame(err: &upstream::Error) -> route::FailureCause {
    if err.is_caller_fault() { route::FailureCause::Request } else { route::FailureCause::Upstream }
}

/// Whether the upstream may have died with the request in flight.
fn is_death(err: &upstream::Error) -> bool {
    let is_lost = matches!(err.reason(), ErrorReason::Incomplete | ErrorReason::Unreachable);
    is_lost && err.verdict() != Verdict::NotRun
}

fn quarantined() -> RequestFailure {
    RequestFailure {
        status: 422,
        code: String::from("quarantined"),
        reason: String::from("upstreams died with this request in flight"),
        verdict: Verdict::MayHaveRun,
        retry_after_ms: None,
        may_try_another_owner: false,
    }
}
