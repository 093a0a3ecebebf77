//! The daemon's program.

use eyre::{Result, eyre};
use getopts::Options;
use kernel::SystemClock;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use std::{env, path::Path, process::ExitCode, sync::Arc};
use toucansilld::{Daemon, Settings, logs};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("toucansilld: {err:#}");
            ExitCode::FAILURE
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
        return Err(eyre!("give one settings file; see toucansilld --help"));
    };
    let settings = Settings::load(Path::new(path))?;
    logs::install(&settings.daemon);
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let daemon = Daemon::start(&settings, Arc::new(SystemClock))?;
    log::info!("callers at {}", daemon.callers_address());
    signals.forever().next();
    daemon.stop();
    Ok(())
}
