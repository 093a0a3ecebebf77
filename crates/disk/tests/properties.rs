//! After a crash, a reopened store holds what was synced before, and otherwise at most the last
//! unconfirmed write, as a whole.
//!
//! Random sequences of operations and faults are checked against a model of the content.

mod common;

use bolero::{TypeGenerator, generator::*};
use common::{FakeDisk, entry};
use disk::Store;
use raft::{HardState, LogEntry, PersistedState, Snapshot, SnapshotMeta};
use std::{path::Path, sync::Arc};

#[derive(Clone, Debug, TypeGenerator)]
enum Op {
    /// Appends `count` entries that replace the last `dropped` ones.
    Append {
        count: u8,
        dropped: u8,
    },
    /// Starts a new term with a vote.
    Vote,
    Sync,
    /// A sync that fails, after which a crash keeps `torn_bytes` of what was written.
    FailingSync {
        torn_bytes: u8,
    },
    /// A sync with `room_bytes` left on the disk.
    Full {
        room_bytes: u8,
    },
    /// A snapshot that ends `lag` entries before the end of the log, and a compaction that keeps
    /// `keep` entries before that.
    Snapshot {
        lag: u8,
        keep: u8,
    },
    /// A snapshot from a leader that ends `ahead` entries after the end of the log.
    Install {
        ahead: u8,
    },
    /// The power fails: everything that wasn't synced is lost.
    Crash,
    /// The process is killed: what it wrote stays in the cache of the operating system.
    Kill,
}

/// Short, so that most runs use several segments.
const SEGMENT_BYTES: u64 = 300;

/// Expected content of the folder.
#[derive(Clone, Default)]
struct Model {
    hard_state: HardState,
    snapshot: Snapshot,
    entries: Vec<LogEntry>,
}

impl Model {
    /// Index of the last entry, or of the end of the snapshot without entries.
    fn last_index(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.meta.index, |e| e.index)
    }

    /// Whether the content found is the expected one, apart from entries before the end of the
    /// snapshot.
    fn matches(&self, found: &PersistedState) -> bool {
        let end = self.snapshot.meta.index;
        let after = |entries: &[LogEntry]| -> Vec<LogEntry> {
            entries.iter().filter(|e| e.index > end).cloned().collect()
        };
        self.hard_state == found.hard_state
            && self.snapshot == found.snapshot
            && after(&self.entries) == after(&found.entries)
    }
}

/// Runs operations on a store and on the model.
struct Driver<'a> {
    dir: &'a Path,
    disk: FakeDisk,
    store: Option<Store>,
    /// Expected content after a crash.
    synced: Model,
    /// Expected content after a sync.
    pending: Model,
    term: u64,
}

impl Driver<'_> {
    fn run(&mut self, op: &Op) {
        match *op {
            Op::Append { count, dropped } => self.append(count % 8, dropped % 4),
            Op::Vote => {
                self.term += 1;
                let state = HardState { term: self.term, vote: Some(self.term % 3) };
                self.pending.hard_state = state;
                self.store().append(Some(state), &[]);
            }
            Op::Sync => {
                self.store().sync().unwrap();
                self.synced = self.pending.clone();
            }
            Op::FailingSync { torn_bytes } => {
                self.disk.0.lock().unwrap().fail_syncs = true;
                self.fail(torn_bytes.into());
            }
            Op::Full { room_bytes } => {
                self.disk.0.lock().unwrap().room_bytes = Some(room_bytes.into());
                // Keeps all bytes that were written before the disk was full.
                self.fail(u64::MAX / 2);
            }
            Op::Snapshot { lag, keep } => self.snapshot(lag.into(), keep.into()),
            Op::Install { ahead } => self.install(u64::from(ahead % 20) + 1),
            Op::Crash => self.crash(0),
            Op::Kill => self.kill(),
        }
    }

    fn store(&mut self) -> &mut Store {
        self.store.as_mut().unwrap()
    }

    fn append(&mut self, count: u8, dropped: u8) {
        self.term += 1;
        let model = &mut self.pending;
        let kept = model.entries.len().saturating_sub(dropped.into());
        model.entries.truncate(kept);
        let first = model.last_index() + 1;
        let new: Vec<_> = (first..first + u64::from(count)).map(|i| entry(i, self.term)).collect();
        if new.is_empty() {
            // Only new entries can shorten the log, so the model goes back to what was synced.
            self.pending = self.synced.clone();
            self.crash(0);
            return;
        }
        self.pending.entries.extend(new.iter().cloned());
        self.store().append(None, &new);
    }

    /// Syncs with the fault that is set up and crashes. A failed sync must poison the store.
    fn fail(&mut self, torn_bytes: u64) {
        if self.store().sync().is_ok() {
            self.synced = self.pending.clone();
        } else {
            assert!(
                self.store().sync().unwrap_err().is_poisoned(),
                "a sync after a failed one must fail"
            );
        }
        self.crash(torn_bytes);
    }

    /// Loses what wasn't synced, except for torn writes, and opens the folder again.
    fn crash(&mut self, torn_bytes: u64) {
        self.store = None;
        self.disk.crash(self.dir, torn_bytes);
        self.reopen(torn_bytes > 0);
    }

    /// Writes what is pending without syncing it, and opens the folder again.
    fn kill(&mut self) {
        self.disk.0.lock().unwrap().fail_syncs = true;
        let _ = self.store().sync();
        self.disk.0.lock().unwrap().fail_syncs = false;
        self.store = None;
        self.reopen(true);
    }

    /// Opens the folder and checks its content, which counts as synced from then on.
    /// `may_be_ahead`: an unconfirmed write may have reached the disk.
    fn reopen(&mut self, may_be_ahead: bool) {
        let options = self.disk.options(SEGMENT_BYTES);
        let (store, recovered) = Store::open_with(self.dir, options).unwrap();
        self.store = Some(store);
        let found = recovered.persisted_state;
        // A write that wasn't confirmed may have reached the disk completely.
        let is_ahead = may_be_ahead && self.pending.matches(&found);
        assert!(is_ahead || self.synced.matches(&found), "{found:?}");
        if is_ahead {
            self.synced = self.pending.clone();
        }
        self.pending = self.synced.clone();
    }

    /// Saves a snapshot and compacts the log.
    fn snapshot(&mut self, lag: u64, keep: u64) {
        self.run(&Op::Sync);
        let index = self.synced.last_index().saturating_sub(lag % 10);
        let Some(at) = self.synced.entries.iter().position(|e| e.index == index) else { return };
        let meta = SnapshotMeta { index, term: self.synced.entries[at].term, ..Default::default() };
        let snapshot = Snapshot { meta, data: Arc::new(vec![7; 50]) };
        self.store().save_snapshot(&snapshot).unwrap();
        self.store().compact(index.saturating_sub(keep % 10)).unwrap();
        self.synced.snapshot = snapshot;
        self.synced.entries.drain(..=at);
        self.pending = self.synced.clone();
    }

    /// Installs a snapshot from a leader.
    fn install(&mut self, ahead: u64) {
        self.run(&Op::Sync);
        self.term += 1;
        let index = self.synced.last_index() + ahead;
        let meta = SnapshotMeta { index, term: self.term, ..Default::default() };
        let snapshot = Snapshot { meta, data: Arc::new(vec![9; 50]) };
        self.store().install_snapshot(&snapshot).unwrap();
        self.synced.snapshot = snapshot;
        self.synced.entries.clear();
        self.pending = self.synced.clone();
    }
}

/// Confirmed records must not be lost, and an unconfirmed write must not appear in part, after any
/// sequence of torn writes, failed syncs, full disks, crashes, kills and compactions.
#[test]
fn synced_records_survive_a_crash() {
    seeded::check().with_generator(produce::<Vec<Op>>().with().len(0..=60usize)).for_each(|ops| {
        let dir = tempfile::tempdir().unwrap();
        let mut driver = Driver {
            dir: dir.path(),
            disk: FakeDisk::default(),
            store: None,
            synced: Model::default(),
            pending: Model::default(),
            term: 1,
        };
        driver.crash(0);
        ops.iter().for_each(|op| driver.run(op));
        driver.crash(0);
    });
}
