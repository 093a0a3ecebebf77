//! Merges, filters and reads events.

use crate::{ChangeIndex, Error, Event, Result, Timestamp};
use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::Path,
};
use wire::{DataCentreId, RequestId, UpstreamId};

/// Puts the events of many daemons into one order. Events of one daemon that
/// come twice, for example from its file and its memory, are kept once.
pub fn merge(sources: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = sources.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.time, &a.daemon).cmp(&(b.time, &b.daemon)));
    events.dedup();
    events
}

/// What a reader of the time line asks for. Empty, it takes every event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Filter {
    /// Only events about this request.
    pub request: Option<RequestId>,
    /// Only events about this upstream.
    pub upstream: Option<UpstreamId>,
    /// Only events about this data centre.
    pub data_centre: Option<DataCentreId>,
    /// Only events about this change.
    pub change: Option<ChangeIndex>,
    /// Only events at or after this time.
    pub from: Option<Timestamp>,
    /// Only events before this time.
    pub until: Option<Timestamp>,
}

impl Filter {
    /// Whether an event is asked for. All conditions must hold.
    pub fn matches(&self, event: &Event) -> bool {
        holds(&self.request, &event.request)
            && holds(&self.upstream, &event.upstream)
            && holds(&self.data_centre, &event.data_centre)
            && holds(&self.change, &event.change)
            && self.from.is_none_or(|from| event.time >= from)
            && self.until.is_none_or(|until| event.time < until)
    }
}

fn holds<T: PartialEq>(wanted: &Option<T>, found: &Option<T>) -> bool {
    wanted.is_none() || wanted == found
}

/// The events that a filter asks for.
pub fn filter<'a>(events: &'a [Event], filter: &'a Filter) -> impl Iterator<Item = &'a Event> {
    events.iter().filter(|e| filter.matches(e))
}

/// Events of a file.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReadEvents {
    /// The events, in the order of the file.
    pub events: Vec<Event>,
    /// Lines that are no event, for example one that was cut by a crash.
    pub bad_lines: u64,
}

/// Reads a file of JSON lines.
///
/// # Errors
///
/// Fails if the file can't be read. A line that is no event is counted.
pub fn read_file(path: &Path) -> Result<ReadEvents> {
    let context = |e| Error::new(format!("event file {}", path.display()), e);
    let mut reader = BufReader::new(File::open(path).map_err(context)?);
    let mut read = ReadEvents::default();
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
