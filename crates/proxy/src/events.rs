//! Splits a stream of server-sent events after whole events.
//!
//! An event ends with LF LF or with CR LF CR LF; other line ends that the standard allows are not
//! recognised. Ids are numbers; an `id:` line that holds anything else is ignored.

use bytes::{Bytes, BytesMut};

/// Maximum length of an event, in bytes. Tokens make events of a few hundred bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// One or more whole events.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventChunk {
    /// Bytes as received, including the empty line after the last event.
    pub bytes: Bytes,
    /// Last id among the events; `None` if none has one.
    pub last_id: Option<u64>,
}

/// Collects the bytes of a stream, however they were split on the way, and returns them in chunks
/// of whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Number of bytes at the start of `buf` that were searched for the end of an event.
    searched_bytes: usize,
    /// Whether the head of another response was found among the events.
    has_foreign_head: bool,
}

impl EventSplitter {
    /// Creates a splitter for a new stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes as received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns all whole events received since the last call. Returns `None` if none is
    /// whole yet, or none is left before the head of another response.
    pub fn next_chunk(&mut self) -> Option<EventChunk> {
        if self.has_foreign_head {
            return None;
        }
        // The end of an event may start within the bytes already searched.
        let from = self.searched_bytes.saturating_sub(MAX_END_BYTES - 1);
        let end = last_end(&self.buf[from..]).map(|end| from + end);
        self.searched_bytes = self.buf.len();
        let mut end = end?;
        if let Some(head) = status_line(&self.buf[..end]) {
            self.has_foreign_head = true;
            end = last_end(&self.buf[..head])?;
        }
        let bytes = self.buf.split_to(end).freeze();
        self.searched_bytes = self.buf.len();
        let last_id = last_id(&bytes);
        Some(EventChunk { bytes, last_id })
    }

    /// Whether the head of another response was found where an event is due. A faulty upstream may send
    /// one in the body of a response that ends with its connection; no field of an event looks like it.
    pub fn has_foreign_head(&self) -> bool {
        self.has_foreign_head
    }

    /// Whether more bytes were received of an event that is not whole yet than an event may have. An
    /// upstream in trouble may send bytes without end, so nothing more should be pushed.
    pub fn is_event_too_long(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Bytes received of an event that is not whole yet.
    pub fn incomplete(&self) -> &[u8] {
        &self.buf
    }
}

/// Length of the longest end of an event, CR LF CR LF, in bytes.
const MAX_END_BYTES: usize = 4;

/// Offset at which the last whole event ends.
fn last_end(buf: &[u8]) -> Option<usize> {
    let last_after = |ending: &[u8]| {
        let at = buf.windows(ending.len()).rposition(|window| window == ending);
        at.map(|at| at + ending.len())
    };
    last_after(b"\n\n").max(last_after(b"\r\n\r\n"))
}

/// Offset of the first line that begins a response.
fn status_line(buf: &[u8]) -> Option<usize> {
    const VERSION: &[u8] = b"HTTP/1.";
    let is_start = |at: &usize| *at == 0 || buf[*at - 1] == b'\n';
    let mut matches = buf.windows(VERSION.len()).enumerate().filter(|(_, w)| *w == VERSION);
    matches.find(|(at, _)| is_start(at)).map(|(at, _)| at)
}

/// Number in the last `id:` line that holds one.
fn last_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n').rev();
    lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}
