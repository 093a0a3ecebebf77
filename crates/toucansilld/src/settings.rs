//! The daemon's YAML settings.
//!
//! An error is one line with the file, the key and the reason:
//!
//! ```
//! use toucansilld::Settings;
//!
//! let err = Settings::parse("entry.yaml", "daemon: entry-1\nlisten: here\n").unwrap_err();
//! assert!(err.to_string().starts_with("entry.yaml: listen: "));
//! ```

use crate::error::{Error, Result};
use serde::Deserialize;
use std::{
    fs,
    net::SocketAddr,
    num::NonZeroU64,
    path::{Path, PathBuf},
    time::Duration,
};
use wire::{DaemonId, DataCentreId, RegionId};

/// Maximum length of the name of a daemon, data centre or region, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Settings of one daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this daemon, unique in its region.
    pub daemon: DaemonId,
    /// Region of this daemon.
    pub region: RegionId,
    /// Data centre of this daemon.
    pub data_centre: DataCentreId,
    /// Addresses on which this daemon listens.
    pub listen: Listen,
    /// Link addresses of the daemons to contact first, normally those with a voter.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// File with the secret shared by the daemons of the region. Only its owner may have access.
    pub secret_file: PathBuf,
    /// File with the operators' token. Only its owner may have access.
    pub operator_token_file: PathBuf,
    /// Voter of the control group on this VM, which needs a disk.
    pub voter: Option<VoterSettings>,
    /// File for events. Without it they are kept in memory only.
    pub timeline_file: Option<PathBuf>,
    /// Time for which `/readyz` fails before the daemon stops taking requests, in milliseconds.
    #[serde(default = "default_drain_delay_ms")]
    pub drain_delay_ms: u64,
    /// Maximum time for running requests to finish during a drain, in milliseconds.
    #[serde(default = "default_drain_limit_ms")]
    pub drain_limit_ms: u64,
}

/// Addresses on which a daemon listens. Port 0 lets the system choose a port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP for callers, with `/healthz`, `/readyz` and upstreams' announcements.
    pub callers: SocketAddr,
    /// HTTP for operators, with `/metrics`.
    pub operators: SocketAddr,
    /// Links between daemons.
    pub links: SocketAddr,
}

/// Settings of a voter of the control group.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoterSettings {
    /// Id of the voter. It must not be reused after the voter has lost its disk.
    pub id: u64,
    /// Folder for the log and the snapshots.
    pub data_folder: PathBuf,
    /// The first voters of a new group. Empty for a voter that joins a running group.
    #[serde(default)]
    pub initial: Vec<InitialVoter>,
    /// Number of log entries after which a snapshot is taken; `None` for the default.
    #[serde(default)]
    pub snapshot_entries: Option<NonZeroU64>,
    /// Whether the id was generated at this start, so that it was never used before.
    #[serde(skip)]
    pub has_new_id: bool,
}

/// One of the first voters of a new control group.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InitialVoter {
    /// Id of the voter.
    pub id: u64,
    /// Link address of its daemon.
    pub address: SocketAddr,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|err| Error::settings(&name, "file", &err.to_string()))?;
        Self::parse(&name, &text)
    }

    /// Parses and checks the text of a settings file. `name` appears in errors.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let settings: Self =
            serde_yaml_ng::from_str(text).map_err(|err| parse_error(name, &err))?;
        settings.check(name)?;
        Ok(settings)
    }

    /// Time for which `/readyz` fails before the daemon stops taking requests.
    pub fn drain_delay(&self) -> Duration {
        Duration::from_millis(self.drain_delay_ms)
    }

    /// Maximum time for running requests to finish during a drain.
    pub fn drain_limit(&self) -> Duration {
        Duration::from_millis(self.drain_limit_ms)
    }

    fn check(&self, name: &str) -> Result<()> {
        check_name(name, "daemon", &self.daemon)?;
        check_name(name, "region", &self.region)?;
        check_name(name, "data_centre", &self.data_centre)?;
        if let Some(voter) = &self.voter {
            return voter.check(name);
        }
        if self.seeds.is_empty() {
            return Err(Error::settings(name, "seeds", "a daemon without a voter needs a seed"));
        }
        Ok(())
    }
}

impl VoterSettings {
    fn check(&self, name: &str) -> Result<()> {
        if self.id == 0 {
            return Err(Error::settings(name, "voter.id", "must be 1 or more"));
        }
        let is_listed = self.initial.iter().any(|voter| voter.id == self.id);
        if !self.initial.is_empty() && !is_listed {
            return Err(Error::settings(name, "voter.initial", "does not list this voter's id"));
        }
        Ok(())
    }
}

/// Splits the YAML library's message, which is `key: reason` or a bare reason.
fn parse_error(name: &str, err: &serde_yaml_ng::Error) -> Error {
    let text = err.to_string();
    match text.split_once(": ") {
        Some((key, reason)) if !key.contains(' ') => Error::settings(name, key, reason),
        _ => Error::settings(name, "settings", &text),
    }
}

/// Checks the length and the characters of a name.
fn check_name(file: &str, key: &str, value: &str) -> Result<()> {
    let is_valid = value.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
    if value.is_empty() || value.len() > MAX_NAME_BYTES || !is_valid {
        let reason = "must be 1 to 64 letters, digits, '-', '_' or '.'";
        return Err(Error::settings(file, key, reason));
    }
    Ok(())
}

fn default_drain_delay_ms() -> u64 {
    5_000
}

fn default_drain_limit_ms() -> u64 {
    60_000
}
