//! Requests that crash the upstreams which run them.
//!
//! An upstream that dies with a request in flight charges the request with the
//! death. A death among many requests makes suspects of them all, and a suspect
//! is to be sent only to run alone. Two deaths, one of them alone, and the
//! request is refused everywhere for a time.

use crate::command::{Charge, Fingerprint};
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
pub enum Standing {
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
    fn standing(&self) -> Standing {
        if self.alone && self.deaths.len() >= DEATHS_TO_QUARANTINE {
            Standing::Quarantined { until_ms: self.until_ms }
        } else {
            Standing::Suspect
        }
    }
}

/// Requests to which a death of an upstream is charged.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct Quarantine {
    records: BTreeMap<Fingerprint, Record>,
}

impl Quarantine {
    /// How a request stands.
    pub fn standing(&self, fingerprint: &Fingerprint) -> Standing {
        self.records.get(fingerprint).map_or(Standing::Clear, Record::standing)
    }

    /// All requests that are not clear.
    pub fn standings(&self) -> BTreeMap<Fingerprint, Standing> {
        self.records.iter().map(|(print, record)| (*print, record.standing())).collect()
    }

    /// Counts a death. Returns the requests whose standing changed.
    pub(crate) fn charge(&mut self, charge: &Charge, now_ms: u64) -> Vec<(Fingerprint, Standing)> {
        let before = self.standing(&charge.fingerprint);
        let forgotten = self.make_room(&charge.fingerprint);
        let record = self.records.entry(charge.fingerprint).or_insert_with(|| Record {
            deaths: Vec::new(),
            alone: false,
            until_ms: 0,
        });
        let death = (charge.upstream.clone(), charge.incarnation);
        let is_new = !record.deaths.contains(&death);
        if is_new && !matches!(before, Standing::Quarantined { .. }) {
            record.deaths.push(death);
            record.deaths.truncate(DEATHS_TO_QUARANTINE);
            record.alone |= charge.alone;
            record.until_ms = now_ms.saturating_add(QUARANTINE_MS);
        }
        let after = record.standing();
        let changed = (before != after).then_some((charge.fingerprint, after));
        forgotten.into_iter().map(|print| (print, Standing::Clear)).chain(changed).collect()
    }

    /// Clears a suspect that ran to its end. A quarantined request stays.
    pub(crate) fn acquit(&mut self, fingerprint: &Fingerprint) -> Vec<(Fingerprint, Standing)> {
        if self.standing(fingerprint) != Standing::Suspect {
            return Vec::new();
        }
        self.records.remove(fingerprint);
        vec![(*fingerprint, Standing::Clear)]
    }

    /// Forgets the records whose time has ended.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<(Fingerprint, Standing)> {
        let due: Vec<Fingerprint> = self
            .records
            .iter()
            .filter(|(_, record)| record.until_ms <= now_ms)
            .map(|(print, _)| *print)
            .collect();
        due.into_iter()
            .inspect(|print| {
                self.records.remove(print);
            })
            .map(|print| (print, Standing::Clear))
            .collect()
    }

    /// When the next record ends, in milliseconds of the state's clock.
    pub(crate) fn next_expiry_ms(&self) -> Option<u64> {
        self.records.values().map(|record| record.until_ms).min()
    }

    fn make_room(&mut self, fingerprint: &Fingerprint) -> Option<Fingerprint> {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(fingerprint) {
            return None;
        }
        let key = |record: &Record| (record.standing() != Standing::Suspect, record.until_ms);
        let victim = self.records.iter().min_by_key(|(_, record)| key(record));
        let victim = victim.map(|(print, _)| *print)?;
        self.records.remove(&victim);
        Some(victim)
    }
}
