//! Handle through which callers send requests to a running node.

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

/// Time limit of requests that the node completes without other nodes.
const LOCAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Handle to a running node. Clones refer to the same node.
#[derive(Clone)]
pub struct Handle {
    pub(crate) requests: Sender<Request>,
    pub(crate) messages: Sender<Message>,
    pub(crate) status: Arc<Mutex<Status>>,
    /// Time without a new status after which a leader doesn't count as one; `None` on a node that
    /// only requests tick.
    pub(crate) max_pause: Option<Duration>,
    pub(crate) clock: SharedClock,
    pub(crate) thread: Arc<Mutex<Option<JoinHandle<()>>>>,
}

/// A submitted command. Dropping this doesn't cancel the command.
#[derive(Debug)]
pub struct PendingProposal {
    rx: Receiver<Result<AppliedCommand>>,
    timeout: Duration,
}

impl PendingProposal {
    /// Waits until the command is applied or has failed, for at most the timeout that was given to
    /// [`Handle::submit`], counted from this call.
    ///
    /// # Errors
    ///
    /// As [`Handle::propose`]; [`Error::is_unknown`] if the timeout passes.
    pub fn wait(self) -> Result<AppliedCommand> {
        receive(&self.rx, self.timeout)
    }
}

impl Handle {
    /// Proposes a command and waits until it is committed and applied.
    ///
    /// # Errors
    ///
    /// [`Error::is_not_applied`] if the command was refused, or another entry was committed at its
    /// log index, with [`Error::leader_hint`] if another node leads; [`Error::is_unknown`] if the
    /// command may have been applied or may still be.
    pub fn propose(&self, command: Vec<u8>, timeout: Duration) -> Result<AppliedCommand> {
        self.submit(command, timeout)?.wait()
    }

    /// Submits a command without waiting for its outcome. The command isn't proposed if `timeout`
    /// passes while it is queued.
    ///
    /// # Errors
    ///
    /// [`Error::is_busy`] if the request queue is full; [`Error::is_stopped`].
    pub fn submit(&self, command: Vec<u8>, timeout: Duration) -> Result<PendingProposal> {
        let (reply, rx) = flume::bounded(1);
        let deadline = self.clock.now() + timeout;
        match self.requests.try_send(Request::Propose { command, deadline, reply }) {
            Ok(()) => Ok(PendingProposal { rx, timeout }),
            Err(TrySendError::Full(_)) => Err(Error::busy()),
            Err(TrySendError::Disconnected(_)) => Err(self.stopped_error()),
        }
    }

    /// Confirms that this node was still the leader at some time after the call. Returns a log
    /// index, which the state machine has applied by then, that includes everything committed
    /// before the call. Concurrent calls share one heartbeat round.
    ///
    /// # Errors
    ///
    /// [`Error::is_not_leader`] if this node doesn't lead or lost leadership in the meantime;
    /// [`Error::is_unknown`] if no majority responds in time.
    pub fn confirm_leadership(&self, timeout: Duration) -> Result<Index> {
        self.confirm_leadership_term(timeout).map(|confirmed| confirmed.index)
    }

    /// As [`Handle::confirm_leadership`], but also returns the confirmed term. State that a leader
    /// keeps outside the state machine, such as leases, is valid only in the term in which it was
    /// made, and [`Handle::status`] may already show a later term.
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

    /// Passes in a message from another node. The message is dropped if the queue is full.
    pub fn step(&self, message: Message) {
        if self.messages.try_send(message).is_err() {
            log::debug!(
                "dropped a message from another voter: the queue is full or the voter has stopped"
            );
        }
    }

    /// The node's last published status. A node whose thread has waited for its disk for longer
    /// than any election timeout is shown as one that doesn't lead and knows no leader.
    pub fn status(&self) -> Status {
        let published = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        published.as_of(self.clock.now(), self.max_pause)
    }

    /// Changes the membership. Returns the log index of the change once it is committed and, if the
    /// voters change, their membership isn't joint any more. While another change is uncommitted or
    /// the voters are joint, or the learner to promote hasn't caught up, the change waits. Both
    /// parts may take the whole timeout.
    ///
    /// # Errors
    ///
    /// [`Error::is_refused_change`], [`Error::is_not_leader`], [`Error::is_unknown`]. A leader that
    /// demotes itself may lead no more once that is committed.
    pub fn change_membership(&self, change: MembershipChange, timeout: Duration) -> Result<Index> {
        let index = self.await_goal(Goal::MembershipChange(change), timeout)?;
        self.await_goal(Goal::Settled, timeout)?;
        Ok(index)
    }

    /// Removes a member, and retires its id: a voter becomes a learner first. Does nothing if it is
    /// no member.
    ///
    /// Each step may take the whole timeout. If one fails, call this again: steps that were
    /// completed are skipped.
    ///
    /// # Errors
    ///
    /// As [`Handle::change_membership`]. A leader that removes itself fails with
    /// [`Error::is_not_leader`]; a call on its successor completes the removal.
    pub fn remove_member(&self, id: NodeId, timeout: Duration) -> Result<Index> {
        if self.status().membership.is_voter(id) {
            self.change_membership(MembershipChange::Demote(id), timeout)?;
        }
        match self.status().membership.contains(id) {
            true => self.change_membership(MembershipChange::Remove(id), timeout),
            false => self.confirm_leadership(timeout),
        }
    }

    /// Replaces the voter `old` with the node `new`, which must be running with
    /// [`StartMode::Join`](crate::StartMode::Join).
    ///
    /// Adds the new node as a learner and waits until it has caught up. Then it promotes the new
    /// node and demotes the old one, or exchanges the two if the old one doesn't answer, and
    /// removes the old one; see [`joining`](crate::joining). At last it waits until the new node
    /// has all of this on its disk. From then on a second voter may be lost without losing
    /// committed commands. Returns the log index that the new node holds.
    ///
    /// Each step may take the whole timeout. If a step fails, call this again: steps that were
    /// completed are skipped.
    ///
    /// # Errors
    ///
    /// As [`Handle::change_membership`]. A leader that replaces itself fails with
    /// [`Error::is_not_leader`]; a call on its successor completes the replacement.
    pub fn replace_voter(&self, old: NodeId, new: NodeId, timeout: Duration) -> Result<Index> {
        let caught_up = self.confirm_leadership(timeout)?;
        let members = self.status().membership;
        if !members.contains(new) {
            self.change_membership(MembershipChange::AddLearner(new), timeout)?;
        }
        if !members.is_voter(new) {
            self.await_goal(Goal::Matched { node: new, index: caught_up }, timeout)?;
            let status = self.status();
            let is_silent = status.membership.is_voter(old) && !status.reachable.contains(&old);
            let change = match is_silent {
                true => MembershipChange::Exchange { old, new },
                false => MembershipChange::Promote(new),
            };
            self.change_membership(change, timeout)?;
        }
        self.await_goal(Goal::Settled, timeout)?;
        self.remove_member(old, timeout)?;
        let index = self.confirm_leadership(timeout)?;
        self.await_goal(Goal::Matched { node: new, index }, timeout)
    }

    /// Starts to transfer leadership to another voter. Returns without waiting for the transfer.
    ///
    /// # Errors
    ///
    /// [`Error::is_not_leader`]; [`Error::is_refused_change`] if `to` isn't another voter.
    pub fn transfer_leadership(&self, to: NodeId) -> Result<()> {
        let (reply, rx) = flume::bounded(1);
        self.request(Request::Transfer { to, reply }, LOCAL_TIMEOUT)?;
        receive(&rx, LOCAL_TIMEOUT)
    }

    /// Tells the node that the disk of a voter is lost; see
    /// [`Raft::note_lost_disk`](raft::Raft::note_lost_disk). Dropped if the request queue is full.
    pub fn note_lost_disk(&self, id: NodeId) {
        if self.requests.try_send(Request::NoteLostDisk(id)).is_err() {
            log::debug!("the queue is full or the voter has stopped: a lost disk was not noted");
        }
    }

    /// Transfers leadership to the voter whose log matches furthest, and waits until this node no
    /// longer leads. Before a planned stop this saves the other voters an election timeout. Does
    /// nothing on a node that doesn't lead or has no other voters.
    ///
    /// # Errors
    ///
    /// [`Error::is_unknown`] if this node still leads at the timeout; [`Error::is_stopped`].
    pub fn step_down(&self, timeout: Duration) -> Result<()> {
        let status = self.status();
        // Only a leader knows which others answer, and how far their logs match.
        let voters = status.matched.iter().filter(|(id, _)| status.membership.is_voter(**id));
        let successor =
            voters.max_by_key(|(id, matched)| (status.reachable.contains(*id), **matched));
        let Some((successor, _)) = successor else { return Ok(()) };
        match self.transfer_leadership(*successor) {
            Err(e) if !e.is_not_leader() => Err(e),
            _ => self.await_goal(Goal::NotLeader, timeout).map(drop),
        }
    }

    /// Waits until this node knows a leader, which may be itself. Returns the node's commit
    /// index.
    ///
    /// # Errors
    ///
    /// [`Error::is_unknown`] if no leader is known at the timeout; [`Error::is_stopped`].
    pub fn await_leader(&self, timeout: Duration) -> Result<Index> {
        self.await_goal(Goal::Leader, timeout)
    }

    /// Takes a snapshot of the node's current applied state. [`disk::write_backup`] writes it to a
    /// file.
    ///
    /// # Errors
    ///
    /// [`Error::is_stopped`]; [`Error::is_unknown`] if the node doesn't reply within 10 seconds.
    pub fn backup(&self) -> Result<Snapshot> {
        let (reply, rx) = flume::bounded(1);
        self.request(Request::Backup { reply }, LOCAL_TIMEOUT)?;
        receive(&rx, LOCAL_TIMEOUT)
    }

    /// Ticks the node once, and returns when the resulting output is processed. For nodes without
    /// [`Config::tick_interval`](crate::Config::tick_interval).
    ///
    /// # Errors
    ///
    /// [`Error::is_stopped`].
    pub fn tick(&self) -> Result<()> {
        let (reply, rx) = flume::bounded(1);
        self.request(Request::Tick { reply }, LOCAL_TIMEOUT)?;
        receive(&rx, LOCAL_TIMEOUT)
    }

    /// Stops the node and waits until its thread has ended and its data folder is closed, whoever
    /// stops it.
    pub fn stop(&self) {
        // Fails if the node has already stopped.
        let _ = self.requests.send(Request::Stop);
        let mut thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner);
        if thread.take().is_some_and(|thread| thread.join().is_err()) {
            log::error!("the voter's thread panicked");
        }
    }

    /// Sends a request that completes when the goal is reached, and waits for its reply.
    fn await_goal(&self, goal: Goal, timeout: Duration) -> Result<Index> {
        let (reply, rx) = flume::bounded(1);
        let deadline = self.clock.now() + timeout;
        self.request(Request::Await { goal, deadline, reply }, timeout)?;
        receive(&rx, timeout)
    }

    /// Queues a request, waiting for room for at most `timeout`.
    fn request(&self, request: Request, timeout: Duration) -> Result<()> {
        self.requests.send_timeout(request, timeout).map_err(|e| match e {
            SendTimeoutError::Timeout(_) => Error::busy(),
            SendTimeoutError::Disconnected(_) => self.stopped_error(),
        })
    }

    /// Error with the reason why the node has stopped.
    fn stopped_error(&self) -> Error {
        Error::stopped(self.status().failure.unwrap_or_else(|| String::from("by order")))
    }
}

/// Waits for the reply to a request.
fn receive<T>(rx: &Receiver<Result<T>>, timeout: Duration) -> Result<T> {
    match rx.recv_timeout(timeout) {
        Ok(result) => result,
        Err(RecvTimeoutError::Timeout) => Err(Error::unknown("no answer in time")),
        Err(RecvTimeoutError::Disconnected) => Err(Error::unknown("the voter stopped")),
    }
}
