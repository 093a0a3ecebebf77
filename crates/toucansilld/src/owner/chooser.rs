//! Chooses the next upstream after a failure, and charges crashes to the request.

use super::{Owner, OwnerMsg, Placed, job::placement_failure};
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

/// Maximum time to wait for a crash charge to be committed.
const CHARGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time to wait for room in the owner's mailbox.
const MAILBOX_TIMEOUT: Duration = Duration::from_secs(2);

/// Chooses the upstreams of one job: the placed one, then others after failures.
pub(crate) struct UpstreamChooser {
    tx: Mailbox<OwnerMsg>,
    control: Arc<ControlClient>,
    session: Arc<SessionService>,
    job: JobRequest,
    deadline: Instant,
    state: Mutex<ChooserState>,
    /// Failure to report in place of the upstream's own error.
    refusal: Mutex<Option<RequestFailure>>,
}

struct ChooserState {
    /// The first placement, until it is used.
    first: Option<Placed>,
    avoid: Vec<UpstreamId>,
    /// The placement in use.
    current: Option<Placed>,
    is_suspect: bool,
}

impl UpstreamChooser {
    /// Chooser for a job that was placed on `placed`.
    pub(crate) fn new(owner: &Owner, job: &JobRequest, deadline: Instant, placed: Placed) -> Self {
        let state = ChooserState {
            first: Some(placed),
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
            state: Mutex::new(state),
            refusal: Mutex::default(),
        }
    }

    /// The next upstream to send the job to, after the failed attempt if there was one. `None`
    /// ends the job.
    pub(crate) fn choose(&self, failed: Option<&FailedAttempt>) -> Option<Target> {
        let mut state = lock(&self.state);
        if let Some(placed) = state.first.take() {
            let target = placed.targets.first().cloned();
            state.current = Some(placed);
            return target;
        }
        let failed = failed?;
        self.send(OwnerMsg::Failed {
            request: self.job.request.clone(),
            failure: failure_cause(&failed.error),
        });
        if failure_cause(&failed.error) == route::FailureCause::Request {
            return None;
        }
        if may_have_crashed(&failed.error)
            && !self.charge_crash(&mut state, &failed.target.upstream)
        {
            return None;
        }
        state.avoid.push(failed.target.upstream.clone());
        self.place_retry(&mut state)
    }

    /// Charges the request with a possible crash of the current upstream, and returns the failure
    /// to report after the stream was given up, if it differs from the upstream's own error.
    pub(crate) fn final_failure(&self, err: &upstream::Error) -> Option<RequestFailure> {
        let mut state = lock(&self.state);
        let current = state.current.as_ref().and_then(|placed| placed.targets.first().cloned());
        if let Some(target) = current
            && may_have_crashed(err)
        {
            self.charge_crash(&mut state, &target.upstream);
        }
        lock(&self.refusal).take()
    }

    /// Charges the crash of an upstream to this request. Returns false if that puts the request
    /// in quarantine, so that it is refused everywhere.
    fn charge_crash(&self, state: &mut ChooserState, upstream: &str) -> bool {
        let current = state.current.as_ref();
        let reservation =
            current.and_then(|placed| placed.placement.reservations().first().copied().cloned());
        let charge = CrashCharge {
            fingerprint: self.job.request_hash,
            upstream: String::from(upstream),
            incarnation: reservation.map_or(0, |reservation| reservation.incarnation),
            alone: current.is_some_and(|placed| placed.in_flight <= 1),
            at_ms: 0,
        };
        let charged = self.control.propose(Command::Charge(charge), CHARGE_TIMEOUT);
        // This daemon sees the new quarantine status at once, others with their next renewal.
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
                log::warn!("the crash of {upstream} was not charged: {err}");
                state.is_suspect = true;
                true
            }
        }
    }

    /// Places the job on another upstream. Only a single one will do: what was sent to one engine
    /// can't be continued by a gang.
    fn place_retry(&self, state: &mut ChooserState) -> Option<Target> {
        let (reply, rx) = flume::bounded(1);
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
        self.send(OwnerMsg::Submit { job: Box::new(job), reply });
        match rx.recv_deadline(self.deadline) {
            Ok(Ok(placed)) if placed.targets.len() > 1 => {
                self.send(OwnerMsg::Cancelled { request: self.job.request.clone() });
                None
            }
            Ok(Ok(placed)) => {
                let target = placed.targets.first().cloned();
                state.current = Some(placed);
                target
            }
            Ok(Err(refusal)) => {
                let mut failure = placement_failure(&refusal);
                failure.verdict = Verdict::MayHaveRun;
                *lock(&self.refusal) = Some(failure);
                None
            }
            Err(_) => None,
        }
    }

    fn send(&self, msg: OwnerMsg) {
        if let Err(err) = self.tx.send_timeout(msg, MAILBOX_TIMEOUT) {
            log::error!("{err}");
        }
    }
}

/// Whether the request itself or the upstream caused the failure.
fn failure_cause(err: &upstream::Error) -> route::FailureCause {
    if err.is_caller_fault() { route::FailureCause::Request } else { route::FailureCause::Upstream }
}

/// Whether the upstream may have crashed with the request in flight.
fn may_have_crashed(err: &upstream::Error) -> bool {
    let is_lost = matches!(err.reason(), ErrorReason::Incomplete | ErrorReason::Unreachable);
    is_lost && err.verdict() != Verdict::NotRun
}

/// Failure of a request that has just been put in quarantine.
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
