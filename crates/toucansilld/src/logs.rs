//! Logs as JSON lines.
//!
//! [`install`] writes them to standard error on the caller's thread. [`install_bounded`] writes
//! them to standard output on a thread of its own, so that a slow or stuck reader blocks no
//! caller. Lines above a maximum rate or a maximum queue length are dropped and counted, frequent
//! ones first, and a line each second says which: see [`LineBudget`].

pub mod budget;

use crate::sync::lock;
use budget::{Admission, CallSite, LineBudget};
use env_logger::{Builder, Env, Logger, Target, fmt::Formatter};
use flume::{Receiver, RecvTimeoutError, Sender};
use log::{
    Level, Log, Metadata, Record,
    kv::{Error as KvError, Key, Value, VisitSource},
};
use serde::Serialize;
use serde_json::{Map, Value as Json};
use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Interval at which the writer looks for lines that were left out, while there are no others.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(250);
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
    let daemon = String::from(daemon);
    let installed = builder()
        .target(Target::Stderr)
        .format(move |buf, record| write_line(buf, &daemon, record))
        .try_init();
    if installed.is_err() {
        log::debug!("a logger is already installed");
    }
}

/// Installs the logger like [`install`], with lines written to standard output by a thread of its
/// own. Logging never blocks a caller.
pub fn install_bounded(daemon: &str) {
    // The budget bounds the number of lines in the channel.
    let (tx, rx) = flume::unbounded::<Message>();
    let budget = Arc::new(Mutex::new(LineBudget::new(Instant::now())));
    let writer = Writer { daemon: String::from(daemon), rx, budget: Arc::clone(&budget) };
    let spawned = thread::Builder::new().name(String::from("logs")).spawn(move || writer.run());
    if spawned.is_err() || WRITER.set(tx.clone()).is_err() {
        return;
    }
    let filter = builder().build();
    let max_level = filter.filter();
    let logger = BoundedLogger { filter, daemon: String::from(daemon), tx, budget };
    match log::set_boxed_logger(Box::new(logger)) {
        Ok(()) => log::set_max_level(max_level),
        Err(_) => log::debug!("a logger is already installed"),
    }
}

/// Builder of a logger with the level that the environment sets.
fn builder() -> Builder {
    Builder::from_env(Env::new().filter_or("TOUCANSILL_LOG", "info"))
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

/// Counts a line that isn't written.
fn count_dropped() {
    let dropped = DROPPED.fetch_add(1, Ordering::Relaxed) + 1;
    metrics::counter!("toucansill_log_lines_dropped_total").absolute(dropped);
}

/// Message to the writer's thread.
enum Message {
    Line(CallSite, Vec<u8>),
    /// Flushes the output, and then drops the sender.
    Flush(Sender<()>),
}

/// Writes lines to standard output.
struct Writer {
    daemon: String,
    rx: Receiver<Message>,
    budget: Arc<Mutex<LineBudget>>,
}

impl Writer {
    fn run(self) {
        let mut out = io::stdout().lock();
        loop {
            let written = match self.rx.recv_timeout(REPORT_CHECK_INTERVAL) {
                Ok(Message::Line(site, line)) => {
                    let written = out.write_all(&line);
                    lock(&self.budget).written(site);
                    written
                }
                Ok(Message::Flush(done)) => {
                    let report = lock(&self.budget).report(Instant::now());
                    let flushed = self.write_report(&mut out, report).and_then(|()| out.flush());
                    drop(done);
                    flushed
                }
                Err(RecvTimeoutError::Timeout) => Ok(()),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let report = lock(&self.budget).due_report(Instant::now());
            if written.and_then(|()| self.write_report(&mut out, report)).is_err() {
                // The reader is gone, so the failure can't be logged either.
                count_dropped();
            }
        }
    }

    /// Writes the line that says which others were left out.
    fn write_report(&self, out: &mut impl Write, report: Option<String>) -> io::Result<()> {
        let Some(text) = report else { return Ok(()) };
        let record = Record::builder().level(Level::Warn).target(module_path!()).build();
        out.write_all(&line_with(&self.daemon, &record, text)?)?;
        out.write_all(b"\n")
    }
}

/// Passes lines to the writer's thread, within the bounds of the log.
struct BoundedLogger {
    /// Decides which records are logged.
    filter: Logger,
    daemon: String,
    tx: Sender<Message>,
    budget: Arc<Mutex<LineBudget>>,
}

impl Log for BoundedLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.filter.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.filter.matches(record) {
            return;
        }
        let site = CallSite::of(record);
        let admission = lock(&self.budget).admit(Instant::now(), site);
        match admission {
            Admission::Queued => {}
            Admission::LeftOut { is_first } => {
                if is_first {
                    // Values may log as they are formatted.
                    let text = record.args().to_string();
                    lock(&self.budget).describe(site, record.level(), &text);
                }
                return count_dropped();
            }
        }
        let sent = line(&self.daemon, record).map(|mut line| {
            line.push(b'\n');
            self.tx.send(Message::Line(site, line))
        });
        if !matches!(sent, Ok(Ok(()))) {
            lock(&self.budget).written(site);
            count_dropped();
        }
    }

    fn flush(&self) {}
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
    line_with(daemon, record, record.args().to_string())
}

/// As [`line`], with this text.
fn line_with(daemon: &str, record: &Record<'_>, text: String) -> io::Result<Vec<u8>> {
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
        text,
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
