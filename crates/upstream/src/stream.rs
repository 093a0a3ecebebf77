//! Streamed completions that continue over a new connection, or on another upstream,
//! when a connection breaks or times out.

use crate::{
    client::{Client, Shared, Target},
    error::{Error, ErrorReason},
    http::Header,
    stream_run::StreamRun,
};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use wire::{RequestId, Tokens, Verdict};

/// Maximum number of events waiting for the consumer. When the queue is full, the
/// stream reads no further from the upstream.
const EVENT_QUEUE_CAPACITY: usize = 256;

/// A completion to stream.
#[derive(Clone, Debug)]
pub struct StreamRequest {
    /// Id of the request; an event with another id is dropped and its connection closed.
    pub id: RequestId,
    /// `/v1/chat/completions` or `/v1/completions`.
    pub path: String,
    /// JSON body, which must have `"stream": true`.
    pub body: Vec<u8>,
    /// Further headers, such as the priority and the fencing token.
    pub headers: Vec<Header>,
    /// Offset of the first token to yield; tokens before it are skipped.
    pub first_offset: Tokens,
    /// Instant by which the stream must have ended.
    pub deadline: Instant,
}

impl StreamRequest {
    /// Request for a stream from the first token on, without further headers.
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

/// One token of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    /// Number of the token within the response, from 0.
    pub offset: Tokens,
    /// Text of the token.
    pub text: String,
}

/// Token counts of a response, as the engine reports them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize)]
#[serde(default)]
pub struct TokenUsage {
    /// Number of tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Number of tokens of the response.
    pub completion_tokens: Tokens,
    /// Number of prompt tokens that came from the prefix cache.
    pub cached_tokens: Tokens,
}

/// The end of a complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamFinish {
    /// The upstream that completed it.
    pub target: Target,
    /// Finish reason of the engine: `stop` or `length`.
    pub reason: String,
    /// Token counts; all 0 when the engine reports none.
    pub usage: TokenUsage,
}

/// An event of a stream. The last one is `Finished` or `Failed`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEvent {
    /// The request is being sent to this upstream.
    Sent(Target),
    /// The upstream is alive but has sent no new token.
    Progress,
    /// The next token. Each token of the response comes exactly once and in order.
    Token(Token),
    /// The response is complete.
    Finished(StreamFinish),
    /// The stream has failed for good: no further attempt follows.
    Failed {
        /// The failure; its verdict tells whether the request may have run.
        error: Error,
        /// Delay after which the consumer may send the request again.
        retry_after: Duration,
    },
}

impl StreamEvent {
    /// Whether this is the last event of the stream.
    pub fn is_last(&self) -> bool {
        matches!(self, Self::Finished(_) | Self::Failed { .. })
    }
}

/// Failed attempt of a stream on one upstream, over all its connections to it, passed to the
/// function that chooses the next upstream. Gateway mode has its own `FailedAttempt` in
/// toucansilld.
#[derive(Clone, Debug)]
pub struct FailedAttempt {
    /// The upstream that failed.
    pub target: Target,
    /// The failure, whose verdict covers all connections to this upstream.
    pub error: Error,
    /// Offset of the first token that the consumer has not received.
    pub next_offset: Tokens,
}

/// Contents of a [`StreamStatus`].
#[derive(Default)]
struct StatusFields {
    /// The consumer has dropped the stream, or the deadline has passed.
    is_closed: bool,
    /// Upstream on which the request may be running, and the id that it has there.
    running: Option<(Target, RequestId)>,
}

/// Status of a stream, shared by its consumer and its thread: the thread sees that the
/// consumer has gone, and the consumer sees where to cancel the request.
#[derive(Clone, Default)]
pub(crate) struct StreamStatus {
    fields: Arc<Mutex<StatusFields>>,
}

impl StreamStatus {
    fn lock(&self) -> MutexGuard<'_, StatusFields> {
        self.fields.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records where the request is sent next; false if the stream is closed.
    pub(crate) fn set_running(&self, target: &Target, id: &RequestId) -> bool {
        let mut fields = self.lock();
        fields.running = Some((target.clone(), id.clone()));
        !fields.is_closed
    }

    /// Whether the consumer no longer waits for events.
    pub(crate) fn is_closed(&self) -> bool {
        self.lock().is_closed
    }

    /// Records that the request runs on no upstream.
    pub(crate) fn clear_running(&self) {
        self.lock().running = None;
    }

    /// Closes the stream, and returns where its request may be running.
    fn close(&self) -> Option<(Target, RequestId)> {
        let mut fields = self.lock();
        fields.is_closed = true;
        fields.running.take()
    }
}

/// Consumer side of a stream: an iterator over its events.
///
/// Dropping it before the last event cancels the request on the upstream.
pub struct TokenStream {
    deadline: Instant,
    rx: flume::Receiver<StreamEvent>,
    status: StreamStatus,
    shared: Arc<Shared>,
    is_ended: bool,
}

impl Client {
    /// Starts a stream on a thread of its own. When
    /// [`ClientConfig::max_streams`](crate::ClientConfig::max_streams) streams are
    /// running, it fails at once with [`ErrorReason::Full`] and [`Verdict::NotRun`].
    ///
    /// `choose` selects the upstream: it is called with `None` at first, and with
    /// the failure each time the stream can't continue on the same upstream. When
    /// it returns `None`, the stream ends at once with the last failure.
    pub fn stream(
        &self,
        req: StreamRequest,
        choose: impl FnMut(Option<&FailedAttempt>) -> Option<Target> + Send + 'static,
    ) -> TokenStream {
        let shared = Arc::clone(&self.shared);
        self.spawn(req.id.clone(), req.deadline, move |status, tx| {
            let sink = move |event| send_event(&tx, event);
            StreamRun::new(shared, req, status, Box::new(sink)).run(choose);
        })
    }

    /// Runs `run` on a thread of the pool, and returns the stream of the events that it
    /// sends.
    pub(crate) fn spawn(
        &self,
        id: RequestId,
        deadline: Instant,
        run: impl FnOnce(StreamStatus, flume::Sender<StreamEvent>) + Send + 'static,
    ) -> TokenStream {
        let (tx, rx) = flume::bounded(EVENT_QUEUE_CAPACITY);
        let status = StreamStatus::default();
        let (thread_status, failure_tx) = (status.clone(), tx.clone());
        if let Err(e) = self.shared.workers.run(move || run(thread_status, tx)) {
            let message = format!("no thread for stream {id}: {e}");
            let error = Error::new(ErrorReason::Full, Verdict::NotRun, message);
            let retry_after = self.shared.cfg.backoff.cap;
            let _ = failure_tx.try_send(StreamEvent::Failed { error, retry_after });
        }
        TokenStream { deadline, rx, status, shared: Arc::clone(&self.shared), is_ended: false }
    }
}

/// Sends an event to the consumer; false once the consumer has dropped the stream.
pub(crate) fn send_event(tx: &flume::Sender<StreamEvent>, event: StreamEvent) -> bool {
    if event != StreamEvent::Progress {
        return tx.send(event).is_ok();
    }
    // A consumer with a full queue doesn't need to know that the upstream is alive.
    !matches!(tx.try_send(event), Err(flume::TrySendError::Disconnected(_)))
}

impl TokenStream {
    /// Waits for the next event, at most until the deadline. Returns `None` after the
    /// last event.
    pub fn recv(&mut self) -> Option<StreamEvent> {
        if self.is_ended {
            return None;
        }
        let event = match self.rx.recv_deadline(self.deadline) {
            Ok(event) => event,
            Err(flume::RecvTimeoutError::Timeout) => self.fail_at_deadline(),
            Err(flume::RecvTimeoutError::Disconnected) => self.fail_without_thread(),
        };
        self.is_ended = event.is_last();
        Some(event)
    }

    /// Cancels the request; its verdict is "not run" if it runs on no upstream.
    fn fail_at_deadline(&self) -> StreamEvent {
        let verdict = match self.cancel() {
            true => Verdict::MayHaveRun,
            false => Verdict::NotRun,
        };
        let error = Error::new(ErrorReason::Deadline, verdict, "the deadline has passed");
        StreamEvent::Failed { error, retry_after: self.shared.cfg.backoff.cap }
    }

    /// Cancels the request on the upstream on which it may be running; false if there
    /// is none.
    fn cancel(&self) -> bool {
        let running = self.status.close();
        if let Some((target, id)) = &running {
            self.shared.cancel(&target.address, id);
        }
        running.is_some()
    }

    fn fail_without_thread(&self) -> StreamEvent {
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
