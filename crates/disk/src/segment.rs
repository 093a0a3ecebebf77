//! Names of the files in a data folder, and the header of a log segment.

use crate::error::{Error, Result};
use std::{
    fs,
    path::{Path, PathBuf},
};

/// First bytes of a segment: a name and the version of the format.
pub(crate) const SEGMENT_HEADER: [u8; 8] = *b"tclog\0\0\x01";
const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
/// Suffix of a file that is being written and will be renamed when it is synced.
pub(crate) const PARTIAL_SUFFIX: &str = ".partial";

/// Path of the log segment with this number.
pub(crate) fn segment_path(dir: &Path, number: u64) -> PathBuf {
    dir.join(format!("{SEGMENT_PREFIX}{number:016}"))
}

/// Path of the snapshot that ends at this log index.
pub(crate) fn snapshot_path(dir: &Path, index: u64) -> PathBuf {
    dir.join(format!("{SNAPSHOT_PREFIX}{index:020}"))
}

/// Numbers of the log segments, in ascending order.
pub(crate) fn segment_numbers(dir: &Path) -> Result<Vec<u64>> {
    numbers_of(dir, SEGMENT_PREFIX)
}

/// Log indexes at which the complete snapshots end, in ascending order.
pub(crate) fn snapshot_indexes(dir: &Path) -> Result<Vec<u64>> {
    numbers_of(dir, SNAPSHOT_PREFIX)
}

/// Numbers that follow this prefix in the names of files, in ascending order.
fn numbers_of(dir: &Path, prefix: &str) -> Result<Vec<u64>> {
    let mut numbers: Vec<u64> = file_names(dir)?
        .iter()
        .filter_map(|name| name.strip_prefix(prefix)?.parse().ok())
        .collect();
    numbers.sort_unstable();
    Ok(numbers)
}

/// Names of the files in a folder.
pub(crate) fn file_names(dir: &Path) -> Result<Vec<String>> {
    let fail = |e| Error::io(dir, "list the folder", e);
    fs::read_dir(dir)
        .map_err(fail)?
        .map(|entry| Ok(entry.map_err(fail)?.file_name().to_string_lossy().into_owned()))
        .collect()
}
