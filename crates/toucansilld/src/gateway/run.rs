//! Runs a gateway daemon in this process, again and again until a signal stops it.

use super::{
    daemon::{Run, Signals, StopCause, run_daemon},
    settings::GatewaySettings,
};
use crate::{
    error::{Error, Result},
    logs,
};
use proxy::Connector;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    flag,
};
use std::{
    panic,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use tokio::runtime::Builder;

/// Maximum number of threads for blocking work, which waits for the disk or for other voters.
const MAX_BLOCKING_THREADS: usize = 16;
/// Pause before a daemon starts anew within its process.
const RESTART_PAUSE: Duration = Duration::from_millis(200);
/// Longest such pause, after runs that all ended soon.
const MAX_RESTART_PAUSE: Duration = Duration::from_millis(3_200);
/// Time after which a run that ends is taken for a success, and the next pause is short.
const LASTING_RUN: Duration = Duration::from_secs(10);
/// Interval at which it is checked meanwhile whether the process is to stop.
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time for which a daemon that starts anew waits for its former blocking work.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs a gateway daemon with the settings in the file at `path`, until a signal stops it.
///
/// A daemon whose id in the control group can't be used any more, or whose voter has failed, starts anew within the
/// process: how soon a process is started again is not up to the daemon. While its disk can't be used, for example
/// because it is full, the daemon tries again five times a second.
///
/// # Errors
///
/// Fails if a setting is invalid, or a part of the daemon can't be started for the first time; the error names it.
pub fn run(path: &Path) -> Result<()> {
    run_with(path, Connector::direct())
}

/// Like [`run`], with connections to upstreams and to other daemons made by `connector`.
///
/// # Errors
///
/// As for [`run`].
pub fn run_with(path: &Path, connector: Connector) -> Result<()> {
    // Before anything that takes time: without a handler, a signal ends the process. The runtimes have handlers of
    // their own, which miss signals that come between two of them.
    let stop_signal = StopSignal::listen()?;
    let mut settings = GatewaySettings::load(path)?;
    logs::install_bounded(&settings.daemon);
    log_panics();
    let mut has_started = false;
    let mut pause = RESTART_PAUSE;
    let stopped = loop {
        let started = Instant::now();
        let ended = run_once(path, &settings, connector.clone(), &stop_signal, &mut has_started);
        let is_disk_fault = ended.as_ref().is_err_and(Error::is_disk);
        match ended {
            Ok(StopCause::Signal) => break Ok(()),
            Ok(StopCause::Task(end)) => log::warn!("this daemon starts anew: {end}"),
            Err(err) if has_started || err.is_disk() => log::error!("not started: {err}"),
            Err(err) => break Err(err),
        }
        // A fault that each start meets again is tried less and less often; a disk has room again at any moment.
        let is_repeated = started.elapsed() < LASTING_RUN && !is_disk_fault;
        if stop_signal.is_received_within(pause) {
            break Ok(());
        }
        pause = if is_repeated { MAX_RESTART_PAUSE.min(pause * 2) } else { RESTART_PAUSE };
        settings = restart_settings(path, settings, has_started);
    };
    match &stopped {
        Ok(()) => log::info!("stopped"),
        Err(err) => log::error!("stopped: {err}"),
    }
    logs::flush();
    stopped
}

/// Has panics of all threads logged, besides what is done with them otherwise.
fn log_panics() {
    let default = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        log::error!("panic: {info}");
        default(info);
    }));
}

/// Settings for the next start within the process. The seeds may have changed since the last one.
fn restart_settings(path: &Path, former: GatewaySettings, has_started: bool) -> GatewaySettings {
    let mut settings = GatewaySettings::load(path).unwrap_or_else(|err| {
        log::error!("settings not read again; the former ones stay in use: {err}");
        former
    });
    // The file may be that of the region's first start. A group must not be founded twice.
    if let Some(control) = &mut settings.control {
        control.founds_group &= !has_started;
    }
    settings
}

/// Runs the daemon on a runtime of its own, so that nothing of it is left when it ends. `has_started` is set
/// once all of its parts run.
fn run_once(
    path: &Path,
    settings: &GatewaySettings,
    connector: Connector,
    stop_signal: &StopSignal,
    has_started: &mut bool,
) -> Result<StopCause> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(MAX_BLOCKING_THREADS)
        .build()
        .map_err(|err| Error::start("runtime", err))?;
    let signals = {
        let _runtime = runtime.enter();
        Signals::listen()?
    };
    if stop_signal.is_received() {
        return Ok(StopCause::Signal);
    }
    log::info!(
        entry = settings.entry.is_some(), control = settings.control.is_some(),
        data_centre = settings.data_centre.as_str(); "starting"
    );
    let settings = Arc::new(settings.clone());
    let mut run = Run::default();
    let ended = runtime.block_on(run_daemon(path, settings, connector, signals, &mut run));
    *has_started |= run.has_started;
    match ended {
        Ok(StopCause::Signal) => runtime.shutdown_background(),
        _ => {
            runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
            // Blocking work may still refer to it, and the lock of the folder may have no effect.
            if let Some(voter) = run.voter {
                voter.stop();
            }
        }
    }
    ended
}

/// Whether the process was told to stop, at any time. SIGHUP has a handler as well: a start reads the settings
/// anyway.
struct StopSignal(Arc<AtomicBool>);

impl StopSignal {
    /// Starts to listen.
    fn listen() -> Result<Self> {
        let is_received = Arc::new(AtomicBool::new(false));
        let fault = |err| Error::start("signals", err);
        for signal in [SIGTERM, SIGINT] {
            flag::register(signal, Arc::clone(&is_received)).map_err(fault)?;
        }
        flag::register(SIGHUP, Arc::default()).map_err(fault)?;
        Ok(Self(is_received))
    }

    fn is_received(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }

    /// Waits for this time at most.
    fn is_received_within(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while !self.is_received() && Instant::now() < until {
            thread::sleep(SIGNAL_CHECK_INTERVAL);
        }
        self.is_received()
    }
}
