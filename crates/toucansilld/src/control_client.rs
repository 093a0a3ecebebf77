//! Finds the leader of the control group and asks it.

use crate::{
    control_messages::{ControlReply, ControlRequest},
    messages::service,
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

/// Longest wait for one daemon's answer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait for a change of voters.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause after all known daemons were asked in vain.
const PAUSE: Duration = Duration::from_millis(100);

/// Result of this module's functions.
pub(crate) type Result<T> = std::result::Result<T, ControlError>;

/// No answer from the control group.
#[derive(Clone, Debug)]
pub(crate) struct ControlError {
    may_have_applied: bool,
    /// Whether the leader itself refused, so that asking again is of no use.
    is_refusal: bool,
    reason: String,
}

impl ControlError {
    fn new(may_have_applied: bool, reason: impl Into<String>) -> Self {
        Self { may_have_applied, is_refusal: false, reason: reason.into() }
    }

    fn refused(reason: impl Into<String>) -> Self {
        Self { may_have_applied: false, is_refusal: true, reason: reason.into() }
    }

    /// Whether the leader itself refused, with its reason.
    pub(crate) fn is_refusal(&self) -> bool {
        self.is_refusal
    }

    /// Whether the command may have been applied or may yet be.
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

/// Asks the control group on behalf of one daemon.
pub(crate) struct ControlClient {
    net: Arc<Net>,
    clock: SharedClock,
    known: Mutex<Known>,
}

/// Daemons that may know the leader.
struct Known {
    leader: Option<String>,
    seeds: Vec<String>,
    members: Vec<String>,
    next: usize,
}

impl ControlClient {
    /// A client that first asks the daemons at `seeds`.
    pub(crate) fn new(net: Arc<Net>, clock: SharedClock, seeds: Vec<String>) -> Self {
        let known = Known { leader: None, seeds, members: Vec::new(), next: 0 };
        Self { net, clock, known: Mutex::new(known) }
    }

    /// Sets the link addresses of the roster's members, to be asked after the seeds.
    pub(crate) fn set_members(&self, members: Vec<String>) {
        lock(&self.known).members = members;
    }

    /// Where the leader was last found.
    pub(crate) fn leader(&self) -> Option<String> {
        lock(&self.known).leader.clone()
    }

    /// Proposes a command that may be applied twice without harm.
    ///
    /// An attempt whose answer was lost is repeated until `timeout`.
    pub(crate) fn propose(&self, command: Command, timeout: Duration) -> Result<Outcome> {
        match self.ask(&ControlRequest::Propose(Box::new(command)), timeout)? {
            ControlReply::Applied(outcome) => Ok(outcome),
            other => Err(ControlError::new(true, format!("unexpected answer {other:?}"))),
        }
    }

    /// Asks until a leader answers or the time is over.
    pub(crate) fn ask(&self, req: &ControlRequest, timeout: Duration) -> Result<ControlReply> {
        let until = self.clock.now() + timeout;
        let body = control::encode(req);
        let is_change = matches!(req, ControlRequest::ChangeVoters(_));
        let mut last = ControlError::new(false, "no daemon is known");
        let mut may_have_applied = false;
        loop {
            for address in self.candidates() {
                match self.attempt(&address, &body, attempt_timeout(req), until) {
                    Ok(reply) => return Ok(reply),
                    Err(err) if err.is_refusal && is_change => {
                        return Err(ControlError { may_have_applied, ..err });
                    }
                    Err(err) => {
                        may_have_applied |= err.may_have_applied;
                        last = err;
                    }
                }
                if self.clock.now() >= until {
                    return Err(ControlError { may_have_applied, ..last });
                }
            }
            if self.clock.now() + PAUSE >= until {
                return Err(ControlError { may_have_applied, ..last });
            }
            thread::sleep(PAUSE);
        }
    }

    fn attempt(
        &self,
        address: &str,
        body: &[u8],
        limit: Duration,
        until: Instant,
    ) -> Result<ControlReply> {
        let left = until.saturating_duration_since(self.clock.now()).min(limit);
        let answer = self
            .net
            .ask(address, service::CONTROL, body.to_vec(), left)
            .map_err(|err| self.failed(address, err.is_sent(), &err.to_string()))?;
        let reply = control::decode::<ControlReply>(&answer)
            .map_err(|err| self.failed(address, true, &err.to_string()))?;
        match reply {
            ControlReply::NotLeader { leader } => {
                lock(&self.known).leader = leader;
                Err(ControlError::new(false, "no leader is known"))
            }
            ControlReply::Refused(reason) => Err(ControlError::refused(reason)),
            ControlReply::Unknown(reason) => Err(self.failed(address, true, &reason)),
            reply => {
                lock(&self.known).leader = Some(String::from(address));
                Ok(reply)
            }
        }
    }

    fn failed(&self, address: &str, may_have_applied: bool, reason: &str) -> ControlError {
        let mut known = lock(&self.known);
        if known.leader.as_deref() == Some(address) {
            known.leader = None;
        }
        ControlError::new(may_have_applied, format!("{address}: {reason}"))
    }

    /// The leader if known, else the next few daemons in turn.
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

fn attempt_timeout(req: &ControlRequest) -> Duration {
    match req {
        ControlRequest::ChangeVoters(_) | ControlRequest::BackUp => CHANGE_TIMEOUT,
        ControlRequest::Propose(_) => 3 * ATTEMPT_TIMEOUT,
        _ => ATTEMPT_TIMEOUT,
    }
}
