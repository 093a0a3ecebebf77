//! The file operations that may fail, so that tests can make them fail.

use std::{
    fmt,
    fs::{self, File},
    io::{self, Write as _},
    path::Path,
};

/// Writes the whole buffer at the end of a file.
pub type WriteFn = Box<dyn FnMut(&mut File, &Path, &[u8]) -> io::Result<()> + Send>;
/// Makes a file's content, or a folder's list of files, durable.
pub type SyncFn = Box<dyn FnMut(&File, &Path) -> io::Result<()> + Send>;
/// Gives a file a new name, replacing any file of that name.
pub type RenameFn = Box<dyn FnMut(&Path, &Path) -> io::Result<()> + Send>;

/// The file operations that the store depends on.
pub struct Files {
    /// Writes to a file.
    pub write: WriteFn,
    /// Syncs a file or folder.
    pub sync: SyncFn,
    /// Renames a file.
    pub rename: RenameFn,
}

impl Default for Files {
    /// The operating system's own operations.
    fn default() -> Self {
        Self {
            write: Box::new(|f, _, buf| f.write_all(buf)),
            sync: Box::new(|f, _| f.sync_data()),
            rename: Box::new(|from, to| fs::rename(from, to)),
        }
    }
}

impl fmt::Debug for Files {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Files")
    }
}
