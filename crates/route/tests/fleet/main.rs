//! Properties and scripted scenarios of a fleet.

mod common;
mod properties;
mod scenarios;
