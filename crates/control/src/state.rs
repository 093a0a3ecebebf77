//! The replicated state machine that every voter runs.

use crate::{
    changes::{ChangeLog, ChangeSet, ChangeSetContents, ChangeStep, FullView},
    codec,
    command::{
        Claim, Command, FencingTokenRequest, JoinRequest, ProposedSheet, PublishedRouting,
        RequestHash,
    },
    configuration::Configuration,
    delta::ConfigurationDelta,
    departures::Departures,
    error::{Error, Result},
    ledger::{Ledger, LedgerLimits},
    outcome::{
        ClaimOutcome, FencingTokenOutcome, Outcome, RosterOutcome, RoutingOutcome, SheetOutcome,
    },
    parts::PartQuarantine,
    quarantine::{Quarantine, QuarantineStatus, Watchlist},
    roster::{DaemonInstance, Departed, MAX_MEMBERS, Member, Roster, owner_of},
    sheets::{AcceptedSheet, Sheets},
};
use bincode::{Decode, Encode};
use std::{collections::BTreeSet, sync::Arc};
use wire::{DataCentreId, Incarnation};

/// Version of the snapshot format that this build writes.
const SNAPSHOT_VERSION: u32 = 5;

/// Version of the format without the parts of prompts that crash upstreams.
const SNAPSHOT_VERSION_WITHOUT_PARTS: u32 = 4;

/// Version of the format without the departures of upstreams.
const SNAPSHOT_VERSION_WITHOUT_DEPARTURES: u32 = 3;

/// Version of the format without the routing document and the data centres out of
/// service.
const SNAPSHOT_VERSION_WITHOUT_ROUTING: u32 = 2;

/// Version of the format that also lacks the base of indexes, which was always 0 then.
const SNAPSHOT_VERSION_WITHOUT_BASE: u32 = 1;

/// Number of indexes that each group epoch of a region has for itself. No group comes near
/// it: at 100,000 commands per second it would take four months.
const INDEXES_PER_EPOCH: u64 = 1 << 40;

/// Length of the version at the start of a snapshot, in bytes.
const SNAPSHOT_VERSION_BYTES: usize = size_of::<u32>();

/// The replicated state of a region.
///
/// Equal commands at equal indexes lead to equal states and outcomes, because the
/// state reads no clock and uses no randomness.
///
/// All indexes that the state returns are state indexes: a state index is a log index
/// plus a base, which is 0 until the region is restored from a back-up; see
/// [`State::for_new_group`].
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct State {
    /// Base that is added to log indexes. It must stay the first field, so that
    /// snapshots without it can be read.
    base: u64,
    applied: u64,
    clock_ms: u64,
    sheets: Sheets,
    configuration: Arc<Configuration>,
    roster: Arc<Roster>,
    departed: Departed,
    ledger: Ledger,
    quarantine: Quarantine,
    change_log: ChangeLog,
    /// This field and those after it must stay the last ones, so that snapshots without
    /// them can be read.
    routing: Option<Arc<PublishedRouting>>,
    out_of_service: BTreeSet<DataCentreId>,
    departures: Departures,
    parts: PartQuarantine,
}

impl State {
    /// Creates the state before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates the state before the first command with these limits of the ledger, which
    /// must be the same on all voters.
    pub fn with_limits(limits: LedgerLimits) -> Self {
        Self { ledger: Ledger::new(limits), ..Self::default() }
    }

    /// Returns the state index of the last applied log entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the time of the state's clock, which is the highest timestamp of an applied
    /// command: the milliseconds for which the group has had a leader, not wall-clock time.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Returns the current configuration.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Returns the current sheet, or `None` before the first.
    pub fn sheet(&self) -> Option<&AcceptedSheet> {
        self.sheets.last()
    }

    /// Returns the members of the region.
    pub fn roster(&self) -> &Arc<Roster> {
        &self.roster
    }

    /// Returns the ledger of idempotency keys.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the requests to which the crash of an upstream is charged.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the parts of prompts to which the crash of an upstream is charged.
    pub fn parts(&self) -> &PartQuarantine {
        &self.parts
    }

    /// Returns the requests, and the parts of prompts, that gateway daemons have to recognise.
    pub fn watchlist(&self) -> Watchlist {
        let mut watchlist = self.quarantine.watchlist();
        let parts = self.parts.watchlist();
        watchlist.quarantined.extend(parts.quarantined);
        watchlist.suspects.extend(parts.suspects);
        watchlist
    }

    /// Returns the current routing document.
    pub fn routing(&self) -> Option<&Arc<PublishedRouting>> {
        self.routing.as_ref()
    }

    /// Returns the data centres that operators took out of service, which get no new
    /// work.
    pub fn out_of_service(&self) -> &BTreeSet<DataCentreId> {
        &self.out_of_service
    }

    /// Returns the upstreams that have announced their departure.
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Returns the highest incarnation of a daemon that was ever a member, as far as it is
    /// remembered.
    pub fn last_incarnation(&self, daemon: &str) -> Option<Incarnation> {
        let member = self.roster.member(daemon).map(|member| member.incarnation);
        member.or_else(|| self.departed.last_incarnation(daemon))
    }

    /// Returns the time at which a [`Command::Tick`] is due, in milliseconds of the state's
    /// clock, if any entry is waiting to expire.
    pub fn next_expiry_ms(&self) -> Option<u64> {
        let expiries = [
            self.ledger.next_expiry_ms(),
            self.quarantine.next_expiry_ms(),
            self.departures.next_expiry_ms(),
            self.parts.next_expiry_ms(),
        ];
        expiries.into_iter().flatten().min()
    }

    /// Applies a committed command at its log index. A command whose index is not above
    /// that of the last applied one is skipped, so applying a command again is safe.
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
    /// Returns the changes for a daemon whose view has reached `index`: the steps after
    /// it, or the full view if its view is empty or steps are no longer kept.
    pub fn changes_since(&self, index: u64) -> ChangeSet {
        let contents = match self.change_log.steps_after(index) {
            Some(steps) if index > 0 || self.applied == 0 => ChangeSetContents::Steps(steps),
            _ => ChangeSetContents::Whole(Box::new(self.full_view())),
        };
        ChangeSet { from: index, to: self.applied, contents }
    }

    /// Returns the state for a new group that starts from a back-up of this one.
    ///
    /// Configuration, sheets, ledger and quarantine are kept. The roster is emptied, so
    /// that every daemon has to join again above its last incarnation, and calls in
    /// progress become calls that may have run. Indexes continue from a base that only
    /// this group epoch uses: no index, roster epoch or fencing token of the former group is as
    /// high as one of the new group, whatever the former group did after the back-up.
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
    /// [`Error::is_invalid_epoch`] if the group epoch is not above all former ones, or if it is
    /// too high for its indexes to fit in 64 bits.
    pub fn for_new_group(mut self, epoch: u64) -> Result<Self> {
        let base = epoch
            .checked_mul(INDEXES_PER_EPOCH)
            .filter(|base| *base > self.applied && *base < u64::MAX - INDEXES_PER_EPOCH)
            .ok_or_else(|| Error::invalid_epoch(epoch, self.applied))?;
        let index = base + (self.applied - self.base);
        for instance in self.roster.instances() {
            self.ledger.give_up_claims_of(&instance, self.clock_ms);
            self.departed.record(index, &instance.daemon, instance.incarnation);
        }
        self.base = base;
        self.applied = index;
        self.roster = Arc::new(Roster::emptied(index));
        self.change_log = ChangeLog::after(index);
        Ok(self)
    }

    /// Encodes the state, preceded by the version of the format. A state without parts of prompts, or
    /// without these and departures, is written in a former format, which earlier builds can read.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut body = codec::encode(self);
        let mut version = SNAPSHOT_VERSION;
        if self.parts.is_empty() {
            version = SNAPSHOT_VERSION_WITHOUT_PARTS;
            body.truncate(body.len() - no_parts().len());
            if self.departures.is_empty() {
                version = SNAPSHOT_VERSION_WITHOUT_DEPARTURES;
                body.truncate(body.len() - no_departures().len());
            }
        }
        [version.to_le_bytes().to_vec(), body].concat()
    }

    /// Decodes a snapshot of this format or of one of the four before it.
    ///
    /// # Errors
    ///
    /// [`Error::is_unknown_version`] for a format that this build does not support, and
    /// [`Error::is_malformed`] for bytes that are no snapshot.
    pub fn restore(buf: &[u8]) -> Result<Self> {
        let (version, body) = buf
            .split_first_chunk::<SNAPSHOT_VERSION_BYTES>()
            .ok_or_else(|| Error::malformed("shorter than the format number"))?;
        match u32::from_le_bytes(*version) {
            SNAPSHOT_VERSION => codec::decode(body),
            SNAPSHOT_VERSION_WITHOUT_PARTS => codec::decode(&[body, &no_parts()].concat()),
            SNAPSHOT_VERSION_WITHOUT_DEPARTURES => {
                codec::decode(&[body, &no_departures(), &no_parts()].concat())
            }
            SNAPSHOT_VERSION_WITHOUT_ROUTING => {
                codec::decode(&[body, &no_routing(), &no_departures(), &no_parts()].concat())
            }
            SNAPSHOT_VERSION_WITHOUT_BASE => {
                let base = codec::encode(&0u64);
                codec::decode(&[&base, body, &no_routing(), &no_departures(), &no_parts()].concat())
            }
            unknown => Err(Error::unknown_version(unknown, SNAPSHOT_VERSION)),
        }
    }

    fn apply_one(&mut self, index: u64, cmd: &Command) -> Outcome {
        match cmd {
            Command::ApplySheet(sheet) => Outcome::Sheet(self.apply_sheet(index, sheet)),
            Command::Join(join) => Outcome::Roster(self.join(index, join)),
            Command::Leave(instance) | Command::Expire(instance) => {
                Outcome::Roster(self.remove(index, instance))
            }
            Command::ClaimKey(claim) => Outcome::Claim(self.claim(claim)),
            Command::CompleteKey(completion) => {
                Outcome::Key(self.ledger.complete(completion, self.clock_ms))
            }
            Command::AbandonKey(id) => Outcome::Key(self.ledger.abandon(id, self.clock_ms)),
            Command::GiveUpKey(id) => Outcome::Key(self.ledger.give_up_claim(id, self.clock_ms)),
            Command::Charge(charge) => {
                let changed = self.quarantine.charge(charge, self.clock_ms);
                self.log_quarantine_changes(index, changed);
                Outcome::Standing(self.quarantine.status(&charge.fingerprint))
            }
            Command::Acquit { fingerprint, .. } => {
                let changed = self.quarantine.acquit(fingerprint);
                self.log_quarantine_changes(index, changed);
                Outcome::Standing(self.quarantine.status(fingerprint))
            }
            Command::ChargeParts(charge) => {
                self.parts.charge(charge, self.clock_ms);
                Outcome::Parts
            }
            Command::AcquitPart { part, .. } => {
                self.parts.acquit(part);
                Outcome::Parts
            }
            Command::GrantFence(req) => Outcome::Fence(self.grant_fencing_token(index, req)),
            Command::Tick { .. } => Outcome::Ticked,
            Command::Batch(_) => Outcome::Nested,
            Command::PublishRouting(published) => Outcome::Routing(self.publish_routing(published)),
            Command::CloseDataCentre { data_centre, is_closed } => {
                match is_closed {
                    true => self.out_of_service.insert(data_centre.clone()),
                    false => self.out_of_service.remove(data_centre),
                };
                Outcome::DataCentre
            }
            Command::RecordDeparture(departure) => {
                self.departures.record(departure);
                Outcome::Departure
            }
            Command::RecordUnknownDeparture { upstream, at_ms } => {
                self.departures.record_unknown_run(upstream, *at_ms);
                Outcome::Departure
            }
        }
    }

    /// Makes a routing document the current one if its version is the highest so far.
    fn publish_routing(&mut self, published: &PublishedRouting) -> RoutingOutcome {
        match &self.routing {
            Some(current) if current.version >= published.version => {
                RoutingOutcome::Held { version: current.version }
            }
            _ => {
                self.routing = Some(Arc::new(published.clone()));
                RoutingOutcome::Accepted
            }
        }
    }

    /// Makes a sheet the current one, unless it is a resend, its number is taken or too low,
    /// or it is for another region.
    fn apply_sheet(&mut self, index: u64, sheet: &ProposedSheet) -> SheetOutcome {
        if let Some(outcome) = self.sheets.known_outcome(sheet) {
            return outcome;
        }
        let is_first = self.sheets.last().is_none();
        if !is_first && sheet.configuration.region != self.configuration.region {
            return SheetOutcome::WrongRegion { region: self.configuration.region.clone() };
        }
        let delta = ConfigurationDelta::between(&self.configuration, &sheet.configuration);
        self.change_log
            .push(index, ChangeStep::Sheet { number: sheet.number, delta: Box::new(delta) });
        self.configuration = Arc::new(sheet.configuration.clone());
        self.sheets.accept(index, sheet);
        SheetOutcome::Accepted { index }
    }

    /// Adds a daemon to the roster. Claims of the instance that it replaces are given up.
    fn join(&mut self, index: u64, join: &JoinRequest) -> RosterOutcome {
        let daemon = &join.holder.daemon;
        let incarnation = join.holder.incarnation;
        if let Some(joined) = self.index_of_same_join(join) {
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
            self.ledger.give_up_claims_of(&former, self.clock_ms);
        }
        let member = Arc::new(Member {
            incarnation,
            address: join.address.clone(),
            data_centre: join.data_centre.clone(),
            joined: index,
        });
        self.departed.forget(daemon);
        Arc::make_mut(&mut self.roster).insert(index, daemon.clone(), Arc::clone(&member));
        self.change_log.push(index, ChangeStep::Joined { daemon: daemon.clone(), member });
        RosterOutcome::Joined { index }
    }

    /// Returns the index of the join that this one is a copy of. A second process with the
    /// same name and incarnation at another address is not considered the same.
    fn index_of_same_join(&self, join: &JoinRequest) -> Option<u64> {
        let member = self.roster.member(&join.holder.daemon)?;
        let is_same = self.roster.contains(&join.holder) && member.address == join.address;
        is_same.then_some(member.joined)
    }

    /// Removes a daemon from the roster and gives up its claims.
    fn remove(&mut self, index: u64, instance: &DaemonInstance) -> RosterOutcome {
        if !self.roster.contains(instance) {
            return RosterOutcome::NotMember;
        }
        self.ledger.give_up_claims_of(instance, self.clock_ms);
        self.departed.record(index, &instance.daemon, instance.incarnation);
        Arc::make_mut(&mut self.roster).remove(index, &instance.daemon);
        self.change_log.push(index, ChangeStep::Removed { daemon: instance.daemon.clone() });
        RosterOutcome::Removed
    }

    /// Claims a key for a daemon, which must be a member.
    fn claim(&mut self, claim: &Claim) -> ClaimOutcome {
        if !self.roster.contains(&claim.id.holder) {
            return ClaimOutcome::NotMember;
        }
        self.ledger.claim(claim)
    }

    /// Grants a fencing token to the owner of an upstream. The token epoch is the state
    /// index, which is unique, increasing and restored together with the log.
    fn grant_fencing_token(&self, index: u64, req: &FencingTokenRequest) -> FencingTokenOutcome {
        let member = self.roster.member(&req.holder.daemon);
        let owner =
            member.and_then(|member| owner_of(&req.upstream, &member.data_centre, &self.roster));
        let is_owner = owner.as_ref() == Some(&req.holder.daemon);
        if is_owner && self.roster.contains(&req.holder) {
            return FencingTokenOutcome::Granted { epoch: index };
        }
        FencingTokenOutcome::NotOwner { owner }
    }

    /// Forgets ledger entries and quarantine records whose time has passed.
    fn expire(&mut self, index: u64) {
        self.ledger.expire(self.clock_ms);
        self.departures.expire(self.clock_ms);
        self.parts.expire(self.clock_ms);
        let changed = self.quarantine.expire(self.clock_ms);
        self.log_quarantine_changes(index, changed);
    }

    /// Adds changed quarantine statuses to the steps for daemons.
    fn log_quarantine_changes(
        &mut self,
        index: u64,
        changed: Vec<(RequestHash, QuarantineStatus)>,
    ) {
        for (fingerprint, standing) in changed {
            self.change_log.push(index, ChangeStep::Standing { fingerprint, standing });
        }
    }

    /// Returns the full view for daemons.
    fn full_view(&self) -> FullView {
        FullView {
            sheet: self.sheets.last().map_or(0, |sheet| sheet.number),
            configuration: Arc::clone(&self.configuration),
            roster: Arc::clone(&self.roster),
            standings: Arc::new(self.quarantine.statuses()),
        }
    }
}

/// Returns the encoding of the field that the format before the current one lacks.
fn no_parts() -> Vec<u8> {
    codec::encode(&PartQuarantine::default())
}

/// Returns the encoding of the field that the formats before that lack.
fn no_departures() -> Vec<u8> {
    codec::encode(&Departures::default())
}

/// Returns the encoding of the fields that formats before those with routing lack: no
/// routing document, and no data centre out of service.
fn no_routing() -> Vec<u8> {
    codec::encode(&(None::<Arc<PublishedRouting>>, BTreeSet::<DataCentreId>::new()))
}
