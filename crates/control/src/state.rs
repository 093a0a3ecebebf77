//! The state machine that every voter runs.

use crate::{
    changes::{ChangeLog, ChangeSet, ChangeSetContents, ChangeStep, FullState},
    codec,
    command::{
        Claim, Command, FencingTokenRequest, JoinRequest, PublishedRouting, RequestHash,
        SheetChange,
    },
    configuration::Configuration,
    delta::ConfigurationDelta,
    error::{Error, Result},
    ledger::{Ledger, LedgerLimits},
    outcome::{
        ClaimOutcome, FencingTokenOutcome, Outcome, RosterOutcome, RoutingOutcome, SheetOutcome,
    },
    quarantine::{Quarantine, QuarantineStatus},
    roster::{DaemonInstance, Departed, MAX_MEMBERS, Member, Roster, owner_of},
    sheets::{AcceptedSheet, Sheets},
};
use bincode::{Decode, Encode};
use std::{collections::BTreeSet, sync::Arc};
use wire::{DataCentreId, Incarnation};

/// Format of the snapshots that this build writes.
const SNAPSHOT_VERSION: u32 = 3;

/// Format without routing and closed data centres.
const VERSION_WITHOUT_ROUTING: u32 = 2;

/// Format without the base of indexes, which was 0 then.
const VERSION_WITHOUT_BASE: u32 = 1;

/// Indexes that each epoch of a region has for itself. No group comes near it:
/// at 100,000 commands per second it would take four months.
const INDEXES_PER_EPOCH: u64 = 1 << 40;

/// Bytes of a snapshot that tell its format.
const VERSION_BYTES: usize = size_of::<u32>();

/// The replicated state of a region.
///
/// Equal commands at equal indexes lead to equal states and outcomes: the state
/// reads no clock and uses no randomness.
///
/// The indexes that the state gives out are those of the log plus a base, which
/// is 0 until the region is restored from a back-up; see [`State::for_new_group`].
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct State {
    /// What is added to an index of the log. The first field, so that the former
    /// format can be read.
    base: u64,
    applied: u64,
    clock_ms: u64,
    sheets: Sheets,
    configuration: Arc<Configuration>,
    roster: Arc<Roster>,
    departed: Departed,
    ledger: Ledger,
    quarantine: Quarantine,
    log: ChangeLog,
    /// Fields from here on are lacking in the former format.
    routing: Option<Arc<PublishedRouting>>,
    closed: BTreeSet<DataCentreId>,
}

impl State {
    /// The state before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// The same with other bounds of the ledger; all voters must use the same.
    pub fn with_limits(limits: LedgerLimits) -> Self {
        Self { ledger: Ledger::new(limits), ..Self::default() }
    }

    /// Index of the last applied log entry, on top of the base.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Time of the state: the highest stamp applied, in milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// The last accepted sheet.
    pub fn sheet(&self) -> Option<&AcceptedSheet> {
        self.sheets.last()
    }

    /// Members.
    pub fn roster(&self) -> &Arc<Roster> {
        &self.roster
    }

    /// Idempotency keys.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Requests to which a death of an upstream is charged.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// The routing document in force.
    pub fn routing(&self) -> Option<&Arc<PublishedRouting>> {
        self.routing.as_ref()
    }

    /// Data centres that get no new work.
    pub fn out_of_service(&self) -> &BTreeSet<DataCentreId> {
        &self.closed
    }

    /// Highest run of a daemon that was ever a member, as far as remembered.
    pub fn last_incarnation(&self, daemon: &str) -> Option<Incarnation> {
        let member = self.roster.member(daemon).map(|member| member.incarnation);
        member.or_else(|| self.departed.last(daemon))
    }

    /// Stamp at which a [`Command::Tick`] is due, in milliseconds, if anything
    /// waits to expire.
    pub fn next_expiry_ms(&self) -> Option<u64> {
        [self.ledger.next_expiry_ms(), self.quarantine.next_expiry_ms()].into_iter().flatten().min()
    }

    /// Applies a committed command at its index in the log. Indexes rise; one that
    /// does not is skipped.
    pub fn apply(&mut self, index: u64, cmd: &Command) -> Outcome {
        let index = self.base + index;
        if index <= self.applied {
            return Outcome::Skipped;
        }
        self.applied = index;
        self.clock_ms = self.clock_ms.max(cmd.at_ms().unwrap_or(0));
        self.expire(index);
        match cmd {
            Command::Batch(cmds) => {
                Outcome::Batch(cmds.iter().map(|cmd| self.apply_one(index, cmd)).collect())
            }
            cmd => self.apply_one(index, cmd),
        }
    }

    /// Passes a log entry that holds no command, such as the first of a term.
    pub fn skip(&mut self, index: u64) {
        self.applied = self.applied.max(self.base + index);
    }

    /// What a daemon lacks that has applied everything up to `index`.
    pub fn changes_since(&self, index: u64) -> ChangeSet {
        let contents = match self.log.since(index) {
            Some(steps) if index > 0 || self.applied == 0 => ChangeSetContents::Steps(steps),
            _ => ChangeSetContents::Whole(Box::new(self.whole())),
        };
        ChangeSet { from: index, to: self.applied, contents }
    }

    /// The state for a new group that starts from a back-up of this one.
    ///
    /// Configuration, sheets, ledger and quarantine stay. Nobody is a member any
    /// more, so that every daemon has to join again above its last incarnation,
    /// and calls in progress count as calls that may have run. Indexes go on from
    /// a base that only this epoch uses: no index, roster epoch or fencing number
    /// of the former group is as high as one of the new group, whatever it did
    /// after the back-up.
    ///
    /// ```
    /// use control::State;
    ///
    /// let renewed = State::new().for_new_group(2).unwrap();
    /// assert!(renewed.applied() > State::new().applied());
    /// ```
    ///
    /// # Errors
    ///
    /// [`Error::is_invalid_epoch`] if the epoch is not above all former ones, or too high.
    pub fn for_new_group(mut self, epoch: u64) -> Result<Self> {
        let base = epoch
            .checked_mul(INDEXES_PER_EPOCH)
            .filter(|base| *base > self.applied && *base < u64::MAX - INDEXES_PER_EPOCH)
            .ok_or_else(|| Error::epoch(epoch, self.applied))?;
        let index = base + (self.applied - self.base);
        for holder in self.roster.instances() {
            self.ledger.give_up(&holder, self.clock_ms);
            self.departed.record(index, &holder.daemon, holder.incarnation);
        }
        self.base = base;
        self.applied = index;
        self.roster = Arc::new(Roster::emptied(index));
        self.log = ChangeLog::after(index);
        Ok(self)
    }

    /// The state as bytes, with the format in front.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut buf = SNAPSHOT_VERSION.to_le_bytes().to_vec();
        buf.extend(codec::encode(self));
        buf
    }

    /// Reads a snapshot.
    ///
    /// # Errors
    ///
    /// [`Error::is_unknown_version`] for a format that this build does not read,
    /// and [`Error::is_malformed`] for bytes that are no snapshot.
    pub fn restore(buf: &[u8]) -> Result<Self> {
        let (version, body) = buf
            .split_first_chunk::<VERSION_BYTES>()
            .ok_or_else(|| Error::malformed("shorter than the format number"))?;
        match u32::from_le_bytes(*version) {
            SNAPSHOT_VERSION => codec::decode(body),
            VERSION_WITHOUT_ROUTING => codec::decode(&[body, &no_routing()].concat()),
            VERSION_WITHOUT_BASE => {
                codec::decode(&[&codec::encode(&0u64), body, &no_routing()].concat())
            }
            other => Err(Error::unknown_version(other, SNAPSHOT_VERSION)),
        }
    }

    fn apply_one(&mut self, index: u64, cmd: &Command) -> Outcome {
        match cmd {
            Command::ApplySheet(sheet) => Outcome::Sheet(self.apply_sheet(index, sheet)),
            Command::Join(join) => Outcome::Roster(self.join(index, join)),
            Command::Leave(holder) | Command::Expire(holder) => {
                Outcome::Roster(self.remove(index, holder))
            }
            Command::ClaimKey(claim) => Outcome::Claim(self.claim(claim)),
            Command::CompleteKey(completion) => {
                Outcome::Key(self.ledger.complete(completion, self.clock_ms))
            }
            Command::AbandonKey(id) => Outcome::Key(self.ledger.abandon(id, self.clock_ms)),
            Command::GiveUpKey(id) => Outcome::Key(self.ledger.give_up_one(id, self.clock_ms)),
            Command::Charge(charge) => {
                let changed = self.quarantine.charge(charge, self.clock_ms);
                self.log_standings(index, changed);
                Outcome::Standing(self.quarantine.status(&charge.fingerprint))
            }
            Command::Acquit { fingerprint, .. } => {
                let changed = self.quarantine.acquit(fingerprint);
                self.log_standings(index, changed);
                Outcome::Standing(self.quarantine.status(fingerprint))
            }
            Command::GrantFence(req) => Outcome::Fence(self.grant_fence(index, req)),
            Command::Tick { .. } => Outcome::Ticked,
            Command::Batch(_) => Outcome::Nested,
            Command::PublishRouting(published) => Outcome::Routing(self.publish(published)),
            Command::CloseDataCentre { data_centre, is_closed } => {
                match is_closed {
                    true => self.closed.insert(data_centre.clone()),
                    false => self.closed.remove(data_centre),
                };
                Outcome::DataCentre
            }
        }
    }

    fn publish(&mut self, published: &PublishedRouting) -> RoutingOutcome {
        match &self.routing {
            Some(held) if held.version >= published.version => {
                RoutingOutcome::Held { version: held.version }
            }
            _ => {
                self.routing = Some(Arc::new(published.clone()));
                RoutingOutcome::Accepted
            }
        }
    }

    fn apply_sheet(&mut self, index: u64, sheet: &SheetChange) -> SheetOutcome {
        if let Some(answer) = self.sheets.answer(sheet) {
            return answer;
        }
        let is_first = self.sheets.last().is_none();
        if !is_first && sheet.configuration.region != self.configuration.region {
            return SheetOutcome::WrongRegion { region: self.configuration.region.clone() };
        }
        let delta = ConfigurationDelta::between(&self.configuration, &sheet.configuration);
        self.log.push(index, ChangeStep::Sheet { number: sheet.number, delta: Box::new(delta) });
        self.configuration = Arc::new(sheet.configuration.clone());
        self.sheets.accept(index, sheet);
        SheetOutcome::Accepted { index }
    }

    fn join(&mut self, index: u64, join: &JoinRequest) -> RosterOutcome {
        let daemon = &join.holder.daemon;
        let incarnation = join.holder.incarnation;
        if let Some(joined) = self.joined_before(join) {
            return RosterOutcome::Joined { index: joined };
        }
        if let Some(last) = self.last_incarnation(daemon).filter(|last| incarnation <= *last) {
            return RosterOutcome::StaleIncarnation { last };
        }
        if self.roster.len() >= MAX_MEMBERS && self.roster.member(daemon).is_none() {
            return RosterOutcome::Full { limit: MAX_MEMBERS };
        }
        if let Some(former) = self.roster.member(daemon).map(|member| member.incarnation) {
            let former = DaemonInstance { daemon: daemon.clone(), incarnation: former };
            self.ledger.give_up(&former, self.clock_ms);
        }
        let member = Arc::new(Member {
            incarnation,
            address: join.address.clone(),
            data_centre: join.data_centre.clone(),
            joined: index,
        });
        self.departed.forget(daemon);
        Arc::make_mut(&mut self.roster).insert(index, daemon.clone(), Arc::clone(&member));
        self.log.push(index, ChangeStep::Joined { daemon: daemon.clone(), member });
        RosterOutcome::Joined { index }
    }

    /// Index of the join that this one is a copy of. A second process under the
    /// same name and number, at another address, is not taken for the first.
    fn joined_before(&self, join: &JoinRequest) -> Option<u64> {
        let member = self.roster.member(&join.holder.daemon)?;
        let is_same = self.roster.contains(&join.holder) && member.address == join.address;
        is_same.then_some(member.joined)
    }

    fn remove(&mut self, index: u64, holder: &DaemonInstance) -> RosterOutcome {
        if !self.roster.contains(holder) {
            return RosterOutcome::NotMember;
        }
        self.ledger.give_up(holder, self.clock_ms);
        self.departed.record(index, &holder.daemon, holder.incarnation);
        Arc::make_mut(&mut self.roster).remove(index, &holder.daemon);
        self.log.push(index, ChangeStep::Removed { daemon: holder.daemon.clone() });
        RosterOutcome::Removed
    }

    fn claim(&mut self, claim: &Claim) -> ClaimOutcome {
        if !self.roster.contains(&claim.id.holder) {
            return ClaimOutcome::NotMember;
        }
        self.ledger.claim(claim)
    }

    /// The log index is the number: unique, rising, and restored with the log.
    fn grant_fence(&self, index: u64, req: &FencingTokenRequest) -> FencingTokenOutcome {
        let member = self.roster.member(&req.holder.daemon);
        let owner =
            member.and_then(|member| owner_of(&req.upstream, &member.data_centre, &self.roster));
        let is_owner = owner.as_ref() == Some(&req.holder.daemon);
        if is_owner && self.roster.contains(&req.holder) {
            return FencingTokenOutcome::Granted { epoch: index };
        }
        FencingTokenOutcome::NotOwner { owner }
    }

    fn expire(&mut self, index: u64) {
        self.ledger.expire(self.clock_ms);
        let changed = self.quarantine.expire(self.clock_ms);
        self.log_standings(index, changed);
    }

    fn log_standings(&mut self, index: u64, changed: Vec<(RequestHash, QuarantineStatus)>) {
        for (fingerprint, standing) in changed {
            self.log.push(index, ChangeStep::Standing { fingerprint, standing });
        }
    }

    fn whole(&self) -> FullState {
        FullState {
            sheet: self.sheets.last().map_or(0, |sheet| sheet.number),
            configuration: Arc::clone(&self.configuration),
            roster: Arc::clone(&self.roster),
            standings: Arc::new(self.quarantine.statuses()),
        }
    }
}

/// The fields that the former format lacks, as they were then.
fn no_routing() -> Vec<u8> {
    codec::encode(&(None::<Arc<PublishedRouting>>, BTreeSet::<DataCentreId>::new()))
}
