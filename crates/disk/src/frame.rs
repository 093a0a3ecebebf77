//! Checksummed frames of records.
//!
//! A frame is written only once the one before it is synced. So a bad frame that a good
//! one follows is corruption, and a bad frame at the end is a write that a crash cut off.

use bincode::{Decode, Encode, config};
use raft::{HardState, LogEntry, LogPosition};

/// First bytes of every frame.
const MAGIC: [u8; 4] = *b"tcFR";
/// Magic, length and checksum.
const HEADER_BYTES: usize = 12;

/// One fact about the log.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub(crate) enum Record {
    /// Term and vote from here on.
    HardState(HardState),
    /// An entry; it replaces any with its index and all after it.
    Entry(LogEntry),
    /// The log starts over after a snapshot that ends here.
    Reset(LogPosition),
}

/// What is found at some place of a segment.
pub(crate) enum Found {
    /// A good frame and its length in bytes.
    Frame { records: Vec<Record>, bytes: usize },
    /// Neither a frame nor the end.
    Bad,
    /// The end of the segment.
    End,
}

/// Encodes records as one frame of the segment with number `segment`.
pub(crate) fn encode(segment: u64, records: &[Record]) -> Vec<u8> {
    let payload = bincode::encode_to_vec(records, config::standard()).unwrap_or_default();
    let mut buf = Vec::with_capacity(HEADER_BYTES + payload.len());
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    buf.extend_from_slice(&checksum(segment, &payload).to_le_bytes());
    buf.extend_from_slice(&payload);
    buf
}

/// Reads the frame that starts at the beginning of `buf`.
pub(crate) fn decode(segment: u64, buf: &[u8]) -> Found {
    if buf.is_empty() {
        return Found::End;
    }
    read(segment, buf).unwrap_or(Found::Bad)
}

fn read(segment: u64, buf: &[u8]) -> Option<Found> {
    if buf.get(..MAGIC.len())? != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(buf.get(4..8)?.try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(buf.get(8..HEADER_BYTES)?.try_into().ok()?);
    let payload = buf.get(HEADER_BYTES..HEADER_BYTES.checked_add(length)?)?;
    if checksum(segment, payload) != sum {
        return None;
    }
    let (records, _) = bincode::decode_from_slice(payload, config::standard()).ok()?;
    Some(Found::Frame { records, bytes: HEADER_BYTES + length })
}

/// Whether a good frame starts anywhere in `buf`.
pub(crate) fn any_frame_in(segment: u64, buf: &[u8]) -> bool {
    buf.windows(MAGIC.len())
        .enumerate()
        .filter(|(_, window)| *window == MAGIC)
        .any(|(at, _)| read(segment, &buf[at..]).is_some())
}

/// Checksum of a payload. It covers the segment's number so that old bytes of another
/// segment never pass for a frame of this one.
fn checksum(segment: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&segment.to_le_bytes());
    hasher.update(&(payload.len() as u64).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
