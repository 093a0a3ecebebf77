//! The thread that owns a voter.

use crate::{
    config::{Config, OutgoingMessage, StartMode, StateMachine},
    error::{Error, Result},
    handle::Handle,
    request::{Reply, Request},
    status::Status,
    waiting::{Answer, Waiting},
};
use disk::Store;
use flume::{Receiver, Selector, Sender};
use kernel::SharedClock;
use raft::{EntryPayload, LogEntry, LogPosition, Message, PersistedState, Raft, Ready, Snapshot};
use std::{
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Instant,
};

/// Starts voters.
#[derive(Debug)]
pub struct Group;

impl Group {
    /// Opens the data folder, restores the machine and starts the voter's thread.
    ///
    /// # Errors
    ///
    /// [`Error::is_disk`] if the folder is locked, corrupt or another node's; any error of
    /// the machine's restore.
    pub fn start(
        cfg: Config,
        machine: StateMachine,
        outbox: Sender<OutgoingMessage>,
    ) -> Result<Handle> {
        Runner::open(cfg, machine, outbox)?.spawn()
    }
}

/// What wakes the thread.
enum Input {
    Request(Request),
    Message(Message),
    Timeout,
    Closed,
}

struct Runner {
    cfg: Config,
    clock: SharedClock,
    raft: Raft,
    store: Store,
    machine: StateMachine,
    outbox: Sender<OutgoingMessage>,
    requests: Receiver<Request>,
    messages: Receiver<Message>,
    request_tx: Option<Sender<Request>>,
    message_tx: Option<Sender<Message>>,
    status: Arc<Mutex<Status>>,
    waiting: Waiting,
    ticks: Vec<Reply<()>>,
    next_tick: Option<Instant>,
    dropped_messages: u64,
    snapshot_index: u64,
    bytes_since_snapshot: usize,
    is_stopping: bool,
}

impl Runner {
    fn open(
        mut cfg: Config,
        mut machine: StateMachine,
        outbox: Sender<OutgoingMessage>,
    ) -> Result<Self> {
        let id = cfg.raft.id;
        let options = std::mem::take(&mut cfg.store);
        let (mut store, recovered) = Store::open_with(&cfg.dir, options).map_err(Error::disk)?;
        store.claim(id).map_err(Error::disk)?;
        let mut restored = recovered.restored;
        if recovered.cut_bytes > 0 {
            log::warn!("cut {} bytes of an unfinished write off the log", recovered.cut_bytes);
        }
        if let StartMode::Bootstrap(members) = &cfg.start_mode
            && restored.is_empty()
            && members.is_voter(id)
        {
            restored = PersistedState::bootstrap(members.clone());
            store.append(Some(restored.hard_state), &restored.entries);
            store.sync().map_err(Error::disk)?;
        }
        let snapshot_index = restored.snapshot.meta.index;
        if snapshot_index > 0 {
            let data = &restored.snapshot.data;
            (machine.restore)(snapshot_index, data).map_err(Error::machine)?;
        }
        let raft = Raft::new(cfg.raft.clone(), restored);
        let (request_tx, requests) = flume::bounded(cfg.max_queued_requests);
        let (message_tx, messages) = flume::bounded(cfg.max_queued_messages);
        let clock = cfg.clock.clone();
        Ok(Self {
            next_tick: cfg.tick_interval.map(|tick| clock.now() + tick),
            status: Arc::new(Mutex::new(Status::of(&raft))),
            clock,
            raft,
            store,
            machine,
            outbox,
            requests,
            messages,
            request_tx: Some(request_tx),
            message_tx: Some(message_tx),
            waiting: Waiting::default(),
            ticks: Vec::new(),
            dropped_messages: 0,
            snapshot_index,
            bytes_since_snapshot: 0,
            is_stopping: false,
            cfg,
        })
    }

    fn spawn(mut self) -> Result<Handle> {
        let (Some(requests), Some(messages)) = (self.request_tx.take(), self.message_tx.take())
        else {
            return Err(Error::stopped("already started"));
        };
        let status = self.status.clone();
        let clock = self.clock.clone();
        let thread = thread::Builder::new()
            .name(format!("voter-{}", self.cfg.raft.id))
            .spawn(move || self.run())
            .map_err(|e| Error::stopped(e.to_string()))?;
        let thread = Arc::new(Mutex::new(Some(thread)));
        Ok(Handle { requests, messages, status, clock, thread })
    }

    fn run(mut self) {
        while !self.is_stopping {
            self.take_inputs();
            self.tick_by_clock();
            if let Err(e) = self.process_all() {
                self.poison(&e);
                return;
            }
            self.publish();
            for reply in self.ticks.drain(..) {
                drop(reply.try_send(Ok(())));
            }
        }
        self.refuse_rest("by order");
    }

    fn take_inputs(&mut self) {
        let mut input = self.wait();
        for _ in 0..self.cfg.max_batch {
            match input {
                Input::Request(request) => self.take_request(request),
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

    fn wait(&self) -> Input {
        let selector = Selector::new()
            .recv(&self.messages, |m| m.map_or(Input::Closed, Input::Message))
            .recv(&self.requests, |r| r.map_or(Input::Closed, Input::Request));
        match self.next_tick {
            None => selector.wait(),
            Some(at) => {
                let left = at.saturating_duration_since(self.clock.now());
                selector.wait_timeout(left).unwrap_or(Input::Timeout)
            }
        }
    }

    /// Ticks at most once: a thread that was held up has to hear what others say first.
    fn tick_by_clock(&mut self) {
        let Some(interval) = self.cfg.tick_interval else { return };
        let now = self.clock.now();
        if self.next_tick.is_some_and(|at| at <= now) {
            self.next_tick = Some(now + interval);
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.raft.tick();
        self.waiting.expire(self.clock.now());
    }

    fn take_request(&mut self, request: Request) {
        let now = self.clock.now();
        match request {
            Request::Propose { deadline, reply, .. } if deadline <= now => {
                drop(reply.try_send(Err(Error::expired())));
            }
            Request::Propose { command, deadline, reply } => match self.raft.propose(command) {
                Ok(at) => self.waiting.add_command(at, deadline, Answer::Output(reply)),
                Err(e) => drop(reply.try_send(Err(Error::refused(e)))),
            },
            Request::Confirm { deadline, reply } => {
                let context = self.waiting.add_read(deadline, reply);
                if let Err(e) = self.raft.read_index(context) {
                    self.waiting.answer_read(context, Err(Error::refused(e)));
                }
            }
            Request::Await { goal, deadline, reply } => {
                self.waiting.add_goal(goal, deadline, reply);
            }
            Request::Transfer { to, reply } => {
                drop(reply.try_send(self.raft.transfer_leadership(to).map_err(Error::refused)));
            }
            Request::Backup { reply } => drop(reply.try_send(self.take_snapshot())),
            Request::Tick { reply } => {
                self.ticks.push(reply);
                self.tick();
            }
            Request::Stop => self.is_stopping = true,
        }
    }

    /// Writes, sends and applies until there is nothing left to do.
    fn process_all(&mut self) -> Result<()> {
        loop {
            self.publish();
            self.waiting.try_goals(&mut self.raft);
            let Some(ready) = self.raft.ready() else { break };
            self.process(ready)?;
        }
        if !self.raft.is_leader() {
            let e = Error::not_leader(self.raft.leader());
            self.waiting.fail_reads(&e);
        }
        self.compact_if_due()
    }

    fn process(&mut self, ready: Ready) -> Result<()> {
        self.send(ready.early_messages);
        if let Some(snapshot) = &ready.snapshot {
            self.store.install_snapshot(snapshot).map_err(Error::disk)?;
        }
        self.store.append(ready.hard_state, &ready.entries);
        self.store.sync().map_err(Error::disk)?;
        self.raft.persisted();
        self.publish();
        self.send(ready.messages);
        if let Some(snapshot) = &ready.snapshot {
            self.install(snapshot)?;
        }
        for entry in ready.committed {
            self.apply(entry);
        }
        for read in ready.reads {
            self.waiting.confirmed(read);
        }
        Ok(())
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            let outgoing = OutgoingMessage { to: message.to, message };
            if self.outbox.try_send(outgoing).is_err() {
                self.dropped_messages += 1;
            }
        }
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<()> {
        let index = snapshot.meta.index;
        (self.machine.restore)(index, &snapshot.data).map_err(Error::machine)?;
        self.snapshot_index = index;
        self.bytes_since_snapshot = 0;
        self.waiting.skipped_to(index);
        self.store.compact(index).map_err(Error::disk)
    }

    fn apply(&mut self, entry: LogEntry) {
        let at = LogPosition { index: entry.index, term: entry.term };
        self.bytes_since_snapshot += entry.size_bytes();
        let output = match &entry.payload {
            EntryPayload::Command(command) => (self.machine.apply)(entry.index, command),
            EntryPayload::Empty | EntryPayload::Membership(_) => Vec::new(),
        };
        self.waiting.applied(at, output);
    }

    fn take_snapshot(&mut self) -> Result<Snapshot> {
        let meta = self
            .raft
            .snapshot_meta(self.raft.applied())
            .ok_or_else(|| Error::machine("nothing is applied yet"))?;
        Ok(Snapshot { meta, data: Arc::new((self.machine.snapshot)()) })
    }

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
        let forgotten = self.raft.first_index().saturating_sub(1);
        self.store.compact(forgotten).map_err(Error::disk)
    }

    /// Shows the status. A caller who was answered must find nothing older in it.
    fn publish(&self) {
        let mut status = Status::of(&self.raft);
        status.dropped_messages = self.dropped_messages;
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = status;
    }

    /// Stops for good. What was in the log stays unknown to its callers.
    fn poison(mut self, e: &Error) {
        log::error!("voter {} stops: {e}", self.cfg.raft.id);
        self.publish();
        let why = e.to_string();
        let mut status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        status.failure = Some(why.clone());
        drop(status);
        self.refuse_rest(&why);
    }

    /// Answers requests that were never taken up.
    fn refuse_rest(&mut self, why: &str) {
        for request in self.requests.drain() {
            request.refuse(&Error::stopped(why));
        }
    }
}
