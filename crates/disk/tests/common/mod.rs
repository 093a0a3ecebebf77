//! A disk that loses what isn't synced, fills up, and fails on demand.

// Not every test uses every function.
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
    synced: BTreeMap<PathBuf, u64>,
    /// Files whose names are synced.
    named: BTreeSet<PathBuf>,
    /// Bytes that still fit.
    pub room_bytes: Option<usize>,
    pub fail_syncs: bool,
}

#[derive(Clone, Default)]
pub struct FakeDisk(pub Arc<Mutex<State>>);

pub fn entry(index: u64, term: u64) -> LogEntry {
    let command = format!("command {index} of term {term}");
    LogEntry { index, term, payload: EntryPayload::Command(command.into_bytes()) }
}

pub fn paths(dir: &Path) -> Vec<PathBuf> {
    let mut paths: Vec<_> = fs::read_dir(dir).unwrap().map(|e| e.unwrap().path()).collect();
    paths.sort();
    paths
}

impl FakeDisk {
    pub fn options(&self, segment_bytes: u64) -> StoreOptions {
        let (a, b, c) = (self.clone(), self.clone(), self.clone());
        let files = Files {
            write: Box::new(move |f, _, buf| a.write(f, buf)),
            sync: Box::new(move |f, path| b.sync(f, path)),
            rename: Box::new(move |from, to| c.rename(from, to)),
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
        if path.is_dir() {
            state.named = paths(path).into_iter().collect();
        } else {
            state.synced.insert(path.to_owned(), f.metadata()?.len());
        }
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if let Some(length) = state.synced.remove(from) {
            state.synced.insert(to.to_owned(), length);
        }
        fs::rename(from, to)
    }

    /// Drops what isn't synced, but for the first `torn_bytes` of each file's last write.
    pub fn crash(&self, dir: &Path, torn_bytes: u64) {
        let mut state = self.0.lock().unwrap();
        for path in paths(dir).into_iter().filter(|path| !path.ends_with("lock")) {
            if !state.named.contains(&path) {
                fs::remove_file(&path).unwrap();
                continue;
            }
            let f = File::options().write(true).open(&path).unwrap();
            let kept = state.synced.get(&path).copied().unwrap_or(0) + torn_bytes;
            f.set_len(kept.min(f.metadata().unwrap().len())).unwrap();
        }
        state.fail_syncs = false;
        state.room_bytes = None;
    }
}
