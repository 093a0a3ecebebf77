//! Streamed completions that survive broken and silent connections.

use crate::{
    client::{Client, Shared, Target},
    error::{Error, ErrorReason},
    http::Header,
    transfer::Transfer,
};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use wire::{RequestId, Tokens, Verdict};

/// Events that wait for a slow consumer before the upstream is held back.
const EVENT_QUEUE: usize = 256;

/// A completion to stream.
#[derive(Clone, Debug)]
pub struct StreamRequest {
    /// Id of the request; events that name another one are dropped.
    pub id: RequestId,
    /// `/v1/chat/completions` or `/v1/completions`.
    pub path: String,
    /// JSON body, with `"stream": true`.
    pub body: Vec<u8>,
    /// Further headers, such as the priority and the fencing number.
    pub headers: Vec<Header>,
    /// Offset of the first token wanted; those before it are skipped.
    pub first_offset: Tokens,
    /// When the stream must have ended.
    pub deadline: Instant,
}

impl StreamRequest {
    /// A stream from the first token on.
    pub fn new(
        id: impl Into<RequestId>,
        path: impl Into<String>,
        body: impl Into<Vec<u8>>,
        deadline: Instant,
    ) -> Self {
        let (id, path, body) = (id.into(), path.into(), body.into());
        Self { id, path, body, headers: Vec::new(), first_offset: 0, deadline }
    }
}

/// One token of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    /// Number of the token within the answer, from 0.
    pub offset: Tokens,
    /// Its text.
    pub text: String,
}

/// What an answer used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize)]
#[serde(default)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the answer.
    pub completion_tokens: Tokens,
    /// Tokens of the prompt that came from the prefix cache.
    pub cached_tokens: Tokens,
}

/// The end of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamFinish {
    /// The upstream that ended it.
    pub target: Target,
    /// Why the engine ended: `stop` or `length`.
    pub reason: String,
    /// What it used, when the engine says so.
    pub usage: TokenUsage,
}

/// An event of a stream. The last one is `Finished` or `Failed`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEvent {
    /// The request is being sent to this upstream.
    Sent(Target),
    /// The upstream works on the prompt.
    Progress,
    /// The next token: none is lost, doubled or foreign.
    Token(Token),
    /// All tokens are there.
    Finished(StreamFinish),
    /// No further token comes. The answer to the caller is final.
    Failed {
        /// Why, and whether the request may have run.
        error: Error,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

impl StreamEvent {
    /// Whether no event follows.
    pub fn is_last(&self) -> bool {
        matches!(self, Self::Finished(_) | Self::Failed { .. })
    }
}

/// A failure of one upstream, from which the next one is chosen.
#[derive(Clone, Debug)]
pub struct FailedAttempt {
    /// The upstream that failed.
    pub target: Target,
    /// How it failed.
    pub error: Error,
    /// Offset of the next token.
    pub next_offset: Tokens,
}

/// What the consumer and the thread of a stream agree on.
#[derive(Default)]
struct State {
    /// The consumer has gone, or the last event is out.
    closed: bool,
    /// Where the request may be running, and under which id.
    running: Option<(Target, RequestId)>,
}

/// Lets a stream's thread ask whether the consumer is still there.
#[derive(Clone, Default)]
pub(crate) struct Presence {
    state: Arc<Mutex<State>>,
}

impl Presence {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes where the request goes next; false once the consumer has gone.
    pub(crate) fn enter(&self, target: &Target, id: &RequestId) -> bool {
        let mut state = self.lock();
        state.running = Some((target.clone(), id.clone()));
        !state.closed
    }

    /// Whether the consumer has gone.
    pub(crate) fn is_closed(&self) -> bool {
        self.lock().closed
    }

    /// Notes that the request runs nowhere any more.
    pub(crate) fn leave(&self) {
        self.lock().running = None;
    }

    /// Ends the stream, and gives the upstream on which it may be running.
    fn close(&self) -> Option<(Target, RequestId)> {
        let mut state = self.lock();
        state.closed = true;
        state.running.take()
    }
}

/// The receiving end of a stream.
///
/// Dropping it before the last event cancels the request upstream.
pub struct TokenStream {
    deadline: Instant,
    rx: flume::Receiver<StreamEvent>,
    presence: Presence,
    shared: Arc<Shared>,
    ended: bool,
}

impl Client {
    /// Starts a stream on a thread of its own. Beyond
    /// [`ClientConfig::max_streams`](crate::ClientConfig::max_streams) it fails at
    /// once, "not run".
    ///
    /// `choose` names the upstream to send to: first with `None`, and again
    /// after each failure that the same upstream can't mend. `None` from it
    /// ends the stream at once with the last failure.
    pub fn stream(
        &self,
        req: StreamRequest,
        choose: impl FnMut(Option<&FailedAttempt>) -> Option<Target> + Send + 'static,
    ) -> TokenStream {
        let shared = Arc::clone(&self.shared);
        self.spawn(req.id.clone(), req.deadline, move |presence, tx| {
            let sink = move |event| send(&tx, event);
            Transfer::new(shared, req, presence, Box::new(sink)).run(choose);
        })
    }

    /// Runs `work` on a thread that yields a stream's events.
    pub(crate) fn spawn(
        &self,
        id: RequestId,
        deadline: Instant,
        work: impl FnOnce(Presence, flume::Sender<StreamEvent>) + Send + 'static,
    ) -> TokenStream {
        let (tx, rx) = flume::bounded(EVENT_QUEUE);
        let presence = Presence::default();
        let (of_thread, refused) = (presence.clone(), tx.clone());
        if let Err(e) = self.shared.workers.run(move || work(of_thread, tx)) {
            let message = format!("no thread for stream {id}: {e}");
            let error = Error::new(ErrorReason::Full, Verdict::NotRun, message);
            let retry_after = self.shared.cfg.backoff.cap;
            let _ = refused.try_send(StreamEvent::Failed { error, retry_after });
        }
        TokenStream { deadline, rx, presence, shared: Arc::clone(&self.shared), ended: false }
    }
}

/// Passes an event to the consumer; false once it has gone.
pub(crate) fn send(tx: &flume::Sender<StreamEvent>, event: StreamEvent) -> bool {
    if event != StreamEvent::Progress {
        return tx.send(event).is_ok();
    }
    // Progress is worth nothing to a consumer that has fallen behind.
    !matches!(tx.try_send(event), Err(flume::TrySendError::Disconnected(_)))
}

impl TokenStream {
    /// Waits for the next event, at most until the deadline. `None` after the
    /// last one.
    pub fn recv(&mut self) -> Option<StreamEvent> {
        if self.ended {
            return None;
        }
        let event = match self.rx.recv_deadline(self.deadline) {
            Ok(event) => event,
            Err(flume::RecvTimeoutError::Timeout) => self.late(),
            Err(flume::RecvTimeoutError::Disconnected) => self.lost(),
        };
        self.ended = event.is_last();
        Some(event)
    }

    fn late(&self) -> StreamEvent {
        let verdict = match self.cancel() {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        };
        let error = Error::new(ErrorReason::Deadline, verdict, "the deadline has passed");
        StreamEvent::Failed { error, retry_after: self.shared.cfg.backoff.cap }
    }

    /// Cancels the request where it may be running, and says whether it may.
    fn cancel(&self) -> bool {
        let running = self.presence.close();
        if let Some((target, id)) = &running {
            self.shared.cancel(&target.address, id);
        }
        running.is_some()
    }

    fn lost(&self) -> StreamEvent {
        let message = "the thread of the stream has ended";
        let error = Error::new(ErrorReason::Incomplete, Verdict::MayHaveRun, message);
        StreamEvent::Failed { error, retry_after: self.shared.cfg.backoff.cap }
    }
}

impl Iterator for TokenStream {
    type Item = StreamEvent;

    fn next(&mut self) -> Option<StreamEvent> {
        self.recv()
    }
}

impl Drop for TokenStream {
    fn drop(&mut self) {
        self.cancel();
    }
}
