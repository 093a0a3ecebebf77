//! Names of the files in a data folder and the heads of log segments.

use crate::error::{Error, Result};
use std::{
    fs,
    path::{Path, PathBuf},
};

/// First bytes of a segment: a name and a format version.
pub(crate) const HEAD: [u8; 8] = *b"tclog\0\0\x01";
const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
/// Suffix of a file that is still being written.
pub(crate) const PARTIAL_SUFFIX: &str = ".partial";

pub(crate) fn segment_path(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("{SEGMENT_PREFIX}{number:016}"))
}

pub(crate) fn snapshot_path(dir: &Path, index: u64) -> PathBuf {
    dir.join(format!("{SNAPSHOT_PREFIX}{index:020}"))
}

/// Numbers of the log segments in order.
pub(crate) fn segments(dir: &Path) -> Result<Vec<u64>> {
    numbered(dir, SEGMENT_PREFIX)
}

/// Indexes of the whole snapshots in order.
pub(crate) fn snapshots(dir: &Path) -> Result<Vec<u64>> {
    numbered(dir, SNAPSHOT_PREFIX)
}

fn numbered(dir: &Path, prefix: &str) -> Result<Vec<u64>> {
    let mut numbers: Vec<u64> =
        names(dir)?.iter().filter_map(|name| name.strip_prefix(prefix)?.parse().ok()).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

/// Names of the files in a folder.
pub(crate) fn names(dir: &Path) -> Result<Vec<String>> {
    let fail = |e| Error::io(dir, "list the folder", e);
    fs::read_dir(dir)
        .map_err(fail)?
        .map(|entry| Ok(entry.map_err(fail)?.file_name().to_string_lossy().into_owned()))
        .collect()
}
