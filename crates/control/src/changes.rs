//! Changes of the replicated state that a daemon has not seen yet. The reply to
//! each lease renewal carries them.

use crate::{
    codec,
    command::RequestHash,
    configuration::Configuration,
    delta::ConfigurationDelta,
    quarantine::QuarantineStatus,
    roster::{Member, Roster},
};
use bincode::{Decode, Encode};
use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};
use wire::DaemonId;

/// Maximum number of steps that are kept. A daemon that needs an older one gets
/// the full view.
const MAX_STEPS: usize = 1024;

/// Maximum encoded size of the steps that are kept, in bytes.
const MAX_STEP_BYTES: usize = 1024 * 1024;

/// Changes that lead a [`RegionView`](crate::RegionView) from one index of the
/// replicated state to a later one.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct ChangeSet {
    /// State index that the view must have reached for the steps to apply.
    pub from: u64,
    /// State index of the view after the changes.
    pub to: u64,
    /// The steps or the full view.
    pub contents: ChangeSetContents,
}

/// Contents of a [`ChangeSet`]: single steps, or the full view.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum ChangeSetContents {
    /// Each step with its index, in ascending order.
    Steps(Vec<(u64, Arc<ChangeStep>)>),
    /// The full view, for a daemon whose view is empty or too far behind.
    Whole(Box<FullView>),
}

/// Everything that a [`RegionView`](crate::RegionView) holds, which is the part of the
/// replicated state that daemons need.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct FullView {
    /// Number of the current sheet, 0 before the first.
    pub sheet: u64,
    /// Current configuration.
    pub configuration: Arc<Configuration>,
    /// Members of the region.
    pub roster: Arc<Roster>,
    /// Requests that are suspected or quarantined; all others are clear.
    pub standings: Arc<BTreeMap<RequestHash, QuarantineStatus>>,
}

/// One change of the state that daemons replicate.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum ChangeStep {
    /// A sheet was accepted.
    Sheet {
        /// Number of the sheet.
        number: u64,
        /// Difference from the configuration before it.
        delta: Box<ConfigurationDelta>,
    },
    /// A daemon joined, or a new instance of it replaced the former one.
    Joined {
        /// Name of the daemon.
        daemon: DaemonId,
        /// Its incarnation, address and data centre.
        member: Arc<Member>,
    },
    /// A daemon is no longer a member.
    Removed {
        /// Name of the daemon.
        daemon: DaemonId,
    },
    /// The quarantine status of a request changed.
    Standing {
        /// Hash of the request.
        fingerprint: RequestHash,
        /// Its new status.
        standing: QuarantineStatus,
    },
}

/// Recent steps, so that a daemon which is only a little behind gets just the
/// steps that it lacks.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub(crate) struct ChangeLog {
    /// All steps after this index are kept.
    complete_after: u64,
    /// Index, encoded size in bytes, and step, in ascending order of the index.
    steps: VecDeque<(u64, usize, Arc<ChangeStep>)>,
    /// Sum of the encoded sizes.
    bytes: usize,
}

impl ChangeLog {
    /// Creates a log without steps, which is complete after this index.
    pub(crate) fn after(complete_after: u64) -> Self {
        Self { complete_after, ..Self::default() }
    }

    /// Appends a step, and drops the oldest ones above the limits.
    pub(crate) fn push(&mut self, index: u64, step: ChangeStep) {
        let bytes = codec::encode(&step).len();
        self.bytes += bytes;
        self.steps.push_back((index, bytes, Arc::new(step)));
        while self.steps.len() > MAX_STEPS || self.bytes > MAX_STEP_BYTES {
            let Some((index, bytes, _)) = self.steps.pop_front() else { break };
            self.complete_after = index;
            self.bytes -= bytes;
        }
    }

    /// Returns the steps after an index, or `None` if some of them are no longer
    /// kept.
    pub(crate) fn steps_after(&self, from: u64) -> Option<Vec<(u64, Arc<ChangeStep>)>> {
        let start = self.steps.partition_point(|(index, _, _)| *index <= from);
        let steps = self.steps.range(start..);
        (from >= self.complete_after)
            .then(|| steps.map(|(index, _, step)| (*index, Arc::clone(step))).collect())
    }
}
