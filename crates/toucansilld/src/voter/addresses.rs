//! Link addresses of the voters, stored next to the log.
//!
//! What is kept doesn't grow with the number of replacements:
//!
//! - Addresses of the members, as of the last entry of the log, are always kept.
//! - Those of retired ids are forgotten once that is committed. A member that was retired itself isn't told
//!   so by the log: it goes on knowing the others.
//! - Of others, such as nodes that are about to join, at most [`MAX_OTHERS`] are kept. A node that is itself about to
//!   join knows no members yet, so that all are others to it.

use crate::{
    control_messages::VoterAddresses,
    error::{Error, Result},
    settings::VoterSettings,
    sync::lock,
};
use disk::Files;
use group::{NodeId, Status};
use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::Mutex,
    time::{Duration, Instant},
};

/// Name of the file in the data folder.
const FILE_NAME: &str = "voters.json";
/// Time after a failed write of the file until the next one: messages come every few milliseconds, and a
/// disk stays full for seconds.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of addresses that are kept of nodes that are neither members nor retired. All members of a large group
/// fit, for a node that is about to join.
const MAX_OTHERS: usize = 16;

/// Addresses of the voters that this voter knows, with a copy on disk.
pub(crate) struct Addresses {
    file: PathBuf,
    own_id: NodeId,
    known: Mutex<Known>,
}

/// Addresses and whether the file has them.
struct Known {
    addresses: VoterAddresses,
    /// Time of the last write of the file, if it failed: the file lacks some addresses.
    failed_at: Option<Instant>,
}

impl Addresses {
    /// Reads the stored addresses, and adds those of the initial voters and of this voter.
    pub(crate) fn open(settings: &VoterSettings, own_address: &str) -> Result<Self> {
        let error = |err: io::Error| Error::file("voter.data_folder", &err);
        fs::create_dir_all(&settings.data_folder).map_err(error)?;
        let file = settings.data_folder.join(FILE_NAME);
        let initial = settings.initial.iter().map(|v| (v.id, v.address.to_string()));
        let mut known: VoterAddresses = initial.collect();
        let stored = read(&file).map_err(error)?;
        known.extend(stored.clone());
        known.insert(settings.id, String::from(own_address));
        if known != stored {
            // Later settings may no longer name the initial voters.
            write(&file, &known).map_err(|err| Error::store("voter.data_folder", &err))?;
        }
        let known = Known { addresses: known, failed_at: None };
        Ok(Self { file, own_id: settings.id, known: Mutex::new(known) })
    }

    /// Address of a voter, if known.
    pub(crate) fn of(&self, id: NodeId) -> Option<String> {
        lock(&self.known).addresses.get(&id).cloned()
    }

    /// All addresses.
    pub(crate) fn all(&self) -> VoterAddresses {
        lock(&self.known).addresses.clone()
    }

    /// Adds or changes addresses of other voters, and stores them. `needed` is a node that has to be answered, as it
    /// has sent the addresses or asks to join. `status` is called only if there is anything new. Those that were not
    /// stored before, as the write failed, are stored by a later call.
    pub(crate) fn learn(
        &self,
        learnt: &VoterAddresses,
        needed: NodeId,
        now: Instant,
        status: impl FnOnce() -> Status,
    ) {
        let mut known = lock(&self.known);
        let is_changed = |(id, address): &(&NodeId, &String)| {
            **id != self.own_id && known.addresses.get(id) != Some(*address)
        };
        let changed: VoterAddresses =
            learnt.iter().filter(is_changed).map(|(id, address)| (*id, address.clone())).collect();
        let is_retry_due =
            known.failed_at.is_some_and(|at| now.saturating_duration_since(at) >= RETRY_INTERVAL);
        if changed.is_empty() && !is_retry_due {
            return;
        }
        let next = self.merge(&known.addresses, changed, needed, &status());
        if next == known.addresses && !is_retry_due {
            return;
        }
        known.addresses = next;
        let had_failed = known.failed_at.is_some();
        match write(&self.file, &known.addresses) {
            Ok(()) => known.failed_at = None,
            Err(err) => {
                known.failed_at = Some(now);
                return log::error!("the voters' addresses were not saved: {err}");
            }
        }
        if had_failed {
            log::info!("the voters' addresses are saved");
        }
    }

    /// The known addresses with the changed ones that are to be kept, and without those that aren't any more.
    fn merge(
        &self,
        known: &VoterAddresses,
        changed: VoterAddresses,
        needed: NodeId,
        status: &Status,
    ) -> VoterAddresses {
        let members = &status.membership;
        let is_member = |id: NodeId| id == self.own_id || members.contains(id);
        let is_retired = |id: NodeId| id != self.own_id && members.is_retired(id);
        let mut next = known.clone();
        // Before it is committed, a removal may be undone.
        next.retain(|id, _| !(is_retired(*id) && status.is_membership_committed));
        let mut others = next.keys().filter(|id| !is_member(**id)).count();
        let mut changed: Vec<_> = changed.into_iter().filter(|(id, _)| !is_retired(*id)).collect();
        changed.sort_by_key(|(id, _)| *id != needed);
        for (id, address) in changed {
            if !is_member(id) && !next.contains_key(&id) {
                if others >= MAX_OTHERS && id != needed {
                    continue;
                }
                if others >= MAX_OTHERS {
                    // Messages bring back those that other members need.
                    next.retain(|id, _| is_member(*id));
                    others = 0;
                }
                others += 1;
            }
            next.insert(id, address);
        }
        next
    }
}

/// Reads the file, which need not exist. An unreadable one is replaced: the others send what they know.
fn read(file: &Path) -> io::Result<VoterAddresses> {
    match fs::read(file) {
        Ok(buf) => Ok(serde_json::from_slice(&buf).unwrap_or_else(|err| {
            log::error!("{}: the voters' addresses can't be read: {err}", file.display());
            VoterAddresses::new()
        })),
        Err(err) if err.kind() == io::ErrorKind::NotFound => Ok(VoterAddresses::new()),
        Err(err) => Err(err),
    }
}

/// Replaces the file atomically.
fn write(file: &Path, known: &VoterAddresses) -> disk::Result<()> {
    let text = serde_json::json!(known).to_string();
    disk::replace_file(file, text.as_bytes(), &mut Files::default())
}
