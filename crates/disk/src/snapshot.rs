//! Snapshot files and back-ups, which share one format: a header, the checksum of the payload
//! as a little-endian `u32`, and the payload, which is encoded by `bincode`.

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

/// First bytes of a snapshot: a name and the version of the format.
const HEADER: [u8; 8] = *b"tcsnap\0\x01";
/// Length of the header and the checksum.
const PAYLOAD_OFFSET: usize = 12;

/// Payload of a snapshot file.
#[derive(Decode, Encode)]
struct SnapshotContent {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

/// Writes a snapshot to a file outside a data folder, as a back-up.
///
/// # Errors
///
/// Any failure to write. The file is then replaced completely or not at all.
pub fn write_backup(path: &Path, snapshot: &Snapshot) -> Result<()> {
    write(path, snapshot, &mut Files::default())
}

/// Reads a back-up.
///
/// # Errors
///
/// [`Error::is_corrupt`] if the file isn't a complete and unchanged back-up of a supported
/// version; any failure to read.
pub fn read_backup(path: &Path) -> Result<Snapshot> {
    let buf = fs::read(path).map_err(|e| Error::io(path, "read", e))?;
    let (Some(header), Some(sum), Some(payload)) =
        (buf.get(..8), buf.get(8..PAYLOAD_OFFSET), buf.get(PAYLOAD_OFFSET..))
    else {
        return Err(Error::corrupt(path, 0, "too short for a snapshot"));
    };
    if header != HEADER {
        return Err(Error::corrupt(path, 0, "not a snapshot of a supported version"));
    }
    if sum != crc32fast::hash(payload).to_le_bytes() {
        return Err(Error::corrupt(path, PAYLOAD_OFFSET as u64, "wrong checksum"));
    }
    let (content, _): (SnapshotContent, _) =
        bincode::decode_from_slice(payload, config::standard())
            .map_err(|_| Error::corrupt(path, PAYLOAD_OFFSET as u64, "undecodable content"))?;
    Ok(Snapshot { meta: content.meta, data: Arc::new(content.data) })
}

/// Writes a snapshot file and returns once it is durable.
pub(crate) fn write(path: &Path, snapshot: &Snapshot, files: &mut Files) -> Result<()> {
    replace(path, "write a snapshot", &encode(snapshot), files)
}

/// Replaces the content of a file atomically and durably.
///
/// The content is written to a temporary file, which is synced and renamed; then the folder is
/// synced. If the power fails during the call, the file holds either all of the old content or
/// all of the new one; after the call it holds the new one.
///
/// # Errors
///
/// Any failure to write, sync or rename.
pub fn replace_file(path: &Path, content: &[u8], files: &mut Files) -> Result<()> {
    replace(path, "write", content, files)
}

/// As [`replace_file`]; errors name `operation`.
fn replace(path: &Path, operation: &'static str, content: &[u8], files: &mut Files) -> Result<()> {
    let partial = partial_path(path);
    let fail = |e| Error::io(&partial, operation, e);
    let mut f = File::create(&partial).map_err(fail)?;
    (files.write)(&mut f, &partial, content).map_err(fail)?;
    (files.sync)(&f, &partial).map_err(fail)?;
    (files.rename)(&partial, path).map_err(fail)?;
    sync_folder(path.parent().unwrap_or(Path::new(".")), files)
}

/// Content of a snapshot file.
fn encode(snapshot: &Snapshot) -> Vec<u8> {
    let content = SnapshotContent { meta: snapshot.meta.clone(), data: snapshot.data.to_vec() };
    let payload = bincode::encode_to_vec(content, config::standard()).unwrap_or_default();
    let mut buf = HEADER.to_vec();
    buf.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    buf.extend_from_slice(&payload);
    buf
}

/// Path of the temporary file that replaces `path`.
fn partial_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(PARTIAL_SUFFIX);
    name.into()
}

/// Makes the creation, renaming and removal of files in a folder durable.
pub(crate) fn sync_folder(dir: &Path, files: &mut Files) -> Result<()> {
    let fail = |e| Error::io(dir, "sync the folder", e);
    let f = File::open(dir).map_err(fail)?;
    (files.sync_folder)(&f, dir).map_err(fail)
}

/// Reads the latest snapshot in a folder; an empty one if there is none.
pub(crate) fn latest(dir: &Path) -> Result<Snapshot> {
    match segment::snapshot_indexes(dir)?.last() {
        Some(index) => read_backup(&segment::snapshot_path(dir, *index)),
        None => Ok(Snapshot::default()),
    }
}
