//! Streams of server-sent events.

use crate::{ApiError, Error, Result, in_flight::InFlight};
use chunked_transfer::Encoder;
use std::{
    fmt,
    io::{self, Write},
    sync::{Arc, Mutex, MutexGuard, PoisonError, TryLockError},
};

/// Comment that keeps an idle stream open. Writing it fails once the caller has disconnected.
const HEARTBEAT_COMMENT: &[u8] = b": waiting\n\n";
/// Status line and headers of every stream, without those that depend on the framing.
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\n\
    Content-Type: text/event-stream\r\n\
    Cache-Control: no-cache\r\n\
    X-Accel-Buffering: no\r\n";

/// Callback of [`EventStream::on_cancel`].
type Hook = Box<dyn FnOnce() + Send>;

/// Connection that is flushed when dropped, as the encoder writes its last chunk on drop without
/// flushing it.
struct FlushOnDrop(Box<dyn Write + Send>);

/// Open stream of server-sent events. Each event has been flushed to the connection when
/// [`send`](Self::send) returns.
///
/// If it is dropped before [`finish`](Self::finish) or [`fail`](Self::fail), it ends with an error
/// event, so a caller never mistakes a partial response for a complete one.
pub struct EventStream {
    shared: Arc<Shared>,
    /// Whether `finish` or `fail` was called.
    finished: bool,
}

/// State of a stream, shared with the heartbeat thread.
pub(crate) struct Shared {
    state: Mutex<State>,
}

struct State {
    /// `None` once the caller has disconnected or the stream has ended.
    sink: Option<Sink>,
    on_cancel: Option<Hook>,
    caller_disconnected: bool,
    /// Whether an event was written since the last heartbeat was due.
    written_since_heartbeat: bool,
    _in_flight: Option<InFlight>,
}

/// Connection with the framing of the response body.
enum Sink {
    /// For HTTP/1.1 callers.
    Chunked(Encoder<FlushOnDrop>),
    /// For HTTP/1.0 callers: the end of the connection marks the end of the body.
    UntilClose(FlushOnDrop),
}

impl EventStream {
    /// Writes the head of the response. `in_flight` counts the request until the stream is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub(crate) fn start(
        writer: Box<dyn Write + Send>,
        chunked: bool,
        in_flight: Option<InFlight>,
    ) -> Result<Self> {
        let mut writer = FlushOnDrop(writer);
        write_head(&mut writer, chunked)
            .map_err(|e| Error::caller_disconnected("stream not started", Some(e)))?;
        let sink = match chunked {
            true => Sink::Chunked(Encoder::new(writer)),
            false => Sink::UntilClose(writer),
        };
        let state = State {
            sink: Some(sink),
            on_cancel: None,
            caller_disconnected: false,
            written_since_heartbeat: true,
            _in_flight: in_flight,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state) });
        Ok(Self { shared, finished: false })
    }

    /// Sets a hook that is called once, on any thread, when a write fails because the caller
    /// disconnected before the stream ended. If that has already happened, it is called at once.
    pub fn on_cancel(&self, hook: impl FnOnce() + Send + 'static) {
        let mut state = self.shared.lock();
        if state.caller_disconnected {
            drop(state);
            return hook();
        }
        state.on_cancel = Some(Box::new(hook));
    }

    /// Whether a write has failed because the caller disconnected.
    pub fn is_cancelled(&self) -> bool {
        self.shared.lock().caller_disconnected
    }

    /// Sends one event with this data. Each line becomes a `data:` line.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub fn send(&self, data: &str) -> Result<()> {
        self.shared.write(&format_event(data), "event not written")
    }

    /// Sends bytes that are already formatted as one or more events.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub fn send_raw(&self, framed: &[u8]) -> Result<()> {
        self.shared.write(framed, "event not written")
    }

    /// Sends an error as the last event and ends the stream.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub fn fail(mut self, e: &ApiError) -> Result<()> {
        self.finished = true;
        let result = self.send(&e.to_json());
        self.shared.end();
        result
    }

    /// Ends the stream.
    ///
    /// # Errors
    ///
    /// Fails if an earlier write found that the caller has disconnected.
    pub fn finish(mut self) -> Result<()> {
        self.finished = true;
        match self.shared.end() {
            true => Ok(()),
            false => Err(Error::caller_disconnected("stream not finished", None)),
        }
    }

    pub(crate) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }
}

impl Drop for EventStream {
    fn drop(&mut self) {
        if !self.finished {
            let message = "the stream ended before the answer was whole";
            let e = ApiError::new(500, "stream_aborted", message, wire::Verdict::MayHaveRun);
            let _ = self.send(&e.to_json());
            self.shared.end();
        }
    }
}

impl fmt::Debug for EventStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EventStream").field("finished", &self.finished).finish_non_exhaustive()
    }
}

impl Shared {
    /// Writes a heartbeat comment if no event was written since the last call.
    pub(crate) fn send_heartbeat_if_idle(&self) {
        let mut state = match self.state.try_lock() {
            Ok(state) => state,
            Err(TryLockError::Poisoned(e)) => e.into_inner(),
            // A write is in progress, which detects a disconnected caller as well.
            Err(TryLockError::WouldBlock) => return,
        };
        if std::mem::take(&mut state.written_since_heartbeat) {
            return;
        }
        let _ = write_or_cancel(state, HEARTBEAT_COMMENT);
    }

    /// Writes one event. `context` names the operation in the error.
    fn write(&self, buf: &[u8], context: &str) -> Result<()> {
        let mut state = self.lock();
        state.written_since_heartbeat = true;
        write_or_cancel(state, buf).map_err(|e| Error::caller_disconnected(context, e))
    }

    /// Ends the stream without calling the hook. Returns whether no write has failed before.
    fn end(&self) -> bool {
        let mut state = self.lock();
        state.on_cancel = None;
        let sink = state.sink.take();
        let caller_disconnected = state.caller_disconnected;
        drop(state);
        drop(sink);
        !caller_disconnected
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes and flushes. If that fails, closes the connection and calls the hook, with the lock
/// released. Fails without a cause if the stream has ended before.
fn write_or_cancel(
    mut state: MutexGuard<'_, State>,
    buf: &[u8],
) -> std::result::Result<(), Option<io::Error>> {
    let Some(sink) = state.sink.as_mut() else { return Err(None) };
    let Err(e) = sink.write(buf) else { return Ok(()) };
    state.caller_disconnected = true;
    let hook = state.on_cancel.take();
    let sink = state.sink.take();
    drop(state);
    drop(sink);
    if let Some(hook) = hook {
        hook();
    }
    Err(Some(e))
}

impl Write for FlushOnDrop {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl Drop for FlushOnDrop {
    fn drop(&mut self) {
        let _ = self.0.flush();
    }
}

impl Sink {
    /// Writes and flushes the bytes, as one chunk if the body is chunked.
    fn write(&mut self, buf: &[u8]) -> io::Result<()> {
        match self {
            Self::Chunked(encoder) => {
                encoder.write_all(buf)?;
                encoder.flush()?;
                encoder.get_mut().flush()
            }
            Self::UntilClose(writer) => {
                writer.write_all(buf)?;
                writer.flush()
            }
        }
    }
}

fn write_head(writer: &mut FlushOnDrop, chunked: bool) -> io::Result<()> {
    writer.write_all(RESPONSE_HEAD.as_bytes())?;
    let framing = match chunked {
        true => "Transfer-Encoding: chunked\r\n\r\n",
        false => "Connection: close\r\n\r\n",
    };
    writer.write_all(framing.as_bytes())?;
    writer.flush()
}

/// Formats data as one event, with a `data:` line for each of its lines.
fn format_event(data: &str) -> Vec<u8> {
    let mut buf = Vec::with_capacity(data.len() + "data: \n\n".len());
    data.split('\n').for_each(|line| {
        buf.extend_from_slice(b"data: ");
        buf.extend_from_slice(line.as_bytes());
        buf.push(b'\n');
    });
    buf.push(b'\n');
    buf
}
