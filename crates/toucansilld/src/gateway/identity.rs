//! Identity of this daemon as a member of the control group, kept in its data folder.

use super::settings::{ControlSettings, GatewaySettings};
use crate::{
    error::{Error, Result},
    settings::{InitialVoter, VoterSettings},
    voter::ADDRESS_FILE,
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

/// Returns the settings of this daemon's voter. Creates the data folder and stores the id, if
/// missing.
///
/// When a region starts for the first time, its seeds found the group: all have the same list
/// of seeds, so all derive the same initial members from it. Any other daemon without a
/// stored id generates one and requests to join. So does a daemon that has lost its disk: it
/// may have voted under its former id, which therefore must not vote again.
pub(crate) fn voter_settings(
    settings: &GatewaySettings,
    control: &ControlSettings,
) -> Result<VoterSettings> {
    let start_error = |err: io::Error| Error::start("control.data_folder", err);
    fs::create_dir_all(&control.data_folder).map_err(start_error)?;
    let file = control.data_folder.join(ID_FILE);
    let is_founder = control.founds_group && settings.seeds.contains(&control.listen);
    let stored = read_id(&file).map_err(start_error)?;
    let id = match stored {
        Some(id) => id,
        None => {
            let id = if is_founder { founder_id(control.listen) } else { random_id() };
            disk::replace_file(&file, id.to_string().as_bytes(), &mut Files::default())
                .map_err(|err| Error::start("control.data_folder", err))?;
            id
        }
    };
    let founders = settings.seeds.iter().zip(settings.seed_links());
    let initial = founders.map(|(seed, address)| InitialVoter { id: founder_id(*seed), address });
    Ok(VoterSettings {
        id,
        data_folder: control.data_folder.clone(),
        snapshot_entries: control.snapshot_entries,
        initial: if is_founder && id < FIRST_RANDOM_ID { initial.collect() } else { Vec::new() },
    })
}

/// Removes the id and everything else in the data folder but the addresses of the other members. The next
/// start generates a new id, and looks for the group at these addresses.
///
/// The id file is removed first, so that an interrupted removal does not leave the old id with
/// an incomplete log.
pub(crate) fn discard(control: &ControlSettings) -> io::Result<()> {
    let file = control.data_folder.join(ID_FILE);
    match fs::remove_file(&file) {
        Err(err) if err.kind() != io::ErrorKind::NotFound => return Err(err),
        _ => {}
    }
    for entry in fs::read_dir(&control.data_folder)? {
        let path = entry?.path();
        if path.file_name().is_some_and(|name| name == ADDRESS_FILE) {
            continue;
        }
        if path.is_dir() { fs::remove_dir_all(&path)? } else { fs::remove_file(&path)? }
    }
    File::open(&control.data_folder)?.sync_all()
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

/// Reads the stored id; `None` if there is no file.
fn read_id(file: &Path) -> io::Result<Option<u64>> {
    match fs::read_to_string(file) {
        Ok(text) => match text.trim().parse() {
            Ok(id) => Ok(Some(id)),
            Err(err) => Err(io::Error::new(io::ErrorKind::InvalidData, err)),
        },
        Err(err) if err.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(err) => Err(err),
    }
}
