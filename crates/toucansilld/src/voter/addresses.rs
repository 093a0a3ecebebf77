//! Link addresses of the voters, kept beside the log.

use crate::{
    control_messages::VoterAddresses,
    error::{Error, Result},
    settings::VoterSettings,
    sync::lock,
};
use disk::Files;
use group::NodeId;
use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::Mutex,
};

/// Name of the file in the data folder.
const FILE: &str = "voters.json";

/// Addresses that are known to this voter.
pub(crate) struct Addresses {
    file: PathBuf,
    own: NodeId,
    known: Mutex<VoterAddresses>,
}

impl Addresses {
    /// Reads the file, and adds the first voters and the own address.
    pub(crate) fn open(settings: &VoterSettings, own_address: &str) -> Result<Self> {
        let fault = |err: io::Error| Error::start("voter.data_folder", err);
        fs::create_dir_all(&settings.data_folder).map_err(fault)?;
        let file = settings.data_folder.join(FILE);
        let initial = settings.initial.iter().map(|v| (v.id, v.address.to_string()));
        let mut known: VoterAddresses = initial.collect();
        let stored = read(&file).map_err(fault)?;
        known.extend(stored.clone());
        known.insert(settings.id, String::from(own_address));
        if known != stored {
            // The settings name the first voters only once.
            write(&file, &known).map_err(|err| Error::start("voter.data_folder", err))?;
        }
        Ok(Self { file, own: settings.id, known: Mutex::new(known) })
    }

    /// Address of a voter.
    pub(crate) fn of(&self, id: NodeId) -> Option<String> {
        lock(&self.known).get(&id).cloned()
    }

    /// All addresses.
    pub(crate) fn all(&self) -> VoterAddresses {
        lock(&self.known).clone()
    }

    /// Adds or changes addresses of other voters.
    pub(crate) fn learn(&self, learnt: &VoterAddresses) {
        let mut known = lock(&self.known);
        let is_new = |(id, address): &(&NodeId, &String)| {
            **id != self.own && known.get(id) != Some(*address)
        };
        let news: VoterAddresses =
            learnt.iter().filter(is_new).map(|(id, address)| (*id, address.clone())).collect();
        if news.is_empty() {
            return;
        }
        known.extend(news);
        if let Err(err) = write(&self.file, &known) {
            log::error!("the voters' addresses were not saved: {err}");
        }
    }
}

fn read(file: &Path) -> io::Result<VoterAddresses> {
    match fs::read(file) {
        Ok(buf) => Ok(serde_json::from_slice(&buf)?),
        Err(err) if err.kind() == io::ErrorKind::NotFound => Ok(VoterAddresses::new()),
        Err(err) => Err(err),
    }
}

fn write(file: &Path, known: &VoterAddresses) -> disk::Result<()> {
    let text = serde_json::json!(known).to_string();
    disk::replace_file(file, text.as_bytes(), &mut Files::default())
}
