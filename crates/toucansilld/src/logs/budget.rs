//! Which lines of a log are written when there are more of them than its bounds allow.

use log::{Level, Record};
use std::{
    collections::HashMap,
    fmt::Write,
    mem,
    time::{Duration, Instant},
};

/// Maximum number of lines queued for the writer.
const MAX_QUEUED_LINES: usize = 2_048;
/// Length of the queue above which only lines of call sites with few queued lines are added.
const MAX_SHARED_QUEUED_LINES: usize = 1_024;
/// Number of queued lines up to which a call site counts as one with few.
const FEW_QUEUED_LINES: usize = 32;
/// Maximum number of lines in one second: ten times the rate of a daemon at the load of the current
/// sites.
const MAX_LINES_PER_SECOND: u64 = 400;
/// Number of lines in one second above which only the first lines of each call site are written.
const MAX_SHARED_LINES_PER_SECOND: u64 = 200;
/// Number of first lines of a call site in one second.
const FIRST_LINES_PER_SECOND: u64 = 10;
/// Time for which lines that are left out are counted until that is reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of call sites that a report names.
const REPORTED_SITES: usize = 8;
/// Maximum length of the beginning of a text in a report.
const REPORTED_TEXT_CHARS: usize = 24;

/// Place in the code that logs a line. Records that don't name their module are told apart by the
/// line alone.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallSite {
    /// Path of the module.
    pub module: Option<&'static str>,
    /// Line in the module's file.
    pub line: Option<u32>,
}

impl CallSite {
    /// The call site of a record.
    pub fn of(record: &Record<'_>) -> Self {
        Self { module: record.module_path_static(), line: record.line() }
    }
}

/// What becomes of a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It is queued for the writer, which calls [`LineBudget::written`].
    Queued,
    /// It is left out. If it is the first one of its call site since the last report, the report
    /// should have its text: see [`LineBudget::describe`].
    LeftOut {
        /// Whether it is that first one.
        is_first: bool,
    },
}

/// Lines of one call site.
#[derive(Debug, Default)]
struct SiteLines {
    /// In the current second.
    lines: u64,
    queued: usize,
    /// Left out since the last report.
    left_out: u64,
    /// Level and beginning of the first text that was left out since the last report.
    example: Option<(Level, String)>,
}

/// Bounds the rate of a log and the queue of its writer.
///
/// Half of both is kept for the call sites that log little, so that frequent lines can't displace
/// rare ones.
#[derive(Debug)]
pub struct LineBudget {
    second_started: Instant,
    /// In the current second.
    lines: u64,
    queued: usize,
    /// When the first line since the last report was left out.
    left_out_since: Option<Instant>,
    sites: HashMap<CallSite, SiteLines>,
}

impl LineBudget {
    /// Starts without lines.
    pub fn new(now: Instant) -> Self {
        Self {
            second_started: now,
            lines: 0,
            queued: 0,
            left_out_since: None,
            sites: HashMap::new(),
        }
    }

    /// Counts a line of a call site, and decides whether it is queued.
    pub fn admit(&mut self, now: Instant, site: CallSite) -> Admission {
        if now.saturating_duration_since(self.second_started) >= Duration::from_secs(1) {
            self.second_started = now;
            self.lines = 0;
            self.sites.values_mut().for_each(|site| site.lines = 0);
        }
        let site = self.sites.entry(site).or_default();
        let max_lines = match site.lines < FIRST_LINES_PER_SECOND {
            true => MAX_LINES_PER_SECOND,
            false => MAX_SHARED_LINES_PER_SECOND,
        };
        let max_queued = match site.queued < FEW_QUEUED_LINES {
            true => MAX_QUEUED_LINES,
            false => MAX_SHARED_QUEUED_LINES,
        };
        if self.lines < max_lines && self.queued < max_queued {
            site.lines += 1;
            site.queued += 1;
            self.lines += 1;
            self.queued += 1;
            return Admission::Queued;
        }
        site.left_out += 1;
        self.left_out_since.get_or_insert(now);
        Admission::LeftOut { is_first: site.left_out == 1 }
    }

    /// Keeps the beginning of the first text of a call site that was left out, for the report.
    pub fn describe(&mut self, site: CallSite, level: Level, text: &str) {
        let site = self.sites.entry(site).or_default();
        site.example = Some((level, text.chars().take(REPORTED_TEXT_CHARS).collect()));
    }

    /// Removes a line of a call site from the queue.
    pub fn written(&mut self, site: CallSite) {
        self.queued = self.queued.saturating_sub(1);
        if let Some(site) = self.sites.get_mut(&site) {
            site.queued = site.queued.saturating_sub(1);
        }
    }

    /// Says how many lines of which call sites were left out, the most frequent first, once the first
    /// of them is a second old. They are then counted anew.
    pub fn due_report(&mut self, now: Instant) -> Option<String> {
        let since = self.left_out_since?;
        if now.saturating_duration_since(since) < REPORT_INTERVAL {
            return None;
        }
        self.report(now)
    }

    /// As [`due_report`](Self::due_report), without delay.
    pub fn report(&mut self, now: Instant) -> Option<String> {
        let passed = now.saturating_duration_since(self.left_out_since.take()?);
        let mut kinds = Vec::new();
        for (site, lines) in self.sites.iter_mut().filter(|(_, lines)| lines.left_out > 0) {
            let (count, example) = (mem::take(&mut lines.left_out), lines.example.take());
            kinds.push((count, kind(*site, count, example)));
        }
        kinds.sort_unstable_by(|a, b| b.cmp(a));
        let total: u64 = kinds.iter().map(|(count, _)| count).sum();
        let mut text = format!("{total} lines left out in {:.1} s: ", passed.as_secs_f64());
        let named: Vec<&str> =
            kinds.iter().take(REPORTED_SITES).map(|(_, kind)| kind.as_str()).collect();
        text.push_str(&named.join(", "));
        let others: u64 = kinds.iter().skip(REPORTED_SITES).map(|(count, _)| count).sum();
        if others > 0 {
            // Writing to a string can't fail.
            let _ = write!(text, ", {others} others");
        }
        Some(text)
    }
}

/// Number and kind of the lines of a call site that were left out.
fn kind(site: CallSite, count: u64, example: Option<(Level, String)>) -> String {
    let module = site.module.unwrap_or("unknown");
    let module = module.rsplit("::").next().unwrap_or(module);
    let line = site.line.map(|line| format!(":{line}")).unwrap_or_default();
    let example = example.map(|(level, text)| format!(" {level} {text:?}"));
    format!("{count} {module}{line}{}", example.unwrap_or_default())
}
