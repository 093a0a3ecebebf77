//! Folders of nodes whose ids were generated for them: whether nothing was acknowledged under an id must be known
//! after restarts, and never be claimed wrongly.

mod common;

use common::{FakeDisk, entry, paths};
use disk::{Files, Recovered, Store, StoreOptions};
use raft::{HardState, Snapshot, SnapshotMeta};
use std::{
    fs::{self, File},
    io::{self, Write as _},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
};
use tempfile::TempDir;

/// Length of a segment that no test fills, in bytes.
const SEGMENT_BYTES: u64 = 1 << 20;
const NODE: u64 = 7;
const VOTE: HardState = HardState { term: 3, vote: Some(2) };

fn open(disk: &FakeDisk, dir: &TempDir) -> (Store, Recovered) {
    Store::open_with(dir.path(), disk.options(SEGMENT_BYTES)).unwrap()
}

/// The store of a node with a new id.
fn claimed(disk: &FakeDisk, dir: &TempDir) -> Store {
    let (mut store, recovered) = open(disk, dir);
    assert!(!recovered.is_new);
    assert_eq!(store.claim_new(NODE).unwrap(), HardState { term: 1, vote: None });
    store
}

fn snapshot() -> Snapshot {
    let meta = SnapshotMeta { index: 5, term: 2, ..SnapshotMeta::default() };
    Snapshot { meta, data: Arc::new(b"state".to_vec()) }
}

fn has_mark(dir: &Path) -> bool {
    dir.join("new").exists()
}

/// Guards against a voter without entries that takes its log for lost once its process or its power has failed.
#[test]
fn an_id_stays_new_over_restarts_and_votes() {
    let (disk, dir) = (FakeDisk::default(), tempfile::tempdir().unwrap());
    drop(claimed(&disk, &dir));
    disk.crash(dir.path(), 0);
    for _ in 0..2 {
        let (mut store, recovered) = open(&disk, &dir);
        assert!(recovered.is_new);
        assert_eq!(recovered.node, Some(NODE));
        store.claim(NODE).unwrap();
        store.append(Some(VOTE), &[]);
        store.sync().unwrap();
        drop(store);
        disk.crash(dir.path(), 0);
    }
    let (_, recovered) = open(&disk, &dir);
    assert!(recovered.is_new);
    assert_eq!(recovered.persisted_state.hard_state, VOTE);
}

/// Guards against an id that counts as new after an entry or a snapshot was acknowledged under it.
#[test]
fn an_id_is_not_new_after_an_entry_or_a_snapshot() {
    let writes: [fn(&mut Store); 3] = [
        |store| {
            store.append(None, &[entry(1, 1)]);
            store.sync().unwrap();
        },
        |store| store.install_snapshot(&snapshot()).unwrap(),
        |store| store.save_snapshot(&snapshot()).unwrap(),
    ];
    for write in writes {
        let (disk, dir) = (FakeDisk::default(), tempfile::tempdir().unwrap());
        let mut store = claimed(&disk, &dir);
        assert!(has_mark(dir.path()));
        write(&mut store);
        assert!(!has_mark(dir.path()));
        drop(store);
        disk.crash(dir.path(), 0);
        let (_, recovered) = open(&disk, &dir);
        assert!(!recovered.is_new && !recovered.persisted_state.is_empty());
    }
}

/// Guards against a loss of power that keeps an entry, or part of it, and brings the mark of a new id back.
#[test]
fn the_removal_of_the_mark_is_durable_before_the_first_entry_is_written() {
    let (disk, dir) = (FakeDisk::default(), tempfile::tempdir().unwrap());
    drop(claimed(&disk, &dir));
    // Whether each write, and each sync of the folder, found the mark.
    let seen = Arc::new(Mutex::new(Vec::new()));
    let mut options = disk.options(SEGMENT_BYTES);
    let (at_write, at_sync, folder) = (Arc::clone(&seen), Arc::clone(&seen), dir.path().to_owned());
    options.files.write = Box::new(move |f, path, buf| {
        at_write.lock().unwrap().push(("write", has_mark(path.parent().unwrap())));
        f.write_all(buf)
    });
    options.files.sync_folder = Box::new(move |_: &File, _| {
        at_sync.lock().unwrap().push(("sync of the folder", has_mark(&folder)));
        Ok(())
    });
    let (mut store, recovered) = Store::open_with(dir.path(), options).unwrap();
    assert!(recovered.is_new);
    seen.lock().unwrap().clear();
    store.append(Some(VOTE), &[]);
    store.sync().unwrap();
    store.append(None, &[entry(1, 3)]);
    store.sync().unwrap();
    assert_eq!(
        *seen.lock().unwrap(),
        [("write", true), ("sync of the folder", false), ("write", false)]
    );
}

/// Guards against a first entry that is written, and acknowledged, although the mark may still be there.
#[test]
fn no_entry_is_written_if_the_removal_of_the_mark_fails() {
    let (disk, dir) = (FakeDisk::default(), tempfile::tempdir().unwrap());
    let mut store = claimed(&disk, &dir);
    disk.0.lock().unwrap().fail_syncs = true;
    store.append(None, &[entry(1, 1)]);
    store.sync().unwrap_err();
    assert!(store.is_poisoned());
    drop(store);
    disk.crash(dir.path(), 0);
    // The power failed before the removal was durable.
    File::create(dir.path().join("new")).unwrap();
    let (_, recovered) = open(&disk, &dir);
    assert!(recovered.is_new && recovered.persisted_state.is_empty());
}

/// Guards against a first entry that is lost in a crash after the mark was removed, and an id that counts as new again.
#[test]
fn an_id_is_not_new_if_the_first_entry_did_not_reach_the_disk() {
    let (disk, dir) = (FakeDisk::default(), tempfile::tempdir().unwrap());
    let mut store = claimed(&disk, &dir);
    disk.0.lock().unwrap().room_bytes = Some(5);
    store.append(None, &[entry(1, 1)]);
    store.sync().unwrap_err();
    drop(store);
    disk.crash(dir.path(), 0);
    let (_, recovered) = open(&disk, &dir);
    assert!(!recovered.is_new && recovered.persisted_state.is_empty());
}

/// Guards against a node that votes twice: its log is lost with its vote, and the mark of its new id isn't.
#[test]
fn an_id_is_not_new_once_its_log_is_lost() {
    let losses: [fn(&Path) -> io::Result<()>; 3] = [
        |log| fs::remove_file(log),
        |log| File::create(log).map(drop),
        |log| File::options().write(true).open(log)?.set_len(8),
    ];
    for lose in losses {
        let (disk, dir) = (FakeDisk::default(), tempfile::tempdir().unwrap());
        let mut store = claimed(&disk, &dir);
        store.append(Some(VOTE), &[]);
        store.sync().unwrap();
        drop(store);
        lose(&dir.path().join("log-0000000000000001")).unwrap();
        for _ in 0..2 {
            let (mut store, recovered) = open(&disk, &dir);
            assert!(!recovered.is_new && !has_mark(dir.path()));
            assert_eq!(recovered.node, Some(NODE));
            // A later term doesn't make up for it.
            store.append(Some(VOTE), &[]);
            store.sync().unwrap();
        }
    }
}

/// Guards against a first start that waits for a slow disk more often than it has to: a VM with an empty disk gets its vote
/// only after it.
#[test]
fn a_first_start_syncs_each_file_and_folder_once() {
    let (parent, synced) = (tempfile::tempdir().unwrap(), Arc::new(Mutex::new(Vec::new())));
    let dir = parent.path().join("group");
    let record = |synced: &Arc<Mutex<Vec<PathBuf>>>| {
        let synced = Arc::clone(synced);
        move |_: &File, path: &Path| {
            synced.lock().unwrap().push(path.to_owned());
            Ok(())
        }
    };
    let files = Files {
        sync: Box::new(record(&synced)),
        sync_folder: Box::new(record(&synced)),
        ..Files::default()
    };
    let (mut store, _) =
        Store::open_with(&dir, StoreOptions { segment_bytes: SEGMENT_BYTES, files }).unwrap();
    store.claim_new(NODE).unwrap();
    let log = dir.join("log-0000000000000001");
    let expected = [parent.path().to_owned(), log, dir.join("new"), dir.join("node.partial"), dir];
    assert_eq!(*synced.lock().unwrap(), expected);
}

/// Guards against a log without a durable name: a loss of power removes it with the votes in it.
#[test]
fn a_log_outlasts_a_loss_of_power_with_and_without_an_owner() {
    let claims: [fn(&mut Store); 3] = [
        |_| (),
        |store| store.claim(NODE).unwrap(),
        |store| assert_eq!(store.claim_new(NODE).unwrap().term, 1),
    ];
    // What happens between the first start and the vote: nothing, the end of the process, or a loss of power.
    let befores: [fn(&FakeDisk, &Path); 3] = [|_, _| (), |_, _| (), |disk, dir| disk.crash(dir, 0)];
    let cases = claims.into_iter().flat_map(|claim| (0..befores.len()).map(move |i| (claim, i)));
    for (claim, before) in cases {
        let (disk, dir) = (FakeDisk::default(), tempfile::tempdir().unwrap());
        let (mut store, _) = open(&disk, &dir);
        claim(&mut store);
        if before > 0 {
            drop(store);
            befores[before](&disk, dir.path());
            store = open(&disk, &dir).0;
        }
        store.append(Some(VOTE), &[]);
        store.sync().unwrap();
        drop(store);
        disk.crash(dir.path(), 0);
        assert_eq!(open(&disk, &dir).1.persisted_state.hard_state, VOTE);
    }
}

/// Guards against a first start that fails on its way and leaves an owner whose id isn't known to be new.
#[test]
fn a_first_start_that_fails_at_any_sync_leaves_no_owner_or_a_new_one() {
    let mut owned = 0;
    for allowed in 0.. {
        let (disk, dir) = (FakeDisk::default(), tempfile::tempdir().unwrap());
        let mut options = disk.options(SEGMENT_BYTES);
        let (mut sync, mut sync_folder) = (options.files.sync, options.files.sync_folder);
        let syncs = Arc::new(AtomicUsize::new(0));
        let folder_syncs = Arc::clone(&syncs);
        let check = move |syncs: &AtomicUsize| match syncs.fetch_add(1, Ordering::Relaxed) {
            count if count < allowed => Ok(()),
            _ => Err(io::Error::other("the device failed")),
        };
        options.files.sync = Box::new(move |f, path| {
            check(&syncs)?;
            sync(f, path)
        });
        options.files.sync_folder = Box::new(move |f, path| {
            check(&folder_syncs)?;
            sync_folder(f, path)
        });
        let start = Store::open_with(dir.path(), options)
            .and_then(|(mut store, _)| store.claim_new(NODE).map(drop));
        // The process is killed, and the power stays.
        let (mut store, recovered) = open(&disk, &dir);
        assert!(recovered.node.is_none() || recovered.is_new, "{allowed} syncs");
        owned += usize::from(recovered.node.is_some());
        if recovered.node.is_none() {
            store.claim_new(NODE + 1).unwrap();
            drop(store);
            assert!(open(&disk, &dir).1.is_new);
        }
        if start.is_ok() {
            break;
        }
    }
    assert!(owned > 0);
}

/// Guards against a node with a configured id that counts as new: its disk may have been emptied.
#[test]
fn a_claimed_id_is_never_new() {
    let (disk, dir) = (FakeDisk::default(), tempfile::tempdir().unwrap());
    for _ in 0..2 {
        let (mut store, recovered) = open(&disk, &dir);
        assert!(!recovered.is_new);
        store.claim(NODE).unwrap();
        store.append(Some(VOTE), &[]);
        store.sync().unwrap();
        assert!(!paths(dir.path()).contains(&dir.path().join("new")));
    }
    // What a first start under a generated id has left doesn't make it new either.
    fs::remove_file(dir.path().join("node")).unwrap();
    File::create(dir.path().join("new")).unwrap();
    let (mut store, _) = open(&disk, &dir);
    store.claim(NODE).unwrap();
    drop(store);
    assert!(!open(&disk, &dir).1.is_new);
    // Nor does another claim of the same folder.
    let (mut store, _) = open(&disk, &dir);
    assert!(store.claim_new(NODE + 1).unwrap_err().is_other_node());
    store.claim_new(NODE).unwrap();
    drop(store);
    assert!(!open(&disk, &dir).1.is_new);
}
