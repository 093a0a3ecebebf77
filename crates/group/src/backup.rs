//! Starts a new group from a back-up.

use crate::error::{Error, Result};
use disk::Store;
use raft::{HardState, Membership, NodeId, Snapshot};
use std::{path::Path, sync::Arc};

/// Prepares an empty data folder of one of the first voters of a new group, which goes
/// on from a back-up. Every first voter is prepared with the same back-up and members.
///
/// The new group must have a higher epoch than the one that was backed up: its messages
/// and those of survivors of the old group then ignore each other. `renew` turns the
/// machine's state into that of the new group, without anything that may be stale by
/// now; it gets the state and the new epoch, and must be deterministic.
///
/// # Errors
///
/// [`Error::is_refused_backup`] if the epoch isn't higher, the node is no voter or the
/// folder isn't empty; [`Error::is_disk`] if it can't be written.
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
    if !recovered.restored.is_empty() || recovered.node.is_some() {
        return Err(Error::backup("the data folder isn't empty"));
    }
    let mut snapshot = backup.clone();
    snapshot.data = Arc::new(renew(&backup.data, members.epoch));
    snapshot.meta.membership = members;
    let term = backup.meta.term;
    store.append(Some(HardState { term, vote: None }), &[]);
    store.claim(id).map_err(Error::disk)?;
    store.install_snapshot(&snapshot).map_err(Error::disk)
}
