//! Settings file of a gateway daemon.

use super::attempt::BUFFERED_BYTES_MAX;
use crate::error::{Error, Result};
use serde::Deserialize;
use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    num::NonZeroU64,
    path::{Path, PathBuf},
    result,
    time::Duration,
};
use wire::{DaemonId, DataCentreId};

/// Settings of a gateway daemon: one that forwards HTTP requests to upstreams, one that is a member
/// of the control group, or both.
///
/// ```
/// use toucansilld::gateway::GatewaySettings;
///
/// let text = "
/// daemon: entry-1
/// data_centre: dc-1
/// links: 127.0.0.1:7340
/// metrics: 127.0.0.1:9464
/// seeds: ['127.0.0.2:8229']
/// entry: {callers: '127.0.0.1:80', readiness: '127.0.0.1:81', max_connections: 1000}
/// ";
/// let settings = GatewaySettings::parse("entry.yaml", text)?;
/// assert_eq!(settings.seed_links()[0].to_string(), "127.0.0.2:7340");
/// # Ok::<(), toucansilld::Error>(())
/// ```
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of this daemon, unique in its region.
    pub daemon: DaemonId,
    /// Data centre of this daemon.
    pub data_centre: DataCentreId,
    /// Address for links with other daemons. All daemons use the same port.
    pub links: SocketAddr,
    /// Address that serves `/metrics`.
    pub metrics: SocketAddr,
    /// Control addresses (`control.listen`) of daemons to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Set on a daemon that accepts requests of callers.
    pub entry: Option<EntrySettings>,
    /// Set on a daemon that is a member of the control group.
    pub control: Option<ControlSettings>,
    /// Bounds that the deployment sets.
    #[serde(default)]
    pub bounds: Bounds,
}

/// Settings of a daemon that accepts requests of callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address at which a load balancer checks whether this daemon accepts connections.
    pub readiness: SocketAddr,
    /// Address at which this daemon takes messages of other entries that have lost their paths to the
    /// upstreams, and sends them on. Without it, it neither relays messages nor has its own relayed.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
    /// Maximum number of open connections of callers.
    pub max_connections: usize,
    /// Memory of the VM, in MiB. A quarter of it is for bodies of requests in progress, and an eighth for
    /// bodies of responses that are being received.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
}

/// Memory of a small VM.
fn default_memory_mb() -> f64 {
    256.0
}

impl EntrySettings {
    /// Memory for bodies of requests in progress, in bytes.
    pub(crate) fn body_bytes(&self) -> u64 {
        (self.memory_mb * f64::from(1 << 20)) as u64 / 4
    }

    /// Memory for bodies of responses that are being received, in bytes. At least one fits in.
    pub(crate) fn response_bytes(&self) -> u64 {
        (self.body_bytes() / 2).max(BUFFERED_BYTES_MAX as u64)
    }
}

/// Settings of a member of the control group.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Address for HTTP control requests of operators and upstreams.
    pub listen: SocketAddr,
    /// Folder for the voter's id and log.
    pub data_folder: PathBuf,
    /// Whether the whole region starts for the first time, so that the seeds form its control
    /// group.
    #[serde(default)]
    pub founds_group: bool,
    /// Number of disks that may be lost at once without losing an acknowledged change.
    pub tolerated_losses: usize,
    /// Number of log entries after which a snapshot is taken; `None` for the default, 20,000.
    #[serde(default)]
    pub snapshot_entries: Option<NonZeroU64>,
}

/// Longest time that a bound may state, in milliseconds: a year. Sums and multiples of such times
/// don't overflow.
const MAX_BOUND_MS: f64 = 365.0 * 24.0 * 3_600.0 * 1_000.0;

/// Bounds that the deployment sets, in milliseconds where a name ends in `_ms`. They may have a
/// fraction, as deployments scale them.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Interval at which upstreams repeat their registration.
    pub registration_interval_ms: f64,
    /// Time from the stop signal until the process is killed.
    pub stop_ms: f64,
    /// Time within which an acknowledged change must be in force.
    pub apply_ms: f64,
    /// Retries allowed for each first attempt, for each service.
    pub retry_ratio: f64,
    /// Maximum balance that each service's retry budget saves up, in retries for the whole
    /// region. Daemons round down what they take of it.
    pub retry_slack: f64,
    /// Time within which the region has to serve again after the loss of all its daemons. If it is
    /// stated, requests wait for a short time at a daemon that has just started, instead of being
    /// refused.
    pub recover_ms: Option<f64>,
    /// Whether upstreams that start or recover get as many requests as their answers show that they
    /// can serve.
    pub learn_pace: bool,
}

impl Default for Bounds {
    /// Bounds of a deployment that states none.
    fn default() -> Self {
        Self {
            registration_interval_ms: 1_000.0,
            stop_ms: 10_000.0,
            apply_ms: 2_000.0,
            retry_ratio: 0.2,
            retry_slack: 100.0,
            recover_ms: None,
            learn_pace: false,
        }
    }
}

impl Bounds {
    /// Time from the stop signal until the process is killed.
    pub(crate) fn stop_time(&self) -> Duration {
        milliseconds(self.stop_ms)
    }

    /// Time within which the region has to serve again, if one is stated.
    pub(crate) fn recovery_time(&self) -> Option<Duration> {
        self.recover_ms.map(milliseconds)
    }

    /// Interval at which upstreams repeat their registration.
    pub(crate) fn registration_interval(&self) -> Duration {
        milliseconds(self.registration_interval_ms)
    }

    /// Longest time that the acknowledgement of a change waits for the live followers: a third
    /// of the time within which the change has to be in force, so that slower daemons have the
    /// rest.
    pub(crate) fn followed_timeout(&self) -> Duration {
        milliseconds(self.apply_ms) / 3
    }

    /// Time without a registration after which an upstream may be dead: three lost registrations
    /// and a second.
    pub(crate) fn silence_timeout(&self) -> Duration {
        self.registration_interval() * 3 + Duration::from_secs(1)
    }

    /// Rejects values that can't be. The error is the key and what is wrong.
    fn check(&self) -> result::Result<(), (&'static str, String)> {
        let times = [
            ("bounds.registration_interval_ms", self.registration_interval_ms),
            ("bounds.stop_ms", self.stop_ms),
            ("bounds.apply_ms", self.apply_ms),
        ];
        let recover = self.recover_ms.map(|ms| ("bounds.recover_ms", ms));
        for (key, ms) in times.into_iter().chain(recover) {
            if !(ms > 0.0 && ms <= MAX_BOUND_MS) {
                return Err((key, format!("{ms} is not above 0 and at most {MAX_BOUND_MS}")));
            }
        }
        let numbers =
            [("bounds.retry_ratio", self.retry_ratio), ("bounds.retry_slack", self.retry_slack)];
        for (key, number) in numbers {
            if !(number.is_finite() && number >= 0.0) {
                return Err((key, format!("{number} is not a number of 0 or more")));
            }
        }
        Ok(())
    }
}

/// Duration of a bound that has been checked.
fn milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, or as [`GatewaySettings::parse`] does.
    pub fn load(path: &Path) -> Result<Self> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|err| Error::settings(&name, "file", &err.to_string()))?;
        Self::parse(&name, &text)
    }

    /// Parses and checks the text of a settings file. `name` appears in errors.
    ///
    /// # Errors
    ///
    /// Names the setting at fault: invalid YAML, an unknown key, neither part set, a daemon
    /// without a control part and seeds, a zero or negative bound, or one address used twice.
    pub fn parse(name: &str, text: &str) -> Result<Self> {
        let settings: Self = serde_yaml_ng::from_str(text)
            .map_err(|err| Error::settings(name, "settings", &err.to_string()))?;
        if settings.entry.is_none() && settings.control.is_none() {
            return Err(Error::settings(name, "entry", "give entry, control or both"));
        }
        if settings.control.is_none() && settings.seeds.is_empty() {
            return Err(Error::settings(name, "seeds", "an entry needs a seed"));
        }
        settings.check().map_err(|(key, fault)| Error::settings(name, key, &fault))?;
        Ok(settings)
    }

    /// Rejects values whose fault would show only later, at run time. The error is the key and
    /// what is wrong.
    fn check(&self) -> result::Result<(), (&'static str, String)> {
        if let Some(entry) = &self.entry {
            if entry.max_connections == 0 {
                return Err(("entry.max_connections", "must be above 0".to_owned()));
            }
            if !(entry.memory_mb > 0.0 && entry.memory_mb.is_finite()) {
                return Err(("entry.memory_mb", format!("{} is not above 0", entry.memory_mb)));
            }
        }
        self.bounds.check()?;
        let mut taken = BTreeMap::new();
        for (key, address) in self.listen_addresses() {
            // Port 0 means any free port.
            if address.port() != 0
                && let Some(other) = taken.insert(address, key)
            {
                return Err((key, format!("{address} is already the address of {other}")));
            }
        }
        Ok(())
    }

    /// Addresses on which the daemon listens, each with its key.
    fn listen_addresses(&self) -> Vec<(&'static str, SocketAddr)> {
        let mut listen_addresses = vec![("links", self.links), ("metrics", self.metrics)];
        if let Some(entry) = &self.entry {
            listen_addresses.push(("entry.callers", entry.callers));
            listen_addresses.push(("entry.readiness", entry.readiness));
            listen_addresses.extend(entry.relay.map(|relay| ("entry.relay", relay)));
        }
        listen_addresses
            .extend(self.control.iter().map(|control| ("control.listen", control.listen)));
        listen_addresses
    }

    /// Whether a settings file is that of a gateway daemon: one with an `entry` or a `control`
    /// part. False for a file that can't be read.
    pub fn is_gateway(path: &Path) -> bool {
        let text = fs::read_to_string(path).unwrap_or_default();
        text.lines().any(|line| line.starts_with("entry:") || line.starts_with("control:"))
    }

    /// Link addresses of the seeds, in order: their IP addresses with this daemon's link port.
    pub fn seed_links(&self) -> Vec<SocketAddr> {
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), self.links.port())).collect()
    }
}
