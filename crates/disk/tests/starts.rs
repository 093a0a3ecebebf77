//! Starts on a disk that fails or is full: the next start has to complete what a failed one left undone.

mod common;

use common::{FakeDisk, entry};
use disk::Store;

/// Length of a segment that no test fills, in bytes.
const SEGMENT_BYTES: u64 = 1 << 20;

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
