//! Daemons and stand-in engines in this process, for `demo`, `bench` and `replay`.

use crate::cli::Result;
use eyre::eyre;
use fake::{Announcer, Engine, EngineConfig};
use kernel::SystemClock;
use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use tempfile::TempDir;
use toucansilld::{
    Daemon, Settings,
    local::{self, API_KEY, LocalConfig, OPERATOR_TOKEN},
};

/// Longest wait until all daemons are ready.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Daemons of one region with their files, and stand-in engines.
pub(crate) struct Fleet {
    dir: TempDir,
    daemons: Vec<Daemon>,
    engines: Vec<(Arc<Engine>, Announcer)>,
}

impl Fleet {
    /// Starts the daemons and waits until each is ready, that is, has a lease.
    pub(crate) fn start(cfg: &LocalConfig) -> Result<Self> {
        let dir = TempDir::new()?;
        let files = local::prepare(dir.path(), cfg)?;
        let started: Result<Vec<Daemon>> = files
            .iter()
            .map(|file| Ok(Daemon::start(&Settings::load(file)?, Arc::new(SystemClock))?))
            .collect();
        let fleet = Self { dir, daemons: started?, engines: Vec::new() };
        fleet.await_all(is_ready)?;
        Ok(fleet)
    }

    /// Folder with the files of the fleet; removed with it.
    pub(crate) fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Addresses of the daemons' HTTP interface for callers.
    pub(crate) fn callers_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(Daemon::callers_address).collect()
    }

    /// Address of the first daemon's HTTP interface for operators.
    pub(crate) fn operators_address(&self) -> SocketAddr {
        self.daemons[0].operators_address()
    }

    /// Starts a stand-in engine that announces itself to one daemon. Engines are spread over the
    /// daemons in turn.
    pub(crate) fn add_engine(&mut self, cfg: EngineConfig) -> Result<Arc<Engine>> {
        let engine = Arc::new(Engine::start(cfg)?);
        let source = Arc::clone(&engine);
        let daemon = &self.daemons[self.engines.len() % self.daemons.len()];
        let address = daemon.callers_address().to_string();
        let announcer = Announcer::start(address, move || Some(source.announcement()));
        self.engines.push((Arc::clone(&engine), announcer));
        Ok(engine)
    }

    /// Applies a sheet through the first daemon.
    pub(crate) fn apply(&self, csv: &str) -> Result<()> {
        let url = format!("http://{}/sheet/apply?operator=fleet", self.operators_address());
        let res = minreq::post(url)
            .with_header("Authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .with_body(csv)
            .send()?;
        match res.status_code {
            200 => Ok(()),
            _ => Err(eyre!("the daemon refused the sheet: {}", res.as_str()?)),
        }
    }

    /// Waits until each daemon lists `model`, which it does once an upstream serves it.
    pub(crate) fn await_model(&self, model: &str) -> Result<()> {
        self.await_all(|address| {
            let url = format!("http://{address}/v1/models");
            let res =
                minreq::get(url).with_header("Authorization", format!("Bearer {API_KEY}")).send();
            res.is_ok_and(|res| res.as_str().is_ok_and(|body| body.contains(model)))
        })
    }

    /// Polls `is_done` for each daemon until it holds.
    fn await_all(&self, is_done: impl Fn(SocketAddr) -> bool) -> Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        for address in self.callers_addresses() {
            while !is_done(address) {
                if Instant::now() >= until {
                    return Err(eyre!(
                        "daemon at {address} was not ready within {START_TIMEOUT:?}"
                    ));
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(())
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let res = minreq::get(format!("http://{address}/readyz")).send();
    res.is_ok_and(|res| res.status_code == 200)
}
