//! Snapshot files and back-ups, which share one format.

use crate::{
    error::{Error, Result},
    files::Files,
    segment::{self, PARTIAL_SUFFIX},
};
use bincode::{Decode, Encode, config};
use raft::{Snapshot, SnapshotMeta};
use std::{
    fs::{self, File},
    path::{Path, PathBuf},
    sync::Arc,
};

/// First bytes of a snapshot: a name and a format version.
const HEAD: [u8; 8] = *b"tcsnap\0\x01";
/// Head and checksum.
const HEADER_BYTES: usize = 12;

#[derive(Decode, Encode)]
struct Content {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

/// Writes a snapshot to a file of its own, as a back-up.
///
/// # Errors
///
/// Any failure to write. The file appears whole or not at all.
pub fn write_backup(path: &Path, snapshot: &Snapshot) -> Result<()> {
    write(path, snapshot, &mut Files::default())
}

/// Reads a back-up.
///
/// # Errors
///
/// [`Error::is_corrupt`] if it isn't a whole and unchanged back-up of a known version.
pub fn read_backup(path: &Path) -> Result<Snapshot> {
    let buf = fs::read(path).map_err(|e| Error::io(path, "read", e))?;
    let (Some(head), Some(sum), Some(payload)) =
        (buf.get(..8), buf.get(8..HEADER_BYTES), buf.get(HEADER_BYTES..))
    else {
        return Err(Error::corrupt(path, 0, "too short for a snapshot"));
    };
    if head != HEAD {
        return Err(Error::corrupt(path, 0, "no snapshot of a known version"));
    }
    if sum != crc32fast::hash(payload).to_le_bytes() {
        return Err(Error::corrupt(path, HEADER_BYTES as u64, "wrong checksum"));
    }
    let (content, _): (Content, _) = bincode::decode_from_slice(payload, config::standard())
        .map_err(|_| Error::corrupt(path, HEADER_BYTES as u64, "unreadable content"))?;
    Ok(Snapshot { meta: content.meta, data: Arc::new(content.data) })
}

/// Writes a snapshot.
pub(crate) fn write(path: &Path, snapshot: &Snapshot, files: &mut Files) -> Result<()> {
    replace(path, "write a snapshot", &encode(snapshot), files)
}

/// Replaces a file: writes aside, syncs, gives it its name and syncs the folder. After a
/// loss of power at any moment the file holds the former content or all of the new one,
/// and after the call the new one.
///
/// # Errors
///
/// Any failure to write.
pub fn replace_file(path: &Path, content: &[u8], files: &mut Files) -> Result<()> {
    replace(path, "write", content, files)
}

fn replace(path: &Path, what: &'static str, content: &[u8], files: &mut Files) -> Result<()> {
    let partial = partial_path(path);
    let fail = |e| Error::io(&partial, what, e);
    let mut f = File::create(&partial).map_err(fail)?;
    (files.write)(&mut f, &partial, content).map_err(fail)?;
    (files.sync)(&f, &partial).map_err(fail)?;
    (files.rename)(&partial, path).map_err(fail)?;
    sync_folder(path.parent().unwrap_or(Path::new(".")), files)
}

fn encode(snapshot: &Snapshot) -> Vec<u8> {
    let content = Content { meta: snapshot.meta.clone(), data: snapshot.data.to_vec() };
    let payload = bincode::encode_to_vec(content, config::standard()).unwrap_or_default();
    let mut buf = HEAD.to_vec();
    buf.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    buf.extend_from_slice(&payload);
    buf
}

fn partial_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(PARTIAL_SUFFIX);
    name.into()
}

/// Makes new, renamed and removed files of a folder durable.
pub(crate) fn sync_folder(dir: &Path, files: &mut Files) -> Result<()> {
    let fail = |e| Error::io(dir, "sync the folder", e);
    let f = File::open(dir).map_err(fail)?;
    (files.sync)(&f, dir).map_err(fail)
}

/// The latest snapshot of a folder, or an empty one.
pub(crate) fn latest(dir: &Path) -> Result<Snapshot> {
    match segment::snapshots(dir)?.last() {
        Some(index) => read_backup(&segment::snapshot_path(dir, *index)),
        None => Ok(Snapshot::default()),
    }
}
