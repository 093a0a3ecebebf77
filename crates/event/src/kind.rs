//! Kinds of events.

use serde::{Deserialize, Serialize};

/// What happened. In event files a kind has its name in kebab case, such as `daemon-started`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A daemon started.
    DaemonStarted,
    /// A daemon began a planned shutdown.
    DaemonStopping,
    /// Events were dropped because they were recorded faster than the writer thread processed them.
    /// The text tells how many.
    EventsDropped,
    /// A connection to another daemon was established.
    LinkOpened,
    /// A connection to another daemon was lost.
    LinkLost,
    /// A daemon obtained its session lease.
    LeaseGained,
    /// A daemon's session lease expired.
    LeaseLost,
    /// The control group elected a new leader.
    LeaderChanged,
    /// A voter or standby was added to the control group or removed from it.
    MemberChanged,
    /// The roster of daemons changed.
    RosterChanged,
    /// A configuration change was proposed to the control group.
    ChangeProposed,
    /// A configuration change was committed.
    ChangeCommitted,
    /// A configuration change was refused.
    ChangeRefused,
    /// The daemon that recorded the event has applied configuration changes.
    ChangeApplied,
    /// A configuration change is in force on every daemon.
    ChangeInForce,
    /// An upstream announced itself for the first time.
    UpstreamAnnounced,
    /// An upstream announced itself with a new incarnation, that is, after a restart.
    UpstreamRestarted,
    /// An upstream is warm and takes full load.
    UpstreamReady,
    /// An upstream drains: it finishes its requests and takes no new ones.
    UpstreamDraining,
    /// An upstream stopped announcing itself, or left.
    UpstreamLost,
    /// An upstream was assigned to another owner.
    OwnerChanged,
    /// An owner's records of an upstream's work were reconciled with the upstream's own report.
    UpstreamReconciled,
    /// An owner sent an order, such as to load a model, to an upstream.
    OrderSent,
    /// An upstream refused an order.
    OrderRefused,
    /// A request was admitted.
    RequestAdmitted,
    /// A request was refused.
    RequestRefused,
    /// A request was sent to an upstream.
    RequestSent,
    /// The first token of a response arrived.
    RequestFirstToken,
    /// A request was sent again after a failed attempt.
    RequestRetried,
    /// A response stream that broke off was resumed.
    RequestResumed,
    /// A request was answered completely.
    RequestAnswered,
    /// A request failed.
    RequestFailed,
    /// A caller disconnected before the response was complete.
    RequestCancelled,
    /// A response was dropped because it came too late or belonged to another request.
    AnswerDropped,
    /// A request was quarantined, that is, it is refused because upstreams crashed while they ran
    /// it.
    RequestQuarantined,
    /// A kind that this version does not know, as read from the file of a newer version.
    #[serde(other)]
    Unknown,
}
