//! Idempotency keys: which calls were sent, and what they were answered with.
//!
//! A key is claimed before the first byte of a call goes to an upstream. From
//! then on it is remembered until its retention window has passed since the call
//! ended; a claim that has not ended never expires. At its bound the ledger
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

/// Fixed part of what an entry is counted with, in bytes: the entry, its place in
/// the indexes and what the allocator adds.
const ENTRY_BYTES: usize = 384;

/// Entries that one command may expire, so that no command takes long.
const MAX_EXPIRED_PER_COMMAND: usize = 64;

/// Names a call: the caller's key within its organisation and service.
#[derive(Clone, Debug, Decode, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LedgerKey {
    /// Who called.
    pub organisation: OrganisationId,
    /// The service that was called.
    pub service: ServiceId,
    /// The key that the caller sent.
    pub key: IdempotencyKey,
}

/// What a call was answered with.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Body, or `None` if it was too long to keep.
    pub body: Option<Vec<u8>>,
}

impl StoredResponse {
    fn bytes(&self) -> usize {
        self.content_type.len() + self.body.as_ref().map_or(0, Vec::len)
    }
}

/// Bounds of the ledger, the same on every voter.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub struct LedgerLimits {
    /// Time for which a key is remembered after its call ended, in milliseconds.
    pub retention_ms: u64,
    /// Time for which an abandoned claim is remembered, in milliseconds.
    pub abandoned_retention_ms: u64,
    /// Most entries.
    pub max_entries: usize,
    /// Most bytes of keys and answers, those reserved for claims included.
    pub max_bytes: usize,
    /// Longest answer that is kept, in bytes. Each claim reserves as much.
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

#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
enum Phase {
    InProgress,
    Answered(StoredResponse),
    MayHaveRun,
    Abandoned,
}

#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
struct Entry {
    body_hash: [u8; 32],
    holder: DaemonInstance,
    request: RequestId,
    phase: Phase,
    /// When the entry is forgotten; never while the call is in progress.
    expires_ms: Option<u64>,
}

impl Entry {
    fn is_held_by(&self, id: &ClaimId) -> bool {
        self.request == id.request && self.holder == id.holder
    }

    fn bytes(&self, key: &LedgerKey, limits: &LedgerLimits) -> usize {
        let names = key.organisation.len() + key.service.len() + key.key.len();
        let holder = self.holder.daemon.len() + self.request.len();
        let answer = match &self.phase {
            Phase::InProgress => limits.max_response_bytes,
            Phase::Answered(answer) => answer.bytes(),
            Phase::MayHaveRun | Phase::Abandoned => 0,
        };
        ENTRY_BYTES + names + holder + answer
    }

    fn answer(&self) -> ClaimOutcome {
        match &self.phase {
            Phase::InProgress => ClaimOutcome::InProgress { daemon: self.holder.daemon.clone() },
            Phase::Answered(answer) => ClaimOutcome::Answered(answer.clone()),
            Phase::MayHaveRun => ClaimOutcome::MayHaveRun,
            Phase::Abandoned => ClaimOutcome::Ended,
        }
    }
}

/// All keys that are remembered.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ledger {
    limits: LedgerLimits,
    entries: BTreeMap<Arc<LedgerKey>, Entry>,
    expiries: BTreeSet<(u64, Arc<LedgerKey>)>,
    in_progress: BTreeMap<DaemonInstance, BTreeSet<Arc<LedgerKey>>>,
    bytes: usize,
}

impl Ledger {
    /// An empty ledger with these bounds.
    pub fn new(limits: LedgerLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of keys and answers, those reserved for claims included.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The bounds.
    pub fn limits(&self) -> &LedgerLimits {
        &self.limits
    }

    pub(crate) fn claim(&mut self, claim: &Claim) -> ClaimOutcome {
        let known = self.entries.get(&claim.id.key);
        let is_free = known
            .is_none_or(|entry| entry.phase == Phase::Abandoned && !entry.is_held_by(&claim.id));
        match known {
            Some(entry) if !is_free => Self::answer_known(entry, claim),
            _ => self.claim_free(claim),
        }
    }

    fn answer_known(entry: &Entry, claim: &Claim) -> ClaimOutcome {
        if entry.body_hash != claim.body_hash {
            return ClaimOutcome::BodyMismatch;
        }
        if entry.phase == Phase::InProgress && entry.is_held_by(&claim.id) {
            return ClaimOutcome::Claimed;
        }
        entry.answer()
    }

    fn claim_free(&mut self, claim: &Claim) -> ClaimOutcome {
        let entry = Entry {
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

    /// Stores an answer. It is taken even after the claim was given up as
    /// [`ClaimOutcome::MayHaveRun`], as then it is known that the call ran.
    pub(crate) fn complete(&mut self, completion: &Completion, now_ms: u64) -> LedgerOutcome {
        if !self.is_open(&completion.id) {
            return LedgerOutcome::NotHeld;
        }
        let mut answer = completion.answer.clone();
        let body = answer.body.as_ref().map_or(0, Vec::len);
        let is_kept = body + answer.content_type.len() <= self.limits.max_response_bytes
            && self.fits(&completion.id.key, &answer);
        if !is_kept {
            answer.body = None;
            answer.content_type.truncate(0);
        }
        self.end(&completion.id.key, Phase::Answered(answer), now_ms);
        if is_kept { LedgerOutcome::Stored } else { LedgerOutcome::StoredWithoutAnswer }
    }

    /// Frees a key whose call did not run. The ended claim stays known for a
    /// short time, so that a late copy of it does not take the key again.
    pub(crate) fn abandon(&mut self, id: &ClaimId, now_ms: u64) -> LedgerOutcome {
        if !self.is_open(id) {
            return LedgerOutcome::NotHeld;
        }
        self.end(&id.key, Phase::Abandoned, now_ms);
        LedgerOutcome::Freed
    }

    /// Records that a call was sent and its answer will never be known. From then
    /// on the entry's window runs, so that such calls do not fill the ledger.
    pub(crate) fn give_up_one(&mut self, id: &ClaimId, now_ms: u64) -> LedgerOutcome {
        if !self.is_open(id) {
            return LedgerOutcome::NotHeld;
        }
        self.end(&id.key, Phase::MayHaveRun, now_ms);
        LedgerOutcome::GivenUp
    }

    /// Gives up the claims of a daemon that is gone.
    pub(crate) fn give_up(&mut self, holder: &DaemonInstance, now_ms: u64) {
        let keys = self.in_progress.get(holder).cloned().unwrap_or_default();
        keys.iter().for_each(|key| self.end(key, Phase::MayHaveRun, now_ms));
    }

    /// Forgets entries whose window has passed, at most some per call.
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

    /// When the next entry is forgotten, in milliseconds of the state's clock.
    pub(crate) fn next_expiry_ms(&self) -> Option<u64> {
        self.expiries.first().map(|(expires_ms, _)| *expires_ms)
    }

    fn is_open(&self, id: &ClaimId) -> bool {
        self.entries.get(&id.key).is_some_and(|entry| {
            entry.is_held_by(id) && matches!(entry.phase, Phase::InProgress | Phase::MayHaveRun)
        })
    }

    fn fits(&self, key: &LedgerKey, answer: &StoredResponse) -> bool {
        let reserved = match self.entries.get(key).map(|entry| &entry.phase) {
            Some(Phase::InProgress) => self.limits.max_response_bytes,
            _ => 0,
        };
        self.bytes - reserved + answer.bytes() <= self.limits.max_bytes
    }

    fn end(&mut self, key: &LedgerKey, phase: Phase, now_ms: u64) {
        let Some((key, mut entry)) = self.take(key) else { return };
        let window_ms = match phase {
            Phase::Abandoned => self.limits.abandoned_retention_ms,
            _ => self.limits.retention_ms,
        };
        entry.phase = phase;
        entry.expires_ms = Some(now_ms.saturating_add(window_ms));
        self.insert(key, entry);
    }

    fn insert(&mut self, key: Arc<LedgerKey>, entry: Entry) {
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

    fn take(&mut self, key: &LedgerKey) -> Option<(Arc<LedgerKey>, Entry)> {
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

/// Only the entries are stored; the indexes over them are built again.
impl<C> Decode<C> for Ledger {
    fn decode<D: Decoder<Context = C>>(decoder: &mut D) -> Result<Self, DecodeError> {
        let mut ledger = Self::new(LedgerLimits::decode(decoder)?);
        let entries = BTreeMap::<Arc<LedgerKey>, Entry>::decode(decoder)?;
        entries.into_iter().for_each(|(key, entry)| ledger.insert(key, entry));
        Ok(ledger)
    }
}

bincode::impl_borrow_decode!(Ledger);
