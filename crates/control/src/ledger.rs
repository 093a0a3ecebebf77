//! The ledger of idempotency keys: which calls were sent, and which responses they
//! got.
//!
//! A key is claimed before the first byte of a call is sent to an upstream. It is
//! then remembered until the retention window after the end of the call has passed.
//! A claim whose call has not ended never expires. When the ledger is full, it
//! refuses new claims and forgets nothing.

use crate::{
    command::{Claim, ClaimId, Completion},
    outcome::{ClaimOutcome, LedgerOutcome},
    roster::DaemonInstance,
};
use bincode::{
    Decode, Encode,
    de::Decoder,
    enc::Encoder,
    error::{DecodeError, EncodeError},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    sync::Arc,
};
use wire::{IdempotencyKey, OrganisationId, RequestId, ServiceId};

/// Memory counted for an entry in addition to its texts and response, in bytes: the
/// entry itself, its place in the indexes and the overhead of the allocator.
const ENTRY_OVERHEAD_BYTES: usize = 384;

/// Maximum number of entries that one command expires, so that no command takes
/// long.
const MAX_EXPIRED_PER_COMMAND: usize = 64;

/// Identifies a call by the caller's key within its organisation and service.
#[derive(Clone, Debug, Decode, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LedgerKey {
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Service that was called.
    pub service: ServiceId,
    /// Idempotency key that the caller sent.
    pub key: IdempotencyKey,
}

/// The response to a call, as the ledger keeps it.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header, empty if the response was too long to keep.
    pub content_type: String,
    /// Body, or `None` if the response was too long to keep.
    pub body: Option<Vec<u8>>,
}

impl StoredResponse {
    /// Returns the size of the response in the ledger, in bytes.
    fn bytes(&self) -> usize {
        self.content_type.len() + self.body.as_ref().map_or(0, Vec::len)
    }
}

/// Limits of the ledger, which must be the same on every voter.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct LedgerLimits {
    /// Time for which a key is remembered after the end of its call, in
    /// milliseconds.
    pub retention_ms: u64,
    /// Time for which an abandoned claim is remembered, in milliseconds, so that a
    /// delayed copy of it does not take the key again.
    pub abandoned_retention_ms: u64,
    /// Maximum number of entries.
    pub max_entries: usize,
    /// Maximum size of all entries in bytes, including the space reserved for the
    /// responses to calls in progress.
    pub max_bytes: usize,
    /// Maximum size of a response that is kept, in bytes. Each claim in progress
    /// reserves this much.
    pub max_response_bytes: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            retention_ms: 24 * 60 * 60 * 1000,
            abandoned_retention_ms: 60 * 1000,
            max_entries: 200_000,
            max_bytes: 64 * 1024 * 1024,
            max_response_bytes: 16 * 1024,
        }
    }
}

/// What is known of a call.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
enum Phase {
    /// The key is claimed and the call has not ended.
    InProgress,
    /// The call ran and got this response.
    Answered(StoredResponse),
    /// The call may have run, and its response is not known.
    MayHaveRun,
    /// The call did not run, and the key is free for another request.
    Abandoned,
}

/// Latest claim of a key.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
struct LedgerEntry {
    /// SHA-256 of the body of the call.
    body_hash: [u8; 32],
    /// Daemon that sends the call.
    holder: DaemonInstance,
    /// Request that the claim was made for.
    request: RequestId,
    phase: Phase,
    /// Time of the state's clock at which the entry is forgotten, in milliseconds, or
    /// `None` while the call is in progress.
    expires_ms: Option<u64>,
}

impl LedgerEntry {
    /// Returns whether this claim made the entry.
    fn is_held_by(&self, id: &ClaimId) -> bool {
        self.request == id.request && self.holder == id.holder
    }

    /// Returns the size that is counted for the entry, in bytes.
    fn bytes(&self, key: &LedgerKey, limits: &LedgerLimits) -> usize {
        let key_bytes = key.organisation.len() + key.service.len() + key.key.len();
        let claim_bytes = self.holder.daemon.len() + self.request.len();
        let response_bytes = match &self.phase {
            Phase::InProgress => limits.max_response_bytes,
            Phase::Answered(response) => response.bytes(),
            Phase::MayHaveRun | Phase::Abandoned => 0,
        };
        ENTRY_OVERHEAD_BYTES + key_bytes + claim_bytes + response_bytes
    }

    /// Returns the outcome of a claim that does not get the key.
    fn outcome(&self) -> ClaimOutcome {
        match &self.phase {
            Phase::InProgress => ClaimOutcome::InProgress { daemon: self.holder.daemon.clone() },
            Phase::Answered(response) => ClaimOutcome::Answered(response.clone()),
            Phase::MayHaveRun => ClaimOutcome::MayHaveRun,
            Phase::Abandoned => ClaimOutcome::Ended,
        }
    }
}

/// All idempotency keys that are remembered.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ledger {
    limits: LedgerLimits,
    entries: BTreeMap<Arc<LedgerKey>, LedgerEntry>,
    /// Expiry times of ended entries in milliseconds, each with the key.
    expiries: BTreeSet<(u64, Arc<LedgerKey>)>,
    /// Keys of calls in progress, by the daemon that sends the call.
    in_progress: BTreeMap<DaemonInstance, BTreeSet<Arc<LedgerKey>>>,
    /// Sum of the counted sizes of all entries.
    bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger with these limits.
    pub fn new(limits: LedgerLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the counted size of all entries in bytes, including the space reserved
    /// for the responses to calls in progress.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the limits.
    pub fn limits(&self) -> &LedgerLimits {
        &self.limits
    }

    /// Claims a key. The key is free if it is not known, or if the claim that held it
    /// was abandoned and is not the same claim.
    pub(crate) fn claim(&mut self, claim: &Claim) -> ClaimOutcome {
        let known = self.entries.get(&claim.id.key);
        let is_free = known
            .is_none_or(|entry| entry.phase == Phase::Abandoned && !entry.is_held_by(&claim.id));
        match known {
            Some(entry) if !is_free => Self::outcome_for_known(entry, claim),
            _ => self.insert_claim(claim),
        }
    }

    /// Returns the outcome of a claim whose key is not free.
    fn outcome_for_known(entry: &LedgerEntry, claim: &Claim) -> ClaimOutcome {
        if entry.body_hash != claim.body_hash {
            return ClaimOutcome::BodyMismatch;
        }
        if entry.phase == Phase::InProgress && entry.is_held_by(&claim.id) {
            return ClaimOutcome::Claimed;
        }
        entry.outcome()
    }

    /// Inserts a claim whose key is free, unless the ledger is full.
    fn insert_claim(&mut self, claim: &Claim) -> ClaimOutcome {
        let entry = LedgerEntry {
            body_hash: claim.body_hash,
            holder: claim.id.holder.clone(),
            request: claim.id.request.clone(),
            phase: Phase::InProgress,
            expires_ms: None,
        };
        let bytes = self.bytes + entry.bytes(&claim.id.key, &self.limits);
        let is_new = !self.entries.contains_key(&claim.id.key);
        if (is_new && self.entries.len() >= self.limits.max_entries)
            || bytes > self.limits.max_bytes
        {
            return ClaimOutcome::Full { entries: self.entries.len(), bytes: self.bytes };
        }
        self.remove(&claim.id.key);
        self.insert(Arc::new(claim.id.key.clone()), entry);
        ClaimOutcome::Claimed
    }

    /// Ends a claim with the response to its call. The response is stored even after
    /// the claim was given up as [`ClaimOutcome::MayHaveRun`], because it shows that
    /// the call ran. If the response is too long, only its status is stored.
    pub(crate) fn complete(&mut self, completion: &Completion, now_ms: u64) -> LedgerOutcome {
        if !self.can_be_ended(&completion.id) {
            return LedgerOutcome::NotHeld;
        }
        let mut response = completion.answer.clone();
        let body_bytes = response.body.as_ref().map_or(0, Vec::len);
        let is_kept = body_bytes + response.content_type.len() <= self.limits.max_response_bytes
            && self.fits(&completion.id.key, &response);
        if !is_kept {
            response.body = None;
            response.content_type.truncate(0);
        }
        self.set_ended(&completion.id.key, Phase::Answered(response), now_ms);
        if is_kept { LedgerOutcome::Stored } else { LedgerOutcome::StoredWithoutAnswer }
    }

    /// Frees a key whose call did not run. The abandoned claim stays known for
    /// [`LedgerLimits::abandoned_retention_ms`], so that a delayed copy of it does not
    /// take the key again.
    pub(crate) fn abandon(&mut self, id: &ClaimId, now_ms: u64) -> LedgerOutcome {
        if !self.can_be_ended(id) {
            return LedgerOutcome::NotHeld;
        }
        self.set_ended(&id.key, Phase::Abandoned, now_ms);
        LedgerOutcome::Freed
    }

    /// Records that a call was sent and its response will never be known. The retention
    /// window of the entry starts, so that such calls do not fill the ledger.
    pub(crate) fn give_up_claim(&mut self, id: &ClaimId, now_ms: u64) -> LedgerOutcome {
        if !self.can_be_ended(id) {
            return LedgerOutcome::NotHeld;
        }
        self.set_ended(&id.key, Phase::MayHaveRun, now_ms);
        LedgerOutcome::GivenUp
    }

    /// Gives up all claims of a daemon instance that is no longer a member.
    pub(crate) fn give_up_claims_of(&mut self, holder: &DaemonInstance, now_ms: u64) {
        let keys = self.in_progress.get(holder).cloned().unwrap_or_default();
        keys.iter().for_each(|key| self.set_ended(key, Phase::MayHaveRun, now_ms));
    }

    /// Forgets entries whose retention window has passed, at most
    /// [`MAX_EXPIRED_PER_COMMAND`] per call.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let due: Vec<Arc<LedgerKey>> = self
            .expiries
            .iter()
            .take(MAX_EXPIRED_PER_COMMAND)
            .take_while(|(expires_ms, _)| *expires_ms <= now_ms)
            .map(|(_, key)| Arc::clone(key))
            .collect();
        due.iter().for_each(|key| self.remove(key));
    }

    /// Returns when the next entry is forgotten, in milliseconds of the state's clock.
    pub(crate) fn next_expiry_ms(&self) -> Option<u64> {
        self.expiries.first().map(|(expires_ms, _)| *expires_ms)
    }

    /// Returns whether this claim holds its key and its response is not known.
    fn can_be_ended(&self, id: &ClaimId) -> bool {
        self.entries.get(&id.key).is_some_and(|entry| {
            entry.is_held_by(id) && matches!(entry.phase, Phase::InProgress | Phase::MayHaveRun)
        })
    }

    /// Returns whether a response fits in the ledger in place of the space reserved
    /// for it. A claim that was given up no longer has reserved space.
    fn fits(&self, key: &LedgerKey, response: &StoredResponse) -> bool {
        let reserved = match self.entries.get(key).map(|entry| &entry.phase) {
            Some(Phase::InProgress) => self.limits.max_response_bytes,
            _ => 0,
        };
        self.bytes - reserved + response.bytes() <= self.limits.max_bytes
    }

    /// Ends the claim of a key, which starts its retention window.
    fn set_ended(&mut self, key: &LedgerKey, phase: Phase, now_ms: u64) {
        let Some((key, mut entry)) = self.take(key) else { return };
        let window_ms = match phase {
            Phase::Abandoned => self.limits.abandoned_retention_ms,
            _ => self.limits.retention_ms,
        };
        entry.phase = phase;
        entry.expires_ms = Some(now_ms.saturating_add(window_ms));
        self.insert(key, entry);
    }

    /// Adds an entry and its place in the indexes.
    fn insert(&mut self, key: Arc<LedgerKey>, entry: LedgerEntry) {
        self.bytes += entry.bytes(&key, &self.limits);
        match entry.expires_ms {
            Some(expires_ms) => {
                self.expiries.insert((expires_ms, Arc::clone(&key)));
            }
            None => {
                let keys = self.in_progress.entry(entry.holder.clone()).or_default();
                keys.insert(Arc::clone(&key));
            }
        }
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &LedgerKey) {
        mem::drop(self.take(key));
    }

    /// Removes an entry and its place in the indexes, and returns it.
    fn take(&mut self, key: &LedgerKey) -> Option<(Arc<LedgerKey>, LedgerEntry)> {
        let (key, entry) = self.entries.remove_entry(key)?;
        self.bytes -= entry.bytes(&key, &self.limits);
        if let Some(expires_ms) = entry.expires_ms {
            self.expiries.remove(&(expires_ms, Arc::clone(&key)));
        }
        if let Some(keys) = self.in_progress.get_mut(&entry.holder) {
            keys.remove(&key);
            if keys.is_empty() {
                self.in_progress.remove(&entry.holder);
            }
        }
        Some((key, entry))
    }
}

impl Encode for Ledger {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        self.limits.encode(encoder)?;
        self.entries.encode(encoder)
    }
}

/// Only the limits and entries are encoded; the indexes are rebuilt from them.
impl<C> Decode<C> for Ledger {
    fn decode<D: Decoder<Context = C>>(decoder: &mut D) -> Result<Self, DecodeError> {
        let mut ledger = Self::new(LedgerLimits::decode(decoder)?);
        let entries = BTreeMap::<Arc<LedgerKey>, LedgerEntry>::decode(decoder)?;
        entries.into_iter().for_each(|(key, entry)| ledger.insert(key, entry));
        Ok(ledger)
    }
}

bincode::impl_borrow_decode!(Ledger);
