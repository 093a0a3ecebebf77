//! The thread that owns a node's Raft state, store and state machine.

use crate::{
    config::{Config, OutgoingMessage, StartMode, StateMachine},
    error::{Error, Result},
    handle::Handle,
    request::{Reply, Request},
    status::Status,
    waiting::{EntryReply, PendingRequests},
};
use disk::Store;
use flume::{Receiver, Selector, Sender};
use kernel::SharedClock;
use raft::{EntryPayload, LogEntry, LogPosition, Message, PersistedState, Raft, Ready, Snapshot};
use std::{
    any::Any,
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Time from which on a sync of the log is reported. With ticks of 50 ms, a leader steps down if those of a
/// majority take as long.
const SLOW_SYNC: Duration = Duration::from_millis(500);

/// Entry point to start a node of a group.
#[derive(Debug)]
pub struct Group;

impl Group {
    /// Opens the data folder, restores the state machine from the last snapshot and starts the
    /// node's thread. Messages to other nodes are sent to `outbox`, and dropped while it is full.
    ///
    /// # Errors
    ///
    /// [`Error::is_disk`] if the folder is locked, corrupt or belongs to another node; an error
    /// with the message of [`StateMachine::restore`] if that fails.
    pub fn start(
        cfg: Config,
        state_machine: StateMachine,
        outbox: Sender<OutgoingMessage>,
    ) -> Result<Handle> {
        Runner::open(cfg, state_machine, outbox)?.spawn()
    }
}

/// Event that the thread waits for.
enum Input {
    Request(Request),
    Message(Message),
    /// The next tick is due, or no further input is queued.
    Timeout,
    /// All handles are dropped.
    Closed,
}

struct Runner {
    cfg: Config,
    clock: SharedClock,
    raft: Raft,
    store: Store,
    state_machine: StateMachine,
    outbox: Sender<OutgoingMessage>,
    requests: Receiver<Request>,
    messages: Receiver<Message>,
    /// Sender of `requests` until the thread is started.
    request_tx: Option<Sender<Request>>,
    /// Sender of `messages` until the thread is started.
    message_tx: Option<Sender<Message>>,
    status: Arc<Mutex<Status>>,
    pending: PendingRequests,
    /// Replies to tick requests, sent when the output of the batch is processed.
    tick_replies: Vec<Reply<()>>,
    /// Time of the next tick; `None` if only requests tick the node.
    next_tick: Option<Instant>,
    ticks: u64,
    dropped_messages: u64,
    /// Index of the last snapshot, or 0.
    snapshot_index: u64,
    /// Bytes of entries applied since the last snapshot.
    bytes_since_snapshot: usize,
    is_stopping: bool,
}

impl Runner {
    /// Opens the store, bootstraps it if requested, and restores the state machine.
    fn open(
        mut cfg: Config,
        mut state_machine: StateMachine,
        outbox: Sender<OutgoingMessage>,
    ) -> Result<Self> {
        let id = cfg.raft.id;
        let options = std::mem::take(&mut cfg.store);
        let (mut store, recovered) = Store::open_with(&cfg.dir, options).map_err(Error::disk)?;
        let mut persisted_state = recovered.persisted_state;
        match recovered.node {
            None if cfg.raft.has_new_id && persisted_state.is_empty() => {
                persisted_state.hard_state = store.claim_new(id).map_err(Error::disk)?;
            }
            owner => {
                store.claim(id).map_err(Error::disk)?;
                cfg.raft.has_new_id = owner.is_some() && recovered.is_new;
            }
        }
        if recovered.truncated_bytes > 0 {
            log::warn!(
                "truncated {} bytes of an incomplete write at the end of the log",
                recovered.truncated_bytes
            );
        }
        if let StartMode::Bootstrap(members) = &cfg.start_mode
            && persisted_state.is_empty()
            && members.is_voter(id)
        {
            persisted_state = PersistedState::bootstrap(members.clone());
            store.append(Some(persisted_state.hard_state), &persisted_state.entries);
            store.sync().map_err(Error::disk)?;
        }
        let snapshot_index = persisted_state.snapshot.meta.index;
        if snapshot_index > 0 {
            let data = &persisted_state.snapshot.data;
            (state_machine.restore)(snapshot_index, data).map_err(Error::state_machine)?;
        }
        let raft = Raft::new(cfg.raft.clone(), persisted_state);
        let (request_tx, requests) = flume::bounded(cfg.max_queued_requests);
        let (message_tx, messages) = flume::bounded(cfg.max_queued_messages);
        let clock = cfg.clock.clone();
        Ok(Self {
            next_tick: cfg.tick_interval.map(|tick| clock.now() + tick),
            status: Arc::new(Mutex::new(Status::of(&raft, clock.now()))),
            clock,
            raft,
            store,
            state_machine,
            outbox,
            requests,
            messages,
            request_tx: Some(request_tx),
            message_tx: Some(message_tx),
            pending: PendingRequests::default(),
            tick_replies: Vec::new(),
            ticks: 0,
            dropped_messages: 0,
            snapshot_index,
            bytes_since_snapshot: 0,
            is_stopping: false,
            cfg,
        })
    }

    /// Starts the thread and returns its handle.
    fn spawn(mut self) -> Result<Handle> {
        let (Some(requests), Some(messages)) = (self.request_tx.take(), self.message_tx.take())
        else {
            return Err(Error::stopped("already started"));
        };
        let status = self.status.clone();
        let clock = self.clock.clone();
        // Election timeouts are shorter than twice the minimum.
        let max_pause = self.cfg.tick_interval.map(|tick| tick * 2 * self.cfg.raft.election_ticks);
        let thread = thread::Builder::new()
            .name(format!("voter-{}", self.cfg.raft.id))
            .spawn(move || self.run())
            .map_err(|e| Error::stopped(e.to_string()))?;
        let thread = Arc::new(Mutex::new(Some(thread)));
        Ok(Handle { requests, messages, status, max_pause, clock, thread })
    }

    /// Body of the thread: runs until the node is told to stop, fails or panics. Then closes the data folder, says
    /// in the status that the node has stopped, and refuses the requests that are still queued.
    fn run(mut self) {
        // After a panic the Raft state and the store may be inconsistent: neither is used again.
        let failure = match catch_unwind(AssertUnwindSafe(|| self.run_until_stopped())) {
            Ok(Ok(())) => None,
            Ok(Err(e)) => Some(e.to_string()),
            Err(panic) => Some(format!("the thread panicked: {}", panic_message(&*panic))),
        };
        let Self { cfg, store, status, requests, .. } = self;
        // Whoever learns of the end may open the folder again at once.
        drop(store);
        if let Some(failure) = &failure {
            log::error!(member = cfg.raft.id; "the voter stopped: {failure}");
        }
        let e = Error::stopped(failure.as_deref().unwrap_or("by order"));
        status.lock().unwrap_or_else(PoisonError::into_inner).end(failure);
        requests.drain().for_each(|request| request.fail(&e));
    }

    /// Main loop of the thread.
    ///
    /// After a failure, the callers of proposed entries get no reply, so that their outcomes are
    /// unknown.
    fn run_until_stopped(&mut self) -> Result<()> {
        while !self.is_stopping {
            self.handle_inputs();
            self.tick_if_due();
            let processed = self.process_all();
            self.publish_status();
            processed?;
            for reply in self.tick_replies.drain(..) {
                drop(reply.try_send(Ok(())));
            }
        }
        Ok(())
    }

    /// Waits for an input, then handles it and those that are queued, up to the batch limit.
    fn handle_inputs(&mut self) {
        let mut input = self.wait_for_input();
        for _ in 0..self.cfg.max_batch {
            match input {
                Input::Request(request) => self.handle_request(request),
                Input::Message(message) => self.raft.step(message),
                Input::Timeout => return,
                Input::Closed => {
                    self.is_stopping = true;
                    return;
                }
            }
            input = match (self.messages.try_recv(), self.is_stopping) {
                (_, true) => return,
                (Ok(message), _) => Input::Message(message),
                _ => self.requests.try_recv().map_or(Input::Timeout, Input::Request),
            };
        }
    }

    /// Waits for a request, a message or the next tick.
    fn wait_for_input(&self) -> Input {
        let selector = Selector::new()
            .recv(&self.messages, |m| m.map_or(Input::Closed, Input::Message))
            .recv(&self.requests, |r| r.map_or(Input::Closed, Input::Request));
        match self.next_tick {
            None => selector.wait(),
            Some(at) => {
                let remaining = at.saturating_duration_since(self.clock.now());
                selector.wait_timeout(remaining).unwrap_or(Input::Timeout)
            }
        }
    }

    /// Ticks once if a tick is due. Missed ticks are skipped: a thread that was delayed must first
    /// process the messages received in the meantime, and not mistake its own delay for silence of
    /// the other nodes.
    fn tick_if_due(&mut self) {
        let Some(interval) = self.cfg.tick_interval else { return };
        let now = self.clock.now();
        if self.next_tick.is_some_and(|at| at <= now) {
            self.next_tick = Some(now + interval);
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        self.raft.tick();
        self.pending.expire(self.clock.now());
    }

    fn handle_request(&mut self, request: Request) {
        let now = self.clock.now();
        match request {
            Request::Propose { deadline, reply, .. } if deadline <= now => {
                drop(reply.try_send(Err(Error::expired())));
            }
            Request::Propose { command, deadline, reply } => match self.raft.propose(command) {
                Ok(at) => self.pending.add_entry(at, deadline, EntryReply::Output(reply)),
                Err(e) => drop(reply.try_send(Err(Error::refused(e)))),
            },
            Request::Confirm { deadline, reply } => {
                let context = self.pending.add_read(deadline, reply);
                if let Err(e) = self.raft.read_index(context) {
                    self.pending.complete_read(context, Err(Error::refused(e)));
                }
            }
            Request::Await { goal, deadline, reply } => {
                self.pending.add_goal(goal, deadline, reply);
            }
            Request::Transfer { to, reply } => {
                drop(reply.try_send(self.raft.transfer_leadership(to).map_err(Error::refused)));
            }
            Request::NoteLostDisk(id) => self.raft.note_lost_disk(id),
            Request::Backup { reply } => drop(reply.try_send(self.take_snapshot())),
            Request::Tick { reply } => {
                self.tick_replies.push(reply);
                self.tick();
            }
            Request::Stop => self.is_stopping = true,
        }
    }

    /// Processes the node's output until there is none left, then compacts the log if due.
    fn process_all(&mut self) -> Result<()> {
        loop {
            self.publish_status();
            self.pending.check_goals(&mut self.raft);
            let Some(ready) = self.raft.ready() else { break };
            self.process_ready(ready)?;
        }
        if !self.raft.is_leader() {
            let e = Error::not_leader(self.raft.leader());
            self.pending.fail_reads(&e);
        }
        self.compact_if_due()
    }

    /// Writes, syncs, sends and applies one output in the order that [`raft`] requires.
    fn process_ready(&mut self, ready: Ready) -> Result<()> {
        self.send(ready.early_messages);
        if let Some(snapshot) = &ready.snapshot {
            self.store.install_snapshot(snapshot).map_err(Error::disk)?;
        }
        self.store.append(ready.hard_state, &ready.entries);
        let started = self.clock.now();
        self.store.sync().map_err(Error::disk)?;
        let taken = self.clock.now().saturating_duration_since(started);
        if taken >= SLOW_SYNC {
            log::warn!("the disk took {:.1} s to sync the log", taken.as_secs_f64());
        }
        self.raft.persisted();
        self.publish_status();
        self.send(ready.messages);
        if let Some(snapshot) = &ready.snapshot {
            self.install_snapshot(snapshot)?;
        }
        for entry in ready.committed {
            self.apply(entry)?;
        }
        for read in ready.reads {
            self.pending.confirm_read(read);
        }
        Ok(())
    }

    /// Puts messages into the outbox without waiting; those that don't fit are dropped.
    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            let outgoing = OutgoingMessage { to: message.to, message };
            if self.outbox.try_send(outgoing).is_err() {
                self.dropped_messages += 1;
            }
        }
    }

    /// Restores the state machine from a snapshot received from the leader.
    fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        let index = snapshot.meta.index;
        (self.state_machine.restore)(index, &snapshot.data).map_err(Error::state_machine)?;
        self.snapshot_index = index;
        self.bytes_since_snapshot = 0;
        self.pending.fail_skipped(index);
        self.store.compact(index).map_err(Error::disk)
    }

    /// Applies a committed entry and replies to its proposer.
    fn apply(&mut self, entry: LogEntry) -> Result<()> {
        let at = LogPosition { index: entry.index, term: entry.term };
        self.bytes_since_snapshot += entry.size_bytes();
        let output = match &entry.payload {
            EntryPayload::Command(command) => (self.state_machine.apply)(entry.index, command)
                .map_err(|err| Error::state_machine(format!("log entry {}: {err}", entry.index)))?,
            EntryPayload::Empty | EntryPayload::Membership(_) => Vec::new(),
        };
        self.pending.complete_applied(at, output);
        Ok(())
    }

    /// Snapshot of the applied state. Fails while nothing is applied.
    fn take_snapshot(&mut self) -> Result<Snapshot> {
        let meta = self
            .raft
            .snapshot_meta(self.raft.applied())
            .ok_or_else(|| Error::state_machine("nothing is applied yet"))?;
        Ok(Snapshot { meta, data: Arc::new((self.state_machine.snapshot)()) })
    }

    /// Takes a snapshot and compacts the log if enough was applied since the last snapshot.
    fn compact_if_due(&mut self) -> Result<()> {
        let entries = self.raft.applied() - self.snapshot_index;
        let is_due = entries >= self.cfg.snapshot_interval_entries
            || self.bytes_since_snapshot >= self.cfg.snapshot_interval_bytes;
        if !is_due {
            return Ok(());
        }
        let snapshot = self.take_snapshot()?;
        let index = snapshot.meta.index;
        self.store.save_snapshot(&snapshot).map_err(Error::disk)?;
        self.raft.compact(snapshot, self.cfg.keep_entries, self.cfg.keep_bytes);
        self.snapshot_index = index;
        self.bytes_since_snapshot = 0;
        let compacted = self.raft.first_index().saturating_sub(1);
        self.store.compact(compacted).map_err(Error::disk)
    }

    /// Publishes the status. This comes before any reply, so that a caller never finds a status
    /// older than its reply.
    fn publish_status(&self) {
        let mut status = Status::of(&self.raft, self.clock.now());
        status.ticks = self.ticks;
        status.dropped_messages = self.dropped_messages;
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = status;
    }
}

/// Message of a panic, as a caller of `panic!` gave it.
fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("without a message")
}
