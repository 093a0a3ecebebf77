//! What a daemon lacks, as it travels with the reply to its renewal.

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

/// Most steps that are kept for daemons that lag.
const MAX_STEPS: usize = 1024;

/// Most bytes of steps that are kept.
const MAX_STEP_BYTES: usize = 1024 * 1024;

/// Changes that lead from one log index to a later one.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub struct ChangeSet {
    /// Index that a view must have reached for these changes to apply.
    pub from: u64,
    /// Index that the view reaches by them.
    pub to: u64,
    /// The changes.
    pub contents: ChangeSetContents,
}

/// The changes step by step, or the whole.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum ChangeSetContents {
    /// Steps with the log index of each, in order.
    Steps(Vec<(u64, Arc<ChangeStep>)>),
    /// Everything, for a view that is empty or too far behind.
    Whole(Box<FullState>),
}

/// All that a view holds.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub struct FullState {
    /// Number of the sheet in force, 0 before the first.
    pub sheet: u64,
    /// Configuration in force.
    pub configuration: Arc<Configuration>,
    /// Members.
    pub roster: Arc<Roster>,
    /// Requests that are not clear.
    pub standings: Arc<BTreeMap<RequestHash, QuarantineStatus>>,
}

/// One change.
#[derive(Clone, Debug, Decode, Encode, Eq, PartialEq)]
pub enum ChangeStep {
    /// A sheet was accepted.
    Sheet {
        /// Its number.
        number: u64,
        /// What it changes.
        delta: Box<ConfigurationDelta>,
    },
    /// A daemon joined, or its new run took the place of the former one.
    Joined {
        /// The daemon.
        daemon: DaemonId,
        /// What is known of it.
        member: Arc<Member>,
    },
    /// A daemon is no longer a member.
    Removed {
        /// The daemon.
        daemon: DaemonId,
    },
    /// A request stands otherwise.
    Standing {
        /// The request.
        fingerprint: RequestHash,
        /// How it stands.
        standing: QuarantineStatus,
    },
}

/// Recent steps, so that a daemon which is a little behind gets only those.
#[derive(Clone, Debug, Decode, Default, Encode, Eq, PartialEq)]
pub(crate) struct ChangeLog {
    /// Steps after this index are complete.
    floor: u64,
    steps: VecDeque<(u64, usize, Arc<ChangeStep>)>,
    bytes: usize,
}

impl ChangeLog {
    /// A log without steps, complete only after this index.
    pub(crate) fn after(floor: u64) -> Self {
        Self { floor, ..Self::default() }
    }

    pub(crate) fn push(&mut self, index: u64, step: ChangeStep) {
        let bytes = codec::encode(&step).len();
        self.bytes += bytes;
        self.steps.push_back((index, bytes, Arc::new(step)));
        while self.steps.len() > MAX_STEPS || self.bytes > MAX_STEP_BYTES {
            let Some((index, bytes, _)) = self.steps.pop_front() else { break };
            self.floor = index;
            self.bytes -= bytes;
        }
    }

    /// The steps after an index, unless some of them are no longer kept.
    pub(crate) fn since(&self, from: u64) -> Option<Vec<(u64, Arc<ChangeStep>)>> {
        let start = self.steps.partition_point(|(index, _, _)| *index <= from);
        let steps = self.steps.range(start..);
        (from >= self.floor)
            .then(|| steps.map(|(index, _, step)| (*index, Arc::clone(step))).collect())
    }
}
