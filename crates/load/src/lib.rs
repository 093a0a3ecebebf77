//! Plays load patterns over placement policies in virtual time.
//!
//! Engines are [`fake::PassEngines`], which work as the users publish of theirs. Requests of
//! several [`RequestKind`]s come at random; a [`Policy`] places them: the dispatcher of `grant`, or
//! a simple one to compare it with. Entry daemons and networks cost nothing here.
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

mod pattern;
mod play;
mod plot;
mod policy;
mod summary;

pub use pattern::{Pattern, RequestKind, patterns};
pub use play::{KindResult, RunResult, play};
pub use plot::{Result, plot_first_events};
pub use policy::{EngineLoad, PickFn, Policy, policies};
pub use summary::{PromptLengthBucket, Summary, summarize};
