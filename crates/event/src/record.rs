//! One event.

use crate::{EventKind, Timestamp};
use serde::{Deserialize, Serialize};
use wire::{DaemonId, DataCentreId, RequestId, UpstreamId};

/// Index of a committed change.
pub type ChangeIndex = u64;

/// One event of one daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// When.
    pub time: Timestamp,
    /// Daemon that recorded it.
    pub daemon: DaemonId,
    /// What happened.
    pub kind: EventKind,
    /// Request that it is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Upstream that it is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamId>,
    /// Data centre that it is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentreId>,
    /// Change that it is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change: Option<ChangeIndex>,
    /// More, for people.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub text: String,
}

impl Event {
    /// An event about nothing in particular.
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

    /// Says which request it is about.
    pub fn request(mut self, id: impl Into<RequestId>) -> Self {
        self.request = Some(id.into());
        self
    }

    /// Says which upstream it is about.
    pub fn upstream(mut self, id: impl Into<UpstreamId>) -> Self {
        self.upstream = Some(id.into());
        self
    }

    /// Says which data centre it is about.
    pub fn data_centre(mut self, id: impl Into<DataCentreId>) -> Self {
        self.data_centre = Some(id.into());
        self
    }

    /// Says which change it is about.
    pub fn change(mut self, index: ChangeIndex) -> Self {
        self.change = Some(index);
        self
    }

    /// Adds a text for people.
    pub fn text(mut self, text: impl Into<String>) -> Self {
        self.text = text.into();
        self
    }
}
