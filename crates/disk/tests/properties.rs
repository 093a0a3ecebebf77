//! Whatever was synced is there after a crash, and nothing else is.

mod common;

use bolero::{TypeGenerator, generator::*};
use common::{FakeDisk, entry};
use disk::Store;
use raft::{HardState, LogEntry, PersistedState, Snapshot, SnapshotMeta};
use std::{path::Path, sync::Arc};

#[derive(Clone, Debug, TypeGenerator)]
enum Op {
    /// Adds entries, after dropping some at the end.
    Append {
        count: u8,
        dropped: u8,
    },
    Vote,
    Sync,
    FailingSync {
        torn_bytes: u8,
    },
    Full {
        room_bytes: u8,
    },
    Snapshot {
        lag: u8,
        keep: u8,
    },
    Install {
        ahead: u8,
    },
    Crash,
    /// The process ends; what it wrote stays in the system's cache.
    Kill,
}

const SEGMENT_BYTES: u64 = 300;

/// What the folder should hold.
#[derive(Clone, Default)]
struct Model {
    hard_state: HardState,
    snapshot: Snapshot,
    entries: Vec<LogEntry>,
}

impl Model {
    fn last(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.meta.index, |e| e.index)
    }

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

struct Driver<'a> {
    dir: &'a Path,
    disk: FakeDisk,
    store: Option<Store>,
    synced: Model,
    /// With what was appended since the last sync.
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
        let first = model.last() + 1;
        let new: Vec<_> = (first..first + u64::from(count)).map(|i| entry(i, self.term)).collect();
        if new.is_empty() {
            // A log is shortened only by new entries.
            self.pending = self.synced.clone();
            self.crash(0);
            return;
        }
        self.pending.entries.extend(new.iter().cloned());
        self.store().append(None, &new);
    }

    /// Syncs with the fault that is set up, and crashes if it strikes.
    fn fail(&mut self, torn_bytes: u64) {
        if self.store().sync().is_ok() {
            self.synced = self.pending.clone();
        } else {
            assert!(self.store().sync().unwrap_err().is_poisoned(), "a failed sync was repeated");
        }
        self.crash(torn_bytes);
    }

    fn crash(&mut self, torn_bytes: u64) {
        self.store = None;
        self.disk.crash(self.dir, torn_bytes);
        self.reopen(torn_bytes > 0);
    }

    fn kill(&mut self) {
        self.disk.0.lock().unwrap().fail_syncs = true;
        let _ = self.store().sync();
        self.disk.0.lock().unwrap().fail_syncs = false;
        self.store = None;
        self.reopen(true);
    }

    /// Opens the folder. Whatever is found then counts as synced.
    fn reopen(&mut self, may_be_ahead: bool) {
        let options = self.disk.options(SEGMENT_BYTES);
        let (store, recovered) = Store::open_with(self.dir, options).unwrap();
        self.store = Some(store);
        let found = recovered.persisted_state;
        // A write that wasn't confirmed may have reached the disk whole.
        let is_whole = may_be_ahead && self.pending.matches(&found);
        assert!(is_whole || self.synced.matches(&found), "{found:?}");
        if is_whole {
            self.synced = self.pending.clone();
        }
        self.pending = self.synced.clone();
    }

    fn snapshot(&mut self, lag: u64, keep: u64) {
        self.run(&Op::Sync);
        let index = self.synced.last().saturating_sub(lag % 10);
        let Some(at) = self.synced.entries.iter().position(|e| e.index == index) else { return };
        let meta = SnapshotMeta { index, term: self.synced.entries[at].term, ..Default::default() };
        let snapshot = Snapshot { meta, data: Arc::new(vec![7; 50]) };
        self.store().save_snapshot(&snapshot).unwrap();
        self.store().compact(index.saturating_sub(keep % 10)).unwrap();
        self.synced.snapshot = snapshot;
        self.synced.entries.drain(..=at);
        self.pending = self.synced.clone();
    }

    fn install(&mut self, ahead: u64) {
        self.run(&Op::Sync);
        self.term += 1;
        let index = self.synced.last() + ahead;
        let meta = SnapshotMeta { index, term: self.term, ..Default::default() };
        let snapshot = Snapshot { meta, data: Arc::new(vec![9; 50]) };
        self.store().install_snapshot(&snapshot).unwrap();
        self.synced.snapshot = snapshot;
        self.synced.entries.clear();
        self.pending = self.synced.clone();
    }
}

#[test]
fn what_was_synced_survives() {
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
