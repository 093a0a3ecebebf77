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
use flume::{Receiver, RecvTimeoutError, Sender};
use group::{NodeId, Status};
use raft::Message;
use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    thread::{self, JoinHandle},
    time::Duration,
};

/// Name of the file in the data folder.
const FILE_NAME: &str = "voters.json";
/// Time after a failed write of the file until the next one: a disk stays full for seconds.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of addresses that are kept of nodes that are neither members nor retired. All members of a large group
/// fit, for a node that is about to join.
const MAX_OTHERS: usize = 16;

/// Addresses of the voters that this voter knows, with a copy on disk.
pub(crate) struct Addresses {
    file: PathBuf,
    own_id: NodeId,
    known: Mutex<VoterAddresses>,
}

impl Addresses {
    /// Reads the stored addresses, and adds those of the initial voters and of this voter. Returns whether they have to
    /// be stored: later settings may no longer name the initial voters.
    pub(crate) fn open(settings: &VoterSettings, own_address: &str) -> Result<(Self, bool)> {
        let error = |err: io::Error| Error::file("voter.data_folder", &err);
        fs::create_dir_all(&settings.data_folder).map_err(error)?;
        let file = settings.data_folder.join(FILE_NAME);
        let initial = settings.initial.iter().map(|v| (v.id, v.address.to_string()));
        let mut known: VoterAddresses = initial.collect();
        let stored = read(&file).map_err(error)?;
        known.extend(stored.clone());
        known.insert(settings.id, String::from(own_address));
        let is_changed = known != stored;
        Ok((Self { file, own_id: settings.id, known: Mutex::new(known) }, is_changed))
    }

    /// Writes the file at the start of the voter.
    pub(crate) fn store_first(&self) -> Result<()> {
        write(&self.file, &self.all()).map_err(|err| Error::store("voter.data_folder", &err))
    }

    /// Address of a voter, if known.
    pub(crate) fn of(&self, id: NodeId) -> Option<String> {
        lock(&self.known).get(&id).cloned()
    }

    /// All addresses.
    pub(crate) fn all(&self) -> VoterAddresses {
        lock(&self.known).clone()
    }

    /// Adds or changes addresses of other voters. `needed` is a node that has to be answered, as it has sent the
    /// addresses or asks to join. `status` is called only if there is anything new. Returns whether there is anything to
    /// store.
    pub(crate) fn learn(
        &self,
        learnt: &VoterAddresses,
        needed: NodeId,
        status: impl FnOnce() -> Status,
    ) -> bool {
        let mut known = lock(&self.known);
        let is_changed = |(id, address): &(&NodeId, &String)| {
            **id != self.own_id && known.get(id) != Some(*address)
        };
        let changed: VoterAddresses =
            learnt.iter().filter(is_changed).map(|(id, address)| (*id, address.clone())).collect();
        if changed.is_empty() {
            return false;
        }
        let next = self.merge(&known, changed, needed, &status());
        let has_changed = next != *known;
        *known = next;
        has_changed
    }

    /// Writes the file. Returns whether that succeeded.
    fn store(&self) -> bool {
        let stored = write(&self.file, &self.all());
        if let Err(err) = &stored {
            log::error!("the voters' addresses were not saved: {err}");
        }
        stored.is_ok()
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

/// Thread that stores the addresses, as a disk may take seconds, and a daemon's tasks share one thread.
pub(crate) struct AddressWriter {
    /// `None` once it was told to stop.
    tx: Mutex<Option<Sender<Option<Message>>>>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl AddressWriter {
    /// Starts the thread. It passes messages on to `deliver`.
    pub(crate) fn start(
        addresses: Arc<Addresses>,
        deliver: impl Fn(Message) + Send + 'static,
    ) -> Result<Self> {
        let (tx, rx) = flume::unbounded();
        let thread = thread::Builder::new()
            .name(String::from("addresses"))
            .spawn(move || store_addresses(&addresses, &rx, deliver))
            .map_err(|err| Error::start("voter", err))?;
        Ok(Self { tx: Mutex::new(Some(tx)), thread: Mutex::new(Some(thread)) })
    }

    /// Has the addresses stored. The message that brought them is passed on afterwards, so that this voter
    /// acknowledges no member that it may have forgotten after a restart.
    pub(crate) fn store(&self, message: Option<Message>) {
        let tx = lock(&self.tx);
        // A voter that stops has dropped the sender, and needs no messages any more.
        if tx.as_ref().is_some_and(|tx| tx.send(message).is_err()) {
            log::error!("the thread that stores addresses has ended");
        }
    }

    /// Waits until what was learnt so far is stored, or that has failed, and ends the thread.
    pub(crate) fn stop(&self) {
        lock(&self.tx).take();
        if lock(&self.thread).take().is_some_and(|thread| thread.join().is_err()) {
            log::error!("the thread that stores addresses panicked");
        }
    }
}

/// Body of the thread: stores the addresses each time that it is told to, and again after a failure.
fn store_addresses(
    addresses: &Addresses,
    rx: &Receiver<Option<Message>>,
    deliver: impl Fn(Message),
) {
    let mut is_stored = true;
    loop {
        let first = match is_stored {
            true => rx.recv().map_err(|_| RecvTimeoutError::Disconnected),
            false => rx.recv_timeout(RETRY_INTERVAL),
        };
        if first == Err(RecvTimeoutError::Disconnected) {
            return;
        }
        let messages: Vec<Message> = first.into_iter().chain(rx.try_iter()).flatten().collect();
        let was_stored = is_stored;
        is_stored = addresses.store();
        if is_stored && !was_stored {
            log::info!("the voters' addresses are saved");
        }
        messages.into_iter().for_each(&deliver);
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
