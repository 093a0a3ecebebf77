//! Simulates load patterns under placement policies in virtual time.
//!
//! A [`Pattern`] states how many requests of each [`RequestKind`] arrive per second.
//! [`play`] draws random arrivals from it, lets a [`Policy`] place them on simulated engines
//! ([`fake::PassEngines`], with the timing that the users publish for their engines) and counts
//! how many met their targets. A request earns its worth if it is on time, and less if it is
//! late. [`RunResult::earned_share`] scores a policy by the share of the possible worth that it
//! earns. The policies are the dispatcher of `grant` and simple ones to compare it with.
//! [`summarize`] combines several runs. [`earnable_share`] is what any policy could earn at most. Entry daemons and networks take no time here. The
//! operators' command `play` and the tests of this crate call it.
//!
//! ```
//! let patterns = load::patterns();
//! let (_, ordinary) = patterns.iter().find(|(name, _)| *name == "ordinary").expect("known");
//! let short = load::Pattern { phase_s: 2.0, ..ordinary.clone() };
//! let policies = load::policies();
//! let summary = load::summarize(&policies[0], &short, 18, 1);
//! assert_eq!(summary.policy, "dispatcher");
//! assert!(summary.earned_share <= 1.0);
//! ```

mod bound;
mod pattern;
mod play;
mod plot;
mod policy;
mod summary;

pub use bound::{earnable_share, engine_seconds};
pub use pattern::{Pattern, RequestKind, patterns};
pub use play::{KindResult, RunResult, play};
pub use plot::{Result, plot_first_events};
pub use policy::{EngineLoad, PickFn, Policy, policies};
pub use summary::{PromptLengthBucket, Summary, summarize};
