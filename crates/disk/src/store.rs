//! The store: appending, syncing and compacting the log, and saving snapshots.

use crate::{
    error::{Error, Result},
    files::Files,
    frame::{self, Record},
    recovery::{self, Recovered},
    segment::{self, SEGMENT_HEADER},
    snapshot,
};
use raft::{HardState, Index, LogEntry, LogPosition, NodeId, PersistedState, Snapshot};
use std::{
    error::Error as _,
    fs::{self, File, TryLockError},
    io::{self, Seek as _, SeekFrom},
    mem,
    path::{Path, PathBuf},
};

/// File that the process which has the folder open keeps locked.
const LOCK_FILE: &str = "lock";
/// File with the id of the node that the folder belongs to.
const NODE_FILE: &str = "node";
/// Empty file that exists as long as the owner's id is new: see [`Store::claim_new`].
const NEW_FILE: &str = "new";

/// Settings of a store.
#[derive(Debug)]
pub struct StoreOptions {
    /// Length in bytes from which a segment is closed and the log continues in a new one. 16 MiB by
    /// default.
    pub segment_bytes: u64,
    /// File operations, which tests replace to inject faults.
    pub files: Files,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self { segment_bytes: 16 << 20, files: Files::default() }
    }
}

/// The data folder of one voter. See the [crate] for its use.
#[derive(Debug)]
pub struct Store {
    dir: PathBuf,
    options: StoreOptions,
    /// Latest hard state, including a pending one.
    hard_state: HardState,
    /// Number of each closed segment in order, with the highest index of its entries.
    closed_segments: Vec<(u64, Index)>,
    /// The segment to which frames are appended.
    current_segment: Segment,
    /// Records to be written by the next sync.
    pending: Vec<Record>,
    is_poisoned: bool,
    /// Whether the folder has a [`NEW_FILE`].
    is_new: bool,
    /// Keeps the folder locked until the store is dropped.
    _lock: File,
}

/// The open segment at the end of the log.
#[derive(Debug)]
struct Segment {
    number: u64,
    /// Highest index of its entries, 0 without entries.
    highest_index: Index,
    /// Synced length with the header, in bytes.
    bytes: u64,
    /// Whether its name is durable. That of the first segment of a folder is with the first frame, or with the owner.
    is_named: bool,
    f: File,
}

impl Store {
    /// Opens a data folder, which is created if it doesn't exist.
    ///
    /// # Errors
    ///
    /// [`Error::is_locked`] if another process has it open; [`Error::is_corrupt`] if a file
    /// differs from what was synced to it; any failure to read or write.
    pub fn open(dir: impl AsRef<Path>) -> Result<(Self, Recovered)> {
        Self::open_with(dir, StoreOptions::default())
    }

    /// Opens a data folder with these settings.
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
        let persisted_state = recovery::persisted_state(&dir, &mut scan)?;
        let recovered = Recovered {
            node: read_node(&dir)?,
            is_new: check_new_file(&dir, &persisted_state, &mut options.files)?,
            persisted_state,
            truncated_bytes: scan.truncated_bytes,
        };
        let mut closed_segments = scan.segments;
        let current_segment = match closed_segments.pop() {
            Some((number, highest_index)) if scan.valid_bytes > 0 => {
                let mut segment = open_segment(&dir, number, highest_index, scan.valid_bytes)?;
                let path = segment::segment_path(&dir, number);
                let frame = scan.last_frame_offset..scan.valid_bytes;
                let files = &mut options.files;
                recovery::rewrite_last_frame(&path, &mut segment.f, frame, files)?;
                snapshot::sync_folder(&dir, files)?;
                segment
            }
            Some((number, _)) => create_segment(&dir, number, &mut options.files)?,
            None => new_segment(&dir, 1, &mut options.files)?,
        };
        let hard_state = scan.hard_state;
        let pending = Vec::new();
        let end = &recovered.persisted_state.snapshot.meta;
        let end = LogPosition { index: end.index, term: end.term };
        let mut store = Self {
            dir,
            options,
            hard_state,
            closed_segments,
            current_segment,
            pending,
            is_poisoned: false,
            is_new: recovered.is_new,
            _lock: lock,
        };
        if scan.needs_reset {
            // Otherwise recovery would take entries appended from now on for successors of the
            // entries that the snapshot replaces.
            store.pending.push(Record::Reset(end));
            store.sync()?;
        }
        Ok((store, recovered))
    }

    /// Records durably that the folder belongs to this node, unless it has an owner already.
    ///
    /// A voter calls it on every start, so that it never runs on the folder of another one.
    ///
    /// # Errors
    ///
    /// [`Error::is_other_node`] if the folder belongs to another node; any failure to
    /// read or write. A failure to write poisons the store.
    pub fn claim(&mut self, node: NodeId) -> Result<()> {
        self.check_not_poisoned()?;
        if self.is_owned_by(node)? {
            return Ok(());
        }
        let result = self.remove_new_file().and_then(|()| self.write_node(node));
        self.poison_on_failure(result)
    }

    /// As [`Store::claim`], for an id that was generated for this folder, which must hold neither entries nor a
    /// snapshot. Until the first of them is written, [`Recovered::is_new`] then says that nothing was acknowledged
    /// under the id. Returns the hard state, which has a term from now on.
    ///
    /// # Errors
    ///
    /// As [`Store::claim`].
    pub fn claim_new(&mut self, node: NodeId) -> Result<HardState> {
        self.check_not_poisoned()?;
        if self.is_owned_by(node)? {
            return Ok(self.hard_state);
        }
        if self.hard_state.term == 0 {
            // Without a term at a later start, the log is lost, and with it the votes.
            self.append(Some(HardState { term: 1, vote: None }), &[]);
        }
        // The sync of the folder in `write_node` makes all names durable. Until then nothing is acknowledged.
        let result = self
            .write_pending()
            .and_then(|()| self.write_new_file())
            .and_then(|()| self.write_node(node));
        self.poison_on_failure(result)?;
        Ok(self.hard_state)
    }

    /// Adds a change of the hard state, and entries, to what the next [`Store::sync`] writes.
    /// Each entry replaces any entry of its index and all later ones.
    pub fn append(&mut self, hard_state: Option<HardState>, entries: &[LogEntry]) {
        if let Some(state) = hard_state {
            self.hard_state = state;
            self.pending.push(Record::HardState(state));
        }
        self.pending.extend(entries.iter().cloned().map(Record::Entry));
    }

    /// Writes what was appended since the last sync as one frame, and syncs it.
    ///
    /// # Errors
    ///
    /// Any failure poisons the store, because what reached the disk is then unknown.
    pub fn sync(&mut self) -> Result<()> {
        self.check_not_poisoned()?;
        if self.pending.is_empty() {
            return Ok(());
        }
        let result = self.write_pending().and_then(|()| self.name_segment());
        self.poison_on_failure(result)
    }

    /// Writes a snapshot and returns once it is durable. The log is left unchanged.
    ///
    /// # Errors
    ///
    /// Any failure poisons the store.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.check_not_poisoned()?;
        let path = segment::snapshot_path(&self.dir, snapshot.meta.index);
        let result = self
            .remove_new_file()
            .and_then(|()| snapshot::write(&path, snapshot, &mut self.options.files));
        self.poison_on_failure(result)
    }

    /// Replaces the whole log by a snapshot from a leader, and syncs pending records too.
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

    /// Removes all snapshots but the latest, and the closed segments whose entries all have
    /// indexes of at most `index`.
    ///
    /// `index` must not exceed the index at which the latest snapshot ends.
    ///
    /// # Errors
    ///
    /// Any failure poisons the store.
    pub fn compact(&mut self, index: Index) -> Result<()> {
        self.check_not_poisoned()?;
        let result = self.remove_old_files(index);
        self.poison_on_failure(result)
    }

    /// Whether an earlier write or sync failed, so that every later one fails too.
    pub fn is_poisoned(&self) -> bool {
        self.is_poisoned
    }

    /// The data folder.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Whether the folder belongs to this node. Fails if it belongs to another one.
    fn is_owned_by(&self, node: NodeId) -> Result<bool> {
        match read_node(&self.dir)? {
            Some(found) if found != node => Err(Error::other_node(&self.dir, found, node)),
            found => Ok(found.is_some()),
        }
    }

    /// Fails if the store is poisoned.
    fn check_not_poisoned(&self) -> Result<()> {
        match self.is_poisoned {
            true => Err(Error::poisoned(&self.dir)),
            false => Ok(()),
        }
    }

    /// Poisons the store if the result is an error, and returns the result.
    fn poison_on_failure<T>(&mut self, result: Result<T>) -> Result<T> {
        if let Err(e) = &result {
            let cause = e.source().map(ToString::to_string).unwrap_or_default();
            log::error!("the store fails until it is opened again ({cause}): {e}");
            self.is_poisoned = true;
        }
        result
    }

    /// Writes and syncs the pending records, if there are any.
    fn write_pending(&mut self) -> Result<()> {
        match mem::take(&mut self.pending) {
            records if records.is_empty() => Ok(()),
            records => self.write_frame(records),
        }
    }

    /// Writes and syncs records as one frame, in a new segment if the current one is full.
    fn write_frame(&mut self, mut records: Vec<Record>) -> Result<()> {
        if records.iter().any(|record| !matches!(record, Record::HardState(_))) {
            self.remove_new_file()?;
        }
        if self.current_segment.bytes >= self.options.segment_bytes {
            self.start_segment()?;
        }
        if self.current_segment.bytes == SEGMENT_HEADER.len() as u64 {
            // Each segment begins with the hard state, so that older segments can be removed.
            records.insert(0, Record::HardState(self.hard_state));
        }
        self.write_records(&records)
    }

    /// Makes the name of the current segment durable, unless it is.
    fn name_segment(&mut self) -> Result<()> {
        if !self.current_segment.is_named {
            snapshot::sync_folder(&self.dir, &mut self.options.files)?;
            self.current_segment.is_named = true;
        }
        Ok(())
    }

    /// Appends a frame of these records to the current segment, and syncs it.
    fn write_records(&mut self, records: &[Record]) -> Result<()> {
        let Segment { number, highest_index, bytes, f, .. } = &mut self.current_segment;
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
        *highest_index = indexes.fold(*highest_index, Index::max);
        Ok(())
    }

    /// Closes the current segment and creates the next one.
    fn start_segment(&mut self) -> Result<()> {
        let number = self.current_segment.number + 1;
        let next = create_segment(&self.dir, number, &mut self.options.files)?;
        let Segment { number, highest_index, .. } = mem::replace(&mut self.current_segment, next);
        self.closed_segments.push((number, highest_index));
        Ok(())
    }

    /// Implements [`Store::compact`].
    fn remove_old_files(&mut self, index: Index) -> Result<()> {
        let mut snapshots = segment::snapshot_indexes(&self.dir)?;
        snapshots.pop();
        for snapshot in snapshots {
            self.remove(&segment::snapshot_path(&self.dir, snapshot))?;
        }
        let is_any_removable = self.closed_segments.first().is_some_and(|(_, last)| *last <= index);
        if is_any_removable && self.current_segment.bytes == SEGMENT_HEADER.len() as u64 {
            // If writing the first frame of a segment failed, the reopened segment has no frame,
            // and the older segments hold the only copy of the hard state.
            self.write_records(&[Record::HardState(self.hard_state)])?;
        }
        // Each removal is synced before the next, so that a crash leaves no gap in the numbers.
        while let Some((number, _)) =
            self.closed_segments.first().filter(|(_, last)| *last <= index)
        {
            self.remove(&segment::segment_path(&self.dir, *number))?;
            self.closed_segments.remove(0);
        }
        Ok(())
    }

    /// Removes a file of the folder durably.
    fn remove(&mut self, path: &Path) -> Result<()> {
        remove_file(&self.dir, path, &mut self.options.files)
    }

    /// Records durably which node the folder belongs to.
    fn write_node(&mut self, node: NodeId) -> Result<()> {
        let line = node_line(&node.to_string());
        let files = &mut self.options.files;
        snapshot::replace_file(&self.dir.join(NODE_FILE), line.as_bytes(), files)?;
        self.current_segment.is_named = true;
        Ok(())
    }

    /// Creates the [`NEW_FILE`]. Its name isn't durable yet.
    fn write_new_file(&mut self) -> Result<()> {
        let path = self.dir.join(NEW_FILE);
        let fail = |e| Error::io(&path, "create", e);
        let f = File::create(&path).map_err(fail)?;
        (self.options.files.sync)(&f, &path).map_err(fail)?;
        self.is_new = true;
        Ok(())
    }

    /// Removes the [`NEW_FILE`] durably, if there is one.
    fn remove_new_file(&mut self) -> Result<()> {
        if self.is_new {
            self.remove(&self.dir.join(NEW_FILE))?;
            self.is_new = false;
        }
        Ok(())
    }
}

/// Removes a file of a folder durably.
fn remove_file(dir: &Path, path: &Path, files: &mut Files) -> Result<()> {
    fs::remove_file(path).map_err(|e| Error::io(path, "remove", e))?;
    snapshot::sync_folder(dir, files)
}

/// Whether a folder has a [`NEW_FILE`], which is removed if the state contradicts it.
fn check_new_file(dir: &Path, state: &PersistedState, files: &mut Files) -> Result<bool> {
    let path = dir.join(NEW_FILE);
    if !path.try_exists().map_err(|e| Error::io(&path, "look for", e))? {
        return Ok(false);
    }
    if state.is_empty() && state.hard_state.term > 0 {
        return Ok(true);
    }
    if state.is_empty() {
        log::warn!("{}: the log is lost, and with it any votes", dir.display());
    }
    remove_file(dir, &path, files)?;
    Ok(false)
}

/// Creates a folder, unless it exists, and makes it durable.
fn create_folder(dir: &Path, files: &mut Files) -> Result<()> {
    fs::create_dir_all(dir).map_err(|e| Error::io(dir, "create the folder", e))?;
    // Also if it exists: an earlier start may have ended between the two steps.
    let parent = dir.parent().filter(|p| !p.as_os_str().is_empty());
    snapshot::sync_folder(parent.unwrap_or(Path::new(".")), files)
}

/// Locks a folder until the returned file is dropped.
fn lock(dir: &Path) -> Result<File> {
    let path = dir.join(LOCK_FILE);
    let f = File::create(&path).map_err(|e| Error::io(&path, "create", e))?;
    match f.try_lock() {
        Ok(()) => Ok(f),
        Err(TryLockError::WouldBlock) => Err(Error::locked(&path)),
        Err(TryLockError::Error(e)) => Err(Error::io(&path, "lock", e)),
    }
}

/// Opens an existing segment to append frames after its first `bytes` bytes.
fn open_segment(dir: &Path, number: u64, highest_index: Index, bytes: u64) -> Result<Segment> {
    let path = segment::segment_path(dir, number);
    let fail = |e| Error::io(&path, "open", e);
    let mut f = File::options().read(true).write(true).open(&path).map_err(fail)?;
    f.seek(SeekFrom::Start(bytes)).map_err(fail)?;
    Ok(Segment { number, highest_index, bytes, is_named: true, f })
}

/// Creates an empty segment durably, replacing any segment of that number.
fn create_segment(dir: &Path, number: u64, files: &mut Files) -> Result<Segment> {
    let segment = new_segment(dir, number, files)?;
    let path = segment::segment_path(dir, number);
    (files.sync)(&segment.f, &path).map_err(|e| Error::io(&path, "create", e))?;
    snapshot::sync_folder(dir, files)?;
    Ok(Segment { is_named: true, ..segment })
}

/// Creates an empty segment, replacing any segment of that number. The sync of its first frame makes its header
/// durable.
fn new_segment(dir: &Path, number: u64, files: &mut Files) -> Result<Segment> {
    let path = segment::segment_path(dir, number);
    let fail = |e| Error::io(&path, "create", e);
    let mut f = File::create(&path).map_err(fail)?;
    (files.write)(&mut f, &path, &SEGMENT_HEADER).map_err(fail)?;
    let bytes = SEGMENT_HEADER.len() as u64;
    Ok(Segment { number, highest_index: 0, bytes, is_named: false, f })
}

/// Node that a data folder belongs to, if [`Store::claim`] has been called. The folder needn't exist, and isn't
/// opened.
///
/// # Errors
///
/// [`Error::is_corrupt`] if the file that names the node is; any failure to read.
pub fn read_owner(dir: impl AsRef<Path>) -> Result<Option<NodeId>> {
    read_node(dir.as_ref())
}

/// Reads which node the folder belongs to.
fn read_node(dir: &Path) -> Result<Option<NodeId>> {
    let path = dir.join(NODE_FILE);
    match fs::read_to_string(&path) {
        Ok(text) => match text.split_once(' ') {
            Some((node, _)) if node_line(node) == text => {
                node.parse().map(Some).map_err(|_| Error::corrupt(&path, 0, "not the id of a node"))
            }
            _ => Err(Error::corrupt(&path, 0, "wrong checksum")),
        },
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(Error::io(&path, "read", e)),
    }
}

/// Content of the node file: the id and its checksum.
fn node_line(node: &str) -> String {
    format!("{node} {:08x}\n", crc32fast::hash(node.as_bytes()))
}
