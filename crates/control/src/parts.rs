//! Quarantine of parts of prompts that crash the upstreams which respond to them.
//!
//! Requests with such a part need have nothing else in common, so that none is recognised by its
//! own hash. A crash is therefore also charged to the parts of the prompt that other requests may
//! share. Most of these parts are sound, and share requests or upstreams with the one that is not:
//!
//! * A part is refused after the crashes of three upstreams under three different requests with no
//!   complete response to any request with the part between them.
//! * Of the parts of one request that get there together, the last is refused, as the first ones are
//!   shared by most other requests.
//! * What a refused part explains is no longer charged to other parts: crashes under requests that have
//!   it too, and of upstreams that it has crashed.

use crate::{
    command::{PartsCharge, RequestHash},
    quarantine::{QUARANTINE, Watchlist},
};
use bincode::{Decode, Encode};
use std::collections::BTreeMap;
use wire::{Incarnation, UpstreamId};

/// SHA-256 of the id of a part of prompts, preceded by a constant so that it differs from every
/// [`RequestHash`].
pub type PartHash = [u8; 32];

/// Number of crashes after which a part is refused.
const CRASHES_TO_QUARANTINE: usize = 3;

/// Maximum number of parts that are remembered. Beyond it, the one whose record expires first is
/// forgotten, a refused one only if all are.
const MAX_RECORDS: usize = 4096;

/// Crash of a run of an upstream under a request.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
struct Crash {
    request: RequestHash,
    upstream: UpstreamId,
    incarnation: Incarnation,
}

impl Crash {
    /// Whether the two have the request or the run in common, and so probably the cause.
    fn is_explained_by(&self, other: &Self) -> bool {
        let run = |crash: &Self| (crash.upstream.clone(), crash.incarnation);
        self.request == other.request || run(self) == run(other)
    }
}

/// Crashes charged to one part: of different runs, under different requests.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
struct Record {
    crashes: Vec<Crash>,
    /// Time of the state's clock at which the record expires, in milliseconds.
    until_ms: u64,
}

impl Record {
    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_QUARANTINE
    }
}

/// Parts of prompts to which crashes of upstreams are charged.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct PartQuarantine {
    records: BTreeMap<PartHash, Record>,
}

impl PartQuarantine {
    /// Whether no crash is charged to any part.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether requests with the part are refused.
    pub fn is_quarantined(&self, part: &PartHash) -> bool {
        self.records.get(part).is_some_and(Record::is_quarantined)
    }

    /// Whether a crash is charged to the part.
    pub fn is_charged(&self, part: &PartHash) -> bool {
        self.records.contains_key(part)
    }

    /// Returns the parts that gateway daemons have to recognise.
    pub fn watchlist(&self) -> Watchlist {
        let mut watchlist = Watchlist::default();
        for (part, record) in &self.records {
            if record.is_quarantined() {
                watchlist.quarantined.insert(*part);
            } else if record.crashes.len() + 1 == CRASHES_TO_QUARANTINE {
                watchlist.suspects.insert(*part);
            }
        }
        watchlist
    }

    /// Charges a crash to the parts of a request, unless one of them is refused and explains it.
    pub(crate) fn charge(&mut self, charge: &PartsCharge, now_ms: u64) {
        let PartsCharge { parts, request, upstream, incarnation, .. } = charge;
        if parts.iter().any(|part| self.is_quarantined(part)) {
            return;
        }
        let crash =
            Crash { request: *request, upstream: upstream.clone(), incarnation: *incarnation };
        let mut culprit = None;
        for part in parts {
            self.make_room(part);
            let record = self.records.entry(*part).or_default();
            if record.crashes.iter().any(|known| known.is_explained_by(&crash)) {
                continue;
            }
            record.crashes.push(crash.clone());
            record.until_ms = now_ms.saturating_add(QUARANTINE.as_millis() as u64);
            if record.is_quarantined() {
                culprit = Some(*part);
            }
        }
        if let Some(culprit) = culprit {
            self.remove_explained(&culprit);
        }
    }

    /// Clears a part: a request with it got a complete response.
    pub(crate) fn acquit(&mut self, part: &PartHash) {
        self.records.remove(part);
    }

    /// Forgets the records that have expired.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.records.retain(|_, record| record.until_ms > now_ms);
    }

    /// Returns when the next record expires, in milliseconds of the state's clock.
    pub(crate) fn next_expiry_ms(&self) -> Option<u64> {
        self.records.values().map(|record| record.until_ms).min()
    }

    /// Removes what a refused part explains from the records of other parts, unless they were refused
    /// before.
    fn remove_explained(&mut self, culprit: &PartHash) {
        let explained = self.records.get(culprit).map_or_else(Vec::new, |r| r.crashes.clone());
        let is_explained =
            |crash: &Crash| explained.iter().any(|known| known.is_explained_by(crash));
        self.records.retain(|part, record| {
            // A part that got there together with the culprit has the newest crash in common with it.
            let is_rival = record.crashes.last() == explained.last();
            if part != culprit && (is_rival || !record.is_quarantined()) {
                record.crashes.retain(|crash| !is_explained(crash));
            }
            !record.crashes.is_empty()
        });
    }

    /// Forgets a record if a new one for the part would exceed [`MAX_RECORDS`].
    fn make_room(&mut self, part: &PartHash) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(part) {
            return;
        }
        let order = |record: &Record| (record.is_quarantined(), record.until_ms);
        let forgotten = self.records.iter().min_by_key(|(_, record)| order(record));
        if let Some(forgotten) = forgotten.map(|(part, _)| *part) {
            self.records.remove(&forgotten);
        }
    }
}
