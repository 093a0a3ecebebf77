//! Replicated state of a region: configuration, daemon roster, session leases
//! and idempotency ledger.
//!
//! A region is run by a set of daemons and controlled by a Raft group, whose
//! voters run inside some of these daemons. The crate is the state machine of
//! that group and the lease protocol between its leader and the daemons. It
//! decides which configuration is the current one, which daemons are roster
//! members, which daemon owns an upstream, whether a daemon may accept new work,
//! and whether a call under an idempotency key may be sent.
//!
//! The crate reads no clock and does no I/O. The Raft group passes committed
//! commands to [`State::apply`], and the caller passes the time to every
//! function that depends on it.
//!
//! * [`State`] is the state machine that every voter runs. It holds the
//!   [`Configuration`] of the last accepted sheet, the [`Roster`] of daemons, the
//!   idempotency [`Ledger`] and the [`Quarantine`] of requests that crash
//!   upstreams.
//! * [`RegionView`] is a daemon's replica of the part of the state that it
//!   needs. It advances by a [`ChangeSet`] and never goes back.
//! * [`Leases`] is the leader's volatile table of session leases, and
//!   [`Session`] is the daemon's side of one lease.
//! * [`relay`] merges the renewals of one data centre into one message.
//!
//! ```
//! use control::{Command, Configuration, Outcome, ProposedSheet, SheetOutcome, State};
//!
//! let mut state = State::new();
//! let sheet = ProposedSheet {
//!     number: 1,
//!     configuration: Configuration::new("cl-centro"),
//!     digest: [7; 32],
//!     operator: "day shift".to_string(),
//! };
//! let outcome = state.apply(4, &Command::ApplySheet(sheet));
//! assert_eq!(outcome, Outcome::Sheet(SheetOutcome::Accepted { index: 4 }));
//! ```
//!
//! # A lease from the join to its expiry
//!
//! ```
//! use control::{Command, DaemonInstance, JoinRequest, Leases, Session, State};
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let mut state = State::new();
//! let mut leases = Leases::new(now, state.roster());
//!
//! let instance = DaemonInstance { daemon: "entry-1".to_string(), incarnation: 1 };
//! let join = JoinRequest {
//!     holder: instance.clone(),
//!     address: "10.0.0.1:7000".to_string(),
//!     data_centre: "san-antonio".to_string(),
//! };
//! state.apply(1, &Command::Join(join));
//!
//! let mut session = Session::new(instance, "san-antonio");
//! assert!(session.may_accept_work(now).is_err());
//! let renewal = session.renew(now);
//! let reply = leases.renew(now, &renewal, &state);
//! session.accept(&reply).unwrap();
//! assert!(session.may_accept_work(now).is_ok());
//! assert!(session.may_accept_work(now + Duration::from_secs(4)).is_err());
//! ```

mod changes;
mod clock;
mod codec;
mod command;
mod configuration;
mod delta;
mod departures;
mod error;
mod hash;
mod lease;
mod ledger;
mod outcome;
mod parts;
mod quarantine;
pub mod relay;
mod roster;
mod session;
mod sheets;
mod state;
mod view;

pub use changes::{ChangeSet, ChangeSetContents, ChangeStep, FullView};
pub use clock::LeaderClock;
pub use codec::{decode, encode};
pub use command::{
    Claim, ClaimId, Command, Completion, CrashCharge, FencingTokenRequest, JoinRequest,
    PartsCharge, ProposedSheet, PublishedRouting, RequestHash,
};
pub use configuration::{
    Configuration, DataCentre, DesiredState, KeyHash, Model, Organisation, OrganisationPriority,
    RetryPolicy, Service, ServiceRoute, SheetHash,
};
pub use delta::{ConfigurationDelta, MapDelta};
pub use departures::{DEPARTURE_RETENTION, Departures, UpstreamDeparture};
pub use error::{Error, Result};
pub use hash::stable_hash;
pub use lease::{
    ACKNOWLEDGE_INTERVAL, InForceStatus, LEASE_DURATION, LaggingDaemon, LeaseGrant, Leases,
    MAX_DRIFT_PER_MILLE, RENEWAL_INTERVAL, Renewal, RenewalReply,
};
pub use ledger::{Ledger, LedgerKey, LedgerLimits, StoredResponse};
pub use outcome::{
    ClaimOutcome, FencingTokenOutcome, LedgerOutcome, Outcome, RosterOutcome, RoutingOutcome,
    SheetOutcome,
};
pub use parts::{PartHash, PartQuarantine};
pub use quarantine::{QUARANTINE, Quarantine, QuarantineStatus, Watchlist};
pub use roster::{DaemonInstance, Member, Roster, owner_of};
pub use session::{Ownership, Session, SessionRefusal};
pub use sheets::AcceptedSheet;
pub use state::State;
pub use view::RegionView;
