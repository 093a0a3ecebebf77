//! Merging, filtering and reading of recorded events.

use crate::{ChangeIndex, Error, Event, Result, Timestamp};
use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::Path,
};
use wire::{DataCentreId, RequestId, UpstreamId};

/// Merges the events of several daemons into one list, ordered by timestamp and then by daemon.
///
/// An event that occurs in two sources, for example in the file and in the memory of its daemon, is
/// kept once.
pub fn merge(sources: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = sources.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.time, &a.daemon).cmp(&(b.time, &b.daemon)));
    events.dedup();
    events
}

/// Conditions on events. The default has no conditions, so every event matches.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Filter {
    /// Only events that concern this request.
    pub request: Option<RequestId>,
    /// Only events that concern this upstream.
    pub upstream: Option<UpstreamId>,
    /// Only events that concern this data centre.
    pub data_centre: Option<DataCentreId>,
    /// Only events that concern the configuration change with this state index.
    pub change: Option<ChangeIndex>,
    /// Only events at or after this time.
    pub from: Option<Timestamp>,
    /// Only events before this time.
    pub until: Option<Timestamp>,
}

impl Filter {
    /// Whether an event fulfils all conditions.
    pub fn matches(&self, event: &Event) -> bool {
        matches_field(&self.request, &event.request)
            && matches_field(&self.upstream, &event.upstream)
            && matches_field(&self.data_centre, &event.data_centre)
            && matches_field(&self.change, &event.change)
            && self.from.is_none_or(|from| event.time >= from)
            && self.until.is_none_or(|until| event.time < until)
    }
}

/// Whether a field of an event has the required value. `None` requires nothing.
fn matches_field<T: PartialEq>(required: &Option<T>, actual: &Option<T>) -> bool {
    required.is_none() || required == actual
}

/// Returns the events that match a filter, in their order.
pub fn filter<'a>(events: &'a [Event], filter: &'a Filter) -> impl Iterator<Item = &'a Event> {
    events.iter().filter(|e| filter.matches(e))
}

/// Events read from a file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventFileContents {
    /// Events in the order of the file.
    pub events: Vec<Event>,
    /// Number of lines that are not an event, for example a line that a crash cut short. Empty
    /// lines don't count.
    pub bad_lines: u64,
}

/// Reads an event file. Lines that are not an event are counted and skipped.
///
/// # Errors
///
/// Fails if the file can't be opened or read.
pub fn read_file(path: &Path) -> Result<EventFileContents> {
    let context = |e| Error::new(format!("can't read event file {}", path.display()), e);
    let mut reader = BufReader::new(File::open(path).map_err(context)?);
    let mut read = EventFileContents::default();
    let mut line = Vec::new();
    while reader.read_until(b'\n', &mut line).map_err(context)? > 0 {
        match serde_json::from_slice(&line) {
            Ok(event) => read.events.push(event),
            Err(_) if line.trim_ascii().is_empty() => (),
            Err(_) => read.bad_lines += 1,
        }
        line.clear();
    }
    Ok(read)
}
