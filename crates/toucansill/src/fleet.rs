//! Daemons and stand-ins in this process, for `demo` and `bench`.

use crate::cli::Result;
use fake::{Announcer, Engine, EngineConfig};
use kernel::SystemClock;
use std::{
    fs::{self, OpenOptions},
    io::Write,
    net::{SocketAddr, TcpListener},
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};
use tempfile::TempDir;
use toucansilld::{Daemon, Settings};

/// API key of the fleet's one organisation.
pub(crate) const API_KEY: &str = "demo-key-of-an-organisation";
/// Token of the fleet's operators.
pub(crate) const OPERATOR_TOKEN: &str = "demo-token-of-operators";
/// Longest wait until the fleet serves.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub(crate) struct FleetConfig {
    /// Daemons; the first ones, up to three, are voters.
    pub(crate) daemons: usize,
    /// Data centres, over which daemons and upstreams are spread in turn.
    pub(crate) data_centres: usize,
}

/// Daemons of one region with their files.
pub(crate) struct Fleet {
    dir: TempDir,
    daemons: Vec<Daemon>,
    engines: Vec<(Arc<Engine>, Announcer)>,
}

impl Fleet {
    /// Starts the daemons and waits until each has a lease.
    pub(crate) fn start(cfg: &FleetConfig) -> Result<Self> {
        let dir = TempDir::new()?;
        write_secret(&dir.path().join("region.secret"), "demo-secret-of-a-region")?;
        write_secret(&dir.path().join("operator.token"), OPERATOR_TOKEN)?;
        let links = free_addresses(cfg.daemons)?;
        let settings: Result<Vec<Settings>> =
            (0..cfg.daemons).map(|i| settings(dir.path(), cfg, &links, i)).collect();
        let started: Result<Vec<Daemon>> = settings?
            .iter()
            .map(|settings| Ok(Daemon::start(settings, Arc::new(SystemClock))?))
            .collect();
        let fleet = Self { dir, daemons: started?, engines: Vec::new() };
        fleet.await_ready()?;
        Ok(fleet)
    }

    /// Folder with the fleet's files.
    pub(crate) fn dir(&self) -> PathBuf {
        self.dir.path().to_path_buf()
    }

    /// Addresses of the callers' HTTP.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(Daemon::callers_address).collect()
    }

    /// Address of the first daemon's operators' HTTP.
    pub(crate) fn operators(&self) -> SocketAddr {
        self.daemons[0].operators_address()
    }

    /// Starts a stand-in engine that announces itself to one of the daemons.
    pub(crate) fn add_engine(&mut self, cfg: EngineConfig) -> Result<Arc<Engine>> {
        let engine = Arc::new(Engine::start(cfg)?);
        let source = Arc::clone(&engine);
        let daemon = &self.daemons[self.engines.len() % self.daemons.len()];
        let address = daemon.callers_address().to_string();
        let announcer = Announcer::start(address, move || Some(source.announcement()));
        self.engines.push((Arc::clone(&engine), announcer));
        Ok(engine)
    }

    /// Puts a sheet in force through the first daemon.
    pub(crate) fn apply(&self, csv: &str) -> Result<()> {
        let url = format!("http://{}/sheet/apply?operator=fleet", self.operators());
        let res = minreq::post(url)
            .with_header("Authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .with_body(csv)
            .send()?;
        match res.status_code {
            200 => Ok(()),
            _ => Err(eyre::eyre!("the sheet was refused: {}", res.as_str()?)),
        }
    }

    /// Waits until a request of `model` would find an upstream everywhere.
    pub(crate) fn await_model(&self, model: &str) -> Result<()> {
        self.await_all(|address| {
            let url = format!("http://{address}/v1/models");
            let res =
                minreq::get(url).with_header("Authorization", format!("Bearer {API_KEY}")).send();
            res.is_ok_and(|res| res.as_str().is_ok_and(|body| body.contains(model)))
        })
    }

    fn await_ready(&self) -> Result<()> {
        self.await_all(|address| {
            let res = minreq::get(format!("http://{address}/readyz")).send();
            res.is_ok_and(|res| res.status_code == 200)
        })
    }

    fn await_all(&self, is_done: impl Fn(SocketAddr) -> bool) -> Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        for address in self.callers() {
            while !is_done(address) {
                if Instant::now() >= until {
                    return Err(eyre::eyre!("{address} does not serve in time"));
                }
                thread::sleep(LOOK_EVERY);
            }
        }
        Ok(())
    }
}

/// Name of the data centre of the daemon or upstream at `index`.
pub(crate) fn data_centre(cfg: &FleetConfig, index: usize) -> String {
    format!("dc-{}", index % cfg.data_centres + 1)
}

/// A sheet with one organisation, the data centres in service, one service and some models.
pub(crate) fn sheet(cfg: &FleetConfig, number: u64, models: &[&str]) -> String {
    let key: String = edge::hash_key(API_KEY).iter().map(|byte| format!("{byte:02x}")).collect();
    let mut csv = String::from(
        "kind,name,number,state,priority,weight,tokens_per_second,key_sha256,\
         method,path,urgent,never_twice,max_prompt\n",
    );
    csv += &format!("sheet,demo,{number},,,,,,,,,,\n");
    csv += &format!("organisation,demo,,,ordinary,1,1000000000,{key},,,,,\n");
    for i in 0..cfg.data_centres {
        csv += &format!("data_centre,{},,in,,,,,,,,,\n", data_centre(cfg, i));
    }
    csv += "service,yard,,,,,,,,,,,\n";
    csv += "route,yard,,,,,,,GET,/,yes,no,\n";
    csv += "route,yard,,,,,,,POST,/bookings,yes,yes,\n";
    for model in models {
        csv += &format!("model,{model},,,,,,,,,,,1000000\n");
    }
    csv
}

fn settings(dir: &Path, cfg: &FleetConfig, links: &[SocketAddr], i: usize) -> Result<Settings> {
    let voters = links.iter().take(3).enumerate();
    let initial: Vec<String> = voters
        .clone()
        .map(|(id, address)| format!("{{id: {}, address: '{address}'}}", id + 1))
        .collect();
    let seeds: Vec<String> = voters.map(|(_, address)| format!("'{address}'")).collect();
    let name = format!("daemon-{}", i + 1);
    let folder = dir.join(&name);
    fs::create_dir_all(&folder)?;
    let voter = match i < 3 {
        true => format!(
            "voter: {{id: {}, data_folder: '{}', initial: [{}]}}",
            i + 1,
            folder.display(),
            initial.join(", ")
        ),
        false => String::new(),
    };
    let text = format!(
        "daemon: {name}\nregion: demo\ndata_centre: {}\n\
         listen: {{callers: '127.0.0.1:0', operators: '127.0.0.1:0', links: '{}'}}\n\
         seeds: [{}]\nsecret_file: '{}'\noperator_token_file: '{}'\n\
         drain_delay_ms: 0\n{voter}\n",
        data_centre(cfg, i),
        links[i],
        seeds.join(", "),
        dir.join("region.secret").display(),
        dir.join("operator.token").display(),
    );
    Ok(Settings::parse(&name, &text)?)
}

/// Addresses that were free a moment ago.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let listeners: std::io::Result<Vec<TcpListener>> =
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
    let addresses: std::io::Result<Vec<SocketAddr>> =
        listeners?.iter().map(TcpListener::local_addr).collect();
    Ok(addresses?)
}

fn write_secret(path: &Path, text: &str) -> Result<()> {
    let mut f = OpenOptions::new().write(true).create_new(true).mode(0o600).open(path)?;
    f.write_all(text.as_bytes())?;
    Ok(())
}
