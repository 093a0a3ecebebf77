//! Quarantine of requests that crash the upstreams which run them.
//!
//! When an upstream crashes, the crash is charged to every request in flight
//! there, and each of them becomes a suspect. A suspect is sent only to an upstream
//! where it runs alone, so that a further crash tells whether it is the cause.
//! After two crashes, at least one of them while it ran alone, the request is
//! refused everywhere for [`QUARANTINE`].
//!
//! Gateway daemons don't run suspects alone. There, a request is refused after three
//! crashes that no complete response has interrupted.

use crate::command::{CrashCharge, RequestHash};
use bincode::{Decode, Encode};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use wire::{Incarnation, UpstreamId};

/// Number of crashes after which a request is quarantined, if it ran alone during
/// at least one of them.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Number of crashes after which a request is quarantined although it ran alone during none
/// of them.
const SHARED_CRASHES_TO_QUARANTINE: usize = 3;

/// Time for which a request is refused, and for which a crash charged to a suspect
/// is remembered. Every further crash charged to a suspect restarts the time.
pub const QUARANTINE: Duration = Duration::from_secs(10 * 60);

/// Maximum number of requests that are remembered. Beyond it, the suspect whose record
/// expires first is forgotten, or, without a suspect, the quarantined request whose
/// record expires first.
const MAX_RECORDS: usize = 4096;

/// Quarantine status of a request.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// No crash is charged to the request.
    Clear,
    /// A crash is charged to the request, so it is sent only to run alone.
    Suspect,
    /// The request is refused everywhere.
    Quarantined {
        /// Time of the state's clock at which this ends, in milliseconds.
        until_ms: u64,
    },
}

/// Crashes charged to one request.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
struct Record {
    /// Upstreams that crashed, each with its incarnation.
    crashes: Vec<(UpstreamId, Incarnation)>,
    /// Whether the request ran alone during one of the crashes.
    alone: bool,
    /// Time of the state's clock at which the record expires, in milliseconds.
    until_ms: u64,
}

impl Record {
    fn status(&self) -> QuarantineStatus {
        let needed = if self.alone { CRASHES_TO_QUARANTINE } else { SHARED_CRASHES_TO_QUARANTINE };
        if self.crashes.len() >= needed {
            QuarantineStatus::Quarantined { until_ms: self.until_ms }
        } else {
            QuarantineStatus::Suspect
        }
    }
}

/// Requests, and parts of prompts, that gateway daemons have to recognise.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct Watchlist {
    /// Requests, and parts of prompts, to refuse.
    pub quarantined: BTreeSet<RequestHash>,
    /// Requests, and parts of prompts, that one more crash puts in quarantine. A complete response to
    /// one of these requests, or to one with such a part, has to be reported, as it clears it.
    pub suspects: BTreeSet<RequestHash>,
}

/// Requests to which the crash of an upstream is charged.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct Quarantine {
    records: BTreeMap<RequestHash, Record>,
}

impl Quarantine {
    /// Returns the status of a request.
    pub fn status(&self, request_hash: &RequestHash) -> QuarantineStatus {
        self.records.get(request_hash).map_or(QuarantineStatus::Clear, Record::status)
    }

    /// Returns the status of every request that is not clear.
    pub fn statuses(&self) -> BTreeMap<RequestHash, QuarantineStatus> {
        self.records.iter().map(|(hash, record)| (*hash, record.status())).collect()
    }

    /// Returns whether this crash, of an upstream with its incarnation, is charged to the
    /// request.
    pub fn has_charged(
        &self,
        request_hash: &RequestHash,
        upstream: &UpstreamId,
        incarnation: Incarnation,
    ) -> bool {
        let crash = (upstream.clone(), incarnation);
        self.records.get(request_hash).is_some_and(|record| record.crashes.contains(&crash))
    }

    /// Returns the requests that gateway daemons have to recognise.
    pub fn watchlist(&self) -> Watchlist {
        let mut watchlist = Watchlist::default();
        for (hash, record) in &self.records {
            match record.status() {
                QuarantineStatus::Quarantined { .. } => watchlist.quarantined.insert(*hash),
                _ if record.crashes.len() + 1 >= SHARED_CRASHES_TO_QUARANTINE => {
                    watchlist.suspects.insert(*hash)
                }
                _ => false,
            };
        }
        watchlist
    }

    /// Charges a crash to a request. Returns the requests whose status changed,
    /// including a request whose record was evicted to make room.
    ///
    /// A crash that the record already holds changes nothing, and further crashes do not
    /// prolong a quarantine.
    pub(crate) fn charge(
        &mut self,
        charge: &CrashCharge,
        now_ms: u64,
    ) -> Vec<(RequestHash, QuarantineStatus)> {
        let before = self.status(&charge.fingerprint);
        let evicted = self.make_room(&charge.fingerprint);
        let record = self.records.entry(charge.fingerprint).or_insert_with(|| Record {
            crashes: Vec::new(),
            alone: false,
            until_ms: 0,
        });
        let crash = (charge.upstream.clone(), charge.incarnation);
        let is_new = !record.crashes.contains(&crash);
        if is_new && !matches!(before, QuarantineStatus::Quarantined { .. }) {
            record.crashes.push(crash);
            record.alone |= charge.alone;
            record.until_ms = now_ms.saturating_add(QUARANTINE.as_millis() as u64);
        }
        let after = record.status();
        let changed = (before != after).then_some((charge.fingerprint, after));
        evicted
            .into_iter()
            .map(|request_hash| (request_hash, QuarantineStatus::Clear))
            .chain(changed)
            .collect()
    }

    /// Clears a suspect that ran to its end. A quarantined request stays quarantined.
    /// Returns the request if its status changed.
    pub(crate) fn acquit(
        &mut self,
        request_hash: &RequestHash,
    ) -> Vec<(RequestHash, QuarantineStatus)> {
        if self.status(request_hash) != QuarantineStatus::Suspect {
            return Vec::new();
        }
        self.records.remove(request_hash);
        vec![(*request_hash, QuarantineStatus::Clear)]
    }

    /// Forgets the records that have expired. Returns their requests, which are clear
    /// again.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<(RequestHash, QuarantineStatus)> {
        let due: Vec<RequestHash> = self
            .records
            .iter()
            .filter(|(_, record)| record.until_ms <= now_ms)
            .map(|(request_hash, _)| *request_hash)
            .collect();
        due.into_iter()
            .inspect(|request_hash| {
                self.records.remove(request_hash);
            })
            .map(|request_hash| (request_hash, QuarantineStatus::Clear))
            .collect()
    }

    /// Returns when the next record expires, in milliseconds of the state's clock.
    pub(crate) fn next_expiry_ms(&self) -> Option<u64> {
        self.records.values().map(|record| record.until_ms).min()
    }

    /// Evicts a record if a new one for the request would exceed [`MAX_RECORDS`].
    fn make_room(&mut self, request_hash: &RequestHash) -> Option<RequestHash> {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(request_hash) {
            return None;
        }
        let order =
            |record: &Record| (record.status() != QuarantineStatus::Suspect, record.until_ms);
        let evicted = self.records.iter().min_by_key(|(_, record)| order(record));
        let evicted = evicted.map(|(request_hash, _)| *request_hash)?;
        self.records.remove(&evicted);
        Some(evicted)
    }
}
