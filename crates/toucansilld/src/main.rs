//! The daemon's program: loads the settings, starts a daemon, and drains it on a signal.

use eyre::{Result, eyre};
use getopts::Options;
use kernel::SystemClock;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use std::{env, path::Path, process::ExitCode, sync::Arc, time::Duration};
use toucansilld::{
    Daemon, Settings,
    gateway::{self, GatewaySettings},
    logs,
};

/// Time between checks for signals.
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("toucansilld: {err:#}");
            ExitCode::FAILURE
        }
    }
}

/// Waits for SIGTERM, SIGINT or an operator's drain request.
fn await_stop_request(signals: &mut Signals, drain_requested: &flume::Receiver<()>) {
    loop {
        if signals.pending().next().is_some() {
            return;
        }
        if drain_requested.recv_timeout(SIGNAL_CHECK_INTERVAL).is_ok() {
            return;
        }
    }
}

fn run() -> Result<()> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    let matches = options.parse(env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: toucansilld SETTINGS.yaml"));
        return Ok(());
    }
    let [path] = matches.free.as_slice() else {
        return Err(eyre!("expected one settings file; see toucansilld --help"));
    };
    let path = Path::new(path);
    if GatewaySettings::is_gateway(path) {
        return Ok(gateway::run(path)?);
    }
    let settings = Settings::load(path)?;
    logs::install(&settings.daemon);
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let daemon = Daemon::start(&settings, Arc::new(SystemClock))?;
    log::info!(
        "listening for callers at {}, operators at {}, links at {}",
        daemon.callers_address(),
        daemon.operators_address(),
        daemon.links_address()
    );
    await_stop_request(&mut signals, &daemon.drain_requested());
    daemon.drain();
    Ok(())
}
