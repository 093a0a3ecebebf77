//! State machine of the simulated nodes: a hash over all applied commands.

use raft::{EntryPayload, Index, Snapshot};

/// State after an entry. Entries without a command leave it unchanged.
pub fn apply_to_state(state: u64, index: Index, payload: &EntryPayload) -> u64 {
    let EntryPayload::Command(command) = payload else { return state };
    let seed = state.wrapping_add(index).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    command.iter().fold(seed, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3))
}

/// State in a snapshot; 0 if it has no data.
pub fn decode_state(snapshot: &Snapshot) -> u64 {
    snapshot.data.as_slice().try_into().map_or(0, u64::from_le_bytes)
}
