//! Failures of a node: it must say that it has stopped, and its folder must be free for the next start.

mod common;

use common::{Cluster, PANIC_COMMAND};
use group::{Handle, StartMode};
use std::{
    io,
    sync::{Arc, Mutex, OnceLock},
};

/// Guards against a node whose thread has panicked and that goes on for good as a member in the eyes of its
/// daemon: the daemon refused every request, and its process didn't end.
#[test]
fn a_node_whose_thread_panics_reports_a_failure() {
    let mut cluster = Cluster::bootstrap(1, |_| ());
    cluster.elect();
    cluster.propose("a").unwrap();
    let pending = cluster.submit(1, PANIC_COMMAND);
    let failure = |cluster: &Cluster| cluster.nodes[&1].handle.status().failure;
    cluster.until("a failure", |cluster| failure(cluster).is_some());
    assert!(pending.wait().is_err_and(|e| e.is_unknown()));
    let status = cluster.nodes[&1].handle.status();
    assert!(!status.is_leader(), "{status:?}");
}

/// Notes whether a node had reported its failure when its store was closed.
struct Witness {
    handle: Arc<OnceLock<Handle>>,
    had_failed: Arc<Mutex<Option<bool>>>,
}

impl Drop for Witness {
    fn drop(&mut self) {
        let failed = self.handle.get().map(|handle| handle.status().failure.is_some());
        *self.had_failed.lock().unwrap() = failed;
    }
}

/// Guards against a daemon that starts its voter again as soon as it has failed, and finds the folder locked
/// by the one that has.
#[test]
fn a_node_reports_a_failure_of_its_disk_once_its_folder_is_closed() {
    let (handle, had_failed) = (Arc::<OnceLock<Handle>>::default(), Arc::default());
    let witness = Witness { handle: Arc::clone(&handle), had_failed: Arc::clone(&had_failed) };
    let mut cluster = Cluster::bootstrap(1, |_| ());
    cluster.stop(1);
    let start = cluster.start_with(1, StartMode::Join, |cfg| {
        let mut writes = 0;
        cfg.store.files.write = Box::new(move |f, _, buf| {
            let _ = &witness;
            writes += 1;
            // The first one is that of the start.
            match writes {
                1 => io::Write::write_all(f, buf),
                _ => Err(io::ErrorKind::StorageFull.into()),
            }
        });
    });
    start.unwrap();
    handle.set(cluster.nodes[&1].handle.clone()).ok().unwrap();
    cluster.until("a failure", |cluster| cluster.nodes[&1].handle.status().failure.is_some());
    assert_eq!(*had_failed.lock().unwrap(), Some(false), "reported before the folder was closed");
    cluster.start(1, StartMode::Join).unwrap();
    cluster.elect();
}
