//! The file operations of the store, which tests replace to inject faults.

use std::{
    fmt,
    fs::{self, File},
    io::{self, Write as _},
    path::Path,
};

/// Writes the whole buffer at the current position of a file, whose path is given too.
pub type WriteFn = Box<dyn FnMut(&mut File, &Path, &[u8]) -> io::Result<()> + Send>;
/// Makes the content of a file, or the names of the files in a folder, durable.
pub type SyncFn = Box<dyn FnMut(&File, &Path) -> io::Result<()> + Send>;
/// Renames a file from the first path to the second, replacing any file there.
pub type RenameFn = Box<dyn FnMut(&Path, &Path) -> io::Result<()> + Send>;

/// File operations on which the durability of the store depends.
pub struct Files {
    /// Writes to a file. The store writes at the end, and at its start the last frame of the log again.
    pub write: WriteFn,
    /// Syncs the content of a file.
    pub sync: SyncFn,
    /// Syncs the names in a folder: files that were created, renamed or removed.
    pub sync_folder: SyncFn,
    /// Renames a file.
    pub rename: RenameFn,
}

impl Default for Files {
    /// The operations of the operating system.
    fn default() -> Self {
        Self {
            write: Box::new(|f, _, buf| f.write_all(buf)),
            sync: Box::new(|f, _| f.sync_data()),
            // A sync of the data alone needn't make names durable.
            sync_folder: Box::new(|f, _| f.sync_all()),
            rename: Box::new(|from, to| fs::rename(from, to)),
        }
    }
}

impl fmt::Debug for Files {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Files")
    }
}
