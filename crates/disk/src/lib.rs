//! Durable log and snapshots of one voter.
