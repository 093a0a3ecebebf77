//! Client of the control group: finds the leader and sends requests to it.

use crate::{
    control_messages::{ControlReply, ControlRequest},
    messages::message_service,
    net::Net,
    sync::lock,
};
use control::{Command, Outcome};
use kernel::SharedClock;
use std::{
    fmt,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Maximum time to wait for one daemon's reply. A proposal gets three times as long.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum time to wait for a membership change or a back-up.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause between attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Result of this module's functions.
pub(crate) type Result<T> = std::result::Result<T, ControlError>;

/// Failure of a request to the control group.
#[derive(Clone, Debug)]
pub(crate) struct ControlError {
    may_have_applied: bool,
    /// Whether the leader itself refused the request.
    is_refusal: bool,
    reason: String,
}

impl ControlError {
    fn new(may_have_applied: bool, reason: impl Into<String>) -> Self {
        Self { may_have_applied, is_refusal: false, reason: reason.into() }
    }

    /// Error of a request that the leader itself refused.
    fn refused(reason: impl Into<String>) -> Self {
        Self { may_have_applied: false, is_refusal: true, reason: reason.into() }
    }

    /// Whether the leader itself refused the request. The error then displays its reason.
    pub(crate) fn is_refusal(&self) -> bool {
        self.is_refusal
    }

    /// Whether the command may have been applied, or may be applied later.
    pub(crate) fn is_unknown(&self) -> bool {
        self.may_have_applied
    }
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_refusal {
            return f.write_str(&self.reason);
        }
        let applied = if self.may_have_applied { "may have been applied" } else { "not applied" };
        write!(f, "the control group gave no answer ({applied}): {}", self.reason)
    }
}

/// Sends requests of one daemon to the control group.
pub(crate) struct ControlClient {
    net: Arc<Net>,
    clock: SharedClock,
    known: Mutex<KnownDaemons>,
}

/// Link addresses of daemons that may know the leader.
struct KnownDaemons {
    leader: Option<String>,
    seeds: Vec<String>,
    members: Vec<String>,
    /// Index of the next candidate, round robin over seeds and members.
    next: usize,
}

impl ControlClient {
    /// Client that knows the daemons at the link addresses `seeds`.
    pub(crate) fn new(net: Arc<Net>, clock: SharedClock, seeds: Vec<String>) -> Self {
        let known = KnownDaemons { leader: None, seeds, members: Vec::new(), next: 0 };
        Self { net, clock, known: Mutex::new(known) }
    }

    /// Sets the link addresses of the roster's members, which are tried besides the seeds.
    pub(crate) fn set_members(&self, members: Vec<String>) {
        lock(&self.known).members = members;
    }

    /// Link address of the leader, if known.
    pub(crate) fn leader(&self) -> Option<String> {
        lock(&self.known).leader.clone()
    }

    /// Proposes a command, which must have the same effect if it is applied twice.
    ///
    /// An attempt whose reply was lost is retried until `timeout`.
    pub(crate) fn propose(&self, command: Command, timeout: Duration) -> Result<Outcome> {
        match self.request(&ControlRequest::Propose(Box::new(command)), timeout)? {
            ControlReply::Applied(outcome) => Ok(outcome),
            other => Err(ControlError::new(true, format!("unexpected answer {other:?}"))),
        }
    }

    /// Sends a request until the leader replies or `timeout` has passed. A membership change that
    /// the leader refuses is not retried.
    pub(crate) fn request(&self, req: &ControlRequest, timeout: Duration) -> Result<ControlReply> {
        let deadline = self.clock.now() + timeout;
        let body = control::encode(req);
        let is_change = matches!(req, ControlRequest::ChangeVoters(_));
        let mut last = ControlError::new(false, "no daemon is known");
        let mut may_have_applied = false;
        loop {
            for address in self.candidates() {
                match self.attempt(&address, &body, attempt_timeout(req), deadline) {
                    Ok(reply) => return Ok(reply),
                    Err(err) if err.is_refusal && is_change => {
                        return Err(ControlError { may_have_applied, ..err });
                    }
                    Err(err) => {
                        may_have_applied |= err.may_have_applied;
                        last = err;
                    }
                }
                if self.clock.now() >= deadline {
                    return Err(ControlError { may_have_applied, ..last });
                }
            }
            if self.clock.now() + RETRY_PAUSE >= deadline {
                return Err(ControlError { may_have_applied, ..last });
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    /// Sends a request to one daemon, and updates the known leader.
    fn attempt(
        &self,
        address: &str,
        body: &[u8],
        timeout: Duration,
        deadline: Instant,
    ) -> Result<ControlReply> {
        let remaining = deadline.saturating_duration_since(self.clock.now()).min(timeout);
        let reply =
            self.net.request(address, message_service::CONTROL, body.to_vec(), remaining).map_err(
                |err| self.attempt_failed(address, err.may_have_run(), &err.to_string()),
            )?;
        let reply = control::decode::<ControlReply>(&reply)
            .map_err(|err| self.attempt_failed(address, true, &err.to_string()))?;
        match reply {
            ControlReply::NotLeader { leader } => {
                lock(&self.known).leader = leader;
                Err(ControlError::new(false, "no leader is known"))
            }
            ControlReply::Refused(reason) => Err(ControlError::refused(reason)),
            ControlReply::Unknown(reason) => Err(self.attempt_failed(address, true, &reason)),
            reply => {
                lock(&self.known).leader = Some(String::from(address));
                Ok(reply)
            }
        }
    }

    /// Error of an attempt. The daemon is no longer considered the leader.
    fn attempt_failed(&self, address: &str, may_have_applied: bool, reason: &str) -> ControlError {
        let mut known = lock(&self.known);
        if known.leader.as_deref() == Some(address) {
            known.leader = None;
        }
        ControlError::new(may_have_applied, format!("{address}: {reason}"))
    }

    /// The daemon to try next: the leader if known, or else the seeds and members in turn.
    fn candidates(&self) -> Vec<String> {
        let mut known = lock(&self.known);
        if let Some(leader) = &known.leader {
            return vec![leader.clone()];
        }
        let mut all = known.seeds.clone();
        let members: Vec<String> =
            known.members.iter().filter(|member| !all.contains(member)).cloned().collect();
        all.extend(members);
        if all.is_empty() {
            return all;
        }
        let next = known.next % all.len();
        known.next = known.next.wrapping_add(1);
        vec![all.swap_remove(next)]
    }
}

/// Maximum time of one attempt, by the kind of the request.
fn attempt_timeout(req: &ControlRequest) -> Duration {
    match req {
        ControlRequest::ChangeVoters(_) | ControlRequest::BackUp => CHANGE_TIMEOUT,
        ControlRequest::Propose(_) => 3 * ATTEMPT_TIMEOUT,
        _ => ATTEMPT_TIMEOUT,
    }
}
