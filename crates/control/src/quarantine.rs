//! Requests that crash the upstreams which run them.
//!
//! An upstream that dies with a request in flight charges the request with the
//! death. A death among many requests makes suspects of them all, and a suspect
//! is to be sent only to run alone. Two deaths, one of them alone, and the
//! request is refused everywhere for a time.

use crate::command::{CrashCharge, RequestHash};
use bincode::{Decode, Encode};
use std::collections::BTreeMap;
use wire::{Incarnation, UpstreamId};

/// Deaths after which a request is refused.
const DEATHS_TO_QUARANTINE: usize = 2;

/// Time for which a request is refused, and for which one death is remembered,
/// in milliseconds.
pub(crate) const QUARANTINE_MS: u64 = 10 * 60 * 1000;

/// Most requests that are remembered. When there are more, the suspect whose
/// time ends first is forgotten.
const MAX_RECORDS: usize = 4096;

/// How a request stands.
#[derive(Clone, Copy, Debug, Decode, Encode, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// No death is charged to it.
    Clear,
    /// A death is charged to it: it is sent only to run alone.
    Suspect,
    /// It is refused everywhere.
    Quarantined {
        /// Stamp of the state's clock at which this ends, in milliseconds.
        until_ms: u64,
    },
}

#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
struct Record {
    deaths: Vec<(UpstreamId, Incarnation)>,
    alone: bool,
    until_ms: u64,
}

impl Record {
    fn status(&self) -> QuarantineStatus {
        if self.alone && self.deaths.len() >= DEATHS_TO_QUARANTINE {
            QuarantineStatus::Quarantined { until_ms: self.until_ms }
        } else {
            QuarantineStatus::Suspect
        }
    }
}

/// Requests to which a death of an upstream is charged.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct Quarantine {
    records: BTreeMap<RequestHash, Record>,
}

impl Quarantine {
    /// How a request stands.
    pub fn status(&self, fingerprint: &RequestHash) -> QuarantineStatus {
        self.records.get(fingerprint).map_or(QuarantineStatus::Clear, Record::status)
    }

    /// All requests that are not clear.
    pub fn statuses(&self) -> BTreeMap<RequestHash, QuarantineStatus> {
        self.records.iter().map(|(print, record)| (*print, record.status())).collect()
    }

    /// Counts a death. Returns the requests whose standing changed.
    pub(crate) fn charge(
        &mut self,
        charge: &CrashCharge,
        now_ms: u64,
    ) -> Vec<(RequestHash, QuarantineStatus)> {
        let before = self.status(&charge.fingerprint);
        let forgotten = self.make_room(&charge.fingerprint);
        let record = self.records.entry(charge.fingerprint).or_insert_with(|| Record {
            deaths: Vec::new(),
            alone: false,
            until_ms: 0,
        });
        let death = (charge.upstream.clone(), charge.incarnation);
        let is_new = !record.deaths.contains(&death);
        if is_new && !matches!(before, QuarantineStatus::Quarantined { .. }) {
            record.deaths.push(death);
            record.deaths.truncate(DEATHS_TO_QUARANTINE);
            record.alone |= charge.alone;
            record.until_ms = now_ms.saturating_add(QUARANTINE_MS);
        }
        let after = record.status();
        let changed = (before != after).then_some((charge.fingerprint, after));
        forgotten.into_iter().map(|print| (print, QuarantineStatus::Clear)).chain(changed).collect()
    }

    /// Clears a suspect that ran to its end. A quarantined request stays.
    pub(crate) fn acquit(
        &mut self,
        fingerprint: &RequestHash,
    ) -> Vec<(RequestHash, QuarantineStatus)> {
        if self.status(fingerprint) != QuarantineStatus::Suspect {
            return Vec::new();
        }
        self.records.remove(fingerprint);
        vec![(*fingerprint, QuarantineStatus::Clear)]
    }

    /// Forgets the records whose time has ended.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<(RequestHash, QuarantineStatus)> {
        let due: Vec<RequestHash> = self
            .records
            .iter()
            .filter(|(_, record)| record.until_ms <= now_ms)
            .map(|(print, _)| *print)
            .collect();
        due.into_iter()
            .inspect(|print| {
                self.records.remove(print);
            })
            .map(|print| (print, QuarantineStatus::Clear))
            .collect()
    }

    /// When the next record ends, in milliseconds of the state's clock.
    pub(crate) fn next_expiry_ms(&self) -> Option<u64> {
        self.records.values().map(|record| record.until_ms).min()
    }

    fn make_room(&mut self, fingerprint: &RequestHash) -> Option<RequestHash> {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(fingerprint) {
            return None;
        }
        let key = |record: &Record| (record.status() != QuarantineStatus::Suspect, record.until_ms);
        let victim = self.records.iter().min_by_key(|(_, record)| key(record));
        let victim = victim.map(|(print, _)| *print)?;
        self.records.remove(&victim);
        Some(victim)
    }
}
