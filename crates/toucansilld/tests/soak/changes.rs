//! Operator that publishes documents and reads them at all control daemons of a deployment.

use crate::{
    region::Region,
    world::{lock, publish_version, read_version_within_a_second},
};
use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time within which an acknowledged change must be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Pause between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(150);
/// Pause between two reads of all control daemons, and before a change is sent to the next one.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// What the operator has published and read.
pub(crate) struct Changes {
    pub(crate) controls: Vec<String>,
    /// Acknowledged versions, with the times.
    acknowledged: Mutex<Vec<(Instant, u64)>>,
    /// Last read of each control daemon, with the time at which it was sent.
    pub(crate) reads: Mutex<Vec<Option<(Instant, u64)>>>,
    /// Version after which nothing is published.
    pub(crate) last: AtomicU64,
    violation: Mutex<Option<String>>,
}

impl Changes {
    pub(crate) fn new(region: &Region, count: usize) -> Self {
        let controls = (0..count).map(|i| region.control_address(i)).collect();
        Self {
            controls,
            acknowledged: Mutex::default(),
            reads: Mutex::new(vec![None; count]),
            last: AtomicU64::new(u64::MAX),
            violation: Mutex::default(),
        }
    }

    /// Newest acknowledged version, 0 without one.
    pub(crate) fn newest(&self) -> u64 {
        lock(&self.acknowledged).last().map_or(0, |(_, version)| *version)
    }

    pub(crate) fn check(&self) -> Result<(), String> {
        lock(&self.violation).clone().map_or(Ok(()), Err)
    }

    /// Control daemons that returned at least this version since then.
    pub(crate) fn read_since(&self, since: Instant, version: u64) -> Vec<usize> {
        let reads = lock(&self.reads);
        let is_read =
            |read: &Option<_>| read.is_some_and(|(at, read)| at > since && read >= version);
        (0..reads.len()).filter(|i| is_read(&reads[*i])).collect()
    }

    /// Publishes documents with rising versions, one at a time, at one control daemon after the other.
    pub(crate) fn publish(&self, is_done: &AtomicBool) {
        let (mut turn, mut version) = (0, 1);
        while !is_done.load(Ordering::SeqCst) {
            if publish_version(&self.controls[turn % self.controls.len()], version) {
                lock(&self.acknowledged).push((Instant::now(), version));
                version += 1;
                thread::sleep(CHANGE_INTERVAL);
            } else {
                turn += 1;
                thread::sleep(READ_INTERVAL);
            }
            while version > self.last.load(Ordering::SeqCst) && !is_done.load(Ordering::SeqCst) {
                thread::sleep(READ_INTERVAL);
            }
        }
    }

    /// Reads at one control daemon after the other.
    pub(crate) fn read(&self, is_done: &AtomicBool) {
        while !is_done.load(Ordering::SeqCst) {
            for (i, control) in self.controls.iter().enumerate() {
                let sent = Instant::now();
                let acknowledged = lock(&self.acknowledged);
                let in_force = acknowledged.iter().rev().find(|(at, _)| *at + APPLY_TIME < sent);
                let in_force = in_force.map_or(0, |(_, version)| *version);
                drop(acknowledged);
                let Some(read) = read_version_within_a_second(control) else { continue };
                lock(&self.reads)[i] = Some((sent, read));
                if read < in_force {
                    let text = format!("{i} returned {read} though {in_force} is in force");
                    lock(&self.violation).get_or_insert(text);
                }
            }
            thread::sleep(READ_INTERVAL);
        }
    }
}
