//! Failures of a node: it must say that it has stopped, and its folder must be free for the next start.

mod common;

use common::{Cluster, PANIC_COMMAND};
use group::{Handle, StartMode};
use std::{
    io,
    sync::{Arc, Mutex, OnceLock},
    thread,
    time::Duration,
};

/// Time for which a caller that has to wait is watched.
const WATCHED: Duration = Duration::from_millis(200);

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

/// Guards against two nodes that write to one folder: while a node was still writing, a second caller of `stop` was
/// told at once that it had ended, and could open the folder again.
#[test]
fn every_caller_of_stop_waits_until_the_folder_is_closed() {
    let (blocked_tx, blocked) = flume::bounded(1);
    let (release, released) = flume::bounded::<()>(1);
    let mut cluster = Cluster::bootstrap(1, |_| ());
    cluster.stop(1);
    let start = cluster.start_with(1, StartMode::Join, |cfg| {
        let mut writes = 0;
        cfg.store.files.write = Box::new(move |f, _, buf| {
            writes += 1;
            // The first one is that of the start.
            if writes == 2 {
                blocked_tx.send(()).unwrap();
                released.recv().unwrap();
            }
            io::Write::write_all(f, buf)
        });
    });
    start.unwrap();
    let handle = cluster.nodes[&1].handle.clone();
    let ticker = handle.clone();
    let ticking = thread::spawn(move || while ticker.tick().is_ok() {});
    blocked.recv().unwrap();
    let stops: Vec<_> = (0..2)
        .map(|_| {
            let handle = handle.clone();
            thread::spawn(move || handle.stop())
        })
        .collect();
    thread::sleep(WATCHED);
    assert!(stops.iter().all(|stop| !stop.is_finished()), "the node is still writing");
    release.send(()).unwrap();
    stops.into_iter().for_each(|stop| stop.join().unwrap());
    ticking.join().unwrap();
    cluster.start(1, StartMode::Join).unwrap();
}
