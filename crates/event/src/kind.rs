//! Kinds of events.

use serde::{Deserialize, Serialize};

/// What happened.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A daemon started.
    DaemonStarted,
    /// A daemon began its planned stop.
    DaemonStopping,
    /// Events were lost because they came faster than they were written.
    EventsDropped,
    /// A link to another daemon opened.
    LinkOpened,
    /// A link to another daemon was lost.
    LinkLost,
    /// A daemon got its session lease.
    LeaseGained,
    /// A daemon's session lease ran out.
    LeaseLost,
    /// The control group has another leader.
    LeaderChanged,
    /// A voter or standby joined or left the control group.
    MemberChanged,
    /// The roster of daemons changed.
    RosterChanged,
    /// A change of configuration was proposed.
    ChangeProposed,
    /// A change was committed.
    ChangeCommitted,
    /// A change was refused.
    ChangeRefused,
    /// A change is in force on this daemon.
    ChangeApplied,
    /// A change is in force on every daemon.
    ChangeInForce,
    /// An upstream announced itself for the first time.
    UpstreamAnnounced,
    /// An upstream returned with another incarnation.
    UpstreamRestarted,
    /// An upstream takes full load.
    UpstreamReady,
    /// An upstream takes no new work.
    UpstreamDraining,
    /// An upstream is silent or gone.
    UpstreamLost,
    /// An upstream has another owner.
    OwnerChanged,
    /// An upstream was reconciled with what it reports.
    UpstreamReconciled,
    /// An order was sent to an upstream.
    OrderSent,
    /// An upstream refused an order.
    OrderRefused,
    /// A request was admitted.
    RequestAdmitted,
    /// A request was refused.
    RequestRefused,
    /// A request was sent to an upstream.
    RequestSent,
    /// The first token of an answer arrived.
    RequestFirstToken,
    /// A request was sent again.
    RequestRetried,
    /// A stream was resumed after it was lost.
    RequestResumed,
    /// A request was answered whole.
    RequestAnswered,
    /// A request failed.
    RequestFailed,
    /// A caller left before the answer was whole.
    RequestCancelled,
    /// A late or crossed answer was dropped.
    AnswerDropped,
    /// A request is refused because it crashed upstreams.
    RequestQuarantined,
    /// A kind that this version does not know.
    #[serde(other)]
    Unknown,
}
