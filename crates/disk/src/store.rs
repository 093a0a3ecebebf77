//! The store itself.

use crate::{
    error::{Error, Result},
    files::Files,
    frame::{self, Record},
    recovery::{self, Recovered},
    segment::{self, HEAD},
    snapshot,
};
use raft::{HardState, Index, LogEntry, LogPosition, NodeId, Snapshot};
use std::{
    fs::{self, File, TryLockError},
    io::{self, Seek as _, SeekFrom},
    mem,
    path::{Path, PathBuf},
};

const LOCK_FILE: &str = "lock";
const NODE_FILE: &str = "node";

/// Settings of a store.
#[derive(Debug)]
pub struct StoreOptions {
    /// A segment of the log is closed once it is this long.
    pub segment_bytes: u64,
    /// File operations; tests replace them.
    pub files: Files,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self { segment_bytes: 16 << 20, files: Files::default() }
    }
}

/// One voter's data folder. See the [crate] for its use.
#[derive(Debug)]
pub struct Store {
    dir: PathBuf,
    options: StoreOptions,
    hard_state: HardState,
    /// Closed segments with the highest index that each holds.
    closed: Vec<(u64, Index)>,
    current: Segment,
    pending: Vec<Record>,
    is_poisoned: bool,
    /// Held for as long as the store lives.
    _lock: File,
}

#[derive(Debug)]
struct Segment {
    number: u64,
    highest: Index,
    bytes: u64,
    f: File,
}

impl Store {
    /// Opens a data folder, creating it if need be.
    ///
    /// # Errors
    ///
    /// [`Error::is_locked`] if another process has it open; [`Error::is_corrupt`] if a
    /// file holds something else than what was synced to it.
    pub fn open(dir: impl AsRef<Path>) -> Result<(Self, Recovered)> {
        Self::open_with(dir, StoreOptions::default())
    }

    /// Opens a data folder with settings other than the default.
    ///
    /// # Errors
    ///
    /// As [`Store::open`].
    pub fn open_with(
        dir: impl AsRef<Path>,
        mut options: StoreOptions,
    ) -> Result<(Self, Recovered)> {
        let dir = dir.as_ref().to_owned();
        create_folder(&dir, &mut options.files)?;
        let lock = lock(&dir)?;
        recovery::remove_partial_files(&dir)?;
        let mut scan = recovery::scan(&dir, &mut options.files)?;
        let recovered = Recovered {
            node: read_node(&dir)?,
            persisted_state: recovery::persisted_state(&dir, &mut scan)?,
            truncated_bytes: scan.truncated_bytes,
        };
        let mut closed = scan.segments;
        let current = match closed.pop() {
            Some((number, highest)) if scan.last_bytes > 0 => {
                let mut segment = open_segment(&dir, number, highest, scan.last_bytes)?;
                let path = segment::segment_path(&dir, number);
                let frame = scan.last_frame..scan.last_bytes;
                let files = &mut options.files;
                recovery::rewrite_last_frame(&path, &mut segment.f, frame, files)?;
                snapshot::sync_folder(&dir, files)?;
                segment
            }
            Some((number, _)) => create_segment(&dir, number, &mut options.files)?,
            None => create_segment(&dir, 1, &mut options.files)?,
        };
        let hard_state = scan.hard_state;
        let pending = Vec::new();
        let end = &recovered.persisted_state.snapshot.meta;
        let end = LogPosition { index: end.index, term: end.term };
        let mut store = Self {
            dir,
            options,
            hard_state,
            closed,
            current,
            pending,
            is_poisoned: false,
            _lock: lock,
        };
        if scan.is_overruled {
            // Otherwise entries written from now on would seem to follow the former ones.
            store.pending.push(Record::Reset(end));
            store.sync()?;
        }
        Ok((store, recovered))
    }

    /// Says once and for all which node the folder belongs to.
    ///
    /// # Errors
    ///
    /// [`Error::is_other_node`] if it belongs to another one.
    pub fn claim(&mut self, node: NodeId) -> Result<()> {
        self.check()?;
        match read_node(&self.dir)? {
            Some(found) if found == node => Ok(()),
            Some(found) => Err(Error::identity(&self.dir, found, node)),
            None => {
                let result = write_node(&self.dir, node, &mut self.options.files);
                self.poison_on_failure(result)
            }
        }
    }

    /// Collects a change of the hard state and entries for the next sync.
    pub fn append(&mut self, hard_state: Option<HardState>, entries: &[LogEntry]) {
        if let Some(state) = hard_state {
            self.hard_state = state;
            self.pending.push(Record::HardState(state));
        }
        self.pending.extend(entries.iter().cloned().map(Record::Entry));
    }

    /// Writes what was collected as one frame and syncs it.
    ///
    /// # Errors
    ///
    /// Any failure poisons the store: what reached the disk is then unknown.
    pub fn sync(&mut self) -> Result<()> {
        self.check()?;
        if self.pending.is_empty() {
            return Ok(());
        }
        let records = mem::take(&mut self.pending);
        let result = self.write_frame(records);
        self.poison_on_failure(result)
    }

    /// Writes a snapshot and returns once it is durable. The log isn't touched.
    ///
    /// # Errors
    ///
    /// Any failure poisons the store.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.check()?;
        let path = segment::snapshot_path(&self.dir, snapshot.meta.index);
        let result = snapshot::write(&path, snapshot, &mut self.options.files);
        self.poison_on_failure(result)
    }

    /// Replaces the whole log by a snapshot that came from a leader.
    ///
    /// # Errors
    ///
    /// Any failure poisons the store.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.save_snapshot(snapshot)?;
        let position = LogPosition { index: snapshot.meta.index, term: snapshot.meta.term };
        self.pending.push(Record::Reset(position));
        self.sync()
    }

    /// Removes snapshots but the latest, and segments that hold no entry after `index`.
    ///
    /// Call it with an index that the latest snapshot contains.
    ///
    /// # Errors
    ///
    /// Any failure poisons the store.
    pub fn compact(&mut self, index: Index) -> Result<()> {
        self.check()?;
        let result = self.remove_old_files(index);
        self.poison_on_failure(result)
    }

    /// Whether an earlier failure has stopped the store for good.
    pub fn is_poisoned(&self) -> bool {
        self.is_poisoned
    }

    /// Folder of the store.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    fn check(&self) -> Result<()> {
        match self.is_poisoned {
            true => Err(Error::poisoned(&self.dir)),
            false => Ok(()),
        }
    }

    fn poison_on_failure<T>(&mut self, result: Result<T>) -> Result<T> {
        if let Err(e) = &result {
            log::error!("the store stops for good: {e}");
            self.is_poisoned = true;
        }
        result
    }

    fn write_frame(&mut self, mut records: Vec<Record>) -> Result<()> {
        if self.current.bytes >= self.options.segment_bytes {
            self.rotate()?;
        }
        if self.current.bytes == HEAD.len() as u64 {
            // Each segment begins with the hard state so that older ones can go.
            records.insert(0, Record::HardState(self.hard_state));
        }
        self.write_records(&records)
    }

    fn write_records(&mut self, records: &[Record]) -> Result<()> {
        let Segment { number, highest, bytes, f } = &mut self.current;
        let path = segment::segment_path(&self.dir, *number);
        let buf = frame::encode(*number, records);
        let files = &mut self.options.files;
        (files.write)(f, &path, &buf).map_err(|e| Error::io(&path, "write", e))?;
        (files.sync)(f, &path).map_err(|e| Error::io(&path, "sync", e))?;
        *bytes += buf.len() as u64;
        let indexes = records.iter().filter_map(|record| match record {
            Record::Entry(e) => Some(e.index),
            _ => None,
        });
        *highest = indexes.fold(*highest, Index::max);
        Ok(())
    }

    fn rotate(&mut self) -> Result<()> {
        let number = self.current.number + 1;
        let next = create_segment(&self.dir, number, &mut self.options.files)?;
        let Segment { number, highest, .. } = mem::replace(&mut self.current, next);
        self.closed.push((number, highest));
        Ok(())
    }

    fn remove_old_files(&mut self, index: Index) -> Result<()> {
        let mut snapshots = segment::snapshots(&self.dir)?;
        snapshots.pop();
        for at in snapshots {
            self.remove(&segment::snapshot_path(&self.dir, at))?;
        }
        let is_any_old = self.closed.first().is_some_and(|(_, last)| *last <= index);
        if is_any_old && self.current.bytes == HEAD.len() as u64 {
            // A segment whose first frame failed is reopened without one, and the older
            // segments then hold the only copy of the hard state.
            self.write_records(&[Record::HardState(self.hard_state)])?;
        }
        // In order, and each one durably, so that a crash leaves no gap.
        while let Some((number, _)) = self.closed.first().filter(|(_, last)| *last <= index) {
            self.remove(&segment::segment_path(&self.dir, *number))?;
            self.closed.remove(0);
        }
        Ok(())
    }

    fn remove(&mut self, path: &Path) -> Result<()> {
        fs::remove_file(path).map_err(|e| Error::io(path, "remove", e))?;
        snapshot::sync_folder(&self.dir, &mut self.options.files)
    }
}

fn create_folder(dir: &Path, files: &mut Files) -> Result<()> {
    if dir.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(dir).map_err(|e| Error::io(dir, "create the folder", e))?;
    let parent = dir.parent().filter(|p| !p.as_os_str().is_empty());
    snapshot::sync_folder(parent.unwrap_or(Path::new(".")), files)
}

fn lock(dir: &Path) -> Result<File> {
    let path = dir.join(LOCK_FILE);
    let f = File::create(&path).map_err(|e| Error::io(&path, "create", e))?;
    match f.try_lock() {
        Ok(()) => Ok(f),
        Err(TryLockError::WouldBlock) => Err(Error::locked(&path)),
        Err(TryLockError::Error(e)) => Err(Error::io(&path, "lock", e)),
    }
}

fn open_segment(dir: &Path, number: u64, highest: Index, bytes: u64) -> Result<Segment> {
    let path = segment::segment_path(dir, number);
    let fail = |e| Error::io(&path, "open", e);
    let mut f = File::options().read(true).write(true).open(&path).map_err(fail)?;
    f.seek(SeekFrom::Start(bytes)).map_err(fail)?;
    Ok(Segment { number, highest, bytes, f })
}

fn create_segment(dir: &Path, number: u64, files: &mut Files) -> Result<Segment> {
    let path = segment::segment_path(dir, number);
    let fail = |e| Error::io(&path, "create", e);
    let mut f = File::create(&path).map_err(fail)?;
    (files.write)(&mut f, &path, &HEAD).map_err(fail)?;
    (files.sync)(&f, &path).map_err(fail)?;
    snapshot::sync_folder(dir, files)?;
    Ok(Segment { number, highest: 0, bytes: HEAD.len() as u64, f })
}

fn read_node(dir: &Path) -> Result<Option<NodeId>> {
    let path = dir.join(NODE_FILE);
    match fs::read_to_string(&path) {
        Ok(text) => match text.split_once(' ') {
            Some((node, _)) if node_line(node) == text => {
                node.parse().map(Some).map_err(|_| Error::corrupt(&path, 0, "no node id"))
            }
            _ => Err(Error::corrupt(&path, 0, "wrong checksum")),
        },
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(Error::io(&path, "read", e)),
    }
}

/// The node's id and a checksum.
fn node_line(node: &str) -> String {
    format!("{node} {:08x}\n", crc32fast::hash(node.as_bytes()))
}

fn write_node(dir: &Path, node: NodeId, files: &mut Files) -> Result<()> {
    let line = node_line(&node.to_string());
    snapshot::replace_file(&dir.join(NODE_FILE), line.as_bytes(), files)
}
