//! Versions of the parts of a copy.

use bincode::{Decode, Encode};

/// Versions of the parts of a view. All but the routing version are comparable only within one
/// term.
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, Hash, PartialEq)]
pub struct ViewPosition {
    /// Raft term of the leader that sent the view.
    pub term: u64,
    /// Version of the routing document, 0 without one.
    pub routing: u64,
    /// Revision of the directory.
    pub directory: u64,
    /// Number of changes to the data centres out of service in this term.
    pub out_of_service_changes: u64,
}

impl ViewPosition {
    /// Lowest position of a view with this version of the routing document.
    pub fn of_routing(&self, version: u64) -> Self {
        Self { term: self.term, routing: version, ..Self::default() }
    }

    /// Lowest position of a view with the same data centres out of service.
    pub fn of_out_of_service(&self) -> Self {
        let Self { term, out_of_service_changes, .. } = *self;
        Self { term, out_of_service_changes, ..Self::default() }
    }

    /// Whether a view at this position is at least as new in every part as one at `other`.
    pub fn covers(&self, other: &Self) -> bool {
        self.term == other.term
            && self.routing >= other.routing
            && self.directory >= other.directory
            && self.out_of_service_changes >= other.out_of_service_changes
    }

    /// The lowest position that covers both this one and another of the same term.
    pub fn newest(&self, other: &Self) -> Self {
        Self {
            term: self.term,
            routing: self.routing.max(other.routing),
            directory: self.directory.max(other.directory),
            out_of_service_changes: self.out_of_service_changes.max(other.out_of_service_changes),
        }
    }

    /// A position that lacks one change of this one, if there was any: that which takes the fewest bytes
    /// to send again.
    pub fn before_last_change(&self) -> Self {
        let mut position = *self;
        let changes =
            [&mut position.out_of_service_changes, &mut position.directory, &mut position.routing];
        if let Some(number) = changes.into_iter().find(|number| **number > 0) {
            *number -= 1;
        }
        position
    }

    /// The highest position that both this one and another of the same term cover.
    pub fn common(&self, other: &Self) -> Self {
        Self {
            term: self.term,
            routing: self.routing.min(other.routing),
            directory: self.directory.min(other.directory),
            out_of_service_changes: self.out_of_service_changes.min(other.out_of_service_changes),
        }
    }
}

/// Which views a leader's directory continues.
///
/// A new leader's directory starts as the view that it has followed. Views of the same term that are
/// not ahead of that one are earlier states of the directory, and lack only what has changed since.
/// Without this, each change of the leader would send the whole directory to each follower.
#[derive(Clone, Copy, Debug)]
pub struct History {
    term: u64,
    base: ViewPosition,
}

impl History {
    /// History of the leader of `term`, whose directory started as the view at `base`.
    pub fn new(term: u64, base: ViewPosition) -> Self {
        Self { term, base }
    }

    /// Whether the leader's directory was once the same as that of a view at `held`.
    pub fn continues(&self, held: &ViewPosition) -> bool {
        held.term == self.term
            || held.term == self.base.term && held.directory <= self.base.directory
    }
}
