//! The control group's voter on this VM.

mod addresses;
mod leader;
mod machine;

use crate::{
    control_messages::{
        ControlReply, ControlRequest, InForceReport, LaggingDaemonReport, RaftEnvelope,
        VoterChange, VoterReport, VotersReport,
    },
    error::{Error, Result},
    settings::VoterSettings,
    sync::lock,
};
use addresses::Addresses;
use control::{Command, InForceStatus, Outcome, RosterOutcome, State, relay};
use group::{
    Config, Group, Handle, Membership, MembershipChange, NodeId, OutgoingMessage, Role, StartMode,
};
use kernel::SharedClock;
use leader::Leader;
use std::{
    fs,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::Duration,
};

/// Time between two ticks of the consensus. Heartbeats and elections take several;
/// an election ends well before a session lease does.
pub(crate) const TICK: Duration = Duration::from_millis(100);
/// Name of the file in which a back-up is put together.
const BACKUP_FILE: &str = "backup.new";
/// Longest wait for a proposal to be committed.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for a majority to confirm the leader.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for one step of a change of voters.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two looks at the leases.
pub(crate) const LEASE_CHECK: Duration = Duration::from_millis(250);

/// A running voter.
pub(crate) struct Voter {
    handle: Handle,
    state: Arc<Mutex<State>>,
    leader: Mutex<Option<Leader>>,
    addresses: Addresses,
    backup_file: PathBuf,
    clock: SharedClock,
}

impl Voter {
    /// Opens the data folder and starts the voter. Consensus messages come out of `outbox`.
    pub(crate) fn start(
        settings: &VoterSettings,
        own_address: &str,
        tick: Duration,
        clock: SharedClock,
        outbox: flume::Sender<OutgoingMessage>,
    ) -> Result<Self> {
        let state = Arc::new(Mutex::new(State::new()));
        let addresses = Addresses::open(settings, own_address)?;
        let mut cfg = Config::new(settings.id, settings.data_folder.join("group"));
        cfg.clock = Arc::clone(&clock);
        cfg.tick_interval = Some(tick);
        cfg.start_mode = start_of(settings);
        let handle = Group::start(cfg, machine::machine(&state), outbox)
            .map_err(|err| Error::start("voter", err))?;
        let backup_file = settings.data_folder.join(BACKUP_FILE);
        Ok(Self { handle, state, leader: Mutex::default(), addresses, backup_file, clock })
    }

    /// Answers one request.
    pub(crate) fn answer(&self, req: ControlRequest) -> ControlReply {
        let answered = match req {
            ControlRequest::Renew(renewals) => self.renew(&renewals),
            ControlRequest::Propose(command) => self.propose(*command).map(ControlReply::Applied),
            ControlRequest::InForce { index } => self.in_force(index),
            ControlRequest::Voters => self.voters(),
            ControlRequest::ChangeVoters(change) => self.change(change),
            ControlRequest::BackUp => self.back_up(),
        };
        answered.unwrap_or_else(|err| self.refusal(&err))
    }

    /// Takes in a consensus message of another voter.
    pub(crate) fn step(&self, envelope: RaftEnvelope) {
        self.addresses.learn(&envelope.voters);
        self.handle.step(envelope.message);
    }

    /// The envelope for an outgoing message, and where it goes.
    pub(crate) fn envelope(&self, outgoing: OutgoingMessage) -> Option<(String, RaftEnvelope)> {
        let address = self.addresses.of(outgoing.to)?;
        // All, each time: a member must know the others before its leader may be lost.
        let voters = self.addresses.all();
        Some((address, RaftEnvelope { message: outgoing.message, voters }))
    }

    /// Link addresses of all voters that are known here.
    pub(crate) fn known_addresses(&self) -> Vec<String> {
        self.addresses.all().into_values().collect()
    }

    /// Proposes the end of leases that have run out, and of ledger entries whose window is over.
    pub(crate) fn check_leases(&self) {
        if !self.handle.status().is_leader() {
            return;
        }
        let due = self.with_leader(|leader, state, now| leader.due_commands(now, state));
        let due = due.unwrap_or_default();
        if due.is_empty() {
            return;
        }
        // One entry for all: the loss of a data centre must not cost a sync for each daemon.
        if let Err(err) = self.propose(Command::Batch(due)) {
            log::warn!("due commands were not applied: {err}");
        }
    }

    /// Hands leadership on, so that a planned stop costs no election.
    pub(crate) fn hand_over(&self) {
        if let Err(err) = self.handle.step_down(CONFIRM_TIMEOUT) {
            log::warn!("leadership was not handed on: {err}");
        }
    }

    /// The state, after a majority has confirmed this voter as the leader.
    pub(crate) fn read<T>(&self, f: impl FnOnce(&State) -> T) -> group::Result<T> {
        self.with_leader(|_, state, _| f(state))
    }

    /// The state as it is here, which may lag behind the leader's.
    pub(crate) fn peek<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        f(&lock(&self.state))
    }

    /// Address of a voter, if known.
    pub(crate) fn address_of(&self, id: NodeId) -> Option<String> {
        self.addresses.of(id)
    }

    /// Adds a voter, or replaces one by it.
    pub(crate) fn admit(&self, change: VoterChange) -> group::Result<()> {
        self.change(change).map(drop)
    }

    /// What the voter says of itself.
    pub(crate) fn status(&self) -> group::Status {
        self.handle.status()
    }

    /// Stops the voter and closes its data folder.
    pub(crate) fn stop(&self) {
        self.handle.stop();
    }

    fn renew(&self, renewals: &relay::RenewalBatch) -> group::Result<ControlReply> {
        self.with_leader(|leader, state, now| {
            ControlReply::Renewed(relay::renew_all(leader.leases(), now, renewals, state))
        })
    }

    /// Proposes a command and waits until it is applied.
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
        let found = self.with_leader(|leader, _, now| leader.leases().in_force(index, now))?;
        Ok(ControlReply::InForce(force_report(found)))
    }

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

    fn change(&self, change: VoterChange) -> group::Result<ControlReply> {
        let index = match change {
            VoterChange::Add { id, address } => {
                self.addresses.learn(&[(id, address)].into());
                self.add(id)?
            }
            VoterChange::Remove { id } => {
                self.handle.change_membership(MembershipChange::Remove(id), CHANGE_TIMEOUT)?
            }
            VoterChange::Replace { old, new, address } => {
                self.addresses.learn(&[(new, address)].into());
                self.handle.replace_voter(old, new, CHANGE_TIMEOUT)?
            }
        };
        Ok(ControlReply::VotersChanged(index))
    }

    fn add(&self, id: NodeId) -> group::Result<u64> {
        let status = self.handle.status();
        let members = status.membership;
        if members.is_voter(id) && status.role == Role::Leader {
            // Asked again after a lost answer.
            return Ok(status.commit);
        }
        if !members.contains(id) {
            self.handle.change_membership(MembershipChange::AddLearner(id), CHANGE_TIMEOUT)?;
        }
        self.handle.change_membership(MembershipChange::Promote(id), CHANGE_TIMEOUT)
    }

    fn back_up(&self) -> group::Result<ControlReply> {
        self.handle.confirm_leadership(CONFIRM_TIMEOUT)?;
        let snapshot = self.handle.backup()?;
        Ok(match backup_bytes(&self.backup_file, &snapshot) {
            Ok(buf) => ControlReply::BackUp(buf),
            Err(reason) => ControlReply::Refused(reason),
        })
    }

    /// Runs `f` after a majority has confirmed this voter as the leader, with a
    /// state that has applied all that was committed before.
    fn with_leader<T>(
        &self,
        f: impl FnOnce(&mut Leader, &State, std::time::Instant) -> T,
    ) -> group::Result<T> {
        let term = self.handle.confirm_leadership_term(CONFIRM_TIMEOUT)?.term;
        let now = self.clock.now();
        let state = lock(&self.state);
        let mut leader = lock(&self.leader);
        // The state may hold entries of a later term by now, which this term's
        // leases know nothing of.
        let status = self.handle.status();
        if !status.is_leader() || status.term != term {
            return Err(group::Error::not_leader(status.leader));
        }
        // Answers of two terms may come crossed; the newer term's leases stay.
        let leader = match &mut *leader {
            Some(leader) if leader.term() >= term => leader,
            leader => leader.insert(Leader::new(term, now, &state)),
        };
        Ok(f(leader, &state, now))
    }

    fn refusal(&self, err: &group::Error) -> ControlReply {
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

fn start_of(settings: &VoterSettings) -> StartMode {
    if settings.initial.is_empty() {
        return StartMode::Join;
    }
    let ids = settings.initial.iter().map(|voter| voter.id);
    StartMode::Bootstrap(Membership::initial(FIRST_EPOCH, ids))
}

/// Epoch of a group that was not restored from a back-up.
const FIRST_EPOCH: u64 = 1;

/// The snapshot in the format of a back-up file.
fn backup_bytes(file: &Path, snapshot: &raft::Snapshot) -> std::result::Result<Vec<u8>, String> {
    disk::write_backup(file, snapshot).map_err(|err| err.to_string())?;
    let buf = fs::read(file).map_err(|err| err.to_string())?;
    fs::remove_file(file).map_err(|err| err.to_string())?;
    Ok(buf)
}

fn force_report(found: InForceStatus) -> InForceReport {
    match found {
        InForceStatus::Yes => {
            InForceReport { is_in_force: true, lagging: Vec::new(), is_leader_new: false }
        }
        InForceStatus::No { lagging, is_leader_new } => {
            let lagging = lagging
                .into_iter()
                .map(|lagging| LaggingDaemonReport {
                    daemon: lagging.holder.daemon,
                    acknowledged: lagging.acknowledged,
                    runs_out_in_ms: u64::try_from(lagging.expires_in.as_millis())
                        .unwrap_or(u64::MAX),
                })
                .collect();
            InForceReport { is_in_force: false, lagging, is_leader_new }
        }
    }
}
