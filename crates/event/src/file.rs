//! Line-based file that is rotated by size.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, BufWriter, Write},
    path::{Path, PathBuf},
};

/// A file of lines, which is rotated when it is full. The current file keeps its name; rotated
/// files get a number as suffix, and the highest number is the oldest file.
pub(crate) struct RotatingFile {
    path: PathBuf,
    /// Size beyond which a line goes to a new file.
    max_bytes: u64,
    /// Number of rotated files kept in addition to the current one.
    old_files: usize,
    /// Size of the current file, including what the writer still buffers.
    bytes: u64,
    writer: BufWriter<File>,
}

impl RotatingFile {
    /// Opens the file for appending and creates it if it doesn't exist.
    pub(crate) fn open(path: &Path, max_bytes: u64, old_files: usize) -> io::Result<Self> {
        let file = open_for_append(path)?;
        let bytes = file.metadata()?.len();
        let mut writer = BufWriter::new(file);
        // A crash may have cut the last line short. The newline keeps the next event off that line;
        // after a whole line it leaves an empty line, which readers skip.
        if bytes > 0 {
            writer.write_all(b"\n")?;
        }
        Ok(Self { path: path.to_owned(), max_bytes, old_files, bytes, writer })
    }

    /// Appends a line and a newline to the write buffer. If the line would exceed the maximum size,
    /// the file is rotated first; a file holds at least one line, however long it is.
    pub(crate) fn write_line(&mut self, line: &str) -> io::Result<()> {
        let length = line.len() as u64 + 1;
        if self.bytes > 0 && self.bytes + length > self.max_bytes {
            self.rotate()?;
        }
        self.writer.write_all(line.as_bytes())?;
        self.writer.write_all(b"\n")?;
        self.bytes += length;
        Ok(())
    }

    /// Passes buffered lines to the operating system, without syncing them to the disk.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        self.writer.flush()
    }

    /// Renames each file to the next higher number, which overwrites the oldest, and starts an
    /// empty current file.
    fn rotate(&mut self) -> io::Result<()> {
        self.writer.flush()?;
        match self.old_files {
            0 => fs::remove_file(&self.path)?,
            n => {
                (1..n).rev().try_for_each(|i| {
                    rename_if_exists(&rotated_path(&self.path, i), &rotated_path(&self.path, i + 1))
                })?;
                fs::rename(&self.path, rotated_path(&self.path, 1))?;
            }
        }
        self.writer = BufWriter::new(open_for_append(&self.path)?);
        self.bytes = 0;
        Ok(())
    }
}

fn open_for_append(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}

/// Path of a rotated file: the path of the current one with the suffix `.number`.
fn rotated_path(path: &Path, number: usize) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{number}"));
    PathBuf::from(name)
}

fn rename_if_exists(from: &Path, to: &Path) -> io::Result<()> {
    match fs::rename(from, to) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
        result => result,
    }
}
