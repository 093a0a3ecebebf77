//! Scripts of operations and disk faults, in `tests/scripts`.

mod common;

use common::{FakeDisk, entry, paths};
use disk::Store;
use goldenscript::{ArgumentConsumer, Command};
use raft::{HardState, Snapshot, SnapshotMeta};
use std::{error::Error, fs, path::PathBuf, result, str::FromStr, sync::Arc};
use tempfile::TempDir;

type Result<T> = result::Result<T, Box<dyn Error>>;

/// Runs the commands of a script on a store in a temporary folder.
struct Runner {
    dir: TempDir,
    disk: FakeDisk,
    store: Option<Store>,
}

/// Value of the argument `name=value`.
fn key<T: FromStr<Err: Error + 'static>>(
    args: &mut ArgumentConsumer<'_>,
    name: &str,
) -> Result<Option<T>> {
    Ok(args.take_key(name).map(str::parse).transpose()?)
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &goldenscript::Context) -> Result<String> {
        let mut args = command.consume_args();
        let output = match command.name.as_str() {
            "open" => {
                let segment_bytes = key(&mut args, "segment-bytes")?.unwrap_or(1 << 20);
                self.open(segment_bytes)
            }
            "open-again" => match Store::open(self.dir.path()) {
                Ok(_) => "opened twice".into(),
                Err(e) => self.show(&e),
            },
            "close" => {
                self.store = None;
                String::new()
            }
            "claim" => {
                let node = key(&mut args, "node")?.ok_or("node= is missing")?;
                let result = self.store()?.claim(node);
                self.outcome(result)
            }
            "append" => {
                let first: u64 = key(&mut args, "first")?.ok_or("first= is missing")?;
                let last = key(&mut args, "last")?.unwrap_or(first);
                let term = key(&mut args, "term")?.unwrap_or(1);
                let entries: Vec<_> = (first..=last).map(|i| entry(i, term)).collect();
                self.store()?.append(Some(HardState { term, vote: None }), &entries);
                String::new()
            }
            "sync" => {
                let result = self.store()?.sync();
                self.outcome(result)
            }
            "snapshot" => {
                let index = key(&mut args, "index")?.ok_or("index= is missing")?;
                let term = key(&mut args, "term")?.unwrap_or(1);
                let meta = SnapshotMeta { index, term, ..Default::default() };
                let snapshot = Snapshot { meta, data: Arc::new(b"state".to_vec()) };
                let result = self.store()?.save_snapshot(&snapshot);
                self.outcome(result)
            }
            "compact" => {
                let index = key(&mut args, "index")?.ok_or("index= is missing")?;
                let result = self.store()?.compact(index);
                self.outcome(result)
            }
            "room" => {
                self.disk.0.lock().unwrap().room_bytes = key(&mut args, "bytes")?;
                String::new()
            }
            "failing-syncs" => {
                self.disk.0.lock().unwrap().fail_syncs = true;
                String::new()
            }
            "crash" => {
                self.store = None;
                self.disk.crash(self.dir.path(), key(&mut args, "torn-bytes")?.unwrap_or(0));
                String::new()
            }
            "flip" => {
                let name = args.take_key("file").ok_or("file= is missing")?.to_owned();
                self.flip_bit(&name, key(&mut args, "at")?.ok_or("at= is missing")?)?
            }
            "delete" => {
                let name = args.next_pos().ok_or("the name of a file is missing")?;
                fs::remove_file(self.dir.path().join(name))?;
                String::new()
            }
            "files" => self.files()?,
            name => return Err(format!("unknown command {name}").into()),
        };
        args.reject_next()?;
        Ok(output)
    }
}

impl Runner {
    fn store(&mut self) -> Result<&mut Store> {
        Ok(self.store.as_mut().ok_or("the store isn't open")?)
    }

    /// Kind and text of an error, with the path of the folder, which differs in each run, replaced.
    fn show(&self, e: &disk::Error) -> String {
        let kinds = [
            (e.is_full(), "full"),
            (e.is_poisoned(), "poisoned"),
            (e.is_corrupt(), "corrupt"),
            (e.is_locked(), "locked"),
            (e.is_other_node(), "other node"),
        ];
        let kind = kinds.iter().find(|(is, _)| *is).map_or("other", |(_, name)| name);
        let folder = format!("{}", self.dir.path().display());
        format!("{kind}: {}", e.to_string().replace(&folder, "DIR"))
    }

    /// `done`, or the error.
    fn outcome(&self, result: disk::Result<()>) -> String {
        result.map_or_else(|e| self.show(&e), |()| "done".into())
    }

    /// Opens the store and returns a summary of what it recovered.
    fn open(&mut self, segment_bytes: u64) -> String {
        self.store = None;
        match Store::open_with(self.dir.path(), self.disk.options(segment_bytes)) {
            Ok((store, recovered)) => {
                self.store = Some(store);
                let state = recovered.persisted_state;
                let ends = state.entries.first().zip(state.entries.last());
                let ends = ends.map(|(a, b)| format!("{}..={}", a.index, b.index));
                format!(
                    "node {:?}, term {}, snapshot {}, entries {}, cut {} bytes",
                    recovered.node,
                    state.hard_state.term,
                    state.snapshot.meta.index,
                    ends.unwrap_or_else(|| "none".into()),
                    recovered.truncated_bytes
                )
            }
            Err(e) => self.show(&e),
        }
    }

    /// Inverts the lowest bit of the byte at this offset of a file.
    fn flip_bit(&self, name: &str, at: usize) -> Result<String> {
        let path: PathBuf = self.dir.path().join(name);
        let mut buf = fs::read(&path)?;
        *buf.get_mut(at).ok_or("the offset is beyond the end of the file")? ^= 1;
        fs::write(&path, buf)?;
        Ok(String::new())
    }

    /// Names and lengths of all files.
    fn files(&self) -> Result<String> {
        let mut output = String::new();
        for path in paths(self.dir.path()) {
            let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            output.push_str(&format!("{name}: {} bytes\n", fs::metadata(&path)?.len()));
        }
        Ok(output)
    }
}

fn run(name: &str) {
    let dir = tempfile::tempdir().unwrap();
    let mut runner = Runner { dir, disk: FakeDisk::default(), store: None };
    goldenscript::run(&mut runner, format!("tests/scripts/{name}")).expect("the script runs");
}

#[test]
fn disk_full() {
    run("disk_full");
}

#[test]
fn torn_tail() {
    run("torn_tail");
}

#[test]
fn corruption() {
    run("corruption");
}

#[test]
fn ownership() {
    run("ownership");
}

#[test]
fn hard_state() {
    run("hard_state");
}

#[test]
fn compaction() {
    run("compaction");
}
