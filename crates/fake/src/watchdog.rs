//! Ends a test that hangs.

use flume::{RecvTimeoutError, Sender};
use std::{process, thread, time::Duration};

/// Several times as long as any test takes.
const LIMIT: Duration = Duration::from_secs(120);
/// Status of a test process that failed.
const FAILED: i32 = 101;

/// Ends the process with a message if it is not dropped in time, for tests in which broken
/// code waits for ever instead of failing.
///
/// ```
/// let _watchdog = fake::Watchdog::start("a_test");
/// ```
#[derive(Debug)]
pub struct Watchdog(#[allow(dead_code, reason = "dropped, it ends the watch")] Sender<()>);

impl Watchdog {
    /// Watches the test of that name from now on.
    pub fn start(test: &str) -> Self {
        let test = test.to_owned();
        let (tx, rx) = flume::bounded(0);
        thread::spawn(move || {
            if rx.recv_timeout(LIMIT) == Err(RecvTimeoutError::Timeout) {
                eprintln!("{test} FAILED: it hangs");
                process::exit(FAILED);
            }
        });
        Self(tx)
    }
}
