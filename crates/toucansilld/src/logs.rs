//! Logs as JSON lines.
//!
//! [`install`] writes them to standard error on the caller's thread. [`install_bounded`] writes
//! them to standard output on a thread of its own, so that a slow or stuck reader blocks no
//! caller. Lines above a maximum rate or a maximum queue length are dropped and counted.

use env_logger::{Builder, Env, Target, fmt::Formatter};
use flume::Sender;
use log::{
    Record,
    kv::{Error as KvError, Key, Value, VisitSource},
};
use serde::Serialize;
use serde_json::{Map, Value as Json};
use std::{
    io::{self, Write},
    sync::{
        Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Maximum number of lines queued for the writer.
const MAX_QUEUED_LINES: usize = 2_048;
/// Maximum number of lines in one second: ten times the rate of a daemon at the load of the current
/// sites.
const MAX_LINES_PER_SECOND: u64 = 400;
/// Maximum time to wait for the last lines to be written when a process stops.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// One line of the log.
#[derive(Serialize)]
struct Line<'a> {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    at_ms: u128,
    level: &'a str,
    target: &'a str,
    daemon: &'a str,
    text: String,
    #[serde(flatten)]
    fields: Map<String, Json>,
}

/// Installs the logger. The environment variable `TOUCANSILL_LOG` sets the level, which defaults to
/// `info`.
///
/// A second call in the same process changes nothing.
pub fn install(daemon: &str) {
    install_to(daemon, Target::Stderr);
}

/// Installs the logger like [`install`], with lines written to standard output by a thread of its
/// own. Logging never blocks a caller.
pub fn install_bounded(daemon: &str) {
    let (tx, rx) = flume::bounded::<Message>(MAX_QUEUED_LINES);
    let spawned = thread::Builder::new().name(String::from("logs")).spawn(move || {
        let mut out = io::stdout().lock();
        for message in rx {
            let written = match message {
                Message::Line(line) => out.write_all(&line),
                Message::Flush(done) => {
                    let flushed = out.flush();
                    drop(done);
                    flushed
                }
            };
            if written.is_err() {
                // The reader is gone, so the failure can't be logged either.
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    if spawned.is_ok() && WRITER.set(tx.clone()).is_ok() {
        let window = Mutex::new(RateWindow { start: Instant::now(), lines: 0 });
        install_to(daemon, Target::Pipe(Box::new(BoundedWriter { tx, window })));
    }
}

/// Waits until the lines logged so far are written, at most 200 ms. Returns at once unless
/// [`install_bounded`] was called.
pub fn flush() {
    let Some(tx) = WRITER.get() else { return };
    let (done, written) = flume::bounded::<()>(0);
    if tx.try_send(Message::Flush(done)).is_ok() {
        // The writer drops its end once it has flushed.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Number of lines dropped since the start of the process.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

static DROPPED: AtomicU64 = AtomicU64::new(0);
static WRITER: OnceLock<Sender<Message>> = OnceLock::new();

/// Message to the writer's thread.
enum Message {
    Line(Vec<u8>),
    /// Flushes the output, and then drops the sender.
    Flush(Sender<()>),
}

/// Number of lines in the current second.
struct RateWindow {
    start: Instant,
    lines: u64,
}

/// Passes lines to the writer's thread, within the maximum rate.
struct BoundedWriter {
    tx: Sender<Message>,
    window: Mutex<RateWindow>,
}

impl BoundedWriter {
    /// Counts a line, and returns whether it exceeds the maximum rate.
    fn is_over_rate(&self) -> bool {
        let mut window = crate::sync::lock(&self.window);
        if window.start.elapsed() >= Duration::from_secs(1) {
            *window = RateWindow { start: Instant::now(), lines: 0 };
        }
        window.lines += 1;
        window.lines > MAX_LINES_PER_SECOND
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.is_over_rate() || self.tx.try_send(Message::Line(buf.to_vec())).is_err() {
            let dropped = DROPPED.fetch_add(1, Ordering::Relaxed) + 1;
            metrics::counter!("toucansill_log_lines_dropped_total").absolute(dropped);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn install_to(daemon: &str, target: Target) {
    let daemon = String::from(daemon);
    let env = Env::new().filter_or("TOUCANSILL_LOG", "info");
    let installed = Builder::from_env(env)
        .target(target)
        .format(move |buf, record| write_line(buf, &daemon, record))
        .try_init();
    if installed.is_err() {
        log::debug!("a logger is already installed");
    }
}

/// Writes a record as one line of JSON.
fn write_line(buf: &mut Formatter, daemon: &str, record: &Record<'_>) -> io::Result<()> {
    buf.write_all(&line(daemon, record)?)?;
    buf.write_all(b"\n")
}

/// A record as one line of JSON, without the end of the line.
///
/// # Errors
///
/// Fails if the line can't be serialised.
pub fn line(daemon: &str, record: &Record<'_>) -> io::Result<Vec<u8>> {
    let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields(Map::new());
    if record.key_values().visit(&mut fields).is_err() {
        log::debug!("a field of a log line could not be read");
    }
    let line = Line {
        at_ms: at.as_millis(),
        level: record.level().as_str(),
        target: record.target(),
        daemon,
        text: record.args().to_string(),
        fields: fields.0,
    };
    Ok(serde_json::to_vec(&line)?)
}

/// Collects the key-value pairs of a line.
struct Fields(Map<String, Json>);

impl<'a> VisitSource<'a> for Fields {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), KvError> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => Json::from(number),
            (None, Some(flag)) => Json::from(flag),
            (None, None) => Json::from(value.to_string()),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
