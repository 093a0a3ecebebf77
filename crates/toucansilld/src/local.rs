//! Settings for daemons of one region on this machine, for demos, benches and tests.
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
};

/// API key of the one organisation in [`sheet()`].
pub const API_KEY: &str = "local-key-of-an-organisation";
/// Token of the operators.
pub const OPERATOR_TOKEN: &str = "local-token-of-operators";
/// Region of the daemons.
pub const REGION: &str = "local";
/// Secret of the region.
const REGION_SECRET: &str = "local-secret-of-a-region";
/// Daemons that have a voter, from the first on.
const VOTERS_MAX: usize = 3;

/// How many daemons, and where.
#[derive(Clone, Copy, Debug)]
pub struct LocalConfig {
    /// Daemons; the first ones, up to three, have voters.
    pub daemons: usize,
    /// Data centres, over which daemons are spread in turn.
    pub data_centres: usize,
    /// Daemons with a voter that joins a running group; they are the last ones.
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

/// Writes secrets and settings into `dir`, and gives the settings files.
///
/// The ports were free a moment ago.
///
/// # Errors
///
/// Fails if a file can't be written or a port not be taken.
pub fn prepare(dir: &Path, cfg: &LocalConfig) -> Result<Vec<PathBuf>> {
    let fault = |err: io::Error| Error::start("local settings", err);
    write_secret(&dir.join("region.secret"), REGION_SECRET).map_err(fault)?;
    write_secret(&dir.join("operator.token"), OPERATOR_TOKEN).map_err(fault)?;
    let addresses = free_addresses(cfg.daemons).map_err(fault)?;
    (0..cfg.daemons)
        .map(|i| {
            let file = dir.join(format!("daemon-{}.yaml", i + 1));
            fs::write(&file, settings(dir, cfg, &addresses, i)).map_err(fault)?;
            Ok(file)
        })
        .collect()
}

/// A sheet with one organisation, all data centres in service except `out`, the
/// service `yard` and some models.
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

fn settings(dir: &Path, cfg: &LocalConfig, all: &[Addresses], i: usize) -> String {
    let first_fresh = cfg.daemons - cfg.fresh_voters;
    let voters = all.iter().take(VOTERS_MAX.min(first_fresh));
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
    if is_fresh || i < VOTERS_MAX {
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

/// Addresses on the loopback interface. All are bound at once, so that no port comes twice.
fn free_addresses(daemons: usize) -> io::Result<Vec<Addresses>> {
    let bound: io::Result<Vec<TcpListener>> =
        (0..3 * daemons).map(|_| TcpListener::bind("127.0.0.1:0")).collect();
    let ports: io::Result<Vec<SocketAddr>> = bound?.iter().map(TcpListener::local_addr).collect();
    Ok(ports?
        .chunks_exact(3)
        .map(|three| Addresses { callers: three[0], operators: three[1], links: three[2] })
        .collect())
}

fn write_secret(path: &Path, text: &str) -> io::Result<()> {
    let mut f = OpenOptions::new().write(true).create_new(true).mode(0o600).open(path)?;
    f.write_all(text.as_bytes())
}
