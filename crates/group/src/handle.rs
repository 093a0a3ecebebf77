//! The way to a running voter.

use crate::{
    error::{Error, Result},
    request::{AppliedCommand, ConfirmedLeadership, Goal, Request},
    status::Status,
};
use flume::{Receiver, RecvTimeoutError, SendTimeoutError, Sender, TrySendError};
use kernel::SharedClock;
use raft::{Index, MembershipChange, Message, NodeId, Snapshot};
use std::{
    sync::{Arc, Mutex, PoisonError},
    thread::JoinHandle,
    time::Duration,
};

/// Time given to requests that need no other voter.
const LOCAL_TIMEOUT: Duration = Duration::from_secs(10);

/// A handle to a running voter. Clones refer to the same one.
#[derive(Clone)]
pub struct Handle {
    pub(crate) requests: Sender<Request>,
    pub(crate) messages: Sender<Message>,
    pub(crate) status: Arc<Mutex<Status>>,
    pub(crate) clock: SharedClock,
    pub(crate) thread: Arc<Mutex<Option<JoinHandle<()>>>>,
}

/// A command on its way. Dropping it doesn't take the command back.
#[derive(Debug)]
pub struct PendingProposal {
    rx: Receiver<Result<AppliedCommand>>,
    timeout: Duration,
}

impl PendingProposal {
    /// Waits for the command to be applied.
    ///
    /// # Errors
    ///
    /// [`Error::is_unknown`] if no answer comes before the timeout.
    pub fn wait(self) -> Result<AppliedCommand> {
        receive(&self.rx, self.timeout)
    }
}

impl Handle {
    /// Proposes a command and waits until it is committed and applied.
    ///
    /// # Errors
    ///
    /// [`Error::is_not_applied`] if the command was refused or replaced, with
    /// [`Error::leader_hint`] if another voter leads; [`Error::is_unknown`] if it may
    /// have been applied or may yet be.
    pub fn propose(&self, command: Vec<u8>, timeout: Duration) -> Result<AppliedCommand> {
        self.submit(command, timeout)?.wait()
    }

    /// Proposes a command without waiting for it.
    ///
    /// # Errors
    ///
    /// [`Error::is_busy`] when too many requests wait; [`Error::is_stopped`].
    pub fn submit(&self, command: Vec<u8>, timeout: Duration) -> Result<PendingProposal> {
        let (reply, rx) = flume::bounded(1);
        let deadline = self.clock.now() + timeout;
        match self.requests.try_send(Request::Propose { command, deadline, reply }) {
            Ok(()) => Ok(PendingProposal { rx, timeout }),
            Err(TrySendError::Full(_)) => Err(Error::busy()),
            Err(TrySendError::Disconnected(_)) => Err(self.stopped()),
        }
    }

    /// Proves that this voter led at some time after the call, and returns an index that
    /// holds everything committed before the call. The machine has applied it by then.
    /// Calls at the same time share one round of messages.
    ///
    /// # Errors
    ///
    /// [`Error::is_not_leader`] if another voter leads or this one lost leadership
    /// meanwhile; [`Error::is_unknown`] if no majority answers in time.
    pub fn confirm_leadership(&self, timeout: Duration) -> Result<Index> {
        self.confirm_leadership_term(timeout).map(|confirmed| confirmed.index)
    }

    /// As [`Handle::confirm_leadership`], with the term: whatever a leader keeps outside the
    /// machine, such as leases, is valid for one term, and the status may already show a
    /// later one.
    ///
    /// # Errors
    ///
    /// As [`Handle::confirm_leadership`].
    pub fn confirm_leadership_term(&self, timeout: Duration) -> Result<ConfirmedLeadership> {
        let (reply, rx) = flume::bounded(1);
        let deadline = self.clock.now() + timeout;
        self.request(Request::Confirm { deadline, reply }, timeout)?;
        receive(&rx, timeout)
    }

    /// Hands in a message from another voter. It is dropped if too many wait.
    pub fn step(&self, message: Message) {
        if self.messages.try_send(message).is_err() {
            log::debug!("dropped a message from another voter");
        }
    }

    /// What the voter last said of itself.
    pub fn status(&self) -> Status {
        self.status.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes the members by one step and waits until the change is committed. While
    /// another change is under way, or the learner to promote lags, it waits too.
    /// Returns the index of the change.
    ///
    /// # Errors
    ///
    /// [`Error::is_refused_change`], [`Error::is_not_leader`], [`Error::is_unknown`].
    pub fn change_membership(&self, change: MembershipChange, timeout: Duration) -> Result<Index> {
        self.await_goal(Goal::MembershipChange(change), timeout)
    }

    /// Replaces a voter by a fresh one, which must be running with
    /// [`StartMode::Join`](crate::StartMode::Join): adds it as a learner, gives it a vote once it
    /// has caught up, removes the other, and waits until the fresh one holds all of this
    /// on its disk. From then on a second voter may be lost. Each step has the whole
    /// timeout. Call it again if it fails half-way: steps that are done are skipped. A
    /// leader that replaces itself ends with [`Error::is_not_leader`]; its successor
    /// finishes the work.
    ///
    /// # Errors
    ///
    /// As [`Handle::change_membership`].
    pub fn replace_voter(&self, old: NodeId, new: NodeId, timeout: Duration) -> Result<Index> {
        self.confirm_leadership(timeout)?;
        let members = self.status().membership;
        if !members.contains(new) {
            self.change_membership(MembershipChange::AddLearner(new), timeout)?;
        }
        if !members.is_voter(new) {
            self.change_membership(MembershipChange::Promote(new), timeout)?;
        }
        if members.contains(old) {
            self.change_membership(MembershipChange::Remove(old), timeout)?;
        }
        let index = self.confirm_leadership(timeout)?;
        self.await_goal(Goal::Matched { node: new, index }, timeout)
    }

    /// Starts to hand leadership to another voter.
    ///
    /// # Errors
    ///
    /// [`Error::is_not_leader`]; [`Error::is_refused_change`] if it is no other voter.
    pub fn transfer_leadership(&self, to: NodeId) -> Result<()> {
        let (reply, rx) = flume::bounded(1);
        self.request(Request::Transfer { to, reply }, LOCAL_TIMEOUT)?;
        receive(&rx, LOCAL_TIMEOUT)
    }

    /// Hands leadership to the other voter that holds most of the log, and waits until
    /// this voter no longer leads. Before a planned stop this saves the others an election
    /// timeout. A voter that doesn't lead, or is alone, has nothing to hand over.
    ///
    /// # Errors
    ///
    /// [`Error::is_unknown`] if the other doesn't take over in time; [`Error::is_stopped`].
    pub fn step_down(&self, timeout: Duration) -> Result<()> {
        let status = self.status();
        // Only a leader knows what others hold.
        let voters = status.matched.iter().filter(|(id, _)| status.membership.is_voter(**id));
        let heir = voters.max_by_key(|(_, matched)| **matched);
        let Some((heir, _)) = heir else { return Ok(()) };
        match self.transfer_leadership(*heir) {
            Err(e) if !e.is_not_leader() => Err(e),
            _ => self.await_goal(Goal::NotLeading, timeout).map(drop),
        }
    }

    /// Waits until this voter knows of a leader, itself or another. Returns the commit
    /// index that the voter knows.
    ///
    /// # Errors
    ///
    /// [`Error::is_unknown`] if there is none in time; [`Error::is_stopped`].
    pub fn await_leader(&self, timeout: Duration) -> Result<Index> {
        self.await_goal(Goal::Leader, timeout)
    }

    /// The machine's state as of now, with its place in the log. Write it to a file with
    /// [`disk::write_backup`].
    ///
    /// # Errors
    ///
    /// [`Error::is_stopped`]; [`Error::is_unknown`] if the voter doesn't answer.
    pub fn backup(&self) -> Result<Snapshot> {
        let (reply, rx) = flume::bounded(1);
        self.request(Request::Backup { reply }, LOCAL_TIMEOUT)?;
        receive(&rx, LOCAL_TIMEOUT)
    }

    /// Moves time by one tick and returns once everything it led to is done. For voters
    /// without a tick of their own.
    ///
    /// # Errors
    ///
    /// [`Error::is_stopped`].
    pub fn tick(&self) -> Result<()> {
        let (reply, rx) = flume::bounded(1);
        self.request(Request::Tick { reply }, LOCAL_TIMEOUT)?;
        receive(&rx, LOCAL_TIMEOUT)
    }

    /// Stops the voter and waits until its data folder is closed.
    pub fn stop(&self) {
        // A voter that has stopped already takes no request.
        let _ = self.requests.send(Request::Stop);
        let thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner).take();
        if thread.is_some_and(|thread| thread.join().is_err()) {
            log::error!("the voter's thread panicked");
        }
    }

    fn await_goal(&self, goal: Goal, timeout: Duration) -> Result<Index> {
        let (reply, rx) = flume::bounded(1);
        let deadline = self.clock.now() + timeout;
        self.request(Request::Await { goal, deadline, reply }, timeout)?;
        receive(&rx, timeout)
    }

    fn request(&self, request: Request, timeout: Duration) -> Result<()> {
        self.requests.send_timeout(request, timeout).map_err(|e| match e {
            SendTimeoutError::Timeout(_) => Error::busy(),
            SendTimeoutError::Disconnected(_) => self.stopped(),
        })
    }

    fn stopped(&self) -> Error {
        Error::stopped(self.status().failure.unwrap_or_else(|| String::from("by order")))
    }
}

fn receive<T>(rx: &Receiver<Result<T>>, timeout: Duration) -> Result<T> {
    match rx.recv_timeout(timeout) {
        Ok(result) => result,
        Err(RecvTimeoutError::Timeout) => Err(Error::unknown("no answer in time")),
        Err(RecvTimeoutError::Disconnected) => Err(Error::unknown("the voter stopped")),
    }
}
