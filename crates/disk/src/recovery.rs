//! Reads a data folder when it is opened.

use crate::{
    error::{Error, Result},
    files::Files,
    frame::{self, Decoded, Record},
    segment::{self, PARTIAL_SUFFIX, SEGMENT_HEADER},
    snapshot,
};
use raft::{HardState, Index, LogEntry, LogPosition, NodeId, PersistedState};
use std::{
    fs::{self, File},
    io::{Seek as _, SeekFrom},
    mem,
    ops::Range,
    os::unix::fs::FileExt as _,
    path::Path,
    result,
};

/// Content of a data folder when it was opened.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// The node that the folder belongs to, if [`Store::claim`](crate::Store::claim) has been
    /// called.
    pub node: Option<NodeId>,
    /// Whether nothing was acknowledged under the id of that node, and its votes aren't lost: it was recorded by
    /// [`Store::claim_new`](crate::Store::claim_new), and no entry or snapshot was written since.
    pub is_new: bool,
    /// Hard state, latest snapshot and log entries. Some entries may precede the end of the
    /// snapshot.
    pub persisted_state: PersistedState,
    /// Length of the incomplete write that was truncated at the end of the log, in bytes.
    pub truncated_bytes: u64,
}

/// Result of reading all segments of the log.
pub(crate) struct LogScan {
    pub(crate) hard_state: HardState,
    pub(crate) entries: Vec<LogEntry>,
    /// Number of each segment with the highest index of its entries, 0 without entries.
    pub(crate) segments: Vec<(u64, Index)>,
    /// Length of the valid part of the last segment; 0 if its header is incomplete.
    pub(crate) valid_bytes: u64,
    /// Offset of the last frame in the last segment.
    pub(crate) last_frame_offset: u64,
    pub(crate) truncated_bytes: u64,
    /// Whether the latest snapshot replaces all entries, although the log has no
    /// [`Record::Reset`] for it yet.
    pub(crate) needs_reset: bool,
}

/// Removes the partial files that interrupted writes of whole files have left.
pub(crate) fn remove_partial_files(dir: &Path) -> Result<()> {
    for name in segment::file_names(dir)?.iter().filter(|name| name.ends_with(PARTIAL_SUFFIX)) {
        let path = dir.join(name);
        fs::remove_file(&path).map_err(|e| Error::io(&path, "remove", e))?;
    }
    Ok(())
}

/// Reads all segments, and truncates an incomplete write at the end of the last one.
pub(crate) fn scan(dir: &Path, files: &mut Files) -> Result<LogScan> {
    let numbers = segment::segment_numbers(dir)?;
    let mut scan = LogScan {
        hard_state: HardState::default(),
        entries: Vec::new(),
        segments: Vec::new(),
        valid_bytes: 0,
        last_frame_offset: 0,
        truncated_bytes: 0,
        needs_reset: false,
    };
    let snapshot_index = segment::snapshot_indexes(dir)?.last().copied().unwrap_or(0);
    for (i, number) in numbers.iter().enumerate() {
        let is_last = i + 1 == numbers.len();
        if i > 0 && numbers[i - 1] + 1 != *number {
            return Err(Error::corrupt(dir, 0, "a log segment is missing"));
        }
        scan.read_segment(dir, *number, is_last, snapshot_index, files)?;
    }
    Ok(scan)
}

impl LogScan {
    /// Reads one segment. Only the last segment may end with an incomplete write: a segment is
    /// created after the previous one was synced.
    fn read_segment(
        &mut self,
        dir: &Path,
        number: u64,
        is_last: bool,
        snapshot_index: Index,
        files: &mut Files,
    ) -> Result<()> {
        let path = segment::segment_path(dir, number);
        let buf = fs::read(&path).map_err(|e| Error::io(&path, "read", e))?;
        let mut offset = SEGMENT_HEADER.len();
        let mut highest_index = 0;
        self.last_frame_offset = SEGMENT_HEADER.len() as u64;
        if buf.get(..SEGMENT_HEADER.len()) != Some(&SEGMENT_HEADER) {
            let is_incomplete = is_last && !frame::contains_frame(number, &buf);
            if !is_incomplete {
                return Err(Error::corrupt(&path, 0, "no log of a known version"));
            }
            offset = 0;
        }
        loop {
            let rest = buf.get(offset..).unwrap_or_default();
            match if offset == 0 { Decoded::Invalid } else { frame::decode(number, rest) } {
                Decoded::End => break,
                Decoded::Frame { records, bytes } => {
                    self.last_frame_offset = offset as u64;
                    for record in records {
                        if let Record::Entry(e) = &record {
                            highest_index = highest_index.max(e.index);
                        }
                        self.replay(record, snapshot_index)
                            .map_err(|problem| Error::corrupt(&path, offset as u64, problem))?;
                    }
                    offset += bytes;
                }
                Decoded::Invalid if !is_last || frame::contains_frame(number, rest) => {
                    return Err(Error::corrupt(&path, offset as u64, "wrong checksum"));
                }
                Decoded::Invalid => {
                    self.truncated_bytes = rest.len() as u64;
                    truncate(&path, offset as u64, files)?;
                    break;
                }
            }
        }
        self.segments.push((number, highest_index));
        self.valid_bytes = offset as u64;
        Ok(())
    }

    /// Applies a record to the state read so far, or returns what is wrong with it.
    fn replay(
        &mut self,
        record: Record,
        snapshot_index: Index,
    ) -> result::Result<(), &'static str> {
        match record {
            Record::HardState(state) => self.hard_state = state,
            Record::Reset(LogPosition { index, .. }) => {
                self.entries.clear();
                if index > snapshot_index {
                    return Err("the snapshot that the log starts from is missing");
                }
            }
            Record::Entry(entry) => self.replay_entry(entry, snapshot_index)?,
        }
        Ok(())
    }

    /// Appends an entry, after dropping those that it replaces. Entries must be contiguous, and
    /// the first one must not leave a gap after the snapshot.
    fn replay_entry(
        &mut self,
        entry: LogEntry,
        snapshot_index: Index,
    ) -> result::Result<(), &'static str> {
        let first = self.entries.first().map_or(entry.index, |e| e.index);
        let next = self.entries.last().map_or(entry.index, |e| e.index + 1);
        if entry.index > next || (self.entries.is_empty() && entry.index > snapshot_index + 1) {
            return Err("entries are missing");
        }
        self.entries.truncate(entry.index.saturating_sub(first) as usize);
        self.entries.push(entry);
        Ok(())
    }
}

/// Writes the last frame of the log again and syncs it. The position is at the end of the frame afterwards.
///
/// If a process was killed before its sync, or the sync failed, its last frame may have been
/// read from the cache of the operating system without ever having reached the disk. This
/// can only be the last frame, because each frame is written after the previous one was synced.
pub(crate) fn rewrite_last_frame(
    path: &Path,
    f: &mut File,
    frame: Range<u64>,
    files: &mut Files,
) -> Result<()> {
    let fail = |e| Error::io(path, "rewrite the last frame", e);
    let mut buf = vec![0; (frame.end - frame.start) as usize];
    f.read_exact_at(&mut buf, frame.start).map_err(fail)?;
    f.seek(SeekFrom::Start(frame.start)).map_err(fail)?;
    (files.write)(f, path, &buf).map_err(fail)?;
    (files.sync)(f, path).map_err(fail)
}

/// Truncates a segment to this length in bytes, durably.
fn truncate(path: &Path, length: u64, files: &mut Files) -> Result<()> {
    let fail = |e| Error::io(path, "truncate an incomplete write", e);
    let f = File::options().write(true).open(path).map_err(fail)?;
    f.set_len(length).map_err(fail)?;
    (files.sync)(&f, path).map_err(fail)
}

/// Combines the latest snapshot with the entries of the log, which are dropped if the snapshot
/// replaces them.
pub(crate) fn persisted_state(dir: &Path, scan: &mut LogScan) -> Result<PersistedState> {
    let snapshot = snapshot::latest(dir)?;
    let end = LogPosition { index: snapshot.meta.index, term: snapshot.meta.term };
    let first = scan.entries.first().map_or(end.index + 1, |e| e.index);
    let holds_end = scan.entries.iter().any(|e| e.index == end.index && e.term == end.term);
    if first <= end.index && !holds_end {
        // The snapshot came from a leader whose log differs from this one.
        scan.entries.clear();
        scan.needs_reset = true;
    }
    Ok(PersistedState {
        hard_state: scan.hard_state,
        snapshot,
        entries: mem::take(&mut scan.entries),
    })
}
