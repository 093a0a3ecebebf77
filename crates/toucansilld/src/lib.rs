//! The daemon that runs on every entry VM.
