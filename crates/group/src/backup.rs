//! Prepares the voters of a new group from a back-up of a former one.

use crate::error::{Error, Result};
use disk::Store;
use raft::{HardState, Membership, NodeId, Snapshot};
use std::{path::Path, sync::Arc};

/// Writes a back-up into the empty data folder `dir` of `id`, one of the initial voters of a new
/// group. Every initial voter must be prepared with the same back-up, members and `renew`.
///
/// The new group must have a higher epoch than the one that was backed up, so that its voters and
/// surviving voters of the old group drop each other's messages. `renew` is called with the
/// backed-up state and the new epoch, and returns the initial state of the new group, in which it
/// must leave out whatever may be stale by now. It must be deterministic.
///
/// # Errors
///
/// [`Error::is_refused_backup`] if the epoch isn't higher, the node is no initial voter or the
/// folder isn't empty; [`Error::is_disk`] if the folder can't be read or written.
pub fn restore_backup(
    dir: impl AsRef<Path>,
    id: NodeId,
    backup: &Snapshot,
    members: Membership,
    renew: impl FnOnce(&[u8], u64) -> Vec<u8>,
) -> Result<()> {
    if members.epoch <= backup.meta.membership.epoch {
        return Err(Error::backup("the epoch must be higher than the former one"));
    }
    if !members.is_voter(id) {
        return Err(Error::backup("the node is none of the first voters"));
    }
    let (mut store, recovered) = Store::open(dir).map_err(Error::disk)?;
    if !recovered.persisted_state.is_empty() || recovered.node.is_some() {
        return Err(Error::backup("the data folder isn't empty"));
    }
    let mut snapshot = backup.clone();
    snapshot.data = Arc::new(renew(&backup.data, members.epoch));
    snapshot.meta.membership = members;
    let term = backup.meta.term;
    store.append(Some(HardState { term, vote: None }), &[]);
    store.install_snapshot(&snapshot).map_err(Error::disk)?;
    // Last: a folder that belongs to a node and holds nothing would be taken for that of a new one.
    store.claim(id).map_err(Error::disk)
}
