//! Calls that are refused for a reason which many calls have: one line a second for each reason, with the
//! number of calls.

use crate::sync::lock;
use kernel::{Repeated, Repeats};
use std::{
    collections::HashMap,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Interval in which calls with the same reason are logged once.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Number of reasons that are told apart at a time.
const MAX_REASONS: usize = 8;
/// Reason under which calls are counted above that number.
const OTHER_REASONS: &str = "other reasons";
/// Longest reason in a line, in bytes.
const MAX_REASON_BYTES: usize = 256;

/// Calls of one kind that were refused, by the reason.
#[derive(Debug, Default)]
pub struct RefusedCalls {
    series: Mutex<HashMap<String, Series>>,
}

/// A call that was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusedCall {
    /// HTTP method.
    pub method: String,
    /// Path without a query.
    pub path: String,
    /// HTTP status of the response.
    pub status: u16,
}

#[derive(Debug)]
struct Series {
    repeats: Repeats,
    last: RefusedCall,
}

/// One line about calls with the same reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusedLine {
    /// The last of the calls.
    pub last: RefusedCall,
    /// Why they were refused.
    pub reason: String,
    /// Their number, and the time in which they came.
    pub repeated: Repeated,
}

impl RefusedLine {
    /// Text of the line: `call not answered: REASON`, or `3 calls not answered in 1.0 s: REASON`.
    pub fn text(&self, what: &str) -> String {
        let Repeated { count, since_last, .. } = self.repeated;
        match count {
            1 => format!("call {what}: {}", self.reason),
            _ => format!(
                "{count} calls {what} in {:.1} s: {}",
                since_last.as_secs_f64(),
                self.reason
            ),
        }
    }
}

impl RefusedCalls {
    /// Counts a call. Returns the line to log, if one is due.
    pub fn add(&self, now: Instant, reason: &str, call: RefusedCall) -> Option<RefusedLine> {
        let mut series = lock(&self.series);
        let reason = &reason[..reason.floor_char_boundary(MAX_REASON_BYTES)];
        let is_known = series.contains_key(reason) || series.len() < MAX_REASONS;
        let reason = if is_known { reason } else { OTHER_REASONS };
        let entry = series
            .entry(String::from(reason))
            .or_insert_with(|| Series { repeats: Repeats::new(LOG_INTERVAL), last: call.clone() });
        entry.last = call;
        let repeated = entry.repeats.add(now)?;
        Some(RefusedLine { last: entry.last.clone(), reason: String::from(reason), repeated })
    }

    /// Returns the lines that are due without a further call, and forgets reasons that no call had for a
    /// second.
    pub fn take_due(&self, now: Instant) -> Vec<RefusedLine> {
        let mut series = lock(&self.series);
        let due = series.iter_mut().filter_map(|(reason, series)| {
            let repeated = series.repeats.take_due(now)?;
            Some(RefusedLine { last: series.last.clone(), reason: reason.clone(), repeated })
        });
        let due = due.collect();
        series.retain(|_, series| !series.repeats.has_ended(now));
        due
    }
}
