//! Time limit for a test that may hang.

use flume::{RecvTimeoutError, Sender};
use std::{process, thread, time::Duration};

/// Time limit, several times as long as any test takes.
const LIMIT: Duration = Duration::from_secs(120);
/// Exit status of a test process that failed.
const FAILED_STATUS: i32 = 101;

/// Ends the process with a message if it is not dropped within two minutes. It is for tests in
/// which a fault would make the code wait for ever instead of failing.
///
/// ```
/// let _watchdog = fake::Watchdog::start("a_test");
/// ```
#[derive(Debug)]
pub struct Watchdog(#[allow(dead_code, reason = "dropping it ends the watch")] Sender<()>);

impl Watchdog {
    /// Starts the time limit of the test of this name.
    pub fn start(test: &str) -> Self {
        let test = test.to_owned();
        let (tx, rx) = flume::bounded(0);
        thread::spawn(move || {
            if rx.recv_timeout(LIMIT) == Err(RecvTimeoutError::Timeout) {
                eprintln!("{test} FAILED: it did not end within {LIMIT:?}");
                process::exit(FAILED_STATUS);
            }
        });
        Self(tx)
    }
}
