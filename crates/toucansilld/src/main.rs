//! The daemon's program.

fn main() {}
