//! Reads a data folder back after a stop or a crash.

use crate::{
    error::{Error, Result},
    files::Files,
    frame::{self, Found, Record},
    segment::{self, HEAD, PARTIAL_SUFFIX},
    snapshot,
};
use raft::{HardState, Index, LogEntry, LogPosition, NodeId, PersistedState};
use std::{
    fs::{self, File},
    mem,
    ops::Range,
    os::unix::fs::FileExt as _,
    path::Path,
    result,
};

/// What a data folder held.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// The node that the folder belongs to.
    pub node: Option<NodeId>,
    /// Hard state, snapshot and entries.
    pub persisted_state: PersistedState,
    /// Bytes of an unfinished write that were cut off the end of the log.
    pub truncated_bytes: u64,
}

/// What recovery found in the log.
pub(crate) struct Scan {
    pub(crate) hard_state: HardState,
    pub(crate) entries: Vec<LogEntry>,
    /// Every segment with the highest index that it holds.
    pub(crate) segments: Vec<(u64, Index)>,
    /// Good bytes in the last segment.
    pub(crate) last_bytes: u64,
    /// Where the last frame of the last segment starts.
    pub(crate) last_frame: u64,
    pub(crate) truncated_bytes: u64,
    /// Whether a snapshot overrules all entries, and the log doesn't say so yet.
    pub(crate) is_overruled: bool,
}

/// Removes what an interrupted snapshot left.
pub(crate) fn remove_partial_files(dir: &Path) -> Result<()> {
    for name in segment::names(dir)?.iter().filter(|name| name.ends_with(PARTIAL_SUFFIX)) {
        let path = dir.join(name);
        fs::remove_file(&path).map_err(|e| Error::io(&path, "remove", e))?;
    }
    Ok(())
}

/// Reads all segments, cutting an unfinished write off the last one.
pub(crate) fn scan(dir: &Path, files: &mut Files) -> Result<Scan> {
    let numbers = segment::segments(dir)?;
    let mut scan = Scan {
        hard_state: HardState::default(),
        entries: Vec::new(),
        segments: Vec::new(),
        last_bytes: 0,
        last_frame: 0,
        truncated_bytes: 0,
        is_overruled: false,
    };
    let snapshot_index = segment::snapshots(dir)?.last().copied().unwrap_or(0);
    for (at, number) in numbers.iter().enumerate() {
        let is_last = at + 1 == numbers.len();
        if at > 0 && numbers[at - 1] + 1 != *number {
            return Err(Error::corrupt(dir, 0, "a log segment is missing"));
        }
        scan.read_segment(dir, *number, is_last, snapshot_index, files)?;
    }
    Ok(scan)
}

impl Scan {
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
        let mut at = HEAD.len();
        let mut highest = 0;
        self.last_frame = HEAD.len() as u64;
        if buf.get(..HEAD.len()) != Some(&HEAD) {
            let is_unfinished = is_last && !frame::any_frame_in(number, &buf);
            if !is_unfinished {
                return Err(Error::corrupt(&path, 0, "no log of a known version"));
            }
            at = 0;
        }
        loop {
            let rest = buf.get(at..).unwrap_or_default();
            match if at == 0 { Found::Bad } else { frame::decode(number, rest) } {
                Found::End => break,
                Found::Frame { records, bytes } => {
                    self.last_frame = at as u64;
                    for record in records {
                        if let Record::Entry(e) = &record {
                            highest = highest.max(e.index);
                        }
                        self.replay(record, snapshot_index)
                            .map_err(|what| Error::corrupt(&path, at as u64, what))?;
                    }
                    at += bytes;
                }
                Found::Bad if !is_last || frame::any_frame_in(number, rest) => {
                    return Err(Error::corrupt(&path, at as u64, "wrong checksum"));
                }
                Found::Bad => {
                    self.truncated_bytes = rest.len() as u64;
                    cut(&path, at as u64, files)?;
                    break;
                }
            }
        }
        self.segments.push((number, highest));
        self.last_bytes = at as u64;
        Ok(())
    }

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

/// Writes the last frame of the log again and syncs it.
///
/// A frame that is read back may have come from the cache of a process that was killed,
/// or whose sync failed, before the frame reached the disk. Only the last one can: each
/// frame is written after the one before it was synced.
pub(crate) fn rewrite_last_frame(
    path: &Path,
    f: &mut File,
    frame: Range<u64>,
    files: &mut Files,
) -> Result<()> {
    let fail = |e| Error::io(path, "write the last frame again", e);
    let mut buf = vec![0; (frame.end - frame.start) as usize];
    f.read_exact_at(&mut buf, frame.start).map_err(fail)?;
    f.write_all_at(&buf, frame.start).map_err(fail)?;
    (files.sync)(f, path).map_err(fail)
}

fn cut(path: &Path, length: u64, files: &mut Files) -> Result<()> {
    let fail = |e| Error::io(path, "cut off an unfinished write", e);
    let f = File::options().write(true).open(path).map_err(fail)?;
    f.set_len(length).map_err(fail)?;
    (files.sync)(&f, path).map_err(fail)
}

/// Puts the snapshot and the log together, dropping entries that the snapshot overrules.
pub(crate) fn persisted_state(dir: &Path, scan: &mut Scan) -> Result<PersistedState> {
    let snapshot = snapshot::latest(dir)?;
    let end = LogPosition { index: snapshot.meta.index, term: snapshot.meta.term };
    let first = scan.entries.first().map_or(end.index + 1, |e| e.index);
    let holds_end = scan.entries.iter().any(|e| e.index == end.index && e.term == end.term);
    if first <= end.index && !holds_end {
        // The snapshot came from a leader whose log differs.
        scan.entries.clear();
        scan.is_overruled = true;
    }
    Ok(PersistedState {
        hard_state: scan.hard_state,
        snapshot,
        entries: mem::take(&mut scan.entries),
    })
}
