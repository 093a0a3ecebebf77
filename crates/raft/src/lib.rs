//! Consensus without I/O inside.
