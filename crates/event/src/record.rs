//! Events, as they are recorded, stored and shown to operators.

use crate::{EventKind, Timestamp};
use serde::{Deserialize, Serialize};
use wire::{DaemonId, DataCentreId, RequestId, UpstreamId};

/// State index (log index plus base) of a configuration change, or for
/// [`EventKind::ChangeApplied`] the index that the daemon's view has reached.
pub type ChangeIndex = u64;

/// An event, as one daemon recorded it.
///
/// In event files an event is a line of JSON; fields that don't apply to it are left out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Time of the event on the recording daemon's hybrid logical clock.
    pub time: Timestamp,
    /// Daemon that recorded the event.
    pub daemon: DaemonId,
    /// What happened.
    pub kind: EventKind,
    /// Request that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Upstream that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamId>,
    /// Data centre that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentreId>,
    /// Configuration change that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<ChangeIndex>,
    /// Details for operators; empty without any.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub text: String,
}

impl Event {
    /// Creates an event that concerns no request, upstream, data centre or change.
    pub fn new(time: Timestamp, daemon: DaemonId, kind: EventKind) -> Self {
        Self {
            time,
            daemon,
            kind,
            request: None,
            upstream: None,
            data_centre: None,
            change: None,
            text: String::new(),
        }
    }

    /// Sets the request that the event concerns.
    pub fn request(mut self, id: impl Into<RequestId>) -> Self {
        self.request = Some(id.into());
        self
    }

    /// Sets the upstream that the event concerns.
    pub fn upstream(mut self, id: impl Into<UpstreamId>) -> Self {
        self.upstream = Some(id.into());
        self
    }

    /// Sets the data centre that the event concerns.
    pub fn data_centre(mut self, id: impl Into<DataCentreId>) -> Self {
        self.data_centre = Some(id.into());
        self
    }

    /// Sets the configuration change that the event concerns.
    pub fn change(mut self, index: ChangeIndex) -> Self {
        self.change = Some(index);
        self
    }

    /// Sets the details for operators.
    pub fn text(mut self, text: impl Into<String>) -> Self {
        self.text = text.into();
        self
    }
}
