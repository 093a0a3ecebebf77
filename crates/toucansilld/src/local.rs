//! Settings for the daemons of one region on the loopback interface, for demos, benches and tests.
//!
//! ```
//! use toucansilld::local::{self, LocalConfig};
//!
//! let dir = tempfile::tempdir()?;
//! let files = local::prepare(dir.path(), &LocalConfig { daemons: 3, data_centres: 3, fresh_voters: 0 })?;
//! let settings = toucansilld::Settings::load(&files[2])?;
//! assert_eq!(settings.data_centre, "dc-3");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

use crate::error::{Error, Result};
use std::{
    fs::{self, OpenOptions},
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// API key of the only organisation in [`sheet()`].
pub const API_KEY: &str = "local-key-of-an-organisation";
/// Operators' token.
pub const OPERATOR_TOKEN: &str = "local-token-of-operators";
/// Name of the region.
pub const REGION: &str = "local";
/// Region secret.
const REGION_SECRET: &str = "local-secret-of-a-region";
/// Maximum number of initial voters, which run on the first daemons.
const MAX_VOTERS: usize = 3;
/// Lowest port for daemons.
const FIRST_PORT: u16 = 10_000;
/// Number of ports for daemons.
const PORT_COUNT: u32 = 20_000;
/// Distance between the first ports of processes with consecutive process ids.
const PORTS_PER_PROCESS: u32 = 251;
/// Offset of the next port to try in this process.
static NEXT_PORT_OFFSET: AtomicU32 = AtomicU32::new(0);

/// Number of daemons and their placement.
#[derive(Clone, Copy, Debug)]
pub struct LocalConfig {
    /// Number of daemons. The first ones, up to three, have initial voters.
    pub daemons: usize,
    /// Number of data centres, to which the daemons are assigned in turn.
    pub data_centres: usize,
    /// Number of daemons, counted from the last, whose voter is not an initial one but can be added
    /// to the running group.
    pub fresh_voters: usize,
}

/// Addresses of one daemon.
struct Addresses {
    callers: SocketAddr,
    operators: SocketAddr,
    links: SocketAddr,
}

/// Name of the data centre of the daemon or upstream at `index`, from 0.
pub fn data_centre(cfg: &LocalConfig, index: usize) -> String {
    format!("dc-{}", index % cfg.data_centres + 1)
}

/// Writes secrets and settings into `dir`, and returns the paths of the settings files.
///
/// The settings use ports that no process listens on.
///
/// # Errors
///
/// Fails if a file can't be written or exists already, or if no port is free.
pub fn prepare(dir: &Path, cfg: &LocalConfig) -> Result<Vec<PathBuf>> {
    let error = |err: io::Error| Error::start("local settings", err);
    write_secret(&dir.join("region.secret"), REGION_SECRET).map_err(error)?;
    write_secret(&dir.join("operator.token"), OPERATOR_TOKEN).map_err(error)?;
    let addresses = free_addresses(cfg.daemons).map_err(error)?;
    (0..cfg.daemons)
        .map(|i| {
            let file = dir.join(format!("daemon-{}.yaml", i + 1));
            fs::write(&file, settings(dir, cfg, &addresses, i)).map_err(error)?;
            Ok(file)
        })
        .collect()
}

/// A sheet (CSV) with one organisation, the service `yard`, the given models, and all data centres
/// in service except those in `out`.
pub fn sheet(cfg: &LocalConfig, number: u64, models: &[&str], out: &[&str]) -> String {
    let key: String = edge::hash_key(API_KEY).iter().map(|byte| format!("{byte:02x}")).collect();
    let mut csv = String::from(
        "kind,name,number,state,priority,weight,tokens_per_second,key_sha256,\
         method,path,urgent,never_twice,max_prompt\n",
    );
    csv += &format!("sheet,{REGION},{number},,,,,,,,,,\n");
    csv += &format!("organisation,local,,,ordinary,1,1000000000,{key},,,,,\n");
    for i in 0..cfg.data_centres {
        let name = data_centre(cfg, i);
        let state = if out.contains(&name.as_str()) { "out" } else { "in" };
        csv += &format!("data_centre,{name},,{state},,,,,,,,,\n");
    }
    csv += "service,yard,,,,,,,,,,,\n";
    csv += "route,yard,,,,,,,GET,/,yes,no,\n";
    csv += "route,yard,,,,,,,POST,/bookings,yes,yes,\n";
    for model in models {
        csv += &format!("model,{model},,,,,,,,,,,1000000\n");
    }
    csv
}

/// Settings (YAML) of the daemon at index `i`.
fn settings(dir: &Path, cfg: &LocalConfig, all: &[Addresses], i: usize) -> String {
    let first_fresh = cfg.daemons - cfg.fresh_voters;
    let voters = all.iter().take(MAX_VOTERS.min(first_fresh));
    let seeds: Vec<String> = voters.clone().map(|a| format!("'{}'", a.links)).collect();
    let initial: Vec<String> =
        (1..).zip(voters).map(|(id, a)| format!("{{id: {id}, address: '{}'}}", a.links)).collect();
    let name = format!("daemon-{}", i + 1);
    let Addresses { callers, operators, links } = &all[i];
    let mut text = format!(
        "daemon: {name}\n\
         region: {REGION}\n\
         data_centre: {}\n\
         listen: {{callers: '{callers}', operators: '{operators}', links: '{links}'}}\n\
         seeds: [{}]\n\
         secret_file: '{}'\n\
         operator_token_file: '{}'\n\
         timeline_file: '{}'\n\
         drain_delay_ms: 0\n",
        data_centre(cfg, i),
        seeds.join(", "),
        dir.join("region.secret").display(),
        dir.join("operator.token").display(),
        dir.join(format!("{name}.timeline")).display(),
    );
    let is_fresh = i >= first_fresh;
    if is_fresh || i < MAX_VOTERS {
        let folder = dir.join(&name);
        let initial = if is_fresh { Vec::new() } else { initial };
        text += &format!(
            "voter: {{id: {}, data_folder: '{}', initial: [{}]}}\n",
            i + 1,
            folder.display(),
            initial.join(", ")
        );
    }
    text
}

/// Addresses on the loopback interface that no process listens on.
///
/// Their ports are below the range from which the system picks ports of outgoing connections, so
/// that no connection takes one of them before the daemon starts.
fn free_addresses(daemons: usize) -> io::Result<Vec<Addresses>> {
    let ports: io::Result<Vec<SocketAddr>> = (0..3 * daemons).map(|_| free_address()).collect();
    Ok(ports?
        .chunks_exact(3)
        .map(|three| Addresses { callers: three[0], operators: three[1], links: three[2] })
        .collect())
}

/// The next free address. Processes start at different ports, and a process returns none twice.
fn free_address() -> io::Result<SocketAddr> {
    let offset = process::id().wrapping_mul(PORTS_PER_PROCESS) % PORT_COUNT;
    for _ in 0..PORT_COUNT {
        let number =
            NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed).wrapping_add(offset) % PORT_COUNT;
        let port = FIRST_PORT + u16::try_from(number).unwrap_or_default();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Writes a file that only its owner may read, as the daemon requires.
fn write_secret(path: &Path, text: &str) -> io::Result<()> {
    let mut f = OpenOptions::new().write(true).create_new(true).mode(0o600).open(path)?;
    f.write_all(text.as_bytes())
}
