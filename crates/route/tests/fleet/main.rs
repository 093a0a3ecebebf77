//! Property tests and scripted scenarios of a fleet.

mod common;
mod learning;
mod properties;
mod scenarios;
