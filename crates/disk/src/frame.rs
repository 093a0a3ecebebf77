//! Checksummed frames of records.
//!
//! A frame consists of magic bytes, the length and the checksum of its payload (both
//! little-endian `u32`), and the payload: a list of records encoded by `bincode`.
//!
//! A frame is written only after the previous one was synced. So an invalid frame that is
//! followed by a valid one is corruption, whereas an invalid frame at the end of the log is a
//! write that a crash interrupted.

use bincode::{Decode, Encode, config};
use raft::{HardState, LogEntry, LogPosition};

/// First bytes of every frame.
const MAGIC: [u8; 4] = *b"tcFR";
/// Length of the magic bytes, the payload length and the checksum.
const HEADER_BYTES: usize = 12;

/// One change of the log.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub(crate) enum Record {
    /// The term and vote from this record on.
    HardState(HardState),
    /// An entry, which replaces any entry of its index and all later ones.
    Entry(LogEntry),
    /// All entries are dropped: the log continues after a snapshot that ends at this position.
    Reset(LogPosition),
}

/// Result of decoding a frame.
pub(crate) enum Decoded {
    /// A valid frame and its length with the header, in bytes.
    Frame { records: Vec<Record>, bytes: usize },
    /// Neither a valid frame nor the end of the segment.
    Invalid,
    /// The end of the segment.
    End,
}

/// Encodes records as one frame of the segment with this number.
pub(crate) fn encode(segment: u64, records: &[Record]) -> Vec<u8> {
    let payload = bincode::encode_to_vec(records, config::standard()).unwrap_or_default();
    let mut buf = Vec::with_capacity(HEADER_BYTES + payload.len());
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    buf.extend_from_slice(&checksum(segment, &payload).to_le_bytes());
    buf.extend_from_slice(&payload);
    buf
}

/// Decodes the frame at the beginning of `buf`, the rest of the segment with this number.
pub(crate) fn decode(segment: u64, buf: &[u8]) -> Decoded {
    if buf.is_empty() {
        return Decoded::End;
    }
    decode_frame(segment, buf).unwrap_or(Decoded::Invalid)
}

/// Decodes a frame, or returns `None` if it is incomplete or invalid.
fn decode_frame(segment: u64, buf: &[u8]) -> Option<Decoded> {
    if buf.get(..MAGIC.len())? != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(buf.get(4..8)?.try_into().ok()?) as usize;
    let expected = u32::from_le_bytes(buf.get(8..HEADER_BYTES)?.try_into().ok()?);
    let payload = buf.get(HEADER_BYTES..HEADER_BYTES.checked_add(length)?)?;
    if checksum(segment, payload) != expected {
        return None;
    }
    let (records, _) = bincode::decode_from_slice(payload, config::standard()).ok()?;
    Some(Decoded::Frame { records, bytes: HEADER_BYTES + length })
}

/// Whether a valid frame starts at any offset of `buf`.
pub(crate) fn contains_frame(segment: u64, buf: &[u8]) -> bool {
    buf.windows(MAGIC.len())
        .enumerate()
        .filter(|(_, window)| *window == MAGIC)
        .any(|(at, _)| decode_frame(segment, &buf[at..]).is_some())
}

/// Checksum of a payload and its length. It also covers the number of the segment, so that
/// stale bytes of another segment are never taken for a frame of this one.
fn checksum(segment: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&segment.to_le_bytes());
    hasher.update(&(payload.len() as u64).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
