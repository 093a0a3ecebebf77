//! A simulated disk, on which a crash loses what wasn't synced, and which fills up or fails on
//! demand.

// Each test binary uses only some of these functions.
#![allow(dead_code, unreachable_pub)]

use disk::{Files, StoreOptions};
use raft::{EntryPayload, LogEntry};
use std::{
    collections::{BTreeMap, BTreeSet},
    fs::{self, File},
    io::{self, Write as _},
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
};

#[derive(Default)]
pub struct State {
    /// Synced length of each file.
    synced_bytes: BTreeMap<PathBuf, u64>,
    /// Files and folders that existed when the folder above them was last synced.
    durable_names: BTreeSet<PathBuf>,
    /// Number of bytes that can still be written; unlimited if `None`.
    pub room_bytes: Option<usize>,
    /// Whether every sync fails.
    pub fail_syncs: bool,
}

/// File operations with faults, on real files in a temporary folder.
#[derive(Clone, Default)]
pub struct FakeDisk(pub Arc<Mutex<State>>);

/// A log entry whose command names its index and term.
pub fn entry(index: u64, term: u64) -> LogEntry {
    let command = format!("command {index} of term {term}");
    LogEntry { index, term, payload: EntryPayload::Command(command.into_bytes()) }
}

/// Paths of all files in a folder, sorted.
pub fn paths(dir: &Path) -> Vec<PathBuf> {
    let mut paths: Vec<_> = fs::read_dir(dir).unwrap().map(|e| e.unwrap().path()).collect();
    paths.sort();
    paths
}

impl FakeDisk {
    /// Settings of a store that uses this disk.
    pub fn options(&self, segment_bytes: u64) -> StoreOptions {
        let (for_write, for_sync, for_rename) = (self.clone(), self.clone(), self.clone());
        let for_folders = self.clone();
        let files = Files {
            write: Box::new(move |f, _, buf| for_write.write(f, buf)),
            sync: Box::new(move |f, path| for_sync.sync(f, path)),
            sync_folder: Box::new(move |_, path| for_folders.sync_folder(path)),
            rename: Box::new(move |from, to| for_rename.rename(from, to)),
        };
        StoreOptions { segment_bytes, files }
    }

    fn write(&self, f: &mut File, buf: &[u8]) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        let fitting = state.room_bytes.map_or(buf.len(), |room| room.min(buf.len()));
        state.room_bytes = state.room_bytes.map(|room| room - fitting);
        f.write_all(&buf[..fitting])?;
        match fitting == buf.len() {
            true => Ok(()),
            false => Err(io::ErrorKind::StorageFull.into()),
        }
    }

    fn sync(&self, f: &File, path: &Path) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if state.fail_syncs {
            return Err(io::Error::other("the device failed"));
        }
        assert!(!path.is_dir(), "a sync of data doesn't make names durable");
        state.synced_bytes.insert(path.to_owned(), f.metadata()?.len());
        Ok(())
    }

    fn sync_folder(&self, path: &Path) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if state.fail_syncs {
            return Err(io::Error::other("the device failed"));
        }
        state.durable_names.retain(|name| name.parent() != Some(path));
        state.durable_names.extend(paths(path));
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if let Some(length) = state.synced_bytes.remove(from) {
            state.synced_bytes.insert(to.to_owned(), length);
        }
        fs::rename(from, to)
    }

    /// Drops everything that wasn't synced, as a loss of power does, except for the first
    /// `torn_bytes` bytes after the synced length of each file.
    pub fn crash(&self, dir: &Path, torn_bytes: u64) {
        let mut state = self.0.lock().unwrap();
        for path in paths(dir).into_iter().filter(|path| !path.ends_with("lock")) {
            if !state.durable_names.contains(&path) {
                fs::remove_file(&path).unwrap();
                continue;
            }
            let f = File::options().write(true).open(&path).unwrap();
            let kept = state.synced_bytes.get(&path).copied().unwrap_or(0) + torn_bytes;
            f.set_len(kept.min(f.metadata().unwrap().len())).unwrap();
        }
        state.fail_syncs = false;
        state.room_bytes = None;
    }
}
