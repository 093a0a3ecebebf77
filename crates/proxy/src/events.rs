//! Cuts a stream into whole events.

use bytes::{Bytes, BytesMut};

/// An event, or several, that are whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventChunk {
    /// The bytes, as they came, with the blank line at the end.
    pub bytes: Bytes,
    /// Id of the last event among them that has one.
    pub last_id: Option<u64>,
}

/// Collects the bytes of a stream of server-sent events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes that were searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Nothing collected yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes all events that are whole.
    pub fn next_chunk(&mut self) -> Option<EventChunk> {
        let from = self.searched.saturating_sub(END_BYTES_MAX - 1);
        let end = last_end(&self.buf[from..]).map(|end| from + end);
        self.searched = self.buf.len();
        let bytes = self.buf.split_to(end?).freeze();
        self.searched = self.buf.len();
        let last_id = last_id(&bytes);
        Some(EventChunk { bytes, last_id })
    }

    /// Bytes of an event that is not whole.
    pub fn incomplete(&self) -> &[u8] {
        &self.buf
    }
}

/// Most bytes of the blank line at the end of an event, with the line break before it.
const END_BYTES_MAX: usize = 4;

/// Where the last whole event ends.
fn last_end(buf: &[u8]) -> Option<usize> {
    let after = |ending: &[u8]| {
        let at = buf.windows(ending.len()).rposition(|window| window == ending);
        at.map(|at| at + ending.len())
    };
    after(b"\n\n").max(after(b"\r\n\r\n"))
}

fn last_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n').rev();
    lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}
