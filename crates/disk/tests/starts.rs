//! Starts on a disk that fails or is full: the next start has to complete what a failed one left undone.

mod common;

use common::{FakeDisk, entry};
use disk::{Files, Store, StoreOptions};
use std::{
    fs::File,
    io,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
};

/// Length of a segment that no test fills, in bytes.
const SEGMENT_BYTES: u64 = 1 << 20;

/// Folders that were synced, in order.
type SyncedFolders = Arc<Mutex<Vec<PathBuf>>>;

/// Settings of a store whose syncs of folders are recorded.
fn recording(synced: &SyncedFolders) -> StoreOptions {
    let synced = Arc::clone(synced);
    let sync_folder = move |_: &File, path: &Path| {
        synced.lock().unwrap().push(path.to_owned());
        Ok(())
    };
    let files = Files { sync_folder: Box::new(sync_folder), ..Files::default() };
    StoreOptions { segment_bytes: SEGMENT_BYTES, files }
}

/// Guards against a data folder that a loss of power removes with all that was synced in it: its first start
/// failed after it had made the folder and before that was durable, and later starts took it for durable.
#[test]
fn a_start_makes_a_folder_durable_that_a_failed_start_has_left() {
    let parent = tempfile::tempdir().unwrap();
    let dir = parent.path().join("group");
    let failing = Files {
        sync_folder: Box::new(|_, _| Err(io::ErrorKind::StorageFull.into())),
        ..Files::default()
    };
    let options = StoreOptions { segment_bytes: SEGMENT_BYTES, files: failing };
    assert!(Store::open_with(&dir, options).unwrap_err().is_full());

    let synced = SyncedFolders::default();
    Store::open_with(&dir, recording(&synced)).unwrap();
    let synced = synced.lock().unwrap();
    assert_eq!(synced.first().map(PathBuf::as_path), Some(parent.path()), "{synced:?}");
}

/// Guards against a start on a full disk that seems to succeed in tests: opening a log writes its last frame
/// again, and a full disk refuses that as well.
#[test]
fn a_start_fails_while_the_disk_is_full_and_changes_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let disk = FakeDisk::default();
    let (mut store, _) = Store::open_with(dir.path(), disk.options(SEGMENT_BYTES)).unwrap();
    store.append(None, &[entry(1, 1), entry(2, 1)]);
    store.sync().unwrap();
    store.append(None, &[entry(3, 1)]);
    disk.0.lock().unwrap().room_bytes = Some(20);
    assert!(store.sync().unwrap_err().is_full());
    drop(store);
    for _ in 0..3 {
        let refused = Store::open_with(dir.path(), disk.options(SEGMENT_BYTES));
        assert!(refused.expect_err("the disk is full").is_full());
    }
    disk.0.lock().unwrap().room_bytes = None;
    let (_, recovered) = Store::open_with(dir.path(), disk.options(SEGMENT_BYTES)).unwrap();
    assert_eq!(recovered.persisted_state.entries, [entry(1, 1), entry(2, 1)]);
}
