//! Scripted faults of the disk.

mod common;

use common::{FakeDisk, entry, paths};
use disk::Store;
use goldenscript::{ArgumentConsumer, Command};
use raft::{HardState, Snapshot, SnapshotMeta};
use std::{error::Error, fs, path::PathBuf, result, str::FromStr, sync::Arc};
use tempfile::TempDir;

type Result<T> = result::Result<T, Box<dyn Error>>;

struct Runner {
    dir: TempDir,
    disk: FakeDisk,
    store: Option<Store>,
}

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
                let node = key(&mut args, "node")?.ok_or("which node?")?;
                let result = self.store()?.claim(node);
                self.outcome(result)
            }
            "append" => {
                let first: u64 = key(&mut args, "first")?.ok_or("which entry?")?;
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
                let index = key(&mut args, "index")?.ok_or("at which entry?")?;
                let term = key(&mut args, "term")?.unwrap_or(1);
                let meta = SnapshotMeta { index, term, ..Default::default() };
                let snapshot = Snapshot { meta, data: Arc::new(b"state".to_vec()) };
                let result = self.store()?.save_snapshot(&snapshot);
                self.outcome(result)
            }
            "compact" => {
                let index = key(&mut args, "index")?.ok_or("up to which entry?")?;
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
                let name = args.take_key("file").ok_or("which file?")?.to_owned();
                self.flip(&name, key(&mut args, "at")?.ok_or("which byte?")?)?
            }
            "delete" => {
                let name = args.next_pos().ok_or("which file?")?;
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

    /// An error's text without the folder, which differs from run to run.
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

    fn outcome(&self, result: disk::Result<()>) -> String {
        result.map_or_else(|e| self.show(&e), |()| "done".into())
    }

    fn open(&mut self, segment_bytes: u64) -> String {
        self.store = None;
        match Store::open_with(self.dir.path(), self.disk.options(segment_bytes)) {
            Ok((store, recovered)) => {
                self.store = Some(store);
                let restored = recovered.persisted_state;
                let ends = restored.entries.first().zip(restored.entries.last());
                let ends = ends.map(|(a, b)| format!("{}..={}", a.index, b.index));
                format!(
                    "node {:?}, term {}, snapshot {}, entries {}, cut {} bytes",
                    recovered.node,
                    restored.hard_state.term,
                    restored.snapshot.meta.index,
                    ends.unwrap_or_else(|| "none".into()),
                    recovered.truncated_bytes
                )
            }
            Err(e) => self.show(&e),
        }
    }

    fn flip(&self, name: &str, at: usize) -> Result<String> {
        let path: PathBuf = self.dir.path().join(name);
        let mut buf = fs::read(&path)?;
        *buf.get_mut(at).ok_or("beyond the end")? ^= 1;
        fs::write(&path, buf)?;
        Ok(String::new())
    }

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
