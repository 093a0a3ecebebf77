//! Which member of the control group this daemon is.

use super::settings::{ControlSettings, GatewaySettings};
use crate::{
    error::{Error, Result},
    settings::{InitialVoter, VoterSettings},
};
use disk::Files;
use std::{
    fs::{self, File},
    io,
    net::{IpAddr, SocketAddr},
    path::Path,
};

/// Name of the file that holds the id.
const ID_FILE: &str = "member-id";
/// Ids below are made from the addresses of founders; a daemon that joins draws a higher
/// one, so that no id is used twice.
const FIRST_RANDOM_ID: u64 = 1 << 40;

/// Settings of this daemon's voter.
///
/// The seeds of a region that starts for the first time found the group: all know the
/// same seeds, so all derive the same members from them. Any other daemon without a
/// stored id draws one and asks to be admitted. So does one that has lost its disk: it
/// may have voted under its former id, which must not vote again.
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
        initial: if is_founder && id < FIRST_RANDOM_ID { initial.collect() } else { Vec::new() },
    })
}

/// Removes all that the former member held. The next start draws a new id.
pub(crate) fn discard(control: &ControlSettings) -> io::Result<()> {
    let file = control.data_folder.join(ID_FILE);
    match fs::remove_file(&file) {
        Err(err) if err.kind() != io::ErrorKind::NotFound => return Err(err),
        _ => {}
    }
    for entry in fs::read_dir(&control.data_folder)? {
        let path = entry?.path();
        if path.is_dir() { fs::remove_dir_all(&path)? } else { fs::remove_file(&path)? }
    }
    File::open(&control.data_folder)?.sync_all()
}

fn founder_id(seed: SocketAddr) -> u64 {
    match seed.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)),
        // Regions use IPv4; the low half of another address tells its hosts apart.
        IpAddr::V6(ip) => (u128::from(ip) as u64) % FIRST_RANDOM_ID,
    }
}

fn random_id() -> u64 {
    fastrand::u64(FIRST_RANDOM_ID..u64::MAX)
}

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
