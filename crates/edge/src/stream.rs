//! Streams of server-sent events.

use crate::{ApiError, Error, Result, in_flight::InFlight};
use chunked_transfer::Encoder;
use std::{
    fmt,
    io::{self, Write},
    sync::{Arc, Mutex, MutexGuard, PoisonError, TryLockError},
};

/// Comment that keeps a stream open and shows whether its caller is there.
const HEARTBEAT_COMMENT: &[u8] = b": waiting\n\n";
/// Headers of every stream.
const HEAD: &str = "HTTP/1.1 200 OK\r\n\
    Content-Type: text/event-stream\r\n\
    Cache-Control: no-cache\r\n\
    X-Accel-Buffering: no\r\n";

type Hook = Box<dyn FnOnce() + Send>;

/// Flushes when dropped, as the encoder writes its last chunk when it is
/// dropped and flushes nothing.
struct Writer(Box<dyn Write + Send>);

/// An open stream of server-sent events. Each event is on its way to the
/// caller when [`send`](Self::send) returns.
///
/// Dropped unfinished, it ends with an error event, so that a caller never
/// takes half an answer for a whole one.
pub struct EventStream {
    shared: Arc<Shared>,
    finished: bool,
}

/// The part of a stream that heartbeats share.
pub(crate) struct Shared {
    state: Mutex<State>,
}

struct State {
    /// None when the caller is gone or the stream has ended.
    sink: Option<Sink>,
    on_cancel: Option<Hook>,
    gone: bool,
    /// Whether anything was sent since the last heartbeat tick.
    active: bool,
    _in_flight: Option<InFlight>,
}

enum Sink {
    Chunked(Encoder<Writer>),
    /// For HTTP/1.0 callers, whose connection closes at the end.
    Plain(Writer),
}

impl EventStream {
    pub(crate) fn start(
        writer: Box<dyn Write + Send>,
        chunked: bool,
        in_flight: Option<InFlight>,
    ) -> Result<Self> {
        let mut writer = Writer(writer);
        write_head(&mut writer, chunked)
            .map_err(|e| Error::caller_disconnected("stream not started", Some(e)))?;
        let sink = match chunked {
            true => Sink::Chunked(Encoder::new(writer)),
            false => Sink::Plain(writer),
        };
        let state = State {
            sink: Some(sink),
            on_cancel: None,
            gone: false,
            active: true,
            _in_flight: in_flight,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state) });
        Ok(Self { shared, finished: false })
    }

    /// Calls the hook once, from any thread, when the caller is found gone
    /// before the stream finished. At once if that has already happened.
    pub fn on_cancel(&self, hook: impl FnOnce() + Send + 'static) {
        let mut state = self.shared.lock();
        if state.gone {
            drop(state);
            return hook();
        }
        state.on_cancel = Some(Box::new(hook));
    }

    /// Whether the caller was found gone.
    pub fn is_cancelled(&self) -> bool {
        self.shared.lock().gone
    }

    /// Sends one event with this data. Each line becomes a `data:` line.
    pub fn send(&self, data: &str) -> Result<()> {
        self.shared.write(&event(data), "event not written")
    }

    /// Sends one event with bytes that are already framed as an event.
    pub fn send_raw(&self, framed: &[u8]) -> Result<()> {
        self.shared.write(framed, "event not written")
    }

    /// Sends an error as the last event.
    pub fn fail(mut self, e: &ApiError) -> Result<()> {
        self.finished = true;
        let sent = self.send(&e.to_json());
        self.shared.end();
        sent
    }

    /// Ends the stream.
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
    /// Writes a comment if nothing was sent since the last call.
    pub(crate) fn beat(&self) {
        let mut state = match self.state.try_lock() {
            Ok(state) => state,
            Err(TryLockError::Poisoned(e)) => e.into_inner(),
            // A write is going on, which shows as well whether the caller is there.
            Err(TryLockError::WouldBlock) => return,
        };
        if std::mem::take(&mut state.active) {
            return;
        }
        let _ = write_or_cancel(state, HEARTBEAT_COMMENT);
    }

    fn write(&self, buf: &[u8], context: &str) -> Result<()> {
        let mut state = self.lock();
        state.active = true;
        write_or_cancel(state, buf).map_err(|e| Error::caller_disconnected(context, e))
    }

    /// Ends the stream, and says whether the caller was there up to now.
    fn end(&self) -> bool {
        let mut state = self.lock();
        state.on_cancel = None;
        let sink = state.sink.take();
        let gone = state.gone;
        drop(state);
        drop(sink);
        !gone
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes and flushes, and calls the hook if the caller is gone.
fn write_or_cancel(
    mut state: MutexGuard<'_, State>,
    buf: &[u8],
) -> std::result::Result<(), Option<io::Error>> {
    let Some(sink) = state.sink.as_mut() else { return Err(None) };
    let Err(e) = sink.write(buf) else { return Ok(()) };
    state.gone = true;
    let hook = state.on_cancel.take();
    let sink = state.sink.take();
    drop(state);
    drop(sink);
    if let Some(hook) = hook {
        hook();
    }
    Err(Some(e))
}

impl Write for Writer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        let _ = self.0.flush();
    }
}

impl Sink {
    fn write(&mut self, buf: &[u8]) -> io::Result<()> {
        match self {
            Self::Chunked(encoder) => {
                encoder.write_all(buf)?;
                encoder.flush()?;
                encoder.get_mut().flush()
            }
            Self::Plain(writer) => {
                writer.write_all(buf)?;
                writer.flush()
            }
        }
    }
}

fn write_head(writer: &mut Writer, chunked: bool) -> io::Result<()> {
    writer.write_all(HEAD.as_bytes())?;
    let framing = match chunked {
        true => "Transfer-Encoding: chunked\r\n\r\n",
        false => "Connection: close\r\n\r\n",
    };
    writer.write_all(framing.as_bytes())?;
    writer.flush()
}

fn event(data: &str) -> Vec<u8> {
    let mut buf = Vec::with_capacity(data.len() + "data: \n\n".len());
    data.split('\n').for_each(|line| {
        buf.extend_from_slice(b"data: ");
        buf.extend_from_slice(line.as_bytes());
        buf.push(b'\n');
    });
    buf.push(b'\n');
    buf
}
