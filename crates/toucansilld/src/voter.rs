//! Voter of the control group on this VM: runs a [`group::Group`] member with the replicated
//! [`control::State`], and serves the requests that only the leader may serve.

mod addresses;
mod leader;
mod machine;

use crate::{
    control_messages::{
        ControlReply, ControlRequest, InForceReport, LaggingDaemonReport, RaftEnvelope,
        VoterAddresses, VoterChange, VoterReport, VotersReport,
    },
    error::{Error, Result},
    settings::VoterSettings,
    sync::{lock, run_both},
};
use addresses::{AddressWriter, Addresses};
use control::{Command, InForceStatus, Outcome, RosterOutcome, State, relay};
use group::{
    Config, Group, Handle, Membership, MembershipChange, NodeId, OutgoingMessage, Role, StartMode,
};
use kernel::SharedClock;
use leader::Leader;
use std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::Duration,
};

/// Time between ticks of the consensus. Heartbeats and elections take several ticks. An election
/// ends well before a session lease expires.
pub(crate) const TICK: Duration = Duration::from_millis(100);
/// Folder of the log and the snapshots, in the data folder.
const GROUP_FOLDER: &str = "group";
/// Folder of a log that is being removed.
const DISCARDED_FOLDER: &str = "group.discarded";
/// Name of the temporary file in which a back-up is encoded.
const BACKUP_FILE: &str = "backup.new";
/// Maximum time to wait for a proposal to be applied.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time to wait for a majority to confirm the leader, or for a leadership transfer.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for one step of a membership change.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time for a membership change that the daemons make by themselves. It is planned anew if it
/// fails, and nobody else joins or leaves meanwhile.
const MEMBER_CHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between checks for expired leases.
pub(crate) const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A running voter.
pub(crate) struct Voter {
    handle: Handle,
    state: Arc<Mutex<State>>,
    /// Leases and clock of the latest term that this voter was confirmed as the leader of.
    leader: Mutex<Option<Leader>>,
    addresses: Arc<Addresses>,
    address_writer: AddressWriter,
    backup_file: PathBuf,
    clock: SharedClock,
}

impl Voter {
    /// Opens the data folder and starts the voter, which sends consensus messages to `outbox`.
    /// `own_address` is the link address of its daemon.
    pub(crate) fn start(
        settings: &VoterSettings,
        own_address: &str,
        tick: Duration,
        clock: SharedClock,
        outbox: flume::Sender<OutgoingMessage>,
    ) -> Result<Self> {
        let state = Arc::new(Mutex::new(State::new()));
        let (addresses, has_new_addresses) = Addresses::open(settings, own_address)?;
        let addresses = Arc::new(addresses);
        let mut cfg = Config::new(settings.id, settings.data_folder.join(GROUP_FOLDER));
        cfg.clock = Arc::clone(&clock);
        cfg.tick_interval = Some(tick);
        cfg.start_mode = start_mode(settings);
        cfg.raft.has_new_id = settings.has_new_id;
        if let Some(entries) = settings.snapshot_entries {
            cfg.snapshot_interval_entries = entries.get();
            cfg.keep_entries = cfg.keep_entries.min(entries.get());
        }
        // They don't wait for each other's syncs: no message is sent or received before both have ended.
        let (stored, started) = run_both(
            || if has_new_addresses { addresses.store_first() } else { Ok(()) },
            || Group::start(cfg, machine::state_machine(&state), outbox),
        );
        let handle = started.map_err(|err| Error::voter("voter", &err))?;
        if let Err(err) = stored {
            handle.stop();
            return Err(err);
        }
        let receiver = handle.clone();
        let address_writer =
            AddressWriter::start(Arc::clone(&addresses), move |message| receiver.step(message))?;
        let backup_file = settings.data_folder.join(BACKUP_FILE);
        let leader = Mutex::default();
        Ok(Self { handle, state, leader, addresses, address_writer, backup_file, clock })
    }

    /// Handles one request.
    pub(crate) fn handle(&self, req: ControlRequest) -> ControlReply {
        let result = match req {
            ControlRequest::Renew(renewals) => self.renew(&renewals),
            ControlRequest::Propose(command) => self.propose(*command).map(ControlReply::Applied),
            ControlRequest::InForce { index } => self.in_force(index),
            ControlRequest::Voters => self.voters(),
            ControlRequest::ChangeVoters(change) => self.apply_change(change),
            ControlRequest::BackUp => self.back_up(),
        };
        result.unwrap_or_else(|err| self.error_reply(&err))
    }

    /// Handles a consensus message of another voter.
    pub(crate) fn step(&self, envelope: RaftEnvelope) {
        let RaftEnvelope { message, voters } = envelope;
        match self.learn(&voters, message.from) {
            true => self.address_writer.store(Some(message)),
            false => self.handle.step(message),
        }
    }

    /// The link address and the envelope for an outgoing message, or `None` if the address is not
    /// known.
    pub(crate) fn envelope(&self, outgoing: OutgoingMessage) -> Option<(String, RaftEnvelope)> {
        let address = self.addresses.of(outgoing.to)?;
        // Each message carries all addresses: a member must know the others before the leader is
        // lost.
        let voters = self.addresses.all();
        Some((address, RaftEnvelope { message: outgoing.message, voters }))
    }

    /// Link addresses of all known voters, this one included. They outlast the data of a member that starts anew.
    pub(crate) fn known_addresses(&self) -> Vec<String> {
        self.addresses.all().into_values().collect()
    }

    /// On the leader, proposes to end sessions whose lease has expired and to advance the clock of
    /// the state when entries of the ledger or the quarantine expire.
    pub(crate) fn check_leases(&self) {
        if !self.handle.status().is_leader() {
            return;
        }
        let due = self.with_leader(|leader, state, now| leader.due_commands(now, state));
        let due = due.unwrap_or_default();
        if due.is_empty() {
            return;
        }
        // One log entry for all of them: the loss of a data centre must not cost a disk sync for
        // each of its daemons.
        if let Err(err) = self.propose(Command::Batch(due)) {
            log::warn!("commands due by time were not applied: {err}");
        }
    }

    /// Tells the voter that the disk of another one is lost.
    pub(crate) fn note_lost_disk(&self, id: NodeId) {
        self.handle.note_lost_disk(id);
    }

    /// Transfers leadership to another voter, so that a planned stop costs no election.
    pub(crate) fn step_down(&self) {
        if let Err(err) = self.handle.step_down(CONFIRM_TIMEOUT) {
            log::warn!("leadership was not transferred: {err}");
        }
    }

    /// Reads the state after a majority has confirmed this voter as the leader.
    pub(crate) fn read<T>(&self, f: impl FnOnce(&State) -> T) -> group::Result<T> {
        self.with_leader(|_, state, _| f(state))
    }

    /// Reads the local state, which may lag behind the leader's.
    pub(crate) fn peek<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        f(&lock(&self.state))
    }

    /// Link address of a voter, if known.
    pub(crate) fn address_of(&self, id: NodeId) -> Option<String> {
        self.addresses.of(id)
    }

    /// Adds or changes the link address of another voter.
    pub(crate) fn learn_address(&self, id: NodeId, address: String) {
        if self.learn(&[(id, address)].into(), id) {
            self.address_writer.store(None);
        }
    }

    /// Adds or changes link addresses of other voters. `needed` is the one that has to be answered. Returns whether
    /// there is anything to store.
    fn learn(&self, addresses: &VoterAddresses, needed: NodeId) -> bool {
        self.addresses.learn(addresses, needed, || self.handle.status())
    }

    /// Makes one membership change, and waits until it is committed.
    pub(crate) fn change_members(&self, change: MembershipChange) -> group::Result<()> {
        self.handle.change_membership(change, MEMBER_CHANGE_TIMEOUT).map(drop)
    }

    /// Status of the group on this voter.
    pub(crate) fn status(&self) -> group::Status {
        self.handle.status()
    }

    /// Stops the voter and closes its data folder.
    pub(crate) fn stop(&self) {
        self.handle.stop();
        self.address_writer.stop();
    }

    /// Renews the leases of a batch.
    fn renew(&self, renewals: &relay::RenewalBatch) -> group::Result<ControlReply> {
        self.with_leader(|leader, state, now| {
            ControlReply::Renewed(relay::renew_all(leader.leases(), now, renewals, state))
        })
    }

    /// Stamps a command with the leader's clock, proposes it and waits until it is applied.
    pub(crate) fn propose(&self, mut command: Command) -> group::Result<Outcome> {
        let at_ms = self.with_leader(|leader, _, now| leader.at_ms(now))?;
        command.stamp(at_ms);
        let applied = self.handle.propose(control::encode(&command), PROPOSE_TIMEOUT)?;
        let outcome = control::decode(&applied.output).unwrap_or(Outcome::Skipped);
        if let (Command::Leave(holder), Outcome::Roster(RosterOutcome::Removed)) =
            (&command, &outcome)
        {
            self.with_leader(|leader, _, _| leader.leases().release(holder))?;
        }
        Ok(outcome)
    }

    fn in_force(&self, index: u64) -> group::Result<ControlReply> {
        let status = self.with_leader(|leader, _, now| leader.leases().in_force(index, now))?;
        Ok(ControlReply::InForce(in_force_report(status)))
    }

    /// The leader's view of the voters and learners.
    fn voters(&self) -> group::Result<ControlReply> {
        self.handle.confirm_leadership(CONFIRM_TIMEOUT)?;
        let status = self.handle.status();
        let members = status
            .membership
            .nodes()
            .map(|id| VoterReport {
                id,
                address: self.addresses.of(id),
                is_voter: status.membership.is_voter(id),
                matched: status.matched.get(&id).copied().unwrap_or(status.last_index),
            })
            .collect();
        let report =
            VotersReport { leader: status.id, term: status.term, commit: status.commit, members };
        Ok(ControlReply::Voters(report))
    }

    /// Applies one step of a membership change, and replies with the log index at which it was
    /// committed.
    fn apply_change(&self, change: VoterChange) -> group::Result<ControlReply> {
        let index = match change {
            VoterChange::Add { id, address } => {
                self.learn_address(id, address);
                self.add(id)?
            }
            VoterChange::Remove { id } => self.handle.remove_member(id, MEMBERSHIP_TIMEOUT)?,
            VoterChange::Replace { old, new, address } => {
                self.learn_address(new, address);
                self.handle.replace_voter(old, new, MEMBERSHIP_TIMEOUT)?
            }
        };
        Ok(ControlReply::VotersChanged(index))
    }

    /// Adds a learner and promotes it once it has caught up.
    fn add(&self, id: NodeId) -> group::Result<u64> {
        let status = self.handle.status();
        let members = status.membership;
        if members.is_voter(id) && status.role == Role::Leader {
            // A resend after a lost reply: the voter was added already.
            return Ok(status.commit);
        }
        if !members.contains(id) {
            self.handle.change_membership(MembershipChange::AddLearner(id), MEMBERSHIP_TIMEOUT)?;
        }
        self.handle.change_membership(MembershipChange::Promote(id), MEMBERSHIP_TIMEOUT)
    }

    /// Encodes the leader's state as a back-up.
    fn back_up(&self) -> group::Result<ControlReply> {
        self.handle.confirm_leadership(CONFIRM_TIMEOUT)?;
        let snapshot = self.handle.backup()?;
        Ok(match backup_bytes(&self.backup_file, &snapshot) {
            Ok(buf) => ControlReply::BackUp(buf),
            Err(reason) => ControlReply::Refused(reason),
        })
    }

    /// Runs `f` after a majority has confirmed this voter as the leader, with a state that has
    /// applied all entries committed before.
    fn with_leader<T>(
        &self,
        f: impl FnOnce(&mut Leader, &State, std::time::Instant) -> T,
    ) -> group::Result<T> {
        let term = self.handle.confirm_leadership_term(CONFIRM_TIMEOUT)?.term;
        let now = self.clock.now();
        let state = lock(&self.state);
        let mut leader = lock(&self.leader);
        // By now the state may hold entries of a later term, which the leases of this term don't
        // reflect.
        let status = self.handle.status();
        if !status.is_leader() || status.term != term {
            return Err(group::Error::not_leader(status.leader));
        }
        // Confirmations of two terms may complete out of order; the leases of the newer term stay.
        let leader = match &mut *leader {
            Some(leader) if leader.term() >= term => leader,
            leader => leader.insert(Leader::new(term, now, &state)),
        };
        Ok(f(leader, &state, now))
    }

    /// Reply to a request that failed. It says whether anything may have been applied.
    fn error_reply(&self, err: &group::Error) -> ControlReply {
        if err.is_not_leader() {
            let leader = err.leader_hint().or(self.handle.status().leader);
            return ControlReply::NotLeader { leader: leader.and_then(|id| self.addresses.of(id)) };
        }
        if err.is_not_applied() {
            return ControlReply::Refused(err.to_string());
        }
        ControlReply::Unknown(err.to_string())
    }
}

/// Id of the voter whose log is in a data folder; `None` if there is none.
pub(crate) fn stored_id(data_folder: &Path) -> disk::Result<Option<NodeId>> {
    disk::read_owner(data_folder.join(GROUP_FOLDER))
}

/// Sets the log in a data folder aside, in one step and durably. [`remove_discarded`] then removes it.
pub(crate) fn discard_log(data_folder: &Path) -> io::Result<()> {
    let discarded = data_folder.join(DISCARDED_FOLDER);
    unless_missing(fs::remove_dir_all(&discarded))?;
    unless_missing(fs::rename(data_folder.join(GROUP_FOLDER), discarded))?;
    File::open(data_folder)?.sync_all()
}

/// Removes a log that was set aside, and what an interrupted back-up has left.
pub(crate) fn remove_discarded(data_folder: &Path) -> io::Result<()> {
    unless_missing(fs::remove_dir_all(data_folder.join(DISCARDED_FOLDER)))?;
    unless_missing(fs::remove_file(data_folder.join(BACKUP_FILE)))
}

/// Result of an operation on a file that need not exist.
fn unless_missing(result: io::Result<()>) -> io::Result<()> {
    match result {
        Err(err) if err.kind() == io::ErrorKind::NotFound => Ok(()),
        result => result,
    }
}

/// Bootstraps a new group of the initial voters, or joins a running group if there are none.
fn start_mode(settings: &VoterSettings) -> StartMode {
    if settings.initial.is_empty() {
        return StartMode::Join;
    }
    let ids = settings.initial.iter().map(|voter| voter.id);
    StartMode::Bootstrap(Membership::initial(FIRST_GROUP_EPOCH, ids))
}

/// Group epoch of a control group that was not restored from a back-up.
const FIRST_GROUP_EPOCH: u64 = 1;

/// Encodes the snapshot in the format of a back-up file, by way of the temporary `file`.
fn backup_bytes(file: &Path, snapshot: &raft::Snapshot) -> std::result::Result<Vec<u8>, String> {
    disk::write_backup(file, snapshot).map_err(|err| err.to_string())?;
    let buf = fs::read(file).map_err(|err| err.to_string())?;
    fs::remove_file(file).map_err(|err| err.to_string())?;
    Ok(buf)
}

fn in_force_report(status: InForceStatus) -> InForceReport {
    match status {
        InForceStatus::Yes => {
            InForceReport { is_in_force: true, lagging: Vec::new(), is_leader_new: false }
        }
        InForceStatus::No { lagging, is_leader_new } => {
            let lagging = lagging
                .into_iter()
                .map(|lagging| LaggingDaemonReport {
                    daemon: lagging.instance.daemon,
                    acknowledged: lagging.acknowledged,
                    runs_out_in_ms: u64::try_from(lagging.expires_in.as_millis())
                        .unwrap_or(u64::MAX),
                })
                .collect();
            InForceReport { is_in_force: false, lagging, is_leader_new }
        }
    }
}
