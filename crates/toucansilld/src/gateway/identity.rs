//! Identity of this daemon as a member of the control group, kept in its data folder.

use super::settings::{ControlSettings, GatewaySettings};
use crate::{
    error::{Error, Result},
    settings::{InitialVoter, VoterSettings},
    voter,
};
use disk::Files;
use std::{
    fs::{self, File},
    io,
    net::{IpAddr, SocketAddr},
    path::Path,
};

/// File in the data folder that holds the id, in decimal.
const ID_FILE: &str = "member-id";
/// Lowest id that is generated at random, for daemons that join. Lower ids are derived from the
/// addresses of founders, so that no id is used twice.
const FIRST_RANDOM_ID: u64 = 1 << 40;

/// Id of this daemon in its control group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Identity {
    pub(crate) id: u64,
    /// Whether the id was generated at this start, and may not be stored yet.
    is_new: bool,
}

/// Finds the id of this daemon, or generates one. Only reads from the disk.
///
/// When a region starts for the first time, its seeds found the group: all have the same list
/// of seeds, so all derive the same initial members from it. Any other daemon without a
/// stored id generates one and requests to join. So does a daemon that has lost its disk: it
/// may have voted under its former id, which therefore must not vote again.
pub(crate) fn find(settings: &GatewaySettings, control: &ControlSettings) -> Result<Identity> {
    match stored_id(&control.data_folder)? {
        Some(id) => Ok(Identity { id, is_new: false }),
        None if is_founder(settings, control) => {
            Ok(Identity { id: founder_id(control.listen), is_new: true })
        }
        None => Ok(Identity { id: random_id(), is_new: true }),
    }
}

fn is_founder(settings: &GatewaySettings, control: &ControlSettings) -> bool {
    control.founds_group && settings.seeds.contains(&control.listen)
}

/// Returns the settings of this daemon's voter. Creates the data folder, if missing.
pub(crate) fn voter_settings(
    settings: &GatewaySettings,
    control: &ControlSettings,
    identity: Identity,
) -> Result<VoterSettings> {
    let start_error = |err: io::Error| Error::file("control.data_folder", &err);
    fs::create_dir_all(&control.data_folder).map_err(start_error)?;
    if let Err(err) = voter::remove_discarded(&control.data_folder) {
        log::error!("what is left of a discarded log was not removed: {err}");
    }
    let Identity { id, is_new } = identity;
    let founders = settings.seeds.iter().zip(settings.seed_links());
    let initial = founders.map(|(seed, address)| InitialVoter { id: founder_id(*seed), address });
    let is_initial = is_founder(settings, control) && id < FIRST_RANDOM_ID;
    Ok(VoterSettings {
        id,
        data_folder: control.data_folder.clone(),
        snapshot_entries: control.snapshot_entries,
        initial: if is_initial { initial.collect() } else { Vec::new() },
        // Of a stored id, the log knows whether it was ever used.
        has_new_id: is_new && id >= FIRST_RANDOM_ID,
    })
}

/// Stores the id durably in the data folder, if it is missing. That of the log is the one that counts.
pub(crate) fn store(control: &ControlSettings, identity: Identity) -> Result<()> {
    let Identity { id, is_new } = identity;
    let file = control.data_folder.join(ID_FILE);
    let stored = read_id(&file).map_err(|err| Error::file("control.data_folder", &err))?;
    if stored == Some(id) {
        return Ok(());
    }
    if !is_new {
        log::warn!(member = id, stored:? = stored; "the id of this member is that of its log");
    }
    write_id(&file, id)
}

/// The id of this daemon in its data folder: that of the log. An id without a log isn't used: the
/// log may be lost, and with it the votes that were cast under the id.
///
/// The two differ if the power failed before the name of the id's file was durable, and if a
/// process of an earlier build ended while it emptied the folder. In the latter case the id is
/// retired, and the leader says so.
fn stored_id(data_folder: &Path) -> Result<Option<u64>> {
    let file = data_folder.join(ID_FILE);
    let stored = read_id(&file).map_err(|err| Error::file("control.data_folder", &err))?;
    let id =
        voter::stored_id(data_folder).map_err(|err| Error::store("control.data_folder", &err))?;
    if let (None, Some(stored)) = (id, stored) {
        log::warn!(member = stored; "the id {stored} is not used again, as its log is missing");
    }
    Ok(id)
}

/// Stores the id durably.
fn write_id(file: &Path, id: u64) -> Result<()> {
    disk::replace_file(file, id.to_string().as_bytes(), &mut Files::default())
        .map_err(|err| Error::store("control.data_folder", &err))
}

/// Removes the log and the id, so that the next start generates a new id, and looks for the group
/// at the stored addresses of its members, which stay.
///
/// A process that is killed meanwhile, or loses power, leaves an id without a log, a log that is
/// set aside, or nothing. A voter without a log takes no part in its group.
pub(crate) fn discard(control: &ControlSettings) -> io::Result<()> {
    voter::discard_log(&control.data_folder)?;
    match fs::remove_file(control.data_folder.join(ID_FILE)) {
        Err(err) if err.kind() != io::ErrorKind::NotFound => return Err(err),
        _ => {}
    }
    File::open(&control.data_folder)?.sync_all()?;
    voter::remove_discarded(&control.data_folder)
}

/// Id derived from the address of a seed, below [`FIRST_RANDOM_ID`].
fn founder_id(seed: SocketAddr) -> u64 {
    match seed.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)),
        // Regions use IPv4. The low 40 bits of an IPv6 address distinguish hosts.
        IpAddr::V6(ip) => (u128::from(ip) as u64) % FIRST_RANDOM_ID,
    }
}

fn random_id() -> u64 {
    fastrand::u64(FIRST_RANDOM_ID..u64::MAX)
}

/// Reads the stored id; `None` if there is no file, or if it can't be read: the log has the id as
/// well, and without a log a new one does.
fn read_id(file: &Path) -> io::Result<Option<u64>> {
    match fs::read_to_string(file) {
        Ok(text) => match text.trim().parse() {
            Ok(id) => Ok(Some(id)),
            Err(err) => {
                log::error!("{}: the id can't be read: {err}", file.display());
                Ok(None)
            }
        },
        Err(err) if err.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(err) => Err(err),
    }
}
