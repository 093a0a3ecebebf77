//! Logs as JSON lines on standard error.

use env_logger::{Builder, Env, fmt::Formatter};
use log::Record;
use serde::Serialize;
use std::{
    io::{self, Write},
    time::{SystemTime, UNIX_EPOCH},
};

/// One line of the log.
#[derive(Serialize)]
struct Line<'a> {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    at_ms: u128,
    level: &'a str,
    target: &'a str,
    daemon: &'a str,
    text: String,
}

/// Installs the logger. The level comes from `TOUCANSILL_LOG`, `info` without it.
///
/// A second call in the same process changes nothing.
pub fn install(daemon: &str) {
    let daemon = String::from(daemon);
    let env = Env::new().filter_or("TOUCANSILL_LOG", "info");
    let installed = Builder::from_env(env)
        .format(move |buf, record| write_line(buf, &daemon, record))
        .try_init();
    if installed.is_err() {
        log::debug!("a logger is installed already");
    }
}

fn write_line(buf: &mut Formatter, daemon: &str, record: &Record<'_>) -> io::Result<()> {
    let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let line = Line {
        at_ms: at.as_millis(),
        level: record.level().as_str(),
        target: record.target(),
        daemon,
        text: record.args().to_string(),
    };
    serde_json::to_writer(&mut *buf, &line)?;
    buf.write_all(b"\n")
}
