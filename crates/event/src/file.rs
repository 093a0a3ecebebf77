//! JSON lines with bounded rotation.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, BufWriter, Write},
    path::{Path, PathBuf},
};

/// A file of lines, moved aside when it is full. The newest file keeps its
/// name, older ones are numbered from 1.
pub(crate) struct RotatingFile {
    path: PathBuf,
    max_bytes: u64,
    /// Files kept beside the newest one.
    old_files: usize,
    bytes: u64,
    writer: BufWriter<File>,
}

impl RotatingFile {
    pub(crate) fn open(path: &Path, max_bytes: u64, old_files: usize) -> io::Result<Self> {
        let file = append(path)?;
        let bytes = file.metadata()?.len();
        let mut writer = BufWriter::new(file);
        // A line cut by a crash must not run into the next one.
        if bytes > 0 {
            writer.write_all(b"\n")?;
        }
        Ok(Self { path: path.to_owned(), max_bytes, old_files, bytes, writer })
    }

    /// Writes one line, to a new file if this one is full.
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

    pub(crate) fn flush(&mut self) -> io::Result<()> {
        self.writer.flush()
    }

    fn rotate(&mut self) -> io::Result<()> {
        self.writer.flush()?;
        match self.old_files {
            0 => fs::remove_file(&self.path)?,
            n => {
                (1..n).rev().try_for_each(|i| {
                    move_if_there(&numbered(&self.path, i), &numbered(&self.path, i + 1))
                })?;
                fs::rename(&self.path, numbered(&self.path, 1))?;
            }
        }
        self.writer = BufWriter::new(append(&self.path)?);
        self.bytes = 0;
        Ok(())
    }
}

fn append(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}

fn numbered(path: &Path, number: usize) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{number}"));
    PathBuf::from(name)
}

fn move_if_there(from: &Path, to: &Path) -> io::Result<()> {
    match fs::rename(from, to) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
        result => result,
    }
}
