//! The part of the log that is kept in memory.

use crate::{
    message::LogPosition,
    types::{Index, LogEntry, Term},
};

/// Log entries after a base position, and how far they are known to be on disk.
#[derive(Debug)]
pub(crate) struct Log {
    /// Position of the entry just before the first one kept.
    base: LogPosition,
    entries: Vec<LogEntry>,
    /// Last index known to be on disk.
    stable: Index,
}

impl Log {
    pub(crate) fn new(base: LogPosition, entries: Vec<LogEntry>) -> Self {
        let stable = entries.last().map_or(base.index, |e| e.index);
        Self { base, entries, stable }
    }

    pub(crate) fn first_index(&self) -> Index {
        self.base.index + 1
    }

    pub(crate) fn last(&self) -> LogPosition {
        self.entries.last().map_or(self.base, |e| LogPosition { index: e.index, term: e.term })
    }

    pub(crate) fn last_index(&self) -> Index {
        self.last().index
    }

    pub(crate) fn stable(&self) -> Index {
        self.stable
    }

    /// Term of the entry at `index`, or of the base; `None` if it is compacted or beyond the end.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.first_index())?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    pub(crate) fn contains(&self, position: LogPosition) -> bool {
        self.term(position.index) == Some(position.term)
    }

    /// Entries `from..=to`, as many as fit in `max_bytes`, but at least one if there is any.
    pub(crate) fn slice(&self, from: Index, to: Index, max_bytes: usize) -> Vec<LogEntry> {
        let start = from.saturating_sub(self.first_index()) as usize;
        let mut bytes = 0;
        self.entries
            .iter()
            .skip(start)
            .take_while(|e| e.index <= to)
            .take_while(|e| {
                let is_first = bytes == 0;
                bytes += e.size_bytes();
                is_first || bytes <= max_bytes
            })
            .cloned()
            .collect()
    }

    /// Number of entries that fit in `max_bytes`, counted backwards from `index`.
    pub(crate) fn count_within(&self, index: Index, max_bytes: usize) -> u64 {
        let mut bytes = 0;
        let kept = self.entries.iter().rev().skip_while(|e| e.index > index);
        let fitting = kept.take_while(|e| {
            bytes += e.size_bytes();
            bytes <= max_bytes
        });
        fitting.count() as u64
    }

    /// Appends an entry, whose index must be the next one.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push(entry);
    }

    /// Removes the entry at `index` and all later ones.
    pub(crate) fn truncate(&mut self, index: Index) {
        let keep = index.saturating_sub(self.first_index()) as usize;
        self.entries.truncate(keep);
        self.stable = self.stable.min(index.saturating_sub(1));
    }

    /// Entries that aren't known to be on disk.
    pub(crate) fn unstable(&self) -> Vec<LogEntry> {
        self.slice(self.stable + 1, Index::MAX, usize::MAX)
    }

    /// Records that the log is on disk up to a position, if that entry wasn't replaced since.
    pub(crate) fn mark_stable(&mut self, position: LogPosition) {
        if self.contains(position) {
            self.stable = self.stable.max(position.index);
        }
    }

    /// Removes the entries up to and including `index`, which becomes the base.
    pub(crate) fn compact(&mut self, index: Index) {
        let Some(term) = self.term(index) else { return };
        let count = index.saturating_sub(self.base.index) as usize;
        self.entries.drain(..count);
        self.base = LogPosition { index, term };
    }

    /// Removes all entries and continues after a snapshot at `base`.
    pub(crate) fn reset(&mut self, base: LogPosition) {
        *self = Self::new(base, Vec::new());
    }

    /// The last position at or before `limit.index` whose term is at most `limit.term`.
    ///
    /// Leader and follower use it to skip all conflicting entries of a term in one round trip when
    /// they look for the last entry that both logs share.
    pub(crate) fn last_not_after(&self, limit: LogPosition) -> LogPosition {
        let mut index = limit.index.min(self.last_index());
        while let Some(term) = self.term(index) {
            if term <= limit.term {
                return LogPosition { index, term };
            }
            index -= 1;
        }
        LogPosition { index, term: 0 }
    }
}
